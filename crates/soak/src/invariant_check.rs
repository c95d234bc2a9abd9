//! The invariants that a run checks, from what callers, operators and upstreams saw.

use crate::in_force_check::{FaultEvent, RouterSight, late_tables, reverted_tables};
use baobabfall_bench::answer_check::CallVerdict;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_standin::upstream_state::ExecutionRecord;
use std::fmt;
use std::time::Duration;

/// What a call asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKindName {
    /// A streamed model answer.
    Stream,
    /// A protected action.
    Action,
    /// A call that may be repeated.
    Read,
}

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id of the request.
    pub request_id: String,
    /// Idempotency key of an action.
    pub key: Option<String>,
    /// What it asked for.
    pub kind: CallKindName,
    /// Router that got it.
    pub router: usize,
    /// When it was sent, since the start of the load.
    pub begun: Duration,
    /// When it ended.
    pub ended: Duration,
    /// What became of it.
    pub verdict: CallVerdict,
    /// Status of the answer; zero without one.
    pub status: u16,
    /// Number of the sending, from 0.
    pub sending: u32,
}

/// An edit of the table that was acknowledged.
#[derive(Clone, Debug)]
pub struct EditRecord {
    /// Id of the edit.
    pub edit_id: String,
    /// Revision that it made.
    pub revision: u64,
    /// Digest of the table at that revision.
    pub digest: String,
    /// When the acknowledgement arrived.
    pub acknowledged: Duration,
}

/// A revision that a controller named as the newest, or a router as in force.
#[derive(Clone, Debug)]
pub struct RevisionSight {
    /// Who named it.
    pub place: String,
    /// When it was asked.
    pub begun: Duration,
    /// The revision.
    pub revision: u64,
}

/// A planned stop of a router without any other fault near it.
#[derive(Clone, Copy, Debug)]
pub struct CalmStop {
    /// The router.
    pub router: usize,
    /// When it got SIGTERM.
    pub at: Duration,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct RunEvidence {
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Executions at the upstreams.
    pub executions: Vec<ExecutionRecord>,
    /// Acknowledged edits.
    pub edits: Vec<EditRecord>,
    /// Revisions that controllers named.
    pub sights: Vec<RevisionSight>,
    /// Table revision and digest at the end, from the leader.
    pub last_table: Option<(u64, String)>,
    /// Revision in force at each router at the end.
    pub router_revisions: Vec<(String, Option<u64>)>,
    /// Planned stops without other faults.
    pub calm_stops: Vec<CalmStop>,
    /// Revisions that routers said are in force.
    pub router_sights: Vec<RouterSight>,
    /// Faults as they were made.
    pub events: Vec<FaultEvent>,
    /// Controllers of the site.
    pub controllers: usize,
    /// Processes that did not end in time after SIGTERM, or ended unasked.
    pub process_faults: Vec<String>,
    /// What did not work again after the last fault.
    pub not_recovered: Vec<String>,
}

/// What holds at every site, whatever fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteInvariant {
    /// Answers are whole and their caller's.
    AnswersWhole,
    /// An action runs at most once.
    ActionsOnce,
    /// A request that was refused as not run did not run.
    RefusalsTrue,
    /// A request that was answered ran.
    AnswersReal,
    /// An accepted table never reverts.
    TableKept,
    /// An accepted table is in force in time.
    TableInForce,
    /// A planned stop cuts nothing.
    StopsClean,
    /// Processes end only when asked, and then in time.
    EndsAsked,
    /// The site works again after the last fault.
    SiteRecovers,
}

impl SiteInvariant {
    /// Number of invariants.
    pub const COUNT: usize = 9;

    fn text(self) -> &'static str {
        match self {
            Self::AnswersWhole => "answers are whole and their caller's",
            Self::ActionsOnce => "an action runs at most once",
            Self::RefusalsTrue => "a request refused as not run did not run",
            Self::AnswersReal => "a request that was answered ran",
            Self::TableKept => "an accepted table never reverts",
            Self::TableInForce => "an accepted table is in force in time",
            Self::StopsClean => "a planned stop cuts nothing",
            Self::EndsAsked => "processes end only when asked, and then in time",
            Self::SiteRecovers => "the site works again after the last fault",
        }
    }
}

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The invariant.
    pub invariant: SiteInvariant,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant.text(), self.detail)
    }
}

