//! Tests of the search for parts of prompts that crash upstreams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::crash_tracker::{CrashTracker, QUARANTINE_TIME};
use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::part_book::{AnswerProgress, PartBook, RequestSuspects};
use dispatch_fleet::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const DEADLY: PartId = 666;
const NONE: [PartId; 0] = [];

fn casualty(upstream: &str, parts: &[PartId]) -> CrashCasualty {
    let parts = parts.to_vec();
    let upstream = upstream.to_owned();
    CrashCasualty { upstream, incarnation: 1, parts, request: None, begun: false }
}

/// A request that has no parts but `parts`, with the hash of its content.
fn request(request: PartId, parts: &[PartId]) -> RequestSuspects<'_> {
    RequestSuspects { request, parts }
}

fn crash(tracker: &mut CrashTracker, now: Duration, upstream: &str, requests: &[&[PartId]]) {
    for parts in requests {
        tracker.record_casualty(now, &casualty(upstream, parts));
    }
}

fn found_parts(tracker: &mut CrashTracker, now: Duration) -> Vec<PartId> {
    tracker.evaluate(now).iter().map(|found| found.part).collect()
}

/// Guards against one request after another that crashes an upstream: the part that they share is
/// found, although the requests beside them were dropped as well.
#[test]
fn evaluate_finds_part_shared_by_crashes() {
    let mut tracker = CrashTracker::default();
    for (index, upstream) in ["e0", "e1", "e2"].into_iter().enumerate() {
        let own = 10 + u64::try_from(index).unwrap();
        crash(&mut tracker, ms(100), upstream, &[&[1, DEADLY], &[1, own]]);
    }
    tracker.record_sound(ms(150), 1);
    assert_eq!(found_parts(&mut tracker, ms(300)), NONE, "routers have not had time to answer");
    assert_eq!(found_parts(&mut tracker, ms(700)), [DEADLY]);
    assert_eq!(tracker.list(ms(700)).quarantined[0].part, DEADLY);
    assert_eq!(found_parts(&mut tracker, ms(800)), NONE, "the crashes are explained");
}

/// Guards against the refusal of every request of a workspace because its common first part was
/// in each crash: a part that was answered anywhere is harmless.
#[test]
fn evaluate_spares_part_that_was_answered() {
    let mut tracker = CrashTracker::default();
    for upstream in ["e0", "e1", "e2", "e3", "e4", "e5", "e6"] {
        crash(&mut tracker, ms(100), upstream, &[&[1, DEADLY], &[1, 2]]);
    }
    tracker.record_sound(ms(200), 1);
    tracker.record_sound(ms(200), 2);
    assert_eq!(found_parts(&mut tracker, ms(700)), [DEADLY]);
    assert!(tracker.list(ms(700)).watched.is_empty());
}

/// Guards against a quarantine of harmless parts that were dropped again and again but were in
/// fewer crashes than the part that causes them.
#[test]
fn evaluate_attributes_crash_to_leading_part() {
    let mut tracker = CrashTracker::default();
    for upstream in ["e0", "e1", "e2"] {
        crash(&mut tracker, ms(100), upstream, &[&[DEADLY], &[5]]);
    }
    assert_eq!(found_parts(&mut tracker, ms(700)), NONE, "two parts explain equally many crashes");
    crash(&mut tracker, ms(800), "e3", &[&[DEADLY]]);
    assert_eq!(found_parts(&mut tracker, ms(1_400)), [DEADLY]);
    crash(&mut tracker, ms(1_500), "e4", &[&[DEADLY], &[5]]);
    assert_eq!(found_parts(&mut tracker, ms(9_000)), NONE, "the late crash is explained too");
}

/// Guards against crashes of unrelated causes that lead to a quarantine, such as the loss of many
/// upstreams at once.
#[test]
fn evaluate_ignores_unrelated_crashes() {
    let mut tracker = CrashTracker::default();
    for index in 0..30 {
        let parts = [1_000 + index / 2, 2_000 + index];
        crash(&mut tracker, ms(100), &format!("e{index}"), &[&parts]);
    }
    assert_eq!(found_parts(&mut tracker, ms(5_000)), NONE);
}

/// Guards against a wrong quarantine that lasts: it ends when a router reports an answer, and
/// after its time.
#[test]
fn quarantine_ends_with_answer_or_time() {
    for answered in [true, false] {
        let mut tracker = CrashTracker::default();
        for upstream in ["e0", "e1", "e2"] {
            crash(&mut tracker, ms(100), upstream, &[&[DEADLY]]);
        }
        assert_eq!(found_parts(&mut tracker, ms(700)), [DEADLY]);
        let version = tracker.version();
        if answered {
            assert!(tracker.record_sound(ms(800), DEADLY));
        } else {
            tracker.evaluate(ms(701) + QUARANTINE_TIME);
        }
        assert!(tracker.list(ms(900)).quarantined.is_empty());
        assert!(tracker.version() > version);
    }
}

