//! Availability zones whose upstreams get no requests, by order of the operators.

use crate::sorted_map::SortedMap;
use serde::{Deserialize, Serialize};

/// Maximum number of zones that may be evacuated at once, and of zones whose last change is kept.
pub const ZONE_LIMIT: usize = 256;

/// The evacuated zones as of one version of the replicated log's set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Increases with each change of the set; zero while there was none.
    pub version: u64,
    /// Names of the evacuated zones, sorted.
    pub zones: Vec<String>,
}

impl EvacuationList {
    /// True if the zone is evacuated.
    ///
    /// ```
    /// use baobabfall_core::zone_evacuations::EvacuationList;
    /// let list = EvacuationList { version: 3, zones: vec!["a".to_owned(), "c".to_owned()] };
    /// assert!(list.contains("c") && !list.contains("b"));
    /// ```
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.binary_search_by(|held| held.as_str().cmp(zone)).is_ok()
    }
}

/// Order of an operator to evacuate a zone or to readmit it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Name of the zone.
    pub zone: String,
    /// True to evacuate the zone, false to readmit it.
    pub evacuated: bool,
    /// Version of the set that the controller held when it received the order. A later change of
    /// the zone overtakes the order: a copy that was held up on its way must not revert it.
    pub seen: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvacuationAnswer {
    /// The zone is as ordered since this version of the set or an earlier one.
    InForce(u64),
    /// The zone was changed after the order had been received; holds the version of the set. The
    /// order changed nothing.
    Overtaken(u64),
    /// [`ZONE_LIMIT`] zones are evacuated; the order changed nothing.
    LimitReached,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ZoneRecord {
    evacuated: bool,
    /// Version of the set with the last change of the zone.
    changed: u64,
}

/// The set of evacuated zones, as the replicated log determines it.
///
/// ```
/// use baobabfall_core::zone_evacuations::{EvacuationAnswer, EvacuationOrder, ZoneEvacuations};
/// let order = |evacuated, seen| EvacuationOrder { zone: "a".to_owned(), evacuated, seen };
/// let mut set = ZoneEvacuations::default();
/// assert_eq!(set.apply(&order(true, 0)), EvacuationAnswer::InForce(1));
/// assert_eq!(set.apply(&order(true, 0)), EvacuationAnswer::InForce(1), "sent again");
/// assert_eq!(set.apply(&order(false, 1)), EvacuationAnswer::InForce(2));
/// assert_eq!(set.apply(&order(true, 0)), EvacuationAnswer::Overtaken(2), "a late copy");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuations {
    version: u64,
    zones: SortedMap<String, ZoneRecord>,
}

impl ZoneEvacuations {
    /// Increases with each change of the set; zero while there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies an order. One that is already in force changes nothing and is answered again.
    pub fn apply(&mut self, order: &EvacuationOrder) -> EvacuationAnswer {
        let record = self.zones.get(&order.zone).copied();
        if record.is_some_and(|record| record.evacuated) == order.evacuated {
            return EvacuationAnswer::InForce(self.version);
        }
        if record.is_some_and(|record| record.changed > order.seen) {
            return EvacuationAnswer::Overtaken(self.version);
        }
        if order.evacuated && self.evacuated().count() >= ZONE_LIMIT {
            return EvacuationAnswer::LimitReached;
        }
        self.version += 1;
        let record = ZoneRecord { evacuated: order.evacuated, changed: self.version };
        self.zones.insert(order.zone.clone(), record);
        self.forget_oldest();
        EvacuationAnswer::InForce(self.version)
    }

    fn forget_oldest(&mut self) {
        let readmitted = self.zones.iter().filter(|(_, record)| !record.evacuated);
        let oldest = readmitted.min_by_key(|(_, record)| record.changed);
        let oldest = oldest.map(|(name, _)| name.clone());
        if let Some(name) = oldest.filter(|_| self.zones.len() > ZONE_LIMIT) {
            self.zones.remove(&name);
        }
    }

    fn evacuated(&self) -> impl Iterator<Item = &String> {
        self.zones.iter().filter(|(_, record)| record.evacuated).map(|(name, _)| name)
    }

    /// The evacuated zones with the version of the set.
    pub fn list(&self) -> EvacuationList {
        EvacuationList { version: self.version, zones: self.evacuated().cloned().collect() }
    }

    /// The evacuated zones, unless a holder of `version` knows them.
    pub fn list_since(&self, version: u64) -> Option<EvacuationList> {
        (self.version > version).then(|| self.list())
    }
}
