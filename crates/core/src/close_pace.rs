//! Bounds the time that a router spends on closing connections which it cannot serve.
//!
//! It answers callers who come back to the same router as soon as a connection is closed:
//! the more it closes, the more come, and closing takes the time of the requests in
//! progress. Connections that are not closed wait in the listener's backlog, which costs
//! the router nothing; when it is full, the kernel drops further attempts.

use std::time::Duration;

/// Most connections that are closed without a pause.
pub const CLOSE_BATCH: u32 = 16;
/// Inverse of the share of the time that closing may take.
const TIME_DIVISOR: u32 = 10;
/// Longest pause after a batch. A host that was suspended during a batch would otherwise
/// pause for as long.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Returns the time for which no further connection should be accepted after a batch that
/// was closed in `busy`.
///
/// ```
/// use baobabfall_core::close_pace::close_pause;
/// use std::time::Duration;
/// assert_eq!(close_pause(Duration::from_millis(2)), Duration::from_millis(18));
/// assert_eq!(close_pause(Duration::from_secs(2)), Duration::from_millis(100));
/// ```
pub fn close_pause(busy: Duration) -> Duration {
    busy.saturating_mul(TIME_DIVISOR - 1).min(MAX_PAUSE)
}
