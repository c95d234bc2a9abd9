//! Resident memory of idle routers by table rows, and of controller state by
//! kind of entry.
//!
//! All sizes are held until the end, so that freed memory is not used again
//! and each growth of the resident memory belongs to what was added last.

use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::{Fleet, FleetPlan, row_of};
use crate::load::to_float;
use crate::message_slopes::{SIZES, fit};
use crate::process_usage::resident_bytes;
use baobabfall_core::action_ledger::{ActionClaim, ActionKey, ActionLedger};
use baobabfall_core::control_command::{ControlCommand, EditIdentity};
use baobabfall_core::control_state::ControlState;
use baobabfall_core::dispatch_messages::{
    DispatchReport, LimitReport, NodeIdentity, OriginReport, PartReport,
};
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::replica_messages::LogEntry;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind, UpstreamRegistry};
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use std::time::Duration;

/// Routers by which the larger of two fleets exceeds the smaller one.
const MORE_ROUTERS: usize = 8;
/// Rows of one edit; a body is limited to 1 MiB.
const EDIT_ROWS: usize = 500;
const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEGABYTE: f64 = 1e6;
const CONCURRENCY: u32 = 8;
/// Target of section 1.4 of the design.
const ROUTER_LIMIT_MB: f64 = 32.0;

fn resident() -> Result<f64, BenchError> {
    Ok(to_float(resident_bytes()?))
}

fn size_of(count: usize) -> f64 {
    to_float(u64::try_from(count).unwrap_or(u64::MAX))
}

/// Starts a fleet that holds `rows` and has settled.
async fn idle_fleet(routers: usize, rows: usize) -> Result<Fleet, BenchError> {
    let plan = FleetPlan { controllers: 1, routers, rows: Vec::new(), limits: String::new() };
    let mut fleet = Fleet::start(plan).await?;
    fleet.wait_ready(0).await?;
    let mut revision = 1;
    for start in (0..rows).step_by(EDIT_ROWS) {
        let part = start..rows.min(start + EDIT_ROWS);
        let put = |index| RowChange::Put { row: row_of(index, 1, CONCURRENCY) };
        revision = fleet.edit_table(revision, part.map(put).collect()).await?;
    }
    let holds = |fleet: &Fleet| {
        fleet.routers().all(|router| {
            router.state().fleet.table().is_some_and(|table| table.revision == revision)
        })
    };
    for _ in 0..100 {
        if holds(&fleet) {
            tokio::time::sleep(SETTLE_TIME).await;
            return Ok(fleet);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(BenchError::Fleet(format!("a router did not take a table of {rows} rows")))
}

/// Memory of an idle router: the process before any role, plus what each
/// further router adds.
///
/// The fleets are returned alive, so that what is measured next does not use
/// their memory again.
pub async fn measure_routers(result: &mut ExperimentResult) -> Result<Vec<Fleet>, BenchError> {
    let base = resident()?;
    result.figure("memory_of_process_without_roles", base / MEGABYTE, "MB");
    // The first fleet also pays for what the process allocates once.
    let mut held = vec![idle_fleet(1, 1).await?];
    let mut points = Vec::new();
    for rows in SIZES {
        let start = resident()?;
        held.push(idle_fleet(1, rows).await?);
        let one = resident()? - start;
        let start = resident()?;
        held.push(idle_fleet(1 + MORE_ROUTERS, rows).await?);
        let many = resident()? - start;
        let router = (many - one) / size_of(MORE_ROUTERS);
        result.figure(format!("memory_per_router_{rows}_rows"), router / MEGABYTE, "MB");
        result.figure(format!("memory_of_process_{rows}_rows"), (base + router) / MEGABYTE, "MB");
        points.push((size_of(rows), router));
    }
    result.figure("router_memory_per_row", fit(&points)?.slope, "B");
    let process = (base + points[1].1) / MEGABYTE;
    let bound = TargetBound::AtMost(ROUTER_LIMIT_MB);
    result.target("idle_router_memory_850", process, "MB", bound);
    Ok(held)
}

/// Grows `state` to each count and fits bytes per entry.
fn entry_bytes<S>(
    state: &mut S,
    counts: [usize; 3],
    mut add: impl FnMut(&mut S, usize),
) -> Result<f64, BenchError> {
    let start = resident()?;
    let mut points = vec![(0.0, 0.0)];
    let mut next = 0;
    for count in counts {
        while next < count {
            add(state, next);
            next += 1;
        }
        points.push((size_of(count), resident()? - start));
    }
    Ok(fit(&points)?.slope)
}

/// Bytes of controller memory per entry of each kind.
pub fn measure_controller_state(result: &mut ExperimentResult) -> Result<(), BenchError> {
    let now = Duration::ZERO;
    let mut table = WorkspaceTable::default();
    let bytes = entry_bytes(&mut table, [2500, 5000, 10_000], |table, index| {
        table.apply(&[RowChange::Put { row: row_of(index, 1, CONCURRENCY) }]);
    })?;
    result.figure("memory_per_workspace_table", bytes, "B");
    let mut dispatcher = SlotDispatcher::new(now, 1, DispatchSettings::default());
    let rows = table.rows();
    let mut part = WorkspaceTable::default();
    let mut added = 0;
    let bytes = entry_bytes(&mut dispatcher, [2500, 5000, 10_000], |dispatcher, index| {
        part.apply(&[RowChange::Put { row: row_of(index, 1, CONCURRENCY) }]);
        added += 1;
        if added % 2500 == 0 {
            dispatcher.set_table(now, &part);
        }
    })?;
    result.figure("memory_per_workspace_dispatcher", bytes, "B");
    debug_assert_eq!(rows.len(), 10_000);
    let mut registry = UpstreamRegistry::default();
    let bytes = entry_bytes(&mut registry, [2000, 4000, 8000], |registry, index| {
        let announced = registry.announce(now, Duration::from_secs(60), upstream(index));
        debug_assert!(announced.is_ok());
    })?;
    result.figure("memory_per_upstream_registry", bytes, "B");
    let mut upstreams = Vec::new();
    let bytes = entry_bytes(&mut dispatcher, [2000, 4000, 8000], |dispatcher, index| {
        upstreams.push(upstream(index));
        if upstreams.len() % 2000 == 0 {
            dispatcher.set_upstreams(now, &upstreams);
        }
    })?;
    result.figure("memory_per_upstream_dispatcher", bytes, "B");
    let bytes = entry_bytes(&mut dispatcher, [5000, 10_000, 20_000], |dispatcher, index| {
        dispatcher.apply_report(now, &report_of(index));
    })?;
    result.figure("memory_per_router_dispatcher", bytes, "B");
    measure_log_entries(result)
}

fn measure_log_entries(result: &mut ExperimentResult) -> Result<(), BenchError> {
    let mut log: Vec<LogEntry> = Vec::new();
    let bytes =
        entry_bytes(&mut log, [10_000, 20_000, 40_000], |log, index| log.push(edit(index)))?;
    result.figure("memory_per_log_entry", bytes, "B");
    drop(log);
    let mut state = ControlState::default();
    for index in 0..40_000 {
        state.apply(&edit(index));
    }
    let snapshot = state.to_snapshot().map_err(|error| BenchError::Empty(error.to_string()))?;
    result.figure("snapshot_after_40000_edits", size_of(snapshot.len()), "B");
    let mut ledger = ActionLedger::default();
    ledger.advance(1_764_763_200_000);
    let bytes = entry_bytes(&mut ledger, [50_000, 100_000, 200_000], |ledger, index| {
        ledger.claim(1, &claim(index));
    })?;
    if ledger.len() != 200_000 {
        return Err(BenchError::Empty("claims were refused".to_owned()));
    }
    result.figure("memory_per_claim", bytes, "B");
    Ok(())
}

fn upstream(index: usize) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: format!("engine-{index:05}"),
        incarnation: 1,
        sequence: 1,
        address: ([127, 0, 0, 1], 9000).into(),
        kind: UpstreamKind::Model,
        serves: (0..3).map(|n| format!("model-{}", (index + n) % 13)).collect(),
        zone: format!("zone-{}", index % 10),
        concurrency: 20,
        pool: None,
        honours_fencing: false,
        resume: true,
        cancel: true,
        leaving: false,
        running: None,
        software: None,
        cold_ms: None,
    }
}

