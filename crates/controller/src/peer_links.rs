//! Sending of replica messages to the other controllers.

use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_core::replica_messages::ReplicaMessage;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_client::PeerClient;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;

/// Path of replica messages.
pub const REPLICA_PATH: &str = "/control/v1/replica";
/// A message that takes longer is lost; the core sends again.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Messages on their way to one peer; more are dropped.
const IN_FLIGHT_LIMIT: usize = 64;
/// Replicas whose addresses are noted.
const HEARD_LIMIT: usize = 1024;

/// Connections to the other controllers.
#[derive(Debug)]
pub struct PeerLinks {
    credential: CredentialFile,
    /// Addresses of the settings, for a replica that holds no membership yet.
    configured: SortedMap<String, SocketAddr>,
    own: SocketAddr,
    links: SortedMap<SocketAddr, PeerLink>,
    heard: PeerBook,
}

/// Message of a replica with the address at which the sender listens, so that
/// a replica without a membership can answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Where the sender listens.
    pub address: SocketAddr,
    /// The message.
    pub message: ReplicaMessage,
}

/// Addresses of replicas that sent messages.
#[derive(Clone, Debug, Default)]
pub struct PeerBook(Arc<Mutex<SortedMap<u64, SocketAddr>>>);

impl PeerBook {
    /// Notes where a replica listens. Beyond the limit nothing is noted: a
    /// group has far fewer members.
    pub fn note(&self, sender: &ReplicaIdentity, address: SocketAddr) {
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if held.len() < HEARD_LIMIT || held.contains_key(&sender.id) {
            held.insert(sender.id, address);
        }
    }

    fn find(&self, peer: &ReplicaIdentity) -> Option<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&peer.id).copied()
    }
}

#[derive(Clone, Debug)]
struct PeerLink {
    client: Arc<PeerClient>,
    permits: Arc<Semaphore>,
}

impl PeerLinks {
    /// No connection yet; they are opened as messages are sent.
    pub fn new(
        credential: CredentialFile,
        configured: impl IntoIterator<Item = (String, SocketAddr)>,
        own: SocketAddr,
        heard: PeerBook,
    ) -> Self {
        let configured = configured.into_iter().collect();
        Self { credential, configured, own, links: SortedMap::new(), heard }
    }

    fn address(&self, members: &ReplicaMembers, peer: &ReplicaIdentity) -> Option<SocketAddr> {
        let member = members.get(peer.id).and_then(|member| member.address.parse().ok());
        let heard = || self.heard.find(peer);
        member.or_else(heard).or_else(|| self.configured.get(&peer.name).copied())
    }

    /// Sends a message without waiting for it to arrive.
    pub fn send(&mut self, members: &ReplicaMembers, message: ReplicaMessage) {
        let Some(address) = self.address(members, &message.to) else {
            log::warn!(event = "peer_unknown", peer = message.to.name.as_str(); "peer has no known address");
            return;
        };
        let link = self.links.get_or_insert_with(address, || PeerLink {
            client: Arc::new(PeerClient::new(address)),
            permits: Arc::new(Semaphore::new(IN_FLIGHT_LIMIT)),
        });
        let Ok(permit) = Arc::clone(&link.permits).try_acquire_owned() else { return };
        let client = Arc::clone(&link.client);
        let token = self.credential.token();
        let message = PeerEnvelope { address: self.own, message };
        tokio::spawn(async move {
            let sent: Result<(), _> =
                client.call(REPLICA_PATH, &token, &message, SEND_TIMEOUT).await;
            if let Err(error) = sent {
                log::debug!("replica message not delivered: {error}");
            }
            drop(permit);
        });
    }
}
