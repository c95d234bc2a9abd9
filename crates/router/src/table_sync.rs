//! Keeps the table, the registry and the planned stops up to date.

use crate::leader_link::LeaderLink;
use crate::table_view::{FleetView, TableView};
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::workspace_table::WorkspaceTable;
use baobabfall_node::messages::{NodeKind, SYNC_PATH, SyncAnswer, SyncRequest, TableUpdate};
use baobabfall_node::node_metrics::NodeMetrics;
use baobabfall_node::units::millis;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};

/// How long the leader may hold an answer for news, in milliseconds.
const SYNC_WAIT_MS: u32 = 1000;
/// Time in which a controller must answer, beyond the time it may hold. A poll
/// that is not answered and one round of questions to all controllers take
/// 1.8 s, less than the 2 s in which a change has to be in force.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest such time, for a router that is slow itself.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1600);
/// The same for a first table, which the leader confirms with its group.
const FIRST_TIMEOUT: Duration = Duration::from_millis(1000);
/// An answer that came sooner was not held for news.
const SHORT_ANSWER: Duration = Duration::from_millis(50);
/// Pause after an answer that was not held and brought nothing.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// Time between two rounds of questions to all controllers.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between attempts to get a first table.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Long-polls the leader for news, and looks for another one when it is lost.
#[derive(Debug)]
pub struct TableSync {
    /// What the router holds.
    pub fleet: Arc<FleetView>,
    /// Connections to the controllers.
    pub link: Arc<LeaderLink>,
    /// This router.
    pub identity: NodeIdentity,
    /// Its availability zone.
    pub zone: String,
    /// Requests in progress.
    pub in_progress: Arc<AtomicU32>,
    /// Instruments.
    pub metrics: NodeMetrics,
}

impl TableSync {
    /// Runs until the task is dropped.
    pub async fn run(&self) {
        while self.fleet.table().is_none() {
            self.first_table().await;
            if self.fleet.table().is_none() {
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
        let (mut led, mut margin) = (Instant::now(), ANSWER_TIMEOUT);
        loop {
            let address = self.link.leader();
            if self.poll_leader(address, margin).await {
                led = Instant::now();
                margin = (margin / 2).max(ANSWER_TIMEOUT);
                continue;
            }
            let version = self.fleet.routes_version();
            log::warn!(event = "table_source_lost", controller = address.to_string(), silence_ms = millis(led.elapsed()), routes_version = version; "no leader answers the poll for tables");
            let (leader, needed) = self.find_leader().await;
            margin = needed;
            log::info!(event = "table_source_answers", controller = leader.to_string(), silence_ms = millis(led.elapsed()), routes_version = self.fleet.routes_version(); "a leader answers the poll for tables");
        }
    }

    /// One long poll; true when the controller leads, so that nothing newer is
    /// held elsewhere for long.
    async fn poll_leader(&self, address: SocketAddr, margin: Duration) -> bool {
        let begun = Instant::now();
        let Some(answer) = self.ask(address, SYNC_WAIT_MS, margin).await else {
            return false;
        };
        let leads = answer.leads;
        let useful = self.apply_forward(address, answer);
        if leads && !useful && begun.elapsed() < SHORT_ANSWER {
            tokio::time::sleep(IDLE_PAUSE).await;
        }
        leads
    }

    /// Asks all controllers at once, again and again, until one that leads
    /// answers; returns its address and the time that it was given. Each answer
    /// counts as soon as it comes: a controller that does not answer holds up
    /// no other, and a follower has the table of its group. The time grows with
    /// each call that fails, because this router may be the one that is slow.
    async fn find_leader(&self) -> (SocketAddr, Duration) {
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut margins: SortedMap<SocketAddr, Duration> = SortedMap::new();
        let mut asked: Vec<SocketAddr> = Vec::new();
        let mut answers = FuturesUnordered::new();
        loop {
            let (address, answer) = tokio::select! {
                _ = rounds.tick() => {
                    for address in self.link.addresses() {
                        if !asked.contains(&address) {
                            asked.push(address);
                            let margin = *margins.get_or_insert_with(address, || ANSWER_TIMEOUT);
                            answers.push(async move { (address, self.ask(address, 0, margin).await) });
                        }
                    }
                    continue;
                }
                Some(answered) = answers.next() => answered,
            };
            asked.retain(|held| *held != address);
            let margin = margins.get_or_insert_with(address, || ANSWER_TIMEOUT);
            let Some(answer) = answer else {
                *margin = (*margin * 2).min(LONGEST_TIMEOUT);
                continue;
            };
            let (term, leads, margin) = (answer.term, answer.leads, *margin);
            self.apply_forward(address, answer);
            if leads {
                self.link.hint(term, address);
                return (address, margin);
            }
        }
    }

    async fn ask(&self, address: SocketAddr, wait_ms: u32, margin: Duration) -> Option<SyncAnswer> {
        let request = SyncRequest {
            node: self.identity.clone(),
            kind: NodeKind::Router,
            zone: self.zone.clone(),
            revision: self.fleet.table().map_or(0, |held| held.revision),
            stops_version: self.fleet.stops().version,
            registry_version: self.fleet.registry().version,
            in_progress: self.in_progress.load(Ordering::Relaxed),
            routes_version: self.fleet.routes_version(),
            wait_ms,
        };
        let timeout = margin + Duration::from_millis(wait_ms.into());
        match self.link.call::<_, SyncAnswer>(address, SYNC_PATH, &request, timeout).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("sync not answered: {error}");
                None
            }
        }
    }

    /// Takes the first table from a confirmed answer, or the highest revision
    /// among a majority, so a restarted router cannot fall back to an old table.
    async fn first_table(&self) {
        let addresses = self.link.addresses();
        let calls = addresses.iter().map(|address| self.ask(*address, 0, FIRST_TIMEOUT));
        let answers = addresses.iter().copied().zip(join_all(calls).await);
        let answers: Vec<(SocketAddr, SyncAnswer)> =
            answers.filter_map(|(address, answer)| Some((address, answer?))).collect();
        let majority = answers.len() * 2 > addresses.len();
        let version = |answer: &SyncAnswer| answer.routes.as_ref().map_or(0, |held| held.version);
        let best = answers
            .into_iter()
            .max_by_key(|(_, answer)| (answer.confirmed, answer.revision, version(answer)));
        if let Some((address, answer)) = best.filter(|(_, answer)| answer.confirmed || majority) {
            self.apply_forward(address, answer);
        }
    }

    /// Takes what is newer; true when anything was.
    fn apply_forward(&self, address: SocketAddr, answer: SyncAnswer) -> bool {
        if let Some(leader) = answer.leader {
            self.link.hint(answer.term, leader);
        }
        self.link.set_members(answer.term, answer.controllers);
        let age_ms = answer.routes_age_ms;
        let routes = answer.routes;
        let mut useful = routes.is_some_and(|routes| self.apply_routes(address, &routes, age_ms));
        useful |= answer.table.is_some_and(|update| self.apply_table(&update));
        if let Some(stops) = answer.stops {
            useful |= self.fleet.set_stops(stops);
        }
        if let Some(registry) = answer.registry {
            useful |= self.fleet.set_registry(registry);
        }
        useful
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
            log::debug!("table update {} to {} does not fit", update.from, update.to);
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
