//! Tests of limits, placement, ejection, local mode, cost estimates, retry budgets and the
//! reference dispatcher.

mod dispatch_fleet;

use baobabfall_core::cost_estimate::{CostEstimate, DEFAULT_ESTIMATE};
use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::{DispatchSettings, PlacementSettings};
use baobabfall_core::fair_order::IndexedHeap;
use baobabfall_core::local_dispatcher::{LOCAL_TERM, LocalDispatcher, LocalSettings};
use baobabfall_core::naive_dispatcher::{NaiveDispatcher, NaiveOrder};
use baobabfall_core::placement::UpstreamCapacity;
use baobabfall_core::rate_limit::TokenBucket;
use baobabfall_core::retry_budget::{RetryBudget, RetrySettings, backoff_delay};
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::workspace_table::WorkspaceRow;
use dispatch_fleet::*;
use quickcheck::Arbitrary;
use std::time::Duration;

const START: Duration = Duration::ZERO;

fn send(dispatcher: &mut SlotDispatcher, now: Duration, report: &DispatchReport) {
    assert!(dispatcher.apply_report(now, report));
    dispatcher.dispatch(now);
}

/// A workspace at its request rate limit must not block other workspaces, exceed its rate, or
/// wait longer than `next_wakeup` says. An unused slot is refunded, but only if its lease was
/// charged to the rate in this term.
#[test]
fn dispatch_request_rate_blocks_only_its_workspace() {
    let limited = WorkspaceRow { requests_per_minute: 60, ..row("a", 1, 99) };
    let engines = [engine("e", &["m"], 40)];
    let mut dispatcher = ready(DispatchSettings::default(), &[limited, row("b", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let report = router.report(vec![entry("a", 50, 1_000), entry("b", 5, 1_000)], vec![]);
    send(&mut dispatcher, START, &report);
    let grants = router.receive(START, &mut dispatcher);
    let of = |name: &str| grants.iter().filter(|grant| grant.workspace == name).count();
    assert_eq!((of("a"), of("b")), (10, 5), "the burst is ten seconds of the rate");
    assert_eq!(dispatcher.next_wakeup(START), Some(ms(1_000)));
    assert_eq!(dispatcher.dispatch(ms(999)), 0);
    assert_eq!(dispatcher.dispatch(ms(1_000)), 1);
    let unused = usage(&grants[0], 0, Some(LeaseEnd::Unused));
    let backlog = vec![entry("a", 40, 1_000), entry("b", 0, 0)];
    assert!(dispatcher.apply_report(ms(1_000), &router.report(backlog, vec![unused])));
    assert_eq!(dispatcher.dispatch(ms(1_000)), 1, "an unused slot does not count as a request");
    let mut local_lease = usage(&grants[1], 0, Some(LeaseEnd::Unused));
    local_lease.lease = LeaseId { term: LOCAL_TERM, number: 1 };
    let backlog = vec![entry("a", 40, 1_000)];
    assert!(dispatcher.apply_report(ms(1_000), &router.report(backlog, vec![local_lease])));
    assert_eq!(dispatcher.dispatch(ms(1_000)), 0, "local mode was not charged to the rate");
}

/// Reported cost is charged to the token rate even if the bucket becomes negative. Requests that
/// would wait too long for it must be refused with the time of that wait, and granted after it.
#[test]
fn dispatch_token_rate_refuses_long_waits() {
    let limited = WorkspaceRow { tokens_per_minute: 60, ..row("a", 1, 99) };
    let mut dispatcher = ready(DispatchSettings::default(), &[limited], &[engine("e", &["m"], 1)]);
    let mut router = ManualRouter::new("r");
    send(&mut dispatcher, START, &router.report(vec![entry("a", 5, 1_000)], vec![]));
    let grant = router.receive(START, &mut dispatcher).remove(0);
    let end = usage(&grant, 110 * UNITS_PER_TOKEN, Some(LeaseEnd::Finished));
    send(&mut dispatcher, START, &router.report(vec![entry("a", 4, 1_000)], vec![end]));
    assert_eq!(dispatcher.routers_to_wake(), ["r"]);
    let answer = dispatcher.take_answer(START, "r");
    assert!(answer.grants.is_empty());
    let refusal = &answer.refusals[0];
    assert_eq!((refusal.keep, refusal.retry_after_ms), (0, 100_001));
    send(&mut dispatcher, START, &router.report(vec![entry("a", 0, 0)], vec![]));
    assert!(dispatcher.take_answer(START, "r").refusals.is_empty());
    let report = router.report(vec![entry("a", 1, 1_000)], vec![]);
    assert!(dispatcher.apply_report(ms(100_002), &report));
    assert_eq!(dispatcher.dispatch(ms(100_002)), 1);
}

/// The queue length limit applies to the whole fleet. Only the excess may be refused, at the
/// router whose report exceeded the limit.
#[test]
fn take_answer_refuses_queue_excess() {
    let limited = WorkspaceRow { queue_length: 10, ..row("a", 1, 99) };
    let mut dispatcher = ready(DispatchSettings::default(), &[limited], &[]);
    let (mut first, mut second) = (ManualRouter::new("r"), ManualRouter::new("s"));
    send(&mut dispatcher, START, &first.report(vec![entry("a", 8, 0)], vec![]));
    send(&mut dispatcher, START, &second.report(vec![entry("a", 5, 0)], vec![]));
    assert!(dispatcher.take_answer(START, "r").refusals.is_empty());
    let refusals = dispatcher.take_answer(START, "s").refusals;
    assert_eq!((refusals[0].keep, refusals[0].retry_after_ms), (2, 1_000));
}

/// Two routers together must not get more grants than the concurrency limit of the workspace.
#[test]
fn dispatch_concurrency_is_fleet_wide() {
    let engines = [engine("e", &["m"], 40)];
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 3)], &engines);
    for name in ["r", "s"] {
        let report = ManualRouter::new(name).report(vec![entry("a", 9, 0)], vec![]);
        send(&mut dispatcher, START, &report);
    }
    assert_eq!(dispatcher.decisions(), 3);
}

