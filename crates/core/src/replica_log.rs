//! The log of a replica as it is held in memory.

use crate::control_command::ControlCommand;
use crate::replica_members::ReplicaMembers;
use crate::replica_messages::{APPEND_BYTES_LIMIT, LogEntry, SnapshotMeta};
use std::collections::VecDeque;

/// Entries after a base position, with the membership history of that part.
#[derive(Clone, Debug)]
pub struct ReplicaLog {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<(LogEntry, usize)>,
    bytes: usize,
    /// Memberships by the index of their entry; the first one is in force at the base.
    membership_history: Vec<(u64, ReplicaMembers)>,
}

impl ReplicaLog {
    /// Builds the log from a snapshot position and the entries after it.
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

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.base_index, |(entry, _)| entry.index)
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |(entry, _)| entry.term)
    }

    /// Index before the first entry that is held.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Size of the held entries in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base_index + 1)?).ok()
    }

    /// The entry at `index`, if held.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?).map(|(entry, _)| entry)
    }

    /// Term of the entry at `index`, if known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entries after `index`.
    pub fn entries_after(&self, index: u64) -> Vec<LogEntry> {
        let start = self.position(index + 1).unwrap_or(0);
        self.entries.iter().skip(start).map(|(entry, _)| entry.clone()).collect()
    }

    /// Entries from `index` that fit in one append.
    pub fn batch_from(&self, index: u64) -> Vec<LogEntry> {
        let Some(start) = self.position(index) else { return Vec::new() };
        let mut bytes = 0;
        let batch = self.entries.iter().skip(start).take_while(|(_, size)| {
            bytes += size;
            bytes <= APPEND_BYTES_LIMIT
        });
        batch.map(|(entry, _)| entry.clone()).collect()
    }

    /// Appends an entry; its index must follow the last one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let ControlCommand::Members { members } = &entry.command {
            self.membership_history.push((entry.index, members.clone()));
        }
        let size = entry.encoded_len();
        self.bytes += size;
        self.entries.push_back((entry, size));
    }

    /// Removes the entries from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some((_, size)) = self.entries.pop_back() else { break };
            self.bytes -= size;
        }
        self.membership_history.retain(|record| record.0 < index || record.0 <= self.base_index);
    }

    /// First index of the run of entries with the term of `index`.
    pub fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Drops entries up to `index`.
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

    /// The membership in force: the last one in the log, committed or not.
    pub fn members(&self) -> &ReplicaMembers {
        &self.membership_history[self.membership_history.len() - 1].1
    }

    /// Index of the entry that set the membership in force.
    pub fn members_index(&self) -> u64 {
        self.membership_history[self.membership_history.len() - 1].0
    }

    /// The membership in force at `index`.
    pub fn members_at(&self, index: u64) -> &ReplicaMembers {
        let record = self.membership_history.iter().rev().find(|record| record.0 <= index);
        &record.unwrap_or(&self.membership_history[0]).1
    }
}
