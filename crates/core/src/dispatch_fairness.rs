//! Fairness gap of each pool and the bound on it, for operators and metrics.

use crate::dispatch_messages::UNITS_PER_TOKEN;
use crate::fair_order::{ACCOUNT_SCALE, AccountValue};
use crate::slot_dispatcher::SlotDispatcher;

/// Difference in weighted service between the workspaces of one pool, in tokens
/// per unit of weight.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolFairness {
    /// Name of the pool.
    pub pool: String,
    /// Number of workspaces with waiting requests for the pool.
    pub backlogged: u32,
    /// Largest difference between the accounts of two workspaces with waiting requests.
    pub gap: f64,
    /// Bound on the gap: the sum of the two largest values of `(K + 1) L / w`, where `K` is the
    /// number of running requests of a workspace, `w` its weight, and `L` the largest reported or
    /// estimated cost of a running request in the pool.
    pub bound: f64,
}

impl SlotDispatcher {
    /// Returns the fairness gap of every pool and the bound on it.
    pub fn fairness(&self) -> Vec<PoolFairness> {
        (0..self.pools.len()).map(|pool| self.pool_fairness(pool)).collect()
    }

    fn pool_fairness(&self, pool: usize) -> PoolFairness {
        let largest_cost = self
            .routers
            .iter()
            .flat_map(|router| router.leases.values())
            .filter(|lease| lease.pool == pool)
            .map(|lease| lease.reported.max(lease.estimate))
            .max()
            .unwrap_or(0);
        let mut backlogged = 0;
        let mut range: Option<(AccountValue, AccountValue)> = None;
        let mut bounds: Vec<f64> = Vec::new();
        for id in self.workspace_names.values() {
            let workspace = &self.workspaces[*id];
            let Some(account) = workspace.accounts.get(&pool) else { continue };
            if !account.backlogged {
                continue;
            }
            backlogged += 1;
            let (low, high) = range.unwrap_or((account.value, account.value));
            range = Some((low.min(account.value), high.max(account.value)));
            let requests = f64::from(account.running) + 1.0;
            bounds.push(requests * tokens(largest_cost.into()) / f64::from(workspace.weight()));
        }
        bounds.sort_by(|a, b| b.total_cmp(a));
        let gap = range.map_or(0, |(low, high)| high - low);
        PoolFairness {
            pool: self.pools[pool].name.clone(),
            backlogged,
            gap: tokens(gap / ACCOUNT_SCALE),
            // The sum of no floats is -0.0; adding 0.0 keeps it from being displayed with a sign.
            bound: bounds.iter().take(2).sum::<f64>() + 0.0,
        }
    }
}

fn tokens(units: u128) -> f64 {
    let per_token = u128::from(UNITS_PER_TOKEN);
    let whole = u32::try_from(units / per_token).unwrap_or(u32::MAX);
    let rest = u32::try_from(units % per_token).unwrap_or(0);
    f64::from(whole) + f64::from(rest) / 1000.0
}
