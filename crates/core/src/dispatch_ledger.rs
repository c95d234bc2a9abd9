//! Bookkeeping of the dispatcher: fair-queueing accounts, leases, and the
//! order in which workspaces are granted slots.

use crate::dispatch_messages::{CostUnits, LeaseEnd, LeaseId};
use crate::dispatch_state::{LeaseRecord, TargetLocation, WorkspaceState};
use crate::fair_order::{AccountValue, FairAccount, SERVICE_WINDOW_SECONDS, weighted_cost};
use crate::placement::{SlotLoad, ejection_limit};
use crate::slot_dispatcher::SlotDispatcher;
use std::time::Duration;

impl SlotDispatcher {
    /// Returns the index of a workspace and adds the workspace if it is new.
    pub(crate) fn workspace_id(&mut self, name: &str) -> usize {
        if let Some(id) = self.workspace_names.get(name) {
            return *id;
        }
        let state = WorkspaceState::new(name);
        let id = match self.free_workspaces.pop() {
            Some(id) => {
                self.workspaces[id] = state;
                id
            }
            None => {
                self.workspaces.push(state);
                self.workspaces.len() - 1
            }
        };
        self.workspace_names.insert(name.to_owned(), id);
        id
    }

    /// Updates the position of a workspace in every grant order after its
    /// queues, accounts or limits have changed.
    pub(crate) fn refresh_workspace(&mut self, now: Duration, id: usize) {
        let eligible = self.check_limits(now, id);
        let was_blocked = std::mem::replace(&mut self.workspaces[id].blocked, !eligible);
        self.update_backlogged(now, id, was_blocked && eligible);
        let Self { workspaces, targets, pools, .. } = self;
        let workspace = &workspaces[id];
        for (target, queue) in workspace.queues.iter() {
            for location in &targets[*target].locations {
                let order = &mut pools[location.pool].targets[location.index].order;
                let account = workspace.accounts.get(&location.pool);
                match account.filter(|_| eligible && queue.waiting() > 0) {
                    Some(account) => order.set(id, account.value),
                    None => {
                        order.remove(id);
                    }
                }
            }
        }
    }

    /// Returns true if the limits of the workspace allow another grant. If only
    /// its rates forbid it, a later check is scheduled.
    fn check_limits(&mut self, now: Duration, id: usize) -> bool {
        let workspace = &mut self.workspaces[id];
        let running = workspace.running;
        let waiting = workspace.waiting() > 0;
        let policy = workspace.policy.as_mut().filter(|_| waiting);
        let Some(policy) = policy.filter(|policy| policy.limit.allows_running(running)) else {
            self.rate_limited.remove(id);
            return false;
        };
        let Some(wait) = policy.limit.rate_wait(now) else {
            self.rate_limited.remove(id);
            return true;
        };
        self.rate_limited.set(id, now + wait);
        if wait > self.settings.longest_rate_wait {
            self.refuse_queues(id);
        }
        false
    }

    fn refuse_queues(&mut self, id: usize) {
        let mut refused = Vec::new();
        let Self { workspaces, routers, .. } = self;
        for (target, queue) in workspaces[id].queues.iter() {
            for router in queue.routers() {
                if routers[router].pending_refusals.insert((id, *target), ()).is_none() {
                    refused.push(router);
                }
            }
        }
        refused.into_iter().for_each(|router| self.request_answer(router));
    }

    fn update_backlogged(&mut self, now: Duration, id: usize, unblocked: bool) {
        for position in 0..self.workspaces[id].queues.len() {
            let queue = self.workspaces[id].queues.iter().nth(position);
            let waiting = queue.filter(|(_, queue)| queue.waiting() > 0);
            let Some(target) = waiting.map(|(target, _)| *target) else { continue };
            for position in 0..self.targets[target].locations.len() {
                let location = self.targets[target].locations[position];
                let account = self.workspaces[id].accounts.get(&location.pool);
                let backlogged = account.is_some_and(|account| account.backlogged);
                if !backlogged || unblocked {
                    self.limit_account(now, id, location, !backlogged);
                }
            }
        }
        let Self { workspaces, targets, .. } = self;
        let WorkspaceState { accounts, queues, .. } = &mut workspaces[id];
        for (pool, account) in accounts.iter_mut().filter(|(_, account)| account.backlogged) {
            account.backlogged = queues.iter().any(|(target, queue)| {
                queue.waiting() > 0 && targets[*target].locations.iter().any(|at| at.pool == *pool)
            });
        }
    }

