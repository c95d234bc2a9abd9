//! Measures how many connections a router wants its neighbours to take, and shares their room among
//! the routers that want some.
//!
//! It answers floods of callers that a load balancer binds to one router each. What such a router
//! closes unread is in no report, so without this measure a router that closes a thousand
//! connections a second would be offered as much room as one that closes none.

use std::time::Duration;

/// Time over which connections are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Connections for which a router that seeks none yet is given room. Most such routers never need
/// it, so it is not taken from the others.
const RESERVE: u32 = 4;
/// Connections that one router may have handed over for each place that is then still free.
const USED_PER_FREE: u32 = 4;

/// What one router wants its neighbours to take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterNeed {
    /// Connections a second that the router does not serve itself.
    pub sought: u32,
    /// Connections that it has handed over and that have not ended.
    pub handed_over: u32,
}

/// Rate of the connections that a router does not serve itself.
///
/// ```
/// use baobabfall_core::handover_need::HandoverNeed;
/// use std::time::Duration;
/// let mut need = HandoverNeed::default();
/// assert_eq!(need.observe(Duration::ZERO, 0), 0);
/// assert_eq!(need.observe(Duration::from_millis(100), 40), 0, "too early to tell");
/// assert_eq!(need.observe(Duration::from_millis(250), 100), 400);
/// assert_eq!(need.observe(Duration::from_millis(500), 100), 0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverNeed {
    counted_at: Option<Duration>,
    count: u64,
    per_second: u32,
}

impl HandoverNeed {
    /// Returns the connections a second, given the number of them since the start of the process.
    pub fn observe(&mut self, now: Duration, count: u64) -> u32 {
        let since = now.saturating_sub(*self.counted_at.get_or_insert(now));
        if since >= COUNT_INTERVAL {
            let counted = count.saturating_sub(self.count);
            let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            self.per_second = u32::try_from(counted * 1000 / millis).unwrap_or(u32::MAX);
            (self.counted_at, self.count) = (Some(now), count);
        }
        self.per_second
    }
}

/// Shares `room` among routers. None is given more than it seeks in a second, nor so much that it
/// then has more than four connections handed over for each place that is left. Routers that seek
/// more than there is thus get equal parts, and a flood leaves places for the next router that
/// seeks some, however long its connections last. Returns the part of each in the order of `needs`.
///
/// ```
/// use baobabfall_core::handover_need::{RouterNeed, share_room};
/// let need = |sought, handed_over| RouterNeed { sought, handed_over };
/// assert_eq!(share_room(100, &[need(1000, 0), need(20, 0), need(1000, 0)]), vec![35, 20, 36]);
/// assert_eq!(share_room(100, &[need(1000, 320), need(60, 0)]), vec![0, 44]);
/// assert_eq!(share_room(1000, &[need(16, 0), need(0, 0)]), vec![16, 4], "a reserve");
/// ```
pub fn share_room(room: u32, needs: &[RouterNeed]) -> Vec<u32> {
    let mut parts = vec![RESERVE.min(room); needs.len()];
    let mut order: Vec<usize> = (0..needs.len()).filter(|index| needs[*index].sought > 0).collect();
    order.sort_by_key(|index| needs[*index].sought);
    let (mut left, mut routers) = (room, u32::try_from(order.len()).unwrap_or(u32::MAX));
    for index in order {
        let RouterNeed { sought, handed_over } = needs[index];
        let allowed = left.saturating_mul(USED_PER_FREE).saturating_sub(handed_over);
        let part = sought.min(allowed / USED_PER_FREE.saturating_mul(routers).saturating_add(1));
        parts[index] = part;
        left -= part;
        routers -= 1;
    }
    parts
}