/// Rounding in many small refills must not add up. The returned wait must be just long enough.
#[test]
fn token_bucket_refills_exactly() {
    let mut bucket = TokenBucket::new(START, 7, ms(0));
    bucket.charge(START, 1);
    for nanos in (0..60_000_000_000_u64 / 7).step_by(999_983) {
        assert!(bucket.wait(Duration::from_nanos(nanos), 1).is_some());
    }
    let mut fresh = TokenBucket::new(START, 7, ms(0));
    fresh.charge(START, 1);
    assert_eq!(fresh.wait(START, 1), Some(Duration::from_nanos(60_000_000_000 / 7 + 1)));
    assert!(bucket.wait(Duration::from_nanos(60_000_000_000 / 7 + 1), 1).is_none());
}

/// The choice of an upstream must respect, in this order, planned stops, upstreams to avoid, prefix
/// affinity, load and zone.
#[test]
fn dispatch_chooses_upstream() {
    let mut engines: Vec<_> = ["e0", "e1", "e2"].map(|name| engine(name, &["m"], 4)).into();
    engines[2].zone = "z".to_owned();
    let rows = [row("a", 1, 99)];
    let chosen = |stopping: &[&str], zone: &str, entry: BacklogEntry| {
        let mut dispatcher = ready(DispatchSettings::default(), &rows, &engines);
        dispatcher.set_stopping_upstreams(START, stopping.iter().copied());
        let mut router = ManualRouter::new("r");
        let report = DispatchReport { zone: zone.to_owned(), ..router.report(vec![entry], vec![]) };
        send(&mut dispatcher, START, &report);
        let grants = router.receive(START, &mut dispatcher).into_iter();
        grants.map(|grant| grant.upstream.name).collect::<Vec<_>>()
    };
    let avoiding = |name: &str| BacklogEntry { avoid: Some(name.to_owned()), ..entry("a", 1, 0) };
    assert_eq!(chosen(&[], "z", entry("a", 1, 0)), ["e2"], "same zone first");
    assert_eq!(chosen(&[], "z", entry("a", 2, 0)), ["e2", "e0"], "least loaded first");
    assert_eq!(chosen(&[], "a", avoiding("e0")), ["e1"]);
    assert_eq!(
        chosen(&["e1", "e2"], "a", avoiding("e0")),
        ["e0"],
        "no other upstream can serve the request"
    );
    assert_eq!(chosen(&["e0", "e1", "e2"], "a", entry("a", 1, 0)), [""; 0]);
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &engines);
    let mut router = ManualRouter::new("r");
    for step in 0..3 {
        let prefixed = BacklogEntry { prefix: Some(5), ..entry("a", 1, 0) };
        send(&mut dispatcher, ms(step), &router.report(vec![prefixed], vec![]));
        assert_eq!(router.receive(ms(step), &mut dispatcher)[0].upstream.name, "e0");
    }
}

