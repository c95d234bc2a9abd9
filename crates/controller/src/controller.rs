//! Start, tasks and stop of a controller.

use crate::action_service::{ActionService, OVERDUE_INTERVAL};
use crate::control_api::{ControlApi, OBSERVED_PATH};
use crate::disk_folder::DiskFolder;
use crate::dispatch_service::DispatchService;
use crate::error::ControllerError;
use crate::log_store::LogStore;
use crate::membership::{founding_members, is_empty_folder, join_group, stay_in_group};
use crate::node_tracker::NodeTracker;
use crate::operator_api::OperatorApi;
use crate::operator_views;
use crate::options::ControllerOptions;
use crate::peer_links::{PeerBook, PeerLinks};
use crate::registry_service::RegistryService;
use crate::replica_driver::{ReplicaDriver, ReplicaHandle};
use crate::storage_worker::start_storage;
use crate::sync_service::SyncService;
use baobabfall_core::control_command::StopKind;
use baobabfall_core::control_state::ControlState;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::replica_core::{ReplicaCore, ReplicaOptions};
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::http_server::{FullResponse, ServerLimits, serve};
use baobabfall_node::loop_watch::watch_event_loop;
use baobabfall_node::messages::{NodeKind, SYNC_PATH, SyncAnswer, SyncRequest};
use baobabfall_node::node_metrics::{NodeMetrics, start_incarnation};
use baobabfall_node::stop_signal::{StopPhase, StopSender, StopSignal, stop_channel};
use http::Request;
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Interval at which the dispatcher and the registry look at the time.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a follower reports its nodes to the leader.
const OBSERVED_INTERVAL: Duration = Duration::from_millis(500);
/// Time for one call to the leader, above the long poll of a sync.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Routers that were silent for longer are not waited for by a new dispatcher.
const EXPECTED_SILENCE: Duration = Duration::from_secs(3);
/// Interval at which gauges are sampled.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Time for requests in progress when the process stops.
const STOP_GRACE: Duration = Duration::from_secs(5);
/// Longest wait for the last write. A disk that hangs must not hold a stop.
const STORAGE_END: Duration = Duration::from_secs(2);

/// A running controller.
#[derive(Debug)]
pub struct ControllerHandle {
    address: SocketAddr,
    replica: ReplicaHandle,
    stop: StopSender,
    tasks: JoinSet<()>,
    api: ControlApi,
    storage_ended: oneshot::Receiver<()>,
}

impl ControllerHandle {
    /// What the listener serves, for adapters with listeners of their own.
    pub fn api(&self) -> &ControlApi {
        &self.api
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The replica, for experiments and status.
    pub fn replica(&self) -> &ReplicaHandle {
        &self.replica
    }

    /// Finishes requests in progress, then ends.
    pub async fn stop(mut self) {
        self.stop.advance(StopPhase::Draining);
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::time::sleep(STOP_GRACE).await;
            stop.advance(StopPhase::Stopped);
        });
        while self.tasks.join_next().await.is_some() {}
        self.stop.advance(StopPhase::Stopped);
        let _ = tokio::time::timeout(STORAGE_END, self.storage_ended).await;
    }

    /// Drops every task and connection at once, as a crash would.
    pub async fn kill(mut self) {
        self.stop.advance(StopPhase::Stopped);
        self.tasks.shutdown().await;
        let _ = tokio::time::timeout(STORAGE_END, self.storage_ended).await;
    }

    /// Why the controller cannot go on, once storage failed.
    pub async fn failed(&self) -> String {
        let mut view = self.replica.watch();
        loop {
            if let Some(message) = &view.borrow_and_update().failed {
                return message.clone();
            }
            if view.changed().await.is_err() {
                return "The replica ended.".to_owned();
            }
        }
    }
}

