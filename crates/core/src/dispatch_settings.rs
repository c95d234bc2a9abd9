//! Settings of the dispatcher with their units and defaults.

use crate::dispatch_messages::{CostUnits, UNITS_PER_TOKEN};
use std::time::Duration;

/// Constants of dispatch, rate limits and placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Longest wait of a new dispatcher for full reports.
    pub recovery_wait: Duration,
    /// A router silent for this long loses its leases.
    pub router_silence: Duration,
    /// A silent router no longer counts towards isolated shares after this.
    pub router_retention: Duration,
    /// Most pairs of workspace and target whose costs are learnt.
    pub estimate_limit: usize,
    /// Time over which unused rate may be saved up.
    pub rate_burst: Duration,
    /// A workspace whose rates make it wait longer has its queue refused.
    pub longest_rate_wait: Duration,
    /// Retry time given when a queue is full.
    pub queue_full_retry: Duration,
    /// Assumed service per second and slot while none was measured; it keeps
    /// the cap on carried debt above zero after a restart.
    pub nominal_slot_rate: CostUnits,
    /// Settings of placement.
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

/// Constants of learnt capacity, ejection and slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Least time between two decreases of a learnt capacity, so that one
    /// overload is answered once.
    pub decrease_interval: Duration,
    /// Least time between two increases by one slot.
    pub increase_interval: Duration,
    /// A decrease keeps this many quarters of the capacity.
    pub quarters_after_decrease: u32,
    /// First-token times this many times above the long-term mean are overload.
    pub slow_first_token_factor: u64,
    /// First-token times below this, in milliseconds, are never overload.
    pub min_slow_first_token_ms: u64,
    /// Consecutive failures that eject an upstream.
    pub ejection_failures: u32,
    /// First ejection time; it doubles with each further ejection.
    pub first_ejection: Duration,
    /// Longest ejection time.
    pub longest_ejection: Duration,
    /// Time in which a joiner or readmitted upstream reaches its capacity.
    pub slow_start: Duration,
    /// Interval at which slow-start capacity is recomputed.
    pub slow_start_step: Duration,
    /// Upstreams that announce themselves this early in a term are not new
    /// to the fleet, so they have no slow start.
    pub known_upstreams_grace: Duration,
    /// Lifetime of a prefix hint.
    pub prefix_lifetime: Duration,
    /// Number of prefix hints held. Each prefix has one place, so there must be
    /// many more places than prefixes in use, or they displace each other.
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
