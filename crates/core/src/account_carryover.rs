//! Transfer of accounts from one dispatcher to the next through statements that
//! the routers keep.

use crate::account_statement::{AccountStatement, StatementStamp, StatementStore};
use crate::dispatch_messages::{CostUnits, LeaseId};
use crate::dispatch_state::TargetLocation;
use crate::fair_order::{ACCOUNT_SCALE, AccountValue, FairAccount};
use crate::slot_dispatcher::SlotDispatcher;
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Maximum number of statements that a new dispatcher keeps until its recovery
/// ends: the accounts of 10,000 workspaces in several pools.
pub(crate) const RECEIVED_STATEMENT_LIMIT: usize = 65_536;

impl SlotDispatcher {
    /// Returns the statements for an answer to a router. During recovery there are
    /// none, because the accounts are incomplete.
    pub(crate) fn build_statements(&mut self, router: usize) -> Vec<AccountStatement> {
        if self.recovering || self.routers[router].pending_statements.is_empty() {
            return Vec::new();
        }
        self.last_statement += 1;
        let stamp = StatementStamp { term: self.term, number: self.last_statement };
        self.routers[router].statements_sent = true;
        let mut floors: SortedMap<usize, AccountValue> = SortedMap::new();
        let pairs = self.routers[router].pending_statements.keys();
        let statements = pairs.filter_map(|&(id, pool)| {
            let workspace = &self.workspaces[id];
            let account = workspace.accounts.get(&pool)?;
            let floor = *floors.get_or_insert_with(pool, || self.pool_floor(pool));
            let pool = &self.pools[pool];
            Some(AccountStatement {
                kind: pool.kind,
                pool: pool.name.clone(),
                workspace: workspace.name.clone(),
                stamp,
                settled: unscaled(account.settled),
                floor: unscaled(floor),
            })
        });
        statements.collect()
    }

    /// Returns the lowest account in the grant orders of the pool. For a target
    /// without waiting workspaces, its virtual time counts instead.
    fn pool_floor(&self, pool: usize) -> AccountValue {
        let targets = self.pools[pool].targets.iter();
        let floors = targets.map(|target| match target.order.peek() {
            Some((lowest, _)) => lowest,
            None => target.virtual_time,
        });
        floors.filter(|floor| *floor > 0).min().unwrap_or(0)
    }

    /// Clears the pending statements of a router if an answer has carried them.
    /// If that answer was lost, the router lists its ended leases again, which
    /// queues their statements again.
    pub(crate) fn clear_sent_statements(&mut self, router: usize) {
        let router = &mut self.routers[router];
        if std::mem::take(&mut router.statements_sent) {
            router.pending_statements.clear();
        }
    }

    /// Adds the account of an ended lease to the pending statements, so that the
    /// answer that acknowledges the end carries its statement.
    pub(crate) fn queue_statement(
        &mut self,
        router: usize,
        lease: LeaseId,
        ended: &mut SortedMap<LeaseId, (usize, usize)>,
    ) {
        let router = &mut self.routers[router];
        let running = router.leases.get(&lease).map(|record| (record.workspace, record.pool));
        let Some(pair) = running.or_else(|| router.ended.get(&lease).copied()) else { return };
        ended.insert(lease, pair);
        router.pending_statements.insert(pair, ());
    }

    /// Processes the statements of a full report. During recovery they are kept
    /// for [`SlotDispatcher::restore_accounts`]. Afterwards they only create
    /// accounts that do not exist yet; `limit_account` bounds such an account when
    /// the workspace has backlog.
    pub(crate) fn record_statements(&mut self, statements: &[AccountStatement]) {
        for statement in statements.iter().filter(|statement| statement.stamp.term < self.term) {
            if self.recovering {
                self.received_statements.record(statement);
                continue;
            }
            let pool = (statement.kind, statement.pool.clone());
            let pool = self.pool_names.get(&pool).copied();
            let id = self.workspace_names.get(&statement.workspace);
            let (Some(pool), Some(id)) = (pool, id) else { continue };
            let value = scaled(statement.settled);
            let account = || FairAccount { value, settled: value, ..FairAccount::default() };
            self.workspaces[*id].accounts.get_or_insert_with(pool, account);
        }
    }

