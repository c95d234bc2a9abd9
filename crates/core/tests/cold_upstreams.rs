//! Tests of the rate at which the fleet sends requests to cold upstreams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::local_dispatcher::{LocalDispatcher, LocalSettings};
use baobabfall_core::route_table::{ColdRow, ServiceRow};
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::upstream_limits::read_rate;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamRegistry};
use dispatch_fleet::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Most arrivals in a second at a rate of 8.9: the rate, half of it more, and 5.
const WINDOW_BOUND: usize = 18;
const STEP: Duration = ms(10);
/// New requests in each step that keep every upstream of a small fleet full.
const OVERLOAD: u32 = 16;

fn services() -> Vec<ServiceRow> {
    let cold = ColdRow { start_ms: 3_000, rate: read_rate("8.9").unwrap() };
    let row = ServiceRow {
        name: "m".to_owned(),
        health_path: String::new(),
        connections: 100,
        engine: None,
        cold: Some(cold),
    };
    vec![row]
}

/// A dispatcher, one router with a queue, and upstreams that answer after 200 to 600 ms.
struct ColdFleet {
    dispatcher: SlotDispatcher,
    router: ManualRouter,
    engines: Vec<UpstreamAnnouncement>,
    running: Vec<(Duration, SlotGrant)>,
    queued: u32,
    /// Arrivals of requests at upstreams, up to 150 ms after their grants.
    arrivals: Vec<(Duration, String)>,
    dice: SeededRng,
    now: Duration,
}

impl ColdFleet {
    fn new(count: usize, slots: u32) -> Self {
        let warm = |index| UpstreamAnnouncement {
            cold_ms: Some(0),
            ..engine(&format!("e{index:02}"), &["m"], slots)
        };
        let engines: Vec<_> = (0..count).map(warm).collect();
        Self {
            dispatcher: dispatcher(1, Duration::ZERO, &engines),
            router: ManualRouter::new("r"),
            engines,
            running: Vec::new(),
            queued: 0,
            arrivals: Vec::new(),
            dice: SeededRng::new(53),
            now: Duration::ZERO,
        }
    }

    /// Announces some upstreams anew, after `change`.
    fn announce(&mut self, from: usize, to: usize, change: impl Fn(&mut UpstreamAnnouncement)) {
        for engine in &mut self.engines[from..to] {
            engine.sequence += 1;
            change(engine);
        }
        self.dispatcher.set_upstreams(self.now, &self.engines);
    }

    fn restart(&mut self, from: usize, to: usize, cold_ms: Option<u64>) {
        self.announce(from, to, |engine| {
            (engine.incarnation, engine.sequence) = (engine.incarnation + 1, 1);
            engine.cold_ms = cold_ms;
        });
    }

    /// Runs until `end` with `per_step` new requests in each step of 10 ms.
    fn run(&mut self, end: Duration, per_step: u32) {
        while self.now < end {
            self.queued += per_step;
            let now = self.now;
            let ended: Vec<_> = self.running.extract_if(.., |(until, _)| *until <= now).collect();
            let finished =
                |(_, grant): &(Duration, SlotGrant)| usage(grant, 1_000, Some(LeaseEnd::Finished));
            let usage = ended.iter().map(finished).collect();
            let report = self.router.report(vec![entry("a", self.queued, 1_000)], usage);
            assert!(self.dispatcher.apply_report(now, &report));
            self.dispatcher.dispatch(now);
            for grant in self.router.receive(now, &mut self.dispatcher) {
                self.queued -= 1;
                let arrival = now + ms(self.dice.below(150) as u64);
                self.arrivals.push((arrival, grant.upstream.name.clone()));
                self.running.push((now + ms(200 + self.dice.below(400) as u64), grant));
            }
            self.now += STEP;
        }
    }

    fn count(&self, name: &str, from: Duration, to: Duration) -> usize {
        count_within(&self.arrivals, name, from, to)
    }

    /// Most arrivals at one of the upstreams in any second that begins within the times.
    fn most(&self, upstreams: std::ops::Range<usize>, from: Duration, to: Duration) -> usize {
        let names = self.engines[upstreams].iter().map(|engine| engine.name.as_str());
        names.map(|name| most_in_second(&self.arrivals, name, from, to)).max().unwrap()
    }
}

fn count_within(
    arrivals: &[(Duration, String)],
    name: &str,
    from: Duration,
    to: Duration,
) -> usize {
    arrivals.iter().filter(|(at, upstream)| upstream == name && (from..to).contains(at)).count()
}