    /// Bounds an account that enters the grant order. An idle account starts at
    /// the minimum of the pool or above. A credit or debt that comes from
    /// limits, lost routers or partitions is at most the debt cap.
    fn limit_account(
        &mut self,
        now: Duration,
        id: usize,
        location: TargetLocation,
        was_idle: bool,
    ) {
        let minimum = self.pool_minimum(location);
        let cap = self.debt_cap(now, location.pool, self.workspaces[id].weight());
        let accounts = &mut self.workspaces[id].accounts;
        let is_known = accounts.contains_key(&location.pool);
        let account = accounts.get_or_insert_with(location.pool, FairAccount::default);
        account.backlogged = true;
        // During recovery the accounts are incomplete; `restore_accounts` bounds them at its end.
        if self.recovering {
            return;
        }
        let value = account.value;
        account.raise_to(if was_idle { minimum } else { minimum.saturating_sub(cap) });
        if was_idle && is_known {
            account.counts.rejoined += 1;
            account.counts.raised += account.value - value;
        }
        account.lower_to(minimum.saturating_add(cap));
    }

    /// Returns the account value at which a workspace starts when it becomes
    /// backlogged.
    fn pool_minimum(&self, location: TargetLocation) -> AccountValue {
        let targets = &self.pools[location.pool].targets;
        let target = &targets[location.index];
        if let Some((lowest, _)) = target.order.peek() {
            return lowest.max(target.virtual_time);
        }
        let related_targets =
            target.related_targets.iter().map(|index| targets[*index].virtual_time);
        related_targets.max().unwrap_or_default().max(target.virtual_time)
    }

    /// Returns the largest debt that an account may have: the pool's service over
    /// [`SERVICE_WINDOW_SECONDS`], measured or at the nominal rate, whichever is
    /// higher, divided by the weight.
    pub(crate) fn debt_cap(&self, now: Duration, pool: usize, weight: u32) -> AccountValue {
        let pool = &self.pools[pool];
        let slots = pool
            .members
            .iter()
            .map(|id| u64::from(self.upstreams[*id].capacity.concurrency_limit()));
        let nominal = slots.sum::<u64>() * self.settings.nominal_slot_rate * SERVICE_WINDOW_SECONDS;
        weighted_cost(pool.window.total(now).max(nominal), weight)
    }

    /// Caps the debt of an account after a lease from an earlier term or from a
    /// partition was charged to it.
    pub(crate) fn cap_debt(&mut self, now: Duration, id: usize, pool: usize, target: usize) {
        if self.recovering {
            return;
        }
        let locations = self.targets[target].locations.iter();
        let Some(location) = locations.copied().find(|known| known.pool == pool) else { return };
        let cap = self.debt_cap(now, pool, self.workspaces[id].weight());
        let maximum = self.pool_minimum(location).saturating_add(cap);
        if let Some(account) = self.workspaces[id].accounts.get_mut(&pool) {
            account.lower_to(maximum);
        }
    }

    /// Adds a lease and charges it to the account of its workspace.
    pub(crate) fn add_lease(
        &mut self,
        now: Duration,
        router: usize,
        lease: LeaseId,
        record: LeaseRecord,
    ) {
        let workspace = &mut self.workspaces[record.workspace];
        workspace.running += 1;
        workspace.leases += 1;
        let account = workspace.accounts.get_or_insert_with(record.pool, FairAccount::default);
        account.running += 1;
        account.replace_charge(0, record.charge);
        let upstream = &mut self.upstreams[record.upstream];
        upstream.leases += 1;
        if upstream.incarnation == record.incarnation {
            upstream.prefill += record.prefill;
            upstream.running += 1;
            upstream.capacity.record_running(upstream.running);
        }
        self.routers[router].leases.insert(lease, record);
        self.refresh_upstream(now, record.upstream);
    }

