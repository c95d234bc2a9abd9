//! Retry budget and jittered exponential backoff.

use std::time::Duration;

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Requests per permitted retry; 10 permits 10%.
    pub requests_per_retry: u32,
    /// Retries that a quiet time may save up.
    pub saved_retries: u32,
    /// Upper bound of the first wait.
    pub first_wait: Duration,
    /// Upper bound of every wait.
    pub longest_wait: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            requests_per_retry: 10,
            saved_retries: 100,
            first_wait: Duration::from_millis(25),
            longest_wait: Duration::from_secs(1),
        }
    }
}

/// Budget that keeps retries at or below a fixed share of requests.
///
/// It starts empty, so the share holds over every prefix of the history.
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
    balance: u32,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub const fn new(settings: RetrySettings) -> Self {
        Self { settings, balance: 0 }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        let RetrySettings { requests_per_retry, saved_retries, .. } = self.settings;
        let limit = requests_per_retry.saturating_mul(saved_retries);
        self.balance = self.balance.saturating_add(1).min(limit);
    }

    /// True when a retry could be taken now.
    pub fn allows_retry(&self) -> bool {
        self.balance >= self.settings.requests_per_retry
    }

    /// Takes one retry from the budget; false when it is exhausted.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.allows_retry();
        if allowed {
            self.balance -= self.settings.requests_per_retry;
        }
        allowed
    }
}

/// Wait before retry number `attempt` (from 0): half to all of a bound that
/// doubles with each attempt. `random` is uniform over `u32`.
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
    let bound = settings.first_wait.saturating_mul(factor).min(settings.longest_wait);
    let half = bound / 2;
    let nanos = half.as_nanos() * u128::from(random) / u128::from(u32::MAX);
    half + Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
