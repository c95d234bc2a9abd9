//! Tests of which neighbours the dispatcher names to crowded routers.

#![allow(clippy::unwrap_used)]

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use std::time::Duration;

const TERM: u64 = 3;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Fleet {
    dispatcher: SlotDispatcher,
    sequence: u64,
}

impl Fleet {
    fn start() -> Self {
        let dispatcher = SlotDispatcher::new(Duration::ZERO, TERM, DispatchSettings::default());
        Self { dispatcher, sequence: 0 }
    }

    /// Reports the load of a router in the zone that its name begins with.
    fn report(&mut self, now: Duration, router: &str, load: Option<(u32, bool)>) {
        self.sequence += 1;
        let address = "10.0.0.1:7401".parse().ok();
        let load =
            load.map(|(room, asks)| RouterLoad { room, address, asks, ..RouterLoad::default() });
        let report = DispatchReport {
            router: NodeIdentity { name: router.to_owned(), incarnation: 1 },
            zone: router[..1].to_owned(),
            term: TERM,
            sequence: self.sequence,
            full: load.is_some(),
            backlog: Vec::new(),
            usage: Vec::new(),
            charges: Vec::new(),
            received_grant: 0,
            wait_ms: 0,
            statements: Vec::new(),
            restrictions: Vec::new(),
            parts: PartReport::default(),
            limits: LimitReport::default(),
            origins: OriginReport::default(),
            load,
        };
        assert!(self.dispatcher.apply_report(now, &report));
    }

    /// Neighbours in the next answer to a router, each with its room.
    fn neighbours(&mut self, now: Duration, router: &str) -> Option<Vec<(String, u32, bool)>> {
        let list = self.dispatcher.take_answer(now, router).neighbours?;
        Some(list.into_iter().map(|room| (room.router, room.room, room.distant)).collect())
    }
}

fn named(list: &[(&str, u32, bool)]) -> Option<Vec<(String, u32, bool)>> {
    Some(list.iter().map(|(name, room, distant)| ((*name).to_owned(), *room, *distant)).collect())
}

/// Guards against handing over to routers that are crowded themselves, have no room or were lost,
/// and against bytes between zones while the own zone has room.
#[test]
fn take_answer_names_routers_with_room() {
    let mut fleet = Fleet::start();
    fleet.report(at(0), "a-lost", Some((50, false)));
    for (router, room, asks) in [
        ("a-1", 0, true),
        ("a-2", 40, false),
        ("a-3", 0, false),
        ("a-4", 9, true),
        ("b-1", 30, false),
    ] {
        fleet.report(at(1_500), router, Some((room, asks)));
    }
    assert!(fleet.dispatcher.needs_answer("a-1") && !fleet.dispatcher.needs_answer("a-2"));
    // Two routers ask, so each gets half of the room.
    let expected = named(&[("a-2", 20, false), ("b-1", 15, true)]);
    assert_eq!(fleet.neighbours(at(1_500), "a-1"), expected);
    assert_eq!(fleet.neighbours(at(1_500), "a-2"), None, "it does not ask");
}

/// Guards against a list that stays in force while rooms change, and against one in each answer.
#[test]
fn take_answer_renews_neighbours() {
    let mut fleet = Fleet::start();
    fleet.report(at(0), "a-1", Some((0, true)));
    fleet.report(at(0), "a-2", Some((40, false)));
    assert_eq!(fleet.neighbours(at(0), "a-1"), named(&[("a-2", 40, false)]));
    fleet.report(at(100), "a-2", Some((0, false)));
    fleet.report(at(100), "a-1", None);
    assert_eq!(fleet.neighbours(at(100), "a-1"), None);
    fleet.report(at(400), "a-1", None);
    assert!(fleet.dispatcher.needs_answer("a-1"));
    assert_eq!(fleet.neighbours(at(400), "a-1"), named(&[]));
    fleet.report(at(500), "a-1", Some((10, false)));
    assert_eq!(fleet.neighbours(at(900), "a-1"), None, "it asks no more");
}
