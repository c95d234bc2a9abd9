//! Connections to the controllers and the search for their leader.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::codec::{decode, encode};
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::node_metrics::NodeMetrics;
use http::Method;
use opentelemetry::KeyValue;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Connections to the controllers and the address of the presumed leader.
#[derive(Debug)]
pub struct LeaderLink {
    addresses: Vec<SocketAddr>,
    state: Mutex<LinkState>,
    token: CredentialFile,
    metrics: NodeMetrics,
}

#[derive(Debug)]
struct LinkState {
    term: u64,
    leader: SocketAddr,
    clients: SortedMap<SocketAddr, Arc<PeerClient>>,
}

impl LeaderLink {
    /// A link to controllers at `addresses`, of which there is at least one.
    pub fn new(addresses: Vec<SocketAddr>, token: CredentialFile, metrics: NodeMetrics) -> Self {
        let leader = addresses[0];
        let state = Mutex::new(LinkState { term: 0, leader, clients: SortedMap::new() });
        Self { addresses, state, token, metrics }
    }

    /// Addresses of every controller.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Address of the presumed leader.
    pub fn leader(&self) -> SocketAddr {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).leader
    }

    /// Notes the leader that a controller named, unless an answer of a later
    /// term named another one.
    pub fn hint(&self, term: u64, leader: SocketAddr) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if term >= state.term {
            (state.term, state.leader) = (term, leader);
        }
    }

    /// Moves on to the next controller after `address` did not act as leader.
    pub fn leader_failed(&self, address: SocketAddr) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.leader == address {
            let position = self.addresses.iter().position(|held| *held == address);
            let next = position.map_or(0, |index| (index + 1) % self.addresses.len());
            state.leader = self.addresses[next];
        }
    }

    fn client(&self, address: SocketAddr) -> Arc<PeerClient> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let make = || Arc::new(PeerClient::new(address));
        Arc::clone(state.clients.get_or_insert_with(address, make))
    }

    /// Calls one controller.
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
        self.count("out", body.len());
        let token = self.token.token();
        let client = self.client(address);
        let answer = client
            .send(Method::POST, path, &token, "application/msgpack", body.into(), timeout)
            .await?;
        self.count("in", answer.len());
        decode(&answer).map_err(|error| unreachable(error.to_string()))
    }

    /// Calls the presumed leader and moves on when it is not the leader.
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

    fn count(&self, direction: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.metrics.control_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }
}
