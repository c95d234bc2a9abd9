//! Counts of what became of the requests of each workspace, by number and expected cost. The log
//! shows from them whether a workspace that is refused asked for less, queued for less or was
//! granted less than others.

use baobabfall_core::dispatch_messages::CostUnits;
use baobabfall_core::sorted_map::SortedMap;
use std::sync::{Mutex, PoisonError};

/// Workspaces that are counted between two readings. Requests of further ones aren't counted.
const WORKSPACE_LIMIT: usize = 1024;

/// What became of a request that needed a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandStep {
    /// It arrived. Each request is counted once, before any other step.
    Asked,
    /// It got a slot.
    Granted,
    /// It was refused on arrival because the queue was too long.
    Refused,
    /// It waited in the queue until its time limit.
    Expired,
}

/// Number and expected cost of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandSum {
    /// Number of requests.
    pub requests: u64,
    /// Sum of their expected costs.
    pub cost: CostUnits,
}

impl DemandSum {
    fn add(&mut self, cost: CostUnits) {
        self.requests += 1;
        self.cost = self.cost.saturating_add(cost);
    }
}

/// What became of the requests of one workspace since the last reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandCounts {
    /// Requests that arrived.
    pub asked: DemandSum,
    /// Requests that got a slot.
    pub granted: DemandSum,
    /// Requests that were refused on arrival.
    pub refused: DemandSum,
    /// Requests that waited in the queue until their time limit.
    pub expired: DemandSum,
}

impl DemandCounts {
    /// Requests that got no slot.
    pub fn unserved(&self) -> u64 {
        self.refused.requests + self.expired.requests
    }
}

/// Counts by workspace. Request tasks update them.
///
/// ```
/// use baobabfall_router::demand_tally::{DemandStep, DemandTally};
/// let tally = DemandTally::default();
/// tally.count("team-a", DemandStep::Asked, 900);
/// tally.count("team-a", DemandStep::Expired, 900);
/// tally.count("team-b", DemandStep::Asked, 100);
/// let unserved = tally.take_unserved(8);
/// assert_eq!(unserved.len(), 1);
/// assert_eq!((unserved[0].0.as_str(), unserved[0].1.expired.cost), ("team-a", 900));
/// assert!(tally.take_unserved(8).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct DemandTally {
    counts: Mutex<SortedMap<String, DemandCounts>>,
}

impl DemandTally {
    /// Counts one step of a request of `workspace` with the given expected cost.
    pub fn count(&self, workspace: &str, step: DemandStep, cost: CostUnits) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.contains_key(workspace) {
            if counts.len() >= WORKSPACE_LIMIT {
                return;
            }
            counts.insert(workspace.to_owned(), DemandCounts::default());
        }
        let Some(known) = counts.get_mut(workspace) else { return };
        let sum = match step {
            DemandStep::Asked => &mut known.asked,
            DemandStep::Granted => &mut known.granted,
            DemandStep::Refused => &mut known.refused,
            DemandStep::Expired => &mut known.expired,
        };
        sum.add(cost);
    }

    /// Returns the counts of the `limit` workspaces with the most requests that got no slot, the
    /// first of them first, and begins new counts of all.
    pub fn take_unserved(&self, limit: usize) -> Vec<(String, DemandCounts)> {
        let counts =
            std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner));
        let mut unserved: Vec<_> =
            counts.into_iter().filter(|(_, counts)| counts.unserved() > 0).collect();
        unserved.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.unserved()));
        unserved.truncate(limit);
        unserved
    }
}
