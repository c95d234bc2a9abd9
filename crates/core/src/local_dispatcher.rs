//! Local mode: dispatch inside one router while it cannot reach a dispatcher.
//!
//! The router serves its own backlog in fair-queueing order with the slots of the
//! leases that it holds. After `isolation_wait` it uses a fixed share of each
//! upstream instead, because a dispatcher that it cannot reach reclaims the held
//! slots at that time.

use crate::cost_estimate::DEFAULT_ESTIMATE;
use crate::dispatch_messages::{
    BacklogEntry, CostUnits, LeaseId, LeaseUsage, SlotGrant, UpstreamLimit, UpstreamRoute,
};
use crate::fair_order::{AccountValue, FairAccount, weighted_cost};
use crate::sorted_map::SortedMap;
use crate::upstream_limits::UpstreamLimits;
use crate::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use crate::workspace_table::WorkspaceTable;
use std::time::Duration;

/// Term of leases that a router grants to itself. Terms of dispatchers start at 1.
pub const LOCAL_TERM: u64 = 0;

/// Routers in local mode together use one part in this many of the rate that a cold upstream
/// tolerates. The dispatcher uses the whole rate, and the two may overlap during a change of the
/// lead or a partition.
const COLD_SHARE_DIVISOR: u32 = 4;

/// State of a router at the moment it enters local mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalSettings {
    /// Time at which the last answer of a dispatcher arrived.
    pub last_answer_at: Duration,
    /// Time from the last answer until a fixed share of each upstream replaces the
    /// held slots.
    pub isolation_wait: Duration,
    /// Number of routers according to the last answer; the share is one part in this
    /// many.
    pub routers: u32,
    /// Differs between routers, so that their minimum share of one slot per pool is
    /// spread over the upstreams of the pool.
    pub seed: u64,
    /// Number of the first local lease. It must be higher than every earlier local
    /// lease number of this router incarnation.
    pub first_number: u64,
}

impl Default for LocalSettings {
    fn default() -> Self {
        Self {
            last_answer_at: Duration::ZERO,
            isolation_wait: Duration::from_secs(10),
            routers: 1,
            seed: 0,
            first_number: 1,
        }
    }
}

#[derive(Clone, Debug)]
struct LocalUpstream {
    announcement: UpstreamAnnouncement,
    /// Slots of the leases that the router held when local mode began.
    held_slots: u32,
    running: u32,
}

#[derive(Clone, Debug)]
struct LocalLease {
    usage: LeaseUsage,
    weight: u32,
    charge: AccountValue,
    estimate: CostUnits,
}

#[derive(Clone, Copy, Debug)]
struct LocalWorkspace {
    weight: u32,
    concurrency: u32,
    running: u32,
}

/// Kind of the upstreams of a pool, and its name.
type PoolKey = (UpstreamKind, String);

