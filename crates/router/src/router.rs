//! Startup, background tasks and graceful shutdown of a router.

use crate::action_client::ActionClient;
use crate::caller_api;
use crate::direct_slots::DirectSlots;
use crate::dispatch_client::DispatchClient;
use crate::drain::{DrainPhase, DrainState};
use crate::error::RouterError;
use crate::exchange_api;
use crate::exchange_protocol::ExchangeProtocol;
use crate::exchange_state::{ExchangeOptions, ExchangeState};
use crate::fleet_api;
use crate::handover::{ConnectionHandover, HANDOVER_PATH, HandoverTally};
use crate::health_probe::{HealthProbe, ProbeTarget};
use crate::leader_link::LeaderLink;
use crate::load_watch::{publish_thread_time, watch_connections, watch_load};
use crate::local_mode::LocalMode;
use crate::options::{RouterListeners, RouterOptions};
use crate::relay_watch::RelayWatch;
use crate::request_queue::SharedQueue;
use crate::retry::RetryBudgets;
use crate::router_state::{RouterState, carried_requests};
use crate::table_sync::TableSync;
use crate::table_view::FleetView;
use crate::takeover::take_connection;
use crate::upstream_pool::UpstreamPool;
use baobabfall_core::dispatch_messages::LeaseId;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::request_life::RequestLifecycle;
use baobabfall_node::accept_gate::AcceptGate;
use baobabfall_node::http_server::{serve_diverted, serve_gated, serve_upgradeable};
use baobabfall_node::loop_watch::watch_event_loop;
use baobabfall_node::messages::StopKind;
use baobabfall_node::node_metrics::NodeMetrics;
use baobabfall_node::stop_signal::{StopPhase, StopSender, stop_channel};
use baobabfall_node::thread_clock::ThreadTime;
use bytes::Bytes;
use futures_util::FutureExt;
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tower::Service;

/// Poll interval while a graceful shutdown waits for a condition.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often expired idle connections to upstreams are closed.
const IDLE_CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How often upstreams with long-running requests are considered for a health check.
const UPSTREAM_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a graceful shutdown waits for the final reports to be acknowledged, and
/// afterwards for the remaining connections to close.
const FINAL_REPORTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Value used instead of [`FINAL_REPORTS_TIMEOUT`] if `close_on_stop` is set: the
/// platform then kills the process shortly after the shutdown began.
const SHORT_FINAL_REPORTS_TIMEOUT: Duration = Duration::from_millis(200);

/// Entry point for starting a router in this process.
#[derive(Debug)]
pub struct Router;

/// Handle to a running router. Dropping it aborts the router.
#[derive(Debug)]
pub struct RouterHandle {
    caller: SocketAddr,
    fleet: SocketAddr,
    state: Arc<RouterState>,
    local: Arc<LocalMode>,
    servers: StopSender,
    abort: CancellationToken,
    done: CancellationToken,
}

impl Router {
    /// Starts a router that serves the built-in caller API on bound listeners.
    pub async fn start(
        options: RouterOptions,
        listeners: RouterListeners,
    ) -> Result<RouterHandle, RouterError> {
        let state = build_state(options, &CancellationToken::new())?;
        let callers = Arc::clone(&state);
        let service = tower::service_fn(move |request: Request<Incoming>| {
            let state = Arc::clone(&callers);
            async move { Ok::<_, Infallible>(caller_api::handle(state, request).await) }
        });
        Self::start_serving(state, listeners, service, None)
    }

    /// Starts a router whose caller listener serves exchanges of `protocol` on
    /// configured routes instead of the built-in caller API.
    pub async fn start_exchanges<P: ExchangeProtocol>(
        mut options: RouterOptions,
        listeners: RouterListeners,
        protocol: P,
        exchanges: &ExchangeOptions,
    ) -> Result<(RouterHandle, Arc<ExchangeState<P>>), RouterError> {
        let fleet_address = bound_address(&listeners.fleet)?;
        options.handover_address = (!fleet_address.ip().is_unspecified()).then_some(fleet_address);
        let failure = whole_response(protocol.refusal(ErrorKind::UpstreamFailed, None));
        let state = build_state(options, &CancellationToken::new())?;
        let exchanges = ExchangeState::new(Arc::clone(&state), protocol, exchanges);
        let callers = Arc::clone(&exchanges);
        let service = tower::service_fn(move |request: Request<Incoming>| {
            let state = Arc::clone(&callers);
            async move { Ok::<_, Infallible>(exchange_api::handle(state, request).await) }
        });
        let handover = ConnectionHandover::new(Arc::clone(&state), failure);
        let handle = Self::start_serving(state, listeners, service, Some(handover))?;
        Ok((handle, exchanges))
    }

