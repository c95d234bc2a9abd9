//! Deterministic simulation of replicas on a lossy network, with disks that lose
//! unsynced writes. A run depends only on its seed. Times are in milliseconds.

pub mod client_load;
mod fault_steps;
mod final_checks;
mod sim_node;

use baobabfall_core::action_ledger::{ActionKey, ClaimAnswer, FencingToken};
use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::control_state::ControlState;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::replica_core::*;
use baobabfall_core::replica_events::*;
use baobabfall_core::replica_members::*;
use baobabfall_core::replica_messages::*;
use baobabfall_core::sorted_map::SortedMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sim_node::{SimNode, apply_write, restore_state, write_sequence};

/// Wall-clock time at the start of a run: 2026-12-03.
const START_MS: u64 = 1_796_256_000_000;

#[derive(Clone, Copy)]
pub struct SimFaults {
    /// Chance that a message is lost, and that it is duplicated.
    pub loss_permille: u64,
    /// Chance per step of a crash, restart, partition, its end, or lost disk.
    pub fault_permille: u64,
    /// Chance per step that the host of the leader is suspended.
    pub suspend_permille: u64,
    /// Chance per step that the leader passes the lead on.
    pub pass_permille: u64,
}

impl SimFaults {
    pub const NONE: Self =
        Self { loss_permille: 0, fault_permille: 0, suspend_permille: 0, pass_permille: 0 };
}

pub struct Sim {
    pub rng: StdRng,
    pub time: u64,
    pub nodes: Vec<SimNode>,
    /// Directed links, as pairs of sender and receiver, that lose all messages.
    pub blocked_links: Vec<(usize, usize)>,
    pub faults: SimFaults,
    /// Messages with the time of their arrival.
    in_flight: Vec<(u64, ReplicaMessage)>,
    next_id: u64,
    /// Committed entries, each as the first replica applied it.
    pub committed_entries: Vec<LogEntry>,
    /// State after all committed entries, to which every replica is compared.
    pub reference_state: ControlState,
    /// Hashes of the reference state after every 20th entry, by index from 0.
    reference_digests: Vec<Option<blake3::Hash>>,
    /// Revisions of the acknowledged edits by edit id.
    pub acknowledged_edits: SortedMap<String, u64>,
    /// Token, router and attempt of each granted claim.
    granted_claims: SortedMap<ActionKey, (FencingToken, NodeIdentity, u64)>,
    issued_commands: Vec<ControlCommand>,
    /// Lowest revision that each read may return.
    min_read_revisions: SortedMap<u64, u64>,
    /// Highest revision that a read has returned.
    pub highest_read_revision: u64,
    pub installed_snapshots: usize,
    pub lost_disks: usize,
    pub suspensions: usize,
    pub passed_leads: usize,
    pub answers: SortedMap<u64, ControlAnswer>,
}

fn identity(node_index: usize, id: u64) -> ReplicaIdentity {
    ReplicaIdentity { name: format!("controller-{node_index}"), id }
}

fn stored_members(count: usize) -> ReplicaMembers {
    let mut members = ReplicaMembers::default();
    for node_index in 0..count {
        let id = u64::try_from(node_index).unwrap() + 1;
        members = members.with_learner(identity(node_index, id), String::new()).with_voter(id);
    }
    members
}

impl Sim {
    pub fn new(seed: u64, count: usize, faults: SimFaults) -> Self {
        let mut sim = Self {
            rng: StdRng::seed_from_u64(seed),
            time: 0,
            nodes: Vec::new(),
            blocked_links: Vec::new(),
            faults,
            in_flight: Vec::new(),
            next_id: 100,
            committed_entries: Vec::new(),
            reference_state: ControlState::default(),
            reference_digests: Vec::new(),
            acknowledged_edits: SortedMap::new(),
            granted_claims: SortedMap::new(),
            issued_commands: Vec::new(),
            min_read_revisions: SortedMap::new(),
            highest_read_revision: 0,
            installed_snapshots: 0,
            lost_disks: 0,
            suspensions: 0,
            passed_leads: 0,
            answers: SortedMap::new(),
        };
        for node_index in 0..count {
            let identity = identity(node_index, u64::try_from(node_index).unwrap() + 1);
            let stored = StoredReplica::empty(stored_members(count));
            let node = sim.new_node(identity, stored);
            sim.nodes.push(node);
            sim.restart(node_index);
        }
        sim
    }

    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    fn random_node(&mut self) -> usize {
        let count = u64::try_from(self.nodes.len()).unwrap();
        usize::try_from(self.random_below(count)).unwrap()
    }

