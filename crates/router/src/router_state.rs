//! Parts of a running router that its tasks share.

use crate::action_client::ActionClient;
use crate::direct_slots::DirectSlots;
use crate::dispatch_client::DispatchClient;
use crate::drain::{DrainPhase, DrainState};
use crate::health_probe::HealthProbe;
use crate::leader_link::LeaderLink;
use crate::options::RouterOptions;
use crate::relay_watch::RelayWatch;
use crate::request_queue::SharedQueue;
use crate::request_record::RequestRecord;
use crate::retry::RetryBudgets;
use crate::table_view::FleetView;
use crate::upstream_pool::UpstreamPool;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::request_life::RequestLifecycle;
use baobabfall_node::node_metrics::NodeMetrics;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Parts of a running router that its tasks share.
#[derive(Debug)]
pub struct RouterState {
    /// Checked options.
    pub options: RouterOptions,
    /// Instruments.
    pub metrics: NodeMetrics,
    /// Table, upstreams and planned stops.
    pub fleet: Arc<FleetView>,
    /// Waiting requests and held slots.
    pub queue: Arc<SharedQueue>,
    /// Slots of plain services that are taken without the dispatcher.
    pub direct: Arc<DirectSlots>,
    /// Connections to the controllers.
    pub link: Arc<LeaderLink>,
    /// Exchange with the dispatcher.
    pub dispatch: Arc<DispatchClient>,
    /// Connections to upstreams.
    pub pool: Arc<UpstreamPool>,
    /// Health checks of upstreams.
    pub probe: Arc<HealthProbe>,
    /// Answers that are being relayed.
    pub relays: Arc<RelayWatch>,
    /// Claims and outcomes of protected actions.
    pub actions: Arc<ActionClient>,
    /// Retry budgets.
    pub retries: RetryBudgets,
    /// State of a graceful stop.
    pub drain: DrainState,
    /// Requests in progress.
    pub in_progress: Arc<AtomicU32>,
    /// A life cycle in its first state; copied for each request.
    pub life: RequestLifecycle,
    /// Ends every task and connection at once.
    pub abort: CancellationToken,
    /// Room for callers' connections.
    pub connection_permits: Arc<Semaphore>,
}

impl RouterState {
    /// Begins the accounting of a request.
    pub fn record(&self, id: String) -> RequestRecord {
        let in_progress = Arc::clone(&self.in_progress);
        RequestRecord::begin(id, self.life.clone(), self.metrics.clone(), in_progress)
    }

    /// Why new work is refused now, if it is.
    pub fn refusal(&self) -> Option<ErrorKind> {
        if !self.drain.accepts_work() {
            return Some(ErrorKind::Stopping);
        }
        self.fleet.table().is_none().then_some(ErrorKind::NotReady)
    }

    /// True when the balancer should send requests here.
    pub fn is_healthy(&self) -> bool {
        self.drain.phase() == DrainPhase::Serving && self.fleet.table().is_some()
    }

    /// True when callers' connections fill most of their room. They are then
    /// closed after each answer, because new callers find no other way in.
    pub fn is_near_connection_limit(&self) -> bool {
        self.open_connections() > self.options.settings.limits.connections / 2
    }

    /// True when more requests are in progress than half of the connections.
    /// Each holds a connection to an upstream as well, its body and buffers; a
    /// host that is short of processor time would otherwise run out of memory.
    pub fn is_overloaded(&self) -> bool {
        let limit = self.options.settings.limits.connections / 2;
        usize::try_from(self.in_progress()).unwrap_or(usize::MAX) > limit
    }

    /// Callers' connections that are open.
    pub fn open_connections(&self) -> usize {
        let limit = self.options.settings.limits.connections;
        limit.saturating_sub(self.connection_permits.available_permits())
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }
}
