//! Chooses the router to which a crowded one hands its next connection.
//!
//! It answers a flood of callers that a load balancer binds to one router. The controllers name
//! neighbours with room; connections are spread over them in proportion to it. A neighbour that
//! refuses or does not answer is left out for a time that grows with each failure.

use crate::dispatch_messages::NeighbourRoom;
use crate::handover_need::HandoverNeed;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a list is used without a newer one. The rooms change within seconds.
const LIST_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which a neighbour is left out after its first refusal. Rooms are reported each 0.2 s.
const FIRST_ABSENCE: Duration = Duration::from_millis(250);
/// Most doublings of that time.
const ABSENCE_DOUBLINGS: u32 = 4;

#[derive(Clone, Debug)]
struct Neighbour {
    room: NeighbourRoom,
    /// Connections handed over since the list was received that have not ended.
    given: u32,
    /// Number of the latest connection that was handed to it.
    latest: u64,
    failures: u32,
    absent_until: Duration,
}

/// A neighbour that was chosen for a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenNeighbour {
    /// Name of the router.
    pub router: String,
    /// Address at which it takes connections.
    pub address: SocketAddr,
}

/// Neighbours that the controllers have named, and what became of connections handed to them.
///
/// ```
/// use baobabfall_core::dispatch_messages::NeighbourRoom;
/// use baobabfall_core::neighbour_book::NeighbourBook;
/// use std::time::Duration;
/// let address = "10.0.0.2:7401".parse().unwrap();
/// let mut book = NeighbourBook::default();
/// let now = Duration::from_secs(1);
/// book.replace(now, vec![NeighbourRoom { router: "b".to_owned(), address, room: 2, distant: false }]);
/// assert_eq!(book.choose(now).unwrap().router, "b");
/// book.record_failure(now, "b");
/// assert!(book.choose(now).is_none(), "left out");
/// assert!(book.choose(now + Duration::from_millis(300)).is_some());
/// assert!(book.choose(now + Duration::from_secs(9)).is_none(), "the list is too old");
/// ```
#[derive(Clone, Debug, Default)]
pub struct NeighbourBook {
    neighbours: Vec<Neighbour>,
    received_at: Duration,
    /// Number of the latest connection.
    latest: u64,
    need: HandoverNeed,
}

impl NeighbourBook {
    /// Puts a new list in force. Failures of routers that it still names are kept.
    pub fn replace(&mut self, now: Duration, list: Vec<NeighbourRoom>) {
        let known = std::mem::take(&mut self.neighbours);
        let renewed = list.into_iter().map(|room| {
            let earlier = known.iter().find(|neighbour| neighbour.room.router == room.router);
            let unknown = || Neighbour {
                room: room.clone(),
                given: 0,
                latest: 0,
                failures: 0,
                absent_until: Duration::ZERO,
            };
            Neighbour { room: room.clone(), given: 0, ..earlier.cloned().unwrap_or_else(unknown) }
        });
        self.neighbours = renewed.collect();
        self.received_at = now;
    }

    /// Returns the connections a second that the router does not serve itself, given their number
    /// since the start of the process.
    pub fn record_sought(&mut self, now: Duration, count: u64) -> u32 {
        self.need.observe(now, count)
    }

    fn available(&self, now: Duration) -> impl Iterator<Item = (usize, &Neighbour)> {
        let is_current = now < self.received_at + LIST_LIFETIME;
        self.neighbours.iter().enumerate().filter(move |(_, neighbour)| {
            is_current && now >= neighbour.absent_until && neighbour.given < neighbour.room.room
        })
    }

    /// True if a connection could be handed over now.
    pub fn has_room(&self, now: Duration) -> bool {
        self.available(now).next().is_some()
    }

    /// Chooses the neighbour with the largest part of its room left, of equal ones that which waits
    /// longest for a connection, in the router's own zone if
    /// one there has room, because bytes between zones are dear. Counts a connection that is
    /// handed to it. [`Self::record_failure`] or [`Self::record_end`] must follow.
    pub fn choose(&mut self, now: Duration) -> Option<ChosenNeighbour> {
        // Compares the parts of the rooms that would be used, as fractions.
        let used = |neighbour: &Neighbour| u64::from(neighbour.given) + 1;
        let (index, _) = self.available(now).min_by(|(_, left), (_, right)| {
            let (left_room, right_room) = (left.room.room, right.room.room);
            let parts = (used(left) * u64::from(right_room), used(right) * u64::from(left_room));
            let order = left.room.distant.cmp(&right.room.distant).then(parts.0.cmp(&parts.1));
            order.then(left.latest.cmp(&right.latest))
        })?;
        let neighbour = &mut self.neighbours[index];
        neighbour.given += 1;
        self.latest += 1;
        neighbour.latest = self.latest;
        let NeighbourRoom { router, address, .. } = &neighbour.room;
        Some(ChosenNeighbour { router: router.clone(), address: *address })
    }

    fn find(&mut self, router: &str) -> Option<&mut Neighbour> {
        self.neighbours.iter_mut().find(|neighbour| neighbour.room.router == router)
    }

    /// Records that a neighbour refused a connection or did not answer.
    pub fn record_failure(&mut self, now: Duration, router: &str) {
        let Some(neighbour) = self.find(router) else { return };
        neighbour.given = neighbour.given.saturating_sub(1);
        if now < neighbour.absent_until {
            return;
        }
        neighbour.absent_until =
            now + FIRST_ABSENCE * 2_u32.pow(neighbour.failures.min(ABSENCE_DOUBLINGS));
        neighbour.failures = neighbour.failures.saturating_add(1);
    }

    /// Records that a neighbour took a connection.
    pub fn record_taken(&mut self, router: &str) {
        if let Some(neighbour) = self.find(router) {
            neighbour.failures = 0;
        }
    }

    /// Records that a connection which a neighbour took has ended.
    pub fn record_end(&mut self, router: &str) {
        if let Some(neighbour) = self.find(router) {
            neighbour.given = neighbour.given.saturating_sub(1);
        }
    }
}
