//! The router's copy of the fleet state: workspace table, route table, upstreams
//! and planned stops.

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

/// Lifetime of an announcement that this router received directly: three renewal
/// intervals of one second, less a margin for delays.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(2500);
/// Interval within which upstreams must renew their announcement.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// One revision of the workspace table, indexed by the hashes of the API keys.
#[derive(Debug)]
pub struct TableView {
    /// Revision of the table; it only increases.
    pub revision: u64,
    /// Rows of all workspaces.
    pub table: WorkspaceTable,
    hashes: SortedMap<[u8; 32], String>,
}

impl TableView {
    /// Builds the index; key hashes that are not valid hexadecimal are skipped.
    pub fn new(revision: u64, table: WorkspaceTable) -> Self {
        let mut entries = Vec::new();
        for row in table.rows().values() {
            let hashes = row.key_hashes.iter().filter_map(|text| decode_hash(text));
            entries.extend(hashes.map(|hash| (hash, row.name.clone())));
        }
        Self { revision, hashes: entries.into_iter().collect(), table }
    }

    /// Finds the workspace to which a presented API key belongs.
    pub fn authenticate(&self, key: &str) -> Option<&WorkspaceRow> {
        let hash = blake3::hash(key.as_bytes());
        self.table.get(self.hashes.get(hash.as_bytes())?)
    }
}

fn decode_hash(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
}

/// Tables, upstreams and planned stops as known to one router.
#[derive(Debug)]
pub struct FleetView {
    table: ArcSwapOption<TableView>,
    registry_view: ArcSwap<RegistryView>,
    /// Upstreams of the previous leader's registry, with the time until which they
    /// are used.
    previous: ArcSwap<(Vec<UpstreamAnnouncement>, Instant)>,
    stops: ArcSwap<StopList>,
    /// Upstreams that announced themselves to this router.
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
    /// Creates a view without any table or upstream.
    pub fn new() -> Self {
        Self {
            table: ArcSwapOption::empty(),
            registry_view: ArcSwap::from_pointee(RegistryView {
                version: (0, 0),
                upstreams: Vec::new(),
            }),
            previous: ArcSwap::from_pointee((Vec::new(), Instant::now())),
            stops: ArcSwap::from_pointee(StopList { version: 0, stops: Vec::new() }),
            local: Mutex::new(UpstreamRegistry::default()),
            routes: ArcSwapOption::empty(),
            started: Instant::now(),
        }
    }

    /// The workspace table in force; `None` before the first.
    pub fn table(&self) -> Option<Arc<TableView>> {
        self.table.load_full()
    }

    /// Replaces the workspace table if `next` has a higher revision; returns whether
    /// it did.
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

    /// Replaces the route table if `next` has a higher version; returns whether it
    /// did.
    pub fn set_routes(&self, next: &Arc<RouteTable>) -> bool {
        let newer = next.version > self.routes_version();
        if newer {
            self.routes.store(Some(Arc::new(RouteIndex::new(RouteTable::clone(next)))));
        }
        newer
    }

    /// The upstream registry received from the controllers.
    pub fn registry(&self) -> Arc<RegistryView> {
        self.registry_view.load_full()
    }

    /// True once a registry has been received from the controllers.
    pub fn has_registry(&self) -> bool {
        self.registry_view.load().version != (0, 0)
    }

    /// Replaces the registry if `view` has a higher version; returns whether it did.
    ///
    /// A new leader may not have received an announcement of every upstream yet, so
    /// the upstreams of the previous leader's registry are kept for one lifetime.
    pub fn set_registry(&self, view: RegistryView) -> bool {
        let held = self.registry_view.load();
        let newer = view.version > held.version;
        if newer {
            if view.version.0 > held.version.0 {
                let until = Instant::now() + ANNOUNCEMENT_LIFETIME;
                self.previous.store(Arc::new((held.upstreams.clone(), until)));
            }
            self.registry_view.store(Arc::new(view));
        }
        newer
    }

