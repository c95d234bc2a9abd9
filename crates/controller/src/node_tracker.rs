//! Tracks the nodes of the fleet: when each was last seen, its table revision and its requests in
//! progress.

use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::messages::{NodeKind, SyncRequest};
use baobabfall_node::operator_messages::NodeView;
use baobabfall_node::units::millis;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Nodes that have not been seen for longer are dropped.
const NODE_RETENTION: Duration = Duration::from_secs(600);
/// Most nodes that are tracked; further nodes are ignored.
const NODE_LIMIT: usize = 4096;

/// Nodes that sync with this controller, or that another controller reported to it.
#[derive(Clone, Debug, Default)]
pub struct NodeTracker {
    nodes: Arc<Mutex<SortedMap<String, NodeRecord>>>,
}

#[derive(Clone, Debug)]
struct NodeRecord {
    view: NodeView,
    last_seen: Instant,
    revision_since: Instant,
    /// True if the node syncs with this controller, false if another controller reported it.
    direct: bool,
}

impl NodeTracker {
    fn lock(&self) -> MutexGuard<'_, SortedMap<String, NodeRecord>> {
        self.nodes.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records a node that syncs with this controller.
    pub fn record_sync(&self, request: &SyncRequest) {
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
        self.update(view, true);
    }

    /// Records nodes that another controller reported.
    pub fn record_reported(&self, views: Vec<NodeView>) {
        for view in views {
            self.update(view, false);
        }
    }

    fn update(&self, view: NodeView, direct: bool) {
        let now = Instant::now();
        let last_seen = now.checked_sub(Duration::from_millis(view.silent_ms)).unwrap_or(now);
        let since = now.checked_sub(Duration::from_millis(view.revision_age_ms)).unwrap_or(now);
        let mut nodes = self.lock();
        if !nodes.contains_key(&view.name) && nodes.len() >= NODE_LIMIT {
            return;
        }
        let name = view.name.clone();
        match nodes.get_mut(&name) {
            Some(existing)
                if existing.view.incarnation > view.incarnation
                    || existing.last_seen > last_seen => {}
            Some(existing) => {
                if existing.view.revision != view.revision {
                    existing.revision_since = since;
                }
                existing.view = view;
                existing.last_seen = last_seen;
                existing.direct = direct;
            }
            None => {
                nodes.insert(name, NodeRecord { view, last_seen, revision_since: since, direct });
            }
        }
    }

    /// Drops a node that an operator removed, unless a newer incarnation has been seen.
    pub fn forget(&self, name: &str, incarnation: u64) {
        let mut nodes = self.lock();
        if nodes.get(name).is_some_and(|existing| existing.view.incarnation <= incarnation) {
            nodes.remove(name);
        }
    }

    /// All tracked nodes.
    pub fn views(&self) -> Vec<NodeView> {
        self.collect(|_| true)
    }

    /// Nodes that sync directly with this controller.
    pub fn direct_views(&self) -> Vec<NodeView> {
        self.collect(|record| record.direct)
    }

    /// Names of the routers that were last seen at most `silence` ago.
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
        nodes.retain(|_, record| now.duration_since(record.last_seen) <= NODE_RETENTION);
        let selected = nodes.values().filter(|record| keep(record));
        selected
            .map(|record| {
                let mut view = record.view.clone();
                view.silent_ms = millis(now.duration_since(record.last_seen));
                view.revision_age_ms = millis(now.duration_since(record.revision_since));
                view
            })
            .collect()
    }
}
