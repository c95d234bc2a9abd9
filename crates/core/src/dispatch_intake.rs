//! Processing of router reports: backlog, lease usage, router restarts, and
//! routers that stop reporting.

use crate::dispatch_messages::{
    BacklogEntry, DispatchReport, LeaseId, LeaseUsage, LimitReport, NodeIdentity, OriginReport,
    PartReport, UNKNOWN_FIRST_TOKEN_MS,
};
use crate::dispatch_state::{LeaseRecord, RouterState, TargetState};
use crate::fair_order::weighted_cost;
use crate::slot_dispatcher::SlotDispatcher;
use crate::sorted_map::SortedMap;
use crate::upstream_registry::WorkTarget;
use std::time::Duration;

/// Maximum number of distinct targets. A fleet has far fewer models and services; backlog for
/// targets beyond the limit is ignored.
const TARGET_LIMIT: usize = 8192;

/// Time without a report after which an older incarnation of the same router may replace the
/// known one: five times the longest delay of an answer.
const OLDER_INCARNATION_SILENCE: Duration = Duration::from_secs(1);

impl SlotDispatcher {
    /// Processes a report of a router and returns true if it was applied.
    ///
    /// Duplicate and out-of-order reports and reports of an older incarnation
    /// have no effect. The first report of a new incarnation frees the leases of
    /// the previous one. An older incarnation counts as new once the newer one
    /// has stopped reporting: incarnations are start times, and the clock may
    /// have been set back between two starts.
    ///
    /// Until a router has sent a full report for this term, its other reports
    /// are not applied and the answer asks for a full one. A report for another
    /// term only shows that the router is alive. It may be late and lack leases
    /// that the router has started since.
    pub fn apply_report(&mut self, now: Duration, report: &DispatchReport) -> bool {
        let id = self.router_id(now, report);
        let known = self.routers[id].identity.incarnation;
        let silent =
            now.saturating_sub(self.routers[id].last_report_at) >= OLDER_INCARNATION_SILENCE;
        if report.router.incarnation < known && !silent {
            return false;
        }
        if report.router.incarnation != known {
            self.clear_router(now, id);
            self.routers[id] = RouterState::new(&report.router, now);
        }
        let router = &mut self.routers[id];
        if report.sequence <= router.sequence {
            return false;
        }
        router.last_report_at = now;
        if report.term != self.term || (!report.full && !router.synced) {
            return false;
        }
        router.synced = true;
        router.sequence = report.sequence;
        let zone = self.zone_id(&report.zone);
        self.routers[id].zone = zone;
        self.add_versions(now, report);
        self.arrival_clock += 1;
        let mut affected = Vec::new();
        self.apply_received_grants(id, report.received_grant, &mut affected);
        self.apply_backlog(id, report, &mut affected);
        self.apply_restrictions(now, id, report);
        self.apply_parts(now, id, &report.parts);
        self.apply_limits(now, id, &report.limits);
        self.apply_origins(now, id, &report.origins);
        self.apply_load(now, id, report);
        self.record_statements(&report.statements);
        self.apply_usage(now, id, report, &mut affected);
        self.apply_charges(now, id, report, &mut affected);
        affected.sort_unstable();
        affected.dedup();
        for workspace in affected {
            self.refresh_workspace(now, workspace);
            self.check_queue_length(id, workspace);
        }
        true
    }

    /// Returns true unless a newer incarnation of the router is known.
    pub fn is_current(&self, identity: &NodeIdentity) -> bool {
        let id = self.router_names.get(&identity.name);
        id.is_none_or(|id| self.routers[*id].identity.incarnation <= identity.incarnation)
    }

    fn router_id(&mut self, now: Duration, report: &DispatchReport) -> usize {
        if let Some(id) = self.router_names.get(&report.router.name) {
            return *id;
        }
        let state = RouterState::new(&report.router, now);
        let id = match self.free_routers.pop() {
            Some(id) => {
                self.routers[id] = state;
                id
            }
            None => {
                self.routers.push(state);
                self.routers.len() - 1
            }
        };
        self.router_names.insert(report.router.name.clone(), id);
        id
    }

