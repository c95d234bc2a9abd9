//! First start of a group of controllers, joining and replacement.

use crate::options::ControllerOptions;
use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_members::{MemberChange, ReplicaIdentity, ReplicaMembers};
use baobabfall_node::http_client::PeerClient;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Path of [`JoinRequest`].
pub const JOIN_PATH: &str = "/control/v1/replica/join";
/// Path that answers with a [`ReplicaPresence`].
pub const PRESENCE_PATH: &str = "/control/v1/replica/presence";
/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(250);
/// Time for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts between two log lines.
const ATTEMPTS_PER_LOG: u32 = 20;
/// Time without a leader after which a member asks whether it was removed.
const REMOVED_SILENCE: Duration = Duration::from_secs(3);

/// Asks the leader to add this replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Who joins.
    pub identity: ReplicaIdentity,
    /// Where peers connect to.
    pub address: SocketAddr,
}

/// What a controller says about its data.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaPresence {
    /// True when it holds a membership, so a group exists.
    pub in_group: bool,
    /// Addresses of the members that it knows, the leader's first.
    #[serde(default)]
    pub members: Vec<SocketAddr>,
}

/// True when the folder holds no state yet.
pub fn is_empty_folder(folder: &Path) -> std::io::Result<bool> {
    for entry in std::fs::read_dir(folder)? {
        if entry?.metadata()?.len() > 0 {
            return Ok(false);
        }
    }
    Ok(true)
}

