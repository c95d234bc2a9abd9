//! Synchronizes the workspace table, the route table, the upstream registry and
//! the planned stops of a router with the controllers.

use crate::leader_link::LeaderLink;
use crate::request_queue::SharedQueue;
use crate::table_view::{FleetView, TableView};
use baobabfall_core::departure_set::DepartureList;
use baobabfall_core::dispatch_messages::{NodeIdentity, OriginCopy};
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::workspace_table::WorkspaceTable;
use baobabfall_core::zone_evacuations::EvacuationList;
use baobabfall_node::messages::{
    NodeKind, RegistryView, SYNC_PATH, SyncAnswer, SyncRequest, TableUpdate,
};
use baobabfall_node::node_metrics::NodeMetrics;
use baobabfall_node::units::millis;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// How long a controller may hold a long poll until there are updates, in milliseconds.
const SYNC_WAIT_MS: u32 = 1000;
/// Time in which a controller must answer, in addition to the long-poll wait. One
/// unanswered poll and one round of requests to all controllers take 1.8 s, which
/// is less than the 2 s within which a change must be in force.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Upper bound to which the answer timeout grows, for a router that is itself slow.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1600);
/// Answer timeout for the initial table, which the leader confirms with its group.
const INITIAL_TABLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// An answer that arrives sooner than this was not held by the controller.
const HELD_ANSWER_MINIMUM: Duration = Duration::from_millis(50);
/// Pause after an answer that was not held and had no updates.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// First interval between rounds of requests to all controllers.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound to which that interval grows while no controller hears from its group. The rounds
/// of a whole fleet would otherwise keep the controllers from electing a leader.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a router polls another controller than its own before it tries its own again.
const SUBSTITUTE_TIME: Duration = Duration::from_secs(5);
/// Pause after the first failed attempt to fetch the initial table; it doubles with each further
/// one.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound to which that pause grows. A whole fleet that starts at once would otherwise keep
/// three seeds busy with questions that they cannot answer yet.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Interval between log lines about the initial table that is missing.
const AWAITED_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Long-polls a controller for updates, and searches for another one if that fails.
///
/// Every controller that hears from its group knows of changes as soon as it applies them. Routers
/// are spread over the followers, so that the leader has no load of their polls.
#[derive(Debug)]
pub struct TableSync {
    /// The router's copy of the tables, which is updated.
    pub fleet: Arc<FleetView>,
    /// Connections to the controllers.
    pub link: Arc<LeaderLink>,
    /// Name and incarnation of this router.
    pub identity: NodeIdentity,
    /// Availability zone of this router.
    pub zone: String,
    /// Number of requests in progress, reported to the controllers.
    pub in_progress: Arc<AtomicU32>,
    /// Metrics of the router.
    pub metrics: NodeMetrics,
    /// Queue whose book knows the streams that this router began.
    pub queue: Arc<SharedQueue>,
}

/// Controller that holds the copy of the origins of this router's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CopyHolder {
    address: SocketAddr,
    incarnation: u64,
}

impl TableSync {
    /// Runs until the task is dropped.
    pub async fn run(&self) {
        let (mut pause, mut logged) = (FAILURE_PAUSE, None::<Instant>);
        loop {
            let answers = self.fetch_initial_table().await;
            if self.fleet.table().is_some() {
                break;
            }
            if logged.is_none_or(|at| at.elapsed() >= AWAITED_LOG_INTERVAL) {
                logged = Some(Instant::now());
                log::info!(event = "first_tables_awaited", answers = answers; "no controller has given this router its first tables yet");
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_FAILURE_PAUSE);
        }
        let (mut last_heard, mut answer_timeout) = (Instant::now(), ANSWER_TIMEOUT);
        let mut source = self.own_controller();
        let mut substituted = Instant::now();
        let mut holder = None;
        loop {
            if self.poll(source, answer_timeout, &mut holder).await {
                last_heard = Instant::now();
                answer_timeout = (answer_timeout / 2).max(ANSWER_TIMEOUT);
                let own = self.own_controller();
                if source != own && substituted.elapsed() >= SUBSTITUTE_TIME {
                    substituted = Instant::now();
                    if self.is_source(own).await {
                        source = own;
                    }
                }
                continue;
            }
            let version = self.fleet.routes_version();
            log::warn!(event = "table_source_lost", controller = source.to_string(), silence_ms = millis(last_heard.elapsed()), routes_version = version; "the controller does not answer the long poll for updates, or is cut off from its group; searching for another one");
            (source, answer_timeout) = self.find_source().await;
            substituted = Instant::now();
            log::info!(event = "table_source_answers", controller = source.to_string(), silence_ms = millis(last_heard.elapsed()), routes_version = self.fleet.routes_version(); "found a controller that answers requests for updates");
        }
    }

