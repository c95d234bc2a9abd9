//! The Raft consensus core of one replica of the log.
//!
//! The core is synchronous and does no I/O. Its driver passes [`ReplicaEvent`]s
//! together with the time of the replica's monotonic clock, and executes the
//! returned [`ReplicaEffect`]s in order. The core treats a write as durable only
//! after the driver has reported it with [`ReplicaEvent::Synced`].

use crate::control_command::ControlCommand;
use crate::phase_chart::PhaseChart;
use crate::replica_events::{RejectReason, ReplicaEffect, ReplicaEvent, StoredReplica};
use crate::replica_log::ReplicaLog;
use crate::replica_members::{MemberChange, ReplicaIdentity, ReplicaMembers};
use crate::replica_messages::{
    APPEND_BYTES_LIMIT, LogEntry, MessageBody, ReplicaMessage, SnapshotData, SnapshotMeta, TermVote,
};
use crate::sorted_map::SortedMap;
use crate::state_chart::REPLICA_CHART;
use rand::Rng;
use std::collections::VecDeque;
use std::sync::LazyLock;
use std::time::Duration;

/// Lower bound of the election timeout: the time without contact to a leader
/// after which a voter starts an election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(600);
/// Upper bound of the election timeout, which is drawn at random between the
/// bounds whenever it is reset.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(1200);
/// Interval at which the leader sends an append to every peer, even if it has no
/// entries for it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the leader lease. A follower grants no vote for
/// [`ELECTION_TIMEOUT_MIN`] after its last contact with the leader, so the leases
/// of two leaders do not overlap as long as the rates of their clocks differ by
/// less than a factor of 1.5.
pub const LEADER_LEASE: Duration = Duration::from_millis(400);
/// Maximum number of uncommitted entries; further proposals are rejected.
pub const UNCOMMITTED_LIMIT: u64 = 10_000;
/// Time without an answer after which the leader removes a member, if
/// [`ReplicaOptions::min_voters`] allows it. It is longer than an election or a
/// restart takes, and shorter than the 4 s after which another host may fail.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of replicas, including learners.
pub const MEMBER_LIMIT: usize = 9;

/// Current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Receives the log, but has no vote and does not count towards a quorum.
    Learner,
    /// Accepts entries from a leader, or waits for one to make contact.
    Follower,
    /// Asks the other voters whether they would grant it a vote, without starting
    /// a new term.
    PreCandidate,
    /// Has started a new term and requests votes.
    Candidate,
    /// Accepts proposals and replicates the log to its peers.
    Leader,
}

/// State names of the roles in `charts/replica.scxml`.
pub const REPLICA_ROLES: [(ReplicaRole, &str); 5] = [
    (ReplicaRole::Learner, "learner"),
    (ReplicaRole::Follower, "follower"),
    (ReplicaRole::PreCandidate, "pre_candidate"),
    (ReplicaRole::Candidate, "candidate"),
    (ReplicaRole::Leader, "leader"),
];

static ROLE_CHART: LazyLock<PhaseChart<ReplicaRole>> = LazyLock::new(|| {
    PhaseChart::parse(REPLICA_CHART, &REPLICA_ROLES)
        .expect("the embedded chart is valid, as a test checks")
});

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaOptions {
    /// Identity of this replica.
    pub identity: ReplicaIdentity,
    /// Number of entries applied since the last snapshot after which a new one is
    /// taken.
    pub snapshot_entries: u64,
    /// Encoded size of the log entries in memory, in bytes, at which a snapshot is
    /// taken.
    pub snapshot_bytes: usize,
    /// Number of entries before a snapshot that are kept in memory for replicas
    /// that lag behind.
    pub trailing_entries: u64,
    /// The leader removes a voter that has not answered for [`MEMBER_TIMEOUT`] only
    /// while there are more voters than this; learners have no such limit. With
    /// `usize::MAX` it removes no member, and removal is left to operators.
    pub min_voters: usize,
}

impl ReplicaOptions {
    /// Default settings. A restart replays at most 4,096 entries.
    pub fn new(identity: ReplicaIdentity) -> Self {
        Self {
            identity,
            snapshot_entries: 4096,
            snapshot_bytes: 8 * 1024 * 1024,
            trailing_entries: 1000,
            min_voters: usize::MAX,
        }
    }
}