/// Plays floods of requests on a few upstreams, of which one in twenty has a deadly part. The part
/// is found within 3 s of the fifth crash, and nothing else is.
#[test]
fn evaluate_finds_deadly_part_in_random_load() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut tracker = CrashTracker::default();
        let mut down_until = [Duration::ZERO; 9];
        let mut next_request = 1 << 32;
        let mut incarnation = 0;
        let mut running: Vec<Vec<[PartId; 3]>> = vec![Vec::new(); 9];
        let (mut crashes, mut fifth_crash) = (0, None);
        let mut found = Vec::new();
        for step in 0..1_000_u64 {
            let now = ms(step * 10);
            let upstream = rng.random_range(0..9_usize);
            let deadly = rng.random_range(0..20) == 0;
            // A common part, one of 12 of the workspace, and one of 400 subjects.
            let middle = if deadly { DEADLY } else { 10_000 + rng.random_range(0..400) };
            let request = [1, 100 + rng.random_range(0..12), middle];
            if now < down_until[upstream] || found.iter().any(|part| request.contains(part)) {
                continue;
            }
            running[upstream].push(request);
            if deadly {
                incarnation += 1;
                crashes += 1;
                if crashes == 5 {
                    fifth_crash = Some(now);
                }
                down_until[upstream] = now + ms(2_000);
                for parts in running[upstream].drain(..) {
                    let crashed = CrashCasualty {
                        upstream: format!("e{upstream}"),
                        incarnation,
                        parts: parts.to_vec(),
                        request: Some(next_request),
                        begun: false,
                    };
                    next_request += 1;
                    tracker.record_casualty(now, &crashed);
                }
            } else if running[upstream].len() > 4 {
                for part in running[upstream].remove(0) {
                    tracker.record_sound(now, part);
                }
            }
            found.extend(found_parts(&mut tracker, now));
            let due = fifth_crash.is_some_and(|fifth| now > fifth + ms(3_000));
            assert!(!due || found.contains(&DEADLY), "seed {seed}: not found {crashes}");
        }
        assert_eq!(found, [DEADLY], "seed {seed}");
    }
}

/// Guards against a quarantine that only the router knows which saw the crashes, and one that is
/// forgotten with the dispatcher.
#[test]
fn quarantine_reaches_routers_and_next_dispatcher() {
    let engines = [engine("e0", &["m"], 4)];
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut routers = ["r1", "r2"].map(ManualRouter::new);
    for router in &mut routers {
        dispatcher.apply_report(ms(10_000), &router.report(vec![], vec![]));
        router.receive(ms(10_000), &mut dispatcher);
    }
    let mut book = PartBook::default();
    for upstream in ["e0", "e1", "e2"] {
        book.record_casualty(ms(9_900), casualty(upstream, &[DEADLY]), 1);
    }
    let parts = book.report(ms(10_000), false, 0);
    let report = DispatchReport { parts, ..routers[0].report(vec![], vec![]) };
    assert!(dispatcher.apply_report(ms(10_000), &report));
    let found = dispatcher.quarantine_parts(ms(10_600));
    assert_eq!(found[0].part, DEADLY);
    assert_eq!(dispatcher.routers_to_wake(), ["r1", "r2"]);
    let list = dispatcher.take_answer(ms(10_600), "r2").parts.unwrap();
    let mut other = PartBook::default();
    assert_eq!(other.apply_list(ms(10_600), &list, 1), [DEADLY]);
    assert!(other.quarantine_left(ms(10_600), request(0, &[1, DEADLY])).is_some());
    // The next dispatcher learns of it from the full report of any router.
    let mut next = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    other.forget_version();
    let mut router = ManualRouter::new("r2");
    let full = other.report(ms(10_700), true, 0);
    let report = DispatchReport { parts: full, ..router.report(vec![], vec![]) };
    assert!(next.apply_report(ms(10_700), &report));
    let list = next.take_answer(ms(10_700), "r2").parts.unwrap();
    assert_eq!(list.quarantined.len(), 1);
}

/// Guards against harmless parts that stay suspect because only another router saw them answered:
/// a router that is asked reports what it saw before.
#[test]
fn part_book_reports_earlier_answers_of_listed_parts() {
    let mut book = PartBook::default();
    book.record_answer(ms(100), request(0, &[1, 2]), AnswerProgress::Sound, 1);
    assert!(!book.is_changed(0), "answers are reported only for listed parts");
    let list = PartList { version: 1, watched: vec![2, 3], quarantined: vec![] };
    book.apply_list(ms(200), &list, 2);
    assert_eq!(book.report(ms(200), false, 1).sound, [2]);
    book.acknowledge(2);
    assert!(!book.is_changed(0));
    assert!(book.record_answer(ms(300), request(0, &[3]), AnswerProgress::Sound, 3));
    assert_eq!(book.report(ms(300), false, 2).sound, [3]);
}

