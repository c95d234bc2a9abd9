//! Tests of the dispatcher while operators evacuate and readmit availability zones.

mod dispatch_fleet;

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use dispatch_fleet::*;
use std::time::Duration;

const SLOTS: u32 = 8;

/// Three engines, one in each of the zones `z0`, `z1` and `z2`.
fn engines() -> Vec<UpstreamAnnouncement> {
    let engine_of = |number: u32| UpstreamAnnouncement {
        zone: format!("z{number}"),
        ..engine(&format!("e{number}"), &["m"], SLOTS)
    };
    (0..3).map(engine_of).collect()
}

fn running(dispatcher: &SlotDispatcher, now: Duration) -> Vec<(u32, u32)> {
    dispatcher.upstreams(now).map(|view| (view.slots, view.running)).collect()
}

/// Full queues, all slots in use: an engine of an evacuated zone must get no further grant, neither
/// for queued requests nor for a prefix that it holds, and its running leases must go on and end
/// there. The other zones must stay in full use.
#[test]
fn evacuated_zone_under_load_gets_no_grants() {
    let settings = DispatchSettings::default();
    let mut dispatcher = ready(settings, &[row("a", 1, 99), row("b", 1, 99)], &engines());
    let mut router = ManualRouter::new("r");
    let queued = |count| {
        let prefixed = BacklogEntry { prefix: Some(7), ..entry("a", count, 1_000) };
        vec![prefixed, entry("b", count, 1_000)]
    };
    let mut now = ms(10_000);
    assert!(dispatcher.apply_report(now, &router.report(queued(500), vec![])));
    dispatcher.dispatch(now);
    let mut leases = router.receive(now, &mut dispatcher);
    assert_eq!(leases.len(), 24);
    dispatcher.set_evacuated_zones(now, ["z1"]);
    assert_eq!(running(&dispatcher, now), [(8, 8), (0, 8), (8, 8)]);
    for round in 0..30_u32 {
        now += ms(100);
        let ended: Vec<LeaseUsage> = leases
            .drain(..4.min(leases.len()))
            .map(|grant| usage(&grant, 1_000, Some(LeaseEnd::Finished)))
            .collect();
        assert!(dispatcher.apply_report(now, &router.report(queued(400 - round), ended)));
        dispatcher.dispatch(now);
        let grants = router.receive(now, &mut dispatcher);
        assert!(grants.iter().all(|grant| grant.upstream.name != "e1"), "round {round}");
        leases.extend(grants);
    }
    assert_eq!(running(&dispatcher, now), [(8, 8), (0, 0), (8, 8)]);
    // A list of upstreams that the leader receives meanwhile must not end the evacuation.
    let mut late = engines();
    late[1].incarnation = 2;
    dispatcher.set_upstreams(now, &late);
    assert_eq!(dispatcher.dispatch(now), 0);
}

/// The engines of a readmitted zone may have restarted or lost their caches. They must not get all
/// of their slots at once, and must get them all in the end.
#[test]
fn readmitted_zone_starts_slowly() {
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines());
    let mut router = ManualRouter::new("r");
    let now = ms(10_000);
    dispatcher.set_evacuated_zones(now, ["z0", "z1"]);
    assert!(dispatcher.apply_report(now, &router.report(vec![entry("a", 90, 1_000)], vec![])));
    assert_eq!(dispatcher.dispatch(now), 8);
    dispatcher.set_evacuated_zones(now, ["z0"]);
    assert_eq!(dispatcher.dispatch(now), 1, "a slow start begins with one slot");
    let slow_start = DispatchSettings::default().placement.slow_start;
    let mut granted = 1;
    for step in 1..=10 {
        granted += dispatcher.dispatch(now + slow_start * step / 10);
    }
    assert_eq!(granted, 8);
}
