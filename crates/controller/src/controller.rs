//! Starts a controller, runs its background tasks and shuts it down.

use crate::action_service::{ActionService, CLAIM_CHECK_INTERVAL};
use crate::control_api::{ControlApi, OBSERVED_PATH};
use crate::disk_folder::DiskFolder;
use crate::dispatch_service::DispatchService;
use crate::error::ControllerError;
use crate::founding::FoundingCandidate;
use crate::founding_witness::{FoundingRecord, FoundingWitness, create_record, read_record};
use crate::group_directory::GroupDirectory;
use crate::log_store::LogStore;
use crate::membership::{
    JoinRequest, inform_seeds, initial_members, is_unused_folder, join_group, stay_in_group,
};
use crate::node_tracker::NodeTracker;
use crate::operator_api::OperatorApi;
use crate::operator_views;
use crate::options::ControllerOptions;
use crate::origin_service::OriginService;
use crate::peer_links::{PeerAddresses, PeerLinks, REPLICA_PATH};
use crate::planned_stop::LEAVE_PATH;
use crate::registry_service::RegistryService;
use crate::replica_driver::{ReplicaDriver, ReplicaHandle};
use crate::storage_worker::start_storage;
use crate::sync_service::SyncService;
use baobabfall_core::control_command::StopKind;
use baobabfall_core::control_state::ControlState;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_core::{ReplicaCore, ReplicaOptions};
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::http_server::{FullResponse, ServerLimits, error_response, serve_upgradeable};
use baobabfall_node::loop_watch::watch_event_loop;
use baobabfall_node::messages::{
    EVACUATIONS_PATH, FORWARD_PATH, NodeKind, ROUTES_PATH, SYNC_PATH, SyncAnswer, SyncRequest,
};
use baobabfall_node::node_metrics::{NodeMetrics, start_incarnation};
use baobabfall_node::stop_signal::{StopPhase, StopSender, StopSignal, stop_channel};
use http::Request;
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::task::AbortOnDropHandle;

/// Interval at which the dispatcher and the registry check their timeouts. Also the delay before
/// a follower retries a registry copy that failed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the measured delay of the event loop that remains after a tick; half of it after 0.4 s.
const DELAY_DECAY: f64 = 0.966;
/// Interval at which a follower reports to the leader the nodes that sync with it.
const NODE_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one call to the leader. It exceeds the 1 s for which a sync answer may be held.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1500);
/// A new dispatcher doesn't wait for reports of routers that have been silent for longer.
const MAX_ROUTER_SILENCE: Duration = Duration::from_secs(3);
/// Interval at which the gauges are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Time that requests in progress get to finish during a graceful shutdown.
const GRACEFUL_STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the storage thread to end, so that a hanging disk can't block the shutdown.
const STORAGE_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A running controller.
#[derive(Debug)]
pub struct ControllerHandle {
    address: SocketAddr,
    replica: ReplicaHandle,
    stop: StopSender,
    tasks: JoinSet<()>,
    api: ControlApi,
    storage_stopped: oneshot::Receiver<()>,
    pub(crate) identity: ReplicaIdentity,
    /// Task that keeps this controller in its group; `None` once it has left.
    pub(crate) membership: Option<AbortHandle>,
}

impl ControllerHandle {
    /// The request handler behind the listener, for adapters that run listeners of their own.
    pub fn api(&self) -> &ControlApi {
        &self.api
    }

    /// Local address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handle to the replica, for experiments and status queries.
    pub fn replica(&self) -> &ReplicaHandle {
        &self.replica
    }

    /// Shuts down gracefully: leaves the group, then accepts no new connections and gives requests
    /// in progress 5 s to finish.
    pub async fn stop(mut self) {
        self.leave_group().await;
        self.stop.advance(StopPhase::Draining);
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GRACEFUL_STOP_TIMEOUT).await;
            stop.advance(StopPhase::Stopped);
        });
        while self.tasks.join_next().await.is_some() {}
        self.stop.advance(StopPhase::Stopped);
        let _ = tokio::time::timeout(STORAGE_STOP_TIMEOUT, self.storage_stopped).await;
    }

    /// Aborts every task and connection immediately, to simulate a crash.
    pub async fn kill(mut self) {
        self.stop.advance(StopPhase::Stopped);
        self.tasks.shutdown().await;
        let _ = tokio::time::timeout(STORAGE_STOP_TIMEOUT, self.storage_stopped).await;
    }

    /// Waits for a permanent failure and returns its message.
    pub async fn failed(&self) -> String {
        let mut view = self.replica.watch_view();
        loop {
            if let Some(message) = &view.borrow_and_update().failed {
                return message.clone();
            }
            if view.changed().await.is_err() {
                return "The replica task ended unexpectedly.".to_owned();
            }
        }
    }
}