    pub(crate) fn zone_id(&mut self, zone: &str) -> usize {
        match self.zones.iter().position(|known| known == zone) {
            Some(id) => id,
            None => {
                self.zones.push(zone.to_owned());
                self.zones.len() - 1
            }
        }
    }

    /// Adds the software versions that the report is the first to ask for to the pools of
    /// their upstreams.
    fn add_versions(&mut self, now: Duration, report: &DispatchReport) {
        let known_targets = self.targets.len();
        let queued = report.backlog.iter().map(|entry| &entry.target);
        let running = report.usage.iter().map(|usage| &usage.target);
        for target in queued.chain(running).filter(|target| target.software.is_some()) {
            self.target_id(target);
        }
        if self.targets.len() > known_targets {
            self.rebuild_pools(now);
        }
    }

    /// Returns the index of a target and adds the target if it is new. `None`
    /// if it is new and [`TARGET_LIMIT`] is reached.
    pub(crate) fn target_id(&mut self, target: &WorkTarget) -> Option<usize> {
        if let Some(id) = self.target_names.get(target) {
            return Some(*id);
        }
        if self.targets.len() >= TARGET_LIMIT {
            return None;
        }
        let id = self.targets.len();
        let locations = Vec::new();
        self.targets.push(TargetState { target: target.clone(), locations });
        self.target_names.insert(target.clone(), id);
        Some(id)
    }

    fn apply_received_grants(&mut self, router: usize, received: u64, affected: &mut Vec<usize>) {
        let state = &mut self.routers[router];
        state.received_grant = state.received_grant.max(received);
        let received = state.received_grant;
        while self.routers[router]
            .pending_grants
            .front()
            .is_some_and(|g| g.lease.number <= received)
        {
            let Some(grant) = self.routers[router].pending_grants.pop_front() else { break };
            let Some(record) = self.routers[router].leases.get(&grant.lease).copied() else {
                continue;
            };
            self.acknowledge_grant(router, record.workspace, record.target);
            affected.push(record.workspace);
        }
    }

    fn apply_backlog(&mut self, id: usize, report: &DispatchReport, affected: &mut Vec<usize>) {
        let mut listed = Vec::with_capacity(report.backlog.len());
        for entry in &report.backlog {
            let workspace = self.workspace_id(&entry.workspace);
            let Some(target) = self.target_id(&entry.target) else { continue };
            self.set_queued(id, workspace, target, entry.queued, Some(entry));
            self.routers[id].entries.insert((workspace, target), ());
            affected.push(workspace);
            listed.push((workspace, target));
        }
        if report.full {
            listed.sort_unstable();
            self.clear_unlisted(id, &listed, affected);
        }
    }

    /// Records which upstreams told the router that they are leaving or want no requests.
    fn apply_restrictions(&mut self, now: Duration, id: usize, report: &DispatchReport) {
        if report.full {
            self.routers[id].quiet = SortedMap::new();
        }
        self.routers[id].quiet.retain(|_, (_, until)| *until > now);
        for restriction in &report.restrictions {
            let Some(upstream) = self.upstream_names.get(&restriction.upstream).copied() else {
                continue;
            };
            if self.upstreams[upstream].incarnation != restriction.incarnation {
                continue;
            }
            if restriction.leaving {
                self.upstreams[upstream].left = Some(restriction.incarnation);
                self.refresh_upstream(now, upstream);
            }
            if restriction.quiet_ms > 0 {
                let until = now + Duration::from_millis(restriction.quiet_ms.into());
                let quiet = (restriction.incarnation, until);
                self.routers[id].quiet.insert(upstream, quiet);
            }
        }
    }

