//! Refusal at once of requests that would wait for a slot in vain.
//!
//! It answers the load of a workspace that sends many times what its share can
//! serve. Without it every such request waits its full time in the queue, takes
//! memory and reports meanwhile, and its caller learns late that nothing ran.

use std::time::Duration;

/// Parts of the window over which grants are counted.
const PARTS: usize = 4;
const PARTS_U128: u128 = PARTS as u128;
/// Length of one part.
const PART: Duration = Duration::from_millis(250);
/// Requests that may always wait, so that a queue without recent grants still
/// shows its need to the dispatcher.
const FREE_PLACES: usize = 4;
/// Requests beyond those that the recent pace serves in time may wait as well,
/// because the pace may rise: this many hundredths in all.
const PACE_PERCENT: u128 = 125;
/// How long a queue counts as congested after a request waited in vain or was
/// refused.
const CONGESTION_TIME: Duration = Duration::from_millis(500);

/// What one queue learnt from its last second.
///
/// ```
/// use baobabfall_core::queue_gate::QueueGate;
/// use std::time::Duration;
/// let mut gate = QueueGate::default();
/// let (now, limit) = (Duration::from_secs(1), Duration::from_millis(100));
/// assert!(gate.admits(now, 500, limit), "nothing has waited in vain yet");
/// gate.record_expiry(now);
/// assert!(!gate.admits(now, 500, limit));
/// assert!(gate.admits(now, 3, limit));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QueueGate {
    /// Grants in each part of the window, by the number of the part.
    parts: [(u128, u32); PARTS],
    congested_until: Duration,
    used: Duration,
}

impl QueueGate {
    /// Counts a request that got a slot.
    pub fn record_grant(&mut self, now: Duration) {
        self.used = now;
        let number = now.as_millis() / PART.as_millis();
        let part = &mut self.parts[usize::try_from(number % PARTS_U128).unwrap_or_default()];
        if part.0 != number {
            *part = (number, 0);
        }
        part.1 = part.1.saturating_add(1);
    }

    /// Notes that a request waited as long as it may and got no slot.
    pub fn record_expiry(&mut self, now: Duration) {
        self.used = now;
        self.congested_until = now + CONGESTION_TIME;
    }

    /// True when a request may join `waiting` others for at most `limit`.
    ///
    /// While the queue is congested only as many wait as the grants of the last
    /// second serve within the limit.
    pub fn admits(&mut self, now: Duration, waiting: usize, limit: Duration) -> bool {
        if now >= self.congested_until {
            return true;
        }
        let in_time = u128::from(self.recent_grants(now)) * limit.as_millis() * PACE_PERCENT
            / (100 * PART.as_millis() * PARTS_U128);
        let places = FREE_PLACES + usize::try_from(in_time).unwrap_or(usize::MAX - FREE_PLACES);
        let admitted = waiting < places;
        if !admitted {
            self.record_expiry(now);
        }
        admitted
    }

    /// When something was recorded last.
    pub fn last_use(&self) -> Duration {
        self.used
    }

    fn recent_grants(&self, now: Duration) -> u32 {
        let number = now.as_millis() / PART.as_millis();
        let recent = self.parts.iter().filter(|(part, _)| part + PARTS_U128 > number);
        recent.map(|(_, grants)| *grants).sum()
    }
}
