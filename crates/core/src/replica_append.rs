//! Replication of log entries: the leader's appends, the followers' answers, and
//! the commit index.

use crate::replica_core::{HEARTBEAT_INTERVAL, ReplicaCore, ReplicaRole};
use crate::replica_members::ReplicaIdentity;
use crate::replica_messages::{AppendAnswer, AppendRequest, MessageBody};
use rand::Rng;
use std::time::Duration;

impl<R: Rng> ReplicaCore<R> {
    /// Sends each peer the entries that it lacks. With `heartbeat`, every peer gets
    /// an append, even if it lacks no entries.
    pub(crate) fn send_append_to_peers(&mut self, now: Duration, heartbeat: bool) {
        if heartbeat {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        }
        let ids: Vec<u64> = self.peers.keys().copied().collect();
        for id in ids {
            self.send_append(id, now, heartbeat);
        }
    }

    pub(crate) fn send_append(&mut self, id: u64, now: Duration, heartbeat: bool) {
        let last = self.log.last_index();
        let sent_at = self.next_send_time(now);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if !heartbeat && peer.next_index > last {
            return;
        }
        let Some(previous_term) = self.log.term_at(peer.next_index - 1) else {
            return self.send_snapshot_chunk(id, now);
        };
        let entries = self.log.batch_from(peer.next_index);
        let previous_index = peer.next_index - 1;
        peer.snapshot_transfer = None;
        // Assumes that the entries arrive. If they are lost, the peer rejects a later
        // append, and its answer moves the position back.
        peer.next_index = entries.last().map_or(peer.next_index, |entry| entry.index + 1);
        let to = peer.identity.clone();
        let commit = self.commit_index;
        let request = AppendRequest { previous_index, previous_term, entries, commit, sent_at };
        self.send(to, MessageBody::Append(request));
    }

    pub(crate) fn on_append(
        &mut self,
        now: Duration,
        from: ReplicaIdentity,
        term: u64,
        request: AppendRequest,
    ) {
        let sent_at = request.sent_at;
        if term < self.term() {
            // The sender may have restarted and lead a later term by now. Its clock started
            // anew, so the send time of the old message must not count towards its lease.
            let sent_at = Duration::ZERO;
            let answer = AppendAnswer { success: false, matched: 0, hint: 0, sent_at };
            return self.send_after_vote_sync(from, MessageBody::AppendAnswer(answer));
        }
        if term > self.term() {
            self.adopt_term(term, now);
        }
        if self.role == ReplicaRole::Leader {
            return;
        }
        self.record_leader_contact(&from, now);
        let answer = match self.merge_entries(request) {
            Ok(()) => {
                self.apply_committed(now);
                AppendAnswer { success: true, matched: self.synced_match_index(), hint: 0, sent_at }
            }
            Err(hint) => {
                AppendAnswer { success: false, matched: self.synced_match_index(), hint, sent_at }
            }
        };
        self.send_after_vote_sync(from, MessageBody::AppendAnswer(answer));
    }

    /// Index up to which the log equals that of the leader and is synced.
    fn synced_match_index(&self) -> u64 {
        self.verified_index.min(self.synced_index)
    }

    /// Appends the entries that the log lacks, in place of uncommitted entries that
    /// conflict with them. If the log does not match the position before the
    /// entries, returns the index from which the leader should continue.
    fn merge_entries(&mut self, request: AppendRequest) -> Result<(), u64> {
        let previous = request.previous_index;
        // Entries up to the base of the log are committed, so they equal the leader's.
        if previous >= self.log.base_index()
            && self.log.term_at(previous) != Some(request.previous_term)
        {
            let hint = match previous > self.log.last_index() {
                true => self.log.last_index() + 1,
                false => self.log.first_index_of_term(previous),
            };
            return Err(hint.max(self.commit_index + 1));
        }
        let mut last = previous;
        for entry in request.entries {
            last = entry.index;
            if entry.index <= self.log.base_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) if entry.index <= self.commit_index => return Err(self.commit_index + 1),
                Some(_) => {
                    self.log.truncate_from(entry.index);
                    self.mark_unsynced_from(entry.index);
                }
                None => {}
            }
            self.stage_entries(entry.index);
            self.log.push(entry);
        }
        self.verified_index = self.verified_index.max(last);
        self.commit_index = self.commit_index.max(request.commit.min(self.verified_index));
        self.update_own_role();
        Ok(())
    }

    /// Reports to the leader that more entries are synced. No message of the leader
    /// is answered, so the answer carries no send time.
    pub(crate) fn report_synced_entries(&mut self) {
        if self.role == ReplicaRole::Leader {
            return;
        }
        let Some(leader) = self.leader.clone() else { return };
        let sent_at = Duration::ZERO;
        let answer =
            AppendAnswer { success: true, matched: self.synced_match_index(), hint: 0, sent_at };
        self.send_after_vote_sync(leader, MessageBody::AppendAnswer(answer));
    }

    pub(crate) fn on_append_answer(
        &mut self,
        now: Duration,
        from: &ReplicaIdentity,
        term: u64,
        answer: AppendAnswer,
    ) {
        if term > self.term() {
            return self.adopt_term(term, now);
        }
        if term < self.term() || self.role != ReplicaRole::Leader {
            return;
        }
        let last = self.log.last_index();
        let led_since = self.led_since;
        let Some(peer) = self.peers.get_mut(&from.id).filter(|peer| peer.identity == *from) else {
            return;
        };
        peer.record_ack(answer.sent_at, led_since);
        peer.match_index = peer.match_index.max(answer.matched.min(last));
        if answer.success {
            peer.next_index = peer.next_index.max(peer.match_index + 1);
        } else {
            peer.next_index = answer.hint.min(last + 1).max(peer.match_index + 1);
        }
        self.advance_commit(now);
        self.complete_reads();
        self.send_append(from.id, now, false);
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the
    /// current term. Entries of earlier terms are committed only along with such an
    /// entry, because a later leader could replace them even though a quorum has
    /// synced them.
    pub(crate) fn advance_commit(&mut self, now: Duration) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        let own_id = self.options.identity.id;
        let match_index = |id| match id == own_id {
            true => self.synced_index,
            false => self.peers.get(&id).map_or(0, |peer| peer.match_index),
        };
        let Some(index) = self.log.members().quorum_value(match_index) else { return };
        if index > self.commit_index && self.log.term_at(index) == Some(self.term()) {
            self.commit_index = index;
            self.apply_committed(now);
        }
    }
}
