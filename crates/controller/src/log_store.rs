//! Durable storage of a replica: one snapshot and one log per generation.
//!
//! A generation is numbered by the log index of its snapshot. `snapshot-N.bin` holds the
//! snapshot; `log-N.bin` holds the replica's identity, term, vote and the log entries after the
//! snapshot. A new generation is complete on disk before the old one is removed. All records
//! appended between two syncs form one frame, so an interrupted write damages only the last
//! frame of a file.

use crate::disk_folder::{DataFile, DataFolder};
use crate::record_codec::{FrameRead, has_frame_after, push_frame, read_frame};
use crate::store_error::StoreError;
use baobabfall_core::replica_events::StoredReplica;
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_core::replica_messages::{LogEntry, SnapshotData, SnapshotMeta, TermVote};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// File that holds the generation and the length up to which its log is known to be synced.
const SYNCED_LENGTH_FILE: &str = "synced";

/// First record of a log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LogHeader {
    identity: ReplicaIdentity,
    snapshot_index: u64,
}

#[derive(Serialize)]
enum RecordRef<'a> {
    TermVote(TermVote),
    Entry(&'a LogEntry),
}

#[derive(Deserialize)]
enum Record {
    TermVote(TermVote),
    Entry(LogEntry),
}

/// Storage of one replica. See the module documentation for the layout of the files.
#[derive(Debug)]
pub struct LogStore<F: DataFolder> {
    folder: F,
    identity: ReplicaIdentity,
    generation: u64,
    file: F::File,
    length: usize,
    pending: Vec<u8>,
    /// True while the file holds bytes after `length`, of a write that failed.
    torn: bool,
    poisoned: bool,
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation:020}.bin")
}

fn log_name(generation: u64) -> String {
    format!("log-{generation:020}.bin")
}

fn generations(names: &[String], prefix: &str) -> Vec<u64> {
    let generation_of =
        |name: &String| name.strip_prefix(prefix)?.strip_suffix(".bin")?.parse().ok();
    names.iter().filter_map(generation_of).collect()
}

/// True if a folder with these names has never stored a log, so that no replica has used it. The
/// first log file is written last, so a process that ended while it created its files leaves a
/// first snapshot at most. Other names, such as `lost+found`, say nothing.
pub fn is_unused(names: &[String]) -> bool {
    let is_later = |snapshot: &u64| *snapshot > 0;
    generations(names, "log-").is_empty() && !generations(names, "snapshot-").iter().any(is_later)
}

fn damaged(file: &str, offset: usize, detail: impl Into<String>) -> StoreError {
    StoreError::Damaged { file: file.to_owned(), offset, detail: detail.into() }
}

fn decode<T: DeserializeOwned>(file: &str, offset: usize, bytes: &[u8]) -> Result<T, StoreError> {
    rmp_serde::from_slice(bytes).map_err(|error| damaged(file, offset, error.to_string()))
}

fn encode<T: Serialize>(target: &mut Vec<u8>, value: &T) -> Result<(), StoreError> {
    rmp_serde::encode::write(target, value)
        .map_err(|error| StoreError::Unencodable(error.to_string()))
}

fn encode_frame(target: &mut Vec<u8>, payload: &[u8]) -> Result<(), StoreError> {
    push_frame(target, payload).map_err(|error| StoreError::Unencodable(error.to_string()))
}

