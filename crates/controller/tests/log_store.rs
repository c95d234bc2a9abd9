//! Tests of the log store on disk and on an in-memory folder with injected faults.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod faulty_folder;

use baobabfall_controller::disk_folder::{DataFolder, DiskFolder};
use baobabfall_controller::log_store::LogStore;
use baobabfall_controller::record_codec::{FrameRead, read_frame};
use baobabfall_controller::store_error::StoreError::{self, SyncFailed};
use baobabfall_core::control_command::ControlCommand;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_events::StoredReplica;
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_core::replica_messages::{LogEntry, SnapshotData, SnapshotMeta, TermVote};
use faulty_folder::{EIO, ENOSPC, EROFS, FaultyFolder};
use quickcheck::{Arbitrary, Gen};
use std::sync::Arc;

const LOG: &str = "log-00000000000000000000.bin";

fn identity() -> ReplicaIdentity {
    ReplicaIdentity { name: "controller-1".into(), id: 7 }
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { index, term, time_ms: index, command: ControlCommand::Blank }
}

fn vote(term: u64) -> TermVote {
    TermVote { term, vote: Some(7) }
}

fn snapshot(index: u64) -> SnapshotData {
    let meta = SnapshotMeta { index, term: 1, members: ReplicaMembers::default() };
    SnapshotData { meta, bytes: Arc::new(vec![5; 300]) }
}

fn indexes(stored: &StoredReplica) -> Vec<u64> {
    stored.entries.iter().map(|entry| entry.index).collect()
}

fn open<F: DataFolder>(folder: F) -> Result<(LogStore<F>, StoredReplica), StoreError> {
    LogStore::open(folder, identity(), ReplicaMembers::single(identity(), "here"))
}

/// A folder with the entries 1 to 4, each in its own frame and synced.
fn folder_with_entries() -> FaultyFolder {
    let folder = FaultyFolder::default();
    let (mut store, _) = open(folder.clone()).unwrap();
    for index in 1..=4 {
        store.append(Some(vote(index)), &[entry(index, index)]).unwrap();
        store.sync().unwrap();
    }
    folder.lose_power(0);
    folder
}

/// Like [`folder_with_entries`], with `bytes` as the content of its log.
fn folder_with_log(bytes: &[u8]) -> FaultyFolder {
    let folder = folder_with_entries();
    folder.file(LOG).unwrap().borrow_mut().bytes = bytes.to_vec();
    folder
}

/// Byte offset of the end of each complete frame of a log.
fn frame_ends(bytes: &[u8]) -> Vec<usize> {
    let mut ends = Vec::new();
    while let FrameRead::Complete(_, next) = read_frame(bytes, ends.last().copied().unwrap_or(0)) {
        ends.push(next);
    }
    ends
}

/// Guards against a store that refuses or misreads a log whose last write was interrupted. The log
/// is truncated at every byte of its last two records.
#[test]
fn log_truncated_at_any_byte_keeps_complete_records() {
    let bytes = folder_with_entries().read(LOG).unwrap();
    let ends = frame_ends(&bytes);
    assert_eq!((ends.len(), *ends.last().unwrap()), (5, bytes.len()));
    for cut in ends[2]..bytes.len() {
        let folder = folder_with_log(&bytes[..cut]);
        let (mut store, stored) = open(folder.clone()).unwrap();
        let complete_count = ends.iter().filter(|end| **end <= cut).count() as u64 - 1;
        assert_eq!(indexes(&stored), (1..=complete_count).collect::<Vec<_>>(), "cut at {cut}");
        assert_eq!(stored.term_vote, vote(complete_count));
        store.append(None, &[entry(complete_count + 1, 9)]).unwrap();
        store.sync().unwrap();
        folder.lose_power(0);
        assert_eq!(indexes(&open(folder).unwrap().1).len() as u64, complete_count + 1);
    }
}

/// Guards against damage that is taken for an interrupted write, which would drop stored entries.
/// Every bit before the last record is flipped, and every bit of the last one while the `synced`
/// file says that it was synced.
#[test]
fn flipped_bit_is_reported_as_damage() {
    let bytes = folder_with_entries().read(LOG).unwrap();
    let tail = frame_ends(&bytes)[3];
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let folder = folder_with_log(&flipped);
        if bit / 8 >= tail {
            let mut sync_marker = [0; 20];
            sync_marker[8..16].copy_from_slice(&(bytes.len() as u64).to_le_bytes());
            let checksum = crc32fast::hash(&sync_marker[..16]);
            sync_marker[16..].copy_from_slice(&checksum.to_le_bytes());
            folder.overwrite("synced", &sync_marker).unwrap();
        }
        let error = open(folder).err().expect("a flipped bit must be detected");
        assert_eq!(error.kind(), ErrorKind::StorageDamaged, "bit {bit}: {error}");
    }
}

