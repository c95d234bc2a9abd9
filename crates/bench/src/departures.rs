//! Experiment `departures`: departures of upstreams and changes of the route table while the
//! leader has a small share of a core, and while it stands still again and again.

use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::{Fleet, FleetPlan, row_of};
use crate::load::to_float;
use crate::options::BenchOptions;
use crate::router_model::{RouterModels, engine};
use crate::slow_core::limit_share;
use baobabfall_controller::control_api::ControlApi;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::{
    EngineRow, RouteKind, RouteRow, RouteShare, RouteTable, ServiceRow,
};
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_node::messages::{AnnounceMessage, UpstreamDeparture};
use baobabfall_router::table_view::FleetView;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

const CONTROLLERS: usize = 5;
const ROUTERS: usize = 200;
const UPSTREAMS: usize = 80;
/// Enough slots that no request waits for one while all upstreams are known.
const UPSTREAM_SLOTS: u32 = 24;
/// Requests a second of the large site.
const SITE_RATE: f64 = 2_000.0;
/// Half and a quarter of the core of a host with a controller.
const SHARES: [f64; 2] = [0.16, 0.08];
/// Departures a second, and changes of the route table a second.
const EVENT_RATE: u32 = 20;
/// Routes and services of a table.
const ROUTES: usize = 24;
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an upstream or an operator turns to another controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a call that no controller acknowledges is given up; it counts with this time.
const CALL_LIMIT: Duration = Duration::from_secs(6);
/// Interval at which the leader is stopped, and the time for which it stands still.
const FAULT_INTERVAL: Duration = Duration::from_secs(2);
const FAULT_TIME: Duration = Duration::from_secs(1);
/// Time after an acknowledgement for which the routers are watched.
const WATCH_TIME: Duration = Duration::from_secs(3);
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
const LEADER_LOOK_INTERVAL: Duration = Duration::from_millis(20);
const WARM_UP: Duration = Duration::from_secs(1);
const READY_LIMIT: Duration = Duration::from_secs(30);
const MILLI: f64 = 1e3;

/// Bounds of the users' deployments, in milliseconds.
const DRAIN_LIMIT_MS: f64 = 2_500.0;
const APPLY_LIMIT_MS: f64 = 2_500.0;
const ACKNOWLEDGE_LIMIT_MS: f64 = 5_000.0;

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("departures", options.seed);
    measure(options, &mut result, None).await?;
    for share in SHARES {
        measure(options, &mut result, Some(share)).await?;
    }
    Ok(result)
}

/// Plays both parts with one fleet: without a fault, and with a leader that is stopped. Plays only
/// the first one when the leader has a whole core.
async fn measure(
    options: &BenchOptions,
    result: &mut ExperimentResult,
    share: Option<f64>,
) -> Result<(), BenchError> {
    let rows = (0..60).map(|index| row_of(index, 1, 100_000)).collect();
    let plan = FleetPlan { controllers: CONTROLLERS, routers: 0, rows, limits: String::new() };
    let fleet = Arc::new(Fleet::start(plan).await?);
    let mut models = RouterModels::start(&fleet, ROUTERS, 0).await?;
    let views = models.sync_tables()?;
    let site = Arc::new(Site::new(Arc::clone(&fleet), options.seed));
    for _ in 0..UPSTREAMS {
        site.add_upstream();
    }
    wait_ready(&views).await?;
    let mut background = JoinSet::new();
    background.spawn(watch_routers(views, Arc::clone(&site)));
    background.spawn(watch_leader(Arc::clone(&site), share));
    let name = share.map_or_else(
        || "whole_core".to_owned(),
        |share| format!("share_{:.0}_percent", share * 100.0),
    );
    let mut parts = vec![(name.clone(), options.seconds(10, 60), false)];
    match share {
        None => parts[0].1 = options.seconds(3, 20),
        Some(_) => parts.push((format!("{name}_faults"), options.seconds(4, 60), true)),
    }
    models.play(options.seed, SITE_RATE, WARM_UP).await?;
    let idle = models.play(options.seed, SITE_RATE, WARM_UP).await?;
    let slots = idle.granted_share() * 100.0;
    result.figure(format!("{name}_slots_used_without_events"), slots, "%");
    for (part, time, faults) in parts {
        site.records().clear();
        let mut events = JoinSet::new();
        events.spawn(play_events(Arc::clone(&site), time));
        if faults {
            events.spawn(stop_leaders(Arc::clone(&site), time));
        }
        let times = models.play(options.seed, SITE_RATE, time).await?;
        while events.join_next().await.is_some() {}
        let leader_changes = site.records().leader_changes;
        tokio::time::sleep(WATCH_TIME + LOOK_INTERVAL * 5).await;
        report(result, &part, &site.records());
        let changes = to_float(leader_changes);
        if faults {
            result.figure(format!("{part}_leader_changes"), changes, "changes");
        } else {
            let bound = TargetBound::AtMost(0.0);
            result.target(format!("{part}_leader_changes"), changes, "changes", bound);
        }
        result.figure(format!("{part}_slots_used"), times.granted_share() * 100.0, "%");
    }
    background.shutdown().await;
    drop(models);
    site.end();
    drop(site);
    match Arc::into_inner(fleet) {
        Some(fleet) => fleet.end().await,
        None => Ok(()),
    }
}