/// Grants slots to one router's own backlog in fair-queueing order.
///
/// ```
/// use baobabfall_core::dispatch_messages::*;
/// use baobabfall_core::local_dispatcher::{LocalDispatcher, LocalSettings};
/// use baobabfall_core::upstream_registry::*;
/// use baobabfall_core::workspace_table::{WorkspaceTable, hash_key};
/// use std::time::Duration;
///
/// let table = format!(
///     "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,queue_length,request_kib\n\
///      team-a,{},1,8,600,100000,50,1024\n",
///     hash_key("secret")
/// );
/// let table = WorkspaceTable::parse_csv(table.as_bytes()).unwrap();
/// let target = WorkTarget::new(UpstreamKind::Model, "small".to_owned());
/// let mut held = LeaseUsage {
///     lease: LeaseId { term: 3, number: 7 },
///     upstream: "engine-1".to_owned(),
///     incarnation: 1,
///     target: target.clone(),
///     workspace: "team-a".to_owned(),
///     charged: 10,
///     first_token_ms: None,
///     end: None,
/// };
/// let engine = UpstreamAnnouncement {
///     name: "engine-1".to_owned(),
///     incarnation: 1,
///     sequence: 1,
///     address: "127.0.0.1:9000".parse().unwrap(),
///     kind: UpstreamKind::Model,
///     serves: vec!["small".to_owned()],
///     zone: "a".to_owned(),
///     concurrency: 8,
///     pool: None,
///     honours_fencing: false,
///     resume: false,
///     cancel: false,
///     leaving: false,
///     running: None,
///     software: None,
///     cold_ms: None,
/// };
/// let now = Duration::ZERO;
/// let mut local = LocalDispatcher::new(LocalSettings::default(), &table, [&held]);
/// local.set_upstreams([&engine]);
/// local.set_backlog(&BacklogEntry {
///     target,
///     workspace: "team-a".to_owned(),
///     queued: 1,
///     cost_hint: 0,
///     prefix: None,
///     prompts: Vec::new(), avoid: None,
/// });
/// assert!(local.dispatch(now).is_empty(), "the held slot is in use");
/// held.end = Some(LeaseEnd::Finished);
/// local.record_usage(&held);
/// assert_eq!(local.dispatch(now).len(), 1);
/// assert_eq!(local.usage().count(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct LocalDispatcher {
    settings: LocalSettings,
    workspaces: SortedMap<String, LocalWorkspace>,
    upstreams: SortedMap<String, LocalUpstream>,
    /// Slots of held leases by upstream name and incarnation.
    held_slots: SortedMap<(String, u64), u32>,
    accounts: SortedMap<(PoolKey, String), FairAccount>,
    /// Virtual time of each pool: the highest account value that was granted a slot.
    virtual_times: SortedMap<PoolKey, AccountValue>,
    backlog: SortedMap<(String, WorkTarget), BacklogEntry>,
    leases: SortedMap<LeaseId, LocalLease>,
    /// Local leases that ended since the last call of [`LocalDispatcher::forget_ended`].
    ended: Vec<LeaseUsage>,
    next_number: u64,
    /// This router's share of the request rates that upstreams have named.
    limits: UpstreamLimits,
    /// This router's share of the rates that cold upstreams tolerate.
    cold_rates: UpstreamLimits,
}

