//! One router's share of the retry budget of a service, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of buckets into which the window is divided.
const BUCKETS: u32 = 20;

/// Retry budget of one service, shared by all routers of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBudget {
    /// Permitted retries per request; 0.2 permits one retry per five requests.
    pub ratio: f64,
    /// Retries that the fleet may make in each window regardless of the number of
    /// requests.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowBucket {
    /// Index of the bucket: the time at its start divided by the bucket width.
    number: u128,
    requests: u32,
    retries: u32,
}

/// Recent requests and retries of one service at one router.
///
/// Each of `n` routers applies the ratio to its own requests and takes an `n`-th of
/// the slack, so the fleet stays within the budget without coordination.
///
/// ```
/// use baobabfall_core::retry_window::{FleetRetryBudget, RetryWindow};
/// use std::time::Duration;
/// let budget = FleetRetryBudget { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
/// let mut window = RetryWindow::default();
/// let now = Duration::from_secs(1);
/// (0..10).for_each(|_| window.record_request(now, &budget));
/// assert!(window.take_retry(now, &budget, 1));
/// assert!(window.take_retry(now, &budget, 1));
/// assert!(!window.take_retry(now, &budget, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<WindowBucket>,
}

impl RetryWindow {
    /// Counts a first attempt, which increases the number of permitted retries.
    pub fn record_request(&mut self, now: Duration, budget: &FleetRetryBudget) {
        self.bucket(now, budget).requests += 1;
    }

    /// Counts a retry if this router's share of the budget permits one; returns false
    /// if it does not. `routers` is the number of routers in the fleet.
    pub fn take_retry(&mut self, now: Duration, budget: &FleetRetryBudget, routers: u32) -> bool {
        self.bucket(now, budget);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = budget.slack / f64::from(routers.max(1));
        let allowed = f64::from(requests) * budget.ratio + slack;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, budget).retries += 1;
        true
    }

    /// Returns the bucket of `now` and drops the buckets that left the window. One more
    /// bucket than the window spans is kept, so that the oldest one, which is partly
    /// within the window, still counts.
    fn bucket(&mut self, now: Duration, budget: &FleetRetryBudget) -> &mut WindowBucket {
        let width = (budget.window / BUCKETS).max(Duration::from_millis(1));
        let number = now.as_nanos() / width.as_nanos();
        self.buckets.retain(|bucket| bucket.number + u128::from(BUCKETS) >= number);
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(WindowBucket { number, ..WindowBucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
