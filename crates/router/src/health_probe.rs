//! Active health checks of upstreams: those with long-running requests and, in
//! local mode, all that may receive requests.

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

/// Interval between two checks of one upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a check must be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a successful check is valid. Together with the check interval and
/// timeout this stays below 3 s, after which a leaving upstream must get no new work.
const PROBE_LIFETIME: Duration = Duration::from_millis(2000);
/// Consecutive failed checks after which an upstream is considered dead.
const DEAD_FAILURES: u32 = 3;
/// How often a waiting request looks at the health of its upstream.
pub const LIVENESS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a health answer.
const ANSWER_LIMIT_BYTES: usize = 16 << 10;

/// An upstream to be checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Incarnation that is expected; another one means that the upstream restarted.
    pub incarnation: u64,
    /// Address on which the upstream listens.
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

/// Result of a health check.
enum ProbeResult {
    Healthy,
    /// The upstream runs, but is leaving or its answer has an unknown format.
    Running,
    Restarted,
    /// The check failed, for example because of a timeout.
    Unanswered(String),
}

#[derive(Deserialize)]
struct HealthAnswer {
    incarnation: u64,
    leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct ProbeRecord {
    incarnation: u64,
    started: Instant,
    /// True while a check is in progress.
    in_progress: bool,
    /// Start of the last completed check, if it found the upstream healthy.
    healthy_at: Option<Instant>,
    /// Consecutive failed checks.
    failures: u32,
}

/// Runs health checks and keeps their latest results by upstream name.
#[derive(Debug, Default)]
pub struct HealthProbe {
    /// True if announcements are trusted and no health check is sent.
    disabled: bool,
    records: Mutex<SortedMap<String, ProbeRecord>>,
}

impl HealthProbe {
    /// Creates a probe without any results.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Creates a probe that sends no health checks and considers every announced
    /// upstream healthy, for sites whose upstreams count health checks as requests.
    pub fn disabled() -> Arc<Self> {
        Arc::new(Self { disabled: true, ..Self::default() })
    }

    fn records(&self) -> MutexGuard<'_, SortedMap<String, ProbeRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discards all results.
    pub fn clear(&self) {
        self.records().clear();
    }

    /// True if a recent check found this incarnation running and not leaving.
    pub fn is_healthy(&self, upstream: &UpstreamAnnouncement) -> bool {
        self.disabled
            || self.records().get(&upstream.name).is_some_and(|record| {
                record.incarnation == upstream.incarnation
                    && record
                        .healthy_at
                        .is_some_and(|healthy_at| healthy_at.elapsed() < PROBE_LIFETIME)
            })
    }

    /// True if several consecutive checks of the upstream failed or it restarted, so
    /// that the requests it was running are lost.
    pub fn is_dead(&self, name: &str, incarnation: u64) -> bool {
        self.records().get(name).is_some_and(|record| {
            record.incarnation == incarnation && record.failures >= DEAD_FAILURES
        })
    }

    /// Waits until [`Self::is_dead`] is true for the upstream.
    pub async fn wait_until_dead(&self, name: &str, incarnation: u64) {
        while !self.is_dead(name, incarnation) {
            tokio::time::sleep(LIVENESS_INTERVAL).await;
        }
    }

    /// Starts a check of each upstream that is due, each in its own task. An upstream
    /// is due one interval after the start of its last check, once that has ended.
    pub fn check_due(self: &Arc<Self>, upstreams: impl IntoIterator<Item = ProbeTarget>) {
        if self.disabled {
            return;
        }
        let now = Instant::now();
        for upstream in upstreams {
            let mut records = self.records();
            let held = records.get(&upstream.name).copied();
            let due = held.is_none_or(|held| {
                held.incarnation != upstream.incarnation
                    || (!held.in_progress && now.duration_since(held.started) >= PROBE_INTERVAL)
            });
            if !due {
                continue;
            }
            let incarnation = upstream.incarnation;
            let held = held.filter(|held| held.incarnation == incarnation);
            let healthy_at = held.and_then(|held| held.healthy_at);
            let failures = held.map_or(0, |held| held.failures);
            let record =
                ProbeRecord { incarnation, started: now, in_progress: true, healthy_at, failures };
            records.insert(upstream.name.clone(), record);
            drop(records);
            let probe = Arc::clone(self);
            tokio::spawn(async move { probe.check(upstream, now).await });
        }
    }

    /// Runs one check and records the result. The validity of a successful check is
    /// counted from its start, because the upstream may have answered at any time since.
    async fn check(&self, upstream: ProbeTarget, started: Instant) {
        let result = tokio::time::timeout(PROBE_TIMEOUT, run_check(&upstream)).await;
        let result = result.unwrap_or_else(|_| ProbeResult::Unanswered("timed out".to_owned()));
        let mut records = self.records();
        let Some(record) = records.get_mut(&upstream.name) else { return };
        if record.incarnation != upstream.incarnation || record.started != started {
            return;
        }
        record.in_progress = false;
        record.healthy_at = matches!(result, ProbeResult::Healthy).then_some(started);
        record.failures = match result {
            ProbeResult::Healthy | ProbeResult::Running => 0,
            ProbeResult::Restarted => DEAD_FAILURES,
            ProbeResult::Unanswered(reason) => {
                log::debug!(upstream = upstream.name.as_str(); "health check failed: {reason}");
                record.failures.saturating_add(1)
            }
        };
    }
}

async fn run_check(upstream: &ProbeTarget) -> ProbeResult {
    match fetch_health(upstream).await {
        Err(reason) => ProbeResult::Unanswered(reason),
        Ok(body) => match serde_json::from_slice::<HealthAnswer>(&body) {
            Ok(answer) if answer.incarnation != upstream.incarnation => ProbeResult::Restarted,
            Ok(answer) if !answer.leaving => ProbeResult::Healthy,
            _ => ProbeResult::Running,
        },
    }
}

async fn fetch_health(upstream: &ProbeTarget) -> Result<Bytes, String> {
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
        // Any answer head shows that the upstream runs, so a failed read of the body
        // does not fail the check.
        let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await;
        Ok(body.map(Collected::to_bytes).unwrap_or_default())
    };
    let mut connection = std::pin::pin!(connection);
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        answer = &mut exchange => answer,
        result = &mut connection => match result {
            // The answer may have been received completely before the connection closed.
            Ok(()) => exchange.await,
            Err(error) => Err(error.to_string()),
        },
    }
}
