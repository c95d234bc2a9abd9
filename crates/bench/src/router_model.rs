//! Routers without callers and upstreams: their own queue and dispatch client, driven by drawn
//! requests that hold a slot for the time of a stream.

use crate::error::BenchError;
use crate::fleet::Fleet;
use crate::fleet_files::{token_of, zone_of};
use crate::load::to_float;
use crate::message_slopes::announce;
use baobabfall_core::dispatch_messages::{
    LeaseEnd, NodeIdentity, PromptSummary, StreamOrigin, UNITS_PER_TOKEN,
};
use baobabfall_core::part_book::{AnswerProgress, RequestSuspects};
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::node_metrics::{NodeMetrics, start_incarnation};
use baobabfall_router::dispatch_client::DispatchClient;
use baobabfall_router::leader_link::LeaderLink;
use baobabfall_router::request_queue::{QueueRequest, SharedQueue, SlotLease};
use baobabfall_router::table_sync::TableSync;
use baobabfall_router::table_view::FleetView;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Model that every request asks for.
const MODEL: &str = "dossier-large";
/// Workspaces of the large site.
const WORKSPACES: usize = 60;
/// Longest wait for a slot, as on the users' platform.
const QUEUE_TIME: Duration = Duration::from_millis(120);
/// Time for which a caller may resume its stream.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time to the first event of a stream and between its events, and their number: the mean of the
/// large site's kinds of request.
const FIRST_EVENT: Duration = Duration::from_millis(80);
const EVENT_GAP: Duration = Duration::from_millis(24);
const EVENTS: u64 = 12;
const TOKENS_PER_EVENT: u64 = 4;
/// Tokens of a prompt that are shared and that are its own.
const PROMPT: (u32, u32) = (600, 300);
const TARGET_MS: u32 = 300;
/// Slots of one engine.
const ENGINE_SLOTS: u32 = 12;
/// Interval of the announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1200);
/// Slowest round trip that the histogram tells apart from longer ones, in microseconds.
const LONGEST_US: u64 = 10_000_000;

/// Times from the arrival of requests to their grants, and requests that got none.
#[derive(Clone, Debug)]
pub struct GrantTimes {
    /// Microseconds from arrival to grant; one that got none counts with its whole wait.
    pub waits: Histogram<u64>,
    /// Requests that got a slot.
    pub granted: u64,
    /// Requests that got none in time.
    pub expired: u64,
}

impl GrantTimes {
    fn new() -> Result<Self, BenchError> {
        let waits = Histogram::new_with_bounds(1, LONGEST_US, 3)
            .map_err(|error| BenchError::Fleet(error.to_string()))?;
        Ok(Self { waits, granted: 0, expired: 0 })
    }

    /// Share of the requests that got a slot.
    pub fn granted_share(&self) -> f64 {
        to_float(self.granted) / to_float((self.granted + self.expired).max(1))
    }

    /// Milliseconds from arrival to grant for 99 in 100.
    pub fn p99_ms(&self) -> f64 {
        to_float(self.waits.value_at_quantile(0.99)) / 1e3
    }
}

/// Running routers and the announcements of their engines.
#[derive(Debug)]
pub struct RouterModels {
    queues: Vec<Arc<SharedQueue>>,
    clients: Vec<Arc<DispatchClient>>,
    links: Vec<(NodeIdentity, Arc<LeaderLink>)>,
    tasks: JoinSet<()>,
    times: Arc<Mutex<GrantTimes>>,
}

fn setup(error: impl ToString) -> BenchError {
    BenchError::Fleet(error.to_string())
}

/// Announcement of the engine with this index.
pub fn engine(index: usize, sequence: u64) -> UpstreamAnnouncement {
    let port = 10_000 + u16::try_from(index % 50_000).unwrap_or(0);
    UpstreamAnnouncement {
        name: format!("i-{index:010x}"),
        incarnation: 1_764_000_000_000,
        sequence,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        kind: UpstreamKind::Model,
        serves: vec![MODEL.to_owned()],
        zone: zone_of(index).to_owned(),
        concurrency: ENGINE_SLOTS,
        pool: None,
        honours_fencing: false,
        resume: true,
        cancel: true,
        leaving: false,
        running: None,
        software: SoftwareVersion::parse("v1"),
        cold_ms: None,
    }
}

impl RouterModels {
    /// Starts `routers` that report to the leader of `fleet`, and announces `engines` to it; with
    /// 0 engines, the caller announces some.
    pub async fn start(fleet: &Fleet, routers: usize, engines: usize) -> Result<Self, BenchError> {
        let addresses = fleet.controller_addresses();
        let leader = fleet.leader().ok_or_else(|| setup("no controller leads"))?;
        let credential = CredentialFile::open(&fleet.credential("process")).map_err(setup)?;
        let metrics = NodeMetrics::new().map_err(setup)?;
        let times = Arc::new(Mutex::new(GrantTimes::new()?));
        let mut models = Self {
            queues: Vec::new(),
            clients: Vec::new(),
            links: Vec::new(),
            tasks: JoinSet::new(),
            times,
        };
        if engines > 0 {
            models.announce(addresses[leader], engines).await?;
        }
        for index in 0..routers {
            let queue = SharedQueue::new();
            let (addresses, token) = (addresses.clone(), credential.clone());
            let link = Arc::new(LeaderLink::new(addresses, token, metrics.clone()));
            let name = format!("edge-se-mitt-{}-{index}", zone_of(index));
            let identity = NodeIdentity { name, incarnation: start_incarnation() };
            let zone = zone_of(index).to_owned();
            models.links.push((identity.clone(), Arc::clone(&link)));
            let client = Arc::new(DispatchClient::new(Arc::clone(&queue), link, identity, zone));
            let reporter = Arc::clone(&client);
            models.tasks.spawn(async move { reporter.run().await });
            models.queues.push(queue);
            models.clients.push(client);
        }
        models.wait_ready().await?;
        Ok(models)
    }

