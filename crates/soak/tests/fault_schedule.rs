//! Tests of the fault schedule.

use baobabfall_soak::fault_schedule::{FaultKind, SiteSize, plan_faults, plan_series_faults};
use quickcheck::quickcheck;
use std::time::Duration;

const SIZE: SiteSize = SiteSize { controllers: 3, routers: 3, upstreams: 4 };
const SPAN: Duration = Duration::from_secs(30);

fn target(kind: FaultKind) -> String {
    match kind {
        FaultKind::KillController(index)
        | FaultKind::TearLog(index)
        | FaultKind::PauseController(index)
        | FaultKind::StopController(index) => format!("controller {index}"),
        FaultKind::KillRouter(index)
        | FaultKind::PauseRouter(index)
        | FaultKind::StopRouter(index) => format!("router {index}"),
        FaultKind::Link(index, _) => format!("link {index}"),
        FaultKind::Upstream(index, _) => format!("upstream {index}"),
    }
}

quickcheck! {
    /// Guards against a schedule that depends on more than the seed, so that a failing
    /// run could not be reproduced.
    fn schedule_same_seed_repeats(seed: u64) -> bool {
        plan_faults(seed, SPAN, SIZE) == plan_faults(seed, SPAN, SIZE)
    }

    /// Guards against overlapping faults on one process or link, where the end of one
    /// fault would also end the other, and against faults that leave no time for recovery.
    fn schedule_faults_on_one_target_do_not_overlap(seed: u64) -> bool {
        let faults = plan_faults(seed, SPAN, SIZE);
        let in_time = faults.iter().all(|fault| fault.at + fault.duration <= SPAN * 55 / 100);
        let apart = faults.iter().enumerate().all(|(index, fault)| {
            faults[index + 1..].iter().all(|later| {
                target(later.kind) != target(fault.kind) || later.at > fault.at + fault.duration
            })
        });
        in_time && apart
    }
}

/// Guards against series that the removal of silent voters would survive as well: three stops have
/// to come within its 3 s in many schedules.
#[test]
fn series_stops_follow_closely() {
    let size = SiteSize { controllers: 6, ..SIZE };
    let is_stop = |kind: FaultKind| matches!(kind, FaultKind::StopController(_));
    let mut close = 0;
    for seed in 0..200 {
        let mut stops = plan_series_faults(seed, SPAN, size);
        stops.retain(|fault| is_stop(fault.kind));
        let within = |stops: &[_; 3]| {
            let [first, _, last]: &[baobabfall_soak::fault_schedule::PlannedFault; 3] = stops;
            last.at < first.at + Duration::from_secs(3)
        };
        close += stops.array_windows::<3>().filter(|stops| within(stops)).count();
    }
    assert!(close > 200, "{close}");
}

/// Guards against fault kinds that no seed selects, and against schedules in which
/// faults on different targets never overlap.
#[test]
fn schedule_many_seeds_draw_every_kind() {
    let mut labels = Vec::new();
    let mut overlaps = 0;
    for seed in 0..200 {
        let faults = plan_faults(seed, SPAN, SIZE);
        labels.extend(faults.iter().map(|fault| fault.kind.label()));
        overlaps +=
            faults.windows(2).filter(|pair| pair[1].at < pair[0].at + pair[0].duration).count();
    }
    labels.sort_unstable();
    labels.dedup();
    assert_eq!(labels.len(), 17);
    assert!(overlaps > 1_000, "{overlaps}");
}
