//! What the dispatcher granted to each workspace, beside what waits, for the log of the leader.

use crate::dispatch_messages::CostUnits;
use crate::fair_order::{ACCOUNT_SCALE, AccountValue};
use crate::slot_dispatcher::SlotDispatcher;

/// Counts of one account since the last reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCounts {
    /// Grants.
    pub granted: u64,
    /// Expected cost of the granted requests, as their routers stated it.
    pub cost: CostUnits,
    /// Times at which the workspace had waiting requests again after none.
    pub rejoined: u64,
    /// Weighted service by which the account was raised then.
    pub raised: AccountValue,
}

/// Grants of one workspace in one pool since the last reading, and its requests that wait now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceShare {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the pool.
    pub pool: String,
    /// Grants.
    pub granted: u64,
    /// Expected cost of the granted requests.
    pub cost: CostUnits,
    /// Requests that wait without a grant.
    pub waiting: u64,
    /// Slots in use.
    pub running: u32,
    /// Times at which requests waited again after none did.
    pub rejoined: u64,
    /// Service by which the account was raised at these times, in cost units divided by weight.
    pub raised: u64,
    /// Service that the account is ahead of the lowest one with waiting requests, in cost units
    /// divided by weight.
    pub lead: u64,
}

fn units(value: AccountValue) -> u64 {
    u64::try_from(value / ACCOUNT_SCALE).unwrap_or(u64::MAX)
}

impl SlotDispatcher {
    /// Returns the `limit` workspaces with the most waiting requests of those that were granted
    /// slots or wait, and begins new counts of all.
    pub fn take_shares(&mut self, limit: usize) -> Vec<WorkspaceShare> {
        let mut shares = Vec::new();
        for pool in 0..self.pools.len() {
            let accounts = self.workspaces.iter().filter_map(|state| state.accounts.get(&pool));
            let backlogged = accounts.filter(|account| account.backlogged);
            let lowest = backlogged.map(|account| account.value).min().unwrap_or_default();
            let Self { workspaces, pools, targets, .. } = self;
            for state in workspaces.iter_mut() {
                let queues = state.queues.iter().filter(|(target, _)| {
                    targets[**target].locations.iter().any(|location| location.pool == pool)
                });
                let waiting = queues.map(|(_, queue)| u64::from(queue.waiting())).sum();
                let Some(account) = state.accounts.get_mut(&pool) else { continue };
                let counts = std::mem::take(&mut account.counts);
                if counts.granted == 0 && waiting == 0 {
                    continue;
                }
                shares.push(WorkspaceShare {
                    workspace: state.name.clone(),
                    pool: pools[pool].name.clone(),
                    granted: counts.granted,
                    cost: counts.cost,
                    waiting,
                    running: account.running,
                    rejoined: counts.rejoined,
                    raised: units(counts.raised),
                    lead: units(account.value.saturating_sub(lowest)),
                });
            }
        }
        shares.sort_by_key(|share| std::cmp::Reverse((share.waiting, share.cost)));
        shares.truncate(limit);
        shares
    }
}