fn router(index: usize) -> NodeIdentity {
    NodeIdentity { name: format!("router-{index}"), incarnation: 1 }
}

fn report_of(index: usize) -> DispatchReport {
    DispatchReport {
        router: router(index),
        zone: format!("zone-{}", index % 10),
        term: 1,
        sequence: 1,
        full: true,
        backlog: Vec::new(),
        usage: Vec::new(),
        charges: Vec::new(),
        statements: Vec::new(),
        restrictions: Vec::new(),
        parts: PartReport::default(),
        limits: LimitReport::default(),
        origins: OriginReport::default(),
        received_grant: 0,
        wait_ms: 0,
        load: None,
    }
}

fn edit(index: usize) -> LogEntry {
    let number = u64::try_from(index).unwrap_or(0);
    let command = ControlCommand::EditTable {
        edit: EditIdentity { operator: "bench".to_owned(), id: format!("edit-{index}") },
        base_revision: number,
        changes: vec![RowChange::Put { row: row_of(index % 850, 1, CONCURRENCY) }],
    };
    LogEntry { index: number + 1, term: 1, time_ms: number, command }
}

fn claim(index: usize) -> ActionClaim {
    let workspace = format!("workspace-{}", index % 850);
    // The first day of the ledger's time, 2025-12-03.
    let key = format!("20251203-{index:08}-0000-0000");
    ActionClaim {
        key: ActionKey::new(&workspace, "cases", &key),
        body_digest: [7; 32],
        router: router(index % 330),
        attempt: number_of(index),
        path: "/payouts".into(),
    }
}

fn number_of(index: usize) -> u64 {
    u64::try_from(index).unwrap_or(0)
}