impl<F: DataFolder> LogStore<F> {
    /// Locks the folder and loads the replica that it stores.
    ///
    /// In an empty folder, a new replica is created with the given identity and membership.
    /// Otherwise the stored identity is used, and its name must equal the given name.
    ///
    /// ```
    /// use baobabfall_controller::disk_folder::DiskFolder;
    /// use baobabfall_controller::log_store::LogStore;
    /// use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
    /// use baobabfall_core::replica_messages::TermVote;
    /// let folder = tempfile::tempdir().unwrap();
    /// let identity = ReplicaIdentity { name: "controller-1".into(), id: 7 };
    /// let members = ReplicaMembers::single(identity.clone(), "10.0.0.1:7400");
    /// let disk = DiskFolder::new(folder.path());
    /// let (mut store, _) = LogStore::open(disk, identity.clone(), members.clone()).unwrap();
    /// store.append(Some(TermVote { term: 1, vote: Some(7) }), &[]).unwrap();
    /// store.sync().unwrap();
    /// drop(store);
    /// let disk = DiskFolder::new(folder.path());
    /// let (_, stored) = LogStore::open(disk, identity, members).unwrap();
    /// assert_eq!(stored.term_vote.term, 1);
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the folder is locked, can't be read or written, holds damaged data or data of
    /// another format version, or belongs to a controller with another name.
    pub fn open(
        mut folder: F,
        identity: ReplicaIdentity,
        members: ReplicaMembers,
    ) -> Result<(Self, StoredReplica), StoreError> {
        let label = folder.label();
        folder.lock().map_err(|error| StoreError::from_io(&label, error))?;
        let names = folder.list().map_err(|error| StoreError::from_io(&label, error))?;
        let logs = generations(&names, "log-");
        let snapshots = generations(&names, "snapshot-");
        let complete = logs.iter().copied().filter(|log| snapshots.contains(log)).max();
        let Some(generation) = complete else {
            if !is_unused(&names) {
                return Err(damaged(&label, 0, "no snapshot has a matching log file"));
            }
            return Self::create(folder, identity, StoredReplica::empty(members));
        };
        let (store, stored) = Self::load(folder, identity, generation)?;
        store.remove_other_files(&names)?;
        Ok((store, stored))
    }

    fn create(
        folder: F,
        identity: ReplicaIdentity,
        stored: StoredReplica,
    ) -> Result<(Self, StoredReplica), StoreError> {
        let (file, length) = write_generation(&folder, &identity, &stored)?;
        let pending = Vec::new();
        let store = Self {
            folder,
            identity,
            generation: 0,
            file,
            length,
            pending,
            torn: false,
            poisoned: false,
        };
        store.write_synced_length();
        Ok((store, stored))
    }

    fn load(
        folder: F,
        identity: ReplicaIdentity,
        generation: u64,
    ) -> Result<(Self, StoredReplica), StoreError> {
        let snapshot = read_snapshot(&folder, generation)?;
        let name = log_name(generation);
        let bytes = folder.read(&name).map_err(|error| StoreError::from_io(&name, error))?;
        let synced_length = read_synced_length(&folder, generation);
        let mut reader = LogReader::new(&name, snapshot);
        let length = reader.read_all(&bytes, synced_length)?;
        let header = reader.header.ok_or_else(|| damaged(&name, 0, "the file is empty"))?;
        if header.identity.name != identity.name {
            let stored = header.identity.name;
            return Err(StoreError::WrongName { stored, name: identity.name });
        }
        let mut file =
            folder.open(&name, false).map_err(|error| StoreError::from_io(&name, error))?;
        if length < bytes.len() {
            log::warn!(
                "removing an incomplete record of {} bytes at byte {length} of {name}, left by an interrupted write",
                bytes.len() - length
            );
            let intact_length = u64::try_from(length).unwrap_or(u64::MAX);
            file.truncate(intact_length).map_err(|error| StoreError::from_io(&name, error))?;
        }
        // An earlier process may have written records and file names without syncing them. They
        // are treated as durable from here on, so sync them now.
        file.sync()
            .and_then(|()| folder.sync())
            .map_err(|source| StoreError::SyncFailed { file: name.clone(), source })?;
        let identity = header.identity;
        let pending = Vec::new();
        let store = Self {
            folder,
            identity,
            generation,
            file,
            length,
            pending,
            torn: false,
            poisoned: false,
        };
        store.write_synced_length();
        Ok((store, reader.stored))
    }

    /// Identity of the replica, as stored in the folder.
    pub fn identity(&self) -> &ReplicaIdentity {
        &self.identity
    }

    /// Length in bytes of the synced part of the current log file.
    pub fn log_bytes(&self) -> usize {
        self.length
    }

    /// Buffers records that the next [`LogStore::sync`] writes. An entry replaces all stored
    /// entries from its index on.
    ///
    /// # Errors
    ///
    /// Returns `Poisoned` after a failed sync.
    pub fn append(
        &mut self,
        term_vote: Option<TermVote>,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        encode_records(&mut self.pending, term_vote, entries)
    }

