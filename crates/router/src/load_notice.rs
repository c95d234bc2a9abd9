//! What a router reports about its own load, and when.

use baobabfall_core::dispatch_messages::RouterLoad;

/// Requests by which the room may differ from what was reported. A finer figure would change with
/// each report.
const ROOM_STEP: u32 = 8;

/// Number that changes when a rate has about doubled or halved.
fn rate_class(per_second: u32) -> u32 {
    u32::BITS - per_second.leading_zeros()
}

/// The router's own load, as it is reported.
#[derive(Debug, Default)]
pub(crate) struct LoadNotice {
    load: RouterLoad,
    /// Sequence number of the first report that carries the latest change.
    change_sequence: u64,
    /// Sequence number of the first report that carries the latest change of `asks`.
    urgent_sequence: u64,
}

impl LoadNotice {
    fn room_class(room: u32) -> u32 {
        room.div_ceil(ROOM_STEP)
    }

    /// Records the load, which the report with number `sequence` carries first. Returns true if
    /// the dispatcher should learn of it at once.
    pub(crate) fn set(&mut self, load: RouterLoad, sequence: u64) -> bool {
        let is_urgent = load.asks != self.load.asks;
        let is_changed = is_urgent
            || load.address != self.load.address
            || Self::room_class(load.room) != Self::room_class(self.load.room)
            || rate_class(load.sought) != rate_class(self.load.sought)
            || Self::room_class(load.handed_over) != Self::room_class(self.load.handed_over);
        if is_changed {
            self.change_sequence = sequence;
            self.load = load;
        }
        if is_urgent {
            self.urgent_sequence = sequence;
        }
        is_urgent
    }

    /// True if reports up to `since` do not tell whether the router asks for neighbours.
    pub(crate) fn is_urgent(&self, since: u64) -> bool {
        self.urgent_sequence > since
    }

    /// What a report says about the load.
    pub(crate) fn report(&self, full: bool, since: u64) -> Option<RouterLoad> {
        let is_due = self.change_sequence > since || (full && self.load != RouterLoad::default());
        is_due.then(|| self.load.clone())
    }
}
