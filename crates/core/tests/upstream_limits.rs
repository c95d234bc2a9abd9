//! Tests of the request rates that upstreams name.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::dispatch_messages::{
    DispatchReport, LeaseEnd, LimitList, LimitReport, SlotGrant, UpstreamLimit,
};
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::limit_book::{AnswerTiming, LimitBook, RateStatement};
use baobabfall_core::local_dispatcher::{LocalDispatcher, LocalSettings};
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::upstream_limits::{UpstreamLimits, read_rate};
use dispatch_fleet::{ManualRouter, engine, entry, ms, ready_in_term, row, table, usage};
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

const START: Duration = Duration::from_secs(60);

fn limit(name: &str, rate: &str) -> UpstreamLimit {
    UpstreamLimit { upstream: name.to_owned(), incarnation: 1, rate: read_rate(rate) }
}

fn limited(rate: &str) -> RateStatement {
    RateStatement::Limited(read_rate(rate).unwrap())
}

/// Timing of a request that was sent and answered this long after the start.
fn timing(sent: u64, received: u64) -> AnswerTiming {
    AnswerTiming { sent_at: START + ms(sent), received_at: START + ms(received) }
}

/// Guards against a rate that ends because of an answer that was on its way when it was named, and
/// against one that outlives its incarnation.
#[test]
fn record_late_answer_keeps_rate() {
    let mut book = LimitBook::default();
    assert_eq!(book.record(timing(0, 10), "e", 1, RateStatement::Unlimited, 1), None);
    assert_eq!(book.record(timing(5, 20), "e", 1, limited("2"), 1), Some(limit("e", "2")));
    assert_eq!(book.record(timing(15, 30), "e", 1, RateStatement::Unlimited, 1), None);
    assert_eq!(book.record(timing(25, 40), "e", 1, RateStatement::Unreadable, 1), None);
    assert_eq!(book.record(timing(25, 50), "e", 1, limited("2"), 1), None, "nothing new");
    assert_eq!(book.record(timing(45, 60), "e", 1, RateStatement::Unlimited, 1), None);
    assert_eq!(book.rate("e", 1), read_rate("2"));
    assert_eq!(book.rate("e", 2), None);
    let lifted = book.record(timing(55, 70), "e", 1, RateStatement::Unlimited, 2).unwrap();
    assert_eq!((lifted.rate, book.rate("e", 1)), (None, None));
    assert!(book.record(timing(80, 90), "e", 2, limited("3"), 2).is_some());
    assert_eq!(book.record(timing(80, 91), "e", 1, RateStatement::Unlimited, 2), None);
    assert_eq!(book.rate("e", 2), read_rate("3"));
}

/// Guards against changes that are lost with a report, and against a list of the dispatcher that
/// takes back what it has not learned yet.
#[test]
fn apply_list_keeps_unacknowledged_changes() {
    let mut book = LimitBook::default();
    book.record(timing(0, 10), "e", 1, limited("2"), 1);
    let list = |version, limits| LimitList { version, limits };
    book.apply_list(START + ms(20), &list(1, vec![limit("f", "7")]));
    assert_eq!((book.rate("e", 1), book.rate("f", 1)), (read_rate("2"), read_rate("7")));
    let expected =
        LimitReport { version: 1, changes: vec![limit("e", "2")], known: vec![limit("f", "7")] };
    assert_eq!(book.report(true, 0), expected);
    assert!(book.is_changed(0) && !book.is_changed(1));
    book.acknowledge(1);
    assert_eq!(book.report(false, 1).changes, []);
    book.apply_list(START + ms(30), &list(3, vec![limit("e", "2")]));
    book.apply_list(START + ms(31), &list(2, vec![limit("f", "7")]));
    assert_eq!((book.rate("e", 1), book.rate("f", 1)), (read_rate("2"), None));
    book.record(timing(40, 50), "e", 1, RateStatement::Unlimited, 5);
    assert_eq!(book.report(false, 4).changes, [UpstreamLimit { rate: None, ..limit("e", "0") }]);
    book.apply_list(START + ms(60), &list(4, vec![limit("e", "2")]));
    assert_eq!(book.rate("e", 1), None);
    book.acknowledge(5);
    assert!(book.is_empty());
}

