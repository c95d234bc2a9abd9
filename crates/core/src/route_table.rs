//! The table of routes, services and caller keys, replaced as a whole under
//! increasing versions.

use crate::sorted_map::SortedMap;
use crate::upstream_registry::is_valid_name;
use crate::workspace_table::{RowChange, WorkspaceRow, WorkspaceTable};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Most routes of a table.
pub const ROUTE_LIMIT: usize = 20_000;
/// Most services of a table.
pub const SERVICE_LIMIT: usize = 1_000;
/// Most workspaces of a table.
pub const WORKSPACE_LIMIT: usize = 10_000;
/// Workspace of requests that carry no key.
pub const OPEN_WORKSPACE: &str = ".open";
/// Limits of the rows that stand for the workspaces of a route table: it sets
/// none, so they are the largest that a row accepts.
const UNLIMITED: u32 = 1_000_000;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Event streams that run at most once.
    Stream,
    /// Event streams that may go on at another upstream.
    ResumableStream,
}

impl RouteKind {
    /// True when a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// True when the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that takes part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// Name of the service.
    pub service: String,
    /// Part of the requests relative to the other shares of the route.
    pub weight: u32,
}

/// One route: requests of a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRow {
    /// Name of the route.
    pub name: String,
    /// Host that callers name, lowercase and without a port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer is on time, in milliseconds; of a stream, its
    /// first event.
    pub objective_ms: u64,
    /// Longest pause between events that is on time, in milliseconds.
    pub gap_ms: Option<u64>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services and their shares.
    pub shares: Vec<RouteShare>,
    /// Most upstreams to which one request may be sent.
    pub attempts: u32,
    /// True when no key is needed.
    pub public: bool,
    /// True when requests carry prefixes that upstreams keep.
    pub affinity: bool,
}

impl RouteRow {
    /// Longest time for an answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time in which an answer is on time.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// The service for a request, where `draw` is uniform over all values.
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
}

/// A service: upstreams that can do the same work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// Settings of a model engine; plain services have none.
    pub engine: Option<EngineRow>,
}

/// What is known of the model engines of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRow {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A workspace with its rank and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceKeys {
    /// Name.
    pub name: String,
    /// Rank of its requests, before that of their route.
    pub priority: Option<u32>,
    /// Accepted keys.
    pub keys: Vec<String>,
}

/// Bounds of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time for a request's head, in milliseconds.
    pub header_ms: u64,
    /// Time after which an unused connection may be closed, in milliseconds.
    pub idle_ms: u64,
    /// Tokens per second that the engines produce together.
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

/// Routes, services and keys of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Routes, in the order of the document.
    pub routes: Vec<RouteRow>,
    /// Services.
    pub services: Vec<ServiceRow>,
    /// Workspaces; `None` when requests need no key.
    pub workspaces: Option<Vec<WorkspaceKeys>>,
    /// Bounds of what callers send.
    pub limits: CallerLimits,
}

/// Why a table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteFault {
    /// A route names a service that is not listed.
    #[error("Route {route} names service {service}, which is not listed.")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("Routes {first} and {second} have the same host and path prefix.")]
    DuplicateRoute {
        /// One route.
        first: String,
        /// The other one.
        second: String,
    },
    /// The weights of a route add up to 0.
    #[error("The weights of route {0} add up to 0.")]
    ZeroWeight(String),
    /// A route has a time-out of 0.
    #[error("Route {0} has a time-out of 0.")]
    ZeroTimeout(String),
    /// A route allows no attempt.
    #[error("Route {0} allows no attempt; at least 1 is needed.")]
    ZeroAttempts(String),
    /// A prefix does not begin and end with a slash.
    #[error("The path prefix of route {0} must begin and end with a slash.")]
    InvalidPrefix(String),
    /// Two workspaces have the same key.
    #[error("Workspaces {first} and {second} share a key.")]
    SharedKey {
        /// One workspace.
        first: String,
        /// The other one.
        second: String,
    },
    /// Two entries have the same name.
    #[error("{0} stands twice.")]
    DuplicateName(String),
    /// A name has characters that are not accepted.
    #[error("{0:?} is not a name of 1 to 64 of a-z 0-9 - . _.")]
    InvalidName(String),
    /// The table has too many entries.
    #[error("The table has more than {limit} {what}.")]
    TooManyEntries {
        /// What there is too much of.
        what: &'static str,
        /// How many are accepted.
        limit: usize,
    },
}

