//! Thread that writes and syncs the log, so that a slow disk doesn't delay heartbeats.

use crate::disk_folder::DataFolder;
use crate::log_store::LogStore;
use crate::store_error::StoreError;
use baobabfall_core::replica_messages::{LogEntry, SnapshotData, TermVote};
use std::sync::mpsc as blocking;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Delay before a write is retried on a full disk.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A write for the storage thread. Jobs are written in the order in which they are queued.
#[derive(Debug)]
pub enum StorageJob {
    /// Appends records to the log.
    Persist {
        /// Sequence number of the write, reported back in [`StorageResult::Synced`].
        sequence: u64,
        /// Term and vote, if they changed.
        term_vote: Option<TermVote>,
        /// Entries to append; the first one replaces stored entries from its index on.
        entries: Vec<LogEntry>,
    },
    /// Replaces the whole log by a snapshot and the entries after it.
    Snapshot {
        /// Sequence number of the write, reported back in [`StorageResult::Synced`].
        sequence: u64,
        /// State machine and membership as of the snapshot's index.
        snapshot: SnapshotData,
        /// Current term and vote.
        term_vote: TermVote,
        /// Log entries after the snapshot's index.
        tail: Vec<LogEntry>,
    },
}

/// Result that the storage thread reports after each sync.
#[derive(Debug)]
pub enum StorageResult {
    /// All writes up to this sequence number are durable.
    Synced(u64),
    /// Storage failed permanently, with this error message. The thread has ended.
    Failed(String),
}

/// Queue of writes for the storage thread.
#[derive(Debug)]
pub struct StorageQueue(blocking::Sender<StorageJob>);

impl StorageQueue {
    /// Queues a write. After the thread has ended, the write is dropped; the failure that ended
    /// the thread has been reported as [`StorageResult::Failed`].
    pub fn push(&self, job: StorageJob) {
        let _ = self.0.send(job);
    }
}

/// Job queue of the storage thread, receiver of its results, and a receiver that resolves once
/// the thread has closed its files.
pub type StorageParts =
    (StorageQueue, mpsc::UnboundedReceiver<StorageResult>, oneshot::Receiver<()>);

/// Starts the thread that owns the store.
///
/// The thread ends when the queue is dropped. The lock on the data folder is released then.
pub fn start_storage<F>(store: LogStore<F>) -> std::io::Result<StorageParts>
where
    F: DataFolder + Send + 'static,
    F::File: Send,
{
    let (job_sender, job_receiver) = blocking::channel();
    let (result_sender, results) = mpsc::unbounded_channel();
    let (stopped_sender, stopped) = oneshot::channel();
    std::thread::Builder::new().name("log-store".to_owned()).spawn(move || {
        if let Err(error) = run_storage(store, &job_receiver, &result_sender) {
            let _ = result_sender.send(StorageResult::Failed(error.to_string()));
        }
        // `run_storage` owned the store, so the files are closed at this point.
        let _ = stopped_sender.send(());
    })?;
    Ok((StorageQueue(job_sender), results, stopped))
}

fn run_storage<F: DataFolder>(
    mut store: LogStore<F>,
    job_receiver: &blocking::Receiver<StorageJob>,
    result_sender: &mpsc::UnboundedSender<StorageResult>,
) -> Result<(), StoreError> {
    while let Ok(first) = job_receiver.recv() {
        // Jobs that were queued during the last sync share the next sync.
        let mut last_sequence = apply_job(&mut store, first)?;
        while let Ok(job) = job_receiver.try_recv() {
            last_sequence = apply_job(&mut store, job)?;
        }
        retry_while_disk_full(|| store.sync())?;
        if result_sender.send(StorageResult::Synced(last_sequence)).is_err() {
            return Ok(());
        }
    }
    Ok(())
}

fn apply_job<F: DataFolder>(store: &mut LogStore<F>, job: StorageJob) -> Result<u64, StoreError> {
    match job {
        StorageJob::Persist { sequence, term_vote, entries } => {
            store.append(term_vote, &entries)?;
            Ok(sequence)
        }
        StorageJob::Snapshot { sequence, snapshot, term_vote, tail } => {
            retry_while_disk_full(|| store.save_snapshot(&snapshot, term_vote, &tail))?;
            Ok(sequence)
        }
    }
}

fn retry_while_disk_full(
    mut operation: impl FnMut() -> Result<(), StoreError>,
) -> Result<(), StoreError> {
    loop {
        match operation() {
            Err(error @ StoreError::DiskFull { .. }) => {
                log::error!(event = "disk_full"; "{error}");
                std::thread::sleep(DISK_FULL_RETRY_DELAY);
            }
            result => return result,
        }
    }
}