    /// Applies the cost that a router reports for a lease. A lower cost than
    /// reported before is ignored.
    ///
    /// `is_recent` says whether the cost counts in the pool's service rate. The
    /// whole cost of work from an earlier term or a partition arrives in one
    /// report. Counting it would raise the rate, and with it the cap on the
    /// debt that this work causes.
    pub(crate) fn charge_lease(
        &mut self,
        now: Duration,
        router: usize,
        lease: LeaseId,
        charged: CostUnits,
        is_recent: bool,
    ) {
        let Some(record) = self.routers[router].leases.get_mut(&lease) else { return };
        let Some(added) = charged.checked_sub(record.reported).filter(|added| *added > 0) else {
            return;
        };
        record.reported = charged;
        let counted = charged.max(record.estimate).saturating_sub(record.already_charged);
        let charge = weighted_cost(counted, record.weight);
        let old = std::mem::replace(&mut record.charge, charge);
        let (id, pool) = (record.workspace, record.pool);
        if is_recent {
            self.pools[pool].window.add(now, added);
        }
        let workspace = &mut self.workspaces[id];
        if let Some(account) = workspace.accounts.get_mut(&pool) {
            account.replace_charge(old, charge);
            account.service = account.service.saturating_add(added);
        }
        if let Some(policy) = &mut workspace.policy {
            policy.limit.charge_cost(now, added);
        }
    }

    /// Ends a lease and settles its charge at the reported cost. `end` is `None`
    /// if the lease ends without a report from its router.
    pub(crate) fn end_lease(
        &mut self,
        now: Duration,
        router: usize,
        lease: LeaseId,
        end: Option<LeaseEnd>,
    ) {
        let Some(record) = self.routers[router].leases.remove(&lease) else { return };
        self.withdraw_grant(router, lease, &record);
        self.routers[router].unused_grants += u64::from(end == Some(LeaseEnd::Unused));
        let settled = record.reported.saturating_sub(record.already_charged);
        let settled = weighted_cost(settled, record.weight);
        let workspace = &mut self.workspaces[record.workspace];
        workspace.running -= 1;
        workspace.leases -= 1;
        if let Some(account) = workspace.accounts.get_mut(&record.pool) {
            account.running -= 1;
            account.settle_charge(record.charge, settled);
        }
        // Only grants of this term were charged to the request rates, so only they are refunded.
        let is_granted_here = lease.term == self.term;
        let unused = matches!(end, Some(LeaseEnd::Unused | LeaseEnd::Refused)) && is_granted_here;
        if let Some(policy) = workspace.policy.as_mut().filter(|_| unused) {
            policy.limit.refund_request(now);
        }
        // The upstream has received a request that it refused.
        if end == Some(LeaseEnd::Unused) && is_granted_here {
            let name = &self.upstreams[record.upstream].name;
            self.limits.refund(now, name, record.incarnation);
            if record.paced {
                self.cold_rates.refund(now, name, record.incarnation);
            }
        }
        if end == Some(LeaseEnd::Finished) {
            let pair = (record.workspace, record.target);
            self.costs.learn(pair, record.cost_hint, record.reported);
        }
        let upstream = &mut self.upstreams[record.upstream];
        upstream.leases -= 1;
        if upstream.incarnation == record.incarnation {
            upstream.prefill = upstream.prefill.saturating_sub(record.prefill);
            upstream.running -= 1;
            if let Some(end) = end {
                upstream.capacity.record_end(now, &self.settings.placement, end);
            }
        }
        self.eject_if_failing(now, record.upstream);
        self.refresh_upstream(now, record.upstream);
    }

