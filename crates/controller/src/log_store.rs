//! Durable storage of a replica: one snapshot and one log per generation.
//!
//! A generation is named after the index of its snapshot. `snapshot-N.bin`
//! holds the snapshot, `log-N.bin` the replica's identity, term, vote and the
//! entries after it. A new generation is complete on disk before the old one
//! is removed. Everything that is appended between two syncs is one frame, so
//! a write that was cut off damages only the last frame of a file.

use crate::disk_folder::{DataFile, DataFolder};
use crate::record_codec::{FrameRead, has_frame_after, push_frame, read_frame};
use crate::store_error::StoreError;
use baobabfall_core::replica_events::StoredReplica;
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_core::replica_messages::{LogEntry, SnapshotData, SnapshotMeta, TermVote};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// File that notes up to where the log is known to be synced.
const NOTE_NAME: &str = "synced";

/// First record of a log.
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

/// Storage of one replica; see the module documentation.
#[derive(Debug)]
pub struct LogStore<F: DataFolder> {
    folder: F,
    identity: ReplicaIdentity,
    generation: u64,
    file: F::File,
    length: usize,
    pending: Vec<u8>,
    poisoned: bool,
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation:020}.bin")
}

fn log_name(generation: u64) -> String {
    format!("log-{generation:020}.bin")
}

fn generations(names: &[String], prefix: &str) -> Vec<u64> {
    let number = |name: &String| name.strip_prefix(prefix)?.strip_suffix(".bin")?.parse().ok();
    names.iter().filter_map(number).collect()
}

fn damaged(file: &str, offset: usize, what: impl Into<String>) -> StoreError {
    StoreError::Damaged { file: file.to_owned(), offset, what: what.into() }
}

fn decode<T: DeserializeOwned>(file: &str, offset: usize, bytes: &[u8]) -> Result<T, StoreError> {
    rmp_serde::from_slice(bytes).map_err(|error| damaged(file, offset, error.to_string()))
}

fn encode<T: Serialize>(target: &mut Vec<u8>, value: &T) -> Result<(), StoreError> {
    rmp_serde::encode::write(target, value)
        .map_err(|error| StoreError::Unencodable(error.to_string()))
}

fn frame(target: &mut Vec<u8>, payload: &[u8]) -> Result<(), StoreError> {
    push_frame(target, payload).map_err(|error| StoreError::Unencodable(error.to_string()))
}

impl<F: DataFolder> LogStore<F> {
    /// Opens the folder and reads what it holds.
    ///
    /// An empty folder becomes the storage of a new replica with the given
    /// identity and membership; otherwise the stored identity counts, whose
    /// name must be the given one.
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
    /// Each way in which the folder cannot be used is one [`StoreError`].
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
            if !logs.is_empty() || snapshots.iter().any(|snapshot| *snapshot > 0) {
                return Err(damaged(&label, 0, "no snapshot has its log beside it"));
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
        let store =
            Self { folder, identity, generation: 0, file, length, pending, poisoned: false };
        store.write_note();
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
        let synced = read_note(&folder, generation);
        let mut reader = LogReader::new(&name, snapshot);
        let length = reader.read_all(&bytes, synced)?;
        let header = reader.header.ok_or_else(|| damaged(&name, 0, "it is empty"))?;
        if header.identity.name != identity.name {
            let stored = header.identity.name;
            return Err(StoreError::WrongName { stored, name: identity.name });
        }
        let mut file =
            folder.open(&name, false).map_err(|error| StoreError::from_io(&name, error))?;
        if length < bytes.len() {
            log::warn!(
                "cut an incomplete record of {} bytes at byte {length} of {name}, left by an interrupted write",
                bytes.len() - length
            );
            let cut = u64::try_from(length).unwrap_or(u64::MAX);
            file.truncate(cut).map_err(|error| StoreError::from_io(&name, error))?;
        }
        // Also syncs records and names that an earlier process wrote but did
        // not sync, because they count as stored from here on.
        file.sync()
            .and_then(|()| folder.sync())
            .map_err(|source| StoreError::SyncFailed { file: name.clone(), source })?;
        let identity = header.identity;
        let pending = Vec::new();
        let store = Self { folder, identity, generation, file, length, pending, poisoned: false };
        store.write_note();
        Ok((store, reader.stored))
    }

    /// Identity stored with the data.
    pub fn identity(&self) -> &ReplicaIdentity {
        &self.identity
    }

    /// Size of the log file in bytes.
    pub fn log_bytes(&self) -> usize {
        self.length
    }

    /// Adds records to the next sync. An entry replaces the stored ones from
    /// its index on.
    ///
    /// # Errors
    ///
    /// `Poisoned` after a failed sync.
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