    fn start_serving<S, B>(
        state: Arc<RouterState>,
        listeners: RouterListeners,
        caller_service: S,
        handover: Option<ConnectionHandover>,
    ) -> Result<RouterHandle, RouterError>
    where
        S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
        S: Clone + Send + 'static,
        S::Future: Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: std::error::Error + Send + Sync,
    {
        let (caller, fleet) = (bound_address(&listeners.caller)?, bound_address(&listeners.fleet)?);
        let abort = state.abort.clone();
        let (servers, signal) = stop_channel();
        let mut tasks = JoinSet::new();
        spawn_clients(&mut tasks, &state);
        let local = LocalMode::new(Arc::clone(&state));
        let runner = Arc::clone(&local);
        tasks.spawn(async move { runner.run().await });
        let limits = state.options.server_limits();
        let fleet_state = Arc::clone(&state);
        let takes_connections = handover.is_some();
        let (taken_service, taken_signal) = (caller_service.clone(), signal.clone());
        let fleet_service = tower::service_fn(move |request: Request<Incoming>| {
            let state = Arc::clone(&fleet_state);
            let taken = (takes_connections && request.uri().path() == HANDOVER_PATH)
                .then(|| (taken_service.clone(), taken_signal.clone()));
            async move {
                Ok::<_, Infallible>(match taken {
                    Some((service, signal)) => take_connection(&state, request, service, signal),
                    None => fleet_api::handle(state, request).await,
                })
            }
        });
        let mut serving = JoinSet::new();
        let metrics = state.metrics.clone();
        let refused = move || metrics.count_refusal(ErrorKind::MalformedRequest.answer().code);
        let caller_signal = signal.clone();
        let (listener, gate) = (listeners.caller, Arc::clone(&state.accept_gate));
        match handover {
            Some(handover) => serving.spawn(serve_diverted(
                listener,
                caller_service,
                limits,
                caller_signal,
                gate,
                handover,
                refused,
            )),
            None => serving.spawn(serve_gated(
                listener,
                caller_service,
                limits,
                caller_signal,
                gate,
                refused,
            )),
        };
        serving.spawn(serve_upgradeable(listeners.fleet, fleet_service, limits, signal));
        let done = CancellationToken::new();
        let supervisor = Supervisor {
            state: Arc::clone(&state),
            servers: servers.clone(),
            abort: abort.clone(),
            done: done.clone(),
        };
        tokio::spawn(supervisor.run(tasks, serving));
        log::info!(event = "router_started", caller = caller.to_string(), fleet = fleet.to_string(); "router started");
        Ok(RouterHandle { caller, fleet, state, local, servers, abort, done })
    }
}

fn bound_address(listener: &TcpListener) -> Result<SocketAddr, RouterError> {
    listener.local_addr().map_err(|error| RouterError::Setup(error.to_string()))
}

/// Encodes a response, after which the connection is closed.
fn whole_response(response: Response<Full<Bytes>>) -> Bytes {
    let (parts, body) = response.into_parts();
    let body = body.collect().now_or_never().and_then(Result::ok);
    let body = body.map(|collected| collected.to_bytes()).unwrap_or_default();
    let mut encoded = format!("HTTP/1.1 {}\r\n", parts.status).into_bytes();
    for (name, value) in &parts.headers {
        encoded.extend_from_slice(name.as_str().as_bytes());
        encoded.extend_from_slice(b": ");
        encoded.extend_from_slice(value.as_bytes());
        encoded.extend_from_slice(b"\r\n");
    }
    let rest = format!("content-length: {}\r\nconnection: close\r\n\r\n", body.len());
    encoded.extend_from_slice(rest.as_bytes());
    encoded.extend_from_slice(&body);
    encoded.into()
}

impl RouterHandle {
    /// Bound address of the caller listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Bound address of the fleet listener.
    pub fn fleet_address(&self) -> SocketAddr {
        self.fleet
    }

    /// Shared state of the router, for status queries, tests and benchmarks.
    pub fn state(&self) -> &Arc<RouterState> {
        &self.state
    }

    /// True while the router is in local mode: no dispatcher answers, so it
    /// dispatches its own requests.
    pub fn is_local(&self) -> bool {
        self.local.is_active()
    }

    /// Requests a graceful shutdown and returns at once; [`Self::join`] waits for
    /// its end.
    pub fn begin_stop(&self) {
        self.state.drain.request();
    }

