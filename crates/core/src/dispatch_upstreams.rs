//! Upstreams and pools of the dispatcher, and read-only views of its state.

use crate::dispatch_messages::CostUnits;
use crate::dispatch_state::{
    AccountView, PoolState, PoolTarget, TargetLocation, UpstreamState, UpstreamView,
};
use crate::fair_order::{IndexedHeap, ServiceWindow};
use crate::placement::{FreeSlots, UpstreamCapacity, ejection_limit};
use crate::slot_dispatcher::SlotDispatcher;
use crate::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use std::time::Duration;

impl SlotDispatcher {
    /// Sets the live upstreams. An upstream that is no longer listed gets no more
    /// grants; its running leases continue.
    pub fn set_upstreams<'a>(
        &mut self,
        now: Duration,
        live: impl IntoIterator<Item = &'a UpstreamAnnouncement>,
    ) {
        let mut listed = vec![false; self.upstreams.len()];
        let mut changed = false;
        for announcement in live.into_iter().filter(|announcement| !announcement.leaving) {
            let id = self.upstream_id(&announcement.name, announcement.incarnation);
            listed.resize(self.upstreams.len(), false);
            listed[id] = true;
            let upstream = &self.upstreams[id];
            let was_in_use = upstream.live && !upstream.capacity.is_ejected();
            changed |= self.apply_announcement(now, id, announcement);
            self.observe_cold(now, id, announcement, was_in_use);
        }
        for (upstream, listed) in self.upstreams.iter_mut().zip(listed) {
            if upstream.live && !listed {
                upstream.live = false;
                changed = true;
            }
        }
        if changed {
            self.rebuild_pools(now);
        }
        let Self { limits, upstream_names, .. } = self;
        limits.retain(|name| upstream_names.contains_key(name));
        self.retain_cold();
    }

    /// Sets the upstreams that are under a planned stop. They get no more grants;
    /// their running leases continue.
    pub fn set_stopping_upstreams<'a>(
        &mut self,
        now: Duration,
        names: impl IntoIterator<Item = &'a str>,
    ) {
        self.stopping = names.into_iter().map(str::to_owned).collect();
        for id in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[id];
            upstream.stopping = self.stopping.contains(&upstream.name);
            self.refresh_upstream(now, id);
        }
    }

    /// Sets the evacuated zones. Their upstreams get no more grants; their running leases continue.
    /// The upstreams of a readmitted zone begin with few slots: they may have restarted or lost
    /// their caches meanwhile.
    pub fn set_evacuated_zones<'a>(
        &mut self,
        now: Duration,
        names: impl IntoIterator<Item = &'a str>,
    ) {
        let zones: Vec<usize> = names.into_iter().map(|name| self.zone_id(name)).collect();
        if zones == self.evacuated_zones {
            return;
        }
        let previous = std::mem::replace(&mut self.evacuated_zones, zones);
        for id in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[id];
            let zone = upstream.zone;
            if upstream.live && previous.contains(&zone) && !self.evacuated_zones.contains(&zone) {
                let running = upstream.running;
                upstream.capacity.begin_slow_start(now, running, &self.settings.placement);
                self.track_slot_changes(id);
            }
            self.refresh_upstream(now, id);
        }
        let readmitted = previous.into_iter().filter(|zone| !self.evacuated_zones.contains(zone));
        for zone in readmitted.collect::<Vec<_>>() {
            self.assume_cold_zone(now, zone);
        }
    }

    /// Returns the index of an upstream and adds the upstream if it is new.
    pub(crate) fn upstream_id(&mut self, name: &str, incarnation: u64) -> usize {
        if let Some(id) = self.upstream_names.get(name) {
            return *id;
        }
        let mut state = UpstreamState::new(name, incarnation);
        state.stopping = self.stopping.iter().any(|stopping| stopping == name);
        let id = match self.free_upstreams.pop() {
            Some(id) => {
                self.upstreams[id] = state;
                id
            }
            None => {
                self.upstreams.push(state);
                self.upstreams.len() - 1
            }
        };
        self.upstream_names.insert(name.to_owned(), id);
        id
    }

    /// Applies one announcement and returns true if the pools must be rebuilt.
    fn apply_announcement(
        &mut self,
        now: Duration,
        id: usize,
        next: &UpstreamAnnouncement,
    ) -> bool {
        let placement = self.settings.placement;
        let zone = self.zone_id(&next.zone);
        let upstream = &mut self.upstreams[id];
        let known =
            upstream.announcement.as_ref().filter(|known| known.incarnation == next.incarnation);
        let Some(known) = known.filter(|_| upstream.live) else {
            self.start_upstream(now, id, zone, next);
            return true;
        };
        if known.sequence == next.sequence {
            return false;
        }
        let same = known.serves == next.serves
            && known.pool == next.pool
            && known.zone == next.zone
            && known.address == next.address
            && known.software == next.software
            && known.concurrency == next.concurrency;
        if let Some(load) = next.running {
            upstream.capacity.record_load(now, &placement, load, upstream.running);
        }
        upstream.capacity.set_announced(next.concurrency);
        upstream.zone = zone;
        upstream.announcement = Some(next.clone());
        if same {
            self.refresh_upstream(now, id);
        }
        !same
    }

    /// Applies the first announcement of an incarnation or of an upstream that
    /// was not live.
    fn start_upstream(
        &mut self,
        now: Duration,
        id: usize,
        zone: usize,
        next: &UpstreamAnnouncement,
    ) {
        let grace = self.started_at + self.settings.placement.known_upstreams_grace;
        let slow_start = (now >= grace).then_some(now);
        let restarted = self.upstreams[id].incarnation != next.incarnation;
        if restarted {
            self.upstreams[id].incarnation = next.incarnation;
            self.upstreams[id].running = self.count_running(id, next.incarnation);
            self.upstreams[id].prefill = 0;
        }
        let upstream = &mut self.upstreams[id];
        upstream.capacity = UpstreamCapacity::new(next.concurrency, slow_start);
        upstream.capacity.record_running(upstream.running);
        upstream.live = true;
        upstream.zone = zone;
        upstream.announcement = Some(next.clone());
        if slow_start.is_some() {
            self.track_slot_changes(id);
        }
    }

    fn count_running(&self, id: usize, incarnation: u64) -> u32 {
        let leases = self.routers.iter().flat_map(|router| router.leases.values());
        let running =
            leases.filter(|lease| lease.upstream == id && lease.incarnation == incarnation);
        u32::try_from(running.count()).unwrap_or(u32::MAX)
    }

    fn pool_id(&mut self, kind: UpstreamKind, name: &str) -> usize {
        let key = (kind, name.to_owned());
        if let Some(id) = self.pool_names.get(&key) {
            return *id;
        }
        let id = self.pools.len();
        self.pools.push(PoolState {
            kind,
            name: name.to_owned(),
            targets: Vec::new(),
            members: Vec::new(),
            window: ServiceWindow::default(),
        });
        self.pool_names.insert(key, id);
        id
    }

    /// Returns the pool in which a lease is charged: the pool of its upstream if
    /// known, otherwise a pool that serves its target, otherwise the default
    /// pool of the target.
    pub(crate) fn lease_pool(&mut self, upstream: usize, target: usize) -> usize {
        let locations = &self.targets[target].locations;
        let known = self
            .upstream_pool(upstream)
            .or_else(|| locations.first().map(|location| location.pool));
        if let Some(pool) = known {
            return pool;
        }
        let WorkTarget { kind, name, .. } = self.targets[target].target.clone();
        match kind {
            UpstreamKind::Model => self.pool_id(kind, "models"),
            UpstreamKind::Service => self.pool_id(kind, &name),
        }
    }

    /// Recomputes which pools serve which targets, the free slots and every
    /// grant order.
    pub(crate) fn rebuild_pools(&mut self, now: Duration) {
        for pool in &mut self.pools {
            pool.members.clear();
            for target in &mut pool.targets {
                target.order.clear();
                target.free.clear();
                target.related_targets.clear();
            }
        }
        self.targets.iter_mut().for_each(|target| target.locations.clear());
        self.drop_unused_upstreams();
        for id in 0..self.upstreams.len() {
            self.join_pool(id);
        }
        self.limit_ejections(now);
        for id in 0..self.upstreams.len() {
            self.refresh_upstream(now, id);
        }
        for id in 0..self.workspaces.len() {
            self.refresh_workspace(now, id);
        }
    }

    fn drop_unused_upstreams(&mut self) {
        for id in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[id];
            upstream.locations.clear();
            if upstream.live || upstream.leases > 0 || upstream.name.is_empty() {
                continue;
            }
            self.upstream_names.remove(&upstream.name);
            *upstream = UpstreamState::new("", 0);
            self.changing_upstreams.retain(|other| *other != id);
            self.free_upstreams.push(id);
        }
    }

    fn join_pool(&mut self, id: usize) {
        let upstream = &self.upstreams[id];
        let Some(announcement) = upstream.announcement.clone().filter(|_| upstream.live) else {
            return;
        };
        let pool = self.pool_id(announcement.kind, announcement.pool_name());
        self.pools[pool].members.push(id);
        let mut locations: Vec<TargetLocation> = Vec::new();
        for name in &announcement.serves {
            let any_version = WorkTarget::new(announcement.kind, name.clone());
            let own_version =
                WorkTarget { software: announcement.software.clone(), ..any_version.clone() };
            let targets = [
                self.target_id(&any_version),
                // Only exists once a router has asked for this version.
                self.target_names.get(&own_version).copied(),
            ];
            for target in targets.into_iter().flatten() {
                let location = self.target_location(pool, target);
                if !locations.contains(&location) {
                    locations.push(location);
                }
            }
        }
        for location in &locations {
            let related_targets = &mut self.pools[pool].targets[location.index].related_targets;
            for other in locations.iter().filter(|other| other.index != location.index) {
                if !related_targets.contains(&other.index) {
                    related_targets.push(other.index);
                }
            }
        }
        self.upstreams[id].locations = locations;
    }

    fn target_location(&mut self, pool: usize, target: usize) -> TargetLocation {
        let targets = &mut self.pools[pool].targets;
        let index =
            targets.iter().position(|existing| existing.target == target).unwrap_or_else(|| {
                targets.push(PoolTarget {
                    target,
                    order: IndexedHeap::new(),
                    free: FreeSlots::default(),
                    virtual_time: 0,
                    related_targets: Vec::new(),
                });
                targets.len() - 1
            });
        let location = TargetLocation { pool, index };
        let locations = &mut self.targets[target].locations;
        if !locations.contains(&location) {
            locations.push(location);
        }
        location
    }

    /// Readmits ejected upstreams of pools that have shrunk, so that no pool has
    /// more than its limit of ejections.
    fn limit_ejections(&mut self, now: Duration) {
        for pool in 0..self.pools.len() {
            let members = &self.pools[pool].members;
            let limit = ejection_limit(members.len());
            let ejected = members
                .iter()
                .filter_map(|id| Some((self.upstreams[*id].capacity.ejected_until()?, *id)));
            let mut ejected: Vec<(Duration, usize)> = ejected.collect();
            ejected.sort_unstable();
            let excess = ejected.len().saturating_sub(limit);
            for (_, id) in ejected.into_iter().take(excess) {
                self.upstreams[id].capacity.readmit(now);
            }
        }
    }

    /// Returns service, backlog and running requests per workspace and pool.
    pub fn accounts(&self) -> impl Iterator<Item = AccountView<'_>> {
        let workspaces = self.workspace_names.values().map(|id| &self.workspaces[*id]);
        workspaces.flat_map(move |workspace| {
            workspace.accounts.iter().map(move |(pool, account)| {
                let queues = workspace.queues.iter().filter(|(target, _)| {
                    self.targets[**target].locations.iter().any(|location| location.pool == *pool)
                });
                AccountView {
                    workspace: &workspace.name,
                    kind: self.pools[*pool].kind,
                    pool: &self.pools[*pool].name,
                    service: account.service,
                    value: account.value,
                    backlog: queues.map(|(_, queue)| queue.waiting()).sum(),
                    running: account.running,
                }
            })
        })
    }

    /// Returns the number of requests of a workspace for a target that wait
    /// without a grant.
    pub fn backlog(&self, workspace: &str, target: &WorkTarget) -> u32 {
        let workspace = self.workspace_names.get(workspace).map(|id| &self.workspaces[*id]);
        let target = self.target_names.get(target);
        let queue =
            workspace.zip(target).and_then(|(workspace, target)| workspace.queues.get(target));
        queue.map_or(0, |queue| queue.waiting())
    }

    /// Returns capacity and slots of each upstream at `now`.
    pub fn upstreams(&self, now: Duration) -> impl Iterator<Item = UpstreamView<'_>> {
        self.upstream_names.values().map(move |id| {
            let upstream = &self.upstreams[*id];
            let announced = upstream.announcement.as_ref().filter(|_| upstream.live);
            UpstreamView {
                name: &upstream.name,
                incarnation: upstream.incarnation,
                announced: announced.map_or(0, |announced| announced.concurrency),
                learnt: upstream.capacity.concurrency_limit(),
                slots: self.usable_slots(now, *id),
                running: upstream.running,
                ejected: upstream.capacity.is_ejected(),
                stopping: upstream.stopping,
                evacuated: self.evacuated_zones.contains(&upstream.zone),
            }
        })
    }

    /// Returns the service of a pool over the last ten seconds.
    pub fn pool_service(&self, now: Duration, kind: UpstreamKind, pool: &str) -> CostUnits {
        let pool = self.pool_names.get(&(kind, pool.to_owned()));
        pool.map_or(0, |pool| self.pools[*pool].window.total(now))
    }

    /// Returns the number of grants made in this term.
    pub fn decisions(&self) -> u64 {
        self.decisions
    }

    /// Returns the term in which this dispatcher grants slots.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns true while the dispatcher waits for full reports and makes no
    /// grants.
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// Returns the routers that have reported within the retention time: the
    /// name, the time of the last report, and whether a full report was applied
    /// in this term.
    pub fn routers(&self) -> impl Iterator<Item = (&str, Duration, bool)> {
        let routers = self.router_names.iter();
        routers.map(|(name, id)| {
            let router = &self.routers[*id];
            (name.as_str(), router.last_report_at, router.synced)
        })
    }
}