impl RouteTable {
    /// Checks what must hold before a table is accepted.
    pub fn check(&self) -> Result<(), RouteFault> {
        self.check_sizes()?;
        let services: Vec<&str> = self.services.iter().map(|held| held.name.as_str()).collect();
        let services = sorted_unique(services)?;
        for route in &self.routes {
            check_route(route, &services)?;
        }
        let mut places: Vec<(&str, &str, &str)> =
            self.routes.iter().map(|held| (&*held.host, &*held.prefix, &*held.name)).collect();
        places.sort_unstable();
        let same = places.windows(2).find(|pair| (pair[0].0, pair[0].1) == (pair[1].0, pair[1].1));
        if let Some(pair) = same {
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
        match sizes.into_iter().find(|(_, held, limit)| held > limit) {
            Some((what, _, limit)) => Err(RouteFault::TooManyEntries { what, limit }),
            None => Ok(()),
        }
    }

    fn check_workspaces(&self) -> Result<(), RouteFault> {
        let Some(workspaces) = &self.workspaces else { return Ok(()) };
        let names: Vec<&str> = workspaces.iter().map(|held| held.name.as_str()).collect();
        if let Some(name) = names.iter().find(|name| !is_valid_name(name)) {
            return Err(RouteFault::InvalidName((*name).to_owned()));
        }
        sorted_unique(names)?;
        let mut keys: Vec<(&str, &str)> = workspaces
            .iter()
            .flat_map(|held| held.keys.iter().map(|key| (key.as_str(), held.name.as_str())))
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

    /// True when a service of this name is listed.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|held| held.name == name)
    }

    /// The rows of the workspace table that stand for the workspaces: equal
    /// weights, and no limits but those of the upstreams.
    pub fn workspace_rows(&self) -> Vec<WorkspaceRow> {
        let named = self.workspaces.iter().flatten().map(|held| held.name.as_str());
        named.chain([OPEN_WORKSPACE]).map(unlimited_row).collect()
    }

    /// What has to change in `table` for it to list these workspaces.
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

/// A route table prepared for look-ups.
///
/// ```
/// use baobabfall_core::route_table::{RouteIndex, RouteTable};
/// let index = RouteIndex::new(RouteTable::default());
/// assert!(index.find("site.example", "/a/b").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    table: RouteTable,
    /// Positions of routes by host and prefix.
    places: SortedMap<(String, String), usize>,
    /// Positions of workspaces by key.
    keys: SortedMap<String, usize>,
}

impl RouteIndex {
    /// Prepares a table.
    pub fn new(table: RouteTable) -> Self {
        let routes = table.routes.iter().enumerate();
        let places =
            routes.map(|(index, held)| ((held.host.clone(), held.prefix.clone()), index)).collect();
        let workspaces = table.workspaces.iter().flatten().enumerate();
        let keys = workspaces
            .flat_map(|(index, held)| held.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Self { table, places, keys }
    }

    /// The table.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// The route of a host with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let host = host.to_ascii_lowercase();
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let mut place = (host, String::new());
        for (end, _) in ends {
            place.1.clear();
            place.1.push_str(&path[..=end]);
            if let Some(index) = self.places.get(&place) {
                return self.table.routes.get(*index);
            }
        }
        None
    }

    /// True when requests carry keys.
    pub fn needs_keys(&self) -> bool {
        self.table.workspaces.is_some()
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceKeys> {
        self.table.workspaces.as_ref()?.get(*self.keys.get(key)?)
    }
}
