//! Shared state of a running router.

use crate::action_client::ActionClient;
use crate::direct_slots::DirectSlots;
use crate::dispatch_client::DispatchClient;
use crate::drain::{DrainPhase, DrainState};
use crate::handover::HandoverTally;
use crate::health_probe::HealthProbe;
use crate::leader_link::LeaderLink;
use crate::options::RouterOptions;
use crate::relay_watch::RelayWatch;
use crate::request_queue::SharedQueue;
use crate::request_record::RequestRecord;
use crate::retry::RetryBudgets;
use crate::table_view::FleetView;
use crate::upstream_pool::UpstreamPool;
use baobabfall_core::dispatch_messages::{RouterLoad, UpstreamRoute};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::request_life::RequestLifecycle;
use baobabfall_core::send_barrier::SendBarrier;
use baobabfall_node::accept_gate::AcceptGate;
use baobabfall_node::node_metrics::NodeMetrics;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// State that all tasks of a running router share.
#[derive(Debug)]
pub struct RouterState {
    /// Validated settings, credentials and options.
    pub options: RouterOptions,
    /// Metrics of the router.
    pub metrics: NodeMetrics,
    /// Tables, upstreams and planned stops received from the controllers.
    pub fleet: Arc<FleetView>,
    /// Queued requests and held leases.
    pub queue: Arc<SharedQueue>,
    /// Slots of plain services that the router takes without the dispatcher.
    pub direct: Arc<DirectSlots>,
    /// Connections to the controllers.
    pub link: Arc<LeaderLink>,
    /// Client for reports to and grants from the dispatcher.
    pub dispatch: Arc<DispatchClient>,
    /// Connection pool for upstreams.
    pub pool: Arc<UpstreamPool>,
    /// Health checks of upstreams.
    pub probe: Arc<HealthProbe>,
    /// Watches answers that are being relayed, to detect stalled callers.
    pub relays: Arc<RelayWatch>,
    /// Client for claims and outcomes of protected actions.
    pub actions: Arc<ActionClient>,
    /// Retry budgets per workspace.
    pub retries: RetryBudgets,
    /// State of the graceful shutdown.
    pub drain: DrainState,
    /// Number of requests in progress.
    pub in_progress: Arc<AtomicU32>,
    /// Request lifecycle in its initial state, which is cloned for each request.
    pub life: RequestLifecycle,
    /// Cancelled to end all tasks and connections immediately.
    pub abort: CancellationToken,
    /// Permits for open caller connections, one per connection.
    pub connection_permits: Arc<Semaphore>,
    /// Decides which new connections of callers are served.
    pub accept_gate: Arc<AcceptGate>,
    /// Connections handed over to neighbours and taken from them.
    pub handovers: HandoverTally,
}

/// Thousandths of a core for a request in progress: an answer with 14 events takes 0.9 ms of
/// processor time and half a second.
const THOUSANDTHS_PER_REQUEST: u32 = 2;
/// Thousandths of a core that are assumed where the settings name none.
const ASSUMED_THOUSANDTHS: u32 = 120;
/// Least number of requests in progress that a router offers to take, whatever its share.
const LEAST_WORK: u32 = 16;

/// Requests in progress that the processor of the host carries.
pub(crate) fn carried_requests(options: &RouterOptions) -> u32 {
    let core = options.core_thousandths.unwrap_or(ASSUMED_THOUSANDTHS);
    (core / THOUSANDTHS_PER_REQUEST).max(LEAST_WORK)
}

impl RouterState {
    /// Creates the record of a new request and counts it as in progress.
    pub fn record(&self, id: String) -> RequestRecord {
        let in_progress = Arc::clone(&self.in_progress);
        RequestRecord::begin(id, self.life.clone(), self.metrics.clone(), in_progress)
    }

    /// Reason why new requests are currently refused; `None` if they are accepted.
    pub fn refusal(&self) -> Option<ErrorKind> {
        if !self.drain.accepts_work() {
            return Some(ErrorKind::Stopping);
        }
        self.fleet.table().is_none().then_some(ErrorKind::NotReady)
    }