fn repeated(upstream: &str, request: PartId, parts: &[PartId]) -> CrashCasualty {
    CrashCasualty { request: Some(request), ..casualty(upstream, parts) }
}

/// Guards against blame for the parts of a prompt when one request is to blame, and against a deadly
/// part that is never found because each request with it is blamed by itself.
#[test]
fn evaluate_blames_request_before_its_parts() {
    let mut tracker = CrashTracker::default();
    for upstream in ["e0", "e1", "e2"] {
        tracker.record_casualty(ms(100), &repeated(upstream, 50, &[1, DEADLY]));
    }
    assert_eq!(found_parts(&mut tracker, ms(700)), [50]);
    assert_eq!(found_parts(&mut tracker, ms(800)), NONE, "no crash speaks against the parts alone");
    tracker.record_casualty(ms(900), &repeated("e3", 51, &[2, DEADLY]));
    assert_eq!(found_parts(&mut tracker, ms(900)), [DEADLY]);
    tracker.record_casualty(ms(1_000), &repeated("e4", 52, &[2, DEADLY]));
    assert_eq!(found_parts(&mut tracker, ms(9_000)), NONE);
}

/// Guards against a plain request that keeps the few upstreams of its service down: it is found soon
/// after its third crash, and no request that is dropped beside it and sent again is refused.
#[test]
fn evaluate_finds_repeated_request_among_others() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut tracker = CrashTracker::default();
        let mut down_until = [Duration::ZERO; 3];
        let mut running: [Vec<PartId>; 3] = Default::default();
        let mut waiting: Vec<PartId> = Vec::new();
        let (mut found, mut crashes, mut third_crash) = (Vec::new(), 0_u64, None);
        for step in 0..1_500 {
            let now = ms(10_000 + step * 20);
            let deadly = step > 100 && rng.random_range(0..20) == 0;
            let other = match waiting.pop() {
                Some(dropped) if rng.random_range(0..2) == 0 => dropped,
                _ => 10_000 + step,
            };
            let request = if deadly { DEADLY } else { other };
            let upstream = rng.random_range(0..3);
            found.extend(found_parts(&mut tracker, now));
            let due = third_crash.is_some_and(|third| now > third + ms(3_000));
            assert!(!due || found.contains(&DEADLY), "seed {seed}: not found, {crashes} crashes");
            if now < down_until[upstream] || found.contains(&request) {
                continue;
            }
            running[upstream].push(request);
            if deadly {
                crashes += 1;
                third_crash = (crashes == 3).then_some(now).or(third_crash);
                down_until[upstream] = now + ms(1_200);
                for dropped in running[upstream].drain(..) {
                    let name = format!("e{upstream}");
                    let casualty = repeated(&name, dropped, &[]);
                    tracker
                        .record_casualty(now, &CrashCasualty { incarnation: crashes, ..casualty });
                    waiting.extend((dropped != DEADLY).then_some(dropped));
                }
            } else if running[upstream].len() > 4 {
                let answered = running[upstream].remove(0);
                tracker.record_sound(now, answered);
            }
        }
        assert_eq!(found, [DEADLY], "seed {seed}");
    }
}

/// Guards against a request that crashes upstreams for longer because the dispatcher that knew of the
/// first crashes was lost.
#[test]
fn report_next_dispatcher_learns_earlier_crashes() {
    let mut book = PartBook::default();
    book.record_casualty(ms(1_000), repeated("e0", 50, &[]), 1);
    book.record_casualty(ms(2_000), repeated("e1", 50, &[]), 2);
    book.acknowledge(2);
    assert_eq!(book.report(ms(2_100), false, 2).casualties, []);
    book.record_casualty(ms(3_000), repeated("e2", 50, &[]), 3);
    let engines = [engine("e0", &["m"], 4)];
    let mut next = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r1");
    let parts = book.report(ms(3_100), true, 2);
    let report = DispatchReport { parts, ..router.report(vec![], vec![]) };
    assert!(next.apply_report(ms(3_100), &report));
    let found = next.quarantine_parts(ms(3_700));
    assert_eq!(found.iter().map(|found| found.part).collect::<Vec<_>>(), [50]);
    book.acknowledge(3);
    assert!(!book.is_changed(0));
    assert_eq!(book.report(ms(62_500), true, 3).casualties, [repeated("e2", 50, &[])], "too old");
}
