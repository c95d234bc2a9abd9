//! Brings nodes forward to the latest table, planned stops and registry.

use crate::node_tracker::NodeTracker;
use crate::registry_service::RegistryService;
use crate::replica_driver::ReplicaHandle;
use baobabfall_core::table_history::DifferenceContent;
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use baobabfall_node::messages::{PlannedStop, StopList, SyncAnswer, SyncRequest, TableUpdate};
use baobabfall_node::units::{millis, wall_clock_ms};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which an answer is held.
pub const SYNC_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// Answers sync requests of routers and controllers.
#[derive(Clone, Debug)]
pub struct SyncService {
    replica: ReplicaHandle,
    registry: RegistryService,
    tracker: NodeTracker,
}

impl SyncService {
    /// A service over the applied state and the registry.
    pub fn new(replica: ReplicaHandle, registry: RegistryService, tracker: NodeTracker) -> Self {
        Self { replica, registry, tracker }
    }

    /// Answers at once when there is news, else when some comes or the wait
    /// ends. Only a leader holds an answer: elsewhere a node must not wait for
    /// news that may not come.
    pub async fn sync(&self, request: &SyncRequest) -> SyncAnswer {
        self.tracker.note_sync(request);
        if request.revision == 0 && request.wait_ms == 0 {
            return self.confirmed(request).await;
        }
        let end =
            Instant::now() + Duration::from_millis(request.wait_ms.into()).min(SYNC_WAIT_LIMIT);
        let mut replica = self.replica.news();
        let mut registry = self.registry.watch();
        loop {
            replica.borrow_and_update();
            registry.borrow_and_update();
            let answer = self.answer(request);
            let news = answer.table.is_some()
                || answer.stops.is_some()
                || answer.registry.is_some()
                || answer.routes.is_some();
            if news || !answer.leads || Instant::now() >= end {
                return answer;
            }
            tokio::select! {
                changed = replica.changed() => if changed.is_err() { return answer },
                changed = registry.changed() => if changed.is_err() { return answer },
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }

    /// An answer for a node without a table. It is built after the
    /// confirmation, so it holds what was committed before the request.
    async fn confirmed(&self, request: &SyncRequest) -> SyncAnswer {
        let confirmed = self.replica.confirm_read().await.is_ok();
        SyncAnswer { confirmed, ..self.answer(request) }
    }

    fn answer(&self, request: &SyncRequest) -> SyncAnswer {
        let view = self.replica.view();
        let leader = view
            .leader
            .as_ref()
            .and_then(|leader| view.members.get(leader.id)?.address.parse::<SocketAddr>().ok());
        let state = self.replica.state();
        let revision = state.history().revision();
        let table =
            (request.revision < revision).then(|| self.table_update(&state, request.revision));
        let stops = (request.stops_version != state.stops_version()).then(|| StopList {
            version: state.stops_version(),
            stops: state
                .stops()
                .keys()
                .map(|target| PlannedStop { kind: target.kind, name: target.name.clone() })
                .collect(),
        });
        let routes = state
            .routes()
            .filter(|record| record.table.version > request.routes_version)
            .map(|record| std::sync::Arc::clone(&record.table));
        drop(state);
        let held = self.registry.version(view.term);
        let registry =
            (view.leads && request.registry_version != held).then(|| self.registry.view(view.term));
        let routes_age = self.replica.news().borrow().routes_applied.map(|at| at.elapsed());
        let controllers =
            view.members.iter().filter_map(|member| member.address.parse().ok()).collect();
        SyncAnswer {
            confirmed: false,
            leads: view.leads,
            term: view.term,
            leader,
            revision,
            table,
            stops,
            registry,
            routes,
            routes_age_ms: routes_age.map_or(0, millis),
            controllers,
        }
    }

    fn table_update(
        &self,
        state: &baobabfall_core::control_state::ControlState,
        held: u64,
    ) -> TableUpdate {
        let difference = state.changes_since(held);
        let (from, changes) = match difference.content {
            DifferenceContent::Changes(changes) => (held, changes),
            DifferenceContent::Whole(table) => (0, whole(&table)),
        };
        let accepted = state.history().revisions().next_back().map_or(0, |entry| entry.time_ms);
        TableUpdate {
            from,
            to: difference.revision,
            changes,
            digest: difference.digest,
            age_ms: wall_clock_ms().saturating_sub(accepted),
        }
    }
}

fn whole(table: &WorkspaceTable) -> Vec<RowChange> {
    table.rows().values().map(|row| RowChange::Put { row: row.clone() }).collect()
}