    /// Why this incarnation of an upstream may not get a request now, if there is a reason. Asked
    /// last, right before a request is written.
    pub fn send_barrier(&self, route: &UpstreamRoute) -> Option<SendBarrier> {
        let directory = self.fleet.directory();
        let (name, incarnation) = (route.name.as_str(), route.incarnation);
        let has_left =
            directory.has_left(name, incarnation) || directory.is_replaced(name, incarnation);
        let left = has_left.then_some(SendBarrier::Left);
        let evacuated = directory.is_evacuated(name).then_some(SendBarrier::Evacuated);
        let stated = self.queue.book().barrier(name, incarnation);
        let is_cold = !route.paced && directory.has_stated_cold(name, incarnation);
        let cold = is_cold.then_some(SendBarrier::Cold);
        [left, evacuated, stated, cold].into_iter().flatten().min()
    }

    /// True if this incarnation of an upstream may get a request now. Counts and logs the requests
    /// that may not be sent.
    pub fn may_send(&self, route: &UpstreamRoute) -> bool {
        let Some(barrier) = self.send_barrier(route) else { return true };
        self.metrics.count_withheld(barrier.code());
        log::info!(event = "send_withheld", upstream = route.name.as_str(), incarnation = route.incarnation, reason = barrier.code(); "the upstream of a granted slot may get no request now");
        false
    }

    /// True if a load balancer should send requests to this router.
    pub fn is_healthy(&self) -> bool {
        self.drain.phase() == DrainPhase::Serving && self.fleet.table().is_some()
    }

    /// True if callers should connect to other routers: many connections are open, or
    /// new ones wait too long.
    pub fn is_crowded(&self) -> bool {
        self.is_near_connection_limit() || self.accept_gate.is_congested()
    }

    /// True if more than half of the permitted caller connections are open. Each is
    /// then closed after its answer, because new callers could not connect otherwise.
    pub fn is_near_connection_limit(&self) -> bool {
        self.open_connections() > self.options.settings.limits.connections / 2
    }

    /// Requests that the router could take from crowded neighbours now.
    pub fn room(&self) -> u32 {
        let gate = &self.accept_gate;
        let has_room = self.is_healthy()
            && self.fleet.routes().is_some()
            && !self.dispatch.is_lost()
            && !gate.is_saturated()
            && !gate.diverts()
            && !gate.is_out_of_rotation()
            && !self.is_near_connection_limit();
        if !has_room {
            return 0;
        }
        // The rest is for its own callers. From there on the router asks for neighbours itself.
        let carried = carried_requests(&self.options);
        let by_core = carried - carried / 4;
        // The limit of connections follows from memory and descriptors. Above half of it the router
        // closes its own callers' connections after each answer.
        let places = self.options.settings.limits.connections / 2;
        let places = places.saturating_sub(self.open_connections());
        let by_places = u32::try_from(places).unwrap_or(u32::MAX);
        by_core.saturating_sub(self.in_progress()).min(by_places)
    }

    /// Records the router's load for its next report, and asks for neighbours while the router is
    /// crowded. A fleet of one router has none.
    pub fn report_load(&self) {
        let address = self.options.handover_address;
        let routers = self.queue.book().routers();
        if address.is_none() || routers < 2 || routers == u32::MAX {
            return;
        }
        let sought = self.accept_gate.sought();
        let (has_takers, sought) = self
            .queue
            .with_neighbours(|book, now| (book.has_room(now), book.record_sought(now, sought)));
        self.accept_gate.set_takers(has_takers);
        let asks = self.accept_gate.nears_limit();
        let room = self.room();
        let handed_over = self.accept_gate.diverted();
        let turned_away = Vec::new();
        let load = RouterLoad { room, address, asks, sought, handed_over, turned_away };
        if self.queue.book().set_load(load) {
            self.queue.notify();
        }
    }

    /// True if the requests in progress exceed half of the connection limit. Each
    /// request also holds a connection to an upstream, its body and buffers, so a host
    /// short of CPU time would run out of memory without this bound.
    pub fn is_overloaded(&self) -> bool {
        let limit = self.options.settings.limits.connections / 2;
        usize::try_from(self.in_progress()).unwrap_or(usize::MAX) > limit
    }

    /// Number of open caller connections.
    pub fn open_connections(&self) -> usize {
        let limit = self.options.settings.limits.connections;
        limit.saturating_sub(self.connection_permits.available_permits())
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }
}