/// Binds the listener that the settings name and starts a controller on it.
pub async fn start(options: ControllerOptions) -> Result<ControllerHandle, ControllerError> {
    let listen = options.settings.control.listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|error| ControllerError::Listen { address: listen, reason: error.to_string() })?;
    start_on(options, listener).await
}

/// Starts a controller on a listener that is already bound.
pub async fn start_on(
    options: ControllerOptions,
    listener: TcpListener,
) -> Result<ControllerHandle, ControllerError> {
    let address = listener.local_addr().map_err(|error| ControllerError::Listen {
        address: options.settings.control.listen,
        reason: error.to_string(),
    })?;
    let advertised = options.settings.control.advertise.unwrap_or(address);
    let epoch = Instant::now();
    let metrics = NodeMetrics::new().map_err(ControllerError::Metrics)?;
    let peer_addresses = PeerAddresses::default();
    let OpenedReplica { driver, replica, identity, must_join, storage_stopped, record } =
        open_replica(&options, epoch, advertised, peer_addresses.clone()).await?;
    let registry = RegistryService::new(epoch, options.announcement_lapse);
    let tracker = NodeTracker::default();
    let dispatch = DispatchService::new(epoch, replica.clone());
    let operators = OperatorApi {
        identity: NodeIdentity {
            name: options.settings.node.name.clone(),
            incarnation: start_incarnation(),
        },
        zone: options.settings.node.zone.clone(),
        replica: replica.clone(),
        dispatch: dispatch.clone(),
        registry: registry.clone(),
        tracker: tracker.clone(),
    };
    let (stop, signal) = stop_channel();
    let (directory, origins) = (GroupDirectory::default(), OriginService::new());
    let folder = &options.settings.storage.folder;
    let witness = FoundingWitness::with_disk(folder, &options.seeds.addresses(), record.as_ref());
    let api = ControlApi {
        sync: SyncService::new(
            replica.clone(),
            registry.clone(),
            tracker.clone(),
            directory.clone(),
            origins.clone(),
        ),
        actions: ActionService::new(replica.clone()),
        options: Arc::new(options),
        replica: replica.clone(),
        dispatch,
        registry,
        tracker,
        operators,
        metrics,
        leader: Arc::default(),
        peer_addresses,
        directory,
        witness,
        origins,
        stop: signal.clone(),
    };
    let mut tasks = JoinSet::new();
    let group = api.options.group_runtime.clone().unwrap_or_else(Handle::current);
    tasks.spawn_on(until_draining(driver.run(), signal.clone()), &group);
    let request = JoinRequest { identity: identity.clone(), address: advertised };
    let membership = match api.options.settings.group {
        Some(_) => spawn_open_membership(&mut tasks, &api, request, record, &signal),
        None => {
            let options = ControllerOptions::clone(&api.options);
            let join_task = join_group(options, replica.clone(), request, must_join);
            tasks.spawn(until_draining(join_task, signal.clone()))
        }
    };
    let watched = api.dispatch.clone();
    let watch = watch_event_loop(api.metrics.clone(), move |delay| watched.record_delay(delay));
    tasks.spawn(until_draining(watch, signal.clone()));
    if let Some(runtime) = &api.options.group_runtime {
        let watch = watch_event_loop(api.metrics.clone(), |_| {});
        tasks.spawn_on(until_draining(watch, signal.clone()), runtime);
    }
    tasks.spawn(until_draining(record_metrics(api.clone()), signal.clone()));
    tasks.spawn(until_draining(run_dispatcher(api.clone()), signal.clone()));
    tasks.spawn(until_draining(run_expiry(api.clone()), signal.clone()));
    let turns = api.dispatch.clone();
    tasks.spawn(until_draining(async move { turns.run_turns().await }, signal.clone()));
    tasks.spawn(until_draining(run_periodic_commits(api.clone()), signal.clone()));
    tasks.spawn(until_draining(copy_leader_registry(api.clone()), signal.clone()));
    tasks.spawn(until_draining(report_nodes(api.clone()), signal.clone()));
    for credential in
        [&api.options.process, &api.options.operator, &api.options.upstream, &api.options.metrics]
    {
        tasks.spawn(until_draining(credential.clone().watch(), signal.clone()));
    }
    let handle_api = api.clone();
    let work = api.options.group_runtime.as_ref().map(|_| Handle::current());
    let service = tower::service_fn(move |request: Request<Incoming>| {
        let (api, work) = (api.clone(), work.clone());
        async move { Ok::<FullResponse, Infallible>(handle_request(api, work, request).await) }
    });
    let listener = move_listener(listener, &group)
        .map_err(|error| ControllerError::Listen { address, reason: error.to_string() })?;
    tasks.spawn_on(serve_upgradeable(listener, service, ServerLimits::default(), signal), &group);
    log::info!(event = "controller_started", address = address.to_string(); "controller started");
    Ok(ControllerHandle {
        address,
        replica,
        stop,
        tasks,
        api: handle_api,
        storage_stopped,
        identity,
        membership: Some(membership),
    })
}