/// Starts a controller from checked options.
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
    let reached = options.settings.control.advertise.unwrap_or(address);
    let clock = Instant::now();
    let metrics = NodeMetrics::new().map_err(ControllerError::Metrics)?;
    let heard = PeerBook::default();
    let OpenedReplica { driver, replica, identity, joins, storage_ended } =
        open_replica(&options, clock, reached, heard.clone()).await?;
    let registry = RegistryService::new(clock, options.announcement_lapse);
    let tracker = NodeTracker::default();
    let dispatch = DispatchService::new(clock, replica.clone());
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
    let api = ControlApi {
        sync: SyncService::new(replica.clone(), registry.clone(), tracker.clone()),
        actions: ActionService::new(replica.clone()),
        options: Arc::new(options),
        replica: replica.clone(),
        dispatch,
        registry,
        tracker,
        operators,
        metrics,
        leader: Arc::default(),
        heard,
    };
    let (stop, signal) = stop_channel();
    let mut tasks = JoinSet::new();
    tasks.spawn(until_draining(driver.run(), signal.clone()));
    if api.options.settings.group.is_some() {
        let options = ControllerOptions::clone(&api.options);
        let staying = stay_in_group(options, replica.clone(), identity, reached);
        tasks.spawn(until_draining(staying, signal.clone()));
    } else if joins {
        let options = ControllerOptions::clone(&api.options);
        let joining = join_group(options, replica.clone(), identity, reached);
        tasks.spawn(until_draining(joining, signal.clone()));
    }
    tasks.spawn(until_draining(watch_event_loop(api.metrics.clone()), signal.clone()));
    tasks.spawn(until_draining(record_metrics(api.clone()), signal.clone()));
    tasks.spawn(until_draining(run_leadership(api.clone()), signal.clone()));
    tasks.spawn(until_draining(run_clock(api.clone()), signal.clone()));
    tasks.spawn(until_draining(run_overdue(api.clone()), signal.clone()));
    tasks.spawn(until_draining(follow_leader(api.clone()), signal.clone()));
    tasks.spawn(until_draining(report_nodes(api.clone()), signal.clone()));
    for credential in
        [&api.options.process, &api.options.operator, &api.options.upstream, &api.options.metrics]
    {
        tasks.spawn(until_draining(credential.clone().watch(), signal.clone()));
    }
    let handle_api = api.clone();
    let service = tower::service_fn(move |request: Request<Incoming>| {
        let api = api.clone();
        async move { Ok::<FullResponse, Infallible>(api.handle(request).await) }
    });
    tasks.spawn(serve(listener, service, ServerLimits::default(), signal));
    log::info!(event = "controller_started", address = address.to_string(); "controller listens");
    Ok(ControllerHandle { address, replica, stop, tasks, api: handle_api, storage_ended })
}

async fn until_draining(task: impl Future<Output = ()>, mut signal: StopSignal) {
    tokio::select! {
        () = task => {}
        () = signal.reached(StopPhase::Draining) => {}
    }
}

/// A replica whose storage is open and whose driver is not started yet.
struct OpenedReplica {
    driver: ReplicaDriver<StdRng>,
    replica: ReplicaHandle,
    identity: ReplicaIdentity,
    /// True when it has to ask the group to be added.
    joins: bool,
    /// Resolves once the storage thread writes no more.
    storage_ended: oneshot::Receiver<()>,
}

