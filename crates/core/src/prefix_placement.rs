//! Counts of where the shared prefixes of prompts are placed, by the reason for which an upstream
//! has to read a prefix that another one may still hold.

use crate::slot_dispatcher::SlotDispatcher;
use std::time::Duration;

/// Where a request with a shared prefix was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixOutcome {
    /// At an upstream that holds the prefix.
    Held,
    /// At some upstream, because none is known to hold the prefix: it was not asked for within
    /// the lifetime of a hint, or the dispatcher is new.
    Unknown,
    /// At another upstream, because no holder has a free slot.
    SlotsFull,
    /// At another upstream, because the holders with free slots have too many unread prompt tokens.
    WindowFull,
    /// At another upstream, because no holder may get requests from this router.
    Unusable,
}

/// Requests and the tokens of their shared prefixes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixCount {
    /// Number of requests.
    pub requests: u64,
    /// Number of tokens in their shared prefixes.
    pub tokens: u64,
}

/// Placements of shared prefixes by outcome.
///
/// ```
/// use baobabfall_core::prefix_placement::{PrefixCounts, PrefixOutcome};
/// let mut counts = PrefixCounts::default();
/// counts.add(PrefixOutcome::Held, 500);
/// counts.add(PrefixOutcome::SlotsFull, 300);
/// assert_eq!(counts.held.tokens, 500);
/// assert_eq!(counts.read_again(), 300);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixCounts {
    /// See [`PrefixOutcome::Held`].
    pub held: PrefixCount,
    /// See [`PrefixOutcome::Unknown`].
    pub unknown: PrefixCount,
    /// See [`PrefixOutcome::SlotsFull`].
    pub slots_full: PrefixCount,
    /// See [`PrefixOutcome::WindowFull`].
    pub window_full: PrefixCount,
    /// See [`PrefixOutcome::Unusable`].
    pub unusable: PrefixCount,
}

impl PrefixCounts {
    /// Counts a request whose shared prefix has `tokens`.
    pub fn add(&mut self, outcome: PrefixOutcome, tokens: u32) {
        let count = match outcome {
            PrefixOutcome::Held => &mut self.held,
            PrefixOutcome::Unknown => &mut self.unknown,
            PrefixOutcome::SlotsFull => &mut self.slots_full,
            PrefixOutcome::WindowFull => &mut self.window_full,
            PrefixOutcome::Unusable => &mut self.unusable,
        };
        count.requests += 1;
        count.tokens += u64::from(tokens);
    }

    /// Tokens of prefixes that are read although another upstream is known to hold them.
    pub fn read_again(&self) -> u64 {
        self.slots_full.tokens + self.window_full.tokens + self.unusable.tokens
    }
}

impl SlotDispatcher {
    /// Returns why none of the `holders` of a prefix gets the request.
    pub(crate) fn why_not_held(&self, now: Duration, holders: &[usize]) -> PrefixOutcome {
        if holders.is_empty() {
            return PrefixOutcome::Unknown;
        }
        let usable = holders.iter().copied().filter(|id| self.usable_slots(now, *id) > 0);
        let usable: Vec<usize> = usable.collect();
        let has_slot = |id: &usize| self.upstreams[*id].running < self.usable_slots(now, *id);
        match usable.iter().any(has_slot) {
            _ if usable.is_empty() => PrefixOutcome::Unusable,
            true if usable.iter().filter(|id| has_slot(id)).any(|id| self.accepts_held(*id)) => {
                // A holder has room, but the router is to avoid it.
                PrefixOutcome::Unusable
            }
            true => PrefixOutcome::WindowFull,
            false => PrefixOutcome::SlotsFull,
        }
    }
}