/// Starts the tasks that form an open group, keep this controller in it and make it known to seeds.
/// Returns the one that joins the group, which a planned stop has to end first.
fn spawn_open_membership(
    tasks: &mut JoinSet<()>,
    api: &ControlApi,
    request: JoinRequest,
    record: Option<FoundingRecord>,
    signal: &StopSignal,
) -> AbortHandle {
    let options = ControllerOptions::clone(&api.options);
    let replica = &api.replica;
    let notice_task = inform_seeds(options.clone(), replica.clone(), request.address);
    tasks.spawn(until_draining(notice_task, signal.clone()));
    let candidate =
        FoundingCandidate::new(options.clone(), replica.clone(), request.clone(), record);
    tasks.spawn(until_draining(candidate.run(), signal.clone()));
    let (directory, peers) = (api.directory.clone(), api.peer_addresses.clone());
    let membership_task = stay_in_group(options, replica.clone(), request, directory, peers);
    tasks.spawn(until_draining(membership_task, signal.clone()))
}

/// Paths that are handled on the runtime of the group: its messages, and changes that followers
/// pass on, which somebody waits for.
const GROUP_PATHS: [&str; 5] =
    [REPLICA_PATH, LEAVE_PATH, FORWARD_PATH, ROUTES_PATH, EVACUATIONS_PATH];

/// Handles requests on [`GROUP_PATHS`] at once, and all others on the runtime `work`, if given.
async fn handle_request(
    api: ControlApi,
    work: Option<Handle>,
    request: Request<Incoming>,
) -> FullResponse {
    match work.filter(|_| !GROUP_PATHS.contains(&request.uri().path())) {
        None => api.handle(request).await,
        Some(work) => {
            let handled = work.spawn(async move { api.handle(request).await });
            AbortOnDropHandle::new(handled).await.unwrap_or_else(|_| {
                error_response(ErrorKind::Stopping, "This controller is shutting down.")
            })
        }
    }
}

/// Registers a listener with the event loop of `runtime`.
pub fn move_listener(listener: TcpListener, runtime: &Handle) -> std::io::Result<TcpListener> {
    let listener = listener.into_std()?;
    let _context = runtime.enter();
    TcpListener::from_std(listener)
}

async fn until_draining(task: impl Future<Output = ()>, mut signal: StopSignal) {
    tokio::select! {
        () = task => {}
        () = signal.reached(StopPhase::Draining) => {}
    }
}

/// A replica whose storage is open and whose driver task has not been started.
struct OpenedReplica {
    driver: ReplicaDriver<StdRng>,
    replica: ReplicaHandle,
    identity: ReplicaIdentity,
    /// True when this replica must ask the group to add it as a member.
    must_join: bool,
    /// Resolves once the storage thread has closed its files.
    storage_stopped: oneshot::Receiver<()>,
    /// What the disk holds of the first start of an open group.
    record: Option<FoundingRecord>,
}