    /// Records what the router reports about parts of prompts.
    fn apply_parts(&mut self, now: Duration, id: usize, parts: &PartReport) {
        let version = self.crashes.version();
        self.routers[id].parts_version = parts.version;
        for quarantine in &parts.quarantined {
            self.crashes.restore_quarantine(now, quarantine);
        }
        for part in &parts.begun {
            self.crashes.record_begun(now, *part);
        }
        for part in &parts.sound {
            self.crashes.record_sound(now, *part);
        }
        for casualty in &parts.casualties {
            self.crashes.record_casualty(now, casualty);
        }
        self.announce_parts(version);
    }

    /// Records what the router reports about the request rates that upstreams name.
    fn apply_limits(&mut self, now: Duration, id: usize, report: &LimitReport) {
        self.routers[id].limits_version = report.version;
        let version = self.limits.version();
        for limit in &report.changes {
            self.limits.record(now, limit);
        }
        for limit in &report.known {
            self.limits.restore(now, limit);
        }
        if self.limits.version() == version {
            return;
        }
        for limit in report.changes.iter().chain(&report.known) {
            if let Some(upstream) = self.upstream_names.get(&limit.upstream).copied() {
                self.refresh_upstream(now, upstream);
                self.track_slot_changes(upstream);
            }
        }
        self.wake_routers();
    }

    /// Records which streams the router began, and which ones it asks for.
    fn apply_origins(&mut self, now: Duration, id: usize, report: &OriginReport) {
        self.origins.record_groups(now, &report.begun);
        let router = &mut self.routers[id];
        for key in &report.lookups {
            router.lookups.insert(*key, ());
        }
        if !report.lookups.is_empty() {
            self.request_answer(id);
        }
    }

    /// Upstreams that want no requests from the router now.
    pub(crate) fn quiet_upstreams(&self, now: Duration, router: usize) -> Vec<usize> {
        let quiet = self.routers[router].quiet.iter().filter(|(upstream, (incarnation, until))| {
            // The index of a removed upstream may have been reused for another one.
            *until > now && self.upstreams[**upstream].incarnation == *incarnation
        });
        quiet.map(|(upstream, _)| *upstream).collect()
    }

    /// Empties the router's part of each queue that its full report does not list.
    fn clear_unlisted(&mut self, id: usize, listed: &[(usize, usize)], affected: &mut Vec<usize>) {
        let mut entries = std::mem::take(&mut self.routers[id].entries);
        entries.retain(|&(workspace, target), ()| {
            if listed.binary_search(&(workspace, target)).is_err() {
                self.set_queued(id, workspace, target, 0, None);
                affected.push(workspace);
            }
            let queue = self.workspaces[workspace].queues.get(&target);
            queue.is_some_and(|queue| queue.has_router(id))
        });
        self.routers[id].entries = entries;
    }

    fn set_queued(
        &mut self,
        router: usize,
        workspace: usize,
        target: usize,
        queued: u32,
        entry: Option<&BacklogEntry>,
    ) {
        let arrival = self.arrival_clock;
        let queues = &mut self.workspaces[workspace].queues;
        let queue = queues.get_or_insert_with(target, Default::default);
        queue.report(router, queued, entry, arrival);
    }

    fn apply_usage(
        &mut self,
        now: Duration,
        id: usize,
        report: &DispatchReport,
        affected: &mut Vec<usize>,
    ) {
        let mut ended = SortedMap::new();
        self.clear_sent_statements(id);
        for usage in &report.usage {
            let known = self.routers[id].leases.contains_key(&usage.lease);
            let repeated = !known && ended.contains_key(&usage.lease);
            let ignored = !known && (repeated || !self.adopt_lease(now, id, usage));
            if usage.end.is_some() {
                self.queue_statement(id, usage.lease, &mut ended);
            }
            if ignored {
                continue;
            }
            self.charge_lease(now, id, usage.lease, usage.charged, known);
            self.apply_first_token(now, id, usage, affected);
            if !known {
                self.cap_adopted_debt(now, id, usage.lease);
            }
            if usage.end.is_some() {
                self.end_lease(now, id, usage.lease, usage.end);
            }
        }
        if report.full {
            self.end_unlisted(now, id, report, affected);
            self.routers[id].reclaimed.clear();
        }
        self.routers[id].ended = ended;
    }

