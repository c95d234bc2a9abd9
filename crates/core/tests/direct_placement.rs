//! Tests of the choice of upstreams by a router without the dispatcher.

#![allow(clippy::unwrap_used)]

use baobabfall_core::direct_placement::{DirectCandidate, DirectPlacement};
use baobabfall_core::dispatch_messages::LeaseEnd;
use std::time::Duration;

const SERVICE: &str = "cases";
const NAMES: [&str; 3] = ["cases-1", "cases-2", "cases-3"];

fn candidates(slots: u32) -> Vec<DirectCandidate<'static>> {
    NAMES.map(|name| DirectCandidate { name, incarnation: 1, slots }).to_vec()
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against overloading one upstream: among idle candidates, routers with
/// different draws must start with different ones.
#[test]
fn choose_equal_spreads() {
    let mut counts = [0; 3];
    for draw in 0..300 {
        let mut placement = DirectPlacement::default();
        counts[placement.choose(at(0), SERVICE, &candidates(6), draw).unwrap()] += 1;
    }
    assert_eq!(counts, [100; 3]);
}

/// Guards against sending a second request to an upstream while others are idle.
#[test]
fn choose_busy_takes_idle() {
    let mut placement = DirectPlacement::default();
    let mut chosen: Vec<usize> =
        (0..3).map(|_| placement.choose(at(0), SERVICE, &candidates(6), 0).unwrap()).collect();
    chosen.sort_unstable();
    assert_eq!(chosen, [0, 1, 2]);
}

/// Guards against a router that exceeds the slots of a service: once it uses all of
/// them itself, the choice is left to the dispatcher.
#[test]
fn choose_all_slots_used_returns_none() {
    let mut placement = DirectPlacement::default();
    let granted = (0..10).filter(|_| placement.choose(at(0), SERVICE, &candidates(2), 0).is_some());
    assert_eq!(granted.count(), 6);
}

/// Guards against unfair shares under contention: after an upstream refused work, the
/// router must leave its service, but no other one, to the dispatcher for a second.
#[test]
fn choose_after_refusal_returns_none_for_a_time() {
    let mut placement = DirectPlacement::default();
    let chosen = placement.choose(at(0), SERVICE, &candidates(6), 0).unwrap();
    placement.record_end(at(10), SERVICE, NAMES[chosen], 1, LeaseEnd::Refused);
    assert_eq!(placement.choose(at(500), SERVICE, &candidates(6), 0), None);
    assert!(placement.choose(at(500), "other", &candidates(6), 0).is_some());
    assert!(placement.choose(at(1100), SERVICE, &candidates(6), 0).is_some());
}

/// Guards against an upstream that fails fast: it always looks idle, so a choice by
/// load alone would send it most requests.
#[test]
fn choose_failing_upstream_gets_few_requests() {
    let mut placement = DirectPlacement::default();
    let mut counts = [0; 3];
    for step in 0..300 {
        let chosen = placement.choose(at(step), SERVICE, &candidates(6), step).unwrap();
        counts[chosen] += 1;
        // Every second request of the first upstream fails.
        let failed = chosen == 0 && counts[0] % 2 == 0;
        let end = if failed { LeaseEnd::Failed } else { LeaseEnd::Finished };
        placement.record_end(at(step), SERVICE, NAMES[chosen], 1, end);
    }
    assert!(counts[0] < 40, "{counts:?}");
}

/// Guards against sending requests to an upstream that always fails, and against
/// never trying it again: it is ejected for half a second.
#[test]
fn choose_dead_upstream_is_ejected_for_a_time() {
    let mut placement = DirectPlacement::default();
    let dead = [DirectCandidate { name: NAMES[0], incarnation: 1, slots: 6 }];
    for _ in 0..3 {
        assert_eq!(placement.choose(at(0), SERVICE, &dead, 0), Some(0));
        placement.record_end(at(0), SERVICE, NAMES[0], 1, LeaseEnd::Failed);
    }
    assert_eq!(placement.choose(at(400), SERVICE, &dead, 0), None);
    assert_eq!(placement.choose(at(600), SERVICE, &dead, 0), Some(0));
}

/// Guards against stale records after a restart: requests and ends of an earlier
/// incarnation must not count for the new one.
#[test]
fn choose_restarted_upstream_starts_afresh() {
    let mut placement = DirectPlacement::default();
    let old = [DirectCandidate { name: NAMES[0], incarnation: 1, slots: 1 }];
    let new = [DirectCandidate { name: NAMES[0], incarnation: 2, slots: 1 }];
    assert_eq!(placement.choose(at(0), SERVICE, &old, 0), Some(0));
    assert_eq!(placement.choose(at(0), SERVICE, &new, 0), Some(0));
    placement.record_end(at(0), SERVICE, NAMES[0], 1, LeaseEnd::Finished);
    assert_eq!(placement.choose(at(0), SERVICE, &new, 0), None);
}
