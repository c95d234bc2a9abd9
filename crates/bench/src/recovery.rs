//! Experiment `recovery`: a controller restarts after many accepted changes
//! and must hold the latest accepted state again.

use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::{Fleet, FleetPlan, row_of};
use crate::load::to_float;
use crate::options::BenchOptions;
use baobabfall_core::workspace_table::RowChange;
use std::time::Duration;
use tokio::time::Instant;

/// Rows that one edit changes; `--full` sends one change per edit.
const ROWS_QUICK: usize = 500;
const CHANGES: usize = 100_000;
const WORKSPACES: usize = 850;
const LOOK_INTERVAL: Duration = Duration::from_millis(1);
/// The storage thread of a killed controller ends its last write in this time.
const AWAY_TIME: Duration = Duration::from_secs(2);
const RESTART_LIMIT: Duration = Duration::from_secs(60);

/// Target of section 1.4 of the design.
const RECOVERY_LIMIT_SECONDS: f64 = 2.0;

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("recovery", options.seed);
    let rows = (0..WORKSPACES).map(|index| row_of(index, 1, 8)).collect();
    let plan = FleetPlan { controllers: 3, routers: 0, rows, limits: String::new() };
    let mut fleet = Fleet::start(plan).await?;
    let rows_per_edit = options.sized(ROWS_QUICK, 1);
    let begin = Instant::now();
    let mut revision = 1;
    for edit in 0..CHANGES / rows_per_edit {
        let changes = (0..rows_per_edit).map(|row| change(edit, row)).collect();
        revision = fleet.edit_table(revision, changes).await?;
    }
    let edits = to_float(u64::try_from(CHANGES / rows_per_edit).unwrap_or(0));
    result.figure("edits", edits, "edits");
    result.figure("edit_time_mean", begin.elapsed().as_secs_f64() / edits, "s");
    let mut opened = 0.0f64;
    let mut current = 0.0f64;
    for index in 0..3 {
        let times = restart(&mut fleet, index, revision).await?;
        opened = opened.max(times.0);
        current = current.max(times.1);
    }
    fleet.end().await?;
    result.figure("opened_most", opened, "s");
    let bound = TargetBound::AtMost(RECOVERY_LIMIT_SECONDS);
    result.target("latest_state_most", current, "s", bound);
    Ok(result)
}

fn change(edit: usize, row: usize) -> RowChange {
    let weight = 1 + u32::try_from((edit + row) % 100).unwrap_or(0);
    RowChange::Put { row: row_of((edit + row) % WORKSPACES, weight, 8) }
}

/// Times until the controller has opened its log and until it holds the latest revision.
async fn restart(fleet: &mut Fleet, index: usize, revision: u64) -> Result<(f64, f64), BenchError> {
    fleet.kill_controller(index).await?;
    tokio::time::sleep(AWAY_TIME).await;
    let begin = Instant::now();
    fleet.restart_controller(index).await?;
    let opened = begin.elapsed().as_secs_f64();
    loop {
        let held = fleet.controller(index).map(|handle| {
            let state = handle.replica().state();
            state.history().revision()
        });
        if held.is_some_and(|held| held >= revision) {
            return Ok((opened, begin.elapsed().as_secs_f64()));
        }
        if begin.elapsed() > RESTART_LIMIT {
            let message = format!("controller {index} does not reach revision {revision}");
            return Err(BenchError::Fleet(message));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
