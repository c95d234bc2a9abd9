//! Cost estimates learnt from the settled costs of earlier requests.

use crate::dispatch_messages::{CostUnits, UNITS_PER_TOKEN};
use crate::sorted_map::SortedMap;

/// Share of a new observation in the running mean: one eighth.
const MEAN_DIVISOR: u64 = 8;
/// Estimate of a workspace that has no settled request and gives no hint.
pub const DEFAULT_ESTIMATE: CostUnits = 256 * UNITS_PER_TOKEN;
/// Largest factor by which a learnt mean may raise or lower a hint.
const HINT_FACTOR_LIMIT: u64 = 64;

#[derive(Clone, Copy, Debug)]
struct LearntCost {
    mean_cost: CostUnits,
    mean_hint: CostUnits,
    used: u64,
}

/// Estimates per (workspace, target), both as dense indices.
///
/// At most `limit` pairs are held; the least recently used half is dropped
/// when the limit is reached. With a limit of zero nothing is learnt and the
/// hints are used as they are.
///
/// ```
/// use baobabfall_core::cost_estimate::CostEstimate;
/// let mut estimate = CostEstimate::new(100);
/// estimate.learn((0, 0), 1_000, 4_000);
/// assert_eq!(estimate.estimate((0, 0), 2_000), 8_000);
/// assert_eq!(estimate.estimate((1, 0), 2_000), 2_000);
/// ```
#[derive(Clone, Debug)]
pub struct CostEstimate {
    learnt: SortedMap<(usize, usize), LearntCost>,
    limit: usize,
    clock: u64,
}

impl CostEstimate {
    /// Creates an empty table of at most `limit` pairs.
    pub fn new(limit: usize) -> Self {
        Self { learnt: SortedMap::new(), limit, clock: 0 }
    }

    /// Number of pairs held.
    pub fn len(&self) -> usize {
        self.learnt.len()
    }

    /// True when nothing was learnt.
    pub fn is_empty(&self) -> bool {
        self.learnt.is_empty()
    }

    /// Estimate for a request with the router's `hint`; zero means no hint.
    pub fn estimate(&self, pair: (usize, usize), hint: CostUnits) -> CostUnits {
        let Some(learnt) = self.learnt.get(&pair) else {
            return if hint == 0 { DEFAULT_ESTIMATE } else { hint };
        };
        if hint == 0 || learnt.mean_hint == 0 {
            return learnt.mean_cost.max(1);
        }
        let scaled = u128::from(hint) * u128::from(learnt.mean_cost) / u128::from(learnt.mean_hint);
        let scaled = u64::try_from(scaled).unwrap_or(CostUnits::MAX);
        scaled.clamp(hint.div_ceil(HINT_FACTOR_LIMIT), hint.saturating_mul(HINT_FACTOR_LIMIT))
    }

    /// Charge at the grant: the estimate, but at most the mean cost of the pair.
    ///
    /// Service is received while a request streams. A large cost that is
    /// charged at once keeps its workspace from new grants before it received
    /// that service, which widens the gap in received service.
    ///
    /// ```
    /// use baobabfall_core::cost_estimate::CostEstimate;
    /// let mut estimate = CostEstimate::new(100);
    /// estimate.learn((0, 0), 1_000, 1_000);
    /// assert_eq!(estimate.grant_charge((0, 0), 500), 500);
    /// assert_eq!(estimate.grant_charge((0, 0), 9_000), 1_000);
    /// ```
    pub fn grant_charge(&self, pair: (usize, usize), hint: CostUnits) -> CostUnits {
        let mean =
            self.learnt.get(&pair).map_or(DEFAULT_ESTIMATE, |learnt| learnt.mean_cost.max(1));
        self.estimate(pair, hint).min(mean)
    }

    /// Takes the settled cost of a request that was granted with `hint`. Once
    /// a pair has hints, costs without one are left out: they would distort
    /// the ratio.
    pub fn learn(&mut self, pair: (usize, usize), hint: CostUnits, cost: CostUnits) {
        if self.limit == 0 {
            return;
        }
        self.clock += 1;
        let first = LearntCost { mean_cost: cost, mean_hint: hint, used: self.clock };
        if let Some(learnt) = self.learnt.get_mut(&pair) {
            match (learnt.mean_hint, hint) {
                (0, 1..) => *learnt = first,
                (1.., 0) => return,
                _ => {}
            }
            learnt.mean_cost = shift_mean(learnt.mean_cost, cost);
            learnt.mean_hint = shift_mean(learnt.mean_hint, hint);
            learnt.used = self.clock;
            return;
        }
        if self.learnt.len() >= self.limit {
            self.drop_older_half();
        }
        self.learnt.insert(pair, first);
    }

    /// Forgets a workspace whose index is about to be reused.
    pub fn forget_workspace(&mut self, workspace: usize) {
        self.learnt.retain(|(held, _), _| *held != workspace);
    }

    fn drop_older_half(&mut self) {
        let mut used: Vec<u64> = self.learnt.values().map(|learnt| learnt.used).collect();
        used.sort_unstable();
        let median = used[used.len() / 2];
        self.learnt.retain(|_, learnt| learnt.used > median);
    }
}

fn shift_mean(mean: CostUnits, next: CostUnits) -> CostUnits {
    let kept = mean - mean / MEAN_DIVISOR;
    kept.saturating_add(next.div_ceil(MEAN_DIVISOR))
}