    /// Ends all tasks and closes all connections immediately.
    pub fn abort(&self) {
        self.abort.cancel();
        self.servers.advance(StopPhase::Stopped);
    }

    /// Waits until the router has ended after [`Self::begin_stop`] or [`Self::abort`].
    pub async fn join(&self) {
        self.done.cancelled().await;
    }
}

impl Drop for RouterHandle {
    fn drop(&mut self) {
        self.abort();
    }
}

fn build_state(
    options: RouterOptions,
    abort: &CancellationToken,
) -> Result<Arc<RouterState>, RouterError> {
    let metrics = NodeMetrics::new().map_err(RouterError::Setup)?;
    let life = RequestLifecycle::begin().map_err(|error| RouterError::Setup(error.to_string()))?;
    let settings = &options.settings;
    let addresses = settings.controllers.addresses.clone();
    let link = Arc::new(LeaderLink::new(addresses, options.process.clone(), metrics.clone()));
    let queue = SharedQueue::new();
    let identity = options.identity.clone();
    let zone = settings.node.zone.clone();
    let dispatch =
        DispatchClient::new(Arc::clone(&queue), Arc::clone(&link), identity.clone(), zone);
    let claim_time = settings.limits.claim_time.0;
    let in_progress = Arc::new(AtomicU32::new(0));
    let connection_permits = Arc::new(Semaphore::new(settings.limits.connections));
    Ok(Arc::new(RouterState {
        metrics,
        life,
        fleet: Arc::new(FleetView::new()),
        dispatch: Arc::new(dispatch),
        probe: match options.health_checks {
            true => HealthProbe::new(),
            false => HealthProbe::disabled(),
        },
        relays: Arc::new(RelayWatch::new(settings.limits.caller_gap.0)),
        pool: UpstreamPool::new(settings.limits.connect_time.0, abort.clone()),
        actions: ActionClient::new(Arc::clone(&link), identity, claim_time),
        retries: RetryBudgets::default(),
        accept_gate: AcceptGate::new(
            Arc::clone(&connection_permits),
            Arc::clone(&in_progress),
            carried_requests(&options),
        ),
        connection_permits,
        handovers: HandoverTally::default(),
        abort: abort.clone(),
        drain: DrainState::new(),
        in_progress,
        queue,
        direct: DirectSlots::new(),
        link,
        options,
    }))
}

fn spawn_clients(tasks: &mut JoinSet<()>, state: &Arc<RouterState>) {
    let sync = TableSync {
        fleet: Arc::clone(&state.fleet),
        link: Arc::clone(&state.link),
        identity: state.options.identity.clone(),
        zone: state.options.settings.node.zone.clone(),
        in_progress: Arc::clone(&state.in_progress),
        metrics: state.metrics.clone(),
        queue: Arc::clone(&state.queue),
    };
    let control = state.options.control.clone().unwrap_or_else(Handle::current);
    tasks.spawn_on(async move { sync.run().await }, &control);
    let dispatch = Arc::clone(&state.dispatch);
    tasks.spawn_on(async move { dispatch.run().await }, &control);
    let actions = Arc::clone(&state.actions);
    tasks.spawn_on(async move { actions.run_claims().await }, &control);
    let actions = Arc::clone(&state.actions);
    tasks.spawn_on(async move { actions.run_outcomes().await }, &control);
    let observer = Arc::clone(state);
    tasks.spawn(watch_event_loop(state.metrics.clone(), move |delay| {
        observer.accept_gate.observe_delay(delay);
        observer.report_load();
    }));
    let pool = Arc::clone(&state.pool);
    tasks.spawn(async move {
        loop {
            tokio::time::sleep(IDLE_CONNECTION_CHECK_INTERVAL).await;
            pool.expire();
        }
    });
    let relays = Arc::clone(&state.relays);
    tasks.spawn(async move { relays.run().await });
    tasks.spawn(watch_connections(Arc::clone(state)));
    let control_time = Arc::new(ThreadTime::default());
    tasks.spawn_on(publish_thread_time(Arc::clone(&control_time)), &control);
    tasks.spawn(watch_load(Arc::clone(state), control_time));
    if state.options.health_checks {
        tasks.spawn(watch_upstreams(Arc::clone(state)));
    }
    for credential in [&state.options.process, &state.options.upstream, &state.options.metrics] {
        tasks.spawn(credential.clone().watch());
    }
}