/// A write that the driver has not yet reported as synced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) sequence: u64,
    /// Index of the last entry that is durable once this write is synced.
    pub(crate) last_index: u64,
    /// True when the write stores a snapshot.
    pub(crate) snapshot: bool,
}

/// Replication progress of another member, as the leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    pub(crate) identity: ReplicaIdentity,
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Index up to which the peer has synced the leader's log.
    pub(crate) match_index: u64,
    /// Send time of the latest message that the peer answered.
    pub(crate) acked_at: Option<Duration>,
    pub(crate) snapshot_transfer: Option<SnapshotTransfer>,
    /// True once the peer has asked to leave the group.
    pub(crate) is_leaving: bool,
}

impl PeerProgress {
    /// Records the send time of an answered message. Times before the start of
    /// this leadership are ignored; answers that must not extend the lease carry
    /// a zero time.
    pub(crate) fn record_ack(&mut self, sent_at: Duration, led_since: Duration) {
        if sent_at >= led_since {
            self.acked_at = self.acked_at.max(Some(sent_at));
        }
    }
}

/// Progress of sending a snapshot to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotTransfer {
    /// Index of the last entry that the snapshot contains.
    pub(crate) index: u64,
    /// Position of the current chunk in bytes.
    pub(crate) offset: u64,
    /// When the current chunk was sent; zero when it must be sent at once.
    pub(crate) sent_at: Duration,
}

/// Snapshot that is being received from the leader.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) meta: SnapshotMeta,
    pub(crate) bytes: Vec<u8>,
}

/// A read that waits until a quorum has confirmed that this replica still leads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) read: u64,
    /// Send time of the last message to a peer before the read arrived.
    pub(crate) preceding_send_time: Duration,
}

/// Consensus core of one replica; see the module documentation.
#[derive(Debug)]
pub struct ReplicaCore<R> {
    pub(crate) options: ReplicaOptions,
    pub(crate) rng: R,
    pub(crate) role: ReplicaRole,
    pub(crate) term_vote: TermVote,
    pub(crate) log: ReplicaLog,
    /// Latest snapshot, which may not be stored yet.
    pub(crate) snapshot: SnapshotData,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) leader: Option<ReplicaIdentity>,
    /// Sequence number of the next write.
    pub(crate) next_sequence: u64,
    /// Sequence number of the last write that was reported as synced.
    pub(crate) synced_sequence: u64,
    /// Sequence number of the write that holds the current term and vote.
    pub(crate) vote_sequence: u64,
    pub(crate) pending_writes: VecDeque<PendingWrite>,
    /// Index of the last entry of the log that is durable.
    pub(crate) synced_index: u64,
    /// True when the next write must include the term and vote.
    pub(crate) staged_vote: bool,
    /// First index of the entries that the next write must include.
    pub(crate) staged_entries_from: Option<u64>,
    /// Messages that are sent once the write with the given sequence number is
    /// synced.
    pub(crate) messages_awaiting_sync: VecDeque<(u64, ReplicaMessage)>,
    pub(crate) election_deadline: Duration,
    /// `None` if this replica has never heard from a leader.
    pub(crate) last_leader_contact: Option<Duration>,
    /// Ids of the replicas that granted the current pre-vote or vote.
    pub(crate) votes: SortedMap<u64, ()>,
    /// Progress of the other members by id; empty unless this replica leads.
    pub(crate) peers: SortedMap<u64, PeerProgress>,
    pub(crate) next_heartbeat_at: Duration,
    pub(crate) led_since: Duration,
    /// Time without answers from a quorum after which the leader steps down.
    pub(crate) quorum_timeout: Duration,
    /// Index of the first entry that this leader appended in its term.
    pub(crate) term_start_index: u64,
    /// Numbers of the uncommitted proposals by the index of their entry.
    pub(crate) pending_proposals: SortedMap<u64, u64>,
    pub(crate) pending_reads: Vec<PendingRead>,
    /// Latest send time in a message to a peer.
    pub(crate) last_send_time: Duration,
    /// Index up to which the log is known to equal that of the current leader.
    pub(crate) verified_index: u64,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// True from the request for a snapshot until it is stored.
    pub(crate) snapshot_pending: bool,
    /// True when new entries must be sent to the peers.
    pub(crate) broadcast_pending: bool,
    pub(crate) effects: Vec<ReplicaEffect>,
}

