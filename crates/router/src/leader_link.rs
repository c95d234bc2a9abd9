//! Connections to the controllers, and tracking of their current leader.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::codec::{decode, encode};
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::frame_channel::FrameChannel;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::node_metrics::NodeMetrics;
use http::Method;
use opentelemetry::KeyValue;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Number of connections above which those to non-members are closed.
const CLIENT_LIMIT: usize = 16;

/// Connections to the controllers, their addresses and the presumed leader.
#[derive(Debug)]
pub struct LeaderLink {
    /// Controller addresses from the settings.
    seeds: Mutex<Vec<SocketAddr>>,
    state: Mutex<LinkState>,
    /// Notified when a controller names a leader of a higher term.
    elected: Notify,
    token: CredentialFile,
    metrics: NodeMetrics,
}

#[derive(Debug)]
struct LinkState {
    /// Group members as last reported by a controller; empty before the first report.
    members: Vec<SocketAddr>,
    /// Highest term in which a controller named a leader.
    term: u64,
    /// The presumed leader, which is tried next.
    leader: SocketAddr,
    /// The leader that a controller named last.
    named: SocketAddr,
    clients: SortedMap<SocketAddr, Arc<PeerClient>>,
}

impl LeaderLink {
    /// Creates a link to the controllers at `addresses`, which must not be empty.
    pub fn new(addresses: Vec<SocketAddr>, token: CredentialFile, metrics: NodeMetrics) -> Self {
        let leader = addresses[0];
        let members = Vec::new();
        let state = Mutex::new(LinkState {
            members,
            term: 0,
            leader,
            named: leader,
            clients: SortedMap::new(),
        });
        Self { seeds: Mutex::new(addresses), state, elected: Notify::new(), token, metrics }
    }

    /// Addresses of all known controllers: reported members first, then addresses
    /// that only the settings name.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut all = self.state().members.clone();
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        for seed in seeds.iter() {
            if !all.contains(seed) {
                all.push(*seed);
            }
        }
        all
    }

    /// Addresses of the group members as last reported; those of the settings before that.
    pub fn members(&self) -> Vec<SocketAddr> {
        let members = self.state().members.clone();
        if members.is_empty() { self.addresses() } else { members }
    }

    /// Highest term in which a controller named a leader; 0 before the first.
    pub fn leader_term(&self) -> u64 {
        self.state().term
    }

    /// Replaces the addresses from the settings after the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Records the group members reported by a controller in `term`. Reports of a
    /// lower term are ignored, because a controller that lags behind may not know
    /// members that joined later.
    pub fn set_members(&self, term: u64, members: Vec<SocketAddr>) {
        let mut state = self.state();
        if !members.is_empty() && term >= state.term {
            if state.clients.len() > CLIENT_LIMIT {
                state.clients.retain(|address, _| members.contains(address));
            }
            state.members = members;
        }
    }

    /// Records the group members and the leader that a process named which is not a member. Its
    /// knowledge may be old, so it counts only while this link knows no member, or a lower term.
    pub fn learn_group(&self, term: u64, leader: Option<SocketAddr>, members: Vec<SocketAddr>) {
        let is_news = {
            let state = self.state();
            state.members.is_empty() || term > state.term
        };
        if is_news {
            self.set_members(term, members);
            leader.into_iter().for_each(|leader| self.set_leader(term, leader));
        }
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address of the presumed leader.
    pub fn leader(&self) -> SocketAddr {
        self.state().leader
    }

    /// Records the leader that a controller named in `term`, unless a leader of a
    /// higher term is already known.
    pub fn set_leader(&self, term: u64, leader: SocketAddr) {
        let mut state = self.state();
        if term > state.term {
            self.elected.notify_waiters();
        }
        if term >= state.term {
            (state.term, state.leader, state.named) = (term, leader, leader);
        }
    }

    /// The leader that a controller named last; unlike [`Self::leader`], no guess.
    pub fn named_leader(&self) -> SocketAddr {
        self.state().named
    }

    /// Waits until a controller names a leader of a higher term.
    pub async fn leader_changed(&self) {
        self.elected.notified().await;
    }

    /// Selects the next controller as presumed leader after a call to `address`
    /// showed that it does not lead or is unreachable.
    pub fn leader_failed(&self, address: SocketAddr) {
        let addresses = self.addresses();
        let mut state = self.state();
        if state.leader == address && !addresses.is_empty() {
            let position = addresses.iter().position(|held| *held == address);
            let next = position.map_or(0, |index| (index + 1) % addresses.len());
            state.leader = addresses[next];
        }
    }

    fn client(&self, address: SocketAddr) -> Arc<PeerClient> {
        let mut state = self.state();
        let make = || Arc::new(PeerClient::new(address));
        Arc::clone(state.clients.get_or_insert_with(address, make))
    }

    /// Sends `message` to one controller and decodes the answer. A message or an
    /// answer that cannot be encoded or decoded counts as an unreachable controller.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let unreachable =
            |reason: String| PeerError::Unreachable { address, reason: reason.to_string() };
        let body = encode(message).map_err(|error| unreachable(error.to_string()))?;
        self.count_bytes("out", body.len());
        let token = self.token.token();
        let client = self.client(address);
        let answer = client
            .send(Method::POST, path, &token, "application/msgpack", body.into(), timeout)
            .await?;
        self.count_bytes("in", answer.len());
        decode(&answer).map_err(|error| unreachable(error.to_string()))
    }

    /// Like [`Self::call`] for the presumed leader. If it is not the leader or is
    /// unreachable, the next controller becomes the presumed leader.
    pub async fn call_leader<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let address = self.leader();
        let result = self.call(address, path, message, timeout).await;
        if let Err(error) = &result
            && matches!(error.kind(), ErrorKind::NotLeader | ErrorKind::PeerUnreachable)
        {
            self.leader_failed(address);
        }
        result
    }

    /// Opens a channel to one controller.
    pub async fn open_channel(
        &self,
        address: SocketAddr,
        path: &str,
        protocol: &'static str,
    ) -> Result<FrameChannel, PeerError> {
        FrameChannel::connect(address, path, protocol, &self.token.token()).await
    }

    /// Counts the bytes of a message to or from a controller.
    pub fn count_bytes(&self, direction: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.metrics.control_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }
}