/// The membership with which an empty replica starts.
///
/// Only the first controller of the settings may found a group, and only after
/// every other one answered that it holds no group: a first controller whose
/// disk was lost must join the existing group and never found a second one.
pub async fn founding_members(
    options: &ControllerOptions,
    identity: &ReplicaIdentity,
    address: SocketAddr,
) -> ReplicaMembers {
    let peers = &options.settings.peers;
    if let Some(group) = &options.settings.group {
        // Every controller of an open group starts at the same time and has an empty disk, so
        // no other group can exist yet.
        let lowest = peers.iter().map(|peer| peer.address).min();
        return match group.found && lowest == Some(address) {
            true => ReplicaMembers::single(identity.clone(), &address.to_string()),
            false => ReplicaMembers::default(),
        };
    }
    let is_first = peers.first().is_some_and(|peer| peer.name == identity.name);
    if !is_first || options.settings.storage.join {
        return ReplicaMembers::default();
    }
    let others: Vec<PeerClient> = peers
        .iter()
        .filter(|peer| peer.name != identity.name)
        .map(|peer| PeerClient::new(peer.address))
        .collect();
    let mut attempts = 0;
    loop {
        match ask_presence(&others, &options.process.token()).await {
            Some(true) => return ReplicaMembers::default(),
            Some(false) => return ReplicaMembers::single(identity.clone(), &address.to_string()),
            None => {}
        }
        if attempts % ATTEMPTS_PER_LOG == 0 {
            log::info!(event = "group_awaited"; "waiting for the other controllers before founding a group");
        }
        attempts += 1;
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
}

/// Whether a group exists; `None` while some controller did not answer.
async fn ask_presence(others: &[PeerClient], token: &str) -> Option<bool> {
    let mut complete = true;
    for peer in others {
        let answer: Result<ReplicaPresence, _> =
            peer.call(PRESENCE_PATH, token, &(), ATTEMPT_TIMEOUT).await;
        match answer {
            Ok(presence) if presence.in_group => return Some(true),
            Ok(_) => {}
            Err(_) => complete = false,
        }
    }
    complete.then_some(false)
}

/// Asks the other controllers to add this replica until it is a member.
pub async fn join_group(
    options: ControllerOptions,
    replica: ReplicaHandle,
    identity: ReplicaIdentity,
    address: SocketAddr,
) {
    let others: Vec<PeerClient> = options
        .settings
        .peers
        .iter()
        .filter(|peer| peer.name != identity.name)
        .map(|peer| PeerClient::new(peer.address))
        .collect();
    let request = JoinRequest { identity: identity.clone(), address };
    while replica.view().members.get(identity.id).is_none() {
        for peer in &others {
            let token = options.process.token();
            let joined: Result<(), _> =
                peer.call(JOIN_PATH, &token, &request, ATTEMPT_TIMEOUT).await;
            if joined.is_ok() {
                log::info!(event = "group_joined"; "added to the group of controllers");
                break;
            }
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
}

/// Adds a replica on the leader; repeated requests have no further effect.
///
/// Only names of the leader's settings are added, so that a controller with
/// the settings of another site does not become a voter.
pub async fn accept_join(
    options: &ControllerOptions,
    replica: &ReplicaHandle,
    request: JoinRequest,
) -> Result<(), ReplicaRefusal> {
    let mut peers = options.settings.peers.iter();
    let open = options.settings.group.is_some();
    if !open && !peers.any(|peer| peer.name == request.identity.name) {
        let message = format!("{} is not among the peers of the leader.", request.identity.name);
        return Err(ReplicaRefusal { kind: ErrorKind::Forbidden, message });
    }
    replica.confirm_read().await?;
    if replica.view().members.get(request.identity.id).is_some() {
        return Ok(());
    }
    log::info!(event = "member_added", controller = request.identity.name.as_str(); "adding a controller to the log");
    let change =
        MemberChange::Add { identity: request.identity, address: request.address.to_string() };
    replica.change_members(change).await.map(|_| ())
}

/// Keeps a controller of an open group in the group: asks to be added while it
/// is no member or hears no leader.
pub async fn stay_in_group(
    options: ControllerOptions,
    replica: ReplicaHandle,
    identity: ReplicaIdentity,
    address: SocketAddr,
) {
    let request = JoinRequest { identity: identity.clone(), address };
    let mut contact = Instant::now();
    loop {
        tokio::time::sleep(ATTEMPT_PAUSE).await;
        let view = replica.view();
        let member = view.members.get(identity.id).is_some();
        let led = member && (view.leads || view.leader.is_some());
        if led {
            contact = Instant::now();
        }
        // A member without a leader usually takes part in an election; only one that was
        // removed hears nothing for longer.
        if led || (member && contact.elapsed() < REMOVED_SILENCE) {
            continue;
        }
        if ask_to_join(&options, &replica, &request).await {
            log::info!(event = "group_joined"; "added to the group of controllers");
            contact = Instant::now();
        }
    }
}

async fn ask_to_join(
    options: &ControllerOptions,
    replica: &ReplicaHandle,
    request: &JoinRequest,
) -> bool {
    let token = options.process.token();
    let known = replica.view().members;
    let known = known.iter().filter_map(|member| member.address.parse().ok());
    let mut addresses: Vec<SocketAddr> =
        options.seeds.addresses().into_iter().chain(known).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|held| *held != request.address);
    let asked = addresses.iter().map(|held| ask_member(*held, &token));
    let told: Vec<SocketAddr> =
        futures_util::future::join_all(asked).await.into_iter().flatten().collect();
    for held in told.into_iter().chain(addresses) {
        let client = PeerClient::new(held);
        let joined: Result<(), _> = client.call(JOIN_PATH, &token, request, ATTEMPT_TIMEOUT).await;
        match joined {
            Ok(()) => return true,
            Err(error) => log::debug!(controller = held.to_string(); "not added: {error}"),
        }
    }
    false
}

/// The leader's address, as the first controller that answers knows it. All
/// are asked at once, so that one that does not answer holds up no caller.
pub async fn find_leader(addresses: &[SocketAddr], token: &str) -> Option<SocketAddr> {
    let asked = addresses.iter().map(|address| ask_member(*address, token));
    let mut answers: FuturesUnordered<_> = asked.collect();
    while let Some(answer) = answers.next().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}

async fn ask_member(address: SocketAddr, token: &str) -> Option<SocketAddr> {
    let client = PeerClient::new(address);
    let presence: ReplicaPresence =
        client.call(PRESENCE_PATH, token, &(), ATTEMPT_TIMEOUT).await.ok()?;
    presence.members.first().copied()
}
