//! Tests that each invariant is really checked: evidence against it is reported.

#![allow(clippy::unwrap_used)]

use baobabfall_bench::answer_check::CallVerdict;
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

/// Evidence in which every invariant holds.
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

fn violated(change: impl FnOnce(&mut RunEvidence)) -> Vec<SiteInvariant> {
    let mut evidence = good();
    change(&mut evidence);
    check_invariants(&evidence).iter().map(|violation| violation.invariant).collect()
}

#[test]
fn invariants_good_evidence_holds() {
    assert!(violated(|_| {}).is_empty());
}

/// Guards against answers of others and silently short ones that pass.
#[test]
fn invariants_wrong_answers_are_reported() {
    for verdict in [CallVerdict::Wrong, CallVerdict::SilentlyShort] {
        assert_eq!(violated(|held| held.calls[0].verdict = verdict), [SiteInvariant::AnswersWhole]);
    }
}

/// Guards against actions that run twice.
#[test]
fn invariants_second_run_is_reported() {
    let again = execution("r1-again", Some("k1"));
    assert_eq!(violated(|held| held.executions.push(again)), [SiteInvariant::ActionsOnce]);
}

/// Guards against refusals that say "not run" for what ran.
#[test]
fn invariants_untrue_refusal_is_reported() {
    assert_eq!(
        violated(|held| held.calls[0].verdict = CallVerdict::NotRun),
        [SiteInvariant::RefusalsTrue]
    );
}

/// Guards against answers that no upstream gave.
#[test]
fn invariants_invented_answer_is_reported() {
    assert_eq!(violated(|held| held.executions.clear()), [SiteInvariant::AnswersReal]);
}

/// Guards against an accepted table that is lost, replaced or not in force.
#[test]
fn invariants_reverted_table_is_reported() {
    let late = RevisionSight { place: "c2".to_owned(), begun: at(250), revision: 1 };
    assert_eq!(violated(|held| held.sights.push(late)), [SiteInvariant::TableKept]);
    assert_eq!(
        violated(|held| held.last_table = Some((1, String::new()))),
        [SiteInvariant::TableKept]
    );
    assert_eq!(
        violated(|held| held.last_table = Some((2, "other".to_owned()))),
        [SiteInvariant::TableKept]
    );
    assert_eq!(violated(|held| held.last_table = None), [SiteInvariant::TableKept]);
    assert_eq!(violated(|held| held.router_revisions[0].1 = Some(1)), [SiteInvariant::TableKept]);
    assert_eq!(violated(|held| held.edits.push(edit("e3", 2, 260))), [SiteInvariant::TableKept]);
}

/// Guards against planned stops that cut answers.
#[test]
fn invariants_cut_by_stop_is_reported() {
    assert_eq!(
        violated(|held| held.calls[0].verdict = CallVerdict::Broken),
        [SiteInvariant::StopsClean]
    );
    let elsewhere = |held: &mut RunEvidence| {
        held.calls[0].verdict = CallVerdict::Broken;
        held.calls[0].router = 1;
    };
    assert!(violated(elsewhere).is_empty(), "a call at another router was not cut by the stop");
}

/// Guards against crashes and a site that stays down.
#[test]
fn invariants_ends_and_recovery_are_reported() {
    assert_eq!(
        violated(|held| held.process_faults.push("x".to_owned())),
        [SiteInvariant::EndsAsked]
    );
    assert_eq!(
        violated(|held| held.not_recovered.push("x".to_owned())),
        [SiteInvariant::SiteRecovers]
    );
}
