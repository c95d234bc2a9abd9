//! Decides for how long routers may hold back changes that no request waits for.
//!
//! Load: many routers with a few requests a second each, which report ended requests and
//! first tokens one by one. Held back for some tens of milliseconds, several share a report.
//! The slots and prompt windows that they free are needed at once only while others are
//! scarce, and a leader that runs late serves nobody sooner by reading more reports.

use crate::dispatch_load::DispatchLoad;
use std::time::Duration;

/// Hold while slots and prompt windows are plentiful: a small part of the time that a
/// request holds its slot.
const CALM_HOLD: Duration = Duration::from_millis(50);
/// Longest hold. Charges are reported as often.
const LONGEST_HOLD: Duration = Duration::from_millis(100);
/// Delay of the leader's event loop from which it counts as late. A grant passes the loop
/// twice and should take at most 20 ms.
const LATE_DELAY: Duration = Duration::from_millis(5);
/// Hold for each unit of delay.
const HOLD_PER_DELAY: u32 = 8;

/// Returns the hold for a dispatcher with this load whose event loop runs `delay` late.
///
/// ```
/// use baobabfall_core::dispatch_load::DispatchLoad;
/// use baobabfall_core::report_pace::report_hold;
/// use std::time::Duration;
/// let busy = DispatchLoad { waiting: 1, slots: 10, ..DispatchLoad::default() };
/// assert_eq!(report_hold(&busy, Duration::ZERO), Duration::ZERO);
/// assert_eq!(report_hold(&busy, Duration::from_millis(10)), Duration::from_millis(80));
/// ```
pub fn report_hold(load: &DispatchLoad, delay: Duration) -> Duration {
    if delay >= LATE_DELAY {
        return (delay * HOLD_PER_DELAY).min(LONGEST_HOLD);
    }
    let has_slots = load.running * 4 <= load.slots * 3;
    let has_window = load.prefill * 2 <= load.prefill_window;
    match load.waiting == 0 && has_slots && has_window {
        true => CALM_HOLD,
        false => Duration::ZERO,
    }
}
