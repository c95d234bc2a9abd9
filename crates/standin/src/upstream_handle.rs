//! Starts, drains and kills a simulated upstream.

use crate::announcer::{AnnounceOptions, Announcer};
use crate::answer_body::AnswerBody;
use crate::faults::FaultSwitch;
use crate::upstream_state::{ExecutionRecord, UpstreamCounters, UpstreamState};
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind};
use baobabfall_node::http_server::{ServerLimits, serve};
use baobabfall_node::stop_signal::{StopPhase, StopSender, stop_channel};
use http::{Request, Response};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tower::Service;

/// Software version that stand-in upstreams announce.
pub const SOFTWARE: &str = env!("CARGO_PKG_VERSION");

/// Interval at which a draining upstream checks whether requests are still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Options that model engines and plain services share.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Upstream name, unique in the fleet.
    pub name: String,
    /// Incarnation number; must increase with each restart under the same name.
    pub incarnation: u64,
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Name of the pool; `None` for the default pool.
    pub pool: Option<String>,
    /// Maximum number of requests that run at once.
    pub concurrency: u32,
    /// Concurrency to announce if it differs from the real one, to simulate a wrong announcement.
    pub announced_concurrency: Option<u32>,
    /// Maximum number of requests waiting for a slot; further requests are refused.
    pub queue: u32,
    /// Seed of the fault draws.
    pub seed: u64,
    /// Whether to keep a record of each execution in memory; disable for long runs.
    pub record_executions: bool,
    /// How long a leaving upstream still accepts requests before it refuses them.
    pub leave_grace: Duration,
    /// Announcement options; `None` sends no announcements.
    pub announce: Option<AnnounceOptions>,
}

impl UpstreamOptions {
    /// Options of an upstream on a free loopback port, without announcements.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            incarnation: 1,
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            zone: "zone-a".to_owned(),
            pool: None,
            concurrency: 8,
            announced_concurrency: None,
            queue: 4,
            seed: 1,
            record_executions: true,
            leave_grace: Duration::from_secs(3),
            announce: None,
        }
    }
}

/// Announced properties that differ between model engines and plain services.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamTraits {
    pub kind: UpstreamKind,
    pub serves: Vec<String>,
    pub honours_fencing: bool,
    pub resume: bool,
    pub cancel: bool,
}

/// A running simulated upstream; dropping the handle kills it.
#[derive(Debug)]
pub struct UpstreamHandle {
    address: SocketAddr,
    leave_grace: Duration,
    state: Arc<UpstreamState>,
    announcer: Option<Arc<Announcer>>,
    announce_task: Option<JoinHandle<()>>,
    stop: StopSender,
    server: Option<JoinHandle<()>>,
}

impl UpstreamOptions {
    pub(crate) fn state(&self) -> Arc<UpstreamState> {
        Arc::new(UpstreamState::new(
            self.incarnation,
            self.concurrency,
            self.queue,
            self.record_executions,
            self.seed,
        ))
    }

    fn announcement(&self, traits: UpstreamTraits, address: SocketAddr) -> UpstreamAnnouncement {
        UpstreamAnnouncement {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: 0,
            address,
            kind: traits.kind,
            serves: traits.serves,
            zone: self.zone.clone(),
            concurrency: self.announced_concurrency.unwrap_or(self.concurrency),
            pool: self.pool.clone(),
            honours_fencing: traits.honours_fencing,
            resume: traits.resume,
            cancel: traits.cancel,
            leaving: false,
            running: None,
            software: SoftwareVersion::parse(SOFTWARE),
            cold_ms: None,
        }
    }
}

impl UpstreamHandle {
    pub(crate) async fn start<S>(
        options: UpstreamOptions,
        traits: UpstreamTraits,
        state: Arc<UpstreamState>,
        service: S,
    ) -> std::io::Result<Self>
    where
        S: Service<Request<Incoming>, Response = Response<AnswerBody>, Error = Infallible>,
        S: Clone + Send + 'static,
        S::Future: Send + 'static,
    {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let announcement = options.announcement(traits, address);
        let (stop, signal) = stop_channel();
        let server = tokio::spawn(serve(listener, service, ServerLimits::default(), signal));
        let announcer = options
            .announce
            .map(|announce| Arc::new(Announcer::new(announce, announcement, Arc::clone(&state))));
        let announce_task =
            announcer.clone().map(|announcer| tokio::spawn(async move { announcer.run().await }));
        Ok(Self {
            address,
            leave_grace: options.leave_grace,
            state,
            announcer,
            announce_task,
            stop,
            server: Some(server),
        })
    }

    /// Address on which the upstream listens, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Incarnation number that the upstream announces.
    pub fn incarnation(&self) -> u64 {
        self.state.incarnation
    }

    /// Switch that sets the injected faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }

    /// State shared by the upstream's tasks.
    pub fn state(&self) -> &Arc<UpstreamState> {
        &self.state
    }

    /// Current values of the counters.
    pub fn counters(&self) -> UpstreamCounters {
        self.state.counters()
    }

    /// All executions in the order in which they started, unless recording is off.
    pub fn execution_records(&self) -> Vec<ExecutionRecord> {
        self.state.executions()
    }

    /// Number of executions per request id, from the execution records.
    pub fn executions(&self) -> SortedMap<String, u32> {
        count_occurrences(self.state.executions().into_iter().map(|record| record.request_id))
    }

    /// Number of executions per idempotency key, from the execution records.
    pub fn executions_by_key(&self) -> SortedMap<String, u32> {
        count_occurrences(self.state.executions().into_iter().filter_map(|record| record.key))
    }

    /// Number of accepted announcements; zero if the upstream sends none.
    pub fn announcements_accepted(&self) -> u64 {
        self.announcer.as_ref().map_or(0, |announcer| announcer.accepted())
    }

    /// Replaces the announce addresses; has no effect if the upstream sends no announcements.
    pub fn set_announce_addresses(&self, addresses: &[SocketAddr]) {
        if let Some(announcer) = &self.announcer {
            announcer.set_addresses(addresses);
        }
    }

    /// Marks the upstream as leaving and announces it once; requests are still served.
    pub async fn leave(&self) {
        self.state.leave();
        if let Some(announcer) = &self.announcer {
            let _ = announcer.announce().await;
        }
    }

    /// Shuts down gracefully: leaves, waits for `leave_grace`, refuses new requests, finishes
    /// those in progress, withdraws its announcement and stops the server.
    pub async fn drain(&mut self) {
        self.leave().await;
        tokio::time::sleep(self.leave_grace).await;
        self.state.close();
        while self.state.in_progress() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        if let Some(task) = self.announce_task.take() {
            task.abort();
        }
        if let Some(announcer) = &self.announcer {
            let _ = announcer.withdraw().await;
        }
        self.stop.advance(StopPhase::Draining);
        if let Some(server) = self.server.take() {
            let _ = server.await;
        }
    }

    /// Closes all connections and aborts all requests at once, without a withdrawal.
    pub fn kill(&mut self) {
        if let Some(task) = self.announce_task.take() {
            task.abort();
        }
        self.stop.advance(StopPhase::Stopped);
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

fn count_occurrences(names: impl Iterator<Item = String>) -> SortedMap<String, u32> {
    let mut names: Vec<String> = names.collect();
    names.sort_unstable();
    let groups = names.chunk_by(|a, b| a == b);
    groups.map(|group| (group[0].clone(), u32::try_from(group.len()).unwrap_or(u32::MAX))).collect()
}