fn most_in_second(
    arrivals: &[(Duration, String)],
    name: &str,
    from: Duration,
    to: Duration,
) -> usize {
    let starts = arrivals.iter().filter(|(at, upstream)| upstream == name && *at >= from);
    let starts = starts.map(|(at, _)| *at).chain([from]).filter(|start| *start <= to - SECOND);
    starts.map(|start| count_within(arrivals, name, start, start + SECOND)).max().unwrap()
}

fn dispatcher(term: u64, now: Duration, engines: &[UpstreamAnnouncement]) -> SlotDispatcher {
    let mut dispatcher = SlotDispatcher::new(now, term, DispatchSettings::default());
    dispatcher.expect_routers([]);
    dispatcher.set_table(now, &table(&[row("a", 1, 1_000_000)]));
    dispatcher.set_cold_services(&services());
    dispatcher.set_upstreams(now, engines);
    dispatcher
}

/// When a third of the upstreams returns cold at a load of 1,100 requests a second, none of them
/// may get more than it tolerates, no request may wait longer than before, and their share must
/// rise to that of the others. Otherwise they crash, or stay idle.
#[test]
fn dispatch_zone_returns_cold_under_load() {
    let mut fleet = ColdFleet::new(90, 64);
    fleet.run(ms(6_000), 11);
    let returned = fleet.now;
    fleet.restart(0, 30, Some(3_000));
    for beat in 1..=4_u64 {
        fleet.run(returned + ms(beat * 1_200), 11);
        fleet.announce(0, 30, |engine| {
            engine.cold_ms = Some(3_000_u64.saturating_sub(beat * 1_200));
        });
    }
    assert!(fleet.queued < 50, "{} requests wait", fleet.queued);
    let early = fleet.count("e07", returned + ms(150), returned + ms(3_000));
    assert_eq!(early, 0, "warm upstreams with free slots go first");
    fleet.run(returned + ms(13_000), 11);
    assert!(fleet.most(0..30, returned, returned + ms(3_000)) <= WINDOW_BOUND);
    let share = |name: &str| fleet.count(name, returned + ms(9_000), returned + ms(13_000));
    let (cold, warm) = (share("e07"), share("e60"));
    assert!(cold * 2 > warm, "{cold} requests after the cold time, {warm} at a warm upstream");
    assert_eq!(fleet.dispatcher.cold_count(), 0);
}

/// When the warm upstreams are full, cold ones must be used at their rate, but not above it.
#[test]
fn dispatch_cold_used_at_rate_when_others_are_full() {
    let mut fleet = ColdFleet::new(9, 32);
    fleet.run(ms(6_000), OVERLOAD);
    let returned = fleet.now;
    fleet.restart(0, 3, Some(3_000));
    fleet.run(returned + ms(6_000), OVERLOAD);
    assert!(fleet.queued > 100, "the warm upstreams are full");
    assert!(fleet.most(0..3, returned, returned + ms(3_000)) <= WINDOW_BOUND);
    let used = fleet.count("e00", returned + SECOND, returned + ms(3_000));
    assert!((14..=20).contains(&used), "{used} requests in two seconds, 17.8 tolerated");
    let warm_at = returned + ms(3_500);
    let first = fleet.count("e00", warm_at, warm_at + SECOND);
    assert!((10..50).contains(&first), "{first} requests in the first warm second; 32 slots");
}

/// A running upstream that becomes cold again is known to be cold up to an announcement interval
/// later. What arrived meanwhile counts, so the first paced request must wait for a second.
#[test]
fn dispatch_upstream_becomes_cold_again() {
    let mut fleet = ColdFleet::new(9, 5);
    fleet.run(ms(8_000), OVERLOAD);
    fleet.announce(0, 3, |engine| engine.cold_ms = Some(2_500));
    let announced = fleet.now;
    fleet.run(announced + ms(3_000), OVERLOAD);
    assert!(fleet.most(0..3, announced - ms(700), announced + ms(2_500)) <= WINDOW_BOUND);
    let name = "e00";
    assert_eq!(fleet.count(name, announced + ms(150), announced + SECOND), 0);
    assert!(fleet.count(name, announced + SECOND, announced + ms(2_500)) > 8);
    fleet.announce(0, 3, |engine| engine.cold_ms = Some(2_000));
    let left = fleet.dispatcher.cold_left(fleet.now, name).unwrap();
    assert_eq!(left, ms(2_500), "a longer time takes effect at once, with the margin");
}