fn report(result: &mut ExperimentResult, part: &str, records: &Records) {
    let size = |times: &[Duration]| to_float(u64::try_from(times.len()).unwrap_or(u64::MAX));
    result.figure(format!("{part}_departures"), size(&records.last_uses), "departures");
    let departures = &records.departures_acknowledged;
    result.figure(format!("{part}_departure_acknowledged_p99"), p99_ms(departures), "ms");
    result.figure(format!("{part}_departure_acknowledged_longest"), longest_ms(departures), "ms");
    result.figure(format!("{part}_departure_last_use_p99"), p99_ms(&records.last_uses), "ms");
    let changes = &records.changes_acknowledged;
    result.figure(format!("{part}_changes"), size(changes), "changes");
    result.figure(format!("{part}_acknowledged_p99"), p99_ms(changes), "ms");
    result.figure(format!("{part}_in_force_p99"), p99_ms(&records.in_force), "ms");
    for (name, times, limit) in [
        ("departure_last_use_longest", &records.last_uses, DRAIN_LIMIT_MS),
        ("acknowledged_longest", changes, ACKNOWLEDGE_LIMIT_MS),
        ("in_force_longest", &records.in_force, APPLY_LIMIT_MS),
    ] {
        let bound = TargetBound::AtMost(limit);
        result.target(format!("{part}_{name}"), longest_ms(times), "ms", bound);
    }
}

/// Milliseconds of the longest time; not a number when there is none, which misses every target.
fn longest_ms(times: &[Duration]) -> f64 {
    times.iter().max().map_or(f64::NAN, |time| time.as_secs_f64() * MILLI)
}

fn p99_ms(times: &[Duration]) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() * 99).div_ceil(100).saturating_sub(1);
    sorted.get(index).map_or(f64::NAN, |time| time.as_secs_f64() * MILLI)
}

/// True when a router with this view may send a request to the upstream.
fn is_usable(listed: &[UpstreamAnnouncement], name: &str, incarnation: u64) -> bool {
    listed.iter().any(|held| held.name == name && held.incarnation == incarnation)
}

/// An upstream whose departure was acknowledged.
#[derive(Clone, Debug)]
struct DepartedUpstream {
    name: String,
    incarnation: u64,
    acknowledged: Instant,
    /// Time from the acknowledgement until the last look at which a router listed it.
    last_use: Duration,
}

/// What was seen in one part.
#[derive(Debug, Default)]
struct Records {
    /// Departed upstreams for which the routers are still watched.
    departed: Vec<DepartedUpstream>,
    last_uses: Vec<Duration>,
    departures_acknowledged: Vec<Duration>,
    changes_acknowledged: Vec<Duration>,
    /// Acknowledged versions of the route table that are not yet in force at every router.
    pending: Vec<(u64, Instant)>,
    in_force: Vec<Duration>,
    leader_changes: u64,
}

impl Records {
    fn clear(&mut self) {
        *self = Self::default();
    }
}

/// The upstreams and the operator of a fleet.
#[derive(Debug)]
struct Site {
    fleet: Arc<Fleet>,
    random: Mutex<SmallRng>,
    records: Mutex<Records>,
    upstreams: Mutex<Vec<(usize, JoinHandle<()>)>>,
    created: AtomicU64,
    version: AtomicU64,
}

impl Site {
    fn new(fleet: Arc<Fleet>, seed: u64) -> Self {
        Self {
            fleet,
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            records: Mutex::default(),
            upstreams: Mutex::default(),
            created: AtomicU64::new(0),
            version: AtomicU64::new(0),
        }
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn upstreams(&self) -> MutexGuard<'_, Vec<(usize, JoinHandle<()>)>> {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw(&self, count: usize) -> usize {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).random_range(0..count)
    }

    /// Announces an upstream with a new name and renews its announcement from then on.
    fn add_upstream(self: &Arc<Self>) {
        let index = usize::try_from(self.created.fetch_add(1, Ordering::Relaxed)).unwrap_or(0);
        let renewing = tokio::spawn(renew(Arc::clone(self), index));
        self.upstreams().push((index, renewing));
    }

