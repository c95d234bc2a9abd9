//! What is known of each node: revision, age and requests in progress.

use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::messages::{NodeKind, SyncRequest};
use baobabfall_node::operator_messages::NodeView;
use baobabfall_node::units::millis;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Nodes that were not heard for this long are no longer listed.
const NODE_RETENTION: Duration = Duration::from_secs(600);
/// Most nodes that are listed.
const NODE_LIMIT: usize = 4096;

/// Nodes that sync with this controller or with one that reported them.
#[derive(Clone, Debug, Default)]
pub struct NodeTracker {
    nodes: Arc<Mutex<SortedMap<String, NodeRecord>>>,
}

#[derive(Clone, Debug)]
struct NodeRecord {
    view: NodeView,
    heard: Instant,
    revision_since: Instant,
    /// False for nodes that another controller reported.
    direct: bool,
}

impl NodeTracker {
    fn lock(&self) -> MutexGuard<'_, SortedMap<String, NodeRecord>> {
        self.nodes.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Notes a node that syncs here.
    pub fn note_sync(&self, request: &SyncRequest) {
        let kind = match request.kind {
            NodeKind::Router => "router",
            NodeKind::Controller => "controller",
        };
        let view = NodeView {
            name: request.node.name.clone(),
            kind: kind.to_owned(),
            zone: request.zone.clone(),
            incarnation: request.node.incarnation,
            revision: request.revision,
            revision_age_ms: 0,
            silent_ms: 0,
            in_progress: request.in_progress,
        };
        self.note(view, true);
    }

    /// Notes nodes that another controller reported.
    pub fn note_observed(&self, views: Vec<NodeView>) {
        for view in views {
            self.note(view, false);
        }
    }

    fn note(&self, view: NodeView, direct: bool) {
        let now = Instant::now();
        let heard = now.checked_sub(Duration::from_millis(view.silent_ms)).unwrap_or(now);
        let since = now.checked_sub(Duration::from_millis(view.revision_age_ms)).unwrap_or(now);
        let mut nodes = self.lock();
        if !nodes.contains_key(&view.name) && nodes.len() >= NODE_LIMIT {
            return;
        }
        let name = view.name.clone();
        match nodes.get_mut(&name) {
            Some(held) if held.view.incarnation > view.incarnation || held.heard > heard => {}
            Some(held) => {
                if held.view.revision != view.revision {
                    held.revision_since = since;
                }
                held.view = view;
                held.heard = heard;
                held.direct = direct;
            }
            None => {
                nodes.insert(name, NodeRecord { view, heard, revision_since: since, direct });
            }
        }
    }

    /// Forgets a node that an operator removed.
    pub fn forget(&self, name: &str, incarnation: u64) {
        let mut nodes = self.lock();
        if nodes.get(name).is_some_and(|held| held.view.incarnation <= incarnation) {
            nodes.remove(name);
        }
    }

    /// All known nodes.
    pub fn views(&self) -> Vec<NodeView> {
        self.collect(|_| true)
    }

    /// Nodes that sync with this controller itself.
    pub fn direct_views(&self) -> Vec<NodeView> {
        self.collect(|record| record.direct)
    }

    /// Names of routers heard within `silence`.
    pub fn live_routers(&self, silence: Duration) -> Vec<String> {
        let limit = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        let views = self.views();
        let live =
            views.into_iter().filter(|view| view.kind == "router" && view.silent_ms <= limit);
        live.map(|view| view.name).collect()
    }

    fn collect(&self, keep: impl Fn(&NodeRecord) -> bool) -> Vec<NodeView> {
        let now = Instant::now();
        let mut nodes = self.lock();
        nodes.retain(|_, record| now.duration_since(record.heard) <= NODE_RETENTION);
        let shown = nodes.values().filter(|record| keep(record));
        shown
            .map(|record| {
                let mut view = record.view.clone();
                view.silent_ms = millis(now.duration_since(record.heard));
                view.revision_age_ms = millis(now.duration_since(record.revision_since));
                view
            })
            .collect()
    }
}
