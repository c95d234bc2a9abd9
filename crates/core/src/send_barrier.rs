//! Reasons for which an upstream may not get a request now.
//!
//! Router, dispatcher and local mode name the same reasons. A router asks last, right before it
//! writes a request, because a slot may have been granted before the reason arose.

/// Why an upstream may not get a request now. The first that holds is reported, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendBarrier {
    /// Its departure was committed, or a later incarnation announced itself.
    Left,
    /// It stated that it is leaving.
    Leaving,
    /// Operators have evacuated its availability zone.
    Evacuated,
    /// It asked this router for no requests for a time.
    Quiet,
    /// It is cold, and the slot was not granted within the rate that it tolerates.
    Cold,
    /// It limits its requests, and this router has used its share of that rate.
    Limited,
}

impl SendBarrier {
    /// All reasons, in the order in which they are reported.
    pub const ALL: [Self; 6] =
        [Self::Left, Self::Leaving, Self::Evacuated, Self::Quiet, Self::Cold, Self::Limited];

    /// Stable name of the reason in logs, metrics and the answers for operators.
    ///
    /// ```
    /// use baobabfall_core::send_barrier::SendBarrier;
    /// assert_eq!(SendBarrier::Evacuated.code(), "zone_evacuated");
    /// ```
    pub fn code(self) -> &'static str {
        match self {
            Self::Left => "upstream_left",
            Self::Leaving => "upstream_leaving",
            Self::Evacuated => "zone_evacuated",
            Self::Quiet => "upstream_quiet",
            Self::Cold => "upstream_cold",
            Self::Limited => "upstream_limited",
        }
    }
}
