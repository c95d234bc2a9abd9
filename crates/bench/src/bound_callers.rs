//! Callers of one workspace, which a load balancer binds to one router or spreads over several.

use crate::exchange_scene::{
    EVENTS, ExchangeScene, HOST_NAME, KEY, PATH, REQUEST_ID, RETRY_MS, WAIT_MS,
};
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time in which a connection must be established.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time in which the head of an answer must arrive; the caller then gives the attempt up.
const HEAD_LIMIT: Duration = Duration::from_millis(1_700);
/// Time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Attempts of one request.
const ATTEMPTS: u32 = 2;
/// Bytes of a request's body.
const BODY_BYTES: usize = 4_600;
/// Interval of the readiness checks, and misses in a row that take a router out of rotation.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const CHECK_MISSES: u32 = 2;
/// Idle connections that the callers of a workspace keep for each router.
const IDLE_LIMIT: usize = 600;

/// How callers use connections and when they return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerHabit {
    /// Keeps connections for further requests; returns at the time that a refusal names.
    KeepsConnections,
    /// Opens a connection for each attempt and returns at once.
    ReturnsAtOnce,
    /// Opens a connection for each attempt; returns at the time that a refusal names.
    ReturnsInTime,
}

/// What became of requests and attempts.
#[derive(Debug, Default)]
pub struct CallTally {
    /// Requests sent.
    pub asked: AtomicU64,
    /// Requests answered completely.
    pub answered: AtomicU64,
    /// Answered requests whose first event came within the objective.
    pub in_time: AtomicU64,
    /// Attempts that were refused.
    pub refused: AtomicU64,
    /// Attempts whose connection ended without an answer.
    pub cut: AtomicU64,
    /// Attempts without a connection.
    pub unconnected: AtomicU64,
    /// Answers that broke off.
    pub broken: AtomicU64,
}

/// Picks the routers in rotation, as a load balancer does that checks readiness.
#[derive(Debug)]
pub struct LoadBalancer {
    addresses: Vec<SocketAddr>,
    in_rotation: Mutex<Vec<bool>>,
}

impl LoadBalancer {
    /// All routers are in rotation.
    pub fn new(scene: &ExchangeScene) -> Arc<Self> {
        let addresses = scene.addresses();
        let in_rotation = Mutex::new(vec![true; addresses.len()]);
        Arc::new(Self { addresses, in_rotation })
    }

    /// Checks the readiness of all routers again and again. Never returns.
    pub async fn check(&self, scene: &ExchangeScene) {
        let mut misses = vec![0; self.addresses.len()];
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let ready = scene.readiness();
            let mut in_rotation = self.in_rotation.lock().unwrap_or_else(PoisonError::into_inner);
            for (index, ready) in ready.into_iter().enumerate() {
                misses[index] = if ready { 0 } else { misses[index] + 1 };
                in_rotation[index] = misses[index] < CHECK_MISSES;
            }
        }
    }

    /// The first router in rotation from `index` on.
    fn route(&self, index: usize) -> SocketAddr {
        let count = self.addresses.len();
        let in_rotation = self.in_rotation.lock().unwrap_or_else(PoisonError::into_inner);
        let turn = (0..count).map(|step| (index + step) % count).find(|index| in_rotation[*index]);
        self.addresses[turn.unwrap_or(index)]
    }
}

/// Requests of one workspace.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Key of the workspace.
    pub key: String,
    /// Requests a second; they arrive at random times.
    pub rate: f64,
    /// Routers that the load balancer uses for its callers, by index.
    pub routers: std::ops::Range<usize>,
    /// How its callers behave.
    pub habit: CallerHabit,
    /// Seed of the arrivals.
    pub seed: u64,
}

enum AttemptEnd {
    Answered { first: Duration },
    Refused { wait: Duration },
    Cut,
    Unconnected,
    Broken,
}

struct CallerGroup {
    plan: CallPlan,
    balancer: Arc<LoadBalancer>,
    tally: Arc<CallTally>,
    idle: Mutex<Vec<(SocketAddr, SendRequest<Full<Bytes>>)>>,
    sent: AtomicUsize,
    body: Bytes,
}

