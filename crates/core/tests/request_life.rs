//! Tests of the request life cycle.

#![allow(clippy::unwrap_used)]

use baobabfall_core::error_kind::{ERROR_TABLE, ErrorKind};
use baobabfall_core::request_life::{
    ExecutionStatus, LIFECYCLE_EVENTS, LifecycleEvent, RequestLifecycle,
};
use baobabfall_core::state_chart::{CompiledChart, REQUEST_CHART};
use quickcheck::{Arbitrary, Gen};

fn walk(events: &[LifecycleEvent]) -> (RequestLifecycle, Vec<LifecycleEvent>) {
    let mut life = RequestLifecycle::begin().unwrap();
    let mut taken = Vec::new();
    for event in events {
        if life.advance(*event).is_ok() {
            taken.push(*event);
        }
    }
    (life, taken)
}

/// Independent judge: the request may have run if a dispatch is not followed
/// by the proof that this attempt did not run.
fn may_have_run(taken: &[LifecycleEvent]) -> bool {
    let mut tainted = false;
    let mut open = false;
    for event in taken {
        match event {
            LifecycleEvent::Dispatch => open = true,
            LifecycleEvent::NotRun => open = false,
            LifecycleEvent::Retry => {
                tainted = true;
                open = false;
            }
            _ => {}
        }
    }
    tainted || open
}

/// Guards against a "not run" after an attempt whose outcome is open, on any
/// order of events that the chart accepts.
#[test]
fn statement_any_walk_agrees_with_history() {
    let mut source = Gen::from_size_and_seed(24, 11);
    let mut not_run = 0;
    let mut unknown = 0;
    for _ in 0..20_000 {
        let choices = Vec::<u8>::arbitrary(&mut source);
        let count = LIFECYCLE_EVENTS.len();
        let events: Vec<LifecycleEvent> =
            choices.iter().map(|choice| LIFECYCLE_EVENTS[usize::from(*choice) % count].0).collect();
        let (life, taken) = walk(&events);
        match life.execution_status() {
            ExecutionStatus::KnownNotRun => {
                not_run += 1;
                assert!(!may_have_run(&taken), "{taken:?} may have run");
            }
            ExecutionStatus::OutcomeUnknown => {
                unknown += 1;
                assert!(may_have_run(&taken), "{taken:?} did not run");
            }
            ExecutionStatus::Finished => assert_eq!(taken.last(), Some(&LifecycleEvent::End)),
        }
        assert_eq!(life.is_cancelled(), taken.last() == Some(&LifecycleEvent::Cancel));
    }
    assert!(not_run > 100 && unknown > 100, "the walks reach too few states");
}

/// Guards against an answer that claims "not run" once an attempt may have run.
#[test]
fn truthful_kind_after_open_attempt_never_claims_not_run() {
    let (open, _) = walk(&[LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::Retry]);
    let (proven, _) =
        walk(&[LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::NotRun]);
    for row in ERROR_TABLE {
        assert!(!open.provable_kind(row.kind).answer().not_run, "{:?}", row.kind);
        assert_eq!(proven.provable_kind(row.kind), row.kind);
    }
    let kind = open.provable_kind(ErrorKind::DeadlineBeforeDispatch);
    assert_eq!(kind, ErrorKind::DeadlineAfterDispatch);
}

/// Guards against a chart and an enum that name different events, and against
/// a state that cannot end.
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