    /// Writes and syncs all records appended since the last call.
    ///
    /// # Errors
    ///
    /// After `DiskFull` the records stay buffered and the next call retries the write. After
    /// `SyncFailed` the store refuses all further writes, because the operating system may have
    /// discarded the data that it could not write.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let name = log_name(self.generation);
        let mut bytes = Vec::with_capacity(self.pending.len() + 16);
        encode_frame(&mut bytes, &self.pending)?;
        self.remove_torn_write()?;
        if let Err(error) = self.file.append(&bytes) {
            self.torn = true;
            // A full disk may refuse this too; the next call tries it again.
            match self.remove_torn_write() {
                Ok(()) | Err(StoreError::DiskFull { .. }) => {}
                Err(_) => self.poisoned = true,
            }
            return Err(StoreError::from_io(&name, error));
        }
        if let Err(source) = self.file.sync() {
            self.poisoned = true;
            return Err(StoreError::SyncFailed { file: name, source });
        }
        self.length += bytes.len();
        self.pending.clear();
        self.write_synced_length();
        Ok(())
    }

    fn remove_torn_write(&mut self) -> Result<(), StoreError> {
        if self.torn {
            let name = log_name(self.generation);
            let length = u64::try_from(self.length).unwrap_or(u64::MAX);
            self.file.truncate(length).map_err(|error| StoreError::from_io(&name, error))?;
            self.torn = false;
        }
        Ok(())
    }

    /// Stores a snapshot and the entries after it as a new generation, then removes the old one.
    ///
    /// Records that were appended but not synced are discarded, so `term_vote` and `tail` must
    /// include them. The snapshot must be newer than the stored one.
    ///
    /// # Errors
    ///
    /// After `DiskFull` the old generation stays in use and the call can be retried. After
    /// `SyncFailed` the store refuses all further writes.
    pub fn save_snapshot(
        &mut self,
        snapshot: &SnapshotData,
        term_vote: TermVote,
        tail: &[LogEntry],
    ) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        let (old, generation) = (self.generation, snapshot.meta.index);
        if generation <= old {
            let detail = format!("snapshot {generation} is not newer than snapshot {old}");
            return Err(StoreError::Unencodable(detail));
        }
        let stored =
            StoredReplica { term_vote, snapshot: snapshot.clone(), entries: tail.to_vec() };
        let written = write_generation(&self.folder, &self.identity, &stored);
        let (file, length) = written.inspect_err(|error| {
            self.poisoned = matches!(error, StoreError::SyncFailed { .. });
        })?;
        self.file = file;
        self.length = length;
        self.generation = generation;
        self.torn = false;
        self.pending.clear();
        self.write_synced_length();
        match self.remove_old_files() {
            Err(error @ StoreError::DiskFull { .. }) => {
                // The next snapshot or the next start removes them.
                log::warn!(event = "old_files_kept"; "old files of the log were not removed: {error}");
                Ok(())
            }
            result => result.inspect_err(|_| self.poisoned = true),
        }
    }

    /// Removes the files of other generations.
    fn remove_old_files(&self) -> Result<(), StoreError> {
        let label = self.folder.label();
        let names = self.folder.list().map_err(|error| StoreError::from_io(&label, error))?;
        self.remove_other_files(&names)?;
        self.folder.sync().map_err(|source| match StoreError::from_io(&label, source) {
            StoreError::Other { file, source } => StoreError::SyncFailed { file, source },
            error => error,
        })
    }

    fn remove(&self, name: &str) -> Result<(), StoreError> {
        self.folder.remove(name).map_err(|error| StoreError::from_io(name, error))
    }

    fn remove_other_files(&self, names: &[String]) -> Result<(), StoreError> {
        let current = [log_name(self.generation), snapshot_name(self.generation)];
        let is_store_file = |name: &&String| {
            let stored = name.starts_with("log-") || name.starts_with("snapshot-");
            stored && (name.ends_with(".bin") || name.ends_with(".tmp"))
        };
        for name in names.iter().filter(is_store_file).filter(|name| !current.contains(name)) {
            self.remove(name)?;
        }
        Ok(())
    }

    /// Records the length up to which the log is synced. At the next start, a broken record within
    /// that length is damage, and one after it may be an interrupted write. The file itself isn't
    /// synced and errors are ignored: an outdated or missing value only lets more damage of the
    /// last record pass as an interrupted write.
    fn write_synced_length(&self) {
        let length = u64::try_from(self.length).unwrap_or(u64::MAX);
        let mut marker = [0; 20];
        marker[..8].copy_from_slice(&self.generation.to_le_bytes());
        marker[8..16].copy_from_slice(&length.to_le_bytes());
        let checksum = crc32fast::hash(&marker[..16]);
        marker[16..].copy_from_slice(&checksum.to_le_bytes());
        drop(self.folder.overwrite(SYNCED_LENGTH_FILE, &marker));
    }
}