/// If most upstreams of a pool fail, at most half of the pool may be ejected, even after the pool
/// has shrunk; otherwise the rest would be overloaded. A readmitted upstream starts slowly.
#[test]
fn dispatch_ejects_at_most_half() {
    let engines: Vec<_> = (0..5).map(|n| engine(&format!("e{n}"), &["m"], 4)).collect();
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let mut ends = vec![];
    for _ in 0..30 {
        send(&mut dispatcher, START, &router.report(vec![entry("a", 20, 0)], ends));
        let grants = router.receive(START, &mut dispatcher);
        ends = grants.iter().map(|grant| usage(grant, 0, Some(LeaseEnd::Failed))).collect();
        let ejected = dispatcher.upstreams(START).filter(|upstream| upstream.ejected).count();
        assert!(ejected <= 2);
    }
    send(&mut dispatcher, START, &router.report(vec![entry("a", 0, 0)], ends));
    let ejected = |dispatcher: &SlotDispatcher| -> Vec<String> {
        let views = dispatcher.upstreams(START).filter(|upstream| upstream.ejected);
        views.map(|upstream| upstream.name.to_owned()).collect()
    };
    let names = ejected(&dispatcher);
    assert_eq!(names.len(), 2);
    let kept: Vec<_> = engines.iter().filter(|e| names.contains(&e.name)).cloned().collect();
    let mut shrunk = dispatcher.clone();
    shrunk.set_upstreams(START, &kept);
    assert_eq!(ejected(&shrunk).len(), 1);
    dispatcher.dispatch(ms(5_000));
    assert_eq!(ejected(&dispatcher).len(), 0);
    let slots = |dispatcher: &mut SlotDispatcher, now: Duration| {
        dispatcher.dispatch(now);
        let slots = dispatcher.upstreams(now).find(|u| u.name == names[0]).map(|u| u.slots);
        slots.unwrap()
    };
    assert_eq!(slots(&mut dispatcher, ms(5_001)), 1);
    assert_eq!(slots(&mut dispatcher, ms(7_001)), 2);
    assert_eq!(slots(&mut dispatcher, ms(9_001)), 4);
}

/// The learnt capacity must stay between 1 and the announced concurrency, fall on each kind of
/// overload (refusals, load from others, slow first tokens) and rise again afterwards.
#[test]
fn upstream_capacity_learns_within_bounds() {
    let settings = PlacementSettings::default();
    let at = Duration::from_secs;
    let mut capacity = UpstreamCapacity::new(8, None);
    for (second, lowest) in (1..).zip([6, 4, 3, 2, 1, 1, 1, 1]) {
        capacity.record_end(at(second), &settings, LeaseEnd::Refused);
        capacity.record_end(at(second), &settings, LeaseEnd::Refused);
        assert_eq!(capacity.slots(at(second), &settings), lowest);
    }
    for (second, learnt) in (20..).zip([2, 3, 4, 5, 6, 7, 8, 8]) {
        capacity.record_end(at(second), &settings, LeaseEnd::Finished);
        assert_eq!(capacity.concurrency_limit(), learnt);
    }
    capacity.record_running(8);
    capacity.record_load(at(50), &settings, 8, 2);
    assert_eq!(
        capacity.concurrency_limit(),
        8,
        "a late report of own requests does not indicate overload"
    );
    (51..53).for_each(|second| capacity.record_load(at(second), &settings, 3, 2));
    capacity.record_load(at(53), &settings, 9, 2);
    assert_eq!(capacity.concurrency_limit(), 6);
    (0..40).for_each(|_| capacity.record_first_token(at(60), &settings, 200));
    assert_eq!(capacity.concurrency_limit(), 6);
    (0..10).for_each(|_| capacity.record_first_token(at(61), &settings, 4_000));
    assert_eq!(capacity.concurrency_limit(), 4);
    capacity.set_announced(2);
    assert_eq!(capacity.concurrency_limit(), 2);
}