    /// The controller that this router polls when all of them work: a follower that its name
    /// selects, or the leader of a group of one.
    fn own_controller(&self) -> SocketAddr {
        let leader = self.link.named_leader();
        let mut others = self.link.members();
        others.retain(|address| *address != leader);
        others.sort();
        let hash = blake3::hash(self.identity.name.as_bytes());
        let number =
            hash.as_bytes().first_chunk::<4>().map_or(0, |bytes| u32::from_le_bytes(*bytes));
        let count = u32::try_from(others.len()).unwrap_or(u32::MAX);
        let index = number.checked_rem(count).and_then(|index| usize::try_from(index).ok());
        index.and_then(|index| others.get(index).copied()).unwrap_or(leader)
    }

    /// True if the controller answers at once and hears from its group.
    async fn is_source(&self, address: SocketAddr) -> bool {
        let Some(answer) = self.request_sync(address, 0, ANSWER_TIMEOUT).await else {
            return false;
        };
        let is_source = self.hears_group(&answer);
        self.apply_newer(address, answer);
        is_source
    }

    /// True if the controller hears from its group, and not from a leader that has been replaced.
    fn hears_group(&self, answer: &SyncAnswer) -> bool {
        (answer.leads || answer.in_contact) && answer.term >= self.link.leader_term()
    }

    /// Runs one long poll. Returns true if the controller hears from its group, which means
    /// that no other controller can have newer data for long.
    ///
    /// The poll carries a copy of the origins of the streams that this router began, unless the
    /// controller leads: the leader has them from the reports.
    async fn poll(
        &self,
        address: SocketAddr,
        answer_timeout: Duration,
        holder: &mut Option<CopyHolder>,
    ) -> bool {
        let started = Instant::now();
        let known = holder.filter(|held| held.address == address);
        let copy = (address != self.link.named_leader())
            .then(|| self.queue.book().copy_origins(known.is_none()));
        let request = SyncRequest {
            origins: copy.as_ref().map(|(_, begun)| OriginCopy {
                holder: known.map_or(0, |held| held.incarnation),
                begun: begun.clone(),
            }),
            ..self.sync_request(SYNC_WAIT_MS)
        };
        let Some(answer) = self.send_sync(address, &request, answer_timeout).await else {
            return false;
        };
        let incarnation = answer.holder;
        let has_earlier = known.is_none_or(|held| held.incarnation == incarnation);
        *holder = (copy.is_some() && incarnation > 0 && has_earlier)
            .then_some(CopyHolder { address, incarnation });
        if let (Some((number, _)), Some(_)) = (&copy, &holder) {
            self.queue.book().confirm_copy(*number);
        }
        let is_source = self.hears_group(&answer);
        let updated = self.apply_newer(address, answer);
        if is_source && !updated && started.elapsed() < HELD_ANSWER_MINIMUM {
            tokio::time::sleep(IDLE_PAUSE).await;
        }
        is_source
    }

    /// Asks all controllers concurrently, in repeated rounds, until one answers that hears from
    /// its group. Returns its address and the timeout with which it was asked.
    ///
    /// Each answer is applied as soon as it arrives: an unreachable controller
    /// delays no other, and a follower also has the table of its group. The timeout
    /// of a controller doubles with each failed call, because this router itself
    /// may be the slow one.
    async fn find_source(&self) -> (SocketAddr, Duration) {
        let (mut next_round, mut interval) = (Instant::now(), ROUND_INTERVAL);
        let mut timeouts: SortedMap<SocketAddr, Duration> = SortedMap::new();
        let mut pending: Vec<SocketAddr> = Vec::new();
        let mut answers = FuturesUnordered::new();
        loop {
            let (address, answer) = tokio::select! {
                () = tokio::time::sleep_until(next_round) => {
                    next_round = Instant::now() + interval;
                    interval = (interval * 2).min(MAX_ROUND_INTERVAL);
                    for address in self.link.addresses() {
                        if !pending.contains(&address) {
                            pending.push(address);
                            let timeout = *timeouts.get_or_insert_with(address, || ANSWER_TIMEOUT);
                            answers.push(async move { (address, self.request_sync(address, 0, timeout).await) });
                        }
                    }
                    continue;
                }
                Some(answered) = answers.next() => answered,
            };
            pending.retain(|held| *held != address);
            let timeout = timeouts.get_or_insert_with(address, || ANSWER_TIMEOUT);
            let Some(answer) = answer else {
                *timeout = (*timeout * 2).min(MAX_ANSWER_TIMEOUT);
                continue;
            };
            let (term, leads, timeout) = (answer.term, answer.leads, *timeout);
            let is_source = self.hears_group(&answer);
            self.apply_newer(address, answer);
            if leads {
                self.link.set_leader(term, address);
            }
            if is_source {
                return (address, timeout);
            }
        }
    }

