//! Fairness gap of each pool and its bound, for operators and metrics.

use crate::dispatch_messages::UNITS_PER_TOKEN;
use crate::fair_order::{ACCOUNT_SCALE, AccountValue};
use crate::slot_dispatcher::SlotDispatcher;

/// Gap of weighted service in one pool, in tokens per unit of weight.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolFairness {
    /// Name of the pool.
    pub pool: String,
    /// Workspaces with waiting requests.
    pub backlogged: u32,
    /// Largest difference between the accounts of two backlogged workspaces.
    pub gap: f64,
    /// Bound on the gap: the sum of the two largest `(K + 1) L / w`, with K the
    /// running requests of a workspace and L the largest running cost.
    pub bound: f64,
}

impl SlotDispatcher {
    /// Gap and bound of every pool.
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
            // An empty sum of floats is -0.0, which would be shown as such.
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
