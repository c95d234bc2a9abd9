//! Set of the upstream incarnations that have left the fleet, as a copy of the replicated log.

use crate::control_state::{DEREGISTERED_LIMIT, DeregisteredUpstream};
use crate::sorted_map::SortedMap;
use serde::{Deserialize, Serialize};

/// Departures that a holder of an earlier version lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureList {
    /// Version of the log's set up to which the list is complete.
    pub version: u64,
    /// Name of each upstream and the latest of its incarnations that has left.
    pub departures: Vec<(String, DeregisteredUpstream)>,
}

/// Departed upstreams by name. Departures are only added: a list that arrives late or twice, or
/// from a controller that lags behind, changes nothing.
///
/// ```
/// use baobabfall_core::control_state::DeregisteredUpstream;
/// use baobabfall_core::departure_set::{DepartureList, DepartureSet};
/// let left = DeregisteredUpstream { incarnation: 3, number: 1 };
/// let list = DepartureList { version: 1, departures: vec![("engine-1".to_owned(), left)] };
/// let mut set = DepartureSet::default();
/// assert_eq!(set.merge(&list), ["engine-1"]);
/// assert!(set.has_left("engine-1", 3) && !set.has_left("engine-1", 4));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartureSet {
    version: u64,
    latest: SortedMap<String, DeregisteredUpstream>,
}

impl DepartureSet {
    /// Version of the log's set up to which this copy is complete; 0 before the first list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// True if this incarnation of the upstream, or a later one, has left.
    pub fn has_left(&self, name: &str, incarnation: u64) -> bool {
        self.latest.get(name).is_some_and(|left| left.incarnation >= incarnation)
    }

    /// Adds the departures of a list and returns the names of those that are new.
    pub fn merge(&mut self, list: &DepartureList) -> Vec<String> {
        let mut added = Vec::new();
        for (name, left) in &list.departures {
            if !self.has_left(name, left.incarnation) {
                self.latest.insert(name.clone(), *left);
                added.push(name.clone());
            }
        }
        self.version = self.version.max(list.version);
        trim_departures(&mut self.latest, self.version);
        added
    }
}

/// Keeps the most recent half of the departures once there are more than [`DEREGISTERED_LIMIT`].
/// `latest` is the number of the latest one.
pub(crate) fn trim_departures(
    departures: &mut SortedMap<String, DeregisteredUpstream>,
    latest: u64,
) {
    if departures.len() > DEREGISTERED_LIMIT {
        let cutoff = latest.saturating_sub(u64::try_from(DEREGISTERED_LIMIT / 2).unwrap_or(0));
        departures.retain(|_, upstream| upstream.number > cutoff);
    }
}
