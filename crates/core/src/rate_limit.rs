//! Fleet-wide rate limits of a workspace.

use crate::dispatch_messages::{CostUnits, UNITS_PER_TOKEN};
use crate::workspace_table::WorkspaceRow;
use std::time::Duration;

/// Bucket level of one unit: the nanoseconds of a minute, so that the refill
/// per nanosecond is the rate per minute and no rounding occurs.
const LEVEL_PER_UNIT: i128 = 60_000_000_000;

/// Token bucket with exact integer refill; its level may become negative.
///
/// ```
/// use baobabfall_core::rate_limit::TokenBucket;
/// use std::time::Duration;
/// let start = Duration::ZERO;
/// let mut bucket = TokenBucket::new(start, 60, Duration::from_secs(1));
/// assert!(bucket.wait(start, 1).is_none());
/// bucket.charge(start, 3);
/// assert_eq!(bucket.wait(start, 1), Some(Duration::from_secs(3)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_minute: u64,
    burst: i128,
    level: i128,
    refilled: Duration,
}

impl TokenBucket {
    /// A full bucket that holds what `burst` refills, and at least one unit.
    pub fn new(now: Duration, rate_per_minute: u64, burst: Duration) -> Self {
        let burst = burst_level(rate_per_minute, burst);
        Self { rate_per_minute, burst, level: burst, refilled: now }
    }

    /// Changes the rate and keeps the level, limited to the new burst.
    pub fn set_rate(&mut self, now: Duration, rate_per_minute: u64, burst: Duration) {
        self.refill(now);
        self.rate_per_minute = rate_per_minute;
        self.burst = burst_level(rate_per_minute, burst);
        self.level = self.level.min(self.burst);
    }

    /// Takes `units`, below zero if need be.
    pub fn charge(&mut self, now: Duration, units: u64) {
        self.refill(now);
        self.level -= i128::from(units) * LEVEL_PER_UNIT;
    }

    /// Returns `units` that were charged but not used.
    pub fn refund(&mut self, now: Duration, units: u64) {
        self.refill(now);
        self.level = (self.level + i128::from(units) * LEVEL_PER_UNIT).min(self.burst);
    }

    /// Time until `units` are available; none when they are.
    pub fn wait(&mut self, now: Duration, units: u64) -> Option<Duration> {
        self.refill(now);
        let missing = i128::from(units) * LEVEL_PER_UNIT - self.level;
        if missing <= 0 {
            return None;
        }
        let rate = i128::from(self.rate_per_minute.max(1));
        let nanos = (missing + rate - 1) / rate;
        Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_nanos();
        let elapsed = i128::try_from(elapsed).unwrap_or(i128::MAX);
        let gained = elapsed.saturating_mul(i128::from(self.rate_per_minute));
        self.level = self.level.saturating_add(gained).min(self.burst);
        self.refilled = self.refilled.max(now);
    }
}

fn burst_level(rate_per_minute: u64, burst: Duration) -> i128 {
    let nanos = i128::try_from(burst.as_nanos()).unwrap_or(i128::MAX);
    nanos.saturating_mul(i128::from(rate_per_minute)).max(LEVEL_PER_UNIT)
}

/// The limits of one workspace over the whole fleet.
///
/// Requests are charged when they are granted; tokens as their use is
/// reported, so one large request makes the workspace wait afterwards.
#[derive(Clone, Debug)]
pub struct WorkspaceLimit {
    requests: TokenBucket,
    costs: TokenBucket,
    concurrency: u32,
    queue_length: u32,
}

impl WorkspaceLimit {
    /// Limits of a table row, with full buckets.
    pub fn new(now: Duration, row: &WorkspaceRow, burst: Duration) -> Self {
        Self {
            requests: TokenBucket::new(now, row.requests_per_minute.into(), burst),
            costs: TokenBucket::new(now, cost_rate(row), burst),
            concurrency: row.concurrency,
            queue_length: row.queue_length,
        }
    }

    /// Takes the limits of a changed row and keeps the levels.
    pub fn set_row(&mut self, now: Duration, row: &WorkspaceRow, burst: Duration) {
        self.requests.set_rate(now, row.requests_per_minute.into(), burst);
        self.costs.set_rate(now, cost_rate(row), burst);
        self.concurrency = row.concurrency;
        self.queue_length = row.queue_length;
    }

    /// True when another request may run beside `running` others.
    pub fn allows_running(&self, running: u32) -> bool {
        running < self.concurrency
    }

    /// Requests above the queue length when `waiting` wait.
    pub fn queue_excess(&self, waiting: u32) -> u32 {
        waiting.saturating_sub(self.queue_length)
    }

    /// Time until the rates allow a request; none when they do.
    pub fn rate_wait(&mut self, now: Duration) -> Option<Duration> {
        self.requests.wait(now, 1).max(self.costs.wait(now, 1))
    }

    /// Charges a granted request.
    pub fn charge_request(&mut self, now: Duration) {
        self.requests.charge(now, 1);
    }

    /// Returns a request whose slot was not used.
    pub fn refund_request(&mut self, now: Duration) {
        self.requests.refund(now, 1);
    }

    /// Charges reported cost.
    pub fn charge_cost(&mut self, now: Duration, cost: CostUnits) {
        self.costs.charge(now, cost);
    }
}

fn cost_rate(row: &WorkspaceRow) -> u64 {
    row.tokens_per_minute.saturating_mul(UNITS_PER_TOKEN)
}
