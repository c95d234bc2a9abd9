//! Checks the invariants of a run against what callers, operators and upstreams observed.

use crate::in_force_check::{FaultEvent, RouterSample, late_tables, reverted_tables};
use baobabfall_bench::answer_check::CallVerdict;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_standin::upstream_state::ExecutionRecord;
use std::fmt;
use std::time::Duration;

/// Type of a call. The report prints the name of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallType {
    /// Chat completion with a streamed answer.
    Stream,
    /// Request to a protected endpoint, with an idempotency key.
    Action,
    /// Idempotent read.
    Read,
}

/// One call as observed by its caller. Times are measured from the start of the load.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id that the caller sent with the request, unique per attempt.
    pub request_id: String,
    /// Idempotency key; only actions have one, and all attempts of an action share it.
    pub key: Option<String>,
    /// Type of the call.
    pub kind: CallType,
    /// Index of the router that received the call, from 0.
    pub router: usize,
    /// When the caller sent the request.
    pub sent_at: Duration,
    /// When the answer was complete or the call failed.
    pub ended_at: Duration,
    /// How the call ended.
    pub verdict: CallVerdict,
    /// HTTP status of the answer; 0 if there was none.
    pub status: u16,
    /// Number of the attempt, from 0. Attempts after the first are resends with the same key.
    pub attempt: u32,
}

/// An edit of the workspace table that a controller acknowledged.
#[derive(Clone, Debug)]
pub struct EditRecord {
    /// Id that the operator chose, unique per edit.
    pub edit_id: String,
    /// Table revision that the edit created.
    pub revision: u64,
    /// Digest of the table content at that revision.
    pub digest: String,
    /// When the acknowledgement arrived, measured from the start of the load.
    pub acknowledged: Duration,
}

/// Newest table revision as read from the leader, the only controller that answers reads.
#[derive(Clone, Debug)]
pub struct RevisionSample {
    /// Address of the controller that answered.
    pub controller: String,
    /// When the request was sent, measured from the start of the load.
    pub requested_at: Duration,
    /// Reported table revision.
    pub revision: u64,
}

/// Planned stop of a router during which no other fault is active. The report calls it a calm
/// stop.
#[derive(Clone, Copy, Debug)]
pub struct IsolatedStop {
    /// Index of the router, from 0.
    pub router: usize,
    /// When SIGTERM was sent, measured from the start of the load.
    pub at: Duration,
}

/// All observations of a run that the invariants are checked against.
#[derive(Clone, Debug, Default)]
pub struct RunEvidence {
    /// Calls of all callers.
    pub calls: Vec<CallRecord>,
    /// Requests that the upstreams executed, over all their incarnations.
    pub executions: Vec<ExecutionRecord>,
    /// Table edits that were acknowledged.
    pub edits: Vec<EditRecord>,
    /// Newest table revisions as read from the leader of the moment.
    pub revision_samples: Vec<RevisionSample>,
    /// Table revision and digest read from the leader after the load; `None` if no controller
    /// answered.
    pub final_table: Option<(u64, String)>,
    /// Name of each router and the revision in force there after the load; `None` if it did not
    /// answer.
    pub final_router_revisions: Vec<(String, Option<u64>)>,
    /// Planned router stops without other faults.
    pub isolated_stops: Vec<IsolatedStop>,
    /// Revisions that routers reported as in force.
    pub router_samples: Vec<RouterSample>,
    /// Orders about zones that were acknowledged; the revision is the version of the set.
    pub evacuations: Vec<EditRecord>,
    /// Versions of the set of evacuated zones that routers reported as in force.
    pub evacuation_samples: Vec<RouterSample>,
    /// Actual starts and ends of the faults.
    pub events: Vec<FaultEvent>,
    /// Number of controllers.
    pub controllers: usize,
    /// Processes that exited unexpectedly, or not in time after SIGTERM.
    pub exit_failures: Vec<String>,
    /// Functions that did not recover in time after the last fault.
    pub recovery_failures: Vec<String>,
}