    async fn announce(&mut self, leader: SocketAddr, engines: usize) -> Result<(), BenchError> {
        let client = Arc::new(PeerClient::new(leader));
        let token = token_of("process");
        for index in 0..engines {
            announce(&client, &token, engine(index, 1)).await?;
        }
        self.tasks.spawn(async move {
            for sequence in 2_u64.. {
                for index in 0..engines {
                    tokio::time::sleep(ANNOUNCE_INTERVAL / u32::try_from(engines).unwrap_or(1))
                        .await;
                    if let Err(error) = announce(&client, &token, engine(index, sequence)).await {
                        log::warn!("engine not announced: {error}");
                    }
                }
            }
        });
        Ok(())
    }

    /// Starts the synchronization of the routers' tables and returns the view of each router.
    pub fn sync_tables(&mut self) -> Result<Vec<Arc<FleetView>>, BenchError> {
        let metrics = NodeMetrics::new().map_err(setup)?;
        let mut views = Vec::new();
        for (index, (identity, link)) in self.links.iter().enumerate() {
            let fleet = Arc::new(FleetView::new());
            let sync = TableSync {
                fleet: Arc::clone(&fleet),
                link: Arc::clone(link),
                identity: identity.clone(),
                zone: zone_of(index).to_owned(),
                in_progress: Arc::default(),
                metrics: metrics.clone(),
                queue: Arc::clone(&self.queues[index]),
            };
            self.tasks.spawn(async move { sync.run().await });
            views.push(fleet);
        }
        Ok(views)
    }

    /// Waits until the leader has answered every router.
    async fn wait_ready(&self) -> Result<(), BenchError> {
        let end = Instant::now() + Duration::from_secs(20);
        while self.clients.iter().any(|client| client.last_answer().is_zero()) {
            if Instant::now() > end {
                return Err(setup("a router got no answer of the leader"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Sends `rate` requests a second for `time`, spread evenly over the routers, and returns how
    /// long they waited for their slots.
    pub async fn play(
        &mut self,
        seed: u64,
        rate: f64,
        time: Duration,
    ) -> Result<GrantTimes, BenchError> {
        *self.times.lock().unwrap_or_else(PoisonError::into_inner) = GrantTimes::new()?;
        let mut random = SmallRng::seed_from_u64(seed);
        let end = Instant::now() + time;
        let mut next = Instant::now();
        let mut requests = JoinSet::new();
        while next < end {
            tokio::time::sleep_until(next).await;
            let gap = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            next += Duration::from_secs_f64(gap);
            let router = random.random_range(0..self.queues.len());
            let queue = Arc::clone(&self.queues[router]);
            let times = Arc::clone(&self.times);
            requests.spawn(run_request(queue, times, random.random()));
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
        Ok(self.times.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}

/// Plays one request: waits for a slot and holds it for the time of a stream.
async fn run_request(queue: Arc<SharedQueue>, times: Arc<Mutex<GrantTimes>>, draw: u64) {
    let workspace = usize::try_from(draw % 1_000_003).unwrap_or(0) % WORKSPACES;
    let cost = (u64::from(PROMPT.1) + EVENTS * TOKENS_PER_EVENT) * UNITS_PER_TOKEN;
    let prefix = draw % 192;
    let request = QueueRequest {
        key: (
            WorkTarget::new(UpstreamKind::Model, MODEL.to_owned()),
            format!("workspace-{workspace}"),
        ),
        cost_hint: cost,
        prefix: Some(prefix),
        avoid: None,
        number: None,
        prompt: Some(PromptSummary {
            prefix: Some(prefix),
            shared: PROMPT.0,
            own: PROMPT.1,
            target_ms: TARGET_MS,
            cost,
        }),
    };
    let arrived = Instant::now();
    let granted = queue.enqueue(request).wait(arrived + QUEUE_TIME).await;
    let waited = u64::try_from(arrived.elapsed().as_micros()).unwrap_or(LONGEST_US);
    {
        let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
        times.waits.saturating_record(waited.clamp(1, LONGEST_US));
        times.granted += u64::from(granted.is_ok());
        times.expired += u64::from(granted.is_err());
    }
    if let Ok(lease) = granted {
        relay_stream(&queue, lease, draw).await;
    }
}

async fn relay_stream(queue: &SharedQueue, mut lease: SlotLease, draw: u64) {
    lease.mark_used(u64::from(PROMPT.1) * UNITS_PER_TOKEN);
    tokio::time::sleep(FIRST_EVENT).await;
    let suspects = RequestSuspects { request: draw, parts: &[draw % 4, draw % 192] };
    queue.record_answer(suspects, AnswerProgress::Begun);
    queue.record_answer(suspects, AnswerProgress::Sound);
    if let Some(software) = &lease.route().software {
        let origin = StreamOrigin { service: MODEL.to_owned(), software: software.clone() };
        for key in [draw, draw.rotate_left(32)] {
            queue.book().record_origin(key, Some(&origin), PATIENCE);
        }
    }
    lease.slot().meter.set_first_token(Instant::now());
    for _ in 0..EVENTS {
        lease.slot().meter.charge(TOKENS_PER_EVENT * UNITS_PER_TOKEN);
        tokio::time::sleep(EVENT_GAP).await;
    }
    lease.finish(LeaseEnd::Finished);
}