/// Writes the snapshot and the log of a generation. Returns the open log file and its length.
fn write_generation<F: DataFolder>(
    folder: &F,
    identity: &ReplicaIdentity,
    stored: &StoredReplica,
) -> Result<(F::File, usize), StoreError> {
    let generation = stored.snapshot.meta.index;
    let mut bytes = Vec::with_capacity(stored.snapshot.bytes.len() + 256);
    let mut meta = Vec::new();
    encode(&mut meta, &stored.snapshot.meta)?;
    encode_frame(&mut bytes, &meta)?;
    encode_frame(&mut bytes, &stored.snapshot.bytes)?;
    write_file(folder, &snapshot_name(generation), &bytes)?;
    // Term, vote and entries are in the same frame as the header, because a broken first frame is
    // always reported as damage and never treated as an interrupted write.
    let mut records = Vec::new();
    encode(&mut records, &LogHeader { identity: identity.clone(), snapshot_index: generation })?;
    encode_records(&mut records, Some(stored.term_vote), &stored.entries)?;
    let mut bytes = Vec::new();
    encode_frame(&mut bytes, &records)?;
    let file = write_file(folder, &log_name(generation), &bytes).inspect_err(|error| {
        if !matches!(error, StoreError::SyncFailed { .. }) {
            // Free the disk space. A snapshot without a log file is never loaded.
            drop(folder.remove(&snapshot_name(generation)));
        }
    })?;
    Ok((file, bytes.len()))
}

/// Creates a file atomically: writes and syncs it under a temporary name, renames it and syncs the
/// folder.
fn write_file<F: DataFolder>(folder: &F, name: &str, bytes: &[u8]) -> Result<F::File, StoreError> {
    let temporary = format!("{name}.tmp");
    let failed = |error| StoreError::from_io(&temporary, error);
    let unsynced = |source| StoreError::SyncFailed { file: name.to_owned(), source };
    let mut file = folder.open(&temporary, true).map_err(failed)?;
    if let Err(error) = file.append(bytes) {
        // If the removal fails too, the next start removes the file.
        drop(folder.remove(&temporary));
        return Err(failed(error));
    }
    file.sync().map_err(unsynced)?;
    folder.rename(&temporary, name).map_err(failed)?;
    folder.sync().map_err(unsynced)?;
    Ok(file)
}

/// Reads the recorded synced length of a generation's log; 0 if there is no valid record of it.
fn read_synced_length<F: DataFolder>(folder: &F, generation: u64) -> usize {
    let marker = folder.read(SYNCED_LENGTH_FILE).unwrap_or_default();
    let Ok(marker) = <[u8; 20]>::try_from(marker) else { return 0 };
    let field_value = |start: usize| {
        let mut field = [0; 8];
        field.copy_from_slice(&marker[start..start + 8]);
        u64::from_le_bytes(field)
    };
    let valid = crc32fast::hash(&marker[..16]).to_le_bytes() == marker[16..];
    match valid && field_value(0) == generation {
        true => usize::try_from(field_value(8)).unwrap_or(0),
        false => 0,
    }
}

fn encode_records(
    target: &mut Vec<u8>,
    term_vote: Option<TermVote>,
    entries: &[LogEntry],
) -> Result<(), StoreError> {
    if let Some(term_vote) = term_vote {
        encode(target, &RecordRef::TermVote(term_vote))?;
    }
    entries.iter().try_for_each(|entry| encode(target, &RecordRef::Entry(entry)))
}

