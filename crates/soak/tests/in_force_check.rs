//! Tests of the check that accepted tables come into force in time.

use baobabfall_soak::fault_schedule::{FaultKind, LinkFault};
use baobabfall_soak::in_force_check::*;
use baobabfall_soak::invariant_check::EditRecord;
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn edit(revision: u64, millis: u64) -> EditRecord {
    let (edit_id, digest) = (format!("e{revision}"), String::new());
    EditRecord { edit_id, revision, digest, acknowledged: at(millis) }
}

fn sight(router: usize, millis: u64, revision: u64) -> RouterSight {
    RouterSight { router, begun: at(millis), revision }
}

fn event(millis: u64, begins: bool, kind: FaultKind) -> FaultEvent {
    FaultEvent { at: at(millis), begins, kind }
}

fn late(sights: &[RouterSight], events: &[FaultEvent]) -> usize {
    late_tables(&[edit(1, 0), edit(2, 10_000)], sights, events, 3).len()
}

/// Guards against a table that comes into force late and is not reported.
#[test]
fn late_tables_reports_calm_router() {
    assert_eq!(late(&[sight(0, 11_900, 1), sight(0, 12_100, 2)], &[]), 0);
    assert_eq!(late(&[sight(0, 12_100, 1)], &[]), 1);
    let lost = FaultKind::PauseController(1);
    assert_eq!(
        late(&[sight(0, 12_100, 1)], &[event(9_000, true, lost)]),
        1,
        "one of three is lost"
    );
}

/// Guards against reports about routers that cannot keep up: touched themselves,
/// near a fault of a controller, or without a majority of the controllers.
#[test]
fn late_tables_excuses_router_out_of_contact() {
    let link = |index| FaultKind::Link(index, LinkFault::Silence);
    let excuses = [
        vec![event(11_000, true, FaultKind::PauseController(1))],
        vec![event(2_000, true, link(1)), event(10_000, false, link(1))],
        vec![event(2_000, true, FaultKind::PauseRouter(0))],
        vec![event(2_000, true, link(0)), event(2_000, true, FaultKind::KillController(2))],
    ];
    for events in excuses {
        assert_eq!(late(&[sight(0, 12_100, 1)], &events), 0, "{events:?}");
    }
    let other = [event(2_000, true, FaultKind::PauseRouter(1))];
    assert_eq!(late(&[sight(0, 12_100, 1)], &other), 1);
}

/// Guards against a router that goes back to an older table unnoticed.
#[test]
fn reverted_tables_reports_same_incarnation() {
    let sights = [sight(0, 100, 4), sight(0, 200, 3), sight(1, 100, 5), sight(1, 200, 5)];
    assert_eq!(reverted_tables(&sights, &[]).len(), 1);
    let restart = [event(150, true, FaultKind::KillRouter(0))];
    assert_eq!(reverted_tables(&sights, &restart).len(), 0);
}
