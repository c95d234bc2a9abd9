//! State that all exchanges of a router share: retry budgets, the account of held bytes
//! and the count of requests in progress.

use crate::exchange_protocol::ExchangeProtocol;
use crate::held_bytes::ByteAccount;
use crate::router_state::RouterState;
use crate::upload_gate::{UploadGate, UploadPass};
use baobabfall_core::dispatch_messages::UpstreamRoute;
use baobabfall_core::hedge_policy::{HedgeLimit, HedgePolicy};
use baobabfall_core::retry_window::{FleetRetryBudget, RetryWindow};
use baobabfall_core::sorted_map::SortedMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Number of routers that are assumed to share a retry budget while the actual
/// number is unknown.
const ASSUMED_ROUTERS: u32 = 64;
/// Share of the fleet's retry budget that routers use. The rest covers that their
/// clocks and windows do not coincide and that a restarted router forgets the
/// retries it has used.
const BUDGET_SHARE: f64 = 0.6;

/// Limits for exchanges on routes.
#[derive(Clone, Debug)]
pub struct ExchangeOptions {
    /// Retry budget of each service for the whole fleet.
    pub budget: FleetRetryBudget,
    /// Bytes that the router may hold at the same time for callers and upstreams: request
    /// bodies, answers that are buffered or not read, and incomplete events; rounded down to whole
    /// KiB.
    pub held_bytes: usize,
    /// Bytes of large request bodies that all routers together may have in flight to one upstream.
    pub upstream_bytes: u64,
    /// Limit of the second attempts for slow answers.
    pub hedges: HedgeLimit,
}

/// State that all exchanges of one router share.
#[derive(Debug)]
pub struct ExchangeState<P> {
    /// Router state that does not depend on the protocol.
    pub router: Arc<RouterState>,
    /// Adapter for the HTTP headers of the site.
    pub protocol: P,
    budget: FleetRetryBudget,
    windows: Mutex<SortedMap<String, RetryWindow>>,
    hedges: Mutex<HedgePolicy>,
    hedges_enabled: bool,
    /// Bytes that the router holds for callers and upstreams.
    pub account: ByteAccount,
    uploads: Arc<UploadGate>,
    started: Instant,
}

impl<P: ExchangeProtocol> ExchangeState<P> {
    /// Creates the state of a router that has no exchanges yet.
    pub fn new(router: Arc<RouterState>, protocol: P, options: &ExchangeOptions) -> Arc<Self> {
        let FleetRetryBudget { ratio, slack, window } = options.budget;
        let budget =
            FleetRetryBudget { ratio: ratio * BUDGET_SHARE, slack: slack * BUDGET_SHARE, window };
        Arc::new(Self {
            router,
            protocol,
            budget,
            windows: Mutex::default(),
            hedges: Mutex::new(HedgePolicy::new(options.hedges)),
            hedges_enabled: options.hedges.is_enabled(),
            account: ByteAccount::new(options.held_bytes),
            uploads: UploadGate::new(options.upstream_bytes),
            started: Instant::now(),
        })
    }

    /// Counts a request for a service, from which its retry budget grows.
    pub fn record_request(&self, service: &str) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.get_or_insert_with(service.to_owned(), RetryWindow::default);
        window.record_request(self.started.elapsed(), &self.budget);
    }

    /// Admits a request body to an upstream for as long as the returned pass exists. Returns `None`
    /// if too many bytes of large bodies are in flight to the upstream.
    pub(crate) fn admit_upload(&self, route: &UpstreamRoute, bytes: usize) -> Option<UploadPass> {
        let routers = match self.router.queue.book().routers() {
            u32::MAX => ASSUMED_ROUTERS,
            routers => routers,
        };
        self.uploads.admit(route, u64::try_from(bytes).unwrap_or(u64::MAX), routers)
    }

    /// Time without any reading after which what a caller has not read is dropped.
    pub fn caller_gap(&self) -> Duration {
        self.router.options.settings.limits.caller_gap.0
    }

    /// Takes a retry from this router's part of the budget of a service. Returns
    /// false when the budget is exhausted.
    pub fn take_retry(&self, service: &str) -> bool {
        let routers = match self.router.queue.book().routers() {
            u32::MAX => ASSUMED_ROUTERS,
            routers => routers,
        };
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.get_or_insert_with(service.to_owned(), RetryWindow::default);
        window.take_retry(self.started.elapsed(), &self.budget, routers)
    }

    /// True if slow requests may be sent to a second upstream at all.
    pub fn hedges_enabled(&self) -> bool {
        self.hedges_enabled
    }

    fn with_hedges<T>(&self, action: impl FnOnce(&mut HedgePolicy, Duration) -> T) -> T {
        let mut hedges = self.hedges.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut hedges, self.started.elapsed())
    }

    /// Counts a request that may be hedged, if `is_first` tells that it is sent for the first time.
    pub fn record_hedgeable(&self, is_first: bool) {
        if is_first {
            self.with_hedges(HedgePolicy::record_request);
        }
    }

    /// Time after which a request of the route without an answer may be sent to a second upstream.
    pub fn hedge_delay(&self, route: &str) -> Option<Duration> {
        self.with_hedges(|hedges, now| hedges.delay(now, route))
    }

    /// Records the time between a request and the head of its answer.
    pub fn record_answer_time(&self, route: &str, time: Duration) {
        self.with_hedges(|hedges, now| hedges.record_answer(now, route, time));
    }

    /// Takes a second attempt from the operator's limit and from the retry budget of the service.
    pub fn take_hedge(&self, service: &str) -> bool {
        self.with_hedges(HedgePolicy::take_hedge) && self.take_retry(service)
    }

    /// True when the router is serving, has both a workspace table and a route table,
    /// and is not so crowded that new callers should go elsewhere.
    pub fn is_ready(&self) -> bool {
        self.router.is_healthy()
            && self.router.fleet.routes().is_some()
            && !self.router.accept_gate.is_out_of_rotation()
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn begin(&self) -> ProgressGuard {
        self.router.in_progress.fetch_add(1, Ordering::Relaxed);
        ProgressGuard { router: Arc::clone(&self.router) }
    }
}

/// Counts one request as in progress while it exists.
#[derive(Debug)]
pub struct ProgressGuard {
    router: Arc<RouterState>,
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.router.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
