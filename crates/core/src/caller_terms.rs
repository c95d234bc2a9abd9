//! How long a request waits for a slot, and when a refused caller should return.
//!
//! It answers load above the capacity of a pool. An answer in time is worth more to a caller than
//! a late one, and a late one more than none. Slots therefore go to requests whose answers can be
//! in time; these wait only while that is so. A caller who was refused returns late, behind them,
//! and waits for as long as an answer is of use. Refused callers are spread over the time that the
//! shortage is expected to last, because those who return into it are refused again.

use std::time::Duration;

/// Share of the objective, in tenths, that a request may wait for a slot. The upstream needs the
/// rest to answer in time.
const TIMELY_WAIT_TENTHS: u32 = 4;
/// Objectives for which a late request waits. Callers give up a stream that has not begun after
/// four objectives, and the upstream needs a part of the last one.
const LATE_WAIT_OBJECTIVES: u32 = 3;
/// Shortest time after which a refused caller is asked to return. Callers are spread over this
/// time at least.
const SHORTEST_RETURN: Duration = Duration::from_millis(300);
/// Part of the time left that a caller waits before it returns, at most.
const RETURN_DIVISOR: u32 = 3;

/// What the caller of a request needs.
///
/// ```
/// use baobabfall_core::caller_terms::CallerTerms;
/// use std::time::Duration;
/// let millis = Duration::from_millis;
/// let first = CallerTerms { objective: millis(500), used: millis(0), left: millis(6_000) };
/// assert_eq!((first.is_late(), first.longest_wait()), (false, millis(200)));
/// assert_eq!(first.retry_after(millis(1_500), 0.5), millis(1_050));
/// let returned = CallerTerms { used: millis(1_100), left: millis(4_900), ..first };
/// assert_eq!((returned.is_late(), returned.longest_wait()), (true, millis(1_500)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerTerms {
    /// Time after the first attempt within which the response or its first event is in time.
    pub objective: Duration,
    /// Time that the caller used for earlier attempts.
    pub used: Duration,
    /// Time that the caller will still wait.
    pub left: Duration,
}

impl CallerTerms {
    /// True if the answer is late however fast it is.
    pub fn is_late(&self) -> bool {
        self.used >= self.objective
    }

    /// Longest wait for a slot after which the answer is worth having: one in time, or any answer
    /// for a late request.
    pub fn longest_wait(&self) -> Duration {
        let timely = self.objective.saturating_sub(self.used) * TIMELY_WAIT_TENTHS / 10;
        let upstream_time = self.objective - self.objective * TIMELY_WAIT_TENTHS / 10;
        match self.is_late() {
            true => self
                .left
                .saturating_sub(upstream_time)
                .min(self.objective * LATE_WAIT_OBJECTIVES),
            false => timely.min(self.left),
        }
    }

    /// Time after which a refused caller should return, when requests have been refused for the
    /// time `shortage`. `draw` is uniform between 0 and 1.
    ///
    /// A shortage is expected to last for as long again as it has lasted.
    pub fn retry_after(&self, shortage: Duration, draw: f64) -> Duration {
        let honoured = self.left / RETURN_DIVISOR;
        let spread = shortage.min(honoured.saturating_sub(SHORTEST_RETURN)).max(SHORTEST_RETURN);
        SHORTEST_RETURN + spread.mul_f64(draw.clamp(0.0, 1.0))
    }
}
