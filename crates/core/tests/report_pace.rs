//! Tests of the time for which routers hold reports back.

use baobabfall_core::dispatch_load::DispatchLoad;
use baobabfall_core::report_pace::report_hold;
use std::time::Duration;

fn load(waiting: u64, running: u64, prefill: u64) -> DispatchLoad {
    DispatchLoad {
        waiting,
        running,
        slots: 100,
        prefill,
        prefill_window: 1_000,
        ..DispatchLoad::default()
    }
}

/// Guards against slots that stay idle because their release is reported late.
#[test]
fn report_hold_scarce_slots_are_reported_at_once() {
    for scarce in [load(1, 10, 0), load(0, 76, 0), load(0, 10, 501)] {
        assert_eq!(report_hold(&scarce, Duration::ZERO), Duration::ZERO, "{scarce:?}");
    }
    assert!(!report_hold(&load(0, 75, 500), Duration::ZERO).is_zero());
}

/// Guards against a leader that falls further behind the more it is late.
#[test]
fn report_hold_grows_with_the_delay_of_the_leader() {
    let hold = |millis| report_hold(&load(9, 100, 1_000), Duration::from_millis(millis));
    assert!(hold(4).is_zero());
    assert!(hold(5) < hold(10));
    assert_eq!(hold(60), hold(6_000));
    assert!(hold(6_000) <= Duration::from_millis(100), "charges are reported as often");
}