impl<R: Rng> ReplicaCore<R> {
    /// Starts a replica from its stored state.
    ///
    /// The caller must have restored the state machine from the snapshot, unless
    /// the index of the snapshot is 0. Later entries are emitted as
    /// [`ReplicaEffect::Apply`] once they are known to be committed.
    ///
    /// ```
    /// use baobabfall_core::replica_core::*;
    /// use baobabfall_core::replica_events::*;
    /// use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
    /// use rand::{SeedableRng, rngs::StdRng};
    /// use std::time::Duration;
    /// let identity = ReplicaIdentity { name: "controller-1".into(), id: 7 };
    /// let members = ReplicaMembers::single(identity.clone(), "10.0.0.1:7400");
    /// let stored = StoredReplica::empty(members);
    /// let rng = StdRng::seed_from_u64(1);
    /// let mut core =
    ///     ReplicaCore::new(Duration::ZERO, ReplicaOptions::new(identity), stored, rng);
    /// // The only voter elects itself once its vote is synced.
    /// let late = Duration::from_millis(1300);
    /// let effects = core.handle(late, [ReplicaEvent::Tick]);
    /// assert!(matches!(effects[..], [ReplicaEffect::Persist { sequence: 1, .. }]));
    /// core.handle(late, [ReplicaEvent::Synced { sequence: 1 }]);
    /// assert_eq!(core.role(), ReplicaRole::Leader);
    /// assert!(core.has_lease(late));
    /// ```
    pub fn new(now: Duration, options: ReplicaOptions, stored: StoredReplica, rng: R) -> Self {
        let log = ReplicaLog::new(&stored.snapshot.meta, stored.entries);
        // A restarted replica does not know when it last heard from a leader whose lease may still
        // depend on it, so it assumes contact just now. A new one has stored no term yet, without
        // which it has answered no leader.
        let may_know_leader = stored.term_vote.term > 0 || log.last_index() > 0;
        let index = stored.snapshot.meta.index;
        let mut core = Self {
            options,
            rng,
            role: ReplicaRole::Learner,
            term_vote: stored.term_vote,
            synced_index: log.last_index(),
            log,
            snapshot: stored.snapshot,
            commit_index: index,
            applied_index: index,
            leader: None,
            next_sequence: 1,
            synced_sequence: 0,
            vote_sequence: 0,
            pending_writes: VecDeque::new(),
            staged_vote: false,
            staged_entries_from: None,
            messages_awaiting_sync: VecDeque::new(),
            election_deadline: now,
            last_leader_contact: may_know_leader.then_some(now),
            votes: SortedMap::new(),
            peers: SortedMap::new(),
            next_heartbeat_at: now,
            led_since: now,
            quorum_timeout: ELECTION_TIMEOUT_MAX,
            term_start_index: 0,
            pending_proposals: SortedMap::new(),
            pending_reads: Vec::new(),
            last_send_time: Duration::ZERO,
            verified_index: index,
            incoming_snapshot: None,
            snapshot_pending: false,
            broadcast_pending: false,
            effects: Vec::new(),
        };
        core.reset_election_deadline(now);
        core.update_own_role();
        core
    }

    /// Name and id of this replica.
    pub fn identity(&self) -> &ReplicaIdentity {
        &self.options.identity
    }