/// Health-checks the upstreams that have a long-running request. This detects an
/// upstream that disappeared without closing its connections.
async fn watch_upstreams(state: Arc<RouterState>) {
    let mut earlier: Vec<LeaseId> = Vec::new();
    loop {
        tokio::time::sleep(UPSTREAM_CHECK_INTERVAL).await;
        let mut current = Vec::new();
        let mut targets: Vec<ProbeTarget> = Vec::new();
        for (lease, route) in state.queue.book().running_routes() {
            current.push(lease);
            let long_running = earlier.binary_search(&lease).is_ok();
            if long_running && !targets.iter().any(|target| target.name == route.name) {
                targets.push(ProbeTarget::from(route));
            }
        }
        earlier = current;
        state.probe.check_due(targets);
    }
}

/// Runs graceful shutdowns, planned or requested, and ends all tasks.
struct Supervisor {
    state: Arc<RouterState>,
    servers: StopSender,
    abort: CancellationToken,
    done: CancellationToken,
}

impl Supervisor {
    async fn run(self, mut tasks: JoinSet<()>, mut serving: JoinSet<()>) {
        tokio::select! {
            () = self.abort.cancelled() => {}
            () = self.stop_gracefully(&mut serving) => {}
        }
        self.servers.advance(StopPhase::Stopped);
        tasks.shutdown().await;
        serving.shutdown().await;
        self.abort.cancel();
        self.done.cancel();
        log::info!(event = "router_ended"; "router ended");
    }

    async fn stop_gracefully(&self, serving: &mut JoinSet<()>) {
        self.announce_shutdown().await;
        let drain = &self.state.drain;
        drain.advance(DrainPhase::Refusing);
        log::info!(event = "stop_refusing"; "graceful shutdown: refusing new requests");
        if self.state.options.close_on_stop {
            self.servers.advance(StopPhase::Draining);
        }
        let limits = &self.state.options.settings.limits;
        let queue_empty = self.wait_until(|state| state.queue.book().queued() == 0);
        let _ = tokio::time::timeout(limits.stop_queue.0, queue_empty).await;
        drain.advance(DrainPhase::Finishing);
        let decisions = self.state.queue.book().drain_queues();
        self.state.queue.deliver(decisions);
        self.state.queue.notify();
        let idle =
            self.wait_until(|state| state.in_progress() == 0 && state.accept_gate.diverted() == 0);
        match drain.cutoff() {
            Some(cutoff) => {
                let _ = tokio::time::timeout_at(cutoff, idle).await;
            }
            None => idle.await,
        }
        drain.advance(DrainPhase::Drained);
        let reported = self.wait_until(|state| {
            state.actions.unacknowledged() == 0 && !state.queue.book().is_changed()
        });
        let final_reports_timeout = match self.state.options.close_on_stop {
            true => SHORT_FINAL_REPORTS_TIMEOUT,
            false => FINAL_REPORTS_TIMEOUT,
        };
        let _ = tokio::time::timeout(final_reports_timeout, reported).await;
        log::info!(event = "stop_drained", in_progress = self.state.in_progress(); "graceful shutdown: router is drained");
        // After a planned stop the process keeps running until it is asked to terminate.
        drain.requested().await;
        self.servers.advance(StopPhase::Draining);
        let ended = async { while serving.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(final_reports_timeout, ended).await;
    }

    /// Waits for a shutdown to be planned or requested, announces it and returns
    /// after the notice period. A planned stop that is cancelled during the notice
    /// period has no effect.
    async fn announce_shutdown(&self) {
        let drain = &self.state.drain;
        let limits = &self.state.options.settings.limits;
        let notice = limits.stop_notice.0;
        let until_cutoff =
            limits.stop_running.map(|running| notice + limits.stop_queue.0 + running.0);
        loop {
            self.wait_until(|state| state.drain.is_requested() || is_planned(state)).await;
            drain.announce(until_cutoff.map(|time| Instant::now() + time));
            log::info!(event = "stop_announced"; "graceful shutdown announced");
            let cancelled =
                self.wait_until(|state| !state.drain.is_requested() && !is_planned(state));
            if tokio::time::timeout(notice, cancelled).await.is_err() {
                return;
            }
            drain.cancel_announcement();
            log::info!(event = "stop_cancelled"; "announced shutdown was cancelled");
        }
    }

    async fn wait_until(&self, condition: impl Fn(&RouterState) -> bool) {
        while !condition(&self.state) {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }
}

fn is_planned(state: &RouterState) -> bool {
    let node = &state.options.settings.node;
    state.fleet.is_stopping(StopKind::Router, &node.name)
        || state.fleet.is_stopping(StopKind::Host, &node.host)
}