/// Checks every invariant.
///
/// ```
/// use baobabfall_soak::invariant_check::{RunEvidence, check_invariants};
/// let evidence = RunEvidence { last_table: Some((0, String::new())), ..RunEvidence::default() };
/// assert!(check_invariants(&evidence).is_empty());
/// ```
pub fn check_invariants(evidence: &RunEvidence) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    let mut report = |invariant: SiteInvariant, detail: String| {
        violations.push(InvariantViolation { invariant, detail });
    };
    let ran = count_by(evidence.executions.iter().map(|record| record.request_id.as_str()));
    let ran_key = count_by(evidence.executions.iter().filter_map(|record| record.key.as_deref()));
    for call in &evidence.calls {
        let id = &call.request_id;
        // A resent action may get the record of its first answer in the place of the answer.
        let recorded = call.kind == CallKindName::Action && call.sending > 0;
        match call.verdict {
            CallVerdict::Wrong if !recorded => {
                report(SiteInvariant::AnswersWhole, format!("{id} got a wrong answer"))
            }
            CallVerdict::SilentlyShort => {
                report(SiteInvariant::AnswersWhole, format!("{id} ended short as if whole"))
            }
            CallVerdict::NotRun if ran.contains_key(id.as_str()) => {
                report(
                    SiteInvariant::RefusalsTrue,
                    format!("{id} was refused as not run with {} and ran", call.status),
                );
            }
            CallVerdict::Complete if !ran.contains_key(id.as_str()) => {
                report(
                    SiteInvariant::AnswersReal,
                    format!("{id} was answered and no upstream ran it"),
                );
            }
            _ => {}
        }
        let stopped = evidence.calm_stops.iter().find(|stop| {
            stop.router == call.router && call.begun < stop.at && call.ended > stop.at
        });
        let cut = matches!(
            call.verdict,
            CallVerdict::Broken | CallVerdict::Failed | CallVerdict::ErrorEvent
        );
        if let Some(stop) = stopped.filter(|_| cut) {
            let detail = format!("{id} ended {:?} at router {}", call.verdict, stop.router + 1);
            report(SiteInvariant::StopsClean, detail);
        }
    }
    for (key, count) in ran_key.iter().filter(|(_, count)| **count > 1) {
        report(SiteInvariant::ActionsOnce, format!("{key} ran {count} times"));
    }
    check_table(evidence, &mut report);
    let RunEvidence { edits, router_sights, events, controllers, .. } = evidence;
    late_tables(edits, router_sights, events, *controllers)
        .into_iter()
        .for_each(|fault| report(SiteInvariant::TableInForce, fault));
    reverted_tables(router_sights, events)
        .into_iter()
        .for_each(|fault| report(SiteInvariant::TableKept, fault));
    evidence
        .process_faults
        .iter()
        .for_each(|fault| report(SiteInvariant::EndsAsked, fault.clone()));
    evidence
        .not_recovered
        .iter()
        .for_each(|fault| report(SiteInvariant::SiteRecovers, fault.clone()));
    violations
}

fn check_table(evidence: &RunEvidence, report: &mut impl FnMut(SiteInvariant, String)) {
    let mut edits: Vec<&EditRecord> = evidence.edits.iter().collect();
    edits.sort_by_key(|edit| edit.revision);
    for pair in edits.windows(2) {
        if pair[0].revision == pair[1].revision && pair[0].edit_id != pair[1].edit_id {
            let (first, second) = (&pair[0].edit_id, &pair[1].edit_id);
            report(
                SiteInvariant::TableKept,
                format!("{first} and {second} got revision {}", pair[0].revision),
            );
        }
    }
    for sight in &evidence.sights {
        let newer = edits
            .iter()
            .filter(|edit| edit.acknowledged < sight.begun)
            .find(|edit| edit.revision > sight.revision);
        if let Some(edit) = newer {
            let RevisionSight { place, revision, .. } = sight;
            report(
                SiteInvariant::TableKept,
                format!("{place} named {revision} after {} was accepted", edit.revision),
            );
        }
    }
    let highest = edits.last().map_or(0, |edit| edit.revision);
    match &evidence.last_table {
        None => {
            report(SiteInvariant::TableKept, "no controller named the table at the end".to_owned())
        }
        Some((revision, _)) if *revision < highest => {
            report(
                SiteInvariant::TableKept,
                format!("the last table is {revision}; {highest} was accepted"),
            );
        }
        Some((revision, digest)) => {
            let same = edits.iter().find(|edit| edit.revision == *revision);
            if let Some(edit) = same.filter(|edit| edit.digest != *digest) {
                report(
                    SiteInvariant::TableKept,
                    format!("{revision} has other content than {} made", edit.edit_id),
                );
            }
        }
    }
    for (router, revision) in &evidence.router_revisions {
        if revision.is_none_or(|revision| revision < highest) {
            report(
                SiteInvariant::TableKept,
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
