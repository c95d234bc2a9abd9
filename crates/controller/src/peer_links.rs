//! Sending of replica messages to the other controllers.

use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_core::replica_messages::ReplicaMessage;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_client::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Path of replica messages.
pub const REPLICA_PATH: &str = "/control/v1/replica";
/// A message that takes longer is lost; the core sends again.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Messages on their way to one peer; more are dropped.
const IN_FLIGHT_LIMIT: usize = 64;

/// Connections to the other controllers.
#[derive(Debug)]
pub struct PeerLinks {
    credential: CredentialFile,
    /// Addresses of the settings, for a replica that holds no membership yet.
    configured: SortedMap<String, SocketAddr>,
    links: SortedMap<SocketAddr, PeerLink>,
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
    ) -> Self {
        let configured = configured.into_iter().collect();
        Self { credential, configured, links: SortedMap::new() }
    }

    fn address(&self, members: &ReplicaMembers, peer: &ReplicaIdentity) -> Option<SocketAddr> {
        let member = members.get(peer.id).and_then(|member| member.address.parse().ok());
        member.or_else(|| self.configured.get(&peer.name).copied())
    }

    /// Sends a message without waiting for it to arrive.
    pub fn send(&mut self, members: &ReplicaMembers, message: ReplicaMessage) {
        let Some(address) = self.address(members, &message.to) else {
            log::warn!(peer = message.to.name.as_str(); "peer has no known address");
            return;
        };
        let link = self.links.get_or_insert_with(address, || PeerLink {
            client: Arc::new(PeerClient::new(address)),
            permits: Arc::new(Semaphore::new(IN_FLIGHT_LIMIT)),
        });
        let Ok(permit) = Arc::clone(&link.permits).try_acquire_owned() else { return };
        let client = Arc::clone(&link.client);
        let token = self.credential.token();
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