/// Guards against a damaged snapshot that is loaded without an error.
#[test]
fn flipped_bit_of_snapshot_is_reported_as_damage() {
    let name = "snapshot-00000000000000000000.bin";
    let bytes = folder_with_entries().read(name).unwrap();
    for bit in 0..bytes.len() * 8 {
        let folder = folder_with_entries();
        folder.file(name).unwrap().borrow_mut().bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(matches!(open(folder), Err(StoreError::Damaged { .. })), "bit {bit}");
    }
}

/// Guards against the loss of synced entries, and against entries that were never written, when the
/// power fails at any operation and any part of the unsynced bytes survives.
#[test]
fn power_loss_at_any_operation_keeps_synced_entries() {
    let mut generator = Gen::from_size_and_seed(30, 5);
    for run in 0..400 {
        let folder = FaultyFolder::default();
        let (mut store, _) = open(folder.clone()).unwrap();
        folder.0.borrow_mut().operations_until_power_loss =
            Some(usize::arbitrary(&mut generator) % 60);
        let (mut last_written, mut synced, mut generation, mut synced_term) = (0, 0, 0, 0);
        while last_written < 200 {
            for _ in 0..u8::arbitrary(&mut generator) % 4 {
                last_written += 1;
                store.append(Some(vote(last_written)), &[entry(last_written, 1)]).unwrap();
            }
            let result = if u8::arbitrary(&mut generator) % 4 == 0 && synced > generation {
                let tail: Vec<_> = (synced + 1..=last_written).map(|i| entry(i, 1)).collect();
                generation = synced;
                store.save_snapshot(&snapshot(synced), vote(last_written), &tail)
            } else {
                store.sync()
            };
            if result.is_err() {
                break;
            }
            (synced, synced_term) = (last_written, last_written);
        }
        drop(store);
        folder.lose_power(usize::arbitrary(&mut generator) % 120);
        let (_, stored) = open(folder).unwrap_or_else(|error| panic!("run {run}: {error}"));
        let first = stored.snapshot.meta.index;
        let last = stored.entries.last().map_or(first, |entry| entry.index);
        assert!(
            (synced..=last_written).contains(&last),
            "run {run}: {last} not in {synced} to {last_written}"
        );
        assert_eq!(indexes(&stored), (first + 1..=last).collect::<Vec<_>>());
        assert!((synced_term..=last_written).contains(&stored.term_vote.term), "run {run}");
    }
}

/// Guards against a record that is lost because the disk was full for a while, and against one that
/// counts as stored although its sync failed.
#[test]
fn full_disk_is_retried_and_failed_sync_poisons_the_store() {
    let folder = FaultyFolder::default();
    let (mut store, _) = open(folder.clone()).unwrap();
    store.append(None, &[entry(1, 1)]).unwrap();
    folder.0.borrow_mut().fault = Some((0, ENOSPC));
    assert!(matches!(store.sync(), Err(StoreError::DiskFull { .. })));
    store.append(None, &[entry(2, 1)]).unwrap();
    store.sync().unwrap();
    folder.lose_power(0);
    let (mut store, stored) = open(folder.clone()).unwrap();
    assert_eq!(indexes(&stored), [1, 2], "no part of the failed write may remain");
    folder.0.borrow_mut().fault = Some((1, ENOSPC));
    let snapshot_result = store.save_snapshot(&snapshot(1), vote(1), &[entry(2, 1)]);
    assert!(matches!(snapshot_result, Err(StoreError::DiskFull { .. })), "{snapshot_result:?}");
    store.save_snapshot(&snapshot(1), vote(1), &[entry(2, 1)]).unwrap();
    store.append(None, &[entry(3, 1)]).unwrap();
    folder.0.borrow_mut().fault = Some((1, EIO));
    assert!(matches!(store.sync(), Err(StoreError::SyncFailed { .. })));
    assert!(matches!(store.sync(), Err(StoreError::Poisoned)));
    assert!(matches!(store.append(None, &[]), Err(StoreError::Poisoned)));
    folder.lose_power(0);
    assert_eq!(indexes(&open(folder).unwrap().1), [2]);
}

/// Guards against a controller that ends, and comes back without room for its log, because a full
/// disk refuses even to remove what was written in part.
#[test]
fn full_disk_that_refuses_all_changes_is_retried() {
    let folder = FaultyFolder::default();
    let (mut store, _) = open(folder.clone()).unwrap();
    store.append(None, &[entry(1, 1)]).unwrap();
    folder.0.borrow_mut().full = true;
    for index in 2..5 {
        let full = store.sync();
        assert!(matches!(full, Err(StoreError::DiskFull { .. })), "{full:?}");
        store.append(None, &[entry(index, 1)]).unwrap();
    }
    let full = store.save_snapshot(&snapshot(1), vote(1), &[entry(2, 1)]);
    assert!(matches!(full, Err(StoreError::DiskFull { .. })), "{full:?}");
    folder.0.borrow_mut().full = false;
    store.sync().unwrap();
    folder.lose_power(0);
    assert_eq!(indexes(&open(folder).unwrap().1), [1, 2, 3, 4]);
}