    /// Applies the costs of leases of this term. A cost for an unknown lease is
    /// ignored because the lease has ended.
    fn apply_charges(
        &mut self,
        now: Duration,
        id: usize,
        report: &DispatchReport,
        affected: &mut Vec<usize>,
    ) {
        for &(number, charged) in &report.charges {
            let lease = LeaseId { term: self.term, number };
            self.charge_lease(now, id, lease, charged, true);
            affected.extend(self.routers[id].leases.get(&lease).map(|record| record.workspace));
        }
    }

    fn apply_first_token(
        &mut self,
        now: Duration,
        id: usize,
        usage: &LeaseUsage,
        affected: &mut Vec<usize>,
    ) {
        let Some(record) = self.routers[id].leases.get_mut(&usage.lease) else { return };
        affected.push(record.workspace);
        let Some(millis) = usage.first_token_ms.filter(|_| !record.first_token) else { return };
        record.first_token = true;
        let upstream = record.upstream;
        let target_ms = record.target_ms;
        let prefill = std::mem::take(&mut record.prefill);
        let placement = self.settings.placement;
        let state = &mut self.upstreams[upstream];
        if state.incarnation != record.incarnation {
            return;
        }
        if millis != UNKNOWN_FIRST_TOKEN_MS {
            state.capacity.adapt_prefill_window(now, millis, target_ms, state.prefill);
            state.capacity.record_first_token(now, &placement, millis);
        }
        state.prefill = state.prefill.saturating_sub(prefill);
        self.refresh_upstream(now, upstream);
    }

    /// Adds a lease that this dispatcher does not know: one of an earlier term,
    /// one of local mode, or one that it has reclaimed. Returns false if the
    /// lease has already ended or [`TARGET_LIMIT`] does not allow its target.
    fn adopt_lease(&mut self, now: Duration, id: usize, usage: &LeaseUsage) -> bool {
        if self.routers[id].ended.contains_key(&usage.lease) {
            return false;
        }
        let Some(target) = self.target_id(&usage.target) else { return false };
        let workspace = self.workspace_id(&usage.workspace);
        let upstream = self.upstream_id(&usage.upstream, usage.incarnation);
        let pool = self.lease_pool(upstream, target);
        let already_charged = self.routers[id].reclaimed.remove(&usage.lease).unwrap_or(0);
        let estimate = match usage.end {
            Some(_) => 0,
            None => self.costs.estimate((workspace, target), 0),
        };
        let weight = self.workspaces[workspace].weight();
        let counted = estimate.saturating_sub(already_charged);
        let record = LeaseRecord {
            workspace,
            target,
            pool,
            upstream,
            incarnation: usage.incarnation,
            weight,
            cost_hint: 0,
            estimate,
            reported: already_charged,
            already_charged,
            charge: weighted_cost(counted, weight),
            first_token: usage.first_token_ms.is_some(),
            prefill: 0,
            target_ms: 0,
            paced: false,
            prompt: None,
        };
        self.add_lease(now, id, usage.lease, record);
        true
    }

    fn cap_adopted_debt(&mut self, now: Duration, id: usize, lease: LeaseId) {
        if let Some(record) = self.routers[id].leases.get(&lease).copied() {
            self.cap_debt(now, record.workspace, record.pool, record.target);
        }
    }