    /// Writes and syncs everything that was appended.
    ///
    /// # Errors
    ///
    /// After `DiskFull` the records are kept and the next call repeats the
    /// write. After `SyncFailed` the store is poisoned, because the operating
    /// system may have dropped what it could not write.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let name = log_name(self.generation);
        let mut bytes = Vec::with_capacity(self.pending.len() + 16);
        frame(&mut bytes, &self.pending)?;
        if let Err(error) = self.file.append(&bytes) {
            let length = u64::try_from(self.length).unwrap_or(u64::MAX);
            self.poisoned = self.file.truncate(length).is_err();
            return Err(StoreError::from_io(&name, error));
        }
        if let Err(source) = self.file.sync() {
            self.poisoned = true;
            return Err(StoreError::SyncFailed { file: name, source });
        }
        self.length += bytes.len();
        self.pending.clear();
        self.write_note();
        Ok(())
    }

    /// Stores a snapshot with the entries after it, then removes the old log.
    ///
    /// Term, vote and entries must include what was appended before, and the
    /// snapshot must be newer than the stored one.
    ///
    /// # Errors
    ///
    /// After `DiskFull` the old generation stays in use and the call can be
    /// repeated; after `SyncFailed` the store is poisoned.
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
            let what = format!("snapshot {generation} is not newer than snapshot {old}");
            return Err(StoreError::Unencodable(what));
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
        self.pending.clear();
        self.write_note();
        self.remove(&log_name(old))?;
        self.remove(&snapshot_name(old))?;
        self.folder.sync().map_err(|source| {
            self.poisoned = true;
            StoreError::SyncFailed { file: self.folder.label(), source }
        })
    }

    fn remove(&self, name: &str) -> Result<(), StoreError> {
        self.folder.remove(name).map_err(|error| StoreError::from_io(name, error))
    }

    fn remove_other_files(&self, names: &[String]) -> Result<(), StoreError> {
        let kept = [log_name(self.generation), snapshot_name(self.generation)];
        let ours = |name: &&String| {
            let stored = name.starts_with("log-") || name.starts_with("snapshot-");
            stored && (name.ends_with(".bin") || name.ends_with(".tmp"))
        };
        for name in names.iter().filter(ours).filter(|name| !kept.contains(name)) {
            self.remove(name)?;
        }
        Ok(())
    }

    /// Notes the synced length without syncing the note. It tells damage of
    /// the last record from an interrupted write; an older note or none only
    /// makes that distinction weaker, so a failure is ignored.
    fn write_note(&self) {
        let length = u64::try_from(self.length).unwrap_or(u64::MAX);
        let mut note = [0; 20];
        note[..8].copy_from_slice(&self.generation.to_le_bytes());
        note[8..16].copy_from_slice(&length.to_le_bytes());
        let check = crc32fast::hash(&note[..16]);
        note[16..].copy_from_slice(&check.to_le_bytes());
        drop(self.folder.overwrite(NOTE_NAME, &note));
    }
}

/// Writes snapshot and log of a generation; returns the log and its length.
fn write_generation<F: DataFolder>(
    folder: &F,
    identity: &ReplicaIdentity,
    stored: &StoredReplica,
) -> Result<(F::File, usize), StoreError> {
    let generation = stored.snapshot.meta.index;
    let mut bytes = Vec::with_capacity(stored.snapshot.bytes.len() + 256);
    let mut meta = Vec::new();
    encode(&mut meta, &stored.snapshot.meta)?;
    frame(&mut bytes, &meta)?;
    frame(&mut bytes, &stored.snapshot.bytes)?;
    write_file(folder, &snapshot_name(generation), &bytes)?;
    // Term, vote and entries share the frame of the header, which is never
    // taken for an interrupted write.
    let mut records = Vec::new();
    encode(&mut records, &LogHeader { identity: identity.clone(), snapshot_index: generation })?;
    encode_records(&mut records, Some(stored.term_vote), &stored.entries)?;
    let mut bytes = Vec::new();
    frame(&mut bytes, &records)?;
    let file = write_file(folder, &log_name(generation), &bytes).inspect_err(|error| {
        if !matches!(error, StoreError::SyncFailed { .. }) {
            // Frees the space; without its log the snapshot is not used.
            drop(folder.remove(&snapshot_name(generation)));
        }
    })?;
    Ok((file, bytes.len()))
}

