//! Thread that writes and syncs, so that slow disks do not delay heartbeats.

use crate::disk_folder::DataFolder;
use crate::log_store::LogStore;
use crate::store_error::StoreError;
use baobabfall_core::replica_messages::{LogEntry, SnapshotData, TermVote};
use std::sync::mpsc as blocking;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Pause before a write is repeated on a full disk.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(500);

/// One write.
#[derive(Debug)]
pub enum StorageJob {
    /// Append records.
    Persist {
        /// Sequence number of the write.
        sequence: u64,
        /// Term and vote, when changed.
        term_vote: Option<TermVote>,
        /// Entries to append.
        entries: Vec<LogEntry>,
    },
    /// Replace the log by a snapshot and the entries after it.
    Snapshot {
        /// Sequence number of the write.
        sequence: u64,
        /// The snapshot.
        snapshot: SnapshotData,
        /// Term and vote.
        term_vote: TermVote,
        /// Entries after the snapshot.
        tail: Vec<LogEntry>,
    },
}

/// Result of one sync.
#[derive(Debug)]
pub enum StorageDone {
    /// Everything up to this sequence number is synced.
    Synced(u64),
    /// Storage failed for good.
    Failed(String),
}

/// Sending side of the writes.
#[derive(Debug)]
pub struct StorageQueue(blocking::Sender<StorageJob>);

impl StorageQueue {
    /// Adds a write; when the thread has ended its failure was reported.
    pub fn push(&self, job: StorageJob) {
        let _ = self.0.send(job);
    }
}

/// The queue of the storage thread, its results, and its end, after which it
/// writes no more.
pub type StorageParts = (StorageQueue, mpsc::UnboundedReceiver<StorageDone>, oneshot::Receiver<()>);

/// Starts the thread that owns the store.
///
/// The thread ends when the queue is dropped; the store's lock on the folder
/// is released then.
pub fn start_storage<F>(store: LogStore<F>) -> std::io::Result<StorageParts>
where
    F: DataFolder + Send + 'static,
    F::File: Send,
{
    let (jobs, queue) = blocking::channel();
    let (done, results) = mpsc::unbounded_channel();
    let (ending, ended) = oneshot::channel();
    std::thread::Builder::new().name("log-store".to_owned()).spawn(move || {
        if let Err(error) = run_storage(store, &queue, &done) {
            let _ = done.send(StorageDone::Failed(error.to_string()));
        }
        // `run_storage` has closed the files by now.
        let _ = ending.send(());
    })?;
    Ok((StorageQueue(jobs), results, ended))
}

fn run_storage<F: DataFolder>(
    mut store: LogStore<F>,
    queue: &blocking::Receiver<StorageJob>,
    done: &mpsc::UnboundedSender<StorageDone>,
) -> Result<(), StoreError> {
    while let Ok(first) = queue.recv() {
        // Writes that arrived during the last sync share the next one.
        let mut last = write(&mut store, first)?;
        while let Ok(job) = queue.try_recv() {
            last = write(&mut store, job)?;
        }
        repeat_while_full(|| store.sync())?;
        if done.send(StorageDone::Synced(last)).is_err() {
            return Ok(());
        }
    }
    Ok(())
}

fn write<F: DataFolder>(store: &mut LogStore<F>, job: StorageJob) -> Result<u64, StoreError> {
    match job {
        StorageJob::Persist { sequence, term_vote, entries } => {
            store.append(term_vote, &entries)?;
            Ok(sequence)
        }
        StorageJob::Snapshot { sequence, snapshot, term_vote, tail } => {
            repeat_while_full(|| store.save_snapshot(&snapshot, term_vote, &tail))?;
            Ok(sequence)
        }
    }
}

fn repeat_while_full(
    mut operation: impl FnMut() -> Result<(), StoreError>,
) -> Result<(), StoreError> {
    loop {
        match operation() {
            Err(error @ StoreError::DiskFull { .. }) => {
                log::error!(event = "disk_full"; "{error}");
                std::thread::sleep(FULL_DISK_PAUSE);
            }
            result => return result,
        }
    }
}
