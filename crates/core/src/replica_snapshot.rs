//! Snapshots: when to take one, sending and installing them, and the removal of
//! log entries that they cover.

use crate::replica_core::{IncomingSnapshot, ReplicaCore, ReplicaRole, SnapshotTransfer};
use crate::replica_events::ReplicaEffect;
use crate::replica_log::ReplicaLog;
use crate::replica_members::ReplicaIdentity;
use crate::replica_messages::{
    MessageBody, SNAPSHOT_BYTES_LIMIT, SNAPSHOT_CHUNK_BYTES, SnapshotAnswer, SnapshotChunk,
    SnapshotData, SnapshotMeta,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unanswered chunk is sent again. It must be shorter than the
/// election timeout, because chunks replace heartbeats during a transfer.
const CHUNK_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum number of entries between two snapshots that are taken because of the
/// size of the log in bytes.
const SNAPSHOT_ENTRIES_MIN: u64 = 16;

impl<R: Rng> ReplicaCore<R> {
    /// Requests a snapshot once enough entries were applied since the last one, or the
    /// log takes enough memory.
    pub(crate) fn request_snapshot_if_due(&mut self) {
        let entries_since_snapshot = self.applied_index - self.snapshot.meta.index;
        let large = self.log.bytes() >= self.options.snapshot_bytes;
        let due = entries_since_snapshot >= self.options.snapshot_entries
            || (large
                && entries_since_snapshot
                    >= SNAPSHOT_ENTRIES_MIN.min(self.options.snapshot_entries));
        if self.snapshot_pending || !due {
            return;
        }
        let Some(term) = self.log.term_at(self.applied_index) else { return };
        let members = self.log.members_at(self.applied_index).clone();
        self.snapshot_pending = true;
        let meta = SnapshotMeta { index: self.applied_index, term, members };
        self.effects.push(ReplicaEffect::TakeSnapshot(meta));
    }

    pub(crate) fn on_snapshot_taken(&mut self, snapshot: SnapshotData) {
        if snapshot.meta.index <= self.snapshot.meta.index {
            self.snapshot_pending = false;
            return;
        }
        self.snapshot = snapshot;
        self.store_snapshot(false);
    }

    fn store_snapshot(&mut self, restore: bool) {
        self.flush_writes();
        let sequence = self.register_write(true);
        self.effects.push(ReplicaEffect::StoreSnapshot {
            sequence,
            snapshot: self.snapshot.clone(),
            term_vote: self.term_vote,
            tail: self.log.entries_after(self.snapshot.meta.index),
            restore,
        });
    }

    /// Drops the entries that the stored snapshot contains, except for the last ones,
    /// which lagging replicas may still need. Drops those as well while the log takes
    /// more than half of the memory at which a snapshot is taken.
    pub(crate) fn compact_log(&mut self) {
        self.snapshot_pending = false;
        let index = self.snapshot.meta.index;
        self.log.drop_through(index.saturating_sub(self.options.trailing_entries));
        while self.log.bytes() > self.options.snapshot_bytes / 2 && self.log.base_index() < index {
            self.log.drop_through(self.log.base_index() + 1);
        }
    }

    /// Sends the current chunk of the latest snapshot to a peer that lacks entries
    /// which the log no longer has.
    pub(crate) fn send_snapshot_chunk(&mut self, id: u64, now: Duration) {
        let index = self.snapshot.meta.index;
        let sent_at = self.next_send_time(now);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let offset = match peer.snapshot_transfer {
            Some(transfer) if transfer.index == index => {
                if transfer.sent_at + CHUNK_RESEND_INTERVAL > now {
                    return;
                }
                transfer.offset
            }
            _ => 0,
        };
        peer.snapshot_transfer = Some(SnapshotTransfer { index, offset, sent_at: now });
        let to = peer.identity.clone();
        let bytes = &self.snapshot.bytes;
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(bytes.len());
        let chunk = SnapshotChunk {
            meta: self.snapshot.meta.clone(),
            offset,
            total: u64::try_from(bytes.len()).unwrap_or(u64::MAX),
            bytes: bytes[start..end].to_vec(),
            sent_at,
        };
        self.send(to, MessageBody::Snapshot(chunk));
    }

    pub(crate) fn on_chunk_answer(
        &mut self,
        now: Duration,
        from: &ReplicaIdentity,
        term: u64,
        answer: SnapshotAnswer,
    ) {
        if term > self.term() {
            return self.adopt_term(term, now);
        }
        if term < self.term() || self.role != ReplicaRole::Leader {
            return;
        }
        let total = u64::try_from(self.snapshot.bytes.len()).unwrap_or(u64::MAX);
        let led_since = self.led_since;
        let Some(peer) = self.peers.get_mut(&from.id).filter(|peer| peer.identity == *from) else {
            return;
        };
        peer.record_ack(answer.sent_at, led_since);
        self.complete_reads();
        let Some(peer) = self.peers.get_mut(&from.id) else { return };
        let Some(transfer) =
            peer.snapshot_transfer.filter(|transfer| transfer.index == answer.index)
        else {
            return;
        };
        if answer.index == self.snapshot.meta.index && answer.received < total {
            if answer.received != transfer.offset {
                peer.snapshot_transfer = Some(SnapshotTransfer {
                    offset: answer.received,
                    sent_at: Duration::ZERO,
                    ..transfer
                });
                self.send_snapshot_chunk(from.id, now);
            }
            return;
        }
        peer.snapshot_transfer = None;
        peer.next_index = peer.next_index.max(answer.index + 1);
        self.send_append(from.id, now, true);
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        now: Duration,
        from: ReplicaIdentity,
        term: u64,
        chunk: SnapshotChunk,
    ) {
        if term > self.term() {
            self.adopt_term(term, now);
        }
        let sent_at = chunk.sent_at;
        let index = chunk.meta.index;
        if term < self.term() || chunk.total > SNAPSHOT_BYTES_LIMIT {
            let answer = SnapshotAnswer { index, received: 0, sent_at: Duration::ZERO };
            return self.send_after_vote_sync(from, MessageBody::SnapshotAnswer(answer));
        }
        if self.role == ReplicaRole::Leader {
            return;
        }
        self.record_leader_contact(&from, now);
        let received = self.add_chunk(chunk);
        let answer = SnapshotAnswer { index, received, sent_at };
        self.send_after_vote_sync(from, MessageBody::SnapshotAnswer(answer));
    }

    /// Adds a chunk to the incoming snapshot, and installs the snapshot once it is
    /// complete. Returns the number of bytes received; for a snapshot that this
    /// replica does not need, that is its whole size.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> u64 {
        if chunk.meta.index <= self.commit_index {
            self.incoming_snapshot = None;
            return chunk.total;
        }
        let mut incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.meta == chunk.meta => incoming,
            _ => IncomingSnapshot { meta: chunk.meta, bytes: Vec::new() },
        };
        let received_bytes = u64::try_from(incoming.bytes.len()).unwrap_or(u64::MAX);
        if chunk.offset != received_bytes {
            self.incoming_snapshot = Some(incoming);
            return received_bytes;
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        let received_bytes = u64::try_from(incoming.bytes.len()).unwrap_or(u64::MAX);
        if received_bytes < chunk.total {
            self.incoming_snapshot = Some(incoming);
        } else {
            self.install_snapshot(incoming);
        }
        received_bytes
    }

    fn install_snapshot(&mut self, incoming: IncomingSnapshot) {
        let meta = incoming.meta;
        self.flush_writes();
        if self.log.term_at(meta.index) == Some(meta.term) {
            self.log.drop_through(meta.index);
        } else {
            self.mark_unsynced_from(self.commit_index + 1);
            self.log = ReplicaLog::new(&meta, Vec::new());
        }
        self.commit_index = meta.index;
        self.applied_index = meta.index;
        self.verified_index = self.verified_index.max(meta.index);
        self.snapshot = SnapshotData { meta, bytes: Arc::new(incoming.bytes) };
        self.store_snapshot(true);
        self.update_own_role();
    }
}
