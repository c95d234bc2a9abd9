//! Periodic announcements that a simulated upstream sends to routers or controllers.

use crate::upstream_state::UpstreamState;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::messages::{ANNOUNCE_PATH, UpstreamWithdrawal, WITHDRAW_PATH};
use bytes::Bytes;
use http::Method;
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;

/// Timeout of one announcement attempt; after it the next address is tried.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Destinations, credential and schedule of an upstream's announcements.
#[derive(Clone, Debug)]
pub struct AnnounceOptions {
    /// Addresses of routers or controllers. The one that accepted last is tried first, then the
    /// others in order.
    pub addresses: Vec<SocketAddr>,
    /// Bearer token that routers and controllers accept from upstreams.
    pub token: String,
    /// Time between announcements.
    pub interval: Duration,
    /// How old the reported load is, to simulate stale reports; zero reports the current load.
    pub report_lag: Duration,
}

impl AnnounceOptions {
    /// Options that announce every second and report the current load.
    pub fn new(addresses: Vec<SocketAddr>, token: impl Into<String>) -> Self {
        Self {
            addresses,
            token: token.into(),
            interval: Duration::from_secs(1),
            report_lag: Duration::ZERO,
        }
    }
}

/// Sends the announcements and the withdrawal of one upstream.
#[derive(Debug)]
pub struct Announcer {
    options: AnnounceOptions,
    template: UpstreamAnnouncement,
    state: Arc<UpstreamState>,
    peers: Mutex<Vec<Arc<PeerClient>>>,
    preferred: AsyncMutex<usize>,
    sequence: AtomicU64,
    accepted: AtomicU64,
    samples: Mutex<VecDeque<(Instant, u32)>>,
}

impl Announcer {
    /// Creates an announcer that sends `template` with the sequence, load and leaving flag filled
    /// in for each announcement.
    pub fn new(
        options: AnnounceOptions,
        template: UpstreamAnnouncement,
        state: Arc<UpstreamState>,
    ) -> Self {
        let announcer = Self {
            template,
            state,
            peers: Mutex::default(),
            preferred: AsyncMutex::new(0),
            sequence: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            samples: Mutex::default(),
            options,
        };
        announcer.set_addresses(&announcer.options.addresses);
        announcer
    }

    /// Replaces the announce addresses, for example after the fleet restarted on other ports.
    pub fn set_addresses(&self, addresses: &[SocketAddr]) {
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) =
            addresses.iter().map(|address| Arc::new(PeerClient::new(*address))).collect();
    }

    /// Number of announcements that a router or controller has accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Announces at the configured interval until the future is dropped. Failures are logged and
    /// the next interval tries again.
    pub async fn run(&self) {
        let mut interval = tokio::time::interval(self.options.interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if let Err(error) = self.announce().await {
                log::debug!(upstream = self.template.name.as_str(); "announcement failed: {error}");
            }
        }
    }

    /// Sends one announcement; returns the last error when no address accepts it.
    pub async fn announce(&self) -> Result<(), PeerError> {
        let message = UpstreamAnnouncement {
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            leaving: self.state.is_leaving(),
            running: Some(self.lagged_load()),
            ..self.template.clone()
        };
        self.send(ANNOUNCE_PATH, &message).await?;
        self.accepted.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Withdraws this incarnation, so that it is deregistered before its announcement expires.
    pub async fn withdraw(&self) -> Result<(), PeerError> {
        let message = UpstreamWithdrawal {
            name: self.template.name.clone(),
            incarnation: self.template.incarnation,
        };
        self.send(WITHDRAW_PATH, &message).await
    }

    /// Sends to the address that accepted the last message and, if that fails, to each other
    /// address in turn.
    async fn send<Q: Serialize>(&self, path: &str, message: &Q) -> Result<(), PeerError> {
        let body = Bytes::from(serde_json::to_vec(message).unwrap_or_default());
        let mut preferred = self.preferred.lock().await;
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut last_error = PeerError::Unreachable {
            address: self.template.address,
            reason: "no announce address is configured".to_owned(),
        };
        for offset in 0..peers.len() {
            let index = (*preferred + offset) % peers.len();
            let call = peers[index].send(
                Method::POST,
                path,
                &self.options.token,
                "application/json",
                body.clone(),
                ANNOUNCE_TIMEOUT,
            );
            match call.await {
                Ok(_) => {
                    *preferred = index;
                    return Ok(());
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Returns the number of running requests `report_lag` ago, or 0 when no sample is that old.
    fn lagged_load(&self) -> u32 {
        let now = Instant::now();
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.push_back((now, self.state.running()));
        let old_enough =
            |sample: &(Instant, u32)| now.duration_since(sample.0) >= self.options.report_lag;
        while samples.get(1).is_some_and(old_enough) {
            samples.pop_front();
        }
        samples.front().filter(|sample| old_enough(sample)).map_or(0, |sample| sample.1)
    }
}
