//! The dispatcher, which grants free upstream slots to waiting requests in
//! fair-queueing order.
//!
//! It is a synchronous state machine without I/O. Its owner passes in reports,
//! tables and announcements, calls [`SlotDispatcher::dispatch`] after each
//! change and sends answers to the routers that
//! [`SlotDispatcher::routers_to_wake`] returns.

use crate::account_carryover::RECEIVED_STATEMENT_LIMIT;
use crate::account_statement::StatementStore;
use crate::cold_tracker::ColdTracker;
use crate::cost_estimate::CostEstimate;
use crate::crash_tracker::{CrashTracker, FoundPart};
use crate::dispatch_cold::{COLD_MARGIN, ColdChange};
use crate::dispatch_messages::{
    BacklogRefusal, DispatchAnswer, LeaseId, LimitList, OriginAnswer, SlotGrant, UpstreamRoute,
};
use crate::dispatch_settings::DispatchSettings;
use crate::dispatch_state::{
    LeaseRecord, PoolState, RouterState, TargetLocation, TargetState, UpstreamState,
    WorkspacePolicy, WorkspaceState, refusal,
};
use crate::engine_memory::MemoryPeak;
use crate::fair_order::{AccountValue, IndexedHeap, weighted_cost};
use crate::placement::{PrefixHints, SlotPreference};
use crate::prefix_placement::{PrefixCounts, PrefixOutcome};
use crate::rate_limit::WorkspaceLimit;
use crate::report_pace::report_hold;
use crate::sorted_map::SortedMap;
use crate::stream_origins::{FLEET_STREAM_LIMIT, OriginDirectory};
use crate::upstream_limits::UpstreamLimits;
use crate::upstream_registry::{UpstreamKind, WorkTarget};
use crate::workspace_table::WorkspaceTable;
use std::time::Duration;

/// Maximum number of grants per answer; keeps the message below its size limit.
const GRANTS_PER_ANSWER: usize = 1024;
/// Number of prefill windows that an upstream may fill with prompts whose prefix it holds in its
/// cache. With 2, a quarter more prompt tokens were processed again on other upstreams.
const HOLDER_PREFILL_WINDOWS: u64 = 3;

/// Time after the start of a dispatcher in which it learns where most of the prefixes in use are.
const PRESUMED_HOLDER_TIME: Duration = Duration::from_secs(10);