/// A new upstream must start with one slot and reach its capacity gradually. Otherwise it would get
/// a full load at once.
#[test]
fn set_upstreams_joiner_starts_slowly() {
    let engines = [engine("e0", &["m"], 8), engine("e1", &["m"], 8)];
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines[..1]);
    dispatcher.set_upstreams(ms(60_000), &engines);
    let slots = |now| dispatcher.upstreams(now).map(|u| u.slots).collect::<Vec<_>>();
    assert_eq!(slots(ms(60_000)), [8, 1]);
    assert_eq!(slots(ms(62_000)), [8, 4]);
    assert_eq!(slots(ms(64_000)), [8, 8]);
}

/// Leases on the previous incarnation of a restarted engine must not occupy slots of the new one,
/// and their ends must not free slots that the new one has in use.
#[test]
fn set_upstreams_restarted_engine_is_empty() {
    let mut engines = [engine("e", &["m"], 2)];
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    send(&mut dispatcher, START, &router.report(vec![entry("a", 4, 0)], vec![]));
    let old = router.receive(START, &mut dispatcher);
    engines[0].incarnation = 2;
    dispatcher.set_upstreams(START, &engines);
    assert_eq!(dispatcher.dispatch(START), 2);
    let ends = old.iter().map(|grant| usage(grant, 5, Some(LeaseEnd::Failed))).collect();
    send(&mut dispatcher, START, &router.report(vec![], ends));
    assert_eq!(dispatcher.upstreams(START).next().unwrap().running, 2);
}

/// Local mode must reuse the slots of the router's leases in fair order, without using more slots
/// than these. Reports list its own leases until `forget_ended` drops the ended ones.
#[test]
fn local_dispatcher_reuses_held_slots() {
    let rows = table(&[row("a", 1, 99), row("b", 3, 99)]);
    let engines = [engine("e", &["m"], 8)];
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    send(&mut dispatcher, START, &router.report(vec![entry("a", 2, 0)], vec![]));
    let mut running = router.receive(START, &mut dispatcher);
    let leases: Vec<_> = running.iter().map(|grant| usage(grant, 0, None)).collect();
    let settings = LocalSettings { routers: 4, first_number: 9, ..LocalSettings::default() };
    let mut local = LocalDispatcher::new(settings, &rows, &leases);
    local.set_upstreams(&engines);
    let mut served = [0, 0];
    for _ in 0..400 {
        local.set_backlog(&entry("a", 9, 1_000));
        local.set_backlog(&entry("b", 9, 1_000));
        running.extend(local.dispatch(START));
        assert_eq!(running.len(), 2);
        let done = running.remove(0);
        served[usize::from(done.workspace == "b")] += 1;
        local.record_usage(&usage(&done, 1_000, Some(LeaseEnd::Finished)));
    }
    assert!((95..=105).contains(&served[0]), "{served:?}");
    assert_eq!(local.next_number(), 9 + 399);
    assert_eq!(local.usage().count(), 399);
    local.forget_ended();
    assert!(local.usage().all(|usage| usage.lease.term == LOCAL_TERM && usage.end.is_none()));
    local.set_upstreams(&[]);
    assert!(local.dispatch(START).is_empty(), "no upstream is available for new requests");
}

