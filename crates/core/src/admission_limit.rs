//! Bound on the requests that a router takes on, found from how late its event loop
//! runs.
//!
//! It answers a flood of requests from the callers of one workspace at one router
//! while its neighbours have room. Without it the router takes them all and everything
//! on its event loop waits behind them: streams of other callers, reports, grants and
//! tables. A connection beyond the limit is closed before anything is read from it.
//! The caller then knows at once that its request did not run, and its next attempt
//! reaches another router.

use std::time::Duration;

/// Limit of an idle router, in requests.
const MAX_LIMIT: u32 = 4096;
/// Delay of the event loop that counts as congestion. A request takes about six turns
/// of the loop until it is sent, and may wait 120 ms for a slot on the sites with the
/// shortest objectives.
const CONGESTED_DELAY: Duration = Duration::from_millis(8);
/// Shortest time between two increases of the limit. They follow the clock, not the number of
/// observations: a router at its limit admits nobody and so has few of them.
const INCREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Inverse of the part by which it grows while less than half of it is in use.
const UNUSED_INCREASE_DIVISOR: u32 = 4;
/// Time without congestion after which the router counts as relieved.
const CONGESTION_TIME: Duration = Duration::from_secs(1);

/// When a limit is reduced, and how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitPace {
    /// Time for which every observation must be late before the limit is reduced. A host
    /// whose processor quota is used up delays its event loop for shorter spans.
    pub reduction_interval: Duration,
    /// Smallest limit.
    pub min_limit: u32,
    /// Inverse of the part by which the limit grows while it is in use.
    pub increase_divisor: u32,
}

impl LimitPace {
    /// For all requests of a router. A crowded one still takes some.
    pub const ADMISSION: Self = Self {
        reduction_interval: Duration::from_millis(250),
        min_limit: 16,
        increase_divisor: 64,
    };
    /// For the requests that a router serves itself while its neighbours take others. Sooner
    /// reduced than the limit of all requests, so that handing over comes before shedding.
    pub const OWN_WORK: Self =
        Self { reduction_interval: Duration::from_millis(150), min_limit: 4, increase_divisor: 64 };
    /// For all requests while neighbours have room. Most are passed on, which takes little time, so
    /// that a limit that fell too far is soon back. At twice this pace a flood of twenty times what
    /// the router serves makes a third of the events late.
    pub const PASSED_ON: Self = Self {
        reduction_interval: Duration::from_millis(250),
        min_limit: 16,
        increase_divisor: 16,
    };
}

/// Adaptive limit of the requests that a router has accepted and not finished.
///
/// ```
/// use baobabfall_core::admission_limit::AdmissionLimit;
/// use std::time::Duration;
/// let mut limit = AdmissionLimit::default();
/// let now = Duration::from_secs(1);
/// assert!(limit.admits(400));
/// limit.observe_delay(now, Duration::from_millis(300), 400);
/// assert!(limit.admits(400), "a single delay changes nothing");
/// limit.observe_delay(now + Duration::from_millis(300), Duration::from_millis(300), 400);
/// assert!(!limit.admits(400));
/// assert!(limit.admits(200));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimit {
    pace: LimitPace,
    limit: u32,
    /// Time of the first of the late observations without a timely one since.
    late_since: Option<Duration>,
    reduced_at: Option<Duration>,
    increased_at: Option<Duration>,
}

impl Default for AdmissionLimit {
    fn default() -> Self {
        Self::new(LimitPace::ADMISSION)
    }
}

impl AdmissionLimit {
    /// The limit of an idle router.
    pub fn new(pace: LimitPace) -> Self {
        Self { pace, limit: MAX_LIMIT, late_since: None, reduced_at: None, increased_at: None }
    }

    /// True unless the limit was reduced and has not recovered.
    pub fn is_unbounded(&self) -> bool {
        self.limit == MAX_LIMIT
    }

    /// True when a router with `in_progress` requests may take another one.
    pub fn admits(&self, in_progress: u32) -> bool {
        in_progress < self.limit
    }

    /// Records that the event loop ran a task `delay` after it was due, with
    /// `in_progress` requests.
    pub fn observe_delay(&mut self, now: Duration, delay: Duration, in_progress: u32) {
        if delay < CONGESTED_DELAY {
            self.late_since = None;
            self.increase(now, in_progress);
            return;
        }
        if now >= *self.late_since.get_or_insert(now) + self.pace.reduction_interval {
            self.late_since = Some(now);
            self.reduced_at = Some(now);
            let occupied = self.limit.min(in_progress);
            self.limit = (occupied - occupied / 4).max(self.pace.min_limit);
        }
    }

    fn increase(&mut self, now: Duration, in_progress: u32) {
        if self.increased_at.is_some_and(|at| now < at + INCREASE_INTERVAL) {
            return;
        }
        self.increased_at = Some(now);
        // An unused limit bounds nothing, so it may grow before the next flood.
        let divisor = match in_progress < self.limit / 2 {
            true => UNUSED_INCREASE_DIVISOR,
            false => self.pace.increase_divisor,
        };
        self.limit = (self.limit + (self.limit / divisor).max(1)).min(MAX_LIMIT);
    }

    /// Requests that may be in progress at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// True while the event loop runs late, or did so lately. Callers should then not
    /// keep their connections to this router.
    pub fn is_congested(&self, now: Duration) -> bool {
        self.reduced_at.is_some_and(|at| now < at + CONGESTION_TIME)
    }
}