/// Guards against a snapshot that is stored in part when the disk becomes full, so that the next
/// attempt is refused and the controller ends.
#[test]
fn save_snapshot_full_disk_at_any_operation_is_retried() {
    for operations in 0..14 {
        let folder = FaultyFolder::default();
        let (mut store, _) = open(folder.clone()).unwrap();
        store.append(None, &[entry(1, 1), entry(2, 1)]).unwrap();
        store.sync().unwrap();
        folder.0.borrow_mut().fault = Some((operations, ENOSPC));
        let mut save = || store.save_snapshot(&snapshot(1), vote(1), &[entry(2, 1)]);
        let result = match save() {
            Err(StoreError::DiskFull { .. }) => save(),
            result => result,
        };
        // A folder whose sync fails may or may not have the new names; only a restart tells.
        if let Err(error) = result {
            let SyncFailed { source, .. } = error else { panic!("{operations}: {error}") };
            assert_eq!(source.raw_os_error(), Some(ENOSPC));
            folder.lose_power(0);
            assert_eq!(indexes(&open(folder).unwrap().1).last(), Some(&2), "{operations}");
            continue;
        }
        store.append(None, &[entry(3, 1)]).unwrap();
        folder.0.borrow_mut().fault = None;
        store.sync().unwrap();
        folder.lose_power(0);
        let (_, stored) = open(folder.clone()).unwrap();
        assert_eq!((stored.snapshot.meta.index, indexes(&stored)), (1, vec![2, 3]));
        let names = folder.list().unwrap();
        assert_eq!(names.len(), 3, "old files are removed at the latest at the start: {names:?}");
    }
}

/// Guards against an error message that does not say that the folder is read-only.
#[test]
fn read_only_folder_is_reported() {
    let folder = FaultyFolder::default();
    folder.0.borrow_mut().fault = Some((0, EROFS));
    let error = open(folder).err().unwrap();
    assert!(matches!(error, StoreError::ReadOnly { .. }));
    assert!(error.to_string().contains("not writable"), "{error}");
    assert_eq!(error.kind(), ErrorKind::StorageFailed);
}

/// Guards against two processes that use one folder, and against a controller that starts on the
/// folder of another one.
#[test]
fn folder_in_use_or_of_other_controller_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    let (store, _) = open(DiskFolder::new(directory.path())).unwrap();
    let second = open(DiskFolder::new(directory.path()));
    assert!(matches!(second, Err(StoreError::Locked { .. })));
    drop(store);
    let other_identity = ReplicaIdentity { name: "controller-2".into(), id: 8 };
    let disk = DiskFolder::new(directory.path());
    let opened = LogStore::open(disk, other_identity, ReplicaMembers::default());
    assert!(matches!(opened, Err(StoreError::WrongName { .. })));
    let new_identity = ReplicaIdentity { id: 99, ..identity() };
    let disk = DiskFolder::new(directory.path());
    let (store, _) = LogStore::open(disk, new_identity, ReplicaMembers::default()).unwrap();
    assert_eq!(store.identity().id, 7, "the stored identity must be used");
}

/// Guards against replaced entries that return after a restart, and against old log and snapshot
/// files that are not removed. Runs on the real disk.
#[test]
fn snapshot_replaces_old_log_on_disk() {
    let directory = tempfile::tempdir().unwrap();
    let (mut store, _) = open(DiskFolder::new(directory.path())).unwrap();
    let entries: Vec<LogEntry> = (1..=6).map(|index| entry(index, 1)).collect();
    store.append(Some(vote(1)), &entries).unwrap();
    store.append(Some(vote(2)), &[entry(4, 2)]).unwrap();
    store.sync().unwrap();
    store.save_snapshot(&snapshot(3), vote(2), &[entry(4, 2)]).unwrap();
    let files = std::fs::read_dir(directory.path()).unwrap();
    assert_eq!(files.count(), 4, "only the lock, log, synced and snapshot files may remain");
    store.append(None, &[entry(5, 2)]).unwrap();
    store.sync().unwrap();
    drop(store);
    let (_, stored) = open(DiskFolder::new(directory.path())).unwrap();
    assert_eq!((indexes(&stored), stored.term_vote), (vec![4, 5], vote(2)));
    assert_eq!((stored.entries[0].term, stored.snapshot), (2, snapshot(3)));
}
