//! Elections, terms, the leader lease, and the order of writes and of the
//! messages that depend on them.

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
    /// True while no other replica can be elected: this replica leads, and a quorum
    /// answered messages that were sent less than [`LEADER_LEASE`] ago.
    pub fn has_lease(&self, now: Duration) -> bool {
        self.lease_end(now).is_some_and(|end| end > now)
    }

    /// Time at which the lease ends unless a quorum answers until then; `None` if this replica
    /// does not lead or no quorum has answered it.
    pub fn lease_end(&self, now: Duration) -> Option<Duration> {
        let contact = self.quorum_contact_time(now).filter(|_| self.role == ReplicaRole::Leader);
        contact.map(|contact| contact + LEADER_LEASE)
    }

    /// True while this replica leads and has applied everything that was committed in earlier
    /// terms. A leader learns what was committed with the first entry of its own term.
    pub fn leads_with_current_state(&self, now: Duration) -> bool {
        self.has_lease(now) && self.led_term().is_some()
    }

    /// Term in which this replica leads and has applied everything that was committed in earlier
    /// terms, whether or not its lease is valid at the moment.
    pub fn led_term(&self) -> Option<u64> {
        let is_current = self.commit_index() >= self.term_start_index;
        (self.role == ReplicaRole::Leader && is_current).then(|| self.term())
    }

    /// True while this replica hears from its group: it leads with a valid lease, or heard the
    /// leader so recently that it would not vote for another.
    pub fn is_in_contact(&self, now: Duration) -> bool {
        match self.role {
            ReplicaRole::Leader => self.has_lease(now),
            ReplicaRole::Follower | ReplicaRole::Learner => {
                self.leader.is_some() && self.had_recent_contact(now)
            }
            ReplicaRole::PreCandidate | ReplicaRole::Candidate => false,
        }
    }

    /// Latest time such that a quorum answered messages sent at that time or later.
    /// The replica itself counts with the present time.
    fn quorum_contact_time(&self, now: Duration) -> Option<Duration> {
        let own_id = self.options.identity.id;
        let contact_time = |id| match id == own_id {
            true => Some(now),
            false => self.peers.get(&id).and_then(|peer| peer.acked_at),
        };
        self.log.members().quorum_value(contact_time).flatten()
    }

    /// Latest send time of messages that a quorum answered. The replica itself
    /// counts as having answered every message.
    pub(crate) fn quorum_acked_send_time(&self) -> Option<Duration> {
        let own_id = self.options.identity.id;
        let acked_send_time = |id| match id == own_id {
            true => Some(Duration::MAX),
            false => self.peers.get(&id).and_then(|peer| peer.acked_at),
        };
        self.log.members().quorum_value(acked_send_time).flatten()
    }

    /// Returns the send time for a message to a peer. It is later than that of every
    /// earlier message, even if the clock stood still in between, so that the time
    /// in an answer identifies the message that it answers.
    pub(crate) fn next_send_time(&mut self, now: Duration) -> Duration {
        self.last_send_time = now.max(self.last_send_time + Duration::from_nanos(1));
        self.last_send_time
    }

    pub(crate) fn quorum_timed_out(&self, now: Duration) -> bool {
        let last_contact =
            self.quorum_contact_time(now).unwrap_or(self.led_since).max(self.led_since);
        last_contact + self.quorum_timeout <= now
    }

    fn random_election_timeout(&mut self) -> Duration {
        let span = (ELECTION_TIMEOUT_MAX - ELECTION_TIMEOUT_MIN).as_micros();
        let span = u64::try_from(span).unwrap_or(u64::MAX);
        ELECTION_TIMEOUT_MIN + Duration::from_micros(self.rng.next_u64() % (span + 1))
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Duration) {
        self.election_deadline = now + self.random_election_timeout();
    }

    /// True while a leader, possibly this replica, may hold a lease that relies on
    /// this replica not voting for another candidate.
    fn leader_lease_possible(&self, now: Duration) -> bool {
        match self.role {
            ReplicaRole::Leader => self.has_lease(now),
            _ => self.had_recent_contact(now),
        }
    }

    fn had_recent_contact(&self, now: Duration) -> bool {
        self.last_leader_contact.is_some_and(|contact| contact + ELECTION_TIMEOUT_MIN > now)
    }

    pub(crate) fn check_election_timeout(&mut self, now: Duration) {
        if now < self.election_deadline || self.role == ReplicaRole::Learner {
            return;
        }
        self.change_role("election_timeout");
        self.leader = None;
        self.reset_election_deadline(now);
        self.votes.clear();
        self.votes.insert(self.options.identity.id, ());
        let request = self.vote_request(false);
        for to in self.other_voters() {
            self.send_with_term(to, self.term() + 1, MessageBody::PreVote(request));
        }
        self.count_pre_votes(now);
    }

    fn vote_request(&self, lead_passed: bool) -> VoteRequest {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        VoteRequest { last_index, last_term, lead_passed }
    }

    fn other_voters(&self) -> Vec<ReplicaIdentity> {
        let own_id = self.options.identity.id;
        let voters = self.log.members().voters().map(|member| &member.identity);
        voters.filter(|identity| identity.id != own_id).cloned().collect()
    }

    /// True when `from` is a voter of the membership, by both name and id.
    fn is_known_voter(&self, from: &ReplicaIdentity) -> bool {
        let member = self.log.members().get(from.id);
        member.is_some_and(|member| member.voting && member.identity == *from)
    }

    fn log_is_up_to_date(&self, request: VoteRequest) -> bool {
        (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Duration,
        from: ReplicaIdentity,
        term: u64,
        request: VoteRequest,
    ) {
        let granted = term > self.term()
            && !self.leader_lease_possible(now)
            && self.log_is_up_to_date(request);
        let answer = VoteAnswer { asked_term: term, granted };
        self.send(from, MessageBody::PreVoteAnswer(answer));
    }

    pub(crate) fn on_pre_vote_answer(
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
        let grants_next_term = answer.granted && answer.asked_term == self.term() + 1;
        if self.role == ReplicaRole::PreCandidate && grants_next_term && self.is_known_voter(from) {
            self.votes.insert(from.id, ());
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Duration) {
        let members = self.log.members();
        if !members.has_quorum(|id| self.votes.contains_key(&id)) {
            return;
        }
        self.start_election("pre_vote_won", false, now);
    }

    /// Starts the next term as a candidate and requests the votes of the other voters.
    fn start_election(&mut self, event: &str, lead_passed: bool, now: Duration) {
        self.change_role(event);
        self.leader = None;
        self.votes.clear();
        self.reset_election_deadline(now);
        let vote = Some(self.options.identity.id);
        self.term_vote = TermVote { term: self.term() + 1, vote };
        self.verified_index = self.commit_index;
        self.stage_vote();
        let request = self.vote_request(lead_passed);
        for to in self.other_voters() {
            self.send_after_vote_sync(to, MessageBody::Vote(request));
        }
    }

    /// Ends leadership in favour of a voter that holds the whole log. Has no effect while there is
    /// none or an entry is uncommitted, since its proposal would end with an unknown outcome.
    pub(crate) fn pass_lead(&mut self, now: Duration) {
        let last = self.log.last_index();
        if !self.has_lease(now) || self.commit_index < last {
            return;
        }
        let members = self.log.members();
        let is_ready = |peer: &&PeerProgress| {
            members.is_voter(peer.identity.id)
                && peer.match_index == last
                && peer.acked_at.is_some_and(|acked| acked + LEADER_LEASE > now)
        };
        let mut ready: Vec<&PeerProgress> = self.peers.values().filter(is_ready).collect();
        if ready.iter().any(|peer| !peer.is_leaving) {
            ready.retain(|peer| !peer.is_leaving);
        }
        let count = u64::try_from(ready.len()).unwrap_or(u64::MAX);
        if count == 0 {
            return;
        }
        // A random choice, so that several voters that stop at the same time don't pass the lead
        // back and forth.
        let choice = usize::try_from(self.rng.next_u64() % count).unwrap_or(0);
        let successor = ready[choice].identity.clone();
        // The lease ends here, before anybody can vote for the successor.
        self.step_down("lead_passed", now);
        self.send(successor, MessageBody::TakeLead);
    }

    /// Starts an election on behalf of the leader of `term`, which has stepped down. A late or
    /// repeated request can't lead to a second leader of the next term, since each voter has one
    /// vote in it.
    pub(crate) fn on_take_lead(&mut self, now: Duration, term: u64) {
        let may_stand = matches!(self.role, ReplicaRole::Follower | ReplicaRole::PreCandidate);
        if term == self.term() && may_stand {
            self.start_election("lead_taken", true, now);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Duration,
        from: ReplicaIdentity,
        term: u64,
        request: VoteRequest,
    ) {
        // A leader that passes the lead on has given up its lease. Leaders of earlier terms lost
        // theirs before it was elected.
        let lead_passed = request.lead_passed && term > self.term();
        let lease_possible = !lead_passed && self.leader_lease_possible(now);
        if term > self.term() && !lease_possible {
            self.adopt_term(term, now);
        }
        // The term may already be known from another message while a vote could
        // still break a lease, so the lease protects against both.
        let vote_available = match self.term_vote.vote {
            Some(vote) => vote == from.id,
            None => !lease_possible,
        };
        let granted = term == self.term() && vote_available && self.log_is_up_to_date(request);
        if granted && self.term_vote.vote.is_none() {
            self.term_vote.vote = Some(from.id);
            self.stage_vote();
            self.reset_election_deadline(now);
        }
        self.send_after_vote_sync(
            from,
            MessageBody::VoteAnswer(VoteAnswer { asked_term: term, granted }),
        );
    }

    pub(crate) fn on_vote_answer(
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
        let grants_this_term = answer.granted && answer.asked_term == self.term();
        if self.role == ReplicaRole::Candidate && grants_this_term && self.is_known_voter(from) {
            self.votes.insert(from.id, ());
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Duration) {
        if !self.log.members().has_quorum(|id| self.votes.contains_key(&id)) {
            return;
        }
        self.change_role("vote_won");
        self.leader = Some(self.options.identity.clone());
        self.votes.clear();
        self.led_since = now;
        self.next_heartbeat_at = now;
        self.quorum_timeout = self.random_election_timeout();
        self.peers.clear();
        self.update_peers();
        self.append_term_start_entry();
    }

    /// Adapts the progress records to the membership: one for each other member.
    pub(crate) fn update_peers(&mut self) {
        let own_id = self.options.identity.id;
        let next_index = self.log.last_index() + 1;
        let members = self.log.members();
        self.peers.retain(|id, _| members.get(*id).is_some());
        for member in members.iter().filter(|member| member.identity.id != own_id) {
            self.peers.get_or_insert_with(member.identity.id, || PeerProgress {
                identity: member.identity.clone(),
                next_index,
                match_index: 0,
                acked_at: None,
                snapshot_transfer: None,
                is_leaving: false,
            });
        }
    }

    /// Adopts a higher term, in which this replica has not voted and knows no leader.
    pub(crate) fn adopt_term(&mut self, term: u64, now: Duration) {
        self.term_vote = TermVote { term, vote: None };
        self.verified_index = self.commit_index;
        self.incoming_snapshot = None;
        self.stage_vote();
        if self.role == ReplicaRole::Leader {
            self.step_down("higher_term", now);
        } else {
            self.change_role("higher_term");
            self.leader = None;
            self.votes.clear();
        }
    }

    /// Records contact with the leader of the current term.
    pub(crate) fn record_leader_contact(&mut self, from: &ReplicaIdentity, now: Duration) {
        self.change_role("leader_heard");
        self.leader = Some(from.clone());
        self.last_leader_contact = Some(now);
        self.reset_election_deadline(now);
    }

    /// Sends a message at once. It must not depend on a write that is not synced.
    pub(crate) fn send(&mut self, to: ReplicaIdentity, body: MessageBody) {
        self.send_with_term(to, self.term(), body);
    }

    fn build_message(&self, to: ReplicaIdentity, term: u64, body: MessageBody) -> ReplicaMessage {
        ReplicaMessage { from: self.options.identity.clone(), to, term, body }
    }

    fn send_with_term(&mut self, to: ReplicaIdentity, term: u64, body: MessageBody) {
        let message = self.build_message(to, term, body);
        self.effects.push(ReplicaEffect::Send(message));
    }

    /// Sends a message once the current term and vote are synced, so that a crash
    /// cannot revoke what it says about them.
    pub(crate) fn send_after_vote_sync(&mut self, to: ReplicaIdentity, body: MessageBody) {
        if self.synced_sequence >= self.vote_sequence {
            return self.send(to, body);
        }
        let message = self.build_message(to, self.term(), body);
        self.messages_awaiting_sync.push_back((self.vote_sequence, message));
    }

    fn stage_vote(&mut self) {
        self.staged_vote = true;
        self.vote_sequence = self.next_sequence;
    }

    pub(crate) fn stage_entries(&mut self, from: u64) {
        self.staged_entries_from =
            Some(self.staged_entries_from.map_or(from, |staged| staged.min(from)));
    }

    pub(crate) fn register_write(&mut self, snapshot: bool) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let last_index = self.log.last_index();
        self.pending_writes.push_back(PendingWrite { sequence, last_index, snapshot });
        sequence
    }

    /// Emits one write with the entries, term and vote that changed since the last
    /// write.
    pub(crate) fn flush_writes(&mut self) {
        let staged_entries_from = self.staged_entries_from.take();
        let staged_vote = std::mem::take(&mut self.staged_vote);
        if staged_entries_from.is_none() && !staged_vote {
            return;
        }
        let entries =
            staged_entries_from.map_or_else(Vec::new, |from| self.log.entries_after(from - 1));
        let sequence = self.register_write(false);
        let term_vote = staged_vote.then_some(self.term_vote);
        self.effects.push(ReplicaEffect::Persist { sequence, term_vote, entries });
    }

    /// Counts the entries from `index` on as not synced, because they are removed
    /// from the log. A pending write no longer counts for them either.
    pub(crate) fn mark_unsynced_from(&mut self, index: u64) {
        self.synced_index = self.synced_index.min(index - 1);
        for write in &mut self.pending_writes {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    pub(crate) fn on_synced(&mut self, now: Duration, sequence: u64) {
        let sequence = sequence.min(self.next_sequence - 1);
        self.synced_sequence = self.synced_sequence.max(sequence);
        let mut stored_snapshot = false;
        let before = self.synced_index;
        while self.pending_writes.front().is_some_and(|write| write.sequence <= sequence) {
            let Some(write) = self.pending_writes.pop_front() else { break };
            self.synced_index = self.synced_index.max(write.last_index);
            stored_snapshot |= write.snapshot;
        }
        while self.messages_awaiting_sync.front().is_some_and(|pending| pending.0 <= sequence) {
            let Some((_, message)) = self.messages_awaiting_sync.pop_front() else { break };
            self.effects.push(ReplicaEffect::Send(message));
        }
        if stored_snapshot {
            self.compact_log();
        }
        if self.role == ReplicaRole::Candidate && self.synced_sequence >= self.vote_sequence {
            self.votes.insert(self.options.identity.id, ());
            self.count_votes(now);
        }
        if self.synced_index > before {
            self.report_synced_entries();
        }
    }
}
