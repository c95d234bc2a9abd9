//! Delays of a process's event loop and shifts of its clocks.

use crate::node_metrics::NodeMetrics;
use crate::units::{millis, wall_clock_ms};
use std::time::Duration;
use tokio::time::Instant;

/// How often the loop is asked to run a task.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Delay and shift from which on a line is logged: an eighth of the time in
/// which a change of the configuration has to be in force.
const LOGGED_MS: u64 = 250;

/// Difference of two spans of milliseconds when it is large enough to be
/// logged, positive when `later` is the longer one.
///
/// ```
/// use baobabfall_node::loop_watch::logged_shift;
/// assert_eq!(logged_shift(100, 120), None);
/// assert_eq!(logged_shift(100, 4_100), Some(4_000));
/// assert_eq!(logged_shift(100, -1_900), Some(-2_000));
/// ```
pub fn logged_shift(earlier: i64, later: i64) -> Option<i64> {
    let shift = later.saturating_sub(earlier);
    (shift.unsigned_abs() >= LOGGED_MS).then_some(shift)
}

/// Records how late the event loop runs a task that is due, and logs long
/// delays. A wall clock that moved by more than the monotonic one was stepped,
/// or the host was suspended.
pub async fn watch_event_loop(metrics: NodeMetrics) {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    loop {
        let (begun, wall) = (Instant::now(), wall_clock_ms());
        tokio::time::sleep(WATCH_INTERVAL).await;
        let elapsed = begun.elapsed();
        let delay = elapsed.saturating_sub(WATCH_INTERVAL);
        metrics.loop_delay.record(delay.as_secs_f64(), &[]);
        if millis(delay) >= LOGGED_MS {
            log::warn!(event = "event_loop_delayed", delay_ms = millis(delay); "the event loop ran late");
        }
        let moved = signed(wall_clock_ms()).saturating_sub(signed(wall));
        if let Some(shift) = logged_shift(signed(millis(elapsed)), moved) {
            log::warn!(event = "clock_shifted", shift_ms = shift; "the wall clock moved against the monotonic clock");
        }
    }
}