fn read_snapshot<F: DataFolder>(folder: &F, generation: u64) -> Result<SnapshotData, StoreError> {
    let name = snapshot_name(generation);
    let bytes = folder.read(&name).map_err(|error| StoreError::from_io(&name, error))?;
    let (meta, next) = expect_frame(&name, &bytes, 0)?;
    let (content, end) = expect_frame(&name, &bytes, next)?;
    let meta: SnapshotMeta = decode(&name, 0, meta)?;
    if end != bytes.len() || meta.index != generation {
        return Err(damaged(&name, 0, "the content does not match the file name or length"));
    }
    Ok(SnapshotData { meta, bytes: Arc::new(content.to_vec()) })
}

fn expect_frame<'a>(
    name: &str,
    bytes: &'a [u8],
    offset: usize,
) -> Result<(&'a [u8], usize), StoreError> {
    match read_frame(bytes, offset) {
        FrameRead::Complete(payload, next) => Ok((payload, next)),
        FrameRead::OtherVersion(version) => {
            Err(StoreError::UnsupportedVersion { file: name.to_owned(), version })
        }
        FrameRead::Broken(detail) => Err(damaged(name, offset, detail)),
        FrameRead::End => Err(damaged(name, offset, "a record is missing")),
    }
}

/// Rebuilds the stored state of a replica from the frames of a log file.
struct LogReader<'a> {
    name: &'a str,
    header: Option<LogHeader>,
    stored: StoredReplica,
}

impl<'a> LogReader<'a> {
    fn new(name: &'a str, snapshot: SnapshotData) -> Self {
        let stored =
            StoredReplica { term_vote: TermVote::default(), snapshot, entries: Vec::new() };
        Self { name, header: None, stored }
    }

    /// Replays all frames and returns the length of the intact part. A broken frame is treated as
    /// an interrupted write only if it lies after the synced part and no intact frame follows it;
    /// otherwise the log is damaged.
    fn read_all(&mut self, bytes: &[u8], synced_length: usize) -> Result<usize, StoreError> {
        if bytes.len() < synced_length {
            return Err(damaged(self.name, bytes.len(), "synced bytes at the end are missing"));
        }
        let mut offset = 0;
        loop {
            match read_frame(bytes, offset) {
                FrameRead::Complete(payload, next) => {
                    self.replay_frame(offset, payload)?;
                    offset = next;
                }
                FrameRead::End => return Ok(offset),
                FrameRead::Broken(detail) => {
                    if offset < synced_length || has_frame_after(bytes, offset) {
                        return Err(damaged(self.name, offset, detail));
                    }
                    return Ok(offset);
                }
                FrameRead::OtherVersion(version) => {
                    let file = self.name.to_owned();
                    return Err(StoreError::UnsupportedVersion { file, version });
                }
            }
        }
    }

    fn replay_frame(&mut self, offset: usize, payload: &[u8]) -> Result<(), StoreError> {
        let mut rest = payload;
        if self.header.is_none() {
            let header: LogHeader = rmp_serde::from_read(&mut rest)
                .map_err(|error| damaged(self.name, offset, error.to_string()))?;
            if header.snapshot_index != self.stored.snapshot.meta.index {
                return Err(damaged(self.name, offset, "the log belongs to another snapshot"));
            }
            self.header = Some(header);
        }
        while !rest.is_empty() {
            let record = rmp_serde::from_read(&mut rest)
                .map_err(|error| damaged(self.name, offset, error.to_string()))?;
            self.replay_record(offset, record)?;
        }
        Ok(())
    }

    fn replay_record(&mut self, offset: usize, record: Record) -> Result<(), StoreError> {
        let entry = match record {
            Record::TermVote(term_vote) => {
                self.stored.term_vote = term_vote;
                return Ok(());
            }
            Record::Entry(entry) => entry,
        };
        let first = self.stored.snapshot.meta.index + 1;
        let position = entry.index.checked_sub(first).and_then(|index| usize::try_from(index).ok());
        match position {
            // The snapshot already contains the entry.
            None => Ok(()),
            Some(kept) if kept <= self.stored.entries.len() => {
                self.stored.entries.truncate(kept);
                self.stored.entries.push(entry);
                Ok(())
            }
            Some(_) => Err(damaged(self.name, offset, "entries before this record are missing")),
        }
    }
}
