//! Tests of the check that routers apply accepted tables in time.

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

fn sample(router: usize, millis: u64, revision: u64) -> RouterSample {
    RouterSample { router, requested_at: at(millis), incarnation: 1, revision }
}

fn event(millis: u64, begins: bool, kind: FaultKind) -> FaultEvent {
    FaultEvent { at: at(millis), begins, kind }
}

fn late(samples: &[RouterSample], events: &[FaultEvent]) -> usize {
    late_tables(&[edit(1, 0), edit(2, 10_000)], samples, events, 3).len()
}

/// Guards against a missed report when a router still uses the old table after the limit of
/// 2 s, including while one controller of three is lost.
#[test]
fn late_tables_reports_undisturbed_router() {
    assert_eq!(late(&[sample(0, 11_900, 1), sample(0, 12_100, 2)], &[]), 0);
    assert_eq!(late(&[sample(0, 12_100, 1)], &[]), 1);
    let pause = FaultKind::PauseController(1);
    assert_eq!(
        late(&[sample(0, 12_100, 1)], &[event(9_000, true, pause)]),
        1,
        "the loss of one controller out of three exempts no router"
    );
}

/// Guards against false reports about routers that cannot be up to date: while a fault
/// affects them, shortly after a controller fault, or without a majority of controllers.
#[test]
fn late_tables_exempts_disconnected_router() {
    let link = |index| FaultKind::Link(index, LinkFault::Silence);
    let exemptions = [
        vec![event(11_000, true, FaultKind::PauseController(1))],
        vec![event(2_000, true, link(1)), event(10_000, false, link(1))],
        vec![event(2_000, true, FaultKind::PauseRouter(0))],
        vec![event(2_000, true, link(0)), event(2_000, true, FaultKind::KillController(2))],
    ];
    for events in exemptions {
        assert_eq!(late(&[sample(0, 12_100, 1)], &events), 0, "{events:?}");
    }
    let other_router = [event(2_000, true, FaultKind::PauseRouter(1))];
    assert_eq!(late(&[sample(0, 12_100, 1)], &other_router), 1);
}

/// Guards against a missed report when a router returns to an older table. A restart resets
/// the table of a router and is not reported.
#[test]
fn reverted_tables_reports_router_without_restart() {
    let samples = [sample(0, 100, 4), sample(0, 200, 3), sample(1, 100, 5), sample(1, 200, 5)];
    assert_eq!(reverted_tables(&samples, &[]).len(), 1);
    let restart = [event(150, true, FaultKind::KillRouter(0))];
    assert_eq!(reverted_tables(&samples, &restart).len(), 1, "the process is the same");
    let mut samples = samples;
    samples[1].incarnation = 2;
    assert_eq!(reverted_tables(&samples, &restart).len(), 0);
}

/// A process that was started during a stop has no table at first; one that had a table must keep
/// it, and a later process must not serve an older one.
#[test]
fn reverted_tables_new_process_without_table_is_no_reversal() {
    let of =
        |incarnation, millis, revision| RouterSample { incarnation, ..sample(0, millis, revision) };
    let reverted = |samples: &[RouterSample]| reverted_tables(samples, &[]).len();
    assert_eq!(reverted(&[of(1, 10, 59), of(2, 20, 0), of(2, 30, 59)]), 0);
    assert_eq!(reverted(&[of(1, 10, 59), of(1, 20, 0)]), 1);
    assert_eq!(reverted(&[of(1, 10, 59), of(2, 20, 0), of(2, 30, 58)]), 1);
    assert_eq!(reverted(&[of(2, 10, 59), of(2, 20, 0), of(2, 30, 59)]), 1);
    let stop = [event(15, true, FaultKind::StopRouter(0))];
    assert_eq!(reverted_tables(&[of(2, 10, 59), of(2, 20, 0)], &stop).len(), 1);
    assert_eq!(reverted_tables(&[of(1, 10, 59), of(2, 20, 58)], &stop).len(), 0);
}
