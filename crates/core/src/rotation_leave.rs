//! Decides when a crowded router asks the load balancer to send new callers elsewhere.
//!
//! It answers a flood of new connections that the load balancer sends to one router
//! because it chooses the router by the caller. Such callers reach the same router
//! however often they try, so refusals do not spread the load; only leaving the
//! rotation does. The router stays away for a short time, keeps serving the
//! connections that it has, and then stays in rotation for a while, so that a zone
//! never lacks more than a part of its routers, and a flood that is larger than the
//! whole zone does not keep routers away for good.

use std::time::Duration;

/// Time for which a router must have closed connections unread before it leaves.
const CROWDED_TIME: Duration = Duration::from_millis(500);
/// Longest pause between two closed connections of the same flood.
const FLOOD_PAUSE: Duration = Duration::from_millis(600);
/// Time away. The load balancer takes two checks, a second apart, to notice.
const AWAY_TIME: Duration = Duration::from_secs(4);
/// Time in rotation before the router may leave again: with the time away, a router is
/// away for less than two fifths of a flood.
const STAY_TIME: Duration = Duration::from_secs(7);

/// Absence of one router from the rotation of the load balancer.
///
/// ```
/// use baobabfall_core::rotation_leave::RotationLeave;
/// use std::time::Duration;
/// let mut leave = RotationLeave::default();
/// for tenth in 0..10 {
///     leave.record_closed(Duration::from_millis(100 * tenth));
/// }
/// assert!(leave.is_away(Duration::from_secs(1)));
/// assert!(!leave.is_away(Duration::from_secs(5)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RotationLeave {
    /// First and latest time at which connections of the current flood were closed.
    flood: Option<(Duration, Duration)>,
    away_until: Duration,
}

impl RotationLeave {
    /// Records that connections were closed unread. Returns true when the router
    /// leaves the rotation because of it.
    pub fn record_closed(&mut self, now: Duration) -> bool {
        let since = match self.flood {
            Some((since, latest)) if now <= latest + FLOOD_PAUSE => since,
            _ => now,
        };
        self.flood = Some((since, now));
        let returned_long_ago = self.away_until.is_zero() || now >= self.away_until + STAY_TIME;
        let leaves = returned_long_ago && now >= since + CROWDED_TIME;
        if leaves {
            self.away_until = now + AWAY_TIME;
        }
        leaves
    }

    /// True while the router should not get new connections.
    pub fn is_away(&self, now: Duration) -> bool {
        now < self.away_until
    }
}