/// Guarantee that must hold in every run, whichever faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteInvariant {
    /// Answers are complete, or visibly incomplete, and belong to the request of their caller.
    AnswersIntact,
    /// Upstreams execute an action at most once per idempotency key.
    ActionsAtMostOnce,
    /// A request that was rejected with the statement that it was not run was not executed.
    RefusalsAccurate,
    /// A request that got a complete answer was executed by an upstream.
    AnswersExecuted,
    /// An acknowledged table edit is never lost or replaced.
    Durability,
    /// Routers apply an acknowledged table edit in time.
    TableInForce,
    /// Routers apply an acknowledged evacuation of a zone, or its end, in time and never lose it.
    EvacuationInForce,
    /// A planned stop of a router interrupts no call.
    StopsGraceful,
    /// Processes exit only when they are told to, and then in time.
    ExitsExpected,
    /// The system accepts edits and serves calls again in time after the last fault.
    SiteRecovers,
}

impl SiteInvariant {
    /// Number of invariants, which the report prints.
    pub const COUNT: usize = 10;

    fn report_text(self) -> &'static str {
        match self {
            Self::AnswersIntact => "answers are whole and their caller's",
            Self::ActionsAtMostOnce => "an action runs at most once",
            Self::RefusalsAccurate => "a request refused as not run did not run",
            Self::AnswersExecuted => "a request that was answered ran",
            Self::Durability => "an accepted table never reverts",
            Self::TableInForce => "an accepted table is in force in time",
            Self::EvacuationInForce => "an accepted evacuation is in force in time and stays so",
            Self::StopsGraceful => "a planned stop cuts nothing",
            Self::ExitsExpected => "processes end only when asked, and then in time",
            Self::SiteRecovers => "the site works again after the last fault",
        }
    }
}

/// Violation of an invariant; `Display` gives its line in the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Invariant that was violated.
    pub invariant: SiteInvariant,
    /// Observation that contradicts the invariant.
    pub detail: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant.report_text(), self.detail)
    }
}

/// Checks every invariant and returns all violations.
///
/// ```
/// use baobabfall_soak::invariant_check::{RunEvidence, check_invariants};
/// let evidence = RunEvidence { final_table: Some((0, String::new())), ..RunEvidence::default() };
/// assert!(check_invariants(&evidence).is_empty());
/// ```
pub fn check_invariants(evidence: &RunEvidence) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    let mut report = |invariant: SiteInvariant, detail: String| {
        violations.push(InvariantViolation { invariant, detail });
    };
    let executions_by_id =
        count_by(evidence.executions.iter().map(|record| record.request_id.as_str()));
    let executions_by_key =
        count_by(evidence.executions.iter().filter_map(|record| record.key.as_deref()));
    for call in &evidence.calls {
        let id = &call.request_id;
        // The answer to a resent action may be the recorded outcome of an earlier attempt
        // instead of the answer of the upstream.
        let resent_action = call.kind == CallType::Action && call.attempt > 0;
        match call.verdict {
            CallVerdict::Wrong if !resent_action => {
                report(SiteInvariant::AnswersIntact, format!("{id} got a wrong answer"))
            }
            CallVerdict::SilentlyShort => {
                report(SiteInvariant::AnswersIntact, format!("{id} ended short as if whole"))
            }
            CallVerdict::NotRun if executions_by_id.contains_key(id.as_str()) => {
                report(
                    SiteInvariant::RefusalsAccurate,
                    format!("{id} was refused as not run with {} and ran", call.status),
                );
            }
            CallVerdict::Complete if !executions_by_id.contains_key(id.as_str()) => {
                report(
                    SiteInvariant::AnswersExecuted,
                    format!("{id} was answered and no upstream ran it"),
                );
            }
            _ => {}
        }
        let concurrent_stop = evidence.isolated_stops.iter().find(|stop| {
            stop.router == call.router && call.sent_at < stop.at && call.ended_at > stop.at
        });
        let interrupted = matches!(
            call.verdict,
            CallVerdict::Broken | CallVerdict::Failed | CallVerdict::ErrorEvent
        );
        if let Some(stop) = concurrent_stop.filter(|_| interrupted) {
            let detail = format!("{id} ended {:?} at router {}", call.verdict, stop.router + 1);
            report(SiteInvariant::StopsGraceful, detail);
        }
    }
    for (key, count) in executions_by_key.iter().filter(|(_, count)| **count > 1) {
        report(SiteInvariant::ActionsAtMostOnce, format!("{key} ran {count} times"));
    }
    check_table(evidence, &mut report);
    let RunEvidence { edits, router_samples, events, controllers, .. } = evidence;
    late_tables(edits, router_samples, events, *controllers)
        .into_iter()
        .for_each(|detail| report(SiteInvariant::TableInForce, detail));
    reverted_tables(router_samples, events)
        .into_iter()
        .for_each(|detail| report(SiteInvariant::Durability, detail));
    let RunEvidence { evacuations, evacuation_samples: samples, .. } = evidence;
    late_tables(evacuations, samples, events, *controllers)
        .into_iter()
        .chain(reverted_tables(samples, events))
        .for_each(|detail| report(SiteInvariant::EvacuationInForce, detail));
    evidence
        .exit_failures
        .iter()
        .for_each(|detail| report(SiteInvariant::ExitsExpected, detail.clone()));
    evidence
        .recovery_failures
        .iter()
        .for_each(|detail| report(SiteInvariant::SiteRecovers, detail.clone()));
    violations
}