    /// Completes the accounts from the received statements at the end of the
    /// recovery. Until then the accounts include only the costs of leases in full
    /// reports.
    pub(crate) fn restore_accounts(&mut self, now: Duration) {
        let empty = StatementStore::new(RECEIVED_STATEMENT_LIMIT);
        let received_statements = std::mem::replace(&mut self.received_statements, empty);
        let mut floors: SortedMap<usize, (StatementStamp, AccountValue)> = SortedMap::new();
        let mut stated_values: SortedMap<(usize, usize), AccountValue> = SortedMap::new();
        for statement in received_statements.iter() {
            let pool = (statement.kind, statement.pool.clone());
            let Some(pool) = self.pool_names.get(&pool).copied() else { continue };
            let floor = (statement.stamp, scaled(statement.floor));
            let latest = floors.get_or_insert_with(pool, || floor);
            *latest = floor.max(*latest);
            if let Some(id) = self.workspace_names.get(&statement.workspace) {
                stated_values.insert((*id, pool), scaled(statement.settled));
                let accounts = &mut self.workspaces[*id].accounts;
                accounts.get_or_insert_with(pool, FairAccount::default);
            }
        }
        for pool in 0..self.pools.len() {
            let floor = floors.get(&pool).map_or(0, |(_, floor)| *floor);
            self.restore_pool_accounts(now, pool, floor, &stated_values);
        }
        for id in 0..self.workspaces.len() {
            self.refresh_workspace(now, id);
        }
        self.queue_all_statements();
    }

    /// Adds the settled values from statements to the accounts of one pool, which
    /// so far include only the costs of leases. An account without a statement
    /// starts at the floor.
    fn restore_pool_accounts(
        &mut self,
        now: Duration,
        pool: usize,
        floor: AccountValue,
        stated_values: &SortedMap<(usize, usize), AccountValue>,
    ) {
        let mut minimum: Option<AccountValue> = None;
        for (id, workspace) in self.workspaces.iter_mut().enumerate() {
            let Some(account) = workspace.accounts.get_mut(&pool) else { continue };
            let settled = stated_values.get(&(id, pool)).copied().unwrap_or(floor);
            account.value = account.value.saturating_add(settled);
            account.settled = account.settled.saturating_add(settled);
            if account.backlogged {
                account.raise_to(floor);
                let lowest = minimum.unwrap_or(account.value);
                minimum = Some(lowest.min(account.value));
            }
        }
        let minimum = minimum.unwrap_or(floor).max(floor);
        for id in 0..self.workspaces.len() {
            let cap = self.debt_cap(now, pool, self.workspaces[id].weight());
            if let Some(account) = self.workspaces[id].accounts.get_mut(&pool) {
                account.lower_to(minimum.saturating_add(cap));
            }
        }
        for target in &mut self.pools[pool].targets {
            target.virtual_time = target.virtual_time.max(floor);
        }
    }

    /// Adds every account to the pending statements of the routers that use it.
    fn queue_all_statements(&mut self) {
        for id in 0..self.routers.len() {
            let router = &self.routers[id];
            let leases = router.leases.values().map(|record| (record.workspace, record.pool));
            let mut pairs: Vec<(usize, usize)> = leases.collect();
            for (workspace, target) in router.entries.keys() {
                let locations = self.targets[*target].locations.iter();
                pairs.extend(locations.map(|known: &TargetLocation| (*workspace, known.pool)));
            }
            let pending_statements = &mut self.routers[id].pending_statements;
            for pair in pairs {
                pending_statements.insert(pair, ());
            }
        }
    }
}

fn scaled(cost: CostUnits) -> AccountValue {
    AccountValue::from(cost) * ACCOUNT_SCALE
}

fn unscaled(value: AccountValue) -> CostUnits {
    CostUnits::try_from(value / ACCOUNT_SCALE).unwrap_or(CostUnits::MAX)
}