/// An incarnation whose state is not known counts as cold for the time that its service names, and
/// no longer, even if no announcement arrives. A later one that states it is warm ends that.
#[test]
fn dispatch_unknown_state_counts_as_cold() {
    let mut fleet = ColdFleet::new(4, 8);
    fleet.run(ms(6_000), 1);
    fleet.restart(0, 2, None);
    assert_eq!(fleet.dispatcher.cold_left(fleet.now, "e01"), Some(ms(3_000)));
    fleet.run(ms(8_990), 1);
    assert_eq!(fleet.dispatcher.cold_count(), 2);
    fleet.run(ms(9_020), 1);
    assert_eq!(fleet.dispatcher.cold_count(), 0, "no announcement arrived");
    let mut other = dispatcher(1, Duration::ZERO, &[engine("e", &["m"], 8)]);
    assert_eq!(other.cold_left(ms(10), "e"), Some(ms(2_990)));
    let stated = UpstreamAnnouncement { sequence: 2, cold_ms: Some(0), ..engine("e", &["m"], 8) };
    let mut informed = other.clone();
    informed.set_upstreams(ms(10), [&stated]);
    assert_eq!(informed.cold_left(ms(10), "e"), None, "it stated that it is warm");
    other.set_cold_services(&[]);
    assert_eq!(other.cold_left(ms(10), "e"), None, "the service names no rate any more");
}

/// An upstream that restarts under its name while it is in use may have got requests before its
/// first announcement. None may follow within a second, and none that was granted for the old
/// incarnation counts as paced.
#[test]
fn dispatch_restart_under_same_name_pauses() {
    let mut fleet = ColdFleet::new(9, 5);
    fleet.run(ms(8_000), OVERLOAD);
    fleet.restart(0, 1, Some(3_000));
    let restarted = fleet.now;
    fleet.run(restarted + ms(3_000), OVERLOAD);
    assert_eq!(fleet.count("e00", restarted + ms(150), restarted + SECOND), 0);
    assert!(fleet.most(0..1, restarted - ms(700), restarted + ms(3_000)) <= WINDOW_BOUND);
}

/// The upstreams of a zone that got no requests may have become cold meanwhile, and an announcement
/// of before cannot tell. They must not get the load of the fleet at once when the zone returns.
#[test]
fn set_evacuated_zones_paces_returning_zone() {
    let mut fleet = ColdFleet::new(9, 32);
    for engine in &mut fleet.engines[0..3] {
        engine.zone = "b".to_owned();
    }
    fleet.announce(0, 3, |_| ());
    fleet.run(ms(6_000), OVERLOAD);
    fleet.dispatcher.set_evacuated_zones(fleet.now, ["b"]);
    fleet.run(ms(8_000), OVERLOAD);
    fleet.dispatcher.set_evacuated_zones(fleet.now, []);
    fleet.announce(0, 3, |engine| engine.cold_ms = Some(0));
    fleet.run(ms(11_000), OVERLOAD);
    assert!(fleet.most(0..3, ms(8_000), ms(11_000)) <= WINDOW_BOUND);
    assert!(fleet.most(3..9, ms(8_000), ms(11_000)) > WINDOW_BOUND, "others are not paced");
}

