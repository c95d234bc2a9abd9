//! Parts that all exchanges of a router share.

use crate::exchange_protocol::ExchangeProtocol;
use crate::router_state::RouterState;
use baobabfall_core::retry_window::{FleetRetryBudget, RetryWindow};
use baobabfall_core::sorted_map::SortedMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Routers that are assumed to share a budget while their number is unknown.
const ASSUMED_ROUTERS: u32 = 64;
/// Part of the fleet's retry budget that is used. The rest covers the clocks
/// and windows of routers that do not coincide, and routers that restart.
const BUDGET_PART: f64 = 0.6;

/// Settings of exchanges on routes.
#[derive(Clone, Debug)]
pub struct ExchangeOptions {
    /// Budget of retries for each service, over the fleet.
    pub budget: FleetRetryBudget,
    /// Bytes of request bodies that are held at the same time.
    pub body_bytes: usize,
}

/// State of the exchanges of one router.
#[derive(Debug)]
pub struct ExchangeState<P> {
    /// Parts that do not depend on the protocol.
    pub router: Arc<RouterState>,
    /// The site's protocol.
    pub protocol: P,
    budget: FleetRetryBudget,
    windows: Mutex<SortedMap<String, RetryWindow>>,
    bodies: Arc<Semaphore>,
    started: Instant,
}

impl<P: ExchangeProtocol> ExchangeState<P> {
    /// State without any exchange.
    pub fn new(router: Arc<RouterState>, protocol: P, options: &ExchangeOptions) -> Arc<Self> {
        let FleetRetryBudget { ratio, slack, window } = options.budget;
        let budget =
            FleetRetryBudget { ratio: ratio * BUDGET_PART, slack: slack * BUDGET_PART, window };
        Arc::new(Self {
            router,
            protocol,
            budget,
            windows: Mutex::default(),
            bodies: Arc::new(Semaphore::new(options.body_bytes >> 10)),
            started: Instant::now(),
        })
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &str) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.get_or_insert_with(service.to_owned(), RetryWindow::default);
        window.record_request(self.started.elapsed(), &self.budget);
    }

    /// Takes a retry from the budget of a service.
    pub fn take_retry(&self, service: &str) -> bool {
        let routers = match self.router.queue.book().routers() {
            u32::MAX => ASSUMED_ROUTERS,
            routers => routers,
        };
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.get_or_insert_with(service.to_owned(), RetryWindow::default);
        window.take_retry(self.started.elapsed(), &self.budget, routers)
    }

    /// Room for a body of up to `bytes`; `None` when none is left in time.
    pub async fn reserve_body(&self, bytes: usize, wait: Duration) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes.div_ceil(1 << 10).max(1)).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.bodies).acquire_many_owned(permits);
        tokio::time::timeout(wait, room).await.ok()?.ok()
    }

    /// True when the router has a route table and takes callers' connections.
    pub fn is_ready(&self) -> bool {
        self.router.is_healthy() && self.router.fleet.routes().is_some()
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn begin(&self) -> ProgressGuard {
        self.router.in_progress.fetch_add(1, Ordering::Relaxed);
        ProgressGuard { router: Arc::clone(&self.router) }
    }
}

/// Counts one request in progress.
#[derive(Debug)]
pub struct ProgressGuard {
    router: Arc<RouterState>,
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.router.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
