//! Tests of the admission control that refuses requests that would time out in the queue.

use baobabfall_core::queue_gate::QueueGate;
use std::collections::VecDeque;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(120);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Outcomes of the requests to one queue.
#[derive(Debug, Default)]
struct Outcome {
    granted: u64,
    refused_on_arrival: u64,
    timed_out: u64,
    longest_queue: usize,
}

/// Simulates 10 s in which `arrival_rate` requests per second arrive at a queue. It is
/// granted `grant_rate` slots per second for 5 s and `later_grant_rate` after that.
fn simulate(arrival_rate: u64, grant_rate: u64, later_grant_rate: u64) -> Outcome {
    let mut gate = QueueGate::default();
    let mut queue: VecDeque<u64> = VecDeque::new();
    let mut outcome = Outcome::default();
    let (mut arrivals, mut grants) = (0, 0);
    for now in 0..10_000_u64 {
        while queue.front().is_some_and(|arrival| now >= arrival + 120) {
            queue.pop_front();
            gate.record_expiry(at(now));
            outcome.timed_out += 1;
        }
        arrivals += arrival_rate;
        while arrivals >= 1_000 {
            arrivals -= 1_000;
            match gate.admits(at(now), queue.len(), LIMIT) {
                true => queue.push_back(now),
                false => outcome.refused_on_arrival += 1,
            }
        }
        grants += if now < 5_000 { grant_rate } else { later_grant_rate };
        while grants >= 1_000 {
            grants -= 1_000;
            if queue.pop_front().is_some() {
                gate.record_grant(at(now));
                outcome.granted += 1;
            }
        }
        outcome.longest_queue = outcome.longest_queue.max(queue.len());
    }
    outcome
}

/// Guards against refusing requests although every one of them gets a slot in time.
#[test]
fn gate_served_load_refuses_nothing() {
    let outcome = simulate(300, 320, 320);
    assert_eq!((outcome.refused_on_arrival, outcome.timed_out), (0, 0), "{outcome:?}");
}

/// Guards against overload in which most requests wait until they time out: most
/// must be refused on arrival, and as many served as without admission control.
#[test]
fn gate_overload_is_refused_on_arrival() {
    let outcome = simulate(2_000, 100, 100);
    assert!(outcome.granted >= 990, "{outcome:?}");
    assert!(outcome.timed_out * 20 < outcome.refused_on_arrival, "{outcome:?}");
}

/// Guards against a gate that still refuses requests after the grant rate rose, so
/// that the additional slots stay idle.
#[test]
fn gate_more_slots_are_used() {
    let outcome = simulate(500, 50, 480);
    assert!(outcome.granted >= 250 + 2_300, "{outcome:?}");
}

/// Guards against a queue that stays empty, and so gets no grants, because the lack of
/// grants makes the gate refuse every request.
#[test]
fn gate_without_grants_lets_some_wait() {
    let outcome = simulate(200, 0, 200);
    assert!(outcome.granted >= 950, "{outcome:?}");
}

/// Guards against refusing a burst of requests to an idle queue.
#[test]
fn gate_burst_on_idle_queue_is_admitted() {
    let mut gate = QueueGate::default();
    assert!((0..200).all(|waiting| gate.admits(at(1_000), waiting, LIMIT)));
}
