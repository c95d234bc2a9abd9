//! The in-memory log of a replica.

use crate::control_command::ControlCommand;
use crate::replica_members::ReplicaMembers;
use crate::replica_messages::{APPEND_BYTES_LIMIT, LogEntry, SnapshotMeta};
use std::collections::VecDeque;

/// Entries after a base position, with the memberships that they set.
#[derive(Clone, Debug)]
pub struct ReplicaLog {
    base_index: u64,
    base_term: u64,
    /// Entries with their encoded size in bytes.
    entries: VecDeque<(LogEntry, usize)>,
    bytes: usize,
    /// Memberships with the index of their entry; the first one applies at the base.
    membership_history: Vec<(u64, ReplicaMembers)>,
}

impl ReplicaLog {
    /// Creates the log from the metadata of a snapshot, whose index becomes the
    /// base, and the entries after it.
    pub fn new(meta: &SnapshotMeta, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            base_index: meta.index,
            base_term: meta.term,
            entries: VecDeque::new(),
            bytes: 0,
            membership_history: vec![(meta.index, meta.members.clone())],
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Index of the last entry, or the base index if the log has no entries.
    pub fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.base_index, |(entry, _)| entry.index)
    }

    /// Term of the last entry, or of the entry at the base if the log has none.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |(entry, _)| entry.term)
    }

    /// Index before the first entry of the log; a snapshot covers the entries up to
    /// it.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Encoded size of all entries in the log, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base_index + 1)?).ok()
    }

    /// The entry at `index`. `None` up to the base and after the last entry.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?).map(|(entry, _)| entry)
    }

    /// Term of the entry at `index`, also for the base. `None` before the base and
    /// after the last entry.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// All entries after `index`, or the whole log if `index` is before the base.
    pub fn entries_after(&self, index: u64) -> Vec<LogEntry> {
        let start = self.position(index + 1).unwrap_or(0);
        self.entries.iter().skip(start).map(|(entry, _)| entry.clone()).collect()
    }

    /// Entries from `index` on that fit into [`APPEND_BYTES_LIMIT`].
    pub fn batch_from(&self, index: u64) -> Vec<LogEntry> {
        let Some(start) = self.position(index) else { return Vec::new() };
        let mut bytes = 0;
        let batch = self.entries.iter().skip(start).take_while(|(_, size)| {
            bytes += size;
            bytes <= APPEND_BYTES_LIMIT
        });
        batch.map(|(entry, _)| entry.clone()).collect()
    }

    /// Appends an entry, whose index must be the one after the last.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let ControlCommand::Members { members } = &entry.command {
            self.membership_history.push((entry.index, members.clone()));
        }
        let size = entry.encoded_len();
        self.bytes += size;
        self.entries.push_back((entry, size));
    }

    /// Removes the entries from `index` on and the memberships that they set.
    pub fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some((_, size)) = self.entries.pop_back() else { break };
            self.bytes -= size;
        }
        self.membership_history.retain(|record| record.0 < index || record.0 <= self.base_index);
    }

    /// First index of the consecutive entries that have the same term as the entry at
    /// `index`, as far as the log holds them.
    pub fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Drops the entries up to and including `index`, which becomes the base.
    pub fn drop_through(&mut self, index: u64) {
        let index = index.min(self.last_index());
        while self.base_index < index {
            let Some((entry, size)) = self.entries.pop_front() else { break };
            self.bytes -= size;
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        while self.membership_history.len() > 1 && self.membership_history[1].0 <= self.base_index {
            self.membership_history.remove(0);
        }
    }

    /// The current membership: the last one in the log, committed or not.
    pub fn members(&self) -> &ReplicaMembers {
        &self.membership_history[self.membership_history.len() - 1].1
    }

    /// Index of the entry that set the current membership, or of the snapshot that
    /// the log started from if no entry since then has set one.
    pub fn members_index(&self) -> u64 {
        self.membership_history[self.membership_history.len() - 1].0
    }

    /// The membership that applied at `index`, or the oldest known one if `index` is
    /// before that.
    pub fn members_at(&self, index: u64) -> &ReplicaMembers {
        let record = self.membership_history.iter().rev().find(|record| record.0 <= index);
        &record.unwrap_or(&self.membership_history[0]).1
    }
}
