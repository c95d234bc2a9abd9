//! Checks that each router applies accepted workspace tables in time and never returns to an
//! older one. A table is in force at a router while the router applies it.

use crate::fault_schedule::FaultKind;
use crate::invariant_check::EditRecord;
use std::time::Duration;

/// Time after its acknowledgement within which a table must be in force at every router.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// Time that a router has to reconnect and catch up after the start or end of a fault
/// that affects itself, a controller or the link to a controller.
const RECONNECT_GRACE: Duration = Duration::from_secs(3);

/// Table revision that a router reported as in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterSample {
    /// Index of the router, from 0.
    pub router: usize,
    /// When the request was sent, measured from the start of the load.
    pub requested_at: Duration,
    /// Incarnation of the process that answered.
    pub incarnation: u64,
    /// Reported table revision; 0 while the process has no table and refuses requests.
    pub revision: u64,
}

/// Actual start or end of a fault, which may be later than scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultEvent {
    /// Time of the event, measured from the start of the load.
    pub at: Duration,
    /// True if the fault begins, false if it ends.
    pub begins: bool,
    /// Kind of the fault and its target.
    pub kind: FaultKind,
}

/// Describes each sample that shows an outdated table although the table should have
/// been in force by then. Routers without a connection to a majority of the
/// `controllers` are exempt; `controllers` is their number.
pub fn late_tables(
    edits: &[EditRecord],
    samples: &[RouterSample],
    events: &[FaultEvent],
    controllers: usize,
) -> Vec<String> {
    let mut reports = Vec::new();
    for sample in samples {
        let overdue =
            |edit: &&EditRecord| edit.acknowledged + IN_FORCE_LIMIT <= sample.requested_at;
        let newest = edits.iter().filter(overdue).max_by_key(|edit| edit.revision);
        let late = newest.filter(|edit| edit.revision > sample.revision);
        if let Some(edit) = late
            && must_be_current(sample, events, controllers)
        {
            let late = (sample.requested_at - edit.acknowledged).as_millis();
            let RouterSample { router, revision, .. } = sample;
            reports.push(format!(
                "router-{} has {revision} in force {late} ms after {} was accepted",
                router + 1,
                edit.revision
            ));
        }
    }
    reports
}

/// Returns true if the router had to be up to date when it was sampled: no fault on it
/// or on any controller began or ended within `RECONNECT_GRACE`, no fault on the router
/// is active, and a majority of the controllers is unaffected by active faults.
fn must_be_current(sample: &RouterSample, events: &[FaultEvent], controllers: usize) -> bool {
    let before = |event: &&FaultEvent| event.at <= sample.requested_at;
    let earlier: Vec<&FaultEvent> = events.iter().filter(before).collect();
    let relevant =
        |kind: FaultKind| router_of(kind) == Some(sample.router) || controller_of(kind).is_some();
    let recent = |event: &&FaultEvent| event.at + RECONNECT_GRACE > sample.requested_at;
    if earlier.iter().copied().any(|event| recent(&event) && relevant(event.kind)) {
        return false;
    }
    let active: Vec<FaultKind> = earlier
        .iter()
        .filter(|event| event.begins)
        .filter(|event| {
            !earlier.iter().any(|end| !end.begins && end.kind == event.kind && end.at >= event.at)
        })
        .map(|event| event.kind)
        .collect();
    let router_affected = active.iter().any(|kind| router_of(*kind) == Some(sample.router));
    let mut affected: Vec<usize> = active.iter().filter_map(|kind| controller_of(*kind)).collect();
    affected.sort_unstable();
    affected.dedup();
    !router_affected && 2 * (controllers - affected.len()) > controllers
}

fn router_of(kind: FaultKind) -> Option<usize> {
    match kind {
        FaultKind::KillRouter(index)
        | FaultKind::PauseRouter(index)
        | FaultKind::StopRouter(index) => Some(index),
        _ => None,
    }
}

fn controller_of(kind: FaultKind) -> Option<usize> {
    match kind {
        FaultKind::KillController(index)
        | FaultKind::TearLog(index)
        | FaultKind::PauseController(index)
        | FaultKind::StopController(index)
        | FaultKind::Link(index, _) => Some(index),
        _ => None,
    }
}

/// Describes each case in which a router reported an older table than before without a
/// restart in between.
pub fn reverted_tables(samples: &[RouterSample], events: &[FaultEvent]) -> Vec<String> {
    let mut samples: Vec<&RouterSample> = samples.iter().collect();
    samples.sort_by_key(|sample| (sample.router, sample.requested_at));
    // A new process has no table at first.
    let mut with_table = None;
    samples.retain(|sample| {
        let process = (sample.router, sample.incarnation);
        if sample.revision > 0 {
            with_table = Some(process);
        }
        sample.revision > 0 || with_table == Some(process)
    });
    let restarted = |router: usize, from: Duration, to: Duration| {
        events.iter().any(|event| {
            let kind = event.kind;
            let restart = matches!(kind, FaultKind::KillRouter(index) | FaultKind::StopRouter(index) if index == router);
            restart && (from..=to).contains(&event.at)
        })
    };
    samples
        .windows(2)
        .filter(|pair| pair[0].router == pair[1].router && pair[0].revision > pair[1].revision)
        .filter(|pair| {
            pair[0].incarnation == pair[1].incarnation
                || !restarted(pair[0].router, pair[0].requested_at, pair[1].requested_at)
        })
        .map(|pair| {
            let (router, from, to) = (pair[0].router + 1, pair[0].revision, pair[1].revision);
            format!("router-{router} went back from {from} to {to}")
        })
        .collect()
}