/// Dispatcher of one term: the accounts, queues, leases and upstreams of the fleet.
///
/// ```
/// use baobabfall_core::dispatch_messages::*;
/// use baobabfall_core::dispatch_settings::DispatchSettings;
/// use baobabfall_core::slot_dispatcher::SlotDispatcher;
/// use baobabfall_core::upstream_registry::*;
/// use baobabfall_core::workspace_table::{WorkspaceTable, hash_key};
/// use std::time::Duration;
///
/// let now = Duration::ZERO;
/// let table = format!(
///     "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,queue_length,request_kib\n\
///      team-a,{},1,8,600,100000,50,1024\n",
///     hash_key("secret")
/// );
/// let table = WorkspaceTable::parse_csv(table.as_bytes()).unwrap();
/// let engine = UpstreamAnnouncement {
///     name: "engine-1".to_owned(),
///     incarnation: 1,
///     sequence: 1,
///     address: "127.0.0.1:9000".parse().unwrap(),
///     kind: UpstreamKind::Model,
///     serves: vec!["small".to_owned()],
///     zone: "a".to_owned(),
///     concurrency: 1,
///     pool: None,
///     honours_fencing: false,
///     resume: false,
///     cancel: false,
///     leaving: false,
///     running: None,
///     software: None,
///     cold_ms: None,
/// };
/// let mut dispatcher = SlotDispatcher::new(now, 1, DispatchSettings::default());
/// dispatcher.expect_routers(["entry-1"]);
/// dispatcher.set_table(now, &table);
/// dispatcher.set_upstreams(now, [&engine]);
/// dispatcher.apply_report(now, &DispatchReport {
///     router: NodeIdentity { name: "entry-1".to_owned(), incarnation: 1 },
///     zone: "a".to_owned(),
///     term: 1,
///     sequence: 1,
///     full: true,
///     backlog: vec![BacklogEntry {
///         target: WorkTarget::new(UpstreamKind::Model, "small".to_owned()),
///         workspace: "team-a".to_owned(),
///         queued: 2,
///         cost_hint: 0,
///         prefix: None,
///         avoid: None,
///         prompts: vec![],
///     }],
///     usage: vec![],
///     charges: vec![],
///     received_grant: 0,
///     wait_ms: 0,
///     statements: vec![],
///     restrictions: Vec::new(),
///     parts: PartReport::default(),
///     limits: LimitReport::default(),
///     origins: OriginReport::default(),
///     load: None,
/// });
/// assert_eq!(dispatcher.dispatch(now), 1);
/// assert_eq!(dispatcher.routers_to_wake(), ["entry-1"]);
/// let answer = dispatcher.take_answer(now, "entry-1");
/// assert_eq!(answer.grants[0].upstream.name, "engine-1");
/// ```
#[derive(Clone, Debug)]
pub struct SlotDispatcher {
    pub(crate) term: u64,
    pub(crate) settings: DispatchSettings,
    pub(crate) started_at: Duration,
    pub(crate) recovering: bool,
    /// Routers whose full reports end the recovery before its time limit.
    pub(crate) expected_routers: Option<Vec<String>>,
    pub(crate) last_grant: u64,
    pub(crate) decisions: u64,
    /// Time in milliseconds for which routers may hold back changes.
    pub(crate) hold_ms: u32,
    /// Value of `decisions` at the last reading of the load.
    pub(crate) decisions_read: u64,
    /// Number of applied reports; orders waiting requests by their arrival.
    pub(crate) arrival_clock: u64,
    /// Number of answers with statements in this term.
    pub(crate) last_statement: u64,
    /// Statements of earlier terms, received from routers and kept until the recovery ends.
    pub(crate) received_statements: StatementStore,
    pub(crate) workspace_names: SortedMap<String, usize>,
    pub(crate) workspaces: Vec<WorkspaceState>,
    pub(crate) free_workspaces: Vec<usize>,
    pub(crate) target_names: SortedMap<WorkTarget, usize>,
    pub(crate) targets: Vec<TargetState>,
    pub(crate) pool_names: SortedMap<(UpstreamKind, String), usize>,
    pub(crate) pools: Vec<PoolState>,
    pub(crate) upstream_names: SortedMap<String, usize>,
    pub(crate) upstreams: Vec<UpstreamState>,
    pub(crate) free_upstreams: Vec<usize>,
    pub(crate) stopping: Vec<String>,
    /// Indices of the zones whose upstreams get no grants.
    pub(crate) evacuated_zones: Vec<usize>,
    pub(crate) zones: Vec<String>,
    pub(crate) router_names: SortedMap<String, usize>,
    pub(crate) routers: Vec<RouterState>,
    pub(crate) free_routers: Vec<usize>,
    /// Routers that need an answer since the last call of [`SlotDispatcher::routers_to_wake`].
    pub(crate) unwoken_routers: Vec<usize>,
    pub(crate) costs: CostEstimate,
    pub(crate) prefix_hints: PrefixHints,
    /// Placements of shared prefixes since the last reading of the load.
    pub(crate) prefix_counts: PrefixCounts,
    /// Most tokens held at one upstream since then.
    pub(crate) memory_peak: MemoryPeak,
    pub(crate) memory_observed_at: Duration,
    /// Parts of prompts that crash upstreams.
    pub(crate) crashes: CrashTracker,
    /// Request rates that upstreams have named.
    pub(crate) limits: UpstreamLimits,
    /// Which upstreams are cold.
    pub(crate) cold: ColdTracker,
    /// Rates that cold upstreams tolerate.
    pub(crate) cold_rates: UpstreamLimits,
    /// Changes between cold and warm that are not logged yet.
    pub(crate) cold_changes: Vec<ColdChange>,
    /// Origins of the streams that routers have begun.
    pub(crate) origins: OriginDirectory,
    /// Workspaces that wait because of their rate limits, ordered by the end of the wait.
    pub(crate) rate_limited: IndexedHeap<Duration>,
    /// Upstreams whose slots change over time: ejected ones and those in slow start.
    pub(crate) changing_upstreams: Vec<usize>,
}

