//! Retry budget and jittered exponential backoff.

use std::time::Duration;

/// Settings of a retry budget and of the delays between retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Requests per permitted retry; 10 permits retries of up to 10% of the requests.
    pub requests_per_retry: u32,
    /// Most unused retries that the budget accumulates.
    pub max_saved_retries: u32,
    /// Upper bound of the delay before the first retry.
    pub initial_backoff: Duration,
    /// Upper bound of the delay before any retry.
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            requests_per_retry: 10,
            max_saved_retries: 100,
            initial_backoff: Duration::from_millis(25),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Budget that keeps retries at or below a fixed share of requests.
///
/// It starts empty, so the share is respected at every moment since the start.
///
/// ```
/// use baobabfall_core::retry_budget::{RetryBudget, RetrySettings};
/// let mut budget = RetryBudget::new(RetrySettings::default());
/// assert!(!budget.take_retry());
/// (0..10).for_each(|_| budget.record_request());
/// assert!(budget.take_retry());
/// assert!(!budget.take_retry());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Requests that no retry has used up; a retry takes `requests_per_retry` of them.
    balance: u32,
}

impl RetryBudget {
    /// Creates an empty budget, which permits no retry until requests are recorded.
    pub const fn new(settings: RetrySettings) -> Self {
        Self { settings, balance: 0 }
    }

    /// Counts a first attempt; retries are not counted here.
    pub fn record_request(&mut self) {
        let RetrySettings { requests_per_retry, max_saved_retries, .. } = self.settings;
        let limit = requests_per_retry.saturating_mul(max_saved_retries);
        self.balance = self.balance.saturating_add(1).min(limit);
    }

    /// True when the budget permits a retry; takes nothing from it.
    pub fn allows_retry(&self) -> bool {
        self.balance >= self.settings.requests_per_retry
    }

    /// Takes one retry from the budget. Returns false, and takes nothing, when the
    /// budget is exhausted.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.allows_retry();
        if allowed {
            self.balance -= self.settings.requests_per_retry;
        }
        allowed
    }
}

/// Delay before retry number `attempt`, counted from 0: exponential backoff with
/// jitter. The delay lies between half of and the full bound, which doubles with each
/// attempt. `random` must be uniform over `u32`.
///
/// ```
/// use baobabfall_core::retry_budget::{RetrySettings, backoff_delay};
/// use std::time::Duration;
/// let settings = RetrySettings::default();
/// assert_eq!(backoff_delay(&settings, 1, u32::MAX), Duration::from_millis(50));
/// assert_eq!(backoff_delay(&settings, 1, 0), Duration::from_millis(25));
/// ```
pub fn backoff_delay(settings: &RetrySettings, attempt: u32, random: u32) -> Duration {
    let factor = 2_u32.saturating_pow(attempt.min(20));
    let bound = settings.initial_backoff.saturating_mul(factor).min(settings.max_backoff);
    let half = bound / 2;
    let nanos = half.as_nanos() * u128::from(random) / u128::from(u32::MAX);
    half + Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
