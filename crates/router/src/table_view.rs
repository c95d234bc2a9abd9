//! The workspace table in force and the fleet's upstreams, as a router holds them.

use arc_swap::{ArcSwap, ArcSwapOption};
use baobabfall_core::route_table::{RouteIndex, RouteTable};
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::{
    AnnouncementRefusal, UpstreamAnnouncement, UpstreamKind, UpstreamRegistry, WorkTarget,
};
use baobabfall_core::workspace_table::{WorkspaceRow, WorkspaceTable};
use baobabfall_node::messages::{
    PlannedStop, RegistryView, StopKind, StopList, UpstreamWithdrawal,
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Lifetime of an announcement that this router received itself; three
/// renewals of one second less a margin for delay.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(2500);
/// Time within which upstreams are asked to renew.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// One revision of the table, indexed by key hash.
#[derive(Debug)]
pub struct TableView {
    /// Revision, which only grows.
    pub revision: u64,
    /// The table.
    pub table: WorkspaceTable,
    hashes: SortedMap<[u8; 32], String>,
}

impl TableView {
    /// Indexes a table by its key hashes.
    pub fn new(revision: u64, table: WorkspaceTable) -> Self {
        let mut entries = Vec::new();
        for row in table.rows().values() {
            let hashes = row.key_hashes.iter().filter_map(|text| decode_hash(text));
            entries.extend(hashes.map(|hash| (hash, row.name.clone())));
        }
        Self { revision, hashes: entries.into_iter().collect(), table }
    }

    /// The workspace that a presented key belongs to.
    pub fn authenticate(&self, key: &str) -> Option<&WorkspaceRow> {
        let hash = blake3::hash(key.as_bytes());
        self.table.get(self.hashes.get(hash.as_bytes())?)
    }
}

fn decode_hash(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
}

/// Table, upstreams and planned stops of one router.
#[derive(Debug)]
pub struct FleetView {
    table: ArcSwapOption<TableView>,
    view: ArcSwap<RegistryView>,
    former: ArcSwap<(Vec<UpstreamAnnouncement>, Instant)>,
    stops: ArcSwap<StopList>,
    local: Mutex<UpstreamRegistry>,
    routes: ArcSwapOption<RouteIndex>,
    started: Instant,
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}

impl FleetView {
    /// A view that holds nothing yet.
    pub fn new() -> Self {
        Self {
            table: ArcSwapOption::empty(),
            view: ArcSwap::from_pointee(RegistryView { version: (0, 0), upstreams: Vec::new() }),
            former: ArcSwap::from_pointee((Vec::new(), Instant::now())),
            stops: ArcSwap::from_pointee(StopList { version: 0, stops: Vec::new() }),
            local: Mutex::new(UpstreamRegistry::default()),
            routes: ArcSwapOption::empty(),
            started: Instant::now(),
        }
    }

    /// The table in force.
    pub fn table(&self) -> Option<Arc<TableView>> {
        self.table.load_full()
    }

    /// Puts a table in force unless a later one is held.
    pub fn set_table(&self, next: TableView) -> bool {
        let held = self.table.load().as_ref().map_or(0, |held| held.revision);
        let newer = next.revision > held;
        if newer {
            self.table.store(Some(Arc::new(next)));
        }
        newer
    }

    /// The route table in force; `None` before the first.
    pub fn routes(&self) -> Option<Arc<RouteIndex>> {
        self.routes.load_full()
    }

    /// Version of the route table in force; 0 before the first.
    pub fn routes_version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |held| held.table().version)
    }

    /// Replaces the route table, unless a version as high is in force.
    pub fn set_routes(&self, next: &Arc<RouteTable>) -> bool {
        let newer = next.version > self.routes_version();
        if newer {
            self.routes.store(Some(Arc::new(RouteIndex::new(RouteTable::clone(next)))));
        }
        newer
    }

    /// The registry as the controllers gave it.
    pub fn registry(&self) -> Arc<RegistryView> {
        self.view.load_full()
    }

    /// True once the controllers gave their registry.
    pub fn has_registry(&self) -> bool {
        self.view.load().version != (0, 0)
    }

    /// Replaces the registry unless a later one is held.
    ///
    /// A new leader may not have heard every upstream yet, so those of the
    /// leader before stay known for one lifetime.
    pub fn set_registry(&self, view: RegistryView) -> bool {
        let held = self.view.load();
        let newer = view.version > held.version;
        if newer {
            if view.version.0 > held.version.0 {
                let until = Instant::now() + ANNOUNCEMENT_LIFETIME;
                self.former.store(Arc::new((held.upstreams.clone(), until)));
            }
            self.view.store(Arc::new(view));
        }
        newer
    }

    /// Planned stops in force.
    pub fn stops(&self) -> Arc<StopList> {
        self.stops.load_full()
    }

    /// Replaces the planned stops unless later ones are held.
    pub fn set_stops(&self, stops: StopList) -> bool {
        let newer = stops.version > self.stops.load().version;
        if newer {
            self.stops.store(Arc::new(stops));
        }
        newer
    }

    /// True when a stop of `name` is planned.
    pub fn is_stopping(&self, kind: StopKind, name: &str) -> bool {
        let planned = |stop: &PlannedStop| stop.kind == kind && stop.name == name;
        self.stops.load().stops.iter().any(planned)
    }

    fn local(&self) -> MutexGuard<'_, UpstreamRegistry> {
        let mut local = self.local.lock().unwrap_or_else(PoisonError::into_inner);
        local.expire(self.started.elapsed());
        local
    }

    /// Takes an announcement that an upstream sent to this router.
    pub fn announce(&self, announcement: UpstreamAnnouncement) -> Result<(), AnnouncementRefusal> {
        self.local().announce(self.started.elapsed(), ANNOUNCEMENT_LIFETIME, announcement)
    }

    /// Takes a withdrawal that an upstream sent to this router.
    pub fn withdraw(&self, withdrawal: &UpstreamWithdrawal) -> bool {
        self.local().withdraw(self.started.elapsed(), &withdrawal.name, withdrawal.incarnation)
    }

    /// True when the upstream told this router that it leaves.
    pub fn has_deregistered(&self, name: &str, incarnation: u64) -> bool {
        let local = self.local();
        let entry = local.entries().get(name);
        entry.is_some_and(|entry| {
            let held = &entry.announcement;
            held.incarnation > incarnation || (held.incarnation == incarnation && held.leaving)
        })
    }

    /// Upstreams of the leader before, while the present one may lack some.
    fn upstreams_before(&self) -> Vec<UpstreamAnnouncement> {
        let former = self.former.load();
        if Instant::now() < former.1 { former.0.clone() } else { Vec::new() }
    }

    /// True when an upstream can do the work.
    pub fn is_served(&self, target: &WorkTarget) -> bool {
        self.view.load().upstreams.iter().any(|upstream| upstream.can_serve(target))
            || self.upstreams_before().iter().any(|upstream| upstream.can_serve(target))
            || self.local().live().any(|entry| entry.announcement.can_serve(target))
    }

    /// Number of live upstreams that can do the work.
    pub fn serving_count(&self, target: &WorkTarget) -> usize {
        self.upstreams().iter().filter(|upstream| upstream.can_serve(target)).count()
    }

    /// Every live upstream, the router's own knowledge first.
    pub fn upstreams(&self) -> Vec<UpstreamAnnouncement> {
        let mut all: Vec<UpstreamAnnouncement> =
            self.local().live().map(|entry| entry.announcement.clone()).collect();
        for upstream in self.view.load().upstreams.iter().chain(&self.upstreams_before()) {
            let known = all.iter().any(|held| held.name == upstream.name);
            if !known && !self.has_deregistered(&upstream.name, upstream.incarnation) {
                all.push(upstream.clone());
            }
        }
        all
    }

    /// Names of every model that an upstream serves, sorted.
    pub fn models(&self) -> Vec<String> {
        let engines = self.upstreams().into_iter().filter(|held| held.kind == UpstreamKind::Model);
        let mut models: Vec<String> = engines.flat_map(|held| held.serves).collect();
        models.sort();
        models.dedup();
        models
    }
}