/// The shares that isolated routers use of an upstream must not exceed its concurrency in total,
/// except that each router may use at least one slot per pool.
#[test]
fn local_dispatcher_isolated_share() {
    let engines = [engine("e", &["m"], 8), engine("f", &["m"], 2)];
    for (routers, share) in [(3, 2), (8, 1), (30, 1)] {
        let settings = LocalSettings { routers, seed: 1, ..LocalSettings::default() };
        let mut local = LocalDispatcher::new(settings, &table(&[row("a", 1, 99)]), []);
        local.set_upstreams(&engines);
        local.set_backlog(&entry("a", 50, 0));
        assert!(local.dispatch(ms(9_999)).is_empty());
        assert_eq!(local.dispatch(ms(10_000)).len(), share);
    }
}

/// Learnt costs must follow the ratio of cost to hint, stay within the limit of pairs, and be
/// forgotten with their workspace, whose index is reused.
#[test]
fn cost_estimate_learns_ratio_in_bounded_memory() {
    let mut estimate = CostEstimate::new(50);
    for pair in 0..200 {
        (0..9).for_each(|_| estimate.learn((pair, 0), 1_000, 3_000));
        assert!(estimate.len() <= 50);
    }
    assert!(estimate.estimate((199, 0), 2_000).abs_diff(6_000) < 10);
    assert_eq!(estimate.estimate((0, 0), 2_000), 2_000, "the oldest pair is dropped");
    estimate.learn((199, 0), 0, 1 << 40);
    assert!(estimate.estimate((199, 0), 2_000) < 6_010, "a cost without a hint is ignored");
    estimate.forget_workspace(199);
    assert_eq!(estimate.estimate((199, 0), 0), DEFAULT_ESTIMATE);
}

/// At no point in a random history may there be more than one retry per ten requests, and this
/// budget must be usable in full. The wait must be between half and all of the backoff.
#[test]
fn retry_budget_stays_below_a_tenth() {
    let settings = RetrySettings::default();
    let (mut budget, mut dice) = (RetryBudget::new(settings), SeededRng::new(3));
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..10_000 {
        match dice.below(3) {
            0 => retries += u32::from(budget.take_retry()),
            _ => {
                budget.record_request();
                requests += 1;
            }
        }
        assert!(retries * 10 <= requests);
        let wait = backoff_delay(&settings, retries % 9, u32::arbitrary(&mut dice.0));
        let bound = ms(25 << (retries % 9)).min(ms(1_000));
        assert!(wait >= bound / 2 && wait <= bound);
    }
    assert!(retries * 10 + 20 > requests, "the budget is used up");
}

/// After every random change the heap must agree with a linear scan, so that no entry is lost or
/// misplaced.
#[test]
fn indexed_heap_agrees_with_scan() {
    let mut dice = SeededRng::new(11);
    let (mut heap, mut naive) = (IndexedHeap::new(), vec![None; 40]);
    for _ in 0..5_000 {
        let index = dice.below(40);
        let key = (dice.below(3) > 0).then(|| dice.below(50));
        match key {
            Some(key) => heap.set(index, key),
            None => assert_eq!(heap.remove(index), naive[index].is_some()),
        }
        naive[index] = key;
        let lowest = |skip: usize| {
            let entries = naive.iter().enumerate().filter(|(index, _)| *index != skip);
            entries.filter_map(|(index, key): (usize, &Option<usize>)| Some(((*key)?, index))).min()
        };
        assert_eq!(heap.peek(), lowest(usize::MAX));
        assert_eq!(heap.peek_other(index), lowest(index));
        assert_eq!(heap.key(index), key);
    }
}