fn check_table(evidence: &RunEvidence, report: &mut impl FnMut(SiteInvariant, String)) {
    let mut edits: Vec<&EditRecord> = evidence.edits.iter().collect();
    edits.sort_by_key(|edit| edit.revision);
    for pair in edits.windows(2) {
        if pair[0].revision == pair[1].revision && pair[0].edit_id != pair[1].edit_id {
            let (first, second) = (&pair[0].edit_id, &pair[1].edit_id);
            report(
                SiteInvariant::Durability,
                format!("{first} and {second} got revision {}", pair[0].revision),
            );
        }
    }
    for sample in &evidence.revision_samples {
        let lost_edit = edits
            .iter()
            .filter(|edit| edit.acknowledged < sample.requested_at)
            .find(|edit| edit.revision > sample.revision);
        if let Some(edit) = lost_edit {
            let RevisionSample { controller, revision, .. } = sample;
            report(
                SiteInvariant::Durability,
                format!("{controller} named {revision} after {} was accepted", edit.revision),
            );
        }
    }
    let highest = edits.last().map_or(0, |edit| edit.revision);
    match &evidence.final_table {
        None => {
            report(SiteInvariant::Durability, "no controller named the table at the end".to_owned())
        }
        Some((revision, _)) if *revision < highest => {
            report(
                SiteInvariant::Durability,
                format!("the last table is {revision}; {highest} was accepted"),
            );
        }
        Some((revision, digest)) => {
            let matching_edit = edits.iter().find(|edit| edit.revision == *revision);
            if let Some(edit) = matching_edit.filter(|edit| edit.digest != *digest) {
                report(
                    SiteInvariant::Durability,
                    format!("{revision} has other content than {} made", edit.edit_id),
                );
            }
        }
    }
    for (router, revision) in &evidence.final_router_revisions {
        if revision.is_none_or(|revision| revision < highest) {
            report(
                SiteInvariant::Durability,
                format!("{router} has {revision:?} in force; {highest} was accepted"),
            );
        }
    }
}

fn count_by<'a>(names: impl Iterator<Item = &'a str>) -> SortedMap<&'a str, u32> {
    let mut counts = SortedMap::new();
    for name in names {
        *counts.get_or_insert_with(name, || 0) += 1;
    }
    counts
}
