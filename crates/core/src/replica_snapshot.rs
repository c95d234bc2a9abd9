//! Snapshots of a replica: taking, sending, installing, and dropping entries.

use crate::replica_core::{IncomingSnapshot, ReplicaCore, ReplicaRole, SnapshotSend};
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

/// Time after which an unanswered chunk is sent again; below the election
/// timeout, because chunks stand in for heartbeats.
const CHUNK_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Entries between two snapshots that are caused by the size of the log.
const SNAPSHOT_ENTRIES_MIN: u64 = 16;

impl<R: Rng> ReplicaCore<R> {
    /// Asks for a snapshot when the log is long.
    pub(crate) fn ask_snapshot(&mut self) {
        let since = self.applied - self.snapshot.meta.index;
        let large = self.log.bytes() >= self.options.snapshot_bytes;
        let due = since >= self.options.snapshot_entries
            || (large && since >= SNAPSHOT_ENTRIES_MIN.min(self.options.snapshot_entries));
        if self.snapshot_pending || !due {
            return;
        }
        let Some(term) = self.log.term_at(self.applied) else { return };
        let members = self.log.members_at(self.applied).clone();
        self.snapshot_pending = true;
        let meta = SnapshotMeta { index: self.applied, term, members };
        self.effects.push(ReplicaEffect::TakeSnapshot(meta));
    }

    pub(crate) fn take_snapshot(&mut self, snapshot: SnapshotData) {
        if snapshot.meta.index <= self.snapshot.meta.index {
            self.snapshot_pending = false;
            return;
        }
        self.snapshot = snapshot;
        self.store_snapshot(false);
    }

    fn store_snapshot(&mut self, restore: bool) {
        self.flush_writes();
        let sequence = self.next_write(true);
        self.effects.push(ReplicaEffect::StoreSnapshot {
            sequence,
            snapshot: self.snapshot.clone(),
            term_vote: self.term_vote,
            tail: self.log.after(self.snapshot.meta.index),
            restore,
        });
    }

    /// Drops entries that the stored snapshot contains, but for some that
    /// replicas may still lack.
    pub(crate) fn compact_log(&mut self) {
        self.snapshot_pending = false;
        let index = self.snapshot.meta.index;
        self.log.drop_until(index.saturating_sub(self.options.trailing_entries));
        while self.log.bytes() > self.options.snapshot_bytes / 2 && self.log.base_index() < index {
            self.log.drop_until(self.log.base_index() + 1);
        }
    }

    /// Sends the current part of the snapshot to a peer that needs it.
    pub(crate) fn send_chunk(&mut self, id: u64, now: Duration) {
        let index = self.snapshot.meta.index;
        let sent_at = self.next_stamp(now);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let offset = match peer.snapshot {
            Some(sending) if sending.index == index => {
                if sending.sent_at + CHUNK_RESEND_INTERVAL > now {
                    return;
                }
                sending.offset
            }
            _ => 0,
        };
        peer.snapshot = Some(SnapshotSend { index, offset, sent_at: now });
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

    pub(crate) fn take_chunk(
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
        peer.note_ack(answer.sent_at, led_since);
        self.settle_reads();
        let Some(peer) = self.peers.get_mut(&from.id) else { return };
        let Some(sending) = peer.snapshot.filter(|sending| sending.index == answer.index) else {
            return;
        };
        if answer.index == self.snapshot.meta.index && answer.received < total {
            if answer.received != sending.offset {
                peer.snapshot = Some(SnapshotSend {
                    offset: answer.received,
                    sent_at: Duration::ZERO,
                    ..sending
                });
                self.send_chunk(from.id, now);
            }
            return;
        }
        peer.snapshot = None;
        peer.next = peer.next.max(answer.index + 1);
        self.send_append(from.id, now, true);
    }

    pub(crate) fn answer_chunk(
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
            return self.send_held(from, MessageBody::SnapshotAnswer(answer));
        }
        if self.role == ReplicaRole::Leader {
            return;
        }
        self.hear_leader(&from, now);
        let received = self.take_bytes(chunk);
        let answer = SnapshotAnswer { index, received, sent_at };
        self.send_held(from, MessageBody::SnapshotAnswer(answer));
    }

    /// Adds a chunk and returns the number of bytes held.
    fn take_bytes(&mut self, chunk: SnapshotChunk) -> u64 {
        if chunk.meta.index <= self.commit {
            self.incoming = None;
            return chunk.total;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.meta == chunk.meta => incoming,
            _ => IncomingSnapshot { meta: chunk.meta, bytes: Vec::new() },
        };
        let held = u64::try_from(incoming.bytes.len()).unwrap_or(u64::MAX);
        if chunk.offset != held {
            self.incoming = Some(incoming);
            return held;
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        let held = u64::try_from(incoming.bytes.len()).unwrap_or(u64::MAX);
        if held < chunk.total {
            self.incoming = Some(incoming);
        } else {
            self.install(incoming);
        }
        held
    }

    fn install(&mut self, incoming: IncomingSnapshot) {
        let meta = incoming.meta;
        self.flush_writes();
        if self.log.term_at(meta.index) == Some(meta.term) {
            self.log.drop_until(meta.index);
        } else {
            self.forget_synced(self.commit + 1);
            self.log = ReplicaLog::new(&meta, Vec::new());
        }
        self.commit = meta.index;
        self.applied = meta.index;
        self.verified = self.verified.max(meta.index);
        self.snapshot = SnapshotData { meta, bytes: Arc::new(incoming.bytes) };
        self.store_snapshot(true);
        self.sync_role();
    }
}