    async fn request_sync(
        &self,
        address: SocketAddr,
        wait_ms: u32,
        answer_timeout: Duration,
    ) -> Option<SyncAnswer> {
        self.send_sync(address, &self.sync_request(wait_ms), answer_timeout).await
    }

    fn sync_request(&self, wait_ms: u32) -> SyncRequest {
        SyncRequest {
            node: self.identity.clone(),
            kind: NodeKind::Router,
            zone: self.zone.clone(),
            revision: self.fleet.table().map_or(0, |held| held.revision),
            stops_version: self.fleet.stops().version,
            registry_version: self.fleet.directory().registry().version,
            in_progress: self.in_progress.load(Ordering::Relaxed),
            routes_version: self.fleet.routes_version(),
            departures_version: self.fleet.directory().departures_version(),
            leader_term: self.link.leader_term(),
            wait_ms,
            evacuations_version: self.fleet.directory().evacuations().version,
            origins: None,
        }
    }

    async fn send_sync(
        &self,
        address: SocketAddr,
        request: &SyncRequest,
        answer_timeout: Duration,
    ) -> Option<SyncAnswer> {
        let timeout = answer_timeout + Duration::from_millis(request.wait_ms.into());
        match self.link.call::<_, SyncAnswer>(address, SYNC_PATH, request, timeout).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("sync request failed: {error}");
                None
            }
        }
    }

    /// Takes the initial table from a confirmed answer, or otherwise the highest
    /// revision among the answers of a majority, so that a restarted router cannot
    /// fall back to a stale table. Returns for the log what each controller answered.
    async fn fetch_initial_table(&self) -> String {
        let addresses = self.link.addresses();
        let calls =
            addresses.iter().map(|address| self.request_sync(*address, 0, INITIAL_TABLE_TIMEOUT));
        let answers: Vec<(SocketAddr, Option<SyncAnswer>)> =
            addresses.iter().copied().zip(join_all(calls).await).collect();
        let description = describe_answers(&answers);
        let mut answers: Vec<(SocketAddr, SyncAnswer)> =
            answers.into_iter().filter_map(|(address, answer)| Some((address, answer?))).collect();
        // The settings may name a part of the group only, without its leader and without a
        // majority, or nobody but processes that know the group. The next attempt asks all members.
        answers.iter().for_each(|(_, answer)| self.record_group(answer));
        let answered = answers.len();
        answers.retain(|(_, answer)| answer.group_age_ms.is_none());
        let asked = addresses.len() - (answered - answers.len());
        let majority = answers.len() * 2 > asked && knows_evacuations(&answers);
        if majority {
            // The controller with the newest tables may lag behind in these.
            for (address, answer) in &answers {
                answer.evacuations.iter().for_each(|list| {
                    self.apply_evacuations(*address, list.clone());
                });
            }
        }
        let version = |answer: &SyncAnswer| answer.routes.as_ref().map_or(0, |held| held.version);
        let newest = answers
            .into_iter()
            .max_by_key(|(_, answer)| (answer.confirmed, answer.revision, version(answer)));
        if let Some((address, answer)) = newest.filter(|(_, answer)| answer.confirmed || majority) {
            self.apply_newer(address, answer);
        }
        description
    }

    /// Applies the parts of an answer that are newer than the held ones. Returns
    /// true if there were any.
    fn apply_newer(&self, address: SocketAddr, answer: SyncAnswer) -> bool {
        self.record_group(&answer);
        let age_ms = answer.routes_age_ms;
        let routes = answer.routes;
        let mut updated = routes.is_some_and(|routes| self.apply_routes(address, &routes, age_ms));
        updated |= answer.table.is_some_and(|update| self.apply_table(&update));
        if let Some(stops) = answer.stops {
            updated |= self.fleet.set_stops(stops);
        }
        // Before the registry, which may be older and still list the departed upstreams.
        if let Some(departures) = answer.departures {
            updated |= self.apply_departures(address, &departures);
        }
        if let Some(evacuations) = answer.evacuations {
            updated |= self.apply_evacuations(address, evacuations);
        }
        if let Some(registry) = answer.registry {
            updated |= self.apply_registry(address, registry);
        }
        updated
    }

    /// Records the leader and the members of the group that an answer names.
    fn record_group(&self, answer: &SyncAnswer) {
        if answer.group_age_ms.is_some() {
            self.link.learn_group(answer.term, answer.leader, answer.controllers.clone());
            return;
        }
        if let Some(leader) = answer.leader {
            self.link.set_leader(answer.term, leader);
        }
        self.link.set_members(answer.term, answer.controllers.clone());
    }

    fn apply_departures(&self, address: SocketAddr, list: &DepartureList) -> bool {
        let added = self.fleet.directory().add_departures(list);
        if !added.is_empty() {
            log::info!(event = "departures_in_force", upstreams = added.join(" "), version = list.version, controller = address.to_string(); "upstreams have left and get no more requests");
        }
        !added.is_empty()
    }

    fn apply_evacuations(&self, address: SocketAddr, list: EvacuationList) -> bool {
        let directory = self.fleet.directory();
        let newer = directory.set_evacuations(list);
        if newer {
            let list = directory.evacuations();
            self.metrics.record_evacuations(&list);
            log::info!(event = "evacuations_in_force", zones = list.zones.join(" "), version = list.version, controller = address.to_string(); "upstreams of these zones get no more requests");
        }
        newer
    }

    /// Puts a registry in force. Logs the upstreams that it no longer lists, so that the time at
    /// which each router stopped using an upstream can be compared with its departure.
    fn apply_registry(&self, address: SocketAddr, registry: RegistryView) -> bool {
        let held = self.fleet.directory().registry();
        let (term, version) = registry.version;
        let is_listed =
            |name: &str| registry.upstreams.iter().any(|upstream| upstream.name == name);
        let names = held.upstreams.iter().map(|upstream| upstream.name.as_str());
        let removed = names.filter(|name| !is_listed(name)).collect::<Vec<_>>().join(" ");
        let newer = self.fleet.directory().set_registry(registry);
        if newer && !removed.is_empty() {
            log::info!(event = "upstreams_removed", upstreams = removed, controller = address.to_string(), term = term, registry_version = version, previous_term = held.version.0; "the registry no longer lists upstreams");
        }
        newer
    }

    fn apply_routes(&self, address: SocketAddr, routes: &Arc<RouteTable>, age_ms: u64) -> bool {
        let newer = self.fleet.set_routes(routes);
        if newer {
            self.metrics.routes_version.record(routes.version, &[]);
            let age = Duration::from_millis(age_ms);
            self.metrics.edit_in_force.record(age.as_secs_f64(), &[]);
            log::info!(event = "routes_in_force", version = routes.version, routes = routes.routes.len(), controller = address.to_string(), age_ms = age_ms; "route table in force");
        }
        newer
    }

    fn apply_table(&self, update: &TableUpdate) -> bool {
        let held = self.fleet.table();
        let empty = WorkspaceTable::default();
        let (revision, table) =
            held.as_ref().map_or((0, &empty), |held| (held.revision, &held.table));
        let Some(next) = update.apply(revision, table) else {
            log::debug!(
                "ignoring table update {} to {}: it does not apply to the held revision",
                update.from,
                update.to
            );
            return false;
        };
        let newer = self.fleet.set_table(TableView::new(update.to, next));
        if newer {
            let age = Duration::from_millis(update.age_ms);
            self.metrics.edit_in_force.record(age.as_secs_f64(), &[]);
            self.metrics.table_revision.record(update.to, &[]);
            log::info!(event = "workspaces_in_force", revision = update.to, age_ms = update.age_ms; "workspace table in force");
        }
        newer
    }
}

