//! Table of routes, services and caller keys. Operators replace it as a whole,
//! each time with a higher version.

use crate::sorted_map::SortedMap;
use crate::upstream_limits::RequestRate;
use crate::upstream_registry::is_valid_name;
use crate::workspace_table::{RowChange, WorkspaceRow, WorkspaceTable};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of routes in a table.
pub const ROUTE_LIMIT: usize = 20_000;
/// Maximum number of services in a table.
pub const SERVICE_LIMIT: usize = 1_000;
/// Maximum number of workspaces in a table.
pub const WORKSPACE_LIMIT: usize = 10_000;
/// Workspace to which requests without a key are assigned.
pub const OPEN_WORKSPACE: &str = ".open";
/// Limit given to the workspaces of a route table, which sets none for them. It is
/// the highest queue length that a row accepts and, times 1,000,000, the highest
/// number of tokens per minute.
const UNLIMITED: u32 = 1_000_000;

/// How requests of a route may be retried and whether responses are streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests may run more than once, so they may be retried.
    Idempotent,
    /// Requests must run at most once.
    Once,
    /// Requests must run at most once; responses are event streams.
    Stream,
    /// Responses are event streams that may be resumed at another upstream.
    ResumableStream,
}

impl RouteKind {
    /// True when a request may be resent even though it may already have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// True when the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route; 0 gets no requests.
    pub weight: u32,
}

/// One route. It matches requests by host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRow {
    /// Name of the route, used in messages and logs.
    pub name: String,
    /// Host header to match, in lower case and without a port.
    pub host: String,
    /// Path prefix to match; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried and responses are streams.
    pub kind: RouteKind,
    /// Time after which a request times out, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds, for the response or for the first event
    /// of a stream.
    pub objective_ms: u64,
    /// Objective for the gap between two events of a stream, in milliseconds.
    pub gap_ms: Option<u64>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Services among which requests are split by weight.
    pub shares: Vec<RouteShare>,
    /// Maximum number of upstreams to which one request may be sent.
    pub attempts: u32,
    /// True when requests need no key.
    pub public: bool,
    /// True when requests carry prompt prefixes that upstreams keep in a cache.
    pub affinity: bool,
}

impl RouteRow {
    /// Time after which a request times out.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Latency objective for the response or the first event of a stream.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Picks the service for a request in proportion to the weights. `draw` must be
    /// uniformly distributed over all values of `u32`.
    ///
    /// ```
    /// # use baobabfall_core::route_table::*;
    /// let share = |service: &str, weight| RouteShare { service: service.into(), weight };
    /// let shares = vec![share("old", 0), share("new", 3)];
    /// # let route = RouteRow { name: "r".into(), host: "h".into(), prefix: "/".into(),
    /// #     kind: RouteKind::Once, timeout_ms: 1, objective_ms: 1, gap_ms: None,
    /// #     priority: 0, shares, attempts: 1, public: true, affinity: false };
    /// assert_eq!(route.pick_service(0), "new");
    /// assert_eq!(route.pick_service(u32::MAX), "new");
    /// ```
    pub fn pick_service(&self, draw: u32) -> &str {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = (u64::from(draw) * total) >> 32;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.service;
            }
            point -= weight;
        }
        self.shares.last().map_or("", |share| &share.service)
    }

    /// True when requests on the route may go to the service.
    ///
    /// ```
    /// # use baobabfall_core::route_table::{RouteKind, RouteRow, RouteShare};
    /// let share = |service: &str, weight| RouteShare { service: service.into(), weight };
    /// let shares = vec![share("old", 0), share("new", 3)];
    /// # let route = RouteRow { name: "r".into(), host: "h".into(), prefix: "/".into(),
    /// #     kind: RouteKind::Once, timeout_ms: 1, objective_ms: 1, gap_ms: None,
    /// #     priority: 0, shares, attempts: 1, public: true, affinity: false };
    /// assert!(route.has_service("new") && !route.has_service("old"));
    /// ```
    pub fn has_service(&self, service: &str) -> bool {
        self.shares.iter().any(|share| share.service == service && share.weight > 0)
    }
}

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Name of the service.
    pub name: String,
    /// Path of the health check at its upstreams.
    pub health_path: String,
    /// Number of connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<EngineRow>,
    /// What its upstreams tolerate while they are cold; `None` when that is no less than otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdRow>,
}

