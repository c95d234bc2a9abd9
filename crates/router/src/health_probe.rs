//! Health checks of upstreams: those in use for long, and all that may get
//! work while no dispatcher answers.

use baobabfall_core::dispatch_messages::UpstreamRoute;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request};
use http_body_util::{BodyExt, Collected, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time between two checks of one upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a check must be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a good check counts. With the interval and the time of a check it
/// stays below the 3 s after which a leaving upstream gets no new work.
const PROBE_LIFETIME: Duration = Duration::from_millis(2000);
/// Unanswered checks in a row after which an upstream counts as dead.
const DEAD_FAILURES: u32 = 3;
/// How often a waiting request looks at the checks of its upstream.
pub const LIVENESS_INTERVAL: Duration = Duration::from_millis(500);
const ANSWER_LIMIT: usize = 16 << 10;

/// An upstream to check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Name of the upstream.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

impl From<&UpstreamAnnouncement> for ProbeTarget {
    fn from(upstream: &UpstreamAnnouncement) -> Self {
        let UpstreamAnnouncement { name, incarnation, address, .. } = upstream;
        Self { name: name.clone(), incarnation: *incarnation, address: *address }
    }
}

impl From<&UpstreamRoute> for ProbeTarget {
    fn from(route: &UpstreamRoute) -> Self {
        let UpstreamRoute { name, incarnation, address, .. } = route;
        Self { name: name.clone(), incarnation: *incarnation, address: *address }
    }
}

/// What a check found.
enum ProbeResult {
    Healthy,
    /// It runs, but takes no new work or does not say so in the known form.
    Running,
    Restarted,
    Silent(String),
}

#[derive(Deserialize)]
struct HealthAnswer {
    incarnation: u64,
    leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct ProbeRecord {
    incarnation: u64,
    begun: Instant,
    running: bool,
    good: Option<Instant>,
    failures: u32,
}

/// Results of health checks.
#[derive(Debug, Default)]
pub struct HealthProbe {
    /// True when announcements are trusted and no health check is sent.
    passive: bool,
    records: Mutex<SortedMap<String, ProbeRecord>>,
}

impl HealthProbe {
    /// No checks yet.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Sends no health checks and takes every announced upstream as good, for
    /// sites whose upstreams count them as work.
    pub fn passive() -> Arc<Self> {
        Arc::new(Self { passive: true, ..Self::default() })
    }

    fn records(&self) -> MutexGuard<'_, SortedMap<String, ProbeRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets every result.
    pub fn clear(&self) {
        self.records().clear();
    }

    /// True when a recent check found the upstream running and staying.
    pub fn is_good(&self, upstream: &UpstreamAnnouncement) -> bool {
        self.passive
            || self.records().get(&upstream.name).is_some_and(|record| {
                record.incarnation == upstream.incarnation
                    && record.good.is_some_and(|good| good.elapsed() < PROBE_LIFETIME)
            })
    }

    /// True when the upstream left several checks unanswered or restarted, so
    /// that what it ran is lost.
    pub fn is_dead(&self, name: &str, incarnation: u64) -> bool {
        self.records().get(name).is_some_and(|record| {
            record.incarnation == incarnation && record.failures >= DEAD_FAILURES
        })
    }

    /// Waits until the upstream is dead.
    pub async fn wait_until_dead(&self, name: &str, incarnation: u64) {
        while !self.is_dead(name, incarnation) {
            tokio::time::sleep(LIVENESS_INTERVAL).await;
        }
    }

    /// Checks the upstreams that are due, beside the calling task.
    pub fn check_due(self: &Arc<Self>, upstreams: impl IntoIterator<Item = ProbeTarget>) {
        if self.passive {
            return;
        }
        let now = Instant::now();
        for upstream in upstreams {
            let mut records = self.records();
            let held = records.get(&upstream.name).copied();
            let due = held.is_none_or(|held| {
                held.incarnation != upstream.incarnation
                    || (!held.running && now.duration_since(held.begun) >= PROBE_INTERVAL)
            });
            if !due {
                continue;
            }
            let incarnation = upstream.incarnation;
            let held = held.filter(|held| held.incarnation == incarnation);
            let good = held.and_then(|held| held.good);
            let failures = held.map_or(0, |held| held.failures);
            let record = ProbeRecord { incarnation, begun: now, running: true, good, failures };
            records.insert(upstream.name.clone(), record);
            drop(records);
            let probe = Arc::clone(self);
            tokio::spawn(async move { probe.check(upstream, now).await });
        }
    }

    /// A good check counts from its beginning, when the answer was not given yet.
    async fn check(&self, upstream: ProbeTarget, begun: Instant) {
        let result = tokio::time::timeout(PROBE_TIMEOUT, ask(&upstream)).await;
        let result = result.unwrap_or_else(|_| ProbeResult::Silent("no answer in time".to_owned()));
        let mut records = self.records();
        let Some(record) = records.get_mut(&upstream.name) else { return };
        if record.incarnation != upstream.incarnation || record.begun != begun {
            return;
        }
        record.running = false;
        record.good = matches!(result, ProbeResult::Healthy).then_some(begun);
        record.failures = match result {
            ProbeResult::Healthy | ProbeResult::Running => 0,
            ProbeResult::Restarted => DEAD_FAILURES,
            ProbeResult::Silent(reason) => {
                log::debug!(upstream = upstream.name.as_str(); "health check failed: {reason}");
                record.failures.saturating_add(1)
            }
        };
    }
}

async fn ask(upstream: &ProbeTarget) -> ProbeResult {
    match exchange(upstream).await {
        Err(reason) => ProbeResult::Silent(reason),
        Ok(body) => match serde_json::from_slice::<HealthAnswer>(&body) {
            Ok(answer) if answer.incarnation != upstream.incarnation => ProbeResult::Restarted,
            Ok(answer) if !answer.leaving => ProbeResult::Healthy,
            _ => ProbeResult::Running,
        },
    }
}

async fn exchange(upstream: &ProbeTarget) -> Result<Bytes, String> {
    let stream = TcpStream::connect(upstream.address).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    let request = Request::builder()
        .method(Method::GET)
        .uri("/health")
        .header(HOST, upstream.address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        // The head of any answer shows that the upstream runs.
        let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await;
        Ok(body.map(Collected::to_bytes).unwrap_or_default())
    };
    let mut connection = std::pin::pin!(connection);
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        answer = &mut exchange => answer,
        result = &mut connection => match result {
            // The answer may have been read in full before the connection ended.
            Ok(()) => exchange.await,
            Err(error) => Err(error.to_string()),
        },
    }
}