/// Guards against a panic or an upstream that is out of use for good because of the text of a rate.
#[test]
fn read_rate_any_text_is_bounded() {
    let mut random = Gen::from_size_and_seed(24, 32);
    let fixed = ["", "inf", "-inf", "NaN", "-0", "1e308", "1e-308", "0x10", "1.5.2", "0"];
    let drawn: Vec<String> = (0..2_000)
        .map(|round| match round % 2 {
            0 => String::arbitrary(&mut random),
            _ => f64::arbitrary(&mut random).to_string(),
        })
        .collect();
    for text in fixed.into_iter().chain(drawn.iter().map(String::as_str)) {
        let Some(rate) = read_rate(text) else { continue };
        for shares in [1, 200, u32::MAX] {
            let mut limits = UpstreamLimits::new(shares, 7);
            limits.record(START, &UpstreamLimit { rate: Some(rate), ..limit("e", "1") });
            let minutes = Duration::from_secs(60) * shares;
            assert_eq!(limits.wait(START + minutes + ms(1), "e", 1), None, "{text:?} / {shares}");
        }
    }
}

/// Time between two rounds of reports.
const STEP: Duration = ms(20);
/// Time that a request runs.
const RUN_TIME: Duration = ms(100);
/// Time over which the requests of an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Routers that always have requests waiting, in front of the engines `e0`, with a rate of
/// 1.9 requests a second, and `e1`, without one.
struct BusyFleet {
    routers: Vec<ManualRouter>,
    running: Vec<(Duration, usize, SlotGrant)>,
    /// Arrivals at `e0`.
    limited: Vec<Duration>,
    /// Arrivals at `e1`.
    others: usize,
}

impl BusyFleet {
    fn new(term: u64) -> Self {
        let routers =
            (0..40).map(|index| ManualRouter { term, ..ManualRouter::new(&format!("r{index}")) });
        Self { routers: routers.collect(), running: Vec::new(), limited: Vec::new(), others: 0 }
    }

    fn dispatcher(term: u64) -> SlotDispatcher {
        let engines = [engine("e0", &["m"], 12), engine("e1", &["m"], 12)];
        ready_in_term(term, DispatchSettings::default(), &[row("a", 1, 999)], &engines)
    }

    /// Sends one report of each router and receives its grants.
    fn step(&mut self, dispatcher: &mut SlotDispatcher, now: Duration, limits: &LimitReport) {
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|(end, _, _)| *end <= now);
        self.running = running;
        let ended: Vec<(Duration, usize, SlotGrant)> = ended;
        for (index, router) in self.routers.iter_mut().enumerate() {
            let ends = ended.iter().filter(|(_, holder, _)| *holder == index);
            let ends = ends.map(|(_, _, grant)| usage(grant, 9, Some(LeaseEnd::Finished)));
            let report = router.report(vec![entry("a", 3, 0)], ends.collect());
            let limits = LimitReport { version: dispatcher.limits().version(), ..limits.clone() };
            dispatcher.apply_report(now, &DispatchReport { limits, ..report });
        }
        dispatcher.dispatch(now);
        for (index, router) in self.routers.iter_mut().enumerate() {
            for grant in router.receive(now, dispatcher) {
                match grant.upstream.name.as_str() {
                    "e0" => self.limited.push(now),
                    _ => self.others += 1,
                }
                self.running.push((now + RUN_TIME, index, grant));
            }
        }
    }
}

