//! Elections, terms, the leader lease and the order of writes of a replica.

use crate::replica_core::{
    ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, LEADER_LEASE, PeerProgress, PendingWrite,
    ReplicaCore, ReplicaRole,
};
use crate::replica_events::ReplicaEffect;
use crate::replica_members::ReplicaIdentity;
use crate::replica_messages::{MessageBody, ReplicaMessage, TermVote, VoteAnswer, VoteRequest};
use rand::Rng;
use std::time::Duration;

impl<R: Rng> ReplicaCore<R> {
    /// True while no other replica can be elected: a quorum answered
    /// heartbeats that were sent within the last 400 ms.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.role == ReplicaRole::Leader
            && self.quorum_acked(now).is_some_and(|acked| acked + LEADER_LEASE > now)
    }

    /// Latest time of which a quorum answered heartbeats sent then or later.
    fn quorum_acked(&self, now: Duration) -> Option<Duration> {
        let own = self.options.identity.id;
        let acked = |id| match id == own {
            true => Some(now),
            false => self.peers.get(&id).and_then(|peer| peer.acked_at),
        };
        self.log.members().quorum_value(acked).flatten()
    }

    /// Latest time noted in messages that a quorum answered; the replica's own
    /// word counts for every message.
    pub(crate) fn quorum_answered(&self) -> Option<Duration> {
        let own = self.options.identity.id;
        let answered = |id| match id == own {
            true => Some(Duration::MAX),
            false => self.peers.get(&id).and_then(|peer| peer.acked_at),
        };
        self.log.members().quorum_value(answered).flatten()
    }

    /// The time to note in a message to a peer. It is later than in every
    /// message before, also when the clock stood still in between, so that
    /// answers tell which messages they are to.
    pub(crate) fn next_stamp(&mut self, now: Duration) -> Duration {
        self.last_sent = now.max(self.last_sent + Duration::from_nanos(1));
        self.last_sent
    }

    pub(crate) fn quorum_is_silent(&self, now: Duration) -> bool {
        let heard = self.quorum_acked(now).unwrap_or(self.led_since).max(self.led_since);
        heard + self.quorum_timeout <= now
    }

    fn election_timeout(&mut self) -> Duration {
        let span = (ELECTION_TIMEOUT_MAX - ELECTION_TIMEOUT_MIN).as_micros();
        let span = u64::try_from(span).unwrap_or(u64::MAX);
        ELECTION_TIMEOUT_MIN + Duration::from_micros(self.random.next_u64() % (span + 1))
    }

    pub(crate) fn reset_deadline(&mut self, now: Duration) {
        self.deadline = now + self.election_timeout();
    }

    /// True while a leader may hold a lease that depends on this replica.
    fn protects_leader(&self, now: Duration) -> bool {
        match self.role {
            ReplicaRole::Leader => self.has_lease(now),
            _ => self.leader_heard + ELECTION_TIMEOUT_MIN > now,
        }
    }

    pub(crate) fn check_election(&mut self, now: Duration) {
        if now < self.deadline || self.role == ReplicaRole::Learner {
            return;
        }
        self.change_role("election_timeout");
        self.leader = None;
        self.reset_deadline(now);
        self.votes.clear();
        self.votes.insert(self.options.identity.id, ());
        let request = self.vote_request();
        for to in self.other_voters() {
            self.send_with_term(to, self.term() + 1, MessageBody::PreVote(request));
        }
        self.check_pre_votes(now);
    }

    fn vote_request(&self) -> VoteRequest {
        VoteRequest { last_index: self.log.last_index(), last_term: self.log.last_term() }
    }

    fn other_voters(&self) -> Vec<ReplicaIdentity> {
        let own = self.options.identity.id;
        let voters = self.log.members().voters().map(|member| &member.identity);
        voters.filter(|identity| identity.id != own).cloned().collect()
    }

    /// True when `from` is the voter that the membership knows by that number.
    fn is_counted(&self, from: &ReplicaIdentity) -> bool {
        let member = self.log.members().get(from.id);
        member.is_some_and(|member| member.voting && member.identity == *from)
    }

    fn log_is_current(&self, request: VoteRequest) -> bool {
        (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn answer_pre_vote(
        &mut self,
        now: Duration,
        from: ReplicaIdentity,
        term: u64,
        request: VoteRequest,
    ) {
        let granted =
            term > self.term() && !self.protects_leader(now) && self.log_is_current(request);
        let answer = VoteAnswer { asked_term: term, granted };
        self.send(from, MessageBody::PreVoteAnswer(answer));
    }

    pub(crate) fn take_pre_vote(
        &mut self,
        now: Duration,
        from: &ReplicaIdentity,
        term: u64,
        answer: VoteAnswer,
    ) {
        if term > self.term() {
            self.adopt_term(term, now);
            return;
        }
        let current = answer.granted && answer.asked_term == self.term() + 1;
        if self.role == ReplicaRole::PreCandidate && current && self.is_counted(from) {
            self.votes.insert(from.id, ());
            self.check_pre_votes(now);
        }
    }

    fn check_pre_votes(&mut self, now: Duration) {
        let members = self.log.members();
        if !members.has_quorum(|id| self.votes.contains_key(&id)) {
            return;
        }
        self.change_role("pre_vote_won");
        self.votes.clear();
        self.reset_deadline(now);
        let vote = Some(self.options.identity.id);
        self.term_vote = TermVote { term: self.term() + 1, vote };
        self.verified = self.commit;
        self.stage_vote();
        let request = self.vote_request();
        for to in self.other_voters() {
            self.send_held(to, MessageBody::Vote(request));
        }
    }

    pub(crate) fn answer_vote(
        &mut self,
        now: Duration,
        from: ReplicaIdentity,
        term: u64,
        request: VoteRequest,
    ) {
        let protected = self.protects_leader(now);
        if term > self.term() && !protected {
            self.adopt_term(term, now);
        }
        // The term may be known from another message while the vote could
        // still end a lease, so the protection counts for both.
        let free = match self.term_vote.vote {
            Some(vote) => vote == from.id,
            None => !protected,
        };
        let granted = term == self.term() && free && self.log_is_current(request);
        if granted && self.term_vote.vote.is_none() {
            self.term_vote.vote = Some(from.id);
            self.stage_vote();
            self.reset_deadline(now);
        }
        self.send_held(from, MessageBody::VoteAnswer(VoteAnswer { asked_term: term, granted }));
    }

    pub(crate) fn take_vote(
        &mut self,
        now: Duration,
        from: &ReplicaIdentity,
        term: u64,
        answer: VoteAnswer,
    ) {
        if term > self.term() {
            self.adopt_term(term, now);
            return;
        }
        let current = answer.granted && answer.asked_term == self.term();
        if self.role == ReplicaRole::Candidate && current && self.is_counted(from) {
            self.votes.insert(from.id, ());
            self.check_votes(now);
        }
    }

    fn check_votes(&mut self, now: Duration) {
        if !self.log.members().has_quorum(|id| self.votes.contains_key(&id)) {
            return;
        }
        self.change_role("vote_won");
        self.leader = Some(self.options.identity.clone());
        self.votes.clear();
        self.led_since = now;
        self.heartbeat_at = now;
        self.quorum_timeout = self.election_timeout();
        self.peers.clear();
        self.sync_peers();
        self.append_term_start();
    }

    /// Keeps one progress record per other member.
    pub(crate) fn sync_peers(&mut self) {
        let own = self.options.identity.id;
        let next = self.log.last_index() + 1;
        let members = self.log.members();
        self.peers.retain(|id, _| members.get(*id).is_some());
        for member in members.iter().filter(|member| member.identity.id != own) {
            self.peers.get_or_insert_with(member.identity.id, || PeerProgress {
                identity: member.identity.clone(),
                next,
                matched: 0,
                acked_at: None,
                snapshot: None,
            });
        }
    }

    /// Follows a higher term.
    pub(crate) fn adopt_term(&mut self, term: u64, now: Duration) {
        self.term_vote = TermVote { term, vote: None };
        self.verified = self.commit;
        self.incoming = None;
        self.stage_vote();
        if self.role == ReplicaRole::Leader {
            self.step_down("higher_term", now);
        } else {
            self.change_role("higher_term");
            self.leader = None;
            self.votes.clear();
        }
    }

    /// Notes a message of the leader of the current term.
    pub(crate) fn hear_leader(&mut self, from: &ReplicaIdentity, now: Duration) {
        self.change_role("leader_heard");
        self.leader = Some(from.clone());
        self.leader_heard = now;
        self.reset_deadline(now);
    }

    /// Sends a message that promises nothing about stored data.
    pub(crate) fn send(&mut self, to: ReplicaIdentity, body: MessageBody) {
        self.send_with_term(to, self.term(), body);
    }

    fn message(&self, to: ReplicaIdentity, term: u64, body: MessageBody) -> ReplicaMessage {
        ReplicaMessage { from: self.options.identity.clone(), to, term, body }
    }

    fn send_with_term(&mut self, to: ReplicaIdentity, term: u64, body: MessageBody) {
        let message = self.message(to, term, body);
        self.effects.push(ReplicaEffect::Send(message));
    }

    /// Sends a message once the current term and vote are synced.
    pub(crate) fn send_held(&mut self, to: ReplicaIdentity, body: MessageBody) {
        if self.synced_sequence >= self.vote_sequence {
            return self.send(to, body);
        }
        let message = self.message(to, self.term(), body);
        self.held.push_back((self.vote_sequence, message));
    }

    fn stage_vote(&mut self) {
        self.staged_vote = true;
        self.vote_sequence = self.next_sequence;
    }

    pub(crate) fn stage_entries(&mut self, from: u64) {
        self.staged_from = Some(self.staged_from.map_or(from, |staged| staged.min(from)));
    }

    pub(crate) fn next_write(&mut self, snapshot: bool) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let last_index = self.log.last_index();
        self.writes.push_back(PendingWrite { sequence, last_index, snapshot });
        sequence
    }

    /// Turns what changed since the last write into one write.
    pub(crate) fn flush_writes(&mut self) {
        let staged_from = self.staged_from.take();
        let staged_vote = std::mem::take(&mut self.staged_vote);
        if staged_from.is_none() && !staged_vote {
            return;
        }
        let entries = staged_from.map_or_else(Vec::new, |from| self.log.after(from - 1));
        let sequence = self.next_write(false);
        let term_vote = staged_vote.then_some(self.term_vote);
        self.effects.push(ReplicaEffect::Persist { sequence, term_vote, entries });
    }

    /// Forgets that entries from `index` on are stored.
    pub(crate) fn forget_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.min(index - 1);
        for write in &mut self.writes {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    pub(crate) fn take_synced(&mut self, now: Duration, sequence: u64) {
        let sequence = sequence.min(self.next_sequence - 1);
        self.synced_sequence = self.synced_sequence.max(sequence);
        let mut stored_snapshot = false;
        let before = self.synced_index;
        while self.writes.front().is_some_and(|write| write.sequence <= sequence) {
            let Some(write) = self.writes.pop_front() else { break };
            self.synced_index = self.synced_index.max(write.last_index);
            stored_snapshot |= write.snapshot;
        }
        while self.held.front().is_some_and(|held| held.0 <= sequence) {
            let Some((_, message)) = self.held.pop_front() else { break };
            self.effects.push(ReplicaEffect::Send(message));
        }
        if stored_snapshot {
            self.compact_log();
        }
        if self.role == ReplicaRole::Candidate && self.synced_sequence >= self.vote_sequence {
            self.votes.insert(self.options.identity.id, ());
            self.check_votes(now);
        }
        if self.synced_index > before {
            self.report_synced();
        }
    }
}
