//! A simulated replica with its disk and its clock. Times are in milliseconds.

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
    /// `None` while the replica is down.
    pub core: Option<ReplicaCore<StdRng>>,
    pub state: ControlState,
    /// Content of the disk after the synced writes.
    pub durable: StoredReplica,
    pub unsynced: VecDeque<ReplicaEffect>,
    /// When the running sync ends, and the last write that it covers.
    pub pending_sync: Option<(u64, u64)>,
    pub started_at: u64,
    /// Rate of the clock in thousandths of the simulated time.
    pub clock_rate: u64,
    /// Time by which the wall clock is ahead of the simulated time.
    pub wall_offset: u64,
    /// End of the last suspension, or 0 if there was none since the start.
    pub suspended_until: u64,
    /// Total time since the start during which the clock stood still.
    pub suspended_ms: u64,
}

impl SimNode {
    pub fn now(&self, time: u64) -> Duration {
        Duration::from_micros((time - self.started_at - self.suspended_ms) * self.clock_rate)
    }

    pub fn is_suspended(&self, time: u64) -> bool {
        time < self.suspended_until
    }

    /// True during a suspension and shortly after it, while the clock may still count
    /// a lease that has ended in the meantime.
    pub fn lease_may_be_stale(&self, time: u64) -> bool {
        self.suspended_until > 0 && time < self.suspended_until + 500
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
                let Some(position) = entry.index.checked_sub(base + 1) else { continue };
                durable.entries.truncate(usize::try_from(position).unwrap());
                assert_eq!(durable.entries.len(), usize::try_from(position).unwrap());
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

pub fn restore_state(snapshot: &SnapshotData) -> ControlState {
    match snapshot.meta.index {
        0 => ControlState::default(),
        _ => ControlState::from_snapshot(&snapshot.bytes).unwrap(),
    }
}
