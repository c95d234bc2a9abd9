//! Forms a group of controllers at first start and lets controllers join it later.

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

/// Path to which a [`JoinRequest`] is posted.
pub const JOIN_PATH: &str = "/control/v1/replica/join";
/// Path that responds with the controller's [`ReplicaPresence`].
pub const PRESENCE_PATH: &str = "/control/v1/replica/presence";
/// Delay between two attempts to reach the other controllers.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Timeout of one call to another controller.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts between two log lines about waiting for the other controllers.
const ATTEMPTS_PER_LOG: u32 = 20;
/// Time without a leader after which a member of an open group assumes that it was removed and
/// asks to join again.
const LEADER_LOSS_TIMEOUT: Duration = Duration::from_secs(3);

/// Request to the leader to add a replica to the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Replica to be added.
    pub identity: ReplicaIdentity,
    /// Address at which other controllers reach the replica.
    pub address: SocketAddr,
}

/// What a controller knows about the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaPresence {
    /// True when the controller has a membership, which means that a group exists.
    pub in_group: bool,
    /// Addresses of the known members. The leader's address comes first if the leader is known.
    #[serde(default)]
    pub members: Vec<SocketAddr>,
}

/// True when the folder has no files with content, so that no replica has used it yet.
pub fn is_empty_folder(folder: &Path) -> std::io::Result<bool> {
    for entry in std::fs::read_dir(folder)? {
        if entry?.metadata()?.len() > 0 {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Determines the membership of a replica that starts with an empty data folder: itself alone if
/// it creates the group, otherwise empty.
///
/// Only the first controller in the settings may create a group, and only after every other
/// controller answered that it knows of none. If the first controller lost its disk, it must join
/// the existing group, because a second group would diverge from the first.
pub async fn initial_members(
    options: &ControllerOptions,
    identity: &ReplicaIdentity,
    address: SocketAddr,
) -> ReplicaMembers {
    let peers = &options.settings.peers;
    if let Some(group) = &options.settings.group {
        // `found` is set only at the first start of the whole site. All disks are empty then, so
        // no other group can exist and the seed with the lowest address creates it.
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
            log::info!(event = "group_awaited"; "waiting for the other controllers to respond before creating a group");
        }
        attempts += 1;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns whether any of the other controllers belongs to a group, or `None` if none of those
/// that answered does and at least one did not answer.
async fn ask_presence(others: &[PeerClient], token: &str) -> Option<bool> {
    let mut all_answered = true;
    for peer in others {
        let answer: Result<ReplicaPresence, _> =
            peer.call(PRESENCE_PATH, token, &(), ATTEMPT_TIMEOUT).await;
        match answer {
            Ok(presence) if presence.in_group => return Some(true),
            Ok(_) => {}
            Err(_) => all_answered = false,
        }
    }
    all_answered.then_some(false)
}

/// Asks the other controllers to add this replica, and retries until it is a member.
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
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Adds a replica to the group; called on the leader. The request is idempotent.
///
/// Unless the group is open, the replica's name must be in the leader's settings. This keeps a
/// controller that was started with another site's settings from becoming a voter.
pub async fn accept_join(
    options: &ControllerOptions,
    replica: &ReplicaHandle,
    request: JoinRequest,
) -> Result<(), ReplicaRefusal> {
    let mut peers = options.settings.peers.iter();
    let is_open = options.settings.group.is_some();
    if !is_open && !peers.any(|peer| peer.name == request.identity.name) {
        let message =
            format!("Controller {} is not listed in the leader's peers.", request.identity.name);
        return Err(ReplicaRefusal { kind: ErrorKind::Forbidden, message });
    }
    replica.confirm_read().await?;
    if replica.view().members.get(request.identity.id).is_some() {
        return Ok(());
    }
    log::info!(event = "member_added", controller = request.identity.name.as_str(); "adding a controller to the group");
    let change =
        MemberChange::Add { identity: request.identity, address: request.address.to_string() };
    replica.change_members(change).await.map(|_| ())
}

/// Keeps a controller in an open group: asks to be added whenever it is not a member or has been
/// without a leader for too long.
pub async fn stay_in_group(
    options: ControllerOptions,
    replica: ReplicaHandle,
    identity: ReplicaIdentity,
    address: SocketAddr,
) {
    let request = JoinRequest { identity: identity.clone(), address };
    let mut last_contact = Instant::now();
    loop {
        tokio::time::sleep(RETRY_DELAY).await;
        let view = replica.view();
        let member = view.members.get(identity.id).is_some();
        let has_leader = member && (view.leads || view.leader.is_some());
        if has_leader {
            last_contact = Instant::now();
        }
        // A member without a leader is usually in an election, which ends sooner. A member that
        // was removed stays without a leader.
        if has_leader || (member && last_contact.elapsed() < LEADER_LOSS_TIMEOUT) {
            continue;
        }
        if ask_to_join(&options, &replica, &request).await {
            log::info!(event = "group_joined"; "added to the group of controllers");
            last_contact = Instant::now();
        }
    }
}

async fn ask_to_join(
    options: &ControllerOptions,
    replica: &ReplicaHandle,
    request: &JoinRequest,
) -> bool {
    let token = options.process.token();
    let members = replica.view().members;
    let known = members.iter().filter_map(|member| member.address.parse().ok());
    let mut addresses: Vec<SocketAddr> =
        options.seeds.addresses().into_iter().chain(known).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != request.address);
    let queries = addresses.iter().map(|address| ask_member(*address, &token));
    let leaders: Vec<SocketAddr> =
        futures_util::future::join_all(queries).await.into_iter().flatten().collect();
    for address in leaders.into_iter().chain(addresses) {
        let client = PeerClient::new(address);
        let joined: Result<(), _> = client.call(JOIN_PATH, &token, request, ATTEMPT_TIMEOUT).await;
        match joined {
            Ok(()) => return true,
            Err(error) => log::debug!(controller = address.to_string(); "join failed: {error}"),
        }
    }
    false
}

/// Returns the first member address of whichever controller answers first; the leader's, if that
/// controller knows it. All are asked concurrently, so that an unreachable one causes no delay.
pub async fn find_leader(addresses: &[SocketAddr], token: &str) -> Option<SocketAddr> {
    let queries = addresses.iter().map(|address| ask_member(*address, token));
    let mut answers: FuturesUnordered<_> = queries.collect();
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