    fn new_node(&mut self, identity: ReplicaIdentity, durable: StoredReplica) -> SimNode {
        SimNode {
            identity,
            core: None,
            state: ControlState::default(),
            durable,
            unsynced: VecDeque::new(),
            pending_sync: None,
            started_at: self.time,
            clock_rate: 900 + self.random_below(200),
            wall_offset: self.random_below(120_000),
            suspended_until: 0,
            suspended_ms: 0,
        }
    }

    pub fn restart(&mut self, node_index: usize) {
        let rng = StdRng::seed_from_u64(self.rng.next_u64());
        let node = &mut self.nodes[node_index];
        let mut options = ReplicaOptions::new(node.identity.clone());
        (options.snapshot_entries, options.trailing_entries) = (12, 4);
        (node.started_at, node.suspended_until, node.suspended_ms) = (self.time, 0, 0);
        node.state = restore_state(&node.durable.snapshot);
        node.core = Some(ReplicaCore::new(Duration::ZERO, options, node.durable.clone(), rng));
    }

    /// Indexes of the replicas that hold a lease.
    fn leaders(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|node_index| {
            let node = &self.nodes[*node_index];
            !node.lease_may_be_stale(self.time)
                && node.core.as_ref().is_some_and(|core| core.has_lease(node.now(self.time)))
        })
    }

    pub fn leader(&self) -> Option<usize> {
        self.leaders().next()
    }

    pub fn handle(&mut self, node_index: usize, event: ReplicaEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            if self.nodes[node_index].is_suspended(self.time) {
                return;
            }
            let now = self.nodes[node_index].now(self.time);
            let Some(core) = &mut self.nodes[node_index].core else { return };
            for effect in core.handle(now, [event]) {
                self.execute_effect(node_index, effect, &mut events);
            }
        }
    }

    fn execute_effect(
        &mut self,
        node_index: usize,
        effect: ReplicaEffect,
        events: &mut Vec<ReplicaEvent>,
    ) {
        match effect {
            ReplicaEffect::Persist { .. } => self.nodes[node_index].unsynced.push_back(effect),
            ReplicaEffect::StoreSnapshot { ref snapshot, restore, .. } => {
                if restore {
                    self.installed_snapshots += 1;
                    self.nodes[node_index].state = restore_state(snapshot);
                }
                self.nodes[node_index].unsynced.push_back(effect);
            }
            ReplicaEffect::Send(message) => self.send(node_index, message),
            ReplicaEffect::Apply { entry, proposal } => self.apply(node_index, entry, proposal),
            ReplicaEffect::RejectProposal { .. } | ReplicaEffect::RejectRead { .. } => {}
            ReplicaEffect::ReadReady { read } => {
                let revision = self.nodes[node_index].state.history().revision();
                let minimum = self.min_read_revisions.get(&read).copied().unwrap();
                assert!(
                    revision >= minimum,
                    "a read returned revision {revision}, older than {minimum}"
                );
                self.highest_read_revision = self.highest_read_revision.max(revision);
            }
            ReplicaEffect::TakeSnapshot(meta) => {
                assert_eq!(meta.index, self.nodes[node_index].state.applied_index());
                let bytes = Arc::new(self.nodes[node_index].state.to_snapshot().unwrap());
                events.push(ReplicaEvent::SnapshotTaken(SnapshotData { meta, bytes }));
            }
        }
    }

    fn send(&mut self, node_index: usize, message: ReplicaMessage) {
        let Some(to) = self.nodes.iter().position(|node| node.identity.name == message.to.name)
        else {
            return;
        };
        if self.blocked_links.contains(&(node_index, to))
            || self.random_below(1000) < self.faults.loss_permille
        {
            return;
        }
        let copies = if self.random_below(1000) < self.faults.loss_permille { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.random_below(1000) < self.faults.loss_permille / 2;
            let delay = if slow { self.random_below(1500) } else { 1 + self.random_below(15) };
            self.in_flight.push((self.time + delay, message.clone()));
        }
    }

    fn apply(&mut self, node_index: usize, entry: LogEntry, proposal: Option<u64>) {
        let index = usize::try_from(entry.index).unwrap() - 1;
        assert!(
            index <= self.committed_entries.len(),
            "replica {node_index} applied an entry without its predecessor"
        );
        if index == self.committed_entries.len() {
            self.committed_entries.push(entry.clone());
            let answer = self.reference_state.apply(&entry);
            self.check_grants(&entry, &answer);
            let digest = (entry.index.is_multiple_of(20))
                .then(|| blake3::hash(&self.reference_state.to_snapshot().unwrap()));
            self.reference_digests.push(digest);
        }
        assert_eq!(entry, self.committed_entries[index], "replica {node_index} diverged");
        let answer = self.nodes[node_index].state.apply(&entry);
        if let Some(digest) = self.reference_digests[index] {
            let state = self.nodes[node_index].state.to_snapshot().unwrap();
            assert_eq!(blake3::hash(&state), digest, "the state of replica {node_index} diverged");
        }
        if let Some(proposal) = proposal {
            self.record_accepted_edit(&entry, &answer);
            self.answers.insert(proposal, answer);
        }
    }

    fn record_accepted_edit(&mut self, entry: &LogEntry, answer: &ControlAnswer) {
        let ControlAnswer::Accepted(accepted) = answer else { return };
        let id = entry.command.edit().unwrap().id.clone();
        let before = self.acknowledged_edits.insert(id, accepted.revision);
        assert!(before.is_none_or(|revision| revision == accepted.revision));
    }

    /// Checks all committed grants, including those whose answer was lost.
    fn check_grants(&mut self, entry: &LogEntry, answer: &ControlAnswer) {
        let ControlCommand::Claims { claims } = &entry.command else { return };
        let ControlAnswer::Claims(answers) = answer else {
            panic!("unexpected answer to claims: {answer:?}")
        };
        for (claim, answer) in claims.iter().zip(answers) {
            let ClaimAnswer::Granted(token) = answer else { continue };
            let last = self.granted_claims.values().map(|grant| grant.0).max().unwrap_or_default();
            let holder = (*token, claim.router.clone(), claim.attempt);
            let next = *token > last && token.number > last.number;
            match self.granted_claims.insert(claim.key.clone(), holder.clone()) {
                Some(before) => assert_eq!(before, holder, "{:?} was granted twice", claim.key),
                None => assert!(next, "token {token:?} is not higher than {last:?}"),
            }
        }
    }

    pub fn propose(&mut self, node_index: usize, command: ControlCommand) -> u64 {
        self.next_id += 1;
        let proposal = self.next_id;
        let time_ms = START_MS + self.time + self.nodes[node_index].wall_offset;
        self.handle(node_index, ReplicaEvent::Propose { proposal, command, time_ms });
        proposal
    }

    pub fn read(&mut self, node_index: usize) {
        self.next_id += 1;
        let acked = self.acknowledged_edits.values().max().copied().unwrap_or(0);
        self.min_read_revisions.insert(self.next_id, acked.max(self.highest_read_revision));
        self.handle(node_index, ReplicaEvent::Read { read: self.next_id });
    }

    pub fn change_members(&mut self, node_index: usize, change: MemberChange) -> u64 {
        self.next_id += 1;
        let proposal = self.next_id;
        self.handle(node_index, ReplicaEvent::ChangeMembers { proposal, change, time_ms: 0 });
        proposal
    }

    /// Adds a replica that is not in the membership, as an operator would after the
    /// loss of a disk.
    pub fn add_missing(&mut self) {
        let Some(leader) = self.leader() else { return };
        let members = self.nodes[leader].core.as_ref().unwrap().members().clone();
        let missing = self.nodes.iter().find(|node| members.get(node.identity.id).is_none());
        if let Some(identity) = missing.map(|node| node.identity.clone()) {
            self.change_members(leader, MemberChange::Add { identity, address: String::new() });
        }
    }

    /// True when every replica is a voter, runs, and has synced the committed log, so
    /// that the loss of one disk loses no data.
    pub fn all_members_vote(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let core = self.nodes[leader].core.as_ref().unwrap();
        let voting = |node: &SimNode| core.members().is_voter(node.identity.id);
        let holds = |node: &SimNode| {
            let synced = node
                .durable
                .snapshot
                .meta
                .index
                .max(node.durable.entries.last().map_or(0, |entry| entry.index));
            node.core.is_some() && synced >= core.commit_index()
        };
        core.members().iter().count() == self.nodes.len()
            && self.nodes.iter().all(|node| voting(node) && holds(node))
    }

    /// Advances the time by one step of 5 ms.
    pub fn step(&mut self) {
        self.time += 5;
        let mut due = Vec::new();
        let time = self.time;
        self.in_flight.retain(|(at, message)| {
            if *at <= time {
                due.push(message.clone());
            }
            *at > time
        });
        for message in due {
            let to = self.nodes.iter().position(|node| node.identity.name == message.to.name);
            match to {
                Some(node_index) if self.nodes[node_index].is_suspended(time) => {
                    // The sender's connection retransmits it with increasing delays.
                    let at = self.nodes[node_index].suspended_until + 1 + self.random_below(400);
                    self.in_flight.push((at, message));
                }
                Some(node_index) => self.handle(node_index, ReplicaEvent::Message(message)),
                None => {}
            }
        }
        for node_index in 0..self.nodes.len() {
            if self.nodes[node_index].suspended_until == self.time {
                self.read(node_index);
            }
            self.sync_writes(node_index);
            if self.time.is_multiple_of(20) {
                self.handle(node_index, ReplicaEvent::Tick);
            }
        }
        assert!(self.leaders().count() <= 1, "two leaders hold a lease");
    }

    fn sync_writes(&mut self, node_index: usize) {
        let delay = if self.random_below(50) == 0 { 300 } else { self.random_below(25) };
        let time = self.time;
        let node = &mut self.nodes[node_index];
        if node.is_suspended(time) {
            return;
        }
        match node.pending_sync {
            None => {
                let last = node.unsynced.back().map(write_sequence);
                node.pending_sync = last.map(|sequence| (time + delay, sequence));
            }
            Some((at, sequence)) if at <= time => {
                node.pending_sync = None;
                while node.unsynced.front().is_some_and(|w| write_sequence(w) <= sequence) {
                    let write = node.unsynced.pop_front().unwrap();
                    apply_write(&mut node.durable, &write, usize::MAX);
                }
                self.handle(node_index, ReplicaEvent::Synced { sequence });
            }
            Some(_) => {}
        }
    }

    pub fn run(&mut self, milliseconds: u64) {
        let end = self.time + milliseconds;
        while self.time < end {
            if self.random_below(1000) < self.faults.fault_permille {
                self.inject_fault();
            }
            if self.faults.suspend_permille > 0
                && self.random_below(1000) < self.faults.suspend_permille
            {
                self.suspend_leader();
            }
            if self.faults.pass_permille > 0 && self.random_below(1000) < self.faults.pass_permille
            {
                self.pass_lead();
            }
            if self.faults.fault_permille > 0 && self.random_below(6) == 0 {
                self.client_step();
            }
            if self.time.is_multiple_of(200) {
                self.add_missing();
            }
            self.step();
        }
    }

    /// Ends all faults and restarts the replicas that are down.
    pub fn heal(&mut self) {
        self.faults = SimFaults::NONE;
        self.blocked_links.clear();
        while let Some(node_index) = self.nodes.iter().position(|node| node.core.is_none()) {
            self.restart(node_index);
        }
    }
}
