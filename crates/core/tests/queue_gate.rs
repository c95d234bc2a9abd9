//! Tests of the refusal of requests that would wait in vain.

use baobabfall_core::queue_gate::QueueGate;
use std::collections::VecDeque;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(120);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What callers of one queue get.
#[derive(Debug, Default)]
struct Outcome {
    granted: u64,
    /// Refused on arrival.
    at_once: u64,
    /// Refused after the full wait.
    in_vain: u64,
    longest_queue: usize,
}

/// Plays 10 s of `asked` requests a second on a queue that is granted `served`
/// slots a second, and from second 5 on `served_later`.
fn play(asked: u64, served: u64, served_later: u64) -> Outcome {
    let mut gate = QueueGate::default();
    let mut queue: VecDeque<u64> = VecDeque::new();
    let mut outcome = Outcome::default();
    let (mut arrivals, mut grants) = (0, 0);
    for now in 0..10_000_u64 {
        while queue.front().is_some_and(|arrival| now >= arrival + 120) {
            queue.pop_front();
            gate.record_expiry(at(now));
            outcome.in_vain += 1;
        }
        arrivals += asked;
        while arrivals >= 1_000 {
            arrivals -= 1_000;
            match gate.admits(at(now), queue.len(), LIMIT) {
                true => queue.push_back(now),
                false => outcome.at_once += 1,
            }
        }
        grants += if now < 5_000 { served } else { served_later };
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

/// Guards against refusals while there is room: bursts that are served in time.
#[test]
fn gate_served_load_refuses_nothing() {
    let outcome = play(300, 320, 320);
    assert_eq!((outcome.at_once, outcome.in_vain), (0, 0), "{outcome:?}");
}

/// Guards against a flood whose requests all wait in vain: most learn at once
/// that nothing ran, and as many are served as without the gate.
#[test]
fn gate_flood_is_refused_at_once() {
    let outcome = play(2_000, 100, 100);
    assert!(outcome.granted >= 990, "{outcome:?}");
    assert!(outcome.in_vain * 20 < outcome.at_once, "{outcome:?}");
}

/// Guards against a gate that keeps a queue short when slots become free.
#[test]
fn gate_more_slots_are_used() {
    let outcome = play(500, 50, 480);
    assert!(outcome.granted >= 250 + 2_300, "{outcome:?}");
}

/// Guards against a queue without grants that no longer shows its need.
#[test]
fn gate_without_grants_lets_some_wait() {
    let outcome = play(200, 0, 200);
    assert!(outcome.granted >= 950, "{outcome:?}");
}

/// Guards against a burst on an idle queue that is refused.
#[test]
fn gate_burst_on_idle_queue_is_admitted() {
    let mut gate = QueueGate::default();
    assert!((0..200).all(|waiting| gate.admits(at(1_000), waiting, LIMIT)));
}