/// What the upstreams of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdRow {
    /// Time for which an upstream is cold after it started, in milliseconds.
    pub start_ms: u64,
    /// Requests that a cold upstream tolerates from all routers together.
    pub rate: RequestRate,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRow {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into the engine's KV cache.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A workspace with its priority and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceKeys {
    /// Name of the workspace.
    pub name: String,
    /// Priority of its requests; takes precedence over that of their route.
    pub priority: Option<u32>,
    /// Caller keys that identify the workspace.
    pub keys: Vec<String>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Time in which a request's headers must arrive, in milliseconds.
    pub header_ms: u64,
    /// Time after which an idle connection may be closed, in milliseconds.
    pub idle_ms: u64,
    /// Tokens per second that all engines generate together.
    pub tokens_per_second: Option<u64>,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
            tokens_per_second: None,
        }
    }
}

/// One version of the route table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version of the table; the highest one received is in force.
    pub version: u64,
    /// Routes, in the order of the document.
    pub routes: Vec<RouteRow>,
    /// Services to which routes may refer.
    pub services: Vec<ServiceRow>,
    /// Workspaces with their keys; `None` when requests need no key.
    pub workspaces: Option<Vec<WorkspaceKeys>>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

/// Why a route table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteFault {
    /// A route names a service that is not listed.
    #[error("Route {route} names service {service}, which is not listed.")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("Routes {first} and {second} have the same host and path prefix.")]
    DuplicateRoute {
        /// Name of one route.
        first: String,
        /// Name of the other route.
        second: String,
    },
    /// The weights of a route add up to 0.
    #[error("The weights of route {0} add up to 0.")]
    ZeroWeight(String),
    /// A route has a timeout of 0.
    #[error("Route {0} has a timeout of 0.")]
    ZeroTimeout(String),
    /// A route allows 0 attempts.
    #[error("Route {0} allows no attempts; at least 1 is needed.")]
    ZeroAttempts(String),
    /// A path prefix does not start and end with a slash.
    #[error("The path prefix of route {0} must start and end with a slash.")]
    InvalidPrefix(String),
    /// Two workspaces have the same key.
    #[error("Workspaces {first} and {second} have the same key; each needs its own key.")]
    SharedKey {
        /// Name of one workspace.
        first: String,
        /// Name of the other workspace.
        second: String,
    },
    /// Two services or two workspaces have the same name.
    #[error("The name {0} is used twice.")]
    DuplicateName(String),
    /// The name of a workspace is empty, too long or has invalid characters.
    #[error("{0:?} is not a valid name; use 1 to 64 of the characters a-z 0-9 - . _.")]
    InvalidName(String),
    /// The table has too many entries.
    #[error("The table has more than {limit} {what}.")]
    TooManyEntries {
        /// Kind of entry, in the plural.
        what: &'static str,
        /// Maximum number of entries of this kind.
        limit: usize,
    },
}

impl RouteTable {
    /// Validates the table; only a valid one may be put in force.
    pub fn check(&self) -> Result<(), RouteFault> {
        self.check_sizes()?;
        let services: Vec<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        let services = sorted_unique(services)?;
        for route in &self.routes {
            check_route(route, &services)?;
        }
        let mut entries: Vec<(&str, &str, &str)> =
            self.routes.iter().map(|route| (&*route.host, &*route.prefix, &*route.name)).collect();
        entries.sort_unstable();
        let duplicate =
            entries.windows(2).find(|pair| (pair[0].0, pair[0].1) == (pair[1].0, pair[1].1));
        if let Some(pair) = duplicate {
            let (first, second) = (pair[0].2.to_owned(), pair[1].2.to_owned());
            return Err(RouteFault::DuplicateRoute { first, second });
        }
        self.check_workspaces()
    }

    fn check_sizes(&self) -> Result<(), RouteFault> {
        let workspaces = self.workspaces.as_ref().map_or(0, Vec::len);
        let sizes = [
            ("routes", self.routes.len(), ROUTE_LIMIT),
            ("services", self.services.len(), SERVICE_LIMIT),
            ("workspaces", workspaces, WORKSPACE_LIMIT),
        ];
        match sizes.into_iter().find(|(_, size, limit)| size > limit) {
            Some((what, _, limit)) => Err(RouteFault::TooManyEntries { what, limit }),
            None => Ok(()),
        }
    }

    fn check_workspaces(&self) -> Result<(), RouteFault> {
        let Some(workspaces) = &self.workspaces else { return Ok(()) };
        let names: Vec<&str> = workspaces.iter().map(|workspace| workspace.name.as_str()).collect();
        if let Some(name) = names.iter().find(|name| !is_valid_name(name)) {
            return Err(RouteFault::InvalidName((*name).to_owned()));
        }
        sorted_unique(names)?;
        let mut keys: Vec<(&str, &str)> = workspaces
            .iter()
            .flat_map(|row| row.keys.iter().map(|key| (key.as_str(), row.name.as_str())))
            .collect();
        keys.sort_unstable();
        match keys.windows(2).find(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1) {
            Some(pair) => {
                let (first, second) = (pair[0].1.to_owned(), pair[1].1.to_owned());
                Err(RouteFault::SharedKey { first, second })
            }
            None => Ok(()),
        }
    }

