//! Restart of a controller on a data folder with 100,000 accepted changes.

use crate::error::BenchError;
use crate::fleet::row_of;
use crate::fleet_files::FleetFiles;
use crate::load::to_float;
use crate::options::BenchOptions;
use crate::process_usage::{PeakSampler, resident_bytes};
use crate::role_thread::RoleThread;
use baobabfall_controller::controller;
use baobabfall_controller::disk_folder::DiskFolder;
use baobabfall_controller::log_store::LogStore;
use baobabfall_core::control_command::{ControlCommand, EditIdentity};
use baobabfall_core::control_state::ControlState;
use baobabfall_core::replica_core::ReplicaOptions;
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_core::replica_messages::{LogEntry, SnapshotData, SnapshotMeta, TermVote};
use baobabfall_core::workspace_table::RowChange;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Accepted changes before the restart.
const CHANGES: u64 = 100_000;
/// Rows that the changes concern.
const ROWS: usize = 850;
const START_LIMIT: Duration = Duration::from_secs(30);
const MILLI: f64 = 1e3;
const MEGABYTE: f64 = 1e6;

/// What the restart took.
#[derive(Clone, Copy, Debug)]
pub struct RestartFigures {
    /// Bytes of the snapshot on disk.
    pub snapshot_bytes: f64,
    /// Bytes of the log on disk.
    pub log_bytes: f64,
    /// Resident memory of the process before the restart, in megabytes.
    pub memory_before: f64,
    /// Highest resident memory of the whole process, in megabytes.
    pub memory_peak: f64,
    /// Until the folder is read and the listener serves.
    pub load_ms: f64,
    /// Until the controller leads with every change in force.
    pub lead_ms: f64,
    /// Processor time of the controller until then.
    pub cpu_ms: f64,
}

fn setup(error: impl ToString) -> BenchError {
    BenchError::Fleet(error.to_string())
}

/// Writes the folder, starts a controller on it and measures.
pub async fn measure_restart(options: &BenchOptions) -> Result<RestartFigures, BenchError> {
    let files = FleetFiles::create(1)?;
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let identity = ReplicaIdentity { name: "controller-0".to_owned(), id: options.seed.max(1) };
    write_folder(&files.state_folder(0), identity, &address.to_string())?;
    let (snapshot_bytes, log_bytes) = file_sizes(&files.state_folder(0))?;
    let controller_options = files.controller(0, &[address])?;
    let memory_before = to_float(resident_bytes()?) / MEGABYTE;
    let thread = RoleThread::start("restart")?;
    let peak = PeakSampler::start()?;
    let (begun, cpu) = (Instant::now(), thread.processor_time()?);
    let handle = thread
        .run(async move {
            let listener = TcpListener::from_std(listener)?;
            controller::start_on(controller_options, listener).await.map_err(setup)
        })
        .await??;
    let load = begun.elapsed();
    let ready = || {
        handle.replica().view().leads && handle.replica().state().history().revision() == CHANGES
    };
    while !ready() {
        if begun.elapsed() > START_LIMIT {
            return Err(setup("the restarted controller did not lead"));
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let lead = begun.elapsed();
    let cpu = thread.processor_time()?.saturating_sub(cpu);
    // Later allocations, such as the next snapshot, count as well.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let memory_peak = to_float(peak.finish()) / MEGABYTE;
    thread.run(handle.kill()).await?;
    Ok(RestartFigures {
        snapshot_bytes,
        log_bytes,
        memory_before,
        memory_peak,
        load_ms: load.as_secs_f64() * MILLI,
        lead_ms: lead.as_secs_f64() * MILLI,
        cpu_ms: cpu.as_secs_f64() * MILLI,
    })
}

fn file_sizes(folder: &Path) -> Result<(f64, f64), BenchError> {
    let (mut snapshot, mut log) = (0, 0);
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        let size = entry.metadata()?.len();
        snapshot += if name.starts_with("snapshot-") { size } else { 0 };
        log += if name.starts_with("log-") { size } else { 0 };
    }
    Ok((to_float(snapshot), to_float(log)))
}

/// Writes what a controller leaves behind just before its next snapshot is
/// due, which is the longest log that a restart replays.
fn write_folder(folder: &Path, identity: ReplicaIdentity, address: &str) -> Result<(), BenchError> {
    let members = ReplicaMembers::single(identity.clone(), address);
    let limits = ReplicaOptions::new(identity.clone());
    let kept = limits.trailing_entries;
    let mut state = ControlState::default();
    let (mut store, _) =
        LogStore::open(DiskFolder::new(folder), identity, members.clone()).map_err(setup)?;
    let last_snapshot = CHANGES - limits.snapshot_entries + 1;
    let mut tail = Vec::new();
    let vote = TermVote { term: 1, vote: None };
    for index in 1..=CHANGES {
        let entry = entry_of(index);
        state.apply(&entry);
        if index > last_snapshot - kept {
            tail.push(entry);
        }
        if index == last_snapshot {
            let meta = SnapshotMeta { index, term: 1, members: members.clone() };
            let bytes = Arc::new(state.to_snapshot().map_err(setup)?);
            let snapshot = SnapshotData { meta, bytes };
            store.save_snapshot(&snapshot, vote, &[]).map_err(setup)?;
            tail.clear();
        }
    }
    store.append(None, &tail).map_err(setup)?;
    store.sync().map_err(setup)
}

fn entry_of(index: u64) -> LogEntry {
    let place = usize::try_from(index).unwrap_or(0);
    let weight = 1 + u32::try_from(index % 97).unwrap_or(0);
    let command = ControlCommand::EditTable {
        edit: EditIdentity { operator: "bench".to_owned(), id: format!("edit-{index}") },
        base_revision: index - 1,
        changes: vec![RowChange::Put { row: row_of(place % ROWS, weight, 8) }],
    };
    LogEntry { index, term: 1, time_ms: index, command }
}