/// Returns the state of a dispatcher that made four grants and then applied the reports that
/// `step` builds for them.
fn state_after(step: impl Fn(&mut ManualRouter, &[SlotGrant]) -> Vec<DispatchReport>) -> String {
    let rows = [row("a", 1, 8), row("b", 2, 8)];
    let mut dispatcher =
        ready(DispatchSettings::default(), &rows, &[engine("engine-1", &["m"], 4)]);
    let mut router = ManualRouter::new("entry-1");
    let report = router.report(vec![entry("a", 3, 100), entry("b", 3, 100)], vec![]);
    dispatcher.apply_report(ms(1), &report);
    dispatcher.dispatch(ms(1));
    let grants = router.receive(ms(1), &mut dispatcher);
    assert_eq!(grants.len(), 4);
    for report in step(&mut router, &grants) {
        assert!(dispatcher.apply_report(ms(2), &report));
    }
    format!("{dispatcher:?}")
}

/// Costs reported by lease number must have the same effect as costs reported in the usage. A late
/// one for an ended or unknown lease must have no effect.
#[test]
fn apply_report_charges_count_like_usage() {
    let report_by_number = |router: &mut ManualRouter, grants: &[SlotGrant]| {
        let charges = vec![(grants[0].lease.number, 90_000), (grants[3].lease.number, 5_000)];
        DispatchReport { charges, ..router.report(vec![], vec![]) }
    };
    let by_number = state_after(|router, grants| vec![report_by_number(router, grants)]);
    let by_usage = state_after(|router, grants| {
        let usage = vec![usage(&grants[0], 90_000, None), usage(&grants[3], 5_000, None)];
        vec![router.report(vec![], usage)]
    });
    let without = state_after(|router, _| vec![router.report(vec![], vec![])]);
    assert_eq!(by_number, by_usage);
    assert_ne!(by_number, without);
    let end = |router: &mut ManualRouter, grants: &[SlotGrant]| {
        let ends = [&grants[0], &grants[3]].map(|grant| usage(grant, 1, Some(LeaseEnd::Finished)));
        router.report(vec![], ends.to_vec())
    };
    let with_late_charges = state_after(|router, grants| {
        let ended = end(router, grants);
        let charges = vec![(grants[0].lease.number, 90_000), (77, 1)];
        let usage = ended.usage.clone();
        vec![ended, DispatchReport { charges, ..router.report(vec![], usage) }]
    });
    let without_charges = state_after(|router, grants| {
        let ended = end(router, grants);
        let usage = ended.usage.clone();
        vec![ended, router.report(vec![], usage)]
    });
    assert_eq!(with_late_charges, without_charges);
}

/// The baseline of the benchmark must serve first come, first served: always the earliest request
/// for which a slot is free and which the limit of its workspace allows.
#[test]
fn naive_dispatcher_first_come_order() {
    for seed in 0..20 {
        let mut dice = SeededRng::new(seed);
        let mut naive = NaiveDispatcher::new(NaiveOrder::FirstCome);
        let names = ["a", "b", "c"];
        names.iter().for_each(|name| naive.set_workspace(name, 1, 2));
        naive.set_upstream("e", &["m"], 3);
        naive.set_upstream("f", &["n"], 1);
        let mut waiting: Vec<(u64, usize, &str)> = Vec::new();
        let mut running: Vec<(u64, usize, &str)> = Vec::new();
        for number in 0..400 {
            if dice.below(2) == 0 && !running.is_empty() {
                let (request, ..) = running.remove(dice.below(running.len()));
                naive.finish(request, dice.cost());
            } else {
                let (id, model) = (dice.below(3), ["m", "n"][dice.below(2)]);
                naive.arrive(number, names[id], model, 1 + dice.cost());
                waiting.push((number, id, model));
            }
            let mut expected = Vec::new();
            waiting.retain(|&(request, id, model)| {
                let of_workspace = running.iter().filter(|request| request.1 == id).count();
                let of_model = running.iter().filter(|request| request.2 == model).count();
                let fits = of_workspace < 2 && of_model < if model == "m" { 3 } else { 1 };
                if fits {
                    expected.push(request);
                    running.push((request, id, model));
                }
                !fits
            });
            let granted: Vec<u64> = naive.dispatch().iter().map(|grant| grant.request).collect();
            assert_eq!(granted, expected, "seed {seed}, step {number}");
        }
    }
}