async fn open_replica(
    options: &ControllerOptions,
    epoch: Instant,
    address: SocketAddr,
    peer_addresses: PeerAddresses,
) -> Result<OpenedReplica, ControllerError> {
    let folder = &options.settings.storage.folder;
    let storage_error = |kind, message: String| ControllerError::Storage { kind, message };
    let mut rng: StdRng = rand::make_rng();
    let name = options.settings.node.name.clone();
    let identity = ReplicaIdentity { name, id: rand::Rng::next_u64(&mut rng) };
    let unused = is_unused_folder(folder).map_err(|error| {
        let kind = baobabfall_core::error_kind::ErrorKind::StorageFailed;
        storage_error(kind, format!("Data folder {} cannot be read: {error}.", folder.display()))
    })?;
    let record = match options.settings.group.as_ref() {
        None => None,
        Some(group) if group.found && unused => Some(first_start_record(options, folder)?),
        Some(_) => read_record(folder)?,
    };
    let members = match unused {
        true => initial_members(options, &identity, address).await,
        false => ReplicaMembers::default(),
    };
    let (store, stored) = LogStore::open(DiskFolder::new(folder), identity, members)
        .map_err(|error| storage_error(error.kind(), error.to_string()))?;
    let identity = store.identity().clone();
    let state = match stored.snapshot.bytes.is_empty() {
        true => ControlState::default(),
        false => ControlState::from_snapshot(&stored.snapshot.bytes)
            .map_err(|error| storage_error(error.kind(), error.to_string()))?,
    };
    let has_log = stored.snapshot.meta.index > 0 || !stored.entries.is_empty();
    let core = ReplicaCore::new(
        epoch.elapsed(),
        ReplicaOptions {
            min_voters: options.min_voters(),
            ..ReplicaOptions::new(identity.clone())
        },
        stored,
        StdRng::from_rng(&mut rng),
    );
    let (storage, storage_results, storage_stopped) = start_storage(store).map_err(|error| {
        let kind = baobabfall_core::error_kind::ErrorKind::StorageFailed;
        storage_error(kind, format!("The storage thread cannot start: {error}."))
    })?;
    let configured = options.settings.peers.iter().map(|peer| (peer.name.clone(), peer.address));
    let peers = PeerLinks::new(options.process.clone(), configured, address, peer_addresses);
    let (driver, replica) = ReplicaDriver::new(core, epoch, state, storage, storage_results, peers);
    // A replica with a log that is not a member was removed by an operator or is still catching
    // up with the leader. Only a replica that never stored anything asks to be added.
    let must_join = !has_log && replica.view().members.get(identity.id).is_none();
    Ok(OpenedReplica { driver, replica, identity, must_join, storage_stopped, record })
}

/// The record of the first start, which an interrupted one may have left.
fn first_start_record(
    options: &ControllerOptions,
    folder: &Path,
) -> Result<FoundingRecord, ControllerError> {
    match read_record(folder)? {
        Some(record) => Ok(record),
        None => create_record(folder, options.seeds.addresses()),
    }
}