async fn open_replica(
    options: &ControllerOptions,
    clock: Instant,
    address: SocketAddr,
    heard: PeerBook,
) -> Result<OpenedReplica, ControllerError> {
    let folder = &options.settings.storage.folder;
    let storage_error = |kind, message: String| ControllerError::Storage { kind, message };
    let mut seed: StdRng = rand::make_rng();
    let name = options.settings.node.name.clone();
    let identity = ReplicaIdentity { name, id: rand::Rng::next_u64(&mut seed) };
    let empty = is_empty_folder(folder).map_err(|error| {
        let kind = baobabfall_core::error_kind::ErrorKind::StorageFailed;
        storage_error(kind, format!("{} cannot be read: {error}.", folder.display()))
    })?;
    let members = match empty {
        true => founding_members(options, &identity, address).await,
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
    let holds_log = stored.snapshot.meta.index > 0 || !stored.entries.is_empty();
    let core = ReplicaCore::new(
        clock.elapsed(),
        ReplicaOptions {
            min_voters: options.least_voters(),
            ..ReplicaOptions::new(identity.clone())
        },
        stored,
        StdRng::from_rng(&mut seed),
    );
    let (storage, done, storage_ended) = start_storage(store).map_err(|error| {
        let kind = baobabfall_core::error_kind::ErrorKind::StorageFailed;
        storage_error(kind, format!("The storage thread cannot start: {error}."))
    })?;
    let configured = options.settings.peers.iter().map(|peer| (peer.name.clone(), peer.address));
    let peers = PeerLinks::new(options.process.clone(), configured, address, heard);
    let (driver, replica) = ReplicaDriver::new(core, clock, state, storage, done, peers);
    // A replica that holds a log and is no member was removed by an operator, or is being caught
    // up by the leader; only one that never held anything asks to be added.
    let joins = !holds_log && replica.view().members.get(identity.id).is_none();
    Ok(OpenedReplica { driver, replica, identity, joins, storage_ended })
}

/// Starts and ends the dispatcher with the leadership, and feeds it the table,
/// the registry and the planned stops.
async fn run_leadership(api: ControlApi) {
    let mut replica = api.replica.news();
    let mut registry = api.registry.watch();
    let mut left_version = 0;
    loop {
        let news = *replica.borrow_and_update();
        registry.borrow_and_update();
        if news.left_version != left_version {
            left_version = news.left_version;
            let left = api.replica.state().deregistered().clone();
            api.registry.set_left(&left);
        }
        match news.leading_term {
            Some(term) => {
                if !api.dispatch.leads_in(term) {
                    api.registry.take_over();
                    api.dispatch.lead(term, &api.tracker.live_routers(EXPECTED_SILENCE));
                }
                feed_dispatcher(&api);
            }
            None => api.dispatch.resign(),
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

fn feed_dispatcher(api: &ControlApi) {
    let (table, stopping) = {
        let state = api.replica.state();
        let stops: Vec<String> = state
            .stops()
            .keys()
            .filter(|target| matches!(target.kind, StopKind::Upstream | StopKind::Host))
            .map(|target| target.name.clone())
            .collect();
        (state.history().table().clone(), stops)
    };
    let stopping: Vec<String> = stopping
        .iter()
        .flat_map(|name| operator_views::upstreams_of(&api.operators, name))
        .collect();
    let live: Vec<_> = {
        let registry = api.registry.lock();
        registry.live().map(|entry| entry.announcement.clone()).collect()
    };
    api.dispatch.update(|dispatcher, now| {
        dispatcher.set_table(now, &table);
        dispatcher.set_upstreams(now, &live);
        dispatcher.set_stopping_upstreams(now, stopping.iter().map(String::as_str));
    });
}

async fn run_clock(api: ControlApi) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        // Only the leader hears renewals, so only the leader may lapse entries.
        if api.replica.view().leads {
            api.registry.expire();
        }
        api.dispatch.tick();
    }
}

async fn run_overdue(api: ControlApi) {
    let mut ticks = tokio::time::interval(OVERDUE_INTERVAL);
    loop {
        ticks.tick().await;
        api.actions.settle_overdue().await;
        for router in api.dispatch.take_news() {
            let command = baobabfall_core::control_command::ControlCommand::RouterSeen { router };
            let _ = api.replica.propose(command).await;
        }
    }
}

/// Samples the fairness gap and the revision for the burn report.
async fn record_metrics(api: ControlApi) {
    let mut ticks = tokio::time::interval(METRICS_INTERVAL);
    loop {
        ticks.tick().await;
        let revision = api.replica.state().history().revision();
        api.metrics.table_revision.record(revision, &[]);
        for view in operator_views::fairness(&api.operators) {
            // Without two backlogged workspaces there is no gap to compare with a bound.
            if view.backlogged >= 2 && view.bound > 0.0 {
                let pool = KeyValue::new("pool", view.pool);
                api.metrics.fairness_gap.record(view.gap / view.bound, &[pool]);
            }
        }
    }
}

/// Keeps a copy of the leader's registry, so that a new leader knows the
/// upstreams at once.
async fn follow_leader(api: ControlApi) {
    let node = api.operators.identity.clone();
    let mut version = (0, 0);
    let mut client: Option<PeerClient> = None;
    loop {
        let Some(address) = api.leader_address() else {
            tokio::time::sleep(TICK_INTERVAL).await;
            version = (0, 0);
            continue;
        };
        let client = match client.take().filter(|held| held.address() == address) {
            Some(held) => client.insert(held),
            None => client.insert(PeerClient::new(address)),
        };
        let (revision, stops_version) = {
            let state = api.replica.state();
            (state.history().revision(), state.stops_version())
        };
        let request = SyncRequest {
            // A controller gets the route table through the log.
            routes_version: u64::MAX,
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
                if let Some(view) = answer.registry {
                    version = view.version;
                    api.registry.copy_from(view);
                }
                if !answer.leads {
                    // It answers at once, and this controller learns of the next leader soon.
                    tokio::time::sleep(TICK_INTERVAL).await;
                }
            }
            Err(_) => tokio::time::sleep(TICK_INTERVAL).await,
        }
    }
}

async fn report_nodes(api: ControlApi) {
    let mut ticks = tokio::time::interval(OBSERVED_INTERVAL);
    let mut client: Option<PeerClient> = None;
    loop {
        ticks.tick().await;
        let Some(address) = api.leader_address() else { continue };
        let views = api.tracker.direct_views();
        if views.is_empty() {
            continue;
        }
        if client.as_ref().is_none_or(|held| held.address() != address) {
            client = Some(PeerClient::new(address));
        }
        if let Some(client) = &client {
            let token = api.options.process.token();
            let _: Result<(), _> = client.call(OBSERVED_PATH, &token, &views, LEADER_TIMEOUT).await;
        }
    }
}
