//! Health checks of upstreams while no dispatcher answers.

use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
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
const ANSWER_LIMIT: usize = 16 << 10;

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
}

/// Results of health checks.
#[derive(Debug, Default)]
pub struct HealthProbe {
    records: Mutex<SortedMap<String, ProbeRecord>>,
}

impl HealthProbe {
    /// No checks yet.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
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
        self.records().get(&upstream.name).is_some_and(|record| {
            record.incarnation == upstream.incarnation
                && record.good.is_some_and(|good| good.elapsed() < PROBE_LIFETIME)
        })
    }

    /// Checks the upstreams that are due, beside the calling task.
    pub fn check_due<'a>(
        self: &Arc<Self>,
        upstreams: impl IntoIterator<Item = &'a UpstreamAnnouncement>,
    ) {
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
            let good = held.filter(|held| held.incarnation == incarnation).and_then(|h| h.good);
            let record = ProbeRecord { incarnation, begun: now, running: true, good };
            records.insert(upstream.name.clone(), record);
            drop(records);
            let (probe, upstream) = (Arc::clone(self), upstream.clone());
            tokio::spawn(async move { probe.check(upstream, now).await });
        }
    }

    /// A good check counts from its beginning, when the answer was not given yet.
    async fn check(&self, upstream: UpstreamAnnouncement, begun: Instant) {
        let result = tokio::time::timeout(PROBE_TIMEOUT, ask(&upstream)).await;
        let answer = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let mut records = self.records();
        let Some(record) = records.get_mut(&upstream.name) else { return };
        if record.incarnation != upstream.incarnation || record.begun != begun {
            return;
        }
        record.running = false;
        match answer {
            Ok(answer) if answer.incarnation == upstream.incarnation && !answer.leaving => {
                record.good = Some(begun);
            }
            Ok(_) => record.good = None,
            Err(reason) => {
                record.good = None;
                log::debug!(upstream = upstream.name.as_str(); "health check failed: {reason}");
            }
        }
    }
}

async fn ask(upstream: &UpstreamAnnouncement) -> Result<HealthAnswer, String> {
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
        let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await;
        let bytes = body.map_err(|error| error.to_string())?.to_bytes();
        serde_json::from_slice(&bytes).map_err(|error| error.to_string())
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