    /// Ends the leases that a full report does not list, except those whose
    /// grants the router has not received yet.
    fn end_unlisted(
        &mut self,
        now: Duration,
        id: usize,
        report: &DispatchReport,
        affected: &mut Vec<usize>,
    ) {
        let mut listed: Vec<LeaseId> = report.usage.iter().map(|usage| usage.lease).collect();
        listed.sort_unstable();
        let router = &self.routers[id];
        let first_pending = router.pending_grants.front().map(|grant| grant.lease);
        let leases = router.leases.keys().copied();
        let unlisted: Vec<LeaseId> = leases
            .filter(|lease| first_pending.is_none_or(|first| *lease < first))
            .filter(|lease| listed.binary_search(lease).is_err())
            .collect();
        for lease in unlisted {
            affected.extend(self.routers[id].leases.get(&lease).map(|record| record.workspace));
            self.end_lease(now, id, lease, None);
        }
    }

    /// Marks the router's queues of a workspace for refusal if more requests of
    /// the workspace wait in the fleet than its queue length allows.
    fn check_queue_length(&mut self, id: usize, workspace: usize) {
        let state = &self.workspaces[workspace];
        let Some(policy) = &state.policy else { return };
        if policy.limit.queue_excess(state.waiting()) == 0 {
            return;
        }
        let pending_refusals = &mut self.routers[id].pending_refusals;
        let mut has_refusals = false;
        for (target, queue) in state.queues.iter() {
            if queue.waiting_at(id) > 0 {
                pending_refusals.insert((workspace, *target), ());
                has_refusals = true;
            }
        }
        if has_refusals {
            self.request_answer(id);
        }
    }

    /// Reclaims the leases of routers that have not reported for the configured
    /// `router_silence` and returns the names of these routers. Removes routers
    /// that have not reported for `router_retention`.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let mut silent_routers = Vec::new();
        let mut expired_routers = Vec::new();
        for (name, id) in self.router_names.iter() {
            let router = &self.routers[*id];
            let silence = now.saturating_sub(router.last_report_at);
            if silence >= self.settings.router_retention {
                expired_routers.push((name.clone(), *id));
            } else if router.synced && silence >= self.settings.router_silence {
                silent_routers.push((name.clone(), *id));
            }
        }
        for (_, id) in &silent_routers {
            self.reclaim_leases(now, *id);
        }
        for (name, id) in expired_routers {
            self.clear_router(now, id);
            self.router_names.remove(&name);
            self.free_routers.push(id);
        }
        silent_routers.into_iter().map(|(name, _)| name).collect()
    }

    /// Frees the leases of a silent router and records their charged costs, so
    /// that a later report of the same lease is not charged twice.
    fn reclaim_leases(&mut self, now: Duration, id: usize) {
        let leases = self.routers[id].leases.iter();
        let charged: Vec<_> = leases.map(|(lease, record)| (*lease, record.reported)).collect();
        self.clear_router(now, id);
        let router = &mut self.routers[id];
        router.synced = false;
        router.reclaimed = charged.into_iter().collect();
    }

    /// Ends the leases of a router and removes its queues, grants and refusals.
    fn clear_router(&mut self, now: Duration, id: usize) {
        let leases: Vec<LeaseId> = self.routers[id].leases.keys().copied().collect();
        let mut affected = Vec::new();
        for lease in leases {
            affected.extend(self.routers[id].leases.get(&lease).map(|record| record.workspace));
            self.end_lease(now, id, lease, None);
        }
        for (workspace, target) in
            std::mem::take(&mut self.routers[id].entries).into_iter().map(|e| e.0)
        {
            if let Some(queue) = self.workspaces[workspace].queues.get_mut(&target) {
                queue.remove_router(id);
            }
            affected.push(workspace);
        }
        let router = &mut self.routers[id];
        router.pending_grants.clear();
        router.pending_refusals.clear();
        router.needs_answer = false;
        affected.sort_unstable();
        affected.dedup();
        for workspace in affected {
            self.refresh_workspace(now, workspace);
        }
    }
}