    /// True when the table lists a service of this name.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|service| service.name == name)
    }

    /// Rows of the workspace table for the workspaces of this table and for
    /// [`OPEN_WORKSPACE`]. All have equal weight and no effective limits of their own.
    pub fn workspace_rows(&self) -> Vec<WorkspaceRow> {
        let named = self.workspaces.iter().flatten().map(|workspace| workspace.name.as_str());
        named.chain([OPEN_WORKSPACE]).map(unlimited_row).collect()
    }

    /// Changes after which `table` has exactly the rows of [`Self::workspace_rows`].
    pub fn workspace_changes(&self, table: &WorkspaceTable) -> Vec<RowChange> {
        let wanted: SortedMap<String, WorkspaceRow> =
            self.workspace_rows().into_iter().map(|row| (row.name.clone(), row)).collect();
        let stale = table.rows().keys().filter(|name| !wanted.contains_key(*name));
        let mut changes: Vec<RowChange> =
            stale.map(|name| RowChange::Remove { name: name.clone() }).collect();
        let missing = wanted.into_iter().filter(|(name, row)| table.get(name) != Some(row));
        changes.extend(missing.map(|(_, row)| RowChange::Put { row }));
        changes
    }
}

fn check_route(route: &RouteRow, services: &[&str]) -> Result<(), RouteFault> {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(RouteFault::InvalidPrefix(name()));
    }
    if route.timeout_ms == 0 {
        return Err(RouteFault::ZeroTimeout(name()));
    }
    if route.attempts == 0 {
        return Err(RouteFault::ZeroAttempts(name()));
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(RouteFault::ZeroWeight(name()));
    }
    let unknown = |share: &&RouteShare| services.binary_search(&share.service.as_str()).is_err();
    match route.shares.iter().find(unknown) {
        Some(share) => {
            Err(RouteFault::UnknownService { route: name(), service: share.service.clone() })
        }
        None => Ok(()),
    }
}

fn sorted_unique(mut names: Vec<&str>) -> Result<Vec<&str>, RouteFault> {
    names.sort_unstable();
    match names.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(RouteFault::DuplicateName(pair[0].to_owned())),
        None => Ok(names),
    }
}

fn unlimited_row(name: &str) -> WorkspaceRow {
    WorkspaceRow {
        name: name.to_owned(),
        key_hashes: Vec::new(),
        weight: 1,
        concurrency: UNLIMITED,
        requests_per_minute: UNLIMITED,
        tokens_per_minute: u64::from(UNLIMITED) * 1_000_000,
        queue_length: UNLIMITED,
        request_kib: 4 << 10,
        protected: false,
    }
}

/// A route table with indexes for lookups by host, path and key.
///
/// ```
/// use baobabfall_core::route_table::{RouteIndex, RouteTable};
/// let index = RouteIndex::new(RouteTable::default());
/// assert!(index.find("site.example", "/a/b").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    table: RouteTable,
    /// Indexes into the routes, by host and prefix.
    route_positions: SortedMap<(String, String), usize>,
    /// Indexes into the workspaces, by key.
    workspace_positions: SortedMap<String, usize>,
}

impl RouteIndex {
    /// Builds the indexes of `table`.
    pub fn new(table: RouteTable) -> Self {
        let routes = table.routes.iter().enumerate();
        let route_positions =
            routes.map(|(index, row)| ((row.host.clone(), row.prefix.clone()), index)).collect();
        let workspaces = table.workspaces.iter().flatten().enumerate();
        let workspace_positions = workspaces
            .flat_map(|(index, row)| row.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Self { table, route_positions, workspace_positions }
    }

    /// The indexed table.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// The route of `host` with the longest prefix of `path`; the case of `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let host = host.to_ascii_lowercase();
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let mut location = (host, String::new());
        for (end, _) in slashes {
            location.1.clear();
            location.1.push_str(&path[..=end]);
            if let Some(index) = self.route_positions.get(&location) {
                return self.table.routes.get(*index);
            }
        }
        None
    }

    /// True when the table lists workspaces, so that requests need a key.
    pub fn needs_keys(&self) -> bool {
        self.table.workspaces.is_some()
    }

    /// The workspace to which a caller key belongs.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceKeys> {
        self.table.workspaces.as_ref()?.get(*self.workspace_positions.get(key)?)
    }
}
