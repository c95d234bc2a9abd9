//! Injection of faults: crashes, lost disks, partitions and suspended hosts.

use super::sim_node::apply_write;
use super::{Sim, identity};
use baobabfall_core::replica_events::{ReplicaEffect, ReplicaEvent, StoredReplica};
use baobabfall_core::replica_members::ReplicaMembers;

impl Sim {
    /// Stops a replica. Up to two unsynced writes still reach the disk, and possibly a
    /// part of the next one.
    pub fn crash(&mut self, node_index: usize) {
        let whole_writes = self.random_below(3);
        let partial_write = usize::try_from(self.random_below(3)).unwrap();
        let node = &mut self.nodes[node_index];
        if node.core.take().is_none() {
            return;
        }
        let mut writes = std::mem::take(&mut node.unsynced);
        for _ in 0..whole_writes {
            let Some(write) = writes.pop_front() else { break };
            apply_write(&mut node.durable, &write, usize::MAX);
        }
        if let Some(write @ ReplicaEffect::Persist { .. }) = writes.pop_front()
            && partial_write > 0
        {
            apply_write(&mut node.durable, &write, partial_write - 1);
        }
        node.pending_sync = None;
    }

    /// Replaces a replica by an empty one with the same name and a new id.
    pub fn lose_disk(&mut self, node_index: usize) {
        self.crash(node_index);
        self.lost_disks += 1;
        self.next_id += 1;
        let identity = identity(node_index, self.next_id);
        let stored = StoredReplica::empty(ReplicaMembers::default());
        self.nodes[node_index] = self.new_node(identity, stored);
        self.restart(node_index);
    }

    pub fn inject_fault(&mut self) {
        let node_index = self.random_node();
        let other = self.random_node();
        match self.random_below(12) {
            0 | 1 => self.crash(node_index),
            2..=5 => {
                let down = self.nodes.iter().position(|node| node.core.is_none());
                if let Some(node_index) = down {
                    self.restart(node_index);
                }
            }
            6 => self.blocked_links.extend([(node_index, other), (other, node_index)]),
            7 if self.random_below(2) == 0 => self.blocked_links.push((node_index, other)),
            7 => {
                let count = self.nodes.len();
                self.blocked_links
                    .extend((0..count).flat_map(|n| [(node_index, n), (n, node_index)]));
            }
            8 | 9 => self.blocked_links.clear(),
            _ if self.all_members_vote() => self.lose_disk(node_index),
            _ => {}
        }
    }

    /// Asks the leader to pass the lead on.
    pub fn pass_lead(&mut self) {
        let Some(leader) = self.leader() else { return };
        self.handle(leader, ReplicaEvent::PassLead);
        self.passed_leads += usize::from(self.leader() != Some(leader));
    }

    /// Suspends the host of the leader, so that its clock stands still meanwhile.
    pub fn suspend_leader(&mut self) {
        let Some(node_index) = self.leader() else { return };
        let length = 500 + 5 * self.random_below(600);
        let node = &mut self.nodes[node_index];
        node.suspended_until = self.time + length;
        node.suspended_ms += length;
        self.suspensions += 1;
    }
}
