//! Tests that evidence against each invariant is reported as a violation.

#![allow(clippy::unwrap_used)]

use baobabfall_bench::answer_check::CallVerdict;
use baobabfall_soak::in_force_check::RouterSample;
use baobabfall_soak::invariant_check::*;
use baobabfall_standin::upstream_state::ExecutionRecord;
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn call(verdict: CallVerdict) -> CallRecord {
    CallRecord {
        request_id: "r1".to_owned(),
        key: None,
        kind: CallType::Read,
        router: 0,
        sent_at: at(100),
        ended_at: at(300),
        verdict,
        status: 200,
        attempt: 0,
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

/// Evidence in which every invariant holds.
fn valid_evidence() -> RunEvidence {
    RunEvidence {
        calls: vec![call(CallVerdict::Complete)],
        executions: vec![execution("r1", Some("k1"))],
        edits: vec![edit("e1", 1, 50), edit("e2", 2, 200)],
        revision_samples: vec![RevisionSample {
            controller: "c1".to_owned(),
            requested_at: at(100),
            revision: 1,
        }],
        final_table: Some((2, "digest-2".to_owned())),
        final_router_revisions: vec![("router-1".to_owned(), Some(2))],
        isolated_stops: vec![IsolatedStop { router: 0, at: at(200) }],
        ..RunEvidence::default()
    }
}

fn violated_invariants(change: impl FnOnce(&mut RunEvidence)) -> Vec<SiteInvariant> {
    let mut evidence = valid_evidence();
    change(&mut evidence);
    check_invariants(&evidence).iter().map(|violation| violation.invariant).collect()
}

#[test]
fn invariants_good_evidence_holds() {
    assert!(violated_invariants(|_| {}).is_empty());
}

/// Guards against a missed report when a caller gets the answer to another request, or a
/// truncated answer that looks complete.
#[test]
fn invariants_wrong_answers_are_reported() {
    for verdict in [CallVerdict::Wrong, CallVerdict::SilentlyShort] {
        assert_eq!(
            violated_invariants(|evidence| evidence.calls[0].verdict = verdict),
            [SiteInvariant::AnswersIntact]
        );
    }
}

/// Guards against a missed report when an action is executed twice under one idempotency key.
#[test]
fn invariants_second_execution_is_reported() {
    let second_execution = execution("r1-again", Some("k1"));
    assert_eq!(
        violated_invariants(|evidence| evidence.executions.push(second_execution)),
        [SiteInvariant::ActionsAtMostOnce]
    );
}

/// Guards against a missed report when a request is rejected as not run although an upstream
/// executed it.
#[test]
fn invariants_false_refusal_is_reported() {
    assert_eq!(
        violated_invariants(|evidence| evidence.calls[0].verdict = CallVerdict::NotRun),
        [SiteInvariant::RefusalsAccurate]
    );
}

/// Guards against a missed report when a caller gets an answer to a request that no upstream
/// executed.
#[test]
fn invariants_invented_answer_is_reported() {
    assert_eq!(
        violated_invariants(|evidence| evidence.executions.clear()),
        [SiteInvariant::AnswersExecuted]
    );
}

/// Guards against a missed report when an acknowledged table edit is lost, replaced by other
/// content, or not in force at a router at the end of the run.
#[test]
fn invariants_reverted_table_is_reported() {
    let late_sample =
        RevisionSample { controller: "c2".to_owned(), requested_at: at(250), revision: 1 };
    assert_eq!(
        violated_invariants(|evidence| evidence.revision_samples.push(late_sample)),
        [SiteInvariant::Durability]
    );
    assert_eq!(
        violated_invariants(|evidence| evidence.final_table = Some((1, String::new()))),
        [SiteInvariant::Durability]
    );
    assert_eq!(
        violated_invariants(|evidence| evidence.final_table = Some((2, "other".to_owned()))),
        [SiteInvariant::Durability]
    );
    assert_eq!(
        violated_invariants(|evidence| evidence.final_table = None),
        [SiteInvariant::Durability]
    );
    assert_eq!(
        violated_invariants(|evidence| evidence.final_router_revisions[0].1 = Some(1)),
        [SiteInvariant::Durability]
    );
    assert_eq!(
        violated_invariants(|evidence| evidence.edits.push(edit("e3", 2, 260))),
        [SiteInvariant::Durability]
    );
}

/// Guards against a missed report when a router doesn't follow an acknowledged evacuation, or goes
/// back to an older set of zones.
#[test]
fn invariants_late_or_reverted_evacuation_is_reported() {
    let sample = |millis, revision| RouterSample {
        router: 0,
        requested_at: at(millis),
        incarnation: 1,
        revision,
    };
    let violated = |samples: Vec<RouterSample>| {
        violated_invariants(|evidence| {
            evidence.controllers = 3;
            evidence.evacuations = vec![edit("zone-1-1", 1, 500), edit("zone-1-2", 2, 5_000)];
            evidence.evacuation_samples = samples;
        })
    };
    assert!(violated(vec![sample(600, 0), sample(3_000, 1), sample(8_000, 2)]).is_empty());
    let late = violated(vec![sample(3_000, 0)]);
    assert_eq!(late, [SiteInvariant::EvacuationInForce]);
    let reverted = violated(vec![sample(5_100, 2), sample(5_200, 1)]);
    assert_eq!(reverted, [SiteInvariant::EvacuationInForce]);
}

/// Guards against a missed report when the planned stop of a router interrupts one of its calls.
#[test]
fn invariants_call_interrupted_by_stop_is_reported() {
    assert_eq!(
        violated_invariants(|evidence| evidence.calls[0].verdict = CallVerdict::Broken),
        [SiteInvariant::StopsGraceful]
    );
    let at_other_router = |evidence: &mut RunEvidence| {
        evidence.calls[0].verdict = CallVerdict::Broken;
        evidence.calls[0].router = 1;
    };
    assert!(
        violated_invariants(at_other_router).is_empty(),
        "the stop of one router does not interrupt calls at another router"
    );
}

/// Guards against missed reports of processes that exit unexpectedly and of failed recovery.
#[test]
fn invariants_exits_and_recovery_are_reported() {
    assert_eq!(
        violated_invariants(|evidence| evidence.exit_failures.push("x".to_owned())),
        [SiteInvariant::ExitsExpected]
    );
    assert_eq!(
        violated_invariants(|evidence| evidence.recovery_failures.push("x".to_owned())),
        [SiteInvariant::SiteRecovers]
    );
}
