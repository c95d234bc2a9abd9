//! Faults of replicas, their hosts and the network between them.

use super::sim_node::apply_write;
use super::{Sim, identity};
use baobabfall_core::replica_events::{ReplicaEffect, StoredReplica};
use baobabfall_core::replica_members::ReplicaMembers;

impl Sim {
    /// Stops a replica; some unsynced writes last, the next one in part.
    pub fn crash(&mut self, place: usize) {
        let lasting = self.below(3);
        let partly = usize::try_from(self.below(3)).unwrap();
        let node = &mut self.nodes[place];
        if node.core.take().is_none() {
            return;
        }
        let mut writes = std::mem::take(&mut node.unsynced);
        for _ in 0..lasting {
            let Some(write) = writes.pop_front() else { break };
            apply_write(&mut node.durable, &write, usize::MAX);
        }
        if let Some(write @ ReplicaEffect::Persist { .. }) = writes.pop_front()
            && partly > 0
        {
            apply_write(&mut node.durable, &write, partly - 1);
        }
        node.sync = None;
    }

    /// Replaces a replica by an empty one under a new identity.
    pub fn lose_disk(&mut self, place: usize) {
        self.crash(place);
        self.lost_disks += 1;
        self.next_id += 1;
        let identity = identity(place, self.next_id);
        let stored = StoredReplica::empty(ReplicaMembers::default());
        self.nodes[place] = self.new_node(identity, stored);
        self.restart(place);
    }

    pub fn chaos_step(&mut self) {
        let place = self.place();
        let other = self.place();
        match self.below(12) {
            0 | 1 => self.crash(place),
            2..=5 => {
                let down = self.nodes.iter().position(|node| node.core.is_none());
                if let Some(place) = down {
                    self.restart(place);
                }
            }
            6 => self.blocked.extend([(place, other), (other, place)]),
            7 if self.below(2) == 0 => self.blocked.push((place, other)),
            7 => {
                let count = self.nodes.len();
                self.blocked.extend((0..count).flat_map(|n| [(place, n), (n, place)]));
            }
            8 | 9 => self.blocked.clear(),
            _ if self.all_members_vote() => self.lose_disk(place),
            _ => {}
        }
    }

    /// Suspends the host of the leader: its clock stands still meanwhile.
    pub fn suspend_leader(&mut self) {
        let Some(place) = self.leader() else { return };
        let length = 500 + 5 * self.below(600);
        let node = &mut self.nodes[place];
        node.woken = self.time + length;
        node.suspended += length;
        self.suspensions += 1;
    }
}