/// Returns the weight of an upstream for a prefix. The 64-bit finalizer of MurmurHash3
/// distributes prefixes evenly over the upstreams.
fn rendezvous_weight(prefix: u64, name_hash: u64) -> u64 {
    let mut mixed = prefix ^ name_hash;
    for factor in [0xff51_afd7_ed55_8ccd_u64, 0xc4ce_b9fe_1a85_ec53] {
        mixed = (mixed ^ (mixed >> 33)).wrapping_mul(factor);
    }
    mixed ^ (mixed >> 33)
}

impl SlotDispatcher {
    /// Creates a dispatcher in recovery: it makes no grants until it has full
    /// reports of the expected routers or `recovery_wait` has passed.
    pub fn new(now: Duration, term: u64, settings: DispatchSettings) -> Self {
        Self {
            term,
            settings,
            started_at: now,
            recovering: true,
            expected_routers: None,
            last_grant: 0,
            decisions: 0,
            decisions_read: 0,
            hold_ms: 0,
            arrival_clock: 0,
            last_statement: 0,
            received_statements: StatementStore::new(RECEIVED_STATEMENT_LIMIT),
            workspace_names: SortedMap::new(),
            workspaces: Vec::new(),
            free_workspaces: Vec::new(),
            target_names: SortedMap::new(),
            targets: Vec::new(),
            pool_names: SortedMap::new(),
            pools: Vec::new(),
            upstream_names: SortedMap::new(),
            upstreams: Vec::new(),
            free_upstreams: Vec::new(),
            stopping: Vec::new(),
            evacuated_zones: Vec::new(),
            zones: Vec::new(),
            router_names: SortedMap::new(),
            routers: Vec::new(),
            free_routers: Vec::new(),
            unwoken_routers: Vec::new(),
            costs: CostEstimate::new(settings.estimate_limit),
            prefix_hints: PrefixHints::new(settings.placement.prefix_hint_limit),
            prefix_counts: PrefixCounts::default(),
            memory_peak: MemoryPeak::default(),
            memory_observed_at: now,
            crashes: CrashTracker::default(),
            limits: UpstreamLimits::new(1, 0),
            cold: ColdTracker::new(COLD_MARGIN),
            cold_rates: UpstreamLimits::without_burst(1, 0),
            cold_changes: Vec::new(),
            origins: OriginDirectory::new(FLEET_STREAM_LIMIT),
            rate_limited: IndexedHeap::new(),
            changing_upstreams: Vec::new(),
        }
    }

