//! Whether accepted tables come into force in time, and stay, at each router.

use crate::fault_schedule::FaultKind;
use crate::invariant_check::EditRecord;
use std::time::Duration;

/// Time in which an accepted table has to be in force.
const IN_FORCE_TIME: Duration = Duration::from_secs(2);
/// Time after a fault of a controller, its link or the router from which on
/// the router has to keep up.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The revision that a router said is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterSight {
    /// The router.
    pub router: usize,
    /// When it was asked.
    pub begun: Duration,
    /// The revision.
    pub revision: u64,
}

/// Beginning or end of a fault, when it was really made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultEvent {
    /// When.
    pub at: Duration,
    /// True when the fault begins.
    pub begins: bool,
    /// The fault.
    pub kind: FaultKind,
}

/// Tables that were not in force in time at a router that was in contact with a
/// majority of `controllers`.
pub fn late_tables(
    edits: &[EditRecord],
    sights: &[RouterSight],
    events: &[FaultEvent],
    controllers: usize,
) -> Vec<String> {
    let mut found = Vec::new();
    for sight in sights {
        let due = |edit: &&EditRecord| edit.acknowledged + IN_FORCE_TIME <= sight.begun;
        let newest = edits.iter().filter(due).max_by_key(|edit| edit.revision);
        let late = newest.filter(|edit| edit.revision > sight.revision);
        if let Some(edit) = late
            && in_contact(sight, events, controllers)
        {
            let late = (sight.begun - edit.acknowledged).as_millis();
            let RouterSight { router, revision, .. } = sight;
            found.push(format!(
                "router-{} has {revision} in force {late} ms after {} was accepted",
                router + 1,
                edit.revision
            ));
        }
    }
    found
}

/// True when the router was not touched for the contact time, and the
/// controllers were not touched either while a majority of them runs.
fn in_contact(sight: &RouterSight, events: &[FaultEvent], controllers: usize) -> bool {
    let before = |event: &&FaultEvent| event.at <= sight.begun;
    let earlier: Vec<&FaultEvent> = events.iter().filter(before).collect();
    let concerns =
        |kind: FaultKind| router_of(kind) == Some(sight.router) || controller_of(kind).is_some();
    let recent = |event: &&FaultEvent| event.at + CONTACT_TIME > sight.begun;
    if earlier.iter().copied().any(|event| recent(&event) && concerns(event.kind)) {
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
    let own = active.iter().any(|kind| router_of(*kind) == Some(sight.router));
    let mut touched: Vec<usize> = active.iter().filter_map(|kind| controller_of(*kind)).collect();
    touched.sort_unstable();
    touched.dedup();
    !own && 2 * (controllers - touched.len()) > controllers
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

/// Routers that went back to an older table without a restart in between.
pub fn reverted_tables(sights: &[RouterSight], events: &[FaultEvent]) -> Vec<String> {
    let mut sights: Vec<&RouterSight> = sights.iter().collect();
    sights.sort_by_key(|sight| (sight.router, sight.begun));
    let restarted = |router: usize, from: Duration, to: Duration| {
        events.iter().any(|event| {
            let kind = event.kind;
            let restart = matches!(kind, FaultKind::KillRouter(index) | FaultKind::StopRouter(index) if index == router);
            restart && (from..=to).contains(&event.at)
        })
    };
    sights
        .windows(2)
        .filter(|pair| pair[0].router == pair[1].router && pair[0].revision > pair[1].revision)
        .filter(|pair| !restarted(pair[0].router, pair[0].begun, pair[1].begun))
        .map(|pair| {
            let (router, from, to) = (pair[0].router + 1, pair[0].revision, pair[1].revision);
            format!("router-{router} went back from {from} to {to}")
        })
        .collect()
}