    /// Stops resending the grant of an ended lease.
    fn withdraw_grant(&mut self, router: usize, lease: LeaseId, record: &LeaseRecord) {
        let state = &mut self.routers[router];
        let Ok(position) = state.pending_grants.binary_search_by(|grant| grant.lease.cmp(&lease))
        else {
            return;
        };
        state.pending_grants.remove(position);
        self.acknowledge_grant(router, record.workspace, record.target);
    }

    pub(crate) fn acknowledge_grant(&mut self, router: usize, workspace: usize, target: usize) {
        let arrival = self.arrival_clock;
        if let Some(queue) = self.workspaces[workspace].queues.get_mut(&target) {
            queue.acknowledge(router, arrival);
        }
    }

    fn eject_if_failing(&mut self, now: Duration, id: usize) {
        let placement = self.settings.placement;
        let upstream = &self.upstreams[id];
        if !upstream.live || !upstream.capacity.is_failing(&placement) {
            return;
        }
        let Some(pool) = self.upstream_pool(id) else { return };
        let members = &self.pools[pool].members;
        let ejected = members.iter().filter(|id| self.upstreams[**id].capacity.is_ejected());
        if ejected.count() < ejection_limit(members.len()) {
            self.upstreams[id].capacity.eject(now, &placement);
            self.track_slot_changes(id);
        }
    }

    /// Has the slots of an upstream recomputed over time, until its ejection or
    /// slow start has ended.
    pub(crate) fn track_slot_changes(&mut self, id: usize) {
        if !self.changing_upstreams.contains(&id) {
            self.changing_upstreams.push(id);
        }
    }

    /// Returns the pool of an upstream, or `None` before its first announcement.
    pub(crate) fn upstream_pool(&self, id: usize) -> Option<usize> {
        let announcement = self.upstreams[id].announcement.as_ref()?;
        let key = (announcement.kind, announcement.pool_name().to_owned());
        self.pool_names.get(&key).copied()
    }

    /// Returns the number of slots of an upstream that may be in use now.
    pub(crate) fn usable_slots(&self, now: Duration, id: usize) -> u32 {
        let upstream = &self.upstreams[id];
        if !upstream.live || upstream.stopping || upstream.left == Some(upstream.incarnation) {
            return 0;
        }
        if self.evacuated_zones.contains(&upstream.zone) {
            return 0;
        }
        let slots = upstream.capacity.slots(now, &self.settings.placement);
        let (name, incarnation) = (&upstream.name, upstream.incarnation);
        let rates = [&self.limits, &self.cold_rates];
        match rates.iter().any(|rates| rates.wait(now, name, incarnation).is_some()) {
            // A request rate allows no further request at present.
            true => slots.min(upstream.running),
            false => slots,
        }
    }

    /// Time at which the slots of an upstream next change without an event.
    pub(crate) fn next_slot_change(&self, now: Duration, id: usize) -> Option<Duration> {
        let upstream = &self.upstreams[id];
        let wait = self.limits.wait(now, &upstream.name, upstream.incarnation);
        let allowed = wait.into_iter().chain(self.next_cold_change(now, id));
        let allowed = allowed.map(|wait| now + wait);
        let change = upstream.capacity.next_change(now, &self.settings.placement);
        change.into_iter().chain(allowed).min()
    }

    /// Updates the free slots of an upstream after its state has changed.
    pub(crate) fn refresh_upstream(&mut self, now: Duration, id: usize) {
        let slots = self.usable_slots(now, id);
        let is_paced = self.is_paced(id);
        let upstream = &self.upstreams[id];
        for location in &upstream.locations {
            let free = &mut self.pools[location.pool].targets[location.index].free;
            let load = SlotLoad {
                running: upstream.running,
                slots,
                prefill: upstream.prefill,
                prefill_window: upstream.capacity.prefill_window(),
                last_choice: is_paced,
            };
            free.set(upstream.zone, id, load);
        }
    }
}