/// Most arrivals within [`WINDOW`].
fn most_in_window(arrivals: &[Duration]) -> usize {
    let within =
        |from: &Duration| arrivals.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// Guards against an upstream in need that gets more than the rate it named because each router, or
/// the next dispatcher, knows only its own part of the requests.
#[test]
fn dispatch_limited_upstream_gets_its_rate() {
    let changes = vec![limit("e0", "1.9")];
    let named = LimitReport { changes, ..LimitReport::default() };
    let known = LimitReport { known: named.changes.clone(), ..LimitReport::default() };
    for (term, first) in [(1, &named), (2, &known)] {
        let mut dispatcher = BusyFleet::dispatcher(term);
        let mut fleet = BusyFleet::new(term);
        fleet.step(&mut dispatcher, START, first);
        for round in 1..600 {
            fleet.step(&mut dispatcher, START + STEP * round, &LimitReport::default());
        }
        let rate = 1.9 * WINDOW.as_secs_f64();
        let most = f64::from(u32::try_from(most_in_window(&fleet.limited)).unwrap());
        assert!(most <= 1.5 * rate + 5.0, "term {term}: {most} requests in {WINDOW:?}");
        assert!(fleet.limited.len() >= 18, "term {term}: the rate is used");
        assert!(fleet.others > 1_000, "term {term}: the other upstream takes the rest");
    }
}

/// Guards against an upstream that stays slow after it is well again, and against grants that were
/// not used but count as requests.
#[test]
fn dispatch_unused_grant_and_lifted_rate_free_slots() {
    let engines = [engine("e0", &["m"], 8)];
    let settings = DispatchSettings::default();
    let mut dispatcher = ready_in_term(1, settings, &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let mut send = |dispatcher: &mut SlotDispatcher, now, usage, changes| {
        let report = router.report(vec![entry("a", 20, 0)], usage);
        let limits = LimitReport { changes, ..LimitReport::default() };
        dispatcher.apply_report(now, &DispatchReport { limits, ..report });
        dispatcher.dispatch(now);
        router.receive(now, dispatcher)
    };
    assert!(send(&mut dispatcher, START, vec![], vec![limit("e0", "1")]).is_empty());
    assert_eq!(dispatcher.next_wakeup(START), Some(START + ms(1_000)));
    assert!(send(&mut dispatcher, START + ms(999), vec![], vec![]).is_empty());
    let grants = send(&mut dispatcher, START + ms(1_000), vec![], vec![]);
    assert_eq!(grants.len(), 1);
    let unused = usage(&grants[0], 0, Some(LeaseEnd::Unused));
    let grants = send(&mut dispatcher, START + ms(1_010), vec![unused], vec![]);
    assert_eq!(grants.len(), 1, "the upstream has got no request");
    let refused = usage(&grants[0], 0, Some(LeaseEnd::Refused));
    assert!(send(&mut dispatcher, START + ms(1_020), vec![refused], vec![]).is_empty());
    let ended = UpstreamLimit { rate: None, ..limit("e0", "1") };
    let grants = send(&mut dispatcher, START + ms(1_030), vec![], vec![ended]);
    assert_eq!(grants.len(), 6, "the refusal lowered the concurrency limit by a quarter");
}

/// Guards against routers that lost the dispatcher and together exceed the rate of an upstream.
#[test]
fn local_dispatch_limited_upstream_gets_its_rate() {
    const ROUTERS: u32 = 200;
    let engines = [engine("e0", &["m"], 12 * ROUTERS)];
    let table = table(&[row("a", 1, 999)]);
    let mut random = Gen::from_size_and_seed(24, 5);
    let mut routers: Vec<LocalDispatcher> = (0..ROUTERS)
        .map(|_| {
            let seed = u64::arbitrary(&mut random);
            let settings = LocalSettings { routers: ROUTERS, seed, ..LocalSettings::default() };
            let mut local = LocalDispatcher::new(settings, &table, &[]);
            local.set_upstreams(&engines);
            local.set_limits(START, &[limit("e0", "10.2")]);
            local.set_backlog(&entry("a", 999, 0));
            local
        })
        .collect();
    let mut arrivals = Vec::new();
    for now in (0..1_500).map(|round| START + STEP * round) {
        for local in &mut routers {
            for grant in local.dispatch(now) {
                arrivals.push(now);
                local.record_usage(&usage(&grant, 9, Some(LeaseEnd::Finished)));
            }
        }
    }
    let rate = 10.2 * WINDOW.as_secs_f64();
    let most = f64::from(u32::try_from(most_in_window(&arrivals)).unwrap());
    assert!(most <= 1.5 * rate + 5.0, "{most} requests in {WINDOW:?}");
    assert!(arrivals.len() > 240, "the rate is used: {}", arrivals.len());
}
