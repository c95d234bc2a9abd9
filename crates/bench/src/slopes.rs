//! Experiment `slopes`: time of one dispatch decision as the number of workspaces grows.

use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::row_of;
use crate::load::to_float;
use crate::options::BenchOptions;
use baobabfall_core::dispatch_messages::{BacklogEntry, DispatchReport, NodeIdentity};
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::upstream_registry::{
    CONCURRENCY_LIMIT, UpstreamAnnouncement, UpstreamKind, WorkTarget,
};
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use std::time::{Duration, Instant};

const MODEL: &str = "bench";
const ROUTER: &str = "router-0";
/// Workspaces; a tenth of each is backlogged.
const SIZES: [usize; 3] = [85, 850, 8500];
/// Size at which the target holds.
const TARGET_SIZE: usize = 850;
const ENGINES: u16 = 20;
const COST_HINT: u64 = 100_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// Targets of section 1.4 of the design.
const DECISION_LIMIT_MICROS: f64 = 2.0;

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("slopes", options.seed);
    let mut times = Vec::new();
    for size in SIZES {
        // The best of several runs is the one that other processes disturbed least.
        let runs = (0..options.sized(5, 20)).map(|_| decision_micros(size));
        let best = runs.fold(f64::INFINITY, f64::min);
        result.figure(format!("decision_{size}"), best, "us");
        times.push(best);
        if size == TARGET_SIZE {
            let bound = TargetBound::AtMost(DECISION_LIMIT_MICROS);
            result.target(format!("decision_{size}_workspaces"), best, "us", bound);
        }
    }
    let backlogged = |size: usize| to_float(u64::try_from(size / 10).unwrap_or(1)).log2();
    let logarithmic = backlogged(SIZES[2]) / backlogged(SIZES[0]);
    let growth = times[2] / times[0];
    result.target("growth_85_to_8500", growth, "ratio", TargetBound::AtMost(logarithmic));
    Ok(result)
}

/// Mean time of one decision with a tenth of `size` workspaces backlogged.
fn decision_micros(size: usize) -> f64 {
    let now = Duration::from_secs(1);
    let mut dispatcher = SlotDispatcher::new(now, 1, DispatchSettings::default());
    dispatcher.expect_routers([ROUTER]);
    let mut table = WorkspaceTable::default();
    let rows = (0..size).map(|index| row_of(index, 1 + weight(index), 100_000));
    let changes: Vec<RowChange> = rows.map(|row| RowChange::Put { row }).collect();
    table.apply(&changes);
    dispatcher.set_table(now, &table);
    let engines: Vec<UpstreamAnnouncement> = (0..ENGINES).map(engine).collect();
    dispatcher.set_upstreams(now, &engines);
    dispatcher.apply_report(now, &report(size));
    let begin = Instant::now();
    let decisions = dispatcher.dispatch(now);
    let elapsed = begin.elapsed().as_secs_f64();
    let decisions = to_float(u64::try_from(decisions).unwrap_or(0));
    // No decision at all is a fault of the setup and gives an infinite time.
    elapsed * MICROS_PER_SECOND / decisions
}

fn weight(index: usize) -> u32 {
    u32::try_from(index % 7).unwrap_or(0)
}

fn engine(index: u16) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: format!("engine-{index}"),
        incarnation: 1,
        sequence: 1,
        address: ([127, 0, 0, 1], 9000 + index).into(),
        kind: UpstreamKind::Model,
        serves: vec![MODEL.to_owned()],
        zone: "zone-a".to_owned(),
        concurrency: CONCURRENCY_LIMIT,
        pool: None,
        honours_fencing: false,
        resume: false,
        cancel: false,
        leaving: false,
        running: None,
    }
}

fn report(size: usize) -> DispatchReport {
    let entry = |index: usize| BacklogEntry {
        target: WorkTarget { kind: UpstreamKind::Model, name: MODEL.to_owned() },
        workspace: row_of(index * 10, 1, 1).name,
        queued: 100_000,
        cost_hint: COST_HINT,
        prefix: None,
        avoid: None,
    };
    DispatchReport {
        router: NodeIdentity { name: ROUTER.to_owned(), incarnation: 1 },
        zone: "zone-a".to_owned(),
        term: 1,
        sequence: 1,
        full: true,
        backlog: (0..size / 10).map(entry).collect(),
        usage: Vec::new(),
        charges: Vec::new(),
        received_grant: 0,
        wait_ms: 0,
    }
}