/// What each controller answered, for a log line.
fn describe_answers(answers: &[(SocketAddr, Option<SyncAnswer>)]) -> String {
    let describe = |(address, answer): &(SocketAddr, Option<SyncAnswer>)| match answer {
        None => format!("{address} no answer"),
        Some(answer) => match answer.group_age_ms {
            Some(age) => {
                format!("{address} names {} members {age} ms old", answer.controllers.len())
            }
            None => format!(
                "{address} term {} confirmed {} revision {}",
                answer.term, answer.confirmed, answer.revision
            ),
        },
    };
    answers.iter().map(describe).collect::<Vec<_>>().join(", ")
}

/// True if a majority of the group answered that its logs hold no order about a zone that is not
/// applied. A committed order is in the log of at least one of them, so the newest of their lists
/// contains it. Controllers that have lost their disk name no members and don't count.
fn knows_evacuations(answers: &[(SocketAddr, SyncAnswer)]) -> bool {
    let named = answers.iter().filter(|(_, answer)| !answer.controllers.is_empty());
    let Some((_, latest)) = named.max_by_key(|(_, answer)| answer.term) else { return true };
    let members = &latest.controllers;
    let settled = answers.iter().filter(|(address, answer)| {
        members.contains(address) && !answer.controllers.is_empty() && !answer.evacuation_pending
    });
    settled.count() * 2 > members.len()
}
