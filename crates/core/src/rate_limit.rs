//! Rate, concurrency and queue limits of a workspace over the whole fleet.

use crate::dispatch_messages::{CostUnits, UNITS_PER_TOKEN};
use crate::workspace_table::WorkspaceRow;
use std::time::Duration;

/// Bucket level per unit: the nanoseconds in a minute. The refill per nanosecond is
/// then the rate per minute, an integer, so nothing is rounded.
const LEVEL_PER_UNIT: i128 = 60_000_000_000;

/// Token bucket with exact integer refill. Its level may become negative.
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
    /// Largest level, in [`LEVEL_PER_UNIT`] per unit.
    capacity: i128,
    /// Current level, in [`LEVEL_PER_UNIT`] per unit.
    level: i128,
    /// Time up to which the level includes the refill.
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket. Its capacity is what refills during `burst`, at least
    /// one unit.
    pub fn new(now: Duration, rate_per_minute: u64, burst: Duration) -> Self {
        let capacity = burst_level(rate_per_minute, burst);
        Self { rate_per_minute, capacity, level: capacity, refilled_at: now }
    }

    /// Creates a bucket that holds `units`, at most its capacity.
    pub fn with_level(now: Duration, rate_per_minute: u64, burst: Duration, units: u64) -> Self {
        let full = Self::new(now, rate_per_minute, burst);
        Self { level: full.capacity.min(i128::from(units) * LEVEL_PER_UNIT), ..full }
    }

    /// Changes the rate and the burst. The level is kept, capped at the new capacity.
    pub fn set_rate(&mut self, now: Duration, rate_per_minute: u64, burst: Duration) {
        self.refill(now);
        self.rate_per_minute = rate_per_minute;
        self.capacity = burst_level(rate_per_minute, burst);
        self.level = self.level.min(self.capacity);
    }

    /// Takes `units` from the bucket, even if its level becomes negative.
    pub fn charge(&mut self, now: Duration, units: u64) {
        self.refill(now);
        self.level -= i128::from(units) * LEVEL_PER_UNIT;
    }

    /// Puts back `units` that were charged but not used, up to the capacity.
    pub fn refund(&mut self, now: Duration, units: u64) {
        self.refill(now);
        self.level = (self.level + i128::from(units) * LEVEL_PER_UNIT).min(self.capacity);
    }

    /// Time until `units` are available; `None` when they are available now.
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
        let elapsed = now.saturating_sub(self.refilled_at).as_nanos();
        let elapsed = i128::try_from(elapsed).unwrap_or(i128::MAX);
        let gained = elapsed.saturating_mul(i128::from(self.rate_per_minute));
        self.level = self.level.saturating_add(gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Level that refills during `burst`, at least one unit.
fn burst_level(rate_per_minute: u64, burst: Duration) -> i128 {
    let nanos = i128::try_from(burst.as_nanos()).unwrap_or(i128::MAX);
    nanos.saturating_mul(i128::from(rate_per_minute)).max(LEVEL_PER_UNIT)
}

/// Limits of one workspace over the whole fleet.
///
/// A request is charged when it is granted, its tokens when routers report their
/// use. A large request is thus not delayed itself, but delays the next ones.
#[derive(Clone, Debug)]
pub struct WorkspaceLimit {
    requests: TokenBucket,
    costs: TokenBucket,
    concurrency: u32,
    queue_length: u32,
}

impl WorkspaceLimit {
    /// Creates the limits of a row of the workspace table, with full token buckets
    /// whose capacity is what refills during `burst`.
    pub fn new(now: Duration, row: &WorkspaceRow, burst: Duration) -> Self {
        Self {
            requests: TokenBucket::new(now, row.requests_per_minute.into(), burst),
            costs: TokenBucket::new(now, cost_rate(row), burst),
            concurrency: row.concurrency,
            queue_length: row.queue_length,
        }
    }

    /// Applies a changed row of the workspace table and keeps the bucket levels.
    pub fn set_row(&mut self, now: Duration, row: &WorkspaceRow, burst: Duration) {
        self.requests.set_rate(now, row.requests_per_minute.into(), burst);
        self.costs.set_rate(now, cost_rate(row), burst);
        self.concurrency = row.concurrency;
        self.queue_length = row.queue_length;
    }

    /// True when the concurrency limit permits another request beside `running` others.
    pub fn allows_running(&self, running: u32) -> bool {
        running < self.concurrency
    }

    /// Number of the `waiting` requests that exceed the queue length of the workspace.
    pub fn queue_excess(&self, waiting: u32) -> u32 {
        waiting.saturating_sub(self.queue_length)
    }

    /// Time until both the request rate and the token rate permit a request; `None`
    /// when they permit it now.
    pub fn rate_wait(&mut self, now: Duration) -> Option<Duration> {
        self.requests.wait(now, 1).max(self.costs.wait(now, 1))
    }

    /// Charges one granted request to the request rate.
    pub fn charge_request(&mut self, now: Duration) {
        self.requests.charge(now, 1);
    }

    /// Refunds one request whose granted slot was not used.
    pub fn refund_request(&mut self, now: Duration) {
        self.requests.refund(now, 1);
    }

    /// Charges cost that a router reported to the token rate.
    pub fn charge_cost(&mut self, now: Duration, cost: CostUnits) {
        self.costs.charge(now, cost);
    }
}

fn cost_rate(row: &WorkspaceRow) -> u64 {
    row.tokens_per_minute.saturating_mul(UNITS_PER_TOKEN)
}
