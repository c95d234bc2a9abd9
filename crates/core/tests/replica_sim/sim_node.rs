//! One replica with its disk and its clock.

use baobabfall_core::control_state::ControlState;
use baobabfall_core::replica_core::ReplicaCore;
use baobabfall_core::replica_events::{ReplicaEffect, StoredReplica};
use baobabfall_core::replica_members::ReplicaIdentity;
use baobabfall_core::replica_messages::SnapshotData;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use std::time::Duration;

pub struct SimNode {
    pub identity: ReplicaIdentity,
    pub core: Option<ReplicaCore<StdRng>>,
    pub state: ControlState,
    pub durable: StoredReplica,
    pub unsynced: VecDeque<ReplicaEffect>,
    pub sync: Option<(u64, u64)>,
    pub started: u64,
    /// Rate of the clock in thousandths.
    pub rate: u64,
    pub wall_offset: u64,
    /// End of a suspension, during which the clock stands still.
    pub woken: u64,
    /// Time that the clock did not count.
    pub suspended: u64,
}

impl SimNode {
    pub fn now(&self, time: u64) -> Duration {
        Duration::from_micros((time - self.started - self.suspended) * self.rate)
    }

    pub fn is_suspended(&self, time: u64) -> bool {
        time < self.woken
    }

    /// True when a lease that the clock still counts may have ended long ago.
    pub fn lease_is_doubtful(&self, time: u64) -> bool {
        self.woken > 0 && time < self.woken + 500
    }
}

pub fn write_sequence(write: &ReplicaEffect) -> u64 {
    match write {
        ReplicaEffect::Persist { sequence, .. } | ReplicaEffect::StoreSnapshot { sequence, .. } => {
            *sequence
        }
        _ => unreachable!("only writes are queued"),
    }
}

pub fn apply_write(durable: &mut StoredReplica, write: &ReplicaEffect, limit: usize) {
    match write {
        ReplicaEffect::Persist { term_vote, entries, .. } => {
            durable.term_vote = term_vote.unwrap_or(durable.term_vote);
            for entry in entries.iter().take(limit) {
                let base = durable.snapshot.meta.index;
                let Some(place) = entry.index.checked_sub(base + 1) else { continue };
                durable.entries.truncate(usize::try_from(place).unwrap());
                assert_eq!(durable.entries.len(), usize::try_from(place).unwrap());
                durable.entries.push(entry.clone());
            }
        }
        ReplicaEffect::StoreSnapshot { snapshot, term_vote, tail, .. } => {
            let (snapshot, term_vote, entries) = (snapshot.clone(), *term_vote, tail.clone());
            *durable = StoredReplica { snapshot, term_vote, entries };
        }
        _ => unreachable!("only writes are queued"),
    }
}

pub fn restored(snapshot: &SnapshotData) -> ControlState {
    match snapshot.meta.index {
        0 => ControlState::default(),
        _ => ControlState::from_snapshot(&snapshot.bytes).unwrap(),
    }
}
