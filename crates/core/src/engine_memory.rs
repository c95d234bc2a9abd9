//! Tokens that the running requests hold in the memory of each upstream, as the leases tell.

use crate::dispatch_messages::{CostUnits, PromptSummary, UNITS_PER_TOKEN};
use crate::slot_dispatcher::SlotDispatcher;
use std::time::Duration;

/// The upstream whose running requests hold most tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemoryPeak {
    /// Name of the upstream; empty when no request with a known prompt runs.
    pub upstream: String,
    /// Tokens of the prompts and answers of its requests; a shared prefix counts once.
    pub tokens: u64,
    /// Of these, tokens of shared prefixes.
    pub shared: u64,
    /// Requests with a known prompt that run there.
    pub running: u64,
}

/// Tokens that a lease has generated, by the cost that its router reported. A prompt token costs
/// half as much as a generated one.
///
/// ```
/// use baobabfall_core::dispatch_messages::{PromptSummary, UNITS_PER_TOKEN};
/// use baobabfall_core::engine_memory::generated_tokens;
/// let prompt = PromptSummary { shared: 600, own: 400, ..PromptSummary::default() };
/// assert_eq!(generated_tokens(&prompt, 520 * UNITS_PER_TOKEN), 20);
/// assert_eq!(generated_tokens(&prompt, 0), 0);
/// ```
pub fn generated_tokens(prompt: &PromptSummary, reported: CostUnits) -> u64 {
    let prompt_cost = (u64::from(prompt.shared) + u64::from(prompt.own)) * UNITS_PER_TOKEN / 2;
    reported.saturating_sub(prompt_cost) / UNITS_PER_TOKEN
}

impl SlotDispatcher {
    /// Returns the upstream whose running requests hold most tokens. Leases of earlier terms and
    /// of local mode have no prompt here and are left out.
    ///
    /// The cost is that of sorting all leases, so this is for reports once a second.
    pub fn memory_peak(&self) -> MemoryPeak {
        let leases = self.routers.iter().flat_map(|router| router.leases.values());
        let mut held: Vec<_> = leases
            .filter_map(|record| {
                let prompt = record.prompt?;
                let own = u64::from(prompt.own) + generated_tokens(&prompt, record.reported);
                Some((record.upstream, prompt.prefix, prompt.shared, own))
            })
            .collect();
        held.sort_unstable();
        let mut peak = MemoryPeak::default();
        for group in held.chunk_by(|one, other| one.0 == other.0) {
            let prefixes = group.chunk_by(|one, other| one.1 == other.1 && one.1.is_some());
            let shared: u64 = prefixes
                .map(|same| same.iter().map(|entry| u64::from(entry.2)).max().unwrap_or_default())
                .sum();
            let tokens = shared + group.iter().map(|entry| entry.3).sum::<u64>();
            if tokens > peak.tokens {
                let upstream = self.upstreams[group[0].0].name.clone();
                let running = u64::try_from(group.len()).unwrap_or(u64::MAX);
                peak = MemoryPeak { upstream, tokens, shared, running };
            }
        }
        peak
    }

    /// Raises the peak since the last reading of the load.
    pub(crate) fn observe_memory(&mut self, now: Duration) {
        if now < self.memory_observed_at + OBSERVE_INTERVAL {
            return;
        }
        self.memory_observed_at = now;
        let peak = self.memory_peak();
        if peak.tokens > self.memory_peak.tokens {
            self.memory_peak = peak;
        }
    }
}

/// Time between two readings of the memory held, which visit all leases.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
