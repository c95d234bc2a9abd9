//! Tests of the schedule of faults.

use baobabfall_soak::fault_schedule::{FaultKind, SiteSize, plan_faults};
use quickcheck::quickcheck;
use std::time::Duration;

const SIZE: SiteSize = SiteSize { controllers: 3, routers: 3, upstreams: 4 };
const SPAN: Duration = Duration::from_secs(30);

fn place(kind: FaultKind) -> String {
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
    /// Guards against seeds that do not repeat what they found.
    fn schedule_same_seed_repeats(seed: u64) -> bool {
        plan_faults(seed, SPAN, SIZE) == plan_faults(seed, SPAN, SIZE)
    }

    /// Guards against a fault that ends another one on the same process early,
    /// and against faults that leave no time for recovery.
    fn schedule_places_suffer_one_at_a_time(seed: u64) -> bool {
        let faults = plan_faults(seed, SPAN, SIZE);
        let in_time = faults.iter().all(|fault| fault.at + fault.lasting <= SPAN * 55 / 100);
        let apart = faults.iter().enumerate().all(|(index, fault)| {
            faults[index + 1..].iter().all(|later| {
                place(later.kind) != place(fault.kind) || later.at > fault.at + fault.lasting
            })
        });
        in_time && apart
    }
}

/// Guards against kinds that no seed draws, and against faults that never overlap.
#[test]
fn schedule_many_seeds_draw_every_kind() {
    let mut labels = Vec::new();
    let mut overlaps = 0;
    for seed in 0..200 {
        let faults = plan_faults(seed, SPAN, SIZE);
        labels.extend(faults.iter().map(|fault| fault.kind.label()));
        overlaps +=
            faults.windows(2).filter(|pair| pair[1].at < pair[0].at + pair[0].lasting).count();
    }
    labels.sort_unstable();
    labels.dedup();
    assert_eq!(labels.len(), 17);
    assert!(overlaps > 1_000, "{overlaps}");
}