/// Runs a dispatcher while this controller leads a term, and passes it every change of the workspace
/// table, the registry, the planned stops and the evacuated zones. A lapse of the lease within the term does not end it,
/// since nobody else was elected; it grants nothing until the lease is valid again.
async fn run_dispatcher(api: ControlApi) {
    let mut replica = api.replica.watch_versions();
    let mut registry = api.registry.watch();
    let mut deregistered_version = 0;
    let mut led = false;
    loop {
        let versions = *replica.borrow_and_update();
        registry.borrow_and_update();
        if versions.deregistered_version != deregistered_version {
            deregistered_version = versions.deregistered_version;
            api.registry.update_deregistered(&api.replica);
        }
        if versions.leads && !led {
            // Renewals were refused until now.
            api.registry.extend_live_entries();
        }
        led = versions.leads;
        let term = versions.led_term;
        if term.is_none_or(|term| !api.dispatch.has_dispatcher_for(term)) {
            api.dispatch.resign();
        }
        if let Some(term) = term {
            if versions.leads && !api.dispatch.has_dispatcher_for(term) {
                api.dispatch.lead(term, &expected_routers(&api));
            }
            update_dispatcher(&api);
        }
        let changed = tokio::select! {
            changed = replica.changed() => changed,
            changed = registry.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Routers whose full reports complete the state of a new dispatcher. Empty if they are not all
/// known, so that it waits as long as it may: in a group, the other controllers know the routers
/// that poll them.
fn expected_routers(api: &ControlApi) -> Vec<String> {
    match api.replica.view().members.iter().count() {
        0 | 1 => api.tracker.live_routers(MAX_ROUTER_SILENCE),
        _ => Vec::new(),
    }
}

fn update_dispatcher(api: &ControlApi) {
    let (table, stopping, evacuations) = {
        let state = api.replica.state();
        let stops: Vec<String> = state
            .stops()
            .keys()
            .filter(|target| matches!(target.kind, StopKind::Upstream | StopKind::Host))
            .map(|target| target.name.clone())
            .collect();
        (state.history().table().clone(), stops, state.evacuations().list())
    };
    let stopping: Vec<String> = stopping
        .iter()
        .flat_map(|name| operator_views::upstreams_of(&api.operators, name))
        .collect();
    let live = api.registry.live_announcements();
    let services = {
        let state = api.replica.state();
        state.routes().map(|record| record.table.services.clone()).unwrap_or_default()
    };
    api.dispatch.update(|dispatcher, now| {
        dispatcher.set_table(now, &table);
        dispatcher.set_cold_services(&services);
        dispatcher.set_upstreams(now, &live);
        dispatcher.set_stopping_upstreams(now, stopping.iter().map(String::as_str));
        dispatcher.set_evacuated_zones(now, evacuations.zones.iter().map(String::as_str));
    });
}

async fn run_expiry(api: ControlApi) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut delay = Duration::ZERO;
    loop {
        let due = ticks.tick().await;
        // Falls slowly, so that routers do not return to a full pace after each calm turn.
        delay = due.elapsed().max(delay.mul_f64(DELAY_DECAY));
        // Renewals reach only the leader, so only the leader may expire entries.
        if api.replica.leads() {
            api.registry.expire();
        }
        api.dispatch.tick(delay);
    }
}

async fn run_periodic_commits(api: ControlApi) {
    let mut ticks = tokio::time::interval(CLAIM_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        api.actions.expire_overdue_claims().await;
        for router in api.dispatch.take_new_routers() {
            let command = baobabfall_core::control_command::ControlCommand::RouterSeen { router };
            let _ = api.replica.propose(command).await;
        }
    }
}

/// Updates the gauges of the table revision and the fairness gap, which the burn report reads.
async fn record_metrics(api: ControlApi) {
    let mut ticks = tokio::time::interval(METRICS_INTERVAL);
    loop {
        ticks.tick().await;
        api.dispatch.log_load();
        let cold = api.dispatch.read(|dispatcher, _| dispatcher.cold_count()).unwrap_or(0);
        api.metrics.cold_upstreams.record(u64::try_from(cold).unwrap_or(u64::MAX), &[]);
        let revision = api.replica.state().history().revision();
        api.metrics.table_revision.record(revision, &[]);
        for view in operator_views::fairness(&api.operators) {
            // The gap is defined only between two or more backlogged workspaces.
            if view.backlogged >= 2 && view.bound > 0.0 {
                let pool = KeyValue::new("pool", view.pool);
                api.metrics.fairness_gap.record(view.gap / view.bound, &[pool]);
            }
        }
    }
}

/// Keeps a copy of the leader's registry on a follower, so that this controller knows the live
/// upstreams immediately when it becomes leader.
async fn copy_leader_registry(api: ControlApi) {
    let node = api.operators.identity.clone();
    let mut version = (0, 0);
    let mut client: Option<PeerClient> = None;
    loop {
        let Some(address) = api.leader_address() else {
            tokio::time::sleep(TICK_INTERVAL).await;
            version = (0, 0);
            continue;
        };
        let client = match client.take().filter(|connected| connected.address() == address) {
            Some(connected) => client.insert(connected),
            None => client.insert(PeerClient::new(address)),
        };
        let (revision, stops_version) = {
            let state = api.replica.state();
            (state.history().revision(), state.stops_version())
        };
        let request = SyncRequest {
            // Controllers receive these through the log, not through a sync.
            routes_version: u64::MAX,
            departures_version: u64::MAX,
            evacuations_version: u64::MAX,
            origins: None,
            leader_term: u64::MAX,
            node: node.clone(),
            kind: NodeKind::Controller,
            zone: api.options.settings.node.zone.clone(),
            revision,
            stops_version,
            registry_version: version,
            in_progress: 0,
            wait_ms: 1000,
        };
        let token = api.options.process.token();
        let answer: Result<SyncAnswer, _> =
            client.call(SYNC_PATH, &token, &request, LEADER_TIMEOUT).await;
        match answer {
            Ok(answer) => {
                // Only a leader's own view is complete. An answer may also arrive after this
                // controller has taken the lead.
                let is_current = answer.leads && api.replica.led_term().is_none();
                if let Some(view) = answer.registry.filter(|_| is_current) {
                    version = view.version;
                    api.registry.copy_from(view);
                }
                if !answer.leads {
                    // A controller that doesn't lead answers immediately. The delay avoids a busy
                    // loop until this controller learns who the new leader is.
                    tokio::time::sleep(TICK_INTERVAL).await;
                }
            }
            Err(_) => tokio::time::sleep(TICK_INTERVAL).await,
        }
    }
}

async fn report_nodes(api: ControlApi) {
    let mut ticks = tokio::time::interval(NODE_REPORT_INTERVAL);
    let mut client: Option<PeerClient> = None;
    loop {
        ticks.tick().await;
        let Some(address) = api.leader_address() else { continue };
        let views = api.tracker.direct_views();
        if views.is_empty() {
            continue;
        }
        if client.as_ref().is_none_or(|connected| connected.address() != address) {
            client = Some(PeerClient::new(address));
        }
        if let Some(client) = &client {
            let token = api.options.process.token();
            let _: Result<(), _> = client.call(OBSERVED_PATH, &token, &views, LEADER_TIMEOUT).await;
        }
    }
}
