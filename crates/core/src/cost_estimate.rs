//! Estimates of request costs, based on the final costs of earlier requests.

use crate::dispatch_messages::{CostUnits, UNITS_PER_TOKEN};
use crate::sorted_map::SortedMap;

/// Inverse of the weight of a new cost in the moving mean.
const MEAN_DIVISOR: u64 = 8;
/// Estimate for a request without a hint, while no request of its workspace and
/// target has ended.
pub const DEFAULT_ESTIMATE: CostUnits = 256 * UNITS_PER_TOKEN;
/// Largest factor by which the observed costs may raise or lower a hint.
const HINT_FACTOR_LIMIT: u64 = 64;

#[derive(Clone, Copy, Debug)]
struct ObservedCost {
    mean_cost: CostUnits,
    mean_hint: CostUnits,
    /// Value of the table's clock at the last update.
    updated: u64,
}

/// Cost estimates per pair of workspace and target, both as dense indices.
///
/// At most `limit` pairs are stored. When the limit is reached, the least recently
/// updated half is dropped. With a limit of zero nothing is stored and the hints
/// are used as they are.
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
    observed: SortedMap<(usize, usize), ObservedCost>,
    limit: usize,
    /// Counts the observations, to order the pairs by their last update.
    clock: u64,
}

impl CostEstimate {
    /// Creates an empty table of at most `limit` pairs.
    pub fn new(limit: usize) -> Self {
        Self { observed: SortedMap::new(), limit, clock: 0 }
    }

    /// Number of pairs of workspace and target that are stored.
    pub fn len(&self) -> usize {
        self.observed.len()
    }

    /// True while no pair is stored.
    pub fn is_empty(&self) -> bool {
        self.observed.is_empty()
    }

    /// Estimated cost of a request for which the router gave `hint`; zero means no hint.
    /// The hint is scaled by the observed ratio of costs to hints.
    pub fn estimate(&self, pair: (usize, usize), hint: CostUnits) -> CostUnits {
        let Some(observed) = self.observed.get(&pair) else {
            return if hint == 0 { DEFAULT_ESTIMATE } else { hint };
        };
        if hint == 0 || observed.mean_hint == 0 {
            return observed.mean_cost.max(1);
        }
        let scaled =
            u128::from(hint) * u128::from(observed.mean_cost) / u128::from(observed.mean_hint);
        let scaled = u64::try_from(scaled).unwrap_or(CostUnits::MAX);
        scaled.clamp(hint.div_ceil(HINT_FACTOR_LIMIT), hint.saturating_mul(HINT_FACTOR_LIMIT))
    }

    /// Charge at the time of the grant: the estimate, but at most the mean cost of the
    /// pair.
    ///
    /// A workspace receives service gradually while its request streams. If a large
    /// cost were charged at once, the workspace would get no new grants before it has
    /// received that service, which would widen the gap in received service.
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
            self.observed.get(&pair).map_or(DEFAULT_ESTIMATE, |observed| observed.mean_cost.max(1));
        self.estimate(pair, hint).min(mean)
    }

    /// Records the final cost of a request that was granted with `hint`. Once a pair
    /// has seen a hint, costs without one are ignored, because they would distort the
    /// ratio of costs to hints.
    pub fn learn(&mut self, pair: (usize, usize), hint: CostUnits, cost: CostUnits) {
        if self.limit == 0 {
            return;
        }
        self.clock += 1;
        let first = ObservedCost { mean_cost: cost, mean_hint: hint, updated: self.clock };
        if let Some(observed) = self.observed.get_mut(&pair) {
            match (observed.mean_hint, hint) {
                (0, 1..) => *observed = first,
                (1.., 0) => return,
                _ => {}
            }
            observed.mean_cost = update_mean(observed.mean_cost, cost);
            observed.mean_hint = update_mean(observed.mean_hint, hint);
            observed.updated = self.clock;
            return;
        }
        if self.observed.len() >= self.limit {
            self.drop_least_recent_half();
        }
        self.observed.insert(pair, first);
    }

    /// Drops every pair of a workspace whose index is about to be reused.
    pub fn forget_workspace(&mut self, workspace: usize) {
        self.observed.retain(|(index, _), _| *index != workspace);
    }

    fn drop_least_recent_half(&mut self) {
        let mut updated: Vec<u64> =
            self.observed.values().map(|observed| observed.updated).collect();
        updated.sort_unstable();
        let median = updated[updated.len() / 2];
        self.observed.retain(|_, observed| observed.updated > median);
    }
}

fn update_mean(mean: CostUnits, next: CostUnits) -> CostUnits {
    let kept = mean - mean / MEAN_DIVISOR;
    kept.saturating_add(next.div_ceil(MEAN_DIVISOR))
}
