//! Sends replica messages to the other controllers.

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

/// Path to which a [`PeerEnvelope`] is posted.
pub const REPLICA_PATH: &str = "/control/v1/replica";
/// Timeout for sending a message. The core resends what was lost.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Most messages in flight to one peer; further messages are dropped.
const IN_FLIGHT_LIMIT: usize = 64;
/// Most replicas whose addresses are recorded.
const PEER_ADDRESS_LIMIT: usize = 1024;

/// Clients for the other controllers, with the address of each.
#[derive(Debug)]
pub struct PeerLinks {
    credential: CredentialFile,
    /// Addresses from the settings by name. Used for a peer whose address is known neither from the
    /// membership nor from its messages.
    configured: SortedMap<String, SocketAddr>,
    own_address: SocketAddr,
    links: SortedMap<SocketAddr, PeerLink>,
    peer_addresses: PeerAddresses,
}

/// Replica message with the sender's address, so that a receiver without a membership can answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Address at which the sender accepts replica messages.
    pub address: SocketAddr,
    /// Message of the consensus protocol.
    pub message: ReplicaMessage,
}

/// Addresses of the replicas that sent messages to this one, by replica id.
#[derive(Clone, Debug, Default)]
pub struct PeerAddresses(Arc<Mutex<SortedMap<u64, SocketAddr>>>);

impl PeerAddresses {
    /// Records the address of a replica. New replicas beyond the limit are ignored; a group has
    /// far fewer members than that.
    pub fn record(&self, sender: &ReplicaIdentity, address: SocketAddr) {
        let mut addresses = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if addresses.len() < PEER_ADDRESS_LIMIT || addresses.contains_key(&sender.id) {
            addresses.insert(sender.id, address);
        }
    }

    /// All recorded addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).values().copied().collect()
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
    /// Creates the links without opening connections; these are opened when messages are sent.
    pub fn new(
        credential: CredentialFile,
        configured: impl IntoIterator<Item = (String, SocketAddr)>,
        own_address: SocketAddr,
        peer_addresses: PeerAddresses,
    ) -> Self {
        let configured = configured.into_iter().collect();
        Self { credential, configured, own_address, links: SortedMap::new(), peer_addresses }
    }

    fn address(&self, members: &ReplicaMembers, peer: &ReplicaIdentity) -> Option<SocketAddr> {
        let member = members.get(peer.id).and_then(|member| member.address.parse().ok());
        let learned = || self.peer_addresses.find(peer);
        member.or_else(learned).or_else(|| self.configured.get(&peer.name).copied())
    }

    /// Sends a message in the background. Delivery is not guaranteed.
    pub fn send(&mut self, members: &ReplicaMembers, message: ReplicaMessage) {
        let Some(address) = self.address(members, &message.to) else {
            log::warn!(event = "peer_unknown", peer = message.to.name.as_str(); "no address is known for this peer; message dropped");
            return;
        };
        let link = self.links.get_or_insert_with(address, || PeerLink {
            client: Arc::new(PeerClient::new(address)),
            permits: Arc::new(Semaphore::new(IN_FLIGHT_LIMIT)),
        });
        let Ok(permit) = Arc::clone(&link.permits).try_acquire_owned() else { return };
        let client = Arc::clone(&link.client);
        let token = self.credential.token();
        let message = PeerEnvelope { address: self.own_address, message };
        tokio::spawn(async move {
            let sent: Result<(), _> =
                client.call(REPLICA_PATH, &token, &message, SEND_TIMEOUT).await;
            if let Err(error) = sent {
                log::debug!("failed to send a replica message: {error}");
            }
            drop(permit);
        });
    }
}
