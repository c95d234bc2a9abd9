//! The router's copy of the fleet state: workspace table, route table, upstreams
//! and planned stops.

use crate::upstream_directory::UpstreamDirectory;
use arc_swap::{ArcSwap, ArcSwapOption};
use baobabfall_core::route_table::{RouteIndex, RouteTable};
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::workspace_table::{WorkspaceRow, WorkspaceTable};
use baobabfall_node::messages::{PlannedStop, StopKind, StopList};
use std::sync::Arc;
use std::time::Duration;

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
    directory: UpstreamDirectory,
    stops: ArcSwap<StopList>,
    routes: ArcSwapOption<RouteIndex>,
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
            directory: UpstreamDirectory::new(),
            stops: ArcSwap::from_pointee(StopList { version: 0, stops: Vec::new() }),
            routes: ArcSwapOption::empty(),
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
            self.directory.set_cold_services(&next.services);
            self.routes.store(Some(Arc::new(RouteIndex::new(RouteTable::clone(next)))));
        }
        newer
    }

    /// Upstreams, and which of them may get a request.
    pub fn directory(&self) -> &UpstreamDirectory {
        &self.directory
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
}
