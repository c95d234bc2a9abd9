//! Names neighbours with room to routers that ask for them.
//!
//! It answers a flood of callers that reaches one router while others are idle. Routers report
//! their room with reports that they send anyway; only those that ask get a list.

use crate::dispatch_messages::{DispatchReport, NeighbourRoom, RouterLoad};
use crate::slot_dispatcher::SlotDispatcher;
use std::time::Duration;

/// Most neighbours that are named to one router.
const LIST_LIMIT: usize = 16;
/// Most of them from the router's own zone; the others are named in case those have no room left.
const OWN_ZONE_LIMIT: usize = 12;
/// Time without a report after which a router is not named. A router without work reports five
/// times as often.
const REPORT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which a router that asks gets a new list.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// What a router last reported about its load.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedLoad {
    load: RouterLoad,
    /// When the router last got a list.
    named_at: Option<Duration>,
}

impl SlotDispatcher {
    /// Records the load in a router's report.
    pub(crate) fn apply_load(&mut self, now: Duration, id: usize, report: &DispatchReport) {
        let reported = &mut self.routers[id].load;
        if let Some(load) = &report.load {
            let known = reported.load.address;
            reported.load = RouterLoad { address: load.address.or(known), ..load.clone() };
        } else if report.full {
            reported.load = RouterLoad::default();
        }
        let is_due = reported.named_at.is_none_or(|at| now >= at + RENEWAL_INTERVAL);
        if reported.load.asks && is_due {
            self.request_answer(id);
        }
    }

    /// Neighbours to name to a router in its next answer, if it asks for them.
    pub(crate) fn take_neighbours(
        &mut self,
        now: Duration,
        id: usize,
    ) -> Option<Vec<NeighbourRoom>> {
        let reported = &self.routers[id].load;
        let is_due = reported.named_at.is_none_or(|at| now >= at + RENEWAL_INTERVAL);
        if !reported.load.asks || !is_due {
            return None;
        }
        self.routers[id].load.named_at = Some(now);
        Some(self.list_neighbours(now, id))
    }

    /// Routers with room. It is divided by the number of the routers that ask.
    fn list_neighbours(&self, now: Duration, id: usize) -> Vec<NeighbourRoom> {
        let is_live = |other: usize| {
            let state = &self.routers[other];
            state.synced && now < state.last_report_at + REPORT_LIMIT
        };
        let zone = self.routers[id].zone;
        let ids = || self.router_names.iter().filter(|(_, other)| is_live(**other));
        let asking = ids().filter(|(_, other)| self.routers[**other].load.load.asks).count();
        let divisor = u32::try_from(asking).unwrap_or(u32::MAX).max(1);
        let mut own_zone = Vec::new();
        let mut others = Vec::new();
        // Each router that asks begins at another place of the list.
        let split = ids().position(|(_, other)| *other == id).unwrap_or(0);
        for (name, other) in ids().skip(split).chain(ids().take(split)) {
            let RouterLoad { room, address, asks, .. } = &self.routers[*other].load.load;
            let (Some(address), false, true) = (*address, *asks, *room > 0) else { continue };
            let room = room.div_ceil(divisor);
            let distant = self.routers[*other].zone != zone;
            let neighbour = NeighbourRoom { router: name.clone(), address, room, distant };
            match distant {
                true => others.push(neighbour),
                false => own_zone.push(neighbour),
            }
        }
        own_zone.truncate(OWN_ZONE_LIMIT);
        own_zone.append(&mut others);
        own_zone.truncate(LIST_LIMIT);
        own_zone
    }
}