    /// Calls one controller on its own thread; `None` when it does not answer in time.
    async fn call<A, F>(&self, controller: usize, call: impl FnOnce(ControlApi) -> F) -> Option<A>
    where
        A: Send + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        let api = self.fleet.controller(controller)?.api().clone();
        let answer = self.fleet.controller_thread(controller).run(call(api));
        tokio::time::timeout(CALL_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Sends the message of an upstream to one controller; true when it is acknowledged.
    async fn register(&self, controller: usize, message: AnnounceMessage) -> bool {
        let answer = self.call(controller, |api| async move { api.register(message).await }).await;
        answer.is_some_and(|answer| match answer {
            Ok(()) => true,
            Err(refusal) => refusal.kind == ErrorKind::StaleIncarnation,
        })
    }

    /// Index of the controller that leads in the highest term, with the term. A controller that
    /// stands still may hold an outdated view.
    fn leader(&self) -> Option<(u64, usize)> {
        let term = |index| {
            let view = self.fleet.controller(index)?.replica().view();
            view.leads.then_some((view.term, index))
        };
        (0..CONTROLLERS).filter_map(term).max()
    }

    fn end(&self) {
        for (_, renewing) in self.upstreams().drain(..) {
            renewing.abort();
        }
    }
}

/// Renews the announcement of an upstream until the task is dropped.
async fn renew(site: Arc<Site>, index: usize) {
    let mut controller = site.draw(CONTROLLERS);
    for sequence in 1_u64.. {
        let due = Instant::now() + RENEWAL_INTERVAL;
        let announcement =
            UpstreamAnnouncement { concurrency: UPSTREAM_SLOTS, ..engine(index, sequence) };
        if site.register(controller, AnnounceMessage::Announce(vec![announcement])).await {
            tokio::time::sleep_until(due).await;
        } else {
            controller = (controller + 1) % CONTROLLERS;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Withdraws an upstream and announces another one in its place.
async fn depart(site: Arc<Site>) {
    let departing = {
        let count = site.upstreams().len();
        let drawn = site.draw(count.max(1));
        let mut upstreams = site.upstreams();
        (drawn < upstreams.len()).then(|| upstreams.swap_remove(drawn))
    };
    let Some((index, renewing)) = departing else { return };
    renewing.abort();
    site.add_upstream();
    let UpstreamAnnouncement { name, incarnation, .. } = engine(index, 1);
    let begun = Instant::now();
    let mut controller = site.draw(CONTROLLERS);
    while begun.elapsed() < CALL_LIMIT {
        let departure = UpstreamDeparture { name: name.clone(), incarnation: Some(incarnation) };
        if site.register(controller, AnnounceMessage::Depart(departure)).await {
            let acknowledged = Instant::now();
            let mut records = site.records();
            records.departures_acknowledged.push(acknowledged - begun);
            let last_use = Duration::ZERO;
            records.departed.push(DepartedUpstream { name, incarnation, acknowledged, last_use });
            return;
        }
        controller = (controller + 1) % CONTROLLERS;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    site.records().departures_acknowledged.push(begun.elapsed());
}

/// Replaces the route table. Follows a redirect to the leader, and turns to another controller
/// when one does not answer.
async fn change_routes(site: Arc<Site>) {
    let version = site.version.fetch_add(1, Ordering::Relaxed) + 1;
    let table = route_table(version);
    let document = serde_json::to_vec(&table).unwrap_or_default();
    let addresses = site.fleet.controller_addresses();
    let begun = Instant::now();
    let mut controller = site.draw(CONTROLLERS);
    while begun.elapsed() < CALL_LIMIT {
        let (table, document) = (table.clone(), document.clone());
        let call = |api: ControlApi| async move {
            let answer = api.replace_routes(table, document).await;
            answer.map_err(|_| api.leader_address())
        };
        let redirect = match site.call(controller, call).await {
            Some(Ok(_)) => {
                let acknowledged = Instant::now();
                let mut records = site.records();
                records.changes_acknowledged.push(acknowledged - begun);
                records.pending.push((version, acknowledged));
                return;
            }
            Some(Err(leader)) => addresses.iter().position(|held| Some(*held) == leader),
            None => None,
        };
        if let Some(leader) = redirect.filter(|leader| *leader != controller) {
            controller = leader;
        } else {
            controller = (controller + 1) % CONTROLLERS;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    site.records().changes_acknowledged.push(begun.elapsed());
}

fn route_table(version: u64) -> RouteTable {
    let route = |index: usize| RouteRow {
        name: format!("route-{index}"),
        host: format!("host-{index}.example"),
        prefix: "/".to_owned(),
        kind: RouteKind::ResumableStream,
        timeout_ms: 20_000,
        objective_ms: 300,
        gap_ms: Some(1_000),
        priority: 1,
        shares: vec![RouteShare { service: format!("service-{index}"), weight: 1 }],
        attempts: 3,
        public: true,
        affinity: true,
    };
    let service = |index: usize| ServiceRow {
        name: format!("service-{index}"),
        health_path: "/health".to_owned(),
        connections: 64,
        engine: Some(EngineRow { slots: UPSTREAM_SLOTS, memory_tokens: 60_000, event_tokens: 4 }),
        cold: None,
    };
    RouteTable {
        version,
        routes: (0..ROUTES).map(route).collect(),
        services: (0..ROUTES).map(service).collect(),
        ..RouteTable::default()
    }
}

/// Starts departures and changes for `time`, and waits until each has its acknowledgement.
async fn play_events(site: Arc<Site>, time: Duration) {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / EVENT_RATE);
    let end = Instant::now() + time;
    let mut events = JoinSet::new();
    while ticks.tick().await < end {
        events.spawn(depart(Arc::clone(&site)));
        events.spawn(change_routes(Arc::clone(&site)));
        while events.try_join_next().is_some() {}
    }
    while events.join_next().await.is_some() {}
}

/// Blocks the thread of the leader again and again for `time`.
async fn stop_leaders(site: Arc<Site>, time: Duration) {
    let mut ticks = tokio::time::interval(FAULT_INTERVAL);
    let end = Instant::now() + time;
    while ticks.tick().await < end {
        if let Some((_, leader)) = site.leader() {
            site.fleet.controller_thread(leader).spawn(async { std::thread::sleep(FAULT_TIME) });
        }
    }
}

/// Slows whichever controller leads, and counts how often the lead changes.
async fn watch_leader(site: Arc<Site>, share: Option<f64>) {
    let mut known = None;
    let mut slowed: Option<JoinHandle<()>> = None;
    loop {
        let leader = site.leader();
        if let Some((_, index)) = leader
            && leader != known
        {
            if let Some(slowed) = slowed.take() {
                slowed.abort();
            }
            let thread = site.fleet.controller_thread(index);
            slowed = share.map(|share| thread.spawn(limit_share(share)));
            site.records().leader_changes += u64::from(known.is_some());
            known = leader;
        }
        tokio::time::sleep(LEADER_LOOK_INTERVAL).await;
    }
}

/// Records which departed upstreams the routers still use, and the route tables in force.
async fn watch_routers(views: Vec<Arc<FleetView>>, site: Arc<Site>) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let departed = site.records().departed.clone();
        let mut used = vec![false; departed.len()];
        let mut version = u64::MAX;
        for view in &views {
            version = version.min(view.routes_version());
            if departed.is_empty() {
                continue;
            }
            let listed = view.directory().upstreams();
            for (used, held) in used.iter_mut().zip(&departed) {
                *used |= is_usable(&listed, &held.name, held.incarnation);
            }
            tokio::task::yield_now().await;
        }
        record_look(&mut site.records(), &departed, &used, version);
    }
}

fn record_look(records: &mut Records, looked: &[DepartedUpstream], used: &[bool], version: u64) {
    let now = Instant::now();
    for held in &mut records.departed {
        let seen = looked.iter().position(|looked| looked.name == held.name);
        if seen.is_some_and(|seen| used[seen]) {
            held.last_use = now - held.acknowledged;
        }
    }
    let is_open = |held: &DepartedUpstream| now - held.acknowledged < WATCH_TIME;
    let ended: Vec<Duration> =
        records.departed.iter().filter(|held| !is_open(held)).map(|held| held.last_use).collect();
    records.departed.retain(is_open);
    records.last_uses.extend(ended);
    let has_ended = |(change, acknowledged): &(u64, Instant)| {
        *change <= version || now - *acknowledged >= WATCH_TIME
    };
    let in_force: Vec<Duration> =
        records.pending.iter().filter(|held| has_ended(held)).map(|held| now - held.1).collect();
    records.pending.retain(|held| !has_ended(held));
    records.in_force.extend(in_force);
}

/// Waits until every router knows all upstreams.
async fn wait_ready(views: &[Arc<FleetView>]) -> Result<(), BenchError> {
    let end = Instant::now() + READY_LIMIT;
    while views.iter().any(|view| view.directory().upstreams().len() < UPSTREAMS) {
        if Instant::now() > end {
            return Err(BenchError::Fleet("a router does not know every upstream".to_owned()));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Ok(())
}
