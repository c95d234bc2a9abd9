//! Availability zones whose upstreams get no requests, by order of the operators.

use serde::{Deserialize, Serialize};

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
