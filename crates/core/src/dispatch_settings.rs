//! Settings of the dispatcher with their defaults.

use crate::dispatch_messages::{CostUnits, UNITS_PER_TOKEN};
use std::time::Duration;

/// Settings of dispatch, rate limits and placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Maximum time that a new dispatcher waits for full reports before it grants slots.
    pub recovery_wait: Duration,
    /// Time without a report after which the leases of a router are reclaimed.
    pub router_silence: Duration,
    /// Time without a report after which a router is removed. Until then it counts in the number
    /// of routers by which an isolated router divides the slots of each upstream.
    pub router_retention: Duration,
    /// Maximum number of (workspace, target) pairs for which costs are learnt.
    pub estimate_limit: usize,
    /// Time over which a workspace can accumulate unused rate; bounds the burst.
    pub rate_burst: Duration,
    /// Maximum wait caused by rate limits. If a workspace would have to wait longer, its queued
    /// requests are refused.
    pub longest_rate_wait: Duration,
    /// Minimum retry time that a refused request is given.
    pub queue_full_retry: Duration,
    /// Least service rate per slot that the debt cap assumes, in cost units per second. It keeps
    /// the cap above zero after a restart, when no service has been measured yet.
    pub nominal_slot_rate: CostUnits,
    /// Settings of the choice of upstreams.
    pub placement: PlacementSettings,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            recovery_wait: Duration::from_millis(300),
            router_silence: Duration::from_secs(10),
            router_retention: Duration::from_secs(600),
            estimate_limit: 16_384,
            rate_burst: Duration::from_secs(10),
            longest_rate_wait: Duration::from_secs(30),
            queue_full_retry: Duration::from_secs(1),
            nominal_slot_rate: 30 * UNITS_PER_TOKEN,
            placement: PlacementSettings::default(),
        }
    }
}

/// Settings of learnt capacity, ejection, slow start and prefix affinity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Minimum time between two decreases of a learnt capacity, so that one overload causes only
    /// one decrease.
    pub decrease_interval: Duration,
    /// Minimum time between two increases of a learnt capacity by one slot.
    pub increase_interval: Duration,
    /// Quarters of the learnt capacity that remain after a decrease.
    pub quarters_after_decrease: u32,
    /// The upstream counts as overloaded when the short-term mean of its first-token times exceeds
    /// the long-term mean by this factor.
    pub slow_first_token_factor: u64,
    /// Short-term mean of first-token times, in milliseconds, up to which an upstream never counts
    /// as overloaded.
    pub min_slow_first_token_ms: u64,
    /// Number of consecutive failures after which an upstream is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection; doubles with each further ejection.
    pub first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub longest_ejection: Duration,
    /// Time over which the slots of a new or readmitted upstream rise to its capacity.
    pub slow_start: Duration,
    /// Interval at which the slots of an upstream in slow start are recomputed.
    pub slow_start_step: Duration,
    /// Time from the start of a term during which announced upstreams count as already known to
    /// the fleet and skip slow start.
    pub known_upstreams_grace: Duration,
    /// Time for which an upstream is assumed to hold a prompt prefix in its cache.
    pub prefix_lifetime: Duration,
    /// Number of entries in the table of prefix hints. Prefixes that map to the same entry
    /// overwrite each other, so it must be much larger than the number of prefixes in use.
    pub prefix_hint_limit: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            decrease_interval: Duration::from_secs(1),
            increase_interval: Duration::from_millis(500),
            quarters_after_decrease: 3,
            slow_first_token_factor: 4,
            min_slow_first_token_ms: 500,
            ejection_failures: 5,
            first_ejection: Duration::from_secs(5),
            longest_ejection: Duration::from_secs(60),
            slow_start: Duration::from_secs(4),
            slow_start_step: Duration::from_millis(250),
            known_upstreams_grace: Duration::from_secs(3),
            prefix_lifetime: Duration::from_secs(30),
            prefix_hint_limit: 131_072,
        }
    }
}
