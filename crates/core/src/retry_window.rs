//! A router's part of a service's retry budget, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of parts into which the window is divided.
const BUCKETS: u32 = 20;

/// Budget of a service for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries that are allowed in a window whatever the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowBucket {
    number: u128,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one router.
///
/// Each of `n` routers may use its own ratio of requests and an `n`-th of the
/// slack, so the sum over all routers stays within the budget without messages.
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
    /// Counts a request.
    pub fn record_request(&mut self, now: Duration, budget: &FleetRetryBudget) {
        self.bucket(now, budget).requests += 1;
    }

    /// Counts a retry if the budget allows one.
    pub fn take_retry(&mut self, now: Duration, budget: &FleetRetryBudget, routers: u32) -> bool {
        self.bucket(now, budget);
        let requests: u32 = self.buckets.iter().map(|held| held.requests).sum();
        let retries: u32 = self.buckets.iter().map(|held| held.retries).sum();
        let slack = budget.slack / f64::from(routers.max(1));
        let allowed = f64::from(requests) * budget.ratio + slack;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, budget).retries += 1;
        true
    }

    /// The bucket of this moment; buckets that left the window are dropped. One
    /// more than the window holds is kept, so that no window is cut short.
    fn bucket(&mut self, now: Duration, budget: &FleetRetryBudget) -> &mut WindowBucket {
        let width = (budget.window / BUCKETS).max(Duration::from_millis(1));
        let number = now.as_nanos() / width.as_nanos();
        self.buckets.retain(|held| held.number + u128::from(BUCKETS) >= number);
        if self.buckets.back().is_none_or(|held| held.number < number) {
            self.buckets.push_back(WindowBucket { number, ..WindowBucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