/// Sends requests by `plan` until the task is dropped.
pub async fn play_calls(plan: CallPlan, balancer: Arc<LoadBalancer>, tally: Arc<CallTally>) {
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let rate = plan.rate;
    let count = plan.routers.len();
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let group = Arc::new(CallerGroup {
        plan,
        balancer,
        tally,
        idle: Mutex::default(),
        sent: AtomicUsize::new(0),
        body,
    });
    let mut due = Instant::now();
    loop {
        let pause = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        due += Duration::from_secs_f64(pause);
        tokio::time::sleep_until(due).await;
        let router = group.plan.routers.start + random.random_range(0..count);
        tokio::spawn(call(Arc::clone(&group), router));
    }
}

async fn call(group: Arc<CallerGroup>, router: usize) {
    let tally = &group.tally;
    tally.asked.fetch_add(1, Ordering::Relaxed);
    let number = group.sent.fetch_add(1, Ordering::Relaxed);
    let started = Instant::now();
    for attempt in 0..ATTEMPTS {
        let id = format!("{}-{number}-{attempt}", group.plan.key);
        let sent = group.attempt(router, &id, attempt, started);
        let Ok(end) = tokio::time::timeout_at(started + PATIENCE, sent).await else { return };
        let (count, wait) = match end {
            AttemptEnd::Answered { first } => {
                tally.answered.fetch_add(1, Ordering::Relaxed);
                if first <= Duration::from_millis(crate::exchange_scene::OBJECTIVE_MS) {
                    tally.in_time.fetch_add(1, Ordering::Relaxed);
                }
                return;
            }
            AttemptEnd::Refused { wait } => (&tally.refused, wait),
            AttemptEnd::Cut => (&tally.cut, Duration::ZERO),
            AttemptEnd::Unconnected => (&tally.unconnected, Duration::ZERO),
            AttemptEnd::Broken => (&tally.broken, Duration::ZERO),
        };
        count.fetch_add(1, Ordering::Relaxed);
        if group.plan.habit != CallerHabit::ReturnsAtOnce {
            tokio::time::sleep(wait).await;
        }
    }
}

impl CallerGroup {
    async fn attempt(&self, router: usize, id: &str, attempt: u32, started: Instant) -> AttemptEnd {
        let address = self.balancer.route(router);
        let kept = match self.plan.habit == CallerHabit::KeepsConnections && attempt == 0 {
            true => self.take_idle(address),
            false => None,
        };
        let mut sender = match kept {
            Some(sender) => sender,
            None => match tokio::time::timeout(CONNECT_LIMIT, connect(address)).await {
                Ok(Some(sender)) => sender,
                _ => return AttemptEnd::Unconnected,
            },
        };
        let sent = sender.send_request(self.request(id));
        let response = match tokio::time::timeout(HEAD_LIMIT, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) | Err(_) => return AttemptEnd::Cut,
        };
        if !response.status().is_success() {
            let wait = response.headers().get(RETRY_MS).and_then(|value| value.to_str().ok());
            let wait = wait.and_then(|value| value.parse().ok()).map_or(0, |wait: u64| wait);
            let _ = response.into_body().collect().await;
            self.keep(address, sender);
            return AttemptEnd::Refused { wait: Duration::from_millis(wait) };
        }
        let mut body = response.into_body();
        let mut events = 0;
        let mut first = None;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return AttemptEnd::Broken };
            let Some(data) = frame.data_ref() else { continue };
            first.get_or_insert_with(|| started.elapsed());
            events += data.windows(2).filter(|pair| pair == b"\n\n").count();
        }
        if events != EVENTS {
            return AttemptEnd::Broken;
        }
        self.keep(address, sender);
        AttemptEnd::Answered { first: first.unwrap_or_default() }
    }

    fn request(&self, id: &str) -> Request<Full<Bytes>> {
        Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .header(HOST, HOST_NAME)
            .header(REQUEST_ID, id)
            .header(KEY, &self.plan.key)
            .header(WAIT_MS, PATIENCE.as_millis().to_string())
            .body(Full::new(self.body.clone()))
            .expect("paths and ids of the bench are valid in HTTP")
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, sender)| !sender.is_closed());
        let index = idle.iter().position(|(held, sender)| *held == address && sender.is_ready())?;
        Some(idle.swap_remove(index).1)
    }

    fn keep(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        if self.plan.habit != CallerHabit::KeepsConnections || sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_LIMIT {
            idle.push((address, sender));
        }
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