    /// Current role.
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Current term, which is the highest one that the replica has adopted.
    pub fn term(&self) -> u64 {
        self.term_vote.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<&ReplicaIdentity> {
        self.leader.as_ref()
    }

    /// Index of the last entry that this replica knows to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// True if the log holds an order to evacuate or readmit a zone that is not applied, because
    /// this replica doesn't know whether it is committed.
    pub fn has_unapplied_evacuation(&self) -> bool {
        let mut unapplied = self.applied_index + 1..=self.last_index();
        unapplied.any(|index| {
            let entry = self.log.get(index);
            entry.is_some_and(|entry| matches!(entry.command, ControlCommand::EvacuateZone { .. }))
        })
    }

    /// Index of the last entry of the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Current membership: the last one in the log, committed or not.
    pub fn members(&self) -> &ReplicaMembers {
        self.log.members()
    }

    /// Index up to which a peer is known to have synced the log. `None` for other
    /// replicas, and for all of them unless this replica leads.
    pub fn peer_match_index(&self, id: u64) -> Option<u64> {
        self.peers.get(&id).map(|peer| peer.match_index)
    }

    /// Processes events and returns the effects that the driver must execute, in
    /// order.
    ///
    /// Proposals that are passed in one call share one write and one append per
    /// peer.
    pub fn handle(
        &mut self,
        now: Duration,
        events: impl IntoIterator<Item = ReplicaEvent>,
    ) -> Vec<ReplicaEffect> {
        for event in events {
            self.on_event(now, event);
        }
        self.flush_writes();
        if std::mem::take(&mut self.broadcast_pending) && self.role == ReplicaRole::Leader {
            self.send_append_to_peers(now, false);
        }
        self.advance_commit(now);
        std::mem::take(&mut self.effects)
    }

    fn on_event(&mut self, now: Duration, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Tick => self.tick(now),
            ReplicaEvent::Message(message) => self.on_message(now, message),
            ReplicaEvent::Propose { proposal, command, time_ms } => {
                let checked = self.check_proposal(now, &command);
                self.append_or_reject(proposal, checked.map(|()| command), time_ms);
            }
            ReplicaEvent::ChangeMembers { proposal, change, time_ms } => {
                if let MemberChange::Leave { id } = &change
                    && let Some(peer) = self.peers.get_mut(id)
                {
                    peer.is_leaving = true;
                }
                let command = self.check_member_change(now, change);
                self.append_or_reject(proposal, command, time_ms);
            }
            ReplicaEvent::Read { read } => self.on_read(now, read),
            ReplicaEvent::PassLead => self.pass_lead(now),
            ReplicaEvent::FormGroup { members, stand } => self.on_form_group(now, members, stand),
            ReplicaEvent::Synced { sequence } => self.on_synced(now, sequence),
            ReplicaEvent::SnapshotTaken(snapshot) => self.on_snapshot_taken(snapshot),
        }
    }

    fn on_message(&mut self, now: Duration, message: ReplicaMessage) {
        if message.to != self.options.identity || message.from == self.options.identity {
            return;
        }
        let ReplicaMessage { from, term, body, .. } = message;
        match body {
            MessageBody::PreVote(request) => self.on_pre_vote(now, from, term, request),
            MessageBody::PreVoteAnswer(answer) => self.on_pre_vote_answer(now, &from, term, answer),
            MessageBody::Vote(request) => self.on_vote(now, from, term, request),
            MessageBody::VoteAnswer(answer) => self.on_vote_answer(now, &from, term, answer),
            MessageBody::Append(request) => self.on_append(now, from, term, request),
            MessageBody::AppendAnswer(answer) => self.on_append_answer(now, &from, term, answer),
            MessageBody::Snapshot(chunk) => self.on_snapshot_chunk(now, from, term, chunk),
            MessageBody::SnapshotAnswer(answer) => self.on_chunk_answer(now, &from, term, answer),
            MessageBody::TakeLead => self.on_take_lead(now, term),
        }
    }

    fn tick(&mut self, now: Duration) {
        if self.role != ReplicaRole::Leader {
            self.check_election_timeout(now);
            return;
        }
        if self.quorum_timed_out(now) {
            self.step_down("quorum_silent", now);
            return;
        }
        self.promote_learner(now);
        self.remove_unreachable_member(now);
        if now >= self.next_heartbeat_at {
            self.send_append_to_peers(now, true);
        }
    }

    /// Changes the role by the transition of the chart for `event`.
    pub(crate) fn change_role(&mut self, event: &str) {
        match ROLE_CHART.step(self.role, event) {
            Ok(role) => self.role = role,
            Err(error) => debug_assert!(false, "{error}"),
        }
    }

    /// Adapts the role to the membership: a replica without a vote is a learner.
    /// A leader that removes itself keeps leading until the removal is committed.
    pub(crate) fn update_own_role(&mut self) {
        let voting = self.log.members().is_voter(self.options.identity.id);
        match self.role {
            ReplicaRole::Learner if voting => self.change_role("admitted"),
            ReplicaRole::Learner | ReplicaRole::Leader => {}
            _ if !voting => self.change_role("removed"),
            _ => {}
        }
    }

    /// Starts with a membership that is stored only with the first entry of the log, which the first
    /// leader appends.
    fn on_form_group(&mut self, now: Duration, members: ReplicaMembers, stand: bool) {
        let is_empty = self.log.members().is_empty() && self.log.last_index() == 0;
        if !is_empty || !members.is_voter(self.options.identity.id) {
            return;
        }
        self.snapshot.meta.members = members;
        self.log = ReplicaLog::new(&self.snapshot.meta, Vec::new());
        self.update_own_role();
        self.reset_election_deadline(now);
        if stand {
            self.election_deadline = now;
            self.check_election_timeout(now);
        }
    }

