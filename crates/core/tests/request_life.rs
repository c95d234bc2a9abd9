//! Tests of the request life cycle.

#![allow(clippy::unwrap_used)]

use baobabfall_core::error_kind::{ERROR_TABLE, ErrorKind};
use baobabfall_core::request_life::{
    ExecutionStatus, LIFECYCLE_EVENTS, LifecycleEvent, RequestLifecycle,
};
use baobabfall_core::state_chart::{CompiledChart, REQUEST_CHART};
use quickcheck::{Arbitrary, Gen};

fn apply_events(events: &[LifecycleEvent]) -> (RequestLifecycle, Vec<LifecycleEvent>) {
    let mut lifecycle = RequestLifecycle::begin().unwrap();
    let mut accepted = Vec::new();
    for event in events {
        if lifecycle.advance(*event).is_ok() {
            accepted.push(*event);
        }
    }
    (lifecycle, accepted)
}

/// Independent oracle: the request may have run if some attempt was dispatched
/// without later proof that this attempt did not run.
fn may_have_run(accepted: &[LifecycleEvent]) -> bool {
    let mut earlier_may_have_run = false;
    let mut current_may_have_run = false;
    for event in accepted {
        match event {
            LifecycleEvent::Dispatch => current_may_have_run = true,
            LifecycleEvent::NotRun => current_may_have_run = false,
            LifecycleEvent::Retry => {
                earlier_may_have_run = true;
                current_may_have_run = false;
            }
            _ => {}
        }
    }
    earlier_may_have_run || current_may_have_run
}

/// Guards against a status "not run" after an attempt that may have run, over random
/// sequences of events that the chart accepts.
#[test]
fn execution_status_random_events_agree_with_history() {
    let mut source = Gen::from_size_and_seed(24, 11);
    let mut not_run = 0;
    let mut unknown = 0;
    for _ in 0..20_000 {
        let choices = Vec::<u8>::arbitrary(&mut source);
        let count = LIFECYCLE_EVENTS.len();
        let events: Vec<LifecycleEvent> =
            choices.iter().map(|choice| LIFECYCLE_EVENTS[usize::from(*choice) % count].0).collect();
        let (lifecycle, accepted) = apply_events(&events);
        match lifecycle.execution_status() {
            ExecutionStatus::KnownNotRun => {
                not_run += 1;
                assert!(!may_have_run(&accepted), "{accepted:?} may have run");
            }
            ExecutionStatus::OutcomeUnknown => {
                unknown += 1;
                assert!(may_have_run(&accepted), "{accepted:?} did not run");
            }
            ExecutionStatus::Finished => assert_eq!(accepted.last(), Some(&LifecycleEvent::End)),
        }
        assert_eq!(lifecycle.is_cancelled(), accepted.last() == Some(&LifecycleEvent::Cancel));
    }
    assert!(not_run > 100 && unknown > 100, "the random sequences reach too few states");
}

/// Guards against an error answer that claims "not run" although an attempt may have
/// run. Where no attempt may have run, the kind must be kept.
#[test]
fn provable_kind_after_unknown_outcome_never_claims_not_run() {
    let (unproven, _) =
        apply_events(&[LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::Retry]);
    let (proven, _) =
        apply_events(&[LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::NotRun]);
    for row in ERROR_TABLE {
        assert!(!unproven.provable_kind(row.kind).answer().not_run, "{:?}", row.kind);
        assert_eq!(proven.provable_kind(row.kind), row.kind);
    }
    let kind = unproven.provable_kind(ErrorKind::DeadlineBeforeDispatch);
    assert_eq!(kind, ErrorKind::DeadlineAfterDispatch);
}

/// Guards against a difference between the events of the chart and of the enum, and
/// against a state in which a request cannot be cancelled.
#[test]
fn chart_events_and_states_are_all_used() {
    let chart = CompiledChart::parse(REQUEST_CHART).unwrap();
    let mut names: Vec<&str> = LIFECYCLE_EVENTS.iter().map(|(_, name)| *name).collect();
    names.sort_unstable();
    assert_eq!(chart.event_names(), names);
    for (index, (event, _)) in LIFECYCLE_EVENTS.iter().enumerate() {
        assert_eq!(*event as usize, index);
    }
    let cancel = chart.event("cancel").unwrap();
    for name in chart.state_names() {
        let state = chart.state(name).unwrap();
        assert_eq!(chart.step(state, cancel).is_ok(), !chart.is_final(state), "{name}");
    }
}
