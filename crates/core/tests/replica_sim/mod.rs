//! Simulation of replicas on a lossy network with disks that lose unsynced
//! writes. Every run is determined by its seed.

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

use sim_node::{SimNode, apply_write, restored, write_sequence};

/// Wall clock at the start: 2026-12-03.
const START_MS: u64 = 1_796_256_000_000;

#[derive(Clone, Copy)]
pub struct SimFaults {
    /// Chance of loss and of doubling of a message, in thousandths.
    pub loss: u64,
    /// Chance per step of a crash, partition, repair or lost disk.
    pub chaos: u64,
    /// Chance per step that the host of a leader is suspended.
    pub suspend: u64,
}

pub struct Sim {
    pub random: StdRng,
    pub time: u64,
    pub nodes: Vec<SimNode>,
    pub blocked: Vec<(usize, usize)>,
    pub faults: SimFaults,
    network: Vec<(u64, ReplicaMessage)>,
    next_id: u64,
    /// Committed entries as the first replica applied them.
    pub committed: Vec<LogEntry>,
    /// Canonical state after all committed entries.
    pub canonical: ControlState,
    digests: Vec<Option<blake3::Hash>>,
    pub acked: SortedMap<String, u64>,
    granted: SortedMap<ActionKey, (FencingToken, NodeIdentity, u64)>,
    issued: Vec<ControlCommand>,
    reads: SortedMap<u64, u64>,
    pub read_revision: u64,
    pub restores: usize,
    pub lost_disks: usize,
    pub suspensions: usize,
    pub answers: SortedMap<u64, ControlAnswer>,
}

fn identity(place: usize, id: u64) -> ReplicaIdentity {
    ReplicaIdentity { name: format!("controller-{place}"), id }
}

fn stored_members(count: usize) -> ReplicaMembers {
    let mut members = ReplicaMembers::default();
    for place in 0..count {
        let id = u64::try_from(place).unwrap() + 1;
        members = members.with_learner(identity(place, id), String::new()).with_voter(id);
    }
    members
}

impl Sim {
    pub fn new(seed: u64, count: usize, faults: SimFaults) -> Self {
        let mut sim = Self {
            random: StdRng::seed_from_u64(seed),
            time: 0,
            nodes: Vec::new(),
            blocked: Vec::new(),
            faults,
            network: Vec::new(),
            next_id: 100,
            committed: Vec::new(),
            canonical: ControlState::default(),
            digests: Vec::new(),
            acked: SortedMap::new(),
            granted: SortedMap::new(),
            issued: Vec::new(),
            reads: SortedMap::new(),
            read_revision: 0,
            restores: 0,
            lost_disks: 0,
            suspensions: 0,
            answers: SortedMap::new(),
        };
        for place in 0..count {
            let identity = identity(place, u64::try_from(place).unwrap() + 1);
            let stored = StoredReplica::empty(stored_members(count));
            let node = sim.new_node(identity, stored);
            sim.nodes.push(node);
            sim.restart(place);
        }
        sim
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    fn place(&mut self) -> usize {
        let count = u64::try_from(self.nodes.len()).unwrap();
        usize::try_from(self.below(count)).unwrap()
    }

    fn new_node(&mut self, identity: ReplicaIdentity, durable: StoredReplica) -> SimNode {
        SimNode {
            identity,
            core: None,
            state: ControlState::default(),
            durable,
            unsynced: VecDeque::new(),
            sync: None,
            started: self.time,
            rate: 900 + self.below(200),
            wall_offset: self.below(120_000),
            woken: 0,
            suspended: 0,
        }
    }

    pub fn restart(&mut self, place: usize) {
        let random = StdRng::seed_from_u64(self.random.next_u64());
        let node = &mut self.nodes[place];
        let mut options = ReplicaOptions::new(node.identity.clone());
        (options.snapshot_entries, options.trailing_entries) = (12, 4);
        (node.started, node.woken, node.suspended) = (self.time, 0, 0);
        node.state = restored(&node.durable.snapshot);
        node.core = Some(ReplicaCore::new(Duration::ZERO, options, node.durable.clone(), random));
    }

    /// Replicas that hold a lease.
    fn leaders(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|place| {
            let node = &self.nodes[*place];
            !node.lease_is_doubtful(self.time)
                && node.core.as_ref().is_some_and(|core| core.has_lease(node.now(self.time)))
        })
    }

    pub fn leader(&self) -> Option<usize> {
        self.leaders().next()
    }

