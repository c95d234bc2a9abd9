//! Names neighbours with room to routers that ask for them.
//!
//! It answers a flood of callers that reaches one router while others are idle. Routers report
//! their room with reports that they send anyway; only those that ask get a list.

use crate::dispatch_messages::{DispatchReport, NeighbourRoom, RouterLoad};
use crate::handover_need::{RouterNeed, share_room};
use crate::slot_dispatcher::SlotDispatcher;
use std::cmp::Reverse;
use std::time::Duration;

/// Most neighbours that are named to one router.
const LIST_LIMIT: usize = 32;
/// Most of them from the router's own zone; the others are named in case those have no room left.
const OWN_ZONE_LIMIT: usize = 24;
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

/// Routers that want neighbours to take connections, and those that could.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverLoad {
    /// Routers that ask for neighbours.
    pub asking: usize,
    /// Those of them that hand connections over or close them unread.
    pub seeking: usize,
    /// Connections a second that these do not serve themselves.
    pub sought: u32,
    /// Routers that are named as neighbours.
    pub takers: usize,
    /// Requests that these could take on now.
    pub room: u32,
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

    /// Synced routers with a recent report, by name.
    fn reporting_routers(&self, now: Duration) -> impl Iterator<Item = (&str, usize)> {
        let is_live = move |id: usize| {
            let state = &self.routers[id];
            state.synced && now < state.last_report_at + REPORT_LIMIT
        };
        let routers = self.router_names.iter().map(|(name, id)| (name.as_str(), *id));
        routers.filter(move |(_, id)| is_live(*id))
    }

    /// Routers that can take connections of others.
    fn takers(&self, now: Duration) -> impl Iterator<Item = (&str, usize)> {
        let is_taker = |id: usize| {
            let RouterLoad { asks, room, .. } = self.routers[id].load.load;
            !asks && room > 0
        };
        self.reporting_routers(now).filter(move |(_, id)| is_taker(*id))
    }

    /// Requests that all takers together could take on now.
    fn room(&self, now: Duration) -> u32 {
        let rooms = self.takers(now).map(|(_, id)| self.routers[id].load.load.room);
        rooms.fold(0, u32::saturating_add)
    }

    /// What the routers with room could take, and what the others seek.
    pub fn handover_load(&self, now: Duration) -> HandoverLoad {
        let loads = || self.reporting_routers(now).map(|(_, id)| &self.routers[id].load.load);
        HandoverLoad {
            asking: loads().filter(|load| load.asks).count(),
            seeking: loads().filter(|load| load.asks && load.sought > 0).count(),
            sought: loads()
                .filter(|load| load.asks)
                .fold(0, |sum, load| sum.saturating_add(load.sought)),
            takers: self.takers(now).count(),
            room: self.room(now),
        }
    }

    /// Routers with room, those of the own zone first. Their room is shared among the routers that
    /// ask by what these seek.
    fn list_neighbours(&self, now: Duration, id: usize) -> Vec<NeighbourRoom> {
        let load = |other: usize| &self.routers[other].load.load;
        let asking: Vec<usize> = self
            .reporting_routers(now)
            .map(|(_, other)| other)
            .filter(|other| load(*other).asks)
            .collect();
        let total = self.room(now);
        let need = |other: &usize| {
            let RouterLoad { sought, handed_over, .. } = *load(*other);
            RouterNeed { sought, handed_over }
        };
        let needs: Vec<RouterNeed> = asking.iter().map(need).collect();
        let parts = share_room(total, &needs);
        let own = asking.iter().position(|other| *other == id).map_or(0, |index| parts[index]);
        let zone = self.routers[id].zone;
        // Each router that asks begins at another place of the list.
        let split = self.reporting_routers(now).position(|(_, other)| other == id).unwrap_or(0);
        let takers = || self.takers(now).skip(split).chain(self.takers(now).take(split));
        let part = |room: u32| u64::from(room) * u64::from(own) / u64::from(total.max(1));
        let named: u64 = takers().map(|(_, other)| part(load(other).room)).sum();
        // What rounding left over. Rounding each part up would promise room twice.
        let mut rest = u64::from(own).saturating_sub(named);
        let mut list = Vec::new();
        for (name, other) in takers() {
            let RouterLoad { room, address, .. } = load(other);
            let Some(address) = *address else { continue };
            let extra = rest.min(u64::from(part(*room) < u64::from(*room)));
            rest -= extra;
            let room = u32::try_from(part(*room) + extra).unwrap_or(u32::MAX);
            let distant = self.routers[other].zone != zone;
            list.push(NeighbourRoom { router: name.to_owned(), address, room, distant });
        }
        select_neighbours(list, own)
    }
}

/// Keeps the neighbours with the most room. The own zone comes first if it has `wanted` room,
/// because bytes between zones are dear; else a full neighbour there would keep an idle one of
/// another zone off the list.
fn select_neighbours(mut list: Vec<NeighbourRoom>, wanted: u32) -> Vec<NeighbourRoom> {
    list.retain(|neighbour| neighbour.room > 0);
    list.sort_by_key(|neighbour| Reverse(neighbour.room));
    let is_own = |neighbour: &&NeighbourRoom| !neighbour.distant;
    let near = list.iter().filter(is_own).take(OWN_ZONE_LIMIT);
    let room = near.map(|neighbour| neighbour.room).fold(0, u32::saturating_add);
    if room >= wanted {
        let (near, mut distant): (Vec<_>, Vec<_>) =
            list.into_iter().partition(|neighbour| !neighbour.distant);
        list = near;
        list.truncate(OWN_ZONE_LIMIT);
        list.append(&mut distant);
    }
    list.truncate(LIST_LIMIT);
    list.sort_by_key(|neighbour| neighbour.distant);
    list
}
