//! Experiment `recovery`: a lost leader while edits arrive, and the restart of
//! a controller with 100,000 accepted changes.

use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::{Fleet, FleetPlan, row_of};
use crate::fleet_files::token_of;
use crate::load::to_float;
use crate::options::BenchOptions;
use crate::restart_store::measure_restart;
use crate::slope_fit::median;
use baobabfall_core::workspace_table::RowChange;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::operator_messages::{EditAnswer, TABLE_PATH, TableEdit, TableView};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const ROUND_LIMIT: Duration = Duration::from_secs(20);
const LOOK_PAUSE: Duration = Duration::from_millis(1);
const EDIT_PAUSE: Duration = Duration::from_millis(5);
const MILLI: f64 = 1e3;

/// Targets of section 1.4 of the design.
const LEADER_LIMIT_MS: f64 = 3_000.0;
const RESTART_LIMIT_MS: f64 = 2_000.0;
const RESTART_LIMIT_MB: f64 = 32.0;

/// Acknowledged edits: row and time of the acknowledgement.
type AckedEdits = Arc<Mutex<Vec<(usize, Instant)>>>;

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("recovery", options.seed);
    // First, so that the memory of the fleets does not count.
    let restart = measure_restart(options).await?;
    result.figure("restart_snapshot_bytes", restart.snapshot_bytes, "B");
    result.figure("restart_log_bytes", restart.log_bytes, "B");
    result.figure("restart_memory_before", restart.memory_before, "MB");
    result.figure("restart_load", restart.load_ms, "ms");
    result.figure("restart_cpu", restart.cpu_ms, "ms");
    let bound = TargetBound::AtMost(RESTART_LIMIT_MS);
    result.target("restart_until_it_leads", restart.lead_ms, "ms", bound);
    let bound = TargetBound::AtMost(RESTART_LIMIT_MB);
    result.target("restart_memory_peak", restart.memory_peak, "MB", bound);
    let lost = run_rounds(options, &mut result).await?;
    result.target("acknowledged_edits_lost", lost, "edits", TargetBound::AtMost(0.0));
    Ok(result)
}

async fn run_rounds(
    options: &BenchOptions,
    result: &mut ExperimentResult,
) -> Result<f64, BenchError> {
    let plan = FleetPlan { controllers: 3, routers: 1, rows: Vec::new(), limits: String::new() };
    let mut fleet = Fleet::start(plan).await?;
    fleet.wait_ready(0).await?;
    let acked = AckedEdits::default();
    let editor = tokio::spawn(edit_always(fleet.controller_addresses(), Arc::clone(&acked)));
    let (mut leaders, mut edits) = (Vec::new(), Vec::new());
    for round in 0..options.sized(12, 100) {
        // The kill falls at another point of the heartbeat in each round.
        let offset = (options.seed.wrapping_mul(7919) + round * 37) % 100;
        tokio::time::sleep(Duration::from_millis(400 + offset)).await;
        let (leader, edit) = run_round(&mut fleet, &acked).await?;
        leaders.push(leader);
        edits.push(edit);
    }
    editor.abort();
    let rows: Vec<usize> = locked(&acked).iter().map(|(row, _)| *row).collect();
    let table: TableView = fleet.operate::<(), _>(TABLE_PATH, None).await?;
    fleet.end().await?;
    let present = |row: &usize| {
        let start = format!("workspace-{row},");
        table.csv.lines().any(|line| line.starts_with(&start))
    };
    let lost = rows.iter().filter(|row| !present(row)).count();
    let worst = |times: &[f64]| times.iter().copied().fold(0.0, f64::max);
    result.figure("rounds", to_float(u64::try_from(leaders.len()).unwrap_or(0)), "kills");
    result.figure("edits_acknowledged", to_float(u64::try_from(rows.len()).unwrap_or(0)), "edits");
    result.figure("new_leader_median", median(&leaders), "ms");
    result.figure("next_edit_median", median(&edits), "ms");
    let bound = TargetBound::AtMost(LEADER_LIMIT_MS);
    result.target("new_leader_slowest", worst(&leaders), "ms", bound);
    result.target("next_edit_slowest", worst(&edits), "ms", bound);
    Ok(to_float(u64::try_from(lost).unwrap_or(u64::MAX)))
}

fn locked(acked: &AckedEdits) -> std::sync::MutexGuard<'_, Vec<(usize, Instant)>> {
    acked.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Milliseconds from the loss to a new leader and to the next accepted edit.
async fn run_round(fleet: &mut Fleet, acked: &AckedEdits) -> Result<(f64, f64), BenchError> {
    let late = |what: &str| BenchError::Empty(format!("{what} within {ROUND_LIMIT:?} of a kill"));
    let begun = Instant::now();
    let leader = loop {
        match fleet.leader() {
            Some(leader) => break leader,
            None if begun.elapsed() > ROUND_LIMIT => return Err(late("no leader before a round")),
            None => tokio::time::sleep(LOOK_PAUSE).await,
        }
    };
    fleet.kill_controller(leader).await?;
    let killed = Instant::now();
    while fleet.leader().is_none() {
        if killed.elapsed() > ROUND_LIMIT {
            return Err(late("no new leader"));
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    let elected = killed.elapsed();
    let next = loop {
        let last = locked(acked).last().map(|(_, at)| *at);
        match last {
            Some(at) if at > killed => break at - killed,
            _ if killed.elapsed() > ROUND_LIMIT => return Err(late("no edit accepted")),
            _ => tokio::time::sleep(LOOK_PAUSE).await,
        }
    };
    fleet.restart_controller(leader).await?;
    Ok((elected.as_secs_f64() * MILLI, next.as_secs_f64() * MILLI))
}

/// Adds one row after the other, each sent again under its id until it is acknowledged.
async fn edit_always(addresses: Vec<SocketAddr>, acked: AckedEdits) {
    let clients: Vec<PeerClient> = addresses.into_iter().map(PeerClient::new).collect();
    let token = token_of("operator");
    let mut revision = 1;
    for row in 0..10_000 {
        let edit = TableEdit {
            operator: "bench".to_owned(),
            edit_id: format!("recovery-{row}"),
            base_revision: revision,
            changes: vec![RowChange::Put { row: row_of(row, 1, 1) }],
        };
        revision = loop {
            match send_edit(&clients, &token, &edit).await {
                Some(revision) => break revision,
                None => tokio::time::sleep(EDIT_PAUSE).await,
            }
        };
        locked(&acked).push((row, Instant::now()));
        tokio::time::sleep(EDIT_PAUSE).await;
    }
}

async fn send_edit(clients: &[PeerClient], token: &str, edit: &TableEdit) -> Option<u64> {
    for client in clients {
        let answer: Result<EditAnswer, PeerError> =
            client.call_json(TABLE_PATH, token, Some(edit), CALL_TIMEOUT).await;
        match answer {
            Ok(answer) => return Some(answer.revision),
            Err(error) => log::debug!("edit {} not accepted: {error}", edit.edit_id),
        }
    }
    None
}
