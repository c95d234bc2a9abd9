//! Answers sync requests, by which nodes receive the latest workspace table, route table, planned
//! stops and registry.

use crate::group_directory::GroupDirectory;
use crate::node_tracker::NodeTracker;
use crate::origin_service::OriginService;
use crate::registry_service::RegistryService;
use crate::replica_driver::ReplicaHandle;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::table_history::DifferenceContent;
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use baobabfall_node::codec::{CodecError, MESSAGE_LIMIT, encode, encode_before_last, encode_field};
use baobabfall_node::http_server::{FullResponse, error_response, pieces_response};
use baobabfall_node::messages::{PlannedStop, StopList, SyncAnswer, SyncRequest, TableUpdate};
use baobabfall_node::units::{millis, wall_clock_ms};
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which the answer to a sync request is held back until something changes.
pub const SYNC_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// Time for which changes of the registry are gathered for one answer. Each answer carries the
/// whole registry to every node, and upstreams often come and go together.
const REGISTRY_DELAY: Duration = Duration::from_millis(50);

/// Answers sync requests of routers and controllers.
#[derive(Clone, Debug)]
pub struct SyncService {
    replica: ReplicaHandle,
    registry: RegistryService,
    tracker: NodeTracker,
    directory: GroupDirectory,
    origins: OriginService,
    /// Version and encoding of the latest route table that was sent.
    encoded_routes: Arc<Mutex<Option<(u64, Bytes)>>>,
}

impl SyncService {
    /// Creates a service that reads the replica's applied state and the registry, and records each
    /// requesting node in `tracker` and its copy of origins in `origins`. While the replica is not a
    /// member, it names the group of `directory`.
    pub fn new(
        replica: ReplicaHandle,
        registry: RegistryService,
        tracker: NodeTracker,
        directory: GroupDirectory,
        origins: OriginService,
    ) -> Self {
        Self { replica, registry, tracker, directory, origins, encoded_routes: Arc::default() }
    }

    /// Answers a request like [`Self::sync`] and encodes the answer. All answers share one encoding
    /// of a route table.
    pub async fn sync_response(&self, request: &SyncRequest) -> FullResponse {
        let mut answer = self.sync(request).await;
        let pieces = match answer.routes.take() {
            None => encode(&answer).map(|bytes| vec![Bytes::from(bytes)]),
            Some(routes) => self.encode_with_routes(&answer, &routes),
        };
        match pieces {
            Ok(pieces) => pieces_response(pieces),
            Err(error) => error_response(ErrorKind::Internal, &error.to_string()),
        }
    }

    fn encode_with_routes(
        &self,
        answer: &SyncAnswer,
        routes: &RouteTable,
    ) -> Result<Vec<Bytes>, CodecError> {
        let before = Bytes::from(encode_before_last(answer)?);
        let mut encoded =
            self.encoded_routes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let known = encoded.as_ref().filter(|(version, _)| *version == routes.version);
        let bytes = match known {
            Some((_, bytes)) => bytes.clone(),
            None => {
                let bytes = Bytes::from(encode_field(routes)?);
                *encoded = Some((routes.version, bytes.clone()));
                bytes
            }
        };
        let length = before.len() + bytes.len();
        match length <= MESSAGE_LIMIT {
            true => Ok(vec![before, bytes]),
            false => Err(CodecError::Oversized(length)),
        }
    }

    /// Answers immediately if the node is outdated; otherwise answers when something changes or
    /// the wait ends. A controller that does not hear from its group may be cut off from the
    /// changes, so it holds no answer back.
    pub async fn sync(&self, request: &SyncRequest) -> SyncAnswer {
        self.tracker.record_sync(request);
        request.origins.iter().for_each(|copy| self.origins.record(copy));
        if request.revision == 0 && request.wait_ms == 0 {
            return self.confirmed_answer(request).await;
        }
        let end =
            Instant::now() + Duration::from_millis(request.wait_ms.into()).min(SYNC_WAIT_LIMIT);
        let mut replica = self.replica.watch_versions();
        let mut registry = self.registry.watch();
        loop {
            replica.borrow_and_update();
            registry.borrow_and_update();
            let answer = self.answer(request);
            let has_changes = answer.table.is_some()
                || answer.stops.is_some()
                || answer.registry.is_some()
                || answer.departures.is_some()
                || answer.evacuations.is_some()
                || answer.routes.is_some()
                || answer.leader.is_some() && answer.term > request.leader_term;
            if has_changes || !answer.in_contact || Instant::now() >= end {
                return answer;
            }
            tokio::select! {
                changed = replica.changed() => if changed.is_err() { return answer },
                changed = registry.changed() => {
                    if changed.is_err() {
                        return answer;
                    }
                    tokio::time::sleep(REGISTRY_DELAY).await;
                }
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }

    /// Answers a node without a table. The answer is built after the read was confirmed, so it
    /// contains everything that was committed before the request.
    async fn confirmed_answer(&self, request: &SyncRequest) -> SyncAnswer {
        let confirmed = self.replica.confirm_read().await.is_ok();
        SyncAnswer { confirmed, ..self.answer(request) }
    }

    fn answer(&self, request: &SyncRequest) -> SyncAnswer {
        let view = self.replica.view();
        if view.members.is_empty() {
            return self.directory.sync_answer();
        }
        let leader = view
            .leader
            .as_ref()
            .and_then(|leader| view.members.get(leader.id)?.address.parse::<SocketAddr>().ok());
        // Read before the state, so that an order is seen as pending or applied.
        let evacuation_pending = self.replica.watch_versions().borrow().evacuation_pending;
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
        let departures = state.departures_since(request.departures_version);
        let evacuations = state.evacuations().list_since(request.evacuations_version);
        drop(state);
        let registry = match view.leads {
            true => self.registry.newer_view(view.term, request.registry_version),
            false => self.registry.newer_copy(request.registry_version),
        };
        let routes_age =
            self.replica.watch_versions().borrow().routes_applied.map(|at| at.elapsed());
        let controllers =
            view.members.iter().filter_map(|member| member.address.parse().ok()).collect();
        SyncAnswer {
            confirmed: false,
            leads: view.leads,
            in_contact: view.in_contact,
            term: view.term,
            leader,
            revision,
            table,
            stops,
            registry,
            departures,
            routes,
            routes_age_ms: routes_age.map_or(0, millis),
            controllers,
            group_age_ms: None,
            evacuations,
            evacuation_pending,
            holder: request.origins.as_ref().map_or(0, |_| self.origins.incarnation()),
        }
    }

    fn table_update(
        &self,
        state: &baobabfall_core::control_state::ControlState,
        node_revision: u64,
    ) -> TableUpdate {
        let difference = state.changes_since(node_revision);
        let (from, changes) = match difference.content {
            DifferenceContent::Changes(changes) => (node_revision, changes),
            DifferenceContent::Whole(table) => (0, put_all_rows(&table)),
        };
        let accepted_ms = state.history().revisions().next_back().map_or(0, |entry| entry.time_ms);
        TableUpdate {
            from,
            to: difference.revision,
            changes,
            digest: difference.digest,
            age_ms: wall_clock_ms().saturating_sub(accepted_ms),
        }
    }
}

fn put_all_rows(table: &WorkspaceTable) -> Vec<RowChange> {
    table.rows().values().map(|row| RowChange::Put { row: row.clone() }).collect()
}
