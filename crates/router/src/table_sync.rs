//! Keeps the table, the registry and the planned stops up to date.

use crate::leader_link::LeaderLink;
use crate::table_view::{FleetView, TableView};
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::workspace_table::WorkspaceTable;
use baobabfall_node::messages::{NodeKind, SYNC_PATH, SyncAnswer, SyncRequest, TableUpdate};
use baobabfall_node::node_metrics::NodeMetrics;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// How long a controller may hold an answer for news, in milliseconds.
const SYNC_WAIT_MS: u32 = 1000;
/// Time in which a controller must answer, beyond the time it may hold.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// An answer that came sooner was not held for news.
const SHORT_ANSWER: Duration = Duration::from_millis(50);
/// Pause after an answer that was not held and brought nothing, as from a
/// controller that lags behind this router.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed call and between attempts to get a first table.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Long-polls the controllers for news.
#[derive(Debug)]
pub struct TableSync {
    /// What the router holds.
    pub fleet: Arc<FleetView>,
    /// Connections to the controllers.
    pub link: Arc<LeaderLink>,
    /// This router.
    pub identity: NodeIdentity,
    /// Its availability zone.
    pub zone: String,
    /// Requests in progress.
    pub in_progress: Arc<AtomicU32>,
    /// Instruments.
    pub metrics: NodeMetrics,
}

impl TableSync {
    /// Runs until the task is dropped.
    pub async fn run(&self) {
        while self.fleet.table().is_none() {
            self.first_table().await;
            if self.fleet.table().is_none() {
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
        let (mut position, mut at_leader) = (0, true);
        loop {
            let begun = Instant::now();
            // Only the leader knows the upstreams; another controller still has the table.
            let address = if at_leader {
                self.link.leader()
            } else {
                position += 1;
                let addresses = self.link.addresses();
                addresses[position % addresses.len()]
            };
            let answer = self.ask(address, SYNC_WAIT_MS).await;
            let answered = answer.is_some();
            let useful = answer.is_some_and(|answer| self.apply_forward(answer));
            at_leader = answered || !at_leader;
            let short = begun.elapsed() < SHORT_ANSWER;
            if !useful && short {
                tokio::time::sleep(if answered { IDLE_PAUSE } else { FAILURE_PAUSE }).await;
            }
        }
    }

    async fn ask(&self, address: SocketAddr, wait_ms: u32) -> Option<SyncAnswer> {
        let request = SyncRequest {
            node: self.identity.clone(),
            kind: NodeKind::Router,
            zone: self.zone.clone(),
            revision: self.fleet.table().map_or(0, |held| held.revision),
            stops_version: self.fleet.stops().version,
            registry_version: self.fleet.registry().version,
            in_progress: self.in_progress.load(Ordering::Relaxed),
            routes_version: self.fleet.routes_version(),
            wait_ms,
        };
        let timeout = ANSWER_TIMEOUT + Duration::from_millis(wait_ms.into());
        match self.link.call::<_, SyncAnswer>(address, SYNC_PATH, &request, timeout).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("sync not answered: {error}");
                None
            }
        }
    }

    /// Takes the first table from a confirmed answer, or the highest revision
    /// among a majority, so a restarted router cannot fall back to an old table.
    async fn first_table(&self) {
        let addresses = self.link.addresses();
        let calls = addresses.iter().map(|address| self.ask(*address, 0));
        let answers: Vec<SyncAnswer> = join_all(calls).await.into_iter().flatten().collect();
        let majority = answers.len() * 2 > addresses.len();
        let version = |answer: &SyncAnswer| answer.routes.as_ref().map_or(0, |held| held.version);
        let highest = answers
            .iter()
            .max_by_key(|answer| (answer.confirmed, answer.revision, version(answer)));
        let Some(answer) = highest.filter(|answer| answer.confirmed || majority) else { return };
        let confirmed = answer.confirmed;
        let best = answers.into_iter().max_by_key(|answer| {
            (!confirmed || answer.confirmed, answer.revision, version(answer))
        });
        if let Some(answer) = best {
            self.apply_forward(answer);
        }
    }

    /// Takes what is newer; true when anything was.
    fn apply_forward(&self, answer: SyncAnswer) -> bool {
        if let Some(leader) = answer.leader {
            self.link.hint(answer.term, leader);
        }
        self.link.set_members(answer.controllers);
        let routes = answer.routes;
        let mut useful = routes.is_some_and(|routes| self.fleet.set_routes(&routes));
        useful |= answer.table.is_some_and(|update| self.apply_table(&update));
        if let Some(stops) = answer.stops {
            useful |= self.fleet.set_stops(stops);
        }
        if let Some(registry) = answer.registry {
            useful |= self.fleet.set_registry(registry);
        }
        useful
    }

    fn apply_table(&self, update: &TableUpdate) -> bool {
        let held = self.fleet.table();
        let empty = WorkspaceTable::default();
        let (revision, table) =
            held.as_ref().map_or((0, &empty), |held| (held.revision, &held.table));
        let Some(next) = update.apply(revision, table) else {
            log::debug!("table update {} to {} does not fit", update.from, update.to);
            return false;
        };
        let newer = self.fleet.set_table(TableView::new(update.to, next));
        if newer {
            let age = Duration::from_millis(update.age_ms);
            self.metrics.edit_in_force.record(age.as_secs_f64(), &[]);
            self.metrics.table_revision.record(update.to, &[]);
            log::info!(event = "workspaces_in_force", revision = update.to, age_ms = update.age_ms; "workspace table in force");
        }
        newer
    }
}