    /// Planned stops in force.
    pub fn stops(&self) -> Arc<StopList> {
        self.stops.load_full()
    }

    /// Replaces the planned stops if `stops` has a higher version; returns whether it
    /// did.
    pub fn set_stops(&self, stops: StopList) -> bool {
        let newer = stops.version > self.stops.load().version;
        if newer {
            self.stops.store(Arc::new(stops));
        }
        newer
    }

    /// True if a stop is planned for the host, router, controller or upstream `name`.
    pub fn is_stopping(&self, kind: StopKind, name: &str) -> bool {
        let planned = |stop: &PlannedStop| stop.kind == kind && stop.name == name;
        self.stops.load().stops.iter().any(planned)
    }

    fn local(&self) -> MutexGuard<'_, UpstreamRegistry> {
        let mut local = self.local.lock().unwrap_or_else(PoisonError::into_inner);
        local.expire(self.started.elapsed());
        local
    }

    /// Applies an announcement that an upstream sent to this router. Fails if the
    /// announcement is not valid or is out of date.
    pub fn announce(&self, announcement: UpstreamAnnouncement) -> Result<(), AnnouncementRefusal> {
        self.local().announce(self.started.elapsed(), ANNOUNCEMENT_LIFETIME, announcement)
    }

    /// Applies a withdrawal that an upstream sent to this router; returns whether an
    /// announcement was withdrawn.
    pub fn withdraw(&self, withdrawal: &UpstreamWithdrawal) -> bool {
        self.local().withdraw(self.started.elapsed(), &withdrawal.name, withdrawal.incarnation)
    }

    /// True if this incarnation of the upstream told this router that it is leaving,
    /// or if a later incarnation announced itself.
    pub fn has_deregistered(&self, name: &str, incarnation: u64) -> bool {
        let local = self.local();
        let entry = local.entries().get(name);
        entry.is_some_and(|entry| {
            let held = &entry.announcement;
            held.incarnation > incarnation || (held.incarnation == incarnation && held.leaving)
        })
    }

    /// Upstreams from the previous leader's registry, or none after their lifetime.
    fn previous_upstreams(&self) -> Vec<UpstreamAnnouncement> {
        let previous = self.previous.load();
        if Instant::now() < previous.1 { previous.0.clone() } else { Vec::new() }
    }

    /// True if at least one known upstream can serve the target.
    pub fn is_served(&self, target: &WorkTarget) -> bool {
        self.registry_view.load().upstreams.iter().any(|upstream| upstream.can_serve(target))
            || self.previous_upstreams().iter().any(|upstream| upstream.can_serve(target))
            || self.local().live().any(|entry| entry.announcement.can_serve(target))
    }

    /// Number of live upstreams that can serve the target.
    pub fn serving_count(&self, target: &WorkTarget) -> usize {
        self.upstreams().iter().filter(|upstream| upstream.can_serve(target)).count()
    }

    /// All live upstreams. An announcement that this router received directly takes
    /// precedence over the controllers' registry.
    pub fn upstreams(&self) -> Vec<UpstreamAnnouncement> {
        let mut all: Vec<UpstreamAnnouncement> =
            self.local().live().map(|entry| entry.announcement.clone()).collect();
        for upstream in self.registry_view.load().upstreams.iter().chain(&self.previous_upstreams())
        {
            let known = all.iter().any(|held| held.name == upstream.name);
            if !known && !self.has_deregistered(&upstream.name, upstream.incarnation) {
                all.push(upstream.clone());
            }
        }
        all
    }

    /// Names of all models served by live upstreams, sorted and without duplicates.
    pub fn models(&self) -> Vec<String> {
        let model_upstreams =
            self.upstreams().into_iter().filter(|held| held.kind == UpstreamKind::Model);
        let mut models: Vec<String> = model_upstreams.flat_map(|held| held.serves).collect();
        models.sort();
        models.dedup();
        models
    }
}