    pub fn handle(&mut self, place: usize, event: ReplicaEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            if self.nodes[place].is_suspended(self.time) {
                return;
            }
            let now = self.nodes[place].now(self.time);
            let Some(core) = &mut self.nodes[place].core else { return };
            for effect in core.handle(now, [event]) {
                self.carry_out(place, effect, &mut events);
            }
        }
    }

    fn carry_out(&mut self, place: usize, effect: ReplicaEffect, events: &mut Vec<ReplicaEvent>) {
        match effect {
            ReplicaEffect::Persist { .. } => self.nodes[place].unsynced.push_back(effect),
            ReplicaEffect::StoreSnapshot { ref snapshot, restore, .. } => {
                if restore {
                    self.restores += 1;
                    self.nodes[place].state = restored(snapshot);
                }
                self.nodes[place].unsynced.push_back(effect);
            }
            ReplicaEffect::Send(message) => self.send(place, message),
            ReplicaEffect::Apply { entry, proposal } => self.apply(place, entry, proposal),
            ReplicaEffect::RejectProposal { .. } | ReplicaEffect::RejectRead { .. } => {}
            ReplicaEffect::ReadReady { read } => {
                let revision = self.nodes[place].state.history().revision();
                let least = self.reads.get(&read).copied().unwrap();
                assert!(revision >= least, "a read returned revision {revision} after {least}");
                self.read_revision = self.read_revision.max(revision);
            }
            ReplicaEffect::TakeSnapshot(meta) => {
                assert_eq!(meta.index, self.nodes[place].state.applied_index());
                let bytes = Arc::new(self.nodes[place].state.to_snapshot().unwrap());
                events.push(ReplicaEvent::SnapshotTaken(SnapshotData { meta, bytes }));
            }
        }
    }

    fn send(&mut self, place: usize, message: ReplicaMessage) {
        let Some(to) = self.nodes.iter().position(|node| node.identity.name == message.to.name)
        else {
            return;
        };
        if self.blocked.contains(&(place, to)) || self.below(1000) < self.faults.loss {
            return;
        }
        let copies = if self.below(1000) < self.faults.loss { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.below(1000) < self.faults.loss / 2;
            let delay = if slow { self.below(1500) } else { 1 + self.below(15) };
            self.network.push((self.time + delay, message.clone()));
        }
    }

    fn apply(&mut self, place: usize, entry: LogEntry, proposal: Option<u64>) {
        let index = usize::try_from(entry.index).unwrap() - 1;
        assert!(index <= self.committed.len(), "replica {place} applied past the commit");
        if index == self.committed.len() {
            self.committed.push(entry.clone());
            let answer = self.canonical.apply(&entry);
            self.check_grants(&entry, &answer);
            let digest = (entry.index.is_multiple_of(20))
                .then(|| blake3::hash(&self.canonical.to_snapshot().unwrap()));
            self.digests.push(digest);
        }
        assert_eq!(entry, self.committed[index], "replica {place} diverged");
        let answer = self.nodes[place].state.apply(&entry);
        if let Some(digest) = self.digests[index] {
            let state = self.nodes[place].state.to_snapshot().unwrap();
            assert_eq!(blake3::hash(&state), digest, "the state of replica {place} diverged");
        }
        if let Some(proposal) = proposal {
            self.take_answer(&entry, &answer);
            self.answers.insert(proposal, answer);
        }
    }

    fn take_answer(&mut self, entry: &LogEntry, answer: &ControlAnswer) {
        let ControlAnswer::Accepted(accepted) = answer else { return };
        let id = entry.command.edit().unwrap().id.clone();
        let before = self.acked.insert(id, accepted.revision);
        assert!(before.is_none_or(|revision| revision == accepted.revision));
    }

    /// Checks all committed grants, also those whose answer was lost.
    fn check_grants(&mut self, entry: &LogEntry, answer: &ControlAnswer) {
        let ControlCommand::Claims { claims } = &entry.command else { return };
        let ControlAnswer::Claims(answers) = answer else { panic!("claims got {answer:?}") };
        for (claim, answer) in claims.iter().zip(answers) {
            let ClaimAnswer::Granted(token) = answer else { continue };
            let last = self.granted.values().map(|held| held.0).max().unwrap_or_default();
            let holder = (*token, claim.router.clone(), claim.attempt);
            let next = *token > last && token.number > last.number;
            match self.granted.insert(claim.key.clone(), holder.clone()) {
                Some(before) => assert_eq!(before, holder, "{:?} was granted twice", claim.key),
                None => assert!(next, "token {token:?} does not grow after {last:?}"),
            }
        }
    }

    pub fn propose(&mut self, place: usize, command: ControlCommand) -> u64 {
        self.next_id += 1;
        let proposal = self.next_id;
        let time_ms = START_MS + self.time + self.nodes[place].wall_offset;
        self.handle(place, ReplicaEvent::Propose { proposal, command, time_ms });
        proposal
    }

    pub fn read(&mut self, place: usize) {
        self.next_id += 1;
        let acked = self.acked.values().max().copied().unwrap_or(0);
        self.reads.insert(self.next_id, acked.max(self.read_revision));
        self.handle(place, ReplicaEvent::Read { read: self.next_id });
    }

    pub fn change_members(&mut self, place: usize, change: MemberChange) -> u64 {
        self.next_id += 1;
        let proposal = self.next_id;
        self.handle(place, ReplicaEvent::ChangeMembers { proposal, change, time_ms: 0 });
        proposal
    }

    /// Adds the replacement of a lost replica, as an operator would.
    pub fn add_missing(&mut self) {
        let Some(leader) = self.leader() else { return };
        let members = self.nodes[leader].core.as_ref().unwrap().members().clone();
        let missing = self.nodes.iter().find(|node| members.get(node.identity.id).is_none());
        if let Some(identity) = missing.map(|node| node.identity.clone()) {
            self.change_members(leader, MemberChange::Add { identity, address: String::new() });
        }
    }

    /// True when the leader counts every replica and each holds all of the
    /// log, so that the loss of one disk loses no data.
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

    /// Moves the time on by one step of 5 ms.
    pub fn step(&mut self) {
        self.time += 5;
        let mut due = Vec::new();
        let time = self.time;
        self.network.retain(|(at, message)| {
            if *at <= time {
                due.push(message.clone());
            }
            *at > time
        });
        for message in due {
            let to = self.nodes.iter().position(|node| node.identity.name == message.to.name);
            match to {
                Some(place) if self.nodes[place].is_suspended(time) => {
                    // The sender's connection repeats it with growing pauses.
                    let at = self.nodes[place].woken + 1 + self.below(400);
                    self.network.push((at, message));
                }
                Some(place) => self.handle(place, ReplicaEvent::Message(message)),
                None => {}
            }
        }
        for place in 0..self.nodes.len() {
            if self.nodes[place].woken == self.time {
                self.read(place);
            }
            self.sync_step(place);
            if self.time.is_multiple_of(20) {
                self.handle(place, ReplicaEvent::Tick);
            }
        }
        assert!(self.leaders().count() <= 1, "two leaders hold a lease");
    }

    fn sync_step(&mut self, place: usize) {
        let delay = if self.below(50) == 0 { 300 } else { self.below(25) };
        let time = self.time;
        let node = &mut self.nodes[place];
        if node.is_suspended(time) {
            return;
        }
        match node.sync {
            None => {
                let last = node.unsynced.back().map(write_sequence);
                node.sync = last.map(|sequence| (time + delay, sequence));
            }
            Some((at, sequence)) if at <= time => {
                node.sync = None;
                while node.unsynced.front().is_some_and(|w| write_sequence(w) <= sequence) {
                    let write = node.unsynced.pop_front().unwrap();
                    apply_write(&mut node.durable, &write, usize::MAX);
                }
                self.handle(place, ReplicaEvent::Synced { sequence });
            }
            Some(_) => {}
        }
    }

    pub fn run(&mut self, milliseconds: u64) {
        let end = self.time + milliseconds;
        while self.time < end {
            if self.below(1000) < self.faults.chaos {
                self.chaos_step();
            }
            if self.faults.suspend > 0 && self.below(1000) < self.faults.suspend {
                self.suspend_leader();
            }
            if self.faults.chaos > 0 && self.below(6) == 0 {
                self.client_step();
            }
            if self.time.is_multiple_of(200) {
                self.add_missing();
            }
            self.step();
        }
    }

    /// Ends all faults and restarts what is down.
    pub fn heal(&mut self) {
        self.faults = SimFaults { loss: 0, chaos: 0, suspend: 0 };
        self.blocked.clear();
        while let Some(place) = self.nodes.iter().position(|node| node.core.is_none()) {
            self.restart(place);
        }
    }
}
