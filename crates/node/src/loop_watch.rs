//! Monitors a process for event loop delays and wall clock shifts.

use crate::node_metrics::NodeMetrics;
use crate::units::{millis, wall_clock_ms};
use std::time::Duration;
use tokio::time::Instant;

/// Interval of the timer whose delay is measured.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum delay or shift that is logged, in milliseconds. It is an eighth of
/// the time within which a configuration change must be in force.
const LOG_THRESHOLD_MS: u64 = 250;

/// Returns `later - earlier`, in milliseconds, when its absolute value is at
/// least 250 ms and it should be logged.
///
/// ```
/// use baobabfall_node::loop_watch::logged_shift;
/// assert_eq!(logged_shift(100, 120), None);
/// assert_eq!(logged_shift(100, 4_100), Some(4_000));
/// assert_eq!(logged_shift(100, -1_900), Some(-2_000));
/// ```
pub fn logged_shift(earlier: i64, later: i64) -> Option<i64> {
    let shift = later.saturating_sub(earlier);
    (shift.unsigned_abs() >= LOG_THRESHOLD_MS).then_some(shift)
}

/// Records how late the event loop runs a due task and logs long delays. Also
/// logs when the wall clock advanced differently from the monotonic clock, which
/// means that it was stepped or that the host was suspended. Passes each delay to
/// `observe`. Never returns.
pub async fn watch_event_loop(metrics: NodeMetrics, observe: impl Fn(Duration)) {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    loop {
        let (started, wall_started) = (Instant::now(), wall_clock_ms());
        tokio::time::sleep(WATCH_INTERVAL).await;
        let elapsed = started.elapsed();
        let delay = elapsed.saturating_sub(WATCH_INTERVAL);
        observe(delay);
        metrics.loop_delay.record(delay.as_secs_f64(), &[]);
        if millis(delay) >= LOG_THRESHOLD_MS {
            log::warn!(event = "event_loop_delayed", delay_ms = millis(delay); "event loop delayed");
        }
        let wall_elapsed = signed(wall_clock_ms()).saturating_sub(signed(wall_started));
        if let Some(shift) = logged_shift(signed(millis(elapsed)), wall_elapsed) {
            log::warn!(event = "clock_shifted", shift_ms = shift; "wall clock and monotonic clock diverged");
        }
    }
}
