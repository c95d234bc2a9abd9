//! Admission control of a queue: immediate refusal of requests that would time out
//! before they get a slot.
//!
//! It guards against a workspace that sends many times more than its share can
//! serve. Without it every such request would wait for its full time limit,
//! occupy memory and space in reports meanwhile, and tell its caller late that it
//! did not run.

use std::time::Duration;

/// Number of buckets in the sliding window over which grants are counted.
const BUCKETS: usize = 4;
const BUCKETS_U128: u128 = BUCKETS as u128;
/// Length of one bucket of the window.
const BUCKET: Duration = Duration::from_millis(250);
/// Requests that may always wait, so that the dispatcher still sees a backlog in a
/// queue without recent grants.
const MIN_PLACES: usize = 4;
/// Percentage of the requests that recent grants would serve in time that may wait.
/// It exceeds 100 because the grant rate may rise.
const ADMITTED_PERCENT: u128 = 125;
/// Time for which a queue counts as congested after a request timed out in it or was
/// refused.
const CONGESTION_TIME: Duration = Duration::from_millis(500);

/// Admission control of one queue, based on the grants of the last second.
///
/// ```
/// use baobabfall_core::queue_gate::QueueGate;
/// use std::time::Duration;
/// let mut gate = QueueGate::default();
/// let (now, limit) = (Duration::from_secs(1), Duration::from_millis(100));
/// assert!(gate.admits(now, 500, limit), "no request has timed out yet");
/// gate.record_expiry(now);
/// assert!(!gate.admits(now, 500, limit));
/// assert!(gate.admits(now, 3, limit));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QueueGate {
    /// Ring of bucket number and grants in that bucket.
    buckets: [(u128, u32); BUCKETS],
    congested_until: Duration,
    last_use: Duration,
}

impl QueueGate {
    /// Records that a waiting request got a slot.
    pub fn record_grant(&mut self, now: Duration) {
        self.last_use = now;
        let number = now.as_millis() / BUCKET.as_millis();
        let bucket = &mut self.buckets[usize::try_from(number % BUCKETS_U128).unwrap_or_default()];
        if bucket.0 != number {
            *bucket = (number, 0);
        }
        bucket.1 = bucket.1.saturating_add(1);
    }

    /// Records that a request timed out in the queue; the queue then counts as
    /// congested for a time.
    pub fn record_expiry(&mut self, now: Duration) {
        self.last_use = now;
        self.congested_until = now + CONGESTION_TIME;
    }

    /// True when a request that may wait for at most `limit` may join `waiting` others.
    ///
    /// While the queue is congested, only about as many requests may wait as would be
    /// served within `limit` at the grant rate of the last second. A refusal extends
    /// the congestion.
    pub fn admits(&mut self, now: Duration, waiting: usize, limit: Duration) -> bool {
        if now >= self.congested_until {
            return true;
        }
        let served_in_time =
            u128::from(self.recent_grants(now)) * limit.as_millis() * ADMITTED_PERCENT
                / (100 * BUCKET.as_millis() * BUCKETS_U128);
        let places =
            MIN_PLACES + usize::try_from(served_in_time).unwrap_or(usize::MAX - MIN_PLACES);
        let admitted = waiting < places;
        if !admitted {
            self.record_expiry(now);
        }
        admitted
    }

    /// Time of the last grant, timeout or refusal, by which owners evict idle gates.
    pub fn last_use(&self) -> Duration {
        self.last_use
    }

    fn recent_grants(&self, now: Duration) -> u32 {
        let number = now.as_millis() / BUCKET.as_millis();
        let recent = self.buckets.iter().filter(|(bucket, _)| bucket + BUCKETS_U128 > number);
        recent.map(|(_, grants)| *grants).sum()
    }
}