    fn reject(&mut self, proposal: u64, reason: RejectReason) {
        self.effects.push(ReplicaEffect::RejectProposal { proposal, reason });
    }

    fn append_or_reject(
        &mut self,
        proposal: u64,
        command: Result<ControlCommand, RejectReason>,
        time_ms: u64,
    ) {
        let command = match command {
            Ok(command) => command,
            Err(reason) => return self.reject(proposal, reason),
        };
        let entry = self.next_entry(command, time_ms);
        if entry.encoded_len() > APPEND_BYTES_LIMIT {
            return self.reject(proposal, RejectReason::Oversized);
        }
        self.pending_proposals.insert(entry.index, proposal);
        self.append_entry(entry);
    }

    pub(crate) fn next_entry(&self, command: ControlCommand, time_ms: u64) -> LogEntry {
        LogEntry { index: self.log.last_index() + 1, term: self.term(), time_ms, command }
    }

    /// Appends the first entry of a term. A leader commits entries of earlier terms
    /// only together with an entry of its own term. In a new log the entry also
    /// records the initial membership, which was only in the storage before.
    pub(crate) fn append_term_start_entry(&mut self) {
        let command = match self.log.members_index() {
            0 => ControlCommand::Members { members: self.log.members().clone() },
            _ => ControlCommand::Blank,
        };
        // Time 0 leaves the log time unchanged: only proposals carry a wall-clock time.
        let entry = self.next_entry(command, 0);
        self.term_start_index = entry.index;
        self.append_entry(entry);
    }

    pub(crate) fn append_entry(&mut self, entry: LogEntry) {
        let index = entry.index;
        let changes_members = matches!(entry.command, ControlCommand::Members { .. });
        self.log.push(entry);
        self.stage_entries(index);
        self.broadcast_pending = true;
        if changes_members {
            self.update_peers();
        }
    }

    fn on_read(&mut self, now: Duration, read: u64) {
        match self.check_leader(now) {
            Err(reason) => self.effects.push(ReplicaEffect::RejectRead { read, reason }),
            Ok(()) => {
                self.pending_reads
                    .push(PendingRead { read, preceding_send_time: self.last_send_time });
                self.complete_reads();
            }
        }
    }

    /// Completes the reads that arrived before a message was sent that a quorum has
    /// answered in this term: the answers show that no later leader had been
    /// elected when the reads arrived. The lease cannot show this, because its
    /// clock stands still while the host is suspended.
    pub(crate) fn complete_reads(&mut self) {
        if self.commit_index < self.term_start_index {
            return;
        }
        let Some(acked_send_time) = self.quorum_acked_send_time() else { return };
        let effects = &mut self.effects;
        self.pending_reads.retain(|pending| {
            let confirmed = pending.preceding_send_time < acked_send_time;
            if confirmed {
                effects.push(ReplicaEffect::ReadReady { read: pending.read });
            }
            !confirmed
        });
    }

    /// Emits newly committed entries, completes reads, steps down after the removal
    /// of this replica was committed, and requests a snapshot when one is due.
    pub(crate) fn apply_committed(&mut self, now: Duration) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { break };
            self.applied_index += 1;
            let proposal = self.pending_proposals.remove(&entry.index);
            self.effects.push(ReplicaEffect::Apply { entry, proposal });
        }
        if self.role == ReplicaRole::Leader && self.commit_index >= self.term_start_index {
            self.complete_reads();
            let own_id = self.options.identity.id;
            if self.log.members_index() <= self.commit_index && !self.log.members().is_voter(own_id)
            {
                self.step_down("removed", now);
            }
        }
        self.request_snapshot_if_due();
    }

    /// Ends leadership. The outcome of pending proposals becomes unknown, because a
    /// later leader may still commit them.
    pub(crate) fn step_down(&mut self, event: &str, now: Duration) {
        self.change_role(event);
        self.leader = None;
        self.votes.clear();
        self.peers.clear();
        for (_, proposal) in std::mem::take(&mut self.pending_proposals) {
            self.reject(proposal, RejectReason::LeadershipLost);
        }
        for PendingRead { read, .. } in std::mem::take(&mut self.pending_reads) {
            let reason = RejectReason::NotLeader(None);
            self.effects.push(ReplicaEffect::RejectRead { read, reason });
        }
        self.reset_election_deadline(now);
        self.update_own_role();
    }
}