/// While the lead changes, an old dispatcher, 85 routers in local mode and the next dispatcher
/// follow each other, and a partition lets a dispatcher and all local routers send at once. Together
/// they must stay within what a cold upstream tolerates.
#[test]
fn dispatch_lead_lost_while_cold() {
    let mut fleet = ColdFleet::new(3, 64);
    fleet.run(ms(6_000), 6);
    let returned = fleet.now;
    fleet.restart(0, 1, Some(6_000));
    let cold = fleet.engines[0].clone();
    let rate = read_rate("8.9");
    let limit = UpstreamLimit { upstream: "e00".to_owned(), incarnation: 2, rate };
    let local = |seed: u64| {
        let mut dice = SeededRng::new(seed);
        let seed = (0..3).fold(0, |seed, _| seed << 20 | dice.below(1 << 20) as u64);
        let settings = LocalSettings {
            last_answer_at: Duration::ZERO,
            routers: 85,
            seed,
            ..LocalSettings::default()
        };
        let mut local = LocalDispatcher::new(settings, &table(&[row("a", 1, 1_000)]), []);
        local.set_upstreams([&UpstreamAnnouncement { concurrency: 85 * 64, ..cold.clone() }]);
        local
    };
    let mut locals: Vec<_> = (0..85).map(local).collect();
    let mut next = None;
    let mut local_count = 0;
    // Routers are isolated for ten seconds by the time of their last answer, so each may use slots.
    let isolated = LocalSettings::default().isolation_wait;
    for step in 0..500_u32 {
        let now = returned + STEP * step;
        if step < 200 {
            fleet.run(now, 6);
        }
        for local in locals.iter_mut().filter(|_| (100..400).contains(&step)) {
            local.set_cold_rates(now + isolated, std::slice::from_ref(&limit));
            local.set_backlog(&entry("a", 20, 1_000));
            for grant in local.dispatch(now + isolated) {
                assert!(grant.upstream.paced);
                local_count += 1;
                fleet.arrivals.push((now, grant.upstream.name));
            }
        }
        if step >= 250 {
            // The next leader knows the upstream from a copy of the registry.
            let (dispatcher, router) = next.get_or_insert_with(|| {
                let mut router = ManualRouter::new("r");
                router.term = 2;
                (dispatcher(2, now, std::slice::from_ref(&cold)), router)
            });
            let report = router.report(vec![entry("a", 50, 1_000)], vec![]);
            assert!(dispatcher.apply_report(now, &report));
            dispatcher.dispatch(now);
            for grant in router.receive(now, dispatcher) {
                assert!(grant.upstream.paced);
                fleet.arrivals.push((now, grant.upstream.name));
            }
        }
    }
    assert!((2..=20).contains(&local_count), "{local_count} in three seconds, 6.7 expected");
    assert!(fleet.most(0..1, returned, returned + ms(5_000)) <= WINDOW_BOUND);
}

/// A grant that was not used must not count towards the rate, or a cold upstream would get less.
#[test]
fn dispatch_unused_cold_grant_is_refunded() {
    let cold = UpstreamAnnouncement { cold_ms: Some(3_000), ..engine("e", &["m"], 8) };
    let mut dispatcher = dispatcher(1, Duration::ZERO, &[cold]);
    let mut router = ManualRouter::new("r");
    let report = router.report(vec![entry("a", 9, 1_000)], vec![]);
    assert!(dispatcher.apply_report(Duration::ZERO, &report));
    assert_eq!(dispatcher.dispatch(Duration::ZERO), 0, "a new budget is empty");
    assert_eq!(dispatcher.next_wakeup(Duration::ZERO).unwrap().as_millis(), 112);
    assert_eq!(dispatcher.clone().dispatch(ms(2_500)), 1, "unused requests do not add up");
    assert_eq!(dispatcher.dispatch(ms(113)), 1);
    let grant = router.receive(ms(113), &mut dispatcher).remove(0);
    assert!(grant.upstream.paced);
    assert_eq!(dispatcher.dispatch(ms(120)), 0);
    let unused = usage(&grant, 0, Some(LeaseEnd::Unused));
    assert!(dispatcher.apply_report(ms(130), &router.report(vec![entry("a", 9, 0)], vec![unused])));
    assert_eq!(dispatcher.dispatch(ms(130)), 1);
}

/// Renewals of a cold upstream must not change the registry as its time passes, or each would send
/// the whole registry to all routers. A longer time must, and copies must state the time left.
#[test]
fn announce_cold_time_changes_registry_only_when_moved() {
    let mut registry = UpstreamRegistry::default();
    let mut announce = |at: u64, sequence: u64, cold_ms: Option<u64>| {
        let renewed = UpstreamAnnouncement { sequence, cold_ms, ..engine("e", &["m"], 8) };
        registry.announce(ms(at), SECOND * 6, renewed).unwrap();
        let entry = registry.entries().get("e").unwrap();
        (registry.version(), entry.announcement_at(ms(at + 100)).cold_ms)
    };
    assert_eq!(announce(0, 1, Some(3_000)), (1, Some(2_900)));
    assert_eq!(announce(1_200, 2, Some(1_850)), (1, Some(1_750)));
    assert_eq!(announce(2_400, 3, Some(600)), (1, Some(500)));
    assert_eq!(announce(3_600, 4, Some(0)), (1, Some(0)));
    assert_eq!(announce(4_800, 5, Some(3_000)).0, 2, "cold again");
    assert_eq!(announce(6_000, 6, Some(0)).0, 3, "warm before it said so");
    assert_eq!(announce(7_200, 7, None), (4, None));
}