impl LocalDispatcher {
    /// Starts local mode with the leases that the router holds; ended ones are ignored.
    pub fn new<'a>(
        settings: LocalSettings,
        table: &WorkspaceTable,
        held_leases: impl IntoIterator<Item = &'a LeaseUsage>,
    ) -> Self {
        let mut local = Self {
            settings,
            workspaces: SortedMap::new(),
            upstreams: SortedMap::new(),
            held_slots: SortedMap::new(),
            accounts: SortedMap::new(),
            virtual_times: SortedMap::new(),
            backlog: SortedMap::new(),
            leases: SortedMap::new(),
            ended: Vec::new(),
            next_number: settings.first_number,
            limits: UpstreamLimits::new(settings.routers, settings.seed),
            cold_rates: UpstreamLimits::without_burst(
                settings.routers.saturating_mul(COLD_SHARE_DIVISOR),
                settings.seed,
            ),
        };
        local.set_table(table);
        for usage in held_leases.into_iter().filter(|usage| usage.end.is_none()) {
            let key = (usage.upstream.clone(), usage.incarnation);
            *local.held_slots.get_or_insert_with(key, || 0) += 1;
            local.add_lease(usage.clone(), 0);
        }
        local
    }

    /// Sets the weights and concurrency limits of the workspaces. In local mode the
    /// concurrency limits apply to this router alone.
    pub fn set_table(&mut self, table: &WorkspaceTable) {
        let rows = table.rows().values().map(|row| {
            let running = self.workspaces.get(&row.name).map_or(0, |workspace| workspace.running);
            let (weight, concurrency) = (row.weight, row.concurrency);
            (row.name.clone(), LocalWorkspace { weight, concurrency, running })
        });
        self.workspaces = rows.collect();
    }

    /// Sets the upstreams that may get new work; those that are leaving are skipped.
    pub fn set_upstreams<'a>(&mut self, live: impl IntoIterator<Item = &'a UpstreamAnnouncement>) {
        let live = live.into_iter().filter(|announcement| !announcement.leaving);
        let upstreams = live.map(|announcement| {
            let key = (announcement.name.clone(), announcement.incarnation);
            let held_slots = self.held_slots.get(&key).copied().unwrap_or(0);
            let running = self.count_running(&key);
            let announcement = announcement.clone();
            (key.0, LocalUpstream { announcement, held_slots, running })
        });
        self.upstreams = upstreams.collect();
    }

    /// Sets the request rates that upstreams have named. This router uses an equal share of
    /// each, because it does not know what other routers send.
    pub fn set_limits(&mut self, now: Duration, limits: &[UpstreamLimit]) {
        self.limits.replace(now, limits);
    }

    /// Sets the rates that cold upstreams tolerate. The dispatcher may go on sending at the whole
    /// rate while this router does not hear from it, so the routers use a part of it.
    pub fn set_cold_rates(&mut self, now: Duration, rates: &[UpstreamLimit]) {
        self.cold_rates.replace(now, rates);
    }

    fn count_running(&self, key: &(String, u64)) -> u32 {
        let leases = self.leases.values().map(|lease| &lease.usage);
        let running = leases.filter(|usage| usage.upstream == key.0 && usage.incarnation == key.1);
        u32::try_from(running.count()).unwrap_or(u32::MAX)
    }

    /// Sets the length of one queue of the router; zero removes the queue.
    pub fn set_backlog(&mut self, entry: &BacklogEntry) {
        let key = (entry.workspace.clone(), entry.target.clone());
        if entry.queued == 0 {
            self.backlog.remove(&key);
            self.update_backlogged(&key.0);
            return;
        }
        self.backlog.insert(key, entry.clone());
        self.start_accounts(&entry.workspace, &entry.target);
    }

    /// Raises the accounts of a newly backlogged workspace to the virtual time of each
    /// pool that serves the target, so that idle time earns no credit.
    fn start_accounts(&mut self, workspace: &str, target: &WorkTarget) {
        let serving =
            self.upstreams.values().filter(|upstream| upstream.announcement.can_serve(target));
        let mut pools: Vec<PoolKey> =
            serving.map(|upstream| pool_key(&upstream.announcement)).collect();
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            let minimum = self.virtual_times.get(&pool).copied().unwrap_or(0);
            let key = (pool, workspace.to_owned());
            let account = self.accounts.get_or_insert_with(key, FairAccount::default);
            if !account.backlogged {
                account.raise_to(minimum);
            }
            account.backlogged = true;
        }
    }

    fn update_backlogged(&mut self, workspace: &str) {
        if self.backlog.keys().any(|key| key.0 == workspace) {
            return;
        }
        for (key, account) in self.accounts.iter_mut() {
            account.backlogged &= key.1 != workspace;
        }
    }

    /// Grants free slots to waiting requests until no further grant is possible.
    pub fn dispatch(&mut self, now: Duration) -> Vec<SlotGrant> {
        let slots = self.usable_slots(now);
        let mut grants = Vec::new();
        while let Some((key, upstream)) = self.next_request(now, &slots) {
            let grant = self.grant(&key, &upstream);
            self.limits.charge(now, &grant.upstream.name, grant.upstream.incarnation);
            self.cold_rates.charge(now, &grant.upstream.name, grant.upstream.incarnation);
            grants.push(grant);
        }
        grants
    }

    /// Slots that the router may use per upstream, in the order of the upstream names.
    fn usable_slots(&self, now: Duration) -> Vec<u32> {
        let held_slots = self.upstreams.values().map(|upstream| upstream.held_slots);
        if now < self.settings.last_answer_at + self.settings.isolation_wait {
            return held_slots.collect();
        }
        let routers = self.settings.routers.max(1);
        let upstreams = self.upstreams.values();
        let mut slots: Vec<u32> =
            upstreams.map(|upstream| upstream.announcement.concurrency / routers).collect();
        self.ensure_minimum_share(&mut slots);
        slots
    }

    /// Gives one slot to each pool whose share was rounded down to zero.
    fn ensure_minimum_share(&self, slots: &mut [u32]) {
        let mut pools: SortedMap<PoolKey, Vec<usize>> = SortedMap::new();
        for (index, upstream) in self.upstreams.values().enumerate() {
            pools.get_or_insert_with(pool_key(&upstream.announcement), Vec::new).push(index);
        }
        for members in pools.values() {
            if members.iter().all(|index| slots[*index] == 0) {
                let count = u64::try_from(members.len()).unwrap_or(u64::MAX);
                let chosen = usize::try_from(self.settings.seed % count).unwrap_or_default();
                slots[members[chosen]] = 1;
            }
        }
    }

    /// Key of the queue with the lowest account that a free slot can serve, and the
    /// name of the upstream to use.
    fn next_request(&self, now: Duration, slots: &[u32]) -> Option<((String, WorkTarget), String)> {
        let candidates = self.backlog.iter().filter_map(|(key, entry)| {
            let workspace = self.workspaces.get(&key.0)?;
            if workspace.running >= workspace.concurrency {
                return None;
            }
            let upstream = self.choose_upstream(now, entry, slots)?;
            let account = (pool_key(&upstream.announcement), key.0.clone());
            let value = self.accounts.get(&account).map_or(0, |account| account.value);
            Some((value, key, upstream))
        });
        let (_, key, upstream) = candidates.min_by_key(|(value, key, _)| {
            let (workspace, target) = key;
            // Streams that have begun go before requests that have not.
            (*value, workspace, target.software.is_none(), target)
        })?;
        Some((key.clone(), upstream.announcement.name.clone()))
    }

    fn choose_upstream(
        &self,
        now: Duration,
        entry: &BacklogEntry,
        slots: &[u32],
    ) -> Option<&LocalUpstream> {
        let upstreams = self.upstreams.values().zip(slots);
        let free = upstreams.filter(|(upstream, slots)| {
            let UpstreamAnnouncement { name, incarnation, .. } = &upstream.announcement;
            upstream.running < **slots
                && upstream.announcement.can_serve(&entry.target)
                && self.limits.wait(now, name, *incarnation).is_none()
                && self.cold_rates.wait(now, name, *incarnation).is_none()
        });
        let chosen = free.min_by_key(|(upstream, slots)| {
            let avoided = entry.avoid.as_ref() == Some(&upstream.announcement.name);
            let load = u64::from(upstream.running) * 65_536 / u64::from(**slots);
            (avoided, self.is_cold(&upstream.announcement), load)
        });
        chosen.map(|(upstream, _)| upstream)
    }

    fn is_cold(&self, upstream: &UpstreamAnnouncement) -> bool {
        self.cold_rates.is_limited(&upstream.name, upstream.incarnation)
    }

    fn grant(&mut self, key: &(String, WorkTarget), upstream: &str) -> SlotGrant {
        let announcement =
            &self.upstreams.get(upstream).expect("the chosen upstream is known").announcement;
        let route = UpstreamRoute { paced: self.is_cold(announcement), ..route_of(announcement) };
        let pool = pool_key(announcement);
        let lease = LeaseId { term: LOCAL_TERM, number: self.next_number };
        self.next_number += 1;
        let entry = self.backlog.get_mut(key).expect("the chosen queue is known");
        entry.queued -= 1;
        let estimate = if entry.cost_hint == 0 { DEFAULT_ESTIMATE } else { entry.cost_hint };
        entry.avoid = None;
        let queued = entry.queued;
        let account = (pool.clone(), key.0.clone());
        let value = self.accounts.get(&account).map_or(0, |account| account.value);
        let virtual_time = self.virtual_times.get_or_insert_with(pool, || 0);
        *virtual_time = value.max(*virtual_time);
        let usage = LeaseUsage {
            lease,
            upstream: route.name.clone(),
            incarnation: route.incarnation,
            target: key.1.clone(),
            workspace: key.0.clone(),
            charged: 0,
            first_token_ms: None,
            end: None,
        };
        self.add_lease(usage, estimate);
        if queued == 0 {
            self.backlog.remove(key);
            self.update_backlogged(&key.0);
        }
        SlotGrant { lease, target: key.1.clone(), workspace: key.0.clone(), upstream: route }
    }

    fn add_lease(&mut self, usage: LeaseUsage, estimate: CostUnits) {
        let workspace = self.workspaces.get_mut(&usage.workspace);
        let weight = workspace.as_ref().map_or(1, |workspace| workspace.weight);
        if let Some(workspace) = workspace {
            workspace.running += 1;
        }
        let charge = weighted_cost(estimate, weight);
        if let Some(upstream) = self.upstreams.get_mut(&usage.upstream)
            && upstream.announcement.incarnation == usage.incarnation
        {
            upstream.running += 1;
            let key = (pool_key(&upstream.announcement), usage.workspace.clone());
            self.accounts.get_or_insert_with(key, FairAccount::default).replace_charge(0, charge);
        }
        self.leases.insert(usage.lease, LocalLease { usage, weight, charge, estimate });
    }

    /// Records the cost so far or the end of a held or local lease. The slot of an
    /// ended lease is free for the router's own backlog. Unknown leases are ignored.
    pub fn record_usage(&mut self, usage: &LeaseUsage) {
        let Some(lease) = self.leases.get_mut(&usage.lease) else { return };
        lease.usage.charged = lease.usage.charged.max(usage.charged);
        lease.usage.first_token_ms = usage.first_token_ms;
        lease.usage.end = usage.end;
        let counted = match usage.end {
            Some(_) => lease.usage.charged,
            None => lease.usage.charged.max(lease.estimate),
        };
        let charge = weighted_cost(counted, lease.weight);
        let old = std::mem::replace(&mut lease.charge, charge);
        if let Some(upstream) = self.upstreams.get(&usage.upstream) {
            let key = (pool_key(&upstream.announcement), usage.workspace.clone());
            let account = self.accounts.get_or_insert_with(key, FairAccount::default);
            account.replace_charge(old, charge);
        }
        if usage.end.is_some() {
            self.end_lease(usage);
        }
    }

    fn end_lease(&mut self, usage: &LeaseUsage) {
        let Some(lease) = self.leases.remove(&usage.lease) else { return };
        if let Some(workspace) = self.workspaces.get_mut(&usage.workspace) {
            workspace.running = workspace.running.saturating_sub(1);
        }
        if let Some(upstream) = self.upstreams.get_mut(&usage.upstream)
            && upstream.announcement.incarnation == usage.incarnation
        {
            upstream.running = upstream.running.saturating_sub(1);
        }
        if usage.lease.term == LOCAL_TERM {
            self.ended.push(lease.usage);
        }
    }

    /// Local leases for a full report: the running ones and those that ended since the
    /// last call of [`LocalDispatcher::forget_ended`]. The router itself reports the
    /// leases granted by dispatchers.
    pub fn usage(&self) -> impl Iterator<Item = &LeaseUsage> {
        let running = self.leases.values().map(|lease| &lease.usage);
        running.filter(|usage| usage.lease.term == LOCAL_TERM).chain(&self.ended)
    }

    /// Drops the ended leases, once the caller no longer needs [`LocalDispatcher::usage`]
    /// to report them.
    pub fn forget_ended(&mut self) {
        self.ended.clear();
    }

    /// Number of the next local lease. The next local dispatcher of the same router
    /// incarnation takes it as its `first_number`.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }
}

fn pool_key(announcement: &UpstreamAnnouncement) -> PoolKey {
    (announcement.kind, announcement.pool_name().to_owned())
}

/// Converts an announcement to the route that a grant carries.
pub fn route_of(announcement: &UpstreamAnnouncement) -> UpstreamRoute {
    UpstreamRoute {
        name: announcement.name.clone(),
        incarnation: announcement.incarnation,
        address: announcement.address,
        honours_fencing: announcement.honours_fencing,
        resume: announcement.resume,
        cancel: announcement.cancel,
        software: announcement.software.clone(),
        paced: false,
    }
}
