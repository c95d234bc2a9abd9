//! Tests that each promise is really checked: evidence against it is reported.

#![allow(clippy::unwrap_used)]

use baobabfall_bench::answer_check::CallVerdict;
use baobabfall_soak::promise_check::*;
use baobabfall_standin::upstream_state::ExecutionRecord;
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn call(verdict: CallVerdict) -> CallRecord {
    CallRecord {
        request_id: "r1".to_owned(),
        key: None,
        kind: CallKindName::Read,
        router: 0,
        begun: at(100),
        ended: at(300),
        verdict,
        status: 200,
        sending: 0,
    }
}

fn execution(id: &str, key: Option<&str>) -> ExecutionRecord {
    ExecutionRecord {
        request_id: id.to_owned(),
        key: key.map(str::to_owned),
        path: "/payouts".to_owned(),
    }
}

fn edit(id: &str, revision: u64, millis: u64) -> EditRecord {
    EditRecord {
        edit_id: id.to_owned(),
        revision,
        digest: format!("digest-{revision}"),
        acknowledged: at(millis),
    }
}

/// Evidence in which every promise holds.
fn good() -> RunEvidence {
    RunEvidence {
        calls: vec![call(CallVerdict::Complete)],
        executions: vec![execution("r1", Some("k1"))],
        edits: vec![edit("e1", 1, 50), edit("e2", 2, 200)],
        sights: vec![RevisionSight { place: "c1".to_owned(), begun: at(100), revision: 1 }],
        last_table: Some((2, "digest-2".to_owned())),
        router_revisions: vec![("router-1".to_owned(), Some(2))],
        calm_stops: vec![CalmStop { router: 0, at: at(200) }],
        ..RunEvidence::default()
    }
}

fn broken(change: impl FnOnce(&mut RunEvidence)) -> Vec<&'static str> {
    let mut evidence = good();
    change(&mut evidence);
    check_promises(&evidence).iter().map(|broken| broken.promise).collect()
}

#[test]
fn promises_good_evidence_holds() {
    assert!(broken(|_| {}).is_empty());
}

/// Guards against answers of others and silently short ones that pass.
#[test]
fn promises_wrong_answers_are_reported() {
    for verdict in [CallVerdict::Wrong, CallVerdict::SilentlyShort] {
        assert_eq!(broken(|held| held.calls[0].verdict = verdict), [PROMISES[0]]);
    }
}

/// Guards against actions that run twice.
#[test]
fn promises_second_run_is_reported() {
    let again = execution("r1-again", Some("k1"));
    assert_eq!(broken(|held| held.executions.push(again)), [PROMISES[1]]);
}

/// Guards against refusals that say "not run" for what ran.
#[test]
fn promises_untrue_refusal_is_reported() {
    assert_eq!(broken(|held| held.calls[0].verdict = CallVerdict::NotRun), [PROMISES[2]]);
}

/// Guards against answers that no upstream gave.
#[test]
fn promises_invented_answer_is_reported() {
    assert_eq!(broken(|held| held.executions.clear()), [PROMISES[3]]);
}

/// Guards against an accepted table that is lost, replaced or not in force.
#[test]
fn promises_reverted_table_is_reported() {
    let late = RevisionSight { place: "c2".to_owned(), begun: at(250), revision: 1 };
    assert_eq!(broken(|held| held.sights.push(late)), [PROMISES[4]]);
    assert_eq!(broken(|held| held.last_table = Some((1, String::new()))), [PROMISES[4]]);
    assert_eq!(broken(|held| held.last_table = Some((2, "other".to_owned()))), [PROMISES[4]]);
    assert_eq!(broken(|held| held.last_table = None), [PROMISES[4]]);
    assert_eq!(broken(|held| held.router_revisions[0].1 = Some(1)), [PROMISES[4]]);
    assert_eq!(broken(|held| held.edits.push(edit("e3", 2, 260))), [PROMISES[4]]);
}

/// Guards against planned stops that cut answers.
#[test]
fn promises_cut_by_stop_is_reported() {
    assert_eq!(broken(|held| held.calls[0].verdict = CallVerdict::Broken), [PROMISES[5]]);
    let elsewhere = |held: &mut RunEvidence| {
        held.calls[0].verdict = CallVerdict::Broken;
        held.calls[0].router = 1;
    };
    assert!(broken(elsewhere).is_empty(), "a call at another router was not cut by the stop");
}

/// Guards against crashes and a site that stays down.
#[test]
fn promises_ends_and_recovery_are_reported() {
    assert_eq!(broken(|held| held.process_faults.push("x".to_owned())), [PROMISES[6]]);
    assert_eq!(broken(|held| held.not_recovered.push("x".to_owned())), [PROMISES[7]]);
}