/// Writes a file under a temporary name, syncs it, renames it and syncs the
/// folder.
fn write_file<F: DataFolder>(folder: &F, name: &str, bytes: &[u8]) -> Result<F::File, StoreError> {
    let temporary = format!("{name}.tmp");
    let failed = |error| StoreError::from_io(&temporary, error);
    let unsynced = |source| StoreError::SyncFailed { file: name.to_owned(), source };
    let mut file = folder.open(&temporary, true).map_err(failed)?;
    if let Err(error) = file.append(bytes) {
        // If this fails too, the next start removes the file.
        drop(folder.remove(&temporary));
        return Err(failed(error));
    }
    file.sync().map_err(unsynced)?;
    folder.rename(&temporary, name).map_err(failed)?;
    folder.sync().map_err(unsynced)?;
    Ok(file)
}

/// Length of the log that the note says is synced; 0 without a valid note.
fn read_note<F: DataFolder>(folder: &F, generation: u64) -> usize {
    let note = folder.read(NOTE_NAME).unwrap_or_default();
    let Ok(note) = <[u8; 20]>::try_from(note) else { return 0 };
    let number = |start: usize| {
        let mut field = [0; 8];
        field.copy_from_slice(&note[start..start + 8]);
        u64::from_le_bytes(field)
    };
    let valid = crc32fast::hash(&note[..16]).to_le_bytes() == note[16..];
    match valid && number(0) == generation {
        true => usize::try_from(number(8)).unwrap_or(0),
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
    let (meta, next) = whole_frame(&name, &bytes, 0)?;
    let (content, end) = whole_frame(&name, &bytes, next)?;
    let meta: SnapshotMeta = decode(&name, 0, meta)?;
    if end != bytes.len() || meta.index != generation {
        return Err(damaged(&name, 0, "its content does not fit its name and length"));
    }
    Ok(SnapshotData { meta, bytes: Arc::new(content.to_vec()) })
}

fn whole_frame<'a>(
    name: &str,
    bytes: &'a [u8],
    offset: usize,
) -> Result<(&'a [u8], usize), StoreError> {
    match read_frame(bytes, offset) {
        FrameRead::Complete(payload, next) => Ok((payload, next)),
        FrameRead::OtherVersion(version) => {
            Err(StoreError::UnsupportedVersion { file: name.to_owned(), version })
        }
        FrameRead::Broken(what) => Err(damaged(name, offset, what)),
        FrameRead::End => Err(damaged(name, offset, "a record is missing")),
    }
}

/// Replays the frames of a log file.
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

    /// Reads every frame and returns the length of the intact part. Only a
    /// broken frame with nothing intact behind it and beyond the part that was
    /// synced counts as an interrupted write.
    fn read_all(&mut self, bytes: &[u8], synced: usize) -> Result<usize, StoreError> {
        if bytes.len() < synced {
            return Err(damaged(self.name, bytes.len(), "the file is shorter than it was"));
        }
        let mut offset = 0;
        loop {
            match read_frame(bytes, offset) {
                FrameRead::Complete(payload, next) => {
                    self.take_frame(offset, payload)?;
                    offset = next;
                }
                FrameRead::End => return Ok(offset),
                FrameRead::Broken(what) => {
                    if offset < synced || has_frame_after(bytes, offset) {
                        return Err(damaged(self.name, offset, what));
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

    fn take_frame(&mut self, offset: usize, payload: &[u8]) -> Result<(), StoreError> {
        let mut rest = payload;
        if self.header.is_none() {
            let header: LogHeader = rmp_serde::from_read(&mut rest)
                .map_err(|error| damaged(self.name, offset, error.to_string()))?;
            if header.snapshot_index != self.stored.snapshot.meta.index {
                return Err(damaged(self.name, offset, "it belongs to another snapshot"));
            }
            self.header = Some(header);
        }
        while !rest.is_empty() {
            let record = rmp_serde::from_read(&mut rest)
                .map_err(|error| damaged(self.name, offset, error.to_string()))?;
            self.take_record(offset, record)?;
        }
        Ok(())
    }

    fn take_record(&mut self, offset: usize, record: Record) -> Result<(), StoreError> {
        let entry = match record {
            Record::TermVote(term_vote) => {
                self.stored.term_vote = term_vote;
                return Ok(());
            }
            Record::Entry(entry) => entry,
        };
        let first = self.stored.snapshot.meta.index + 1;
        let held = entry.index.checked_sub(first).and_then(|place| usize::try_from(place).ok());
        match held {
            // The snapshot contains the entry.
            None => Ok(()),
            Some(place) if place <= self.stored.entries.len() => {
                self.stored.entries.truncate(place);
                self.stored.entries.push(entry);
                Ok(())
            }
            Some(_) => Err(damaged(self.name, offset, "entries before this one are missing")),
        }
    }
}
