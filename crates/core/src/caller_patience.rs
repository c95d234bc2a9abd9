//! Time that callers have spent on earlier attempts, from the time that they have left.
//!
//! A caller who comes back after a refusal reaches another router as a rule, and sends a new
//! request id. It states how long it will wait, though, and that is less than at its first
//! attempt.

use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Length of one period in which the longest stated time is kept. Callers of a route that change
/// their time are judged by the new one after two periods.
const PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of routes of which times are kept.
const ROUTE_LIMIT: usize = 4_096;

/// Longest times that the callers of one route stated, in this period and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct StatedTimes {
    period: u128,
    longest: Duration,
    previous: Duration,
}

/// Longest times that callers stated, by route.
///
/// A caller who states a short time at its first attempt is taken for one who comes back.
///
/// ```
/// use baobabfall_core::caller_patience::CallerPatience;
/// use std::time::Duration;
/// let mut patience = CallerPatience::default();
/// let (now, millis) = (Duration::from_secs(1), Duration::from_millis);
/// assert_eq!(patience.time_used(now, "chat", millis(5_000)), millis(0));
/// assert_eq!(patience.time_used(now, "chat", millis(4_300)), millis(700));
/// assert_eq!(patience.time_used(now, "chat", millis(5_000)), millis(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallerPatience {
    routes: SortedMap<String, StatedTimes>,
}

impl CallerPatience {
    /// Records the time that a caller of a route states, and returns the time that it has used
    /// before: the difference to the longest time that callers stated lately.
    pub fn time_used(&mut self, now: Duration, route: &str, stated: Duration) -> Duration {
        let period = now.as_millis() / PERIOD.as_millis();
        let Some(times) = self.routes.get_mut(route) else {
            if self.routes.len() >= ROUTE_LIMIT {
                self.routes.retain(|_, times| times.period + 1 >= period);
            }
            if self.routes.len() < ROUTE_LIMIT {
                let times = StatedTimes { period, longest: stated, previous: Duration::ZERO };
                self.routes.insert(route.to_owned(), times);
            }
            return Duration::ZERO;
        };
        if times.period != period {
            let is_next = times.period + 1 == period;
            times.previous = if is_next { times.longest } else { Duration::ZERO };
            (times.period, times.longest) = (period, Duration::ZERO);
        }
        times.longest = times.longest.max(stated);
        times.longest.max(times.previous).saturating_sub(stated)
    }
}