    /// Sets the routers whose full reports end the recovery early.
    pub fn expect_routers<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        self.expected_routers = Some(names.into_iter().map(str::to_owned).collect());
    }

    /// Sets the workspace table. Accounts keep their values; a changed weight
    /// applies to later grants only.
    pub fn set_table(&mut self, now: Duration, table: &WorkspaceTable) {
        let burst = self.settings.rate_burst;
        for row in table.rows().values() {
            let id = self.workspace_id(&row.name);
            match &mut self.workspaces[id].policy {
                Some(policy) => {
                    policy.weight = row.weight;
                    policy.limit.set_row(now, row, burst);
                }
                policy => {
                    let limit = WorkspaceLimit::new(now, row, burst);
                    *policy = Some(WorkspacePolicy { weight: row.weight, limit });
                }
            }
        }
        for workspace in self.workspaces.iter_mut() {
            if table.get(&workspace.name).is_none() {
                workspace.policy = None;
            }
        }
        for id in 0..self.workspaces.len() {
            self.refresh_workspace(now, id);
        }
        self.drop_unused_workspaces();
    }

    fn drop_unused_workspaces(&mut self) {
        for id in 0..self.workspaces.len() {
            let workspace = &self.workspaces[id];
            let unused = workspace.policy.is_none() && workspace.leases == 0;
            if !unused
                || workspace.waiting() > 0
                || !self.workspace_names.contains_key(&workspace.name)
            {
                continue;
            }
            self.workspace_names.remove(&workspace.name);
            self.costs.forget_workspace(id);
            for router in &mut self.routers {
                router.entries.retain(|(workspace, _), _| *workspace != id);
                router.pending_refusals.retain(|(workspace, _), _| *workspace != id);
            }
            self.workspaces[id] = WorkspaceState::new("");
            self.free_workspaces.push(id);
        }
    }

    /// Makes every grant that is possible at `now` and returns the number of
    /// grants.
    pub fn dispatch(&mut self, now: Duration) -> usize {
        self.advance(now);
        self.observe_memory(now);
        if self.recovering {
            return 0;
        }
        let mut granted = 0;
        for pool in 0..self.pools.len() {
            while self.grant_next(now, pool) {
                granted += 1;
            }
        }
        granted
    }

    /// Makes at most one grant and returns true if it made one. Used to measure
    /// the time of a single decision.
    pub fn dispatch_one(&mut self, now: Duration) -> bool {
        !self.recovering && (0..self.pools.len()).any(|pool| self.grant_next(now, pool))
    }

    /// Ends the recovery if its conditions are met. Returns true once it has
    /// ended.
    pub fn finish_recovery(&mut self, now: Duration) -> bool {
        if self.recovering && self.is_recovered(now) {
            self.recovering = false;
            self.restore_accounts(now);
            for id in 0..self.routers.len() {
                if !self.routers[id].lookups.is_empty() {
                    self.request_answer(id);
                }
            }
        }
        !self.recovering
    }

    /// Applies changes that are due because time has passed: the end of the
    /// recovery, of rate limit waits, of ejections and of slow starts.
    fn advance(&mut self, now: Duration) {
        self.finish_recovery(now);
        while let Some((due, id)) = self.rate_limited.peek()
            && due <= now
        {
            self.rate_limited.remove(id);
            self.refresh_workspace(now, id);
        }
        let placement = self.settings.placement;
        for id in std::mem::take(&mut self.changing_upstreams) {
            self.update_cold(now, id, false);
            let is_paced = self.is_paced(id);
            let upstream = &mut self.upstreams[id];
            let is_limited =
                is_paced || self.limits.is_limited(&upstream.name, upstream.incarnation);
            if upstream.capacity.advance(now, &placement) || is_limited {
                self.refresh_upstream(now, id);
            }
            if self.next_slot_change(now, id).is_some() {
                self.changing_upstreams.push(id);
            }
        }
    }

    fn is_recovered(&self, now: Duration) -> bool {
        if now >= self.started_at + self.settings.recovery_wait {
            return true;
        }
        self.expected_routers.as_ref().is_some_and(|names| {
            names.iter().all(|name| {
                let id = self.router_names.get(name);
                id.is_some_and(|id| self.routers[*id].synced)
            })
        })
    }

    /// Grants a slot of the pool to the workspace with the lowest account that
    /// can use one.
    fn grant_next(&mut self, now: Duration, pool: usize) -> bool {
        let mut passed_over = Vec::new();
        let granted = loop {
            let Some((workspace, index)) = self.next_workspace(pool) else { break false };
            if self.has_slot_for_first(now, pool, workspace, index) {
                break self.grant_to(now, pool, workspace, index);
            }
            self.pools[pool].targets[index].order.remove(workspace);
            passed_over.push(workspace);
        };
        for workspace in passed_over {
            self.refresh_workspace(now, workspace);
        }
        granted
    }

    /// True unless every free upstream of the target wants no requests from the router
    /// that holds the first request of the workspace.
    fn has_slot_for_first(
        &self,
        now: Duration,
        pool: usize,
        workspace: usize,
        index: usize,
    ) -> bool {
        let target = &self.pools[pool].targets[index];
        let queue = self.workspaces[workspace].queues.get(&target.target);
        let Some(router) = queue.and_then(|queue| queue.first_router()) else { return true };
        let excluded = self.quiet_upstreams(now, router);
        let preference = SlotPreference { excluded: &excluded, ..SlotPreference::default() };
        excluded.is_empty() || target.free.choose(&preference).is_some()
    }

    fn grant_to(&mut self, now: Duration, pool: usize, workspace: usize, index: usize) -> bool {
        let target = self.pools[pool].targets[index].target;
        let queue = self.workspaces[workspace].queues.get_mut(&target);
        let Some(next) = queue.and_then(|queue| queue.take_next()) else { return false };
        let holders = next.prefix.map_or_else(Vec::new, |prefix| {
            self.prefix_hints.find(now, self.settings.placement.prefix_lifetime, prefix)
        });
        let location = TargetLocation { pool, index };
        let affine =
            match next.prompt.and_then(|prompt| prompt.prefix).filter(|_| holders.is_empty()) {
                Some(prefix) => self
                    .presumed_holder(now, location, prefix)
                    .or_else(|| self.rendezvous_upstream(now, location, prefix)),
                None => self.least_loaded_holder(now, location, &holders),
            };
        let avoid = next.avoid.as_ref().and_then(|name| self.upstream_names.get(name).copied());
        let zone = self.routers[next.router].zone;
        let free = &self.pools[pool].targets[index].free;
        let excluded = self.quiet_upstreams(now, next.router);
        let chosen = free.choose(&SlotPreference { zone, affine, avoid, excluded: &excluded });
        let upstream = chosen.expect("the target has a free slot");
        if let Some(prompt) = next.prompt.filter(|prompt| prompt.prefix.is_some()) {
            let outcome = match holders.contains(&upstream) {
                true => PrefixOutcome::Held,
                false => self.why_not_held(now, &holders),
            };
            self.prefix_counts.add(outcome, prompt.shared);
        }
        if let Some(prefix) = next.prefix {
            self.prefix_hints.record(now, prefix, upstream);
        }
        let estimate = self.costs.grant_charge((workspace, target), next.cost_hint);
        let weight = self.workspaces[workspace].weight();
        let lease = self.next_lease();
        let record = LeaseRecord {
            workspace,
            target,
            pool,
            upstream,
            incarnation: self.upstreams[upstream].incarnation,
            weight,
            cost_hint: next.cost_hint,
            estimate,
            reported: 0,
            already_charged: 0,
            charge: weighted_cost(estimate, weight),
            first_token: false,
            prefill: next.prompt.map_or(0, |prompt| {
                let uncached = if holders.contains(&upstream) { 0 } else { prompt.shared };
                u64::from(prompt.own) + u64::from(uncached)
            }),
            target_ms: next.prompt.map_or(0, |prompt| prompt.target_ms),
            paced: self.is_paced(upstream),
            prompt: next.prompt,
        };
        self.raise_virtual_time(pool, index, workspace);
        if let Some(account) = self.workspaces[workspace].accounts.get_mut(&pool) {
            account.counts.granted += 1;
            account.counts.cost = account.counts.cost.saturating_add(next.cost_hint);
        }
        if let Some(policy) = &mut self.workspaces[workspace].policy {
            policy.limit.charge_request(now);
        }
        self.charge_upstream_rate(now, upstream);
        self.push_grant(next.router, lease, &record);
        self.add_lease(now, next.router, lease, record);
        self.refresh_workspace(now, workspace);
        self.decisions += 1;
        true
    }

    /// Takes one request from the rate that the upstream has named or tolerates while cold, if any.
    fn charge_upstream_rate(&mut self, now: Duration, id: usize) {
        let Self { upstreams, limits, cold_rates, .. } = self;
        let upstream = &upstreams[id];
        let mut is_limited = false;
        for rates in [limits, cold_rates] {
            if rates.is_limited(&upstream.name, upstream.incarnation) {
                rates.charge(now, &upstream.name, upstream.incarnation);
                is_limited = true;
            }
        }
        if is_limited {
            self.track_slot_changes(id);
        }
    }

    /// Returns the upstream for a prefix that no upstream is known to hold.
    /// With rendezvous hashing every dispatcher chooses the same one. A new
    /// dispatcher does not know which prefixes the upstreams hold, but still sends
    /// a prefix to the upstream that the previous dispatcher chose.
    fn rendezvous_upstream(
        &self,
        now: Duration,
        location: TargetLocation,
        prefix: u64,
    ) -> Option<usize> {
        let members = self.pools[location.pool].members.iter().copied();
        let free = members.filter(|id| {
            let upstream = &self.upstreams[*id];
            upstream.locations.contains(&location)
                && upstream.running < self.usable_slots(now, *id)
                && upstream.prefill < upstream.capacity.prefill_window()
        });
        free.max_by_key(|id| rendezvous_weight(prefix, self.upstreams[*id].name_hash))
    }

    /// Returns the first choice of rendezvous hashing for a prefix that no upstream is known to
    /// hold, if it accepts prompts whose prefix it holds. After a change of dispatcher under load
    /// few upstreams have room in their windows; a choice among these alone would have nearly
    /// every prefix read again. Later, a prefix without a known holder is most likely held nowhere.
    fn presumed_holder(
        &self,
        now: Duration,
        location: TargetLocation,
        prefix: u64,
    ) -> Option<usize> {
        if now >= self.started_at + PRESUMED_HOLDER_TIME {
            return None;
        }
        let members = self.pools[location.pool].members.iter().copied();
        let usable = members.filter(|id| {
            let serves = self.upstreams[*id].locations.contains(&location);
            serves && !self.is_paced(*id) && self.usable_slots(now, *id) > 0
        });
        let first =
            usable.max_by_key(|id| rendezvous_weight(prefix, self.upstreams[*id].name_hash));
        self.least_loaded_holder(now, location, first.as_slice())
    }

    /// Returns the least loaded upstream that holds a prefix. It may have more
    /// unprocessed prompt tokens than others, because processing the prefix
    /// again elsewhere costs more than the longer wait.
    fn least_loaded_holder(
        &self,
        now: Duration,
        location: TargetLocation,
        holders: &[usize],
    ) -> Option<usize> {
        let usable = holders.iter().copied().filter(|id| {
            let upstream = &self.upstreams[*id];
            // The index of a removed upstream may have been reused for another one.
            upstream.locations.contains(&location)
                && upstream.running < self.usable_slots(now, *id)
                && self.accepts_held(*id)
        });
        usable.min_by_key(|id| (self.upstreams[*id].prefill, self.upstreams[*id].running))
    }

    /// True when a holder may get another prompt whose prefix it holds, by its unread tokens.
    pub(crate) fn accepts_held(&self, id: usize) -> bool {
        let upstream = &self.upstreams[id];
        upstream.prefill < HOLDER_PREFILL_WINDOWS * upstream.capacity.prefill_window()
    }

    /// Returns the workspace with the lowest account that a free slot of the pool
    /// can serve, and the index of its target. Among targets of the same workspace
    /// it chooses streams that have begun, which are older than requests that have
    /// not, and then the one whose first request has waited longest.
    fn next_workspace(&self, pool: usize) -> Option<(usize, usize)> {
        let targets = self.pools[pool].targets.iter().enumerate();
        let heads =
            targets.filter(|(_, target)| !target.free.is_empty()).filter_map(|(index, target)| {
                let (value, workspace) = target.order.peek()?;
                Some((value, workspace, target.target, index))
            });
        let age_order = |workspace: usize, target: usize| {
            let queue = self.workspaces[workspace].queues.get(&target);
            let has_begun = self.targets[target].target.software.is_some();
            (!has_begun, queue.and_then(|queue| queue.first_arrival()))
        };
        let mut best: Option<(AccountValue, usize, usize, usize)> = None;
        for head in heads {
            let better = best.is_none_or(|best| match (head.0, head.1).cmp(&(best.0, best.1)) {
                std::cmp::Ordering::Equal => age_order(head.1, head.2) < age_order(best.1, best.2),
                order => order.is_lt(),
            });
            if better {
                best = Some(head);
            }
        }
        best.map(|(_, workspace, _, index)| (workspace, index))
    }

    fn raise_virtual_time(&mut self, pool: usize, index: usize, workspace: usize) {
        let value =
            self.workspaces[workspace].accounts.get(&pool).map_or(0, |account| account.value);
        let target = &mut self.pools[pool].targets[index];
        target.virtual_time = target.virtual_time.max(value);
    }

    fn next_lease(&mut self) -> LeaseId {
        self.last_grant += 1;
        LeaseId { term: self.term, number: self.last_grant }
    }

    fn push_grant(&mut self, router: usize, lease: LeaseId, record: &LeaseRecord) {
        let grant = SlotGrant {
            lease,
            target: self.targets[record.target].target.clone(),
            workspace: self.workspaces[record.workspace].name.clone(),
            upstream: UpstreamRoute {
                paced: record.paced,
                ..self.upstreams[record.upstream].route()
            },
        };
        self.routers[router].pending_grants.push_back(grant);
        self.request_answer(router);
    }

    /// Records that the router must get an answer.
    pub(crate) fn request_answer(&mut self, router: usize) {
        let state = &mut self.routers[router];
        state.needs_answer = true;
        if !std::mem::replace(&mut state.is_unwoken, true) {
            self.unwoken_routers.push(router);
        }
    }

    /// Returns the answer for a router: the grants that it has not acknowledged,
    /// refusals, statements, and whether its next report must be a full one.
    ///
    /// A refusal applies to the queue as it is after the grants of the same
    /// answer have been taken from it.
    pub fn take_answer(&mut self, now: Duration, router_name: &str) -> DispatchAnswer {
        let routers = u32::try_from(self.router_names.len()).unwrap_or(u32::MAX);
        let mut answer = DispatchAnswer {
            term: self.term,
            acknowledged: 0,
            resync: true,
            grants: Vec::new(),
            refusals: Vec::new(),
            routers,
            statements: Vec::new(),
            parts: None,
            limits: None,
            hold_ms: self.hold_ms,
            origins: Vec::new(),
            neighbours: None,
        };
        let Some(id) = self.router_names.get(router_name).copied() else { return answer };
        let mut pending_refusals = std::mem::take(&mut self.routers[id].pending_refusals);
        pending_refusals.retain(|&(workspace, target), ()| {
            let refusal = self.refusal_for(now, id, workspace, target);
            let keep_marked = refusal.is_some();
            answer.refusals.extend(refusal);
            keep_marked
        });
        let router = &mut self.routers[id];
        router.pending_refusals = pending_refusals;
        router.needs_answer = false;
        let has_more_grants = router.pending_grants.len() > GRANTS_PER_ANSWER;
        answer.resync = !router.synced;
        // A router drops an ended lease once its end is acknowledged. A statement must include the
        // cost of the lease by then, and statements need complete accounts.
        answer.acknowledged = if self.recovering { 0 } else { router.sequence };
        answer.grants = router.pending_grants.iter().take(GRANTS_PER_ANSWER).cloned().collect();
        answer.statements = self.build_statements(id);
        // A router that is not synced may hold quarantines that this dispatcher does not know yet.
        let holds_list = self.routers[id].parts_version == self.crashes.version();
        answer.parts = (!holds_list && !answer.resync).then(|| self.crashes.list(now));
        let holds_limits = self.routers[id].limits_version == self.limits.version();
        answer.limits = (!holds_limits && !answer.resync)
            .then(|| LimitList { version: self.limits.version(), limits: self.limits.list() });
        answer.origins = self.answer_lookups(now, id);
        answer.neighbours = self.take_neighbours(now, id);
        if has_more_grants {
            self.request_answer(id);
        }
        answer
    }

    /// Answers the router's lookups of streams. During the recovery they wait, because the
    /// routers that began the streams may not have reported yet.
    fn answer_lookups(&mut self, now: Duration, id: usize) -> Vec<OriginAnswer> {
        if self.recovering {
            return Vec::new();
        }
        let lookups = std::mem::take(&mut self.routers[id].lookups);
        lookups.into_iter().map(|(key, ())| self.origins.answer(now, key)).collect()
    }

    /// The request rates that upstreams have named.
    pub fn limits(&self) -> &UpstreamLimits {
        &self.limits
    }

    /// Quarantines parts of prompts that crash upstreams, and returns them.
    pub fn quarantine_parts(&mut self, now: Duration) -> Vec<FoundPart> {
        let version = self.crashes.version();
        let found = self.crashes.evaluate(now);
        self.announce_parts(version);
        found
    }

    /// Wakes every router when the list of parts is not of `version` any more.
    pub(crate) fn announce_parts(&mut self, version: u64) {
        if self.crashes.version() != version {
            self.wake_routers();
        }
    }

    pub(crate) fn wake_routers(&mut self) {
        let ids: Vec<usize> = self.router_names.values().copied().collect();
        ids.into_iter().for_each(|id| self.request_answer(id));
    }

    fn refusal_for(
        &mut self,
        now: Duration,
        router: usize,
        workspace: usize,
        target: usize,
    ) -> Option<BacklogRefusal> {
        let settings = self.settings;
        let state = &mut self.workspaces[workspace];
        let total = state.waiting();
        let waiting = state.queues.get(&target)?.waiting_at(router);
        let limit = &mut state.policy.as_mut()?.limit;
        let wait = limit.rate_wait(now).unwrap_or_default();
        let keep = match wait > settings.longest_rate_wait {
            true => 0,
            false => waiting.saturating_sub(limit.queue_excess(total)),
        };
        let target = &self.targets[target].target;
        (keep < waiting)
            .then(|| refusal(target, &state.name, keep, wait.max(settings.queue_full_retry)))
    }

    /// Sets the pace of the routers' reports by the load and by the delay with which the
    /// dispatcher's owner runs.
    pub fn set_pace(&mut self, now: Duration, delay: Duration) {
        let hold = report_hold(&self.load(now), delay);
        self.hold_ms = u32::try_from(hold.as_millis()).unwrap_or(u32::MAX);
    }

    /// Returns the names of routers for which there have been grants or refusals
    /// since the last call that no answer has carried yet.
    pub fn routers_to_wake(&mut self) -> Vec<&str> {
        let unwoken = std::mem::take(&mut self.unwoken_routers);
        for id in &unwoken {
            self.routers[*id].is_unwoken = false;
        }
        let unsent = unwoken.into_iter().map(|id| &self.routers[id]);
        let unsent = unsent.filter(|router| router.needs_answer);
        unsent.map(|router| router.identity.name.as_str()).collect()
    }

    /// True if there is something for the router that no answer has carried yet.
    pub fn needs_answer(&self, router_name: &str) -> bool {
        let id = self.router_names.get(router_name);
        id.is_some_and(|id| self.routers[*id].needs_answer)
    }

    /// Returns the time at which to call [`SlotDispatcher::expire`] and
    /// [`SlotDispatcher::dispatch`] if nothing else happens before.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let recovery = self.recovering.then_some(self.started_at + self.settings.recovery_wait);
        let rate_limited = self.rate_limited.peek().map(|(due, _)| due);
        let slots = self.changing_upstreams.iter();
        let slots = slots.filter_map(|id| self.next_slot_change(now, *id));
        let silent = self.router_names.values().map(|id| &self.routers[*id]);
        let silent = silent.map(|router| match router.synced {
            true => router.last_report_at + self.settings.router_silence,
            false => router.last_report_at + self.settings.router_retention,
        });
        recovery.into_iter().chain(rate_limited).chain(slots.min()).chain(silent.min()).min()
    }
}
