//! Forms a group of controllers at first start and lets controllers join it later.

use crate::group_directory::{GroupDirectory, GroupNotice, NOTICE_PATH, join_addresses};
use crate::log_store::is_unused;
use crate::options::ControllerOptions;
use crate::peer_links::PeerAddresses;
use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_members::{MemberChange, ReplicaIdentity, ReplicaMembers};
use baobabfall_core::sorted_map::SortedMap;
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
/// The same for a member that has not heard from a leader since its start. Its log may lack its
/// removal, which it asked for before a planned stop. Longer than an election takes.
const START_LEADER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which a member tells the seeds that are not members about its group. A seed that
/// restarts knows nothing until the next notice.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a seed gets notices after the settings have ceased to name it. Other hosts may
/// still start with the earlier settings.
const FORMER_SEED_RETENTION: Duration = Duration::from_secs(60);

/// Request to the leader to add a replica to the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Time since a member told this process of the group, in milliseconds; 0 from a member.
    #[serde(default)]
    pub age_ms: u64,
}

/// True when no replica has used the folder yet; see [`is_unused`].
pub fn is_unused_folder(folder: &Path) -> std::io::Result<bool> {
    let names = std::fs::read_dir(folder)?
        .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
        .collect::<std::io::Result<Vec<String>>>()?;
    Ok(is_unused(&names))
}

/// Determines the membership of a replica that starts with an empty data folder: itself alone if
/// it creates the group, otherwise empty. The first members of an open group are agreed on later;
/// see [`founding`](crate::founding).
///
/// Only the first controller in the settings may create a group, and only after every other
/// controller answered that it knows of none. If the first controller lost its disk, it must join
/// the existing group, because a second group would diverge from the first.
pub async fn initial_members(
    options: &ControllerOptions,
    identity: &ReplicaIdentity,
    address: SocketAddr,
) -> ReplicaMembers {
    if options.settings.group.is_some() {
        return ReplicaMembers::default();
    }
    let peers = &options.settings.peers;
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

/// Asks the other controllers to add this replica, and retries until it is a member. Returns at
/// once unless `must_join` is set.
pub async fn join_group(
    options: ControllerOptions,
    replica: ReplicaHandle,
    request: JoinRequest,
    must_join: bool,
) {
    let identity = &request.identity;
    let others: Vec<PeerClient> = options
        .settings
        .peers
        .iter()
        .filter(|peer| peer.name != identity.name)
        .map(|peer| PeerClient::new(peer.address))
        .collect();
    while must_join && replica.view().members.get(identity.id).is_none() {
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
///
/// A replica that has no log finds the group by its seeds, by the notices in `directory`, or by
/// `peers`, the replicas that still send to the one which lost its disk at this address.
pub async fn stay_in_group(
    options: ControllerOptions,
    replica: ReplicaHandle,
    request: JoinRequest,
    directory: GroupDirectory,
    peers: PeerAddresses,
) {
    let (mut last_contact, mut timeout) = (Instant::now(), START_LEADER_TIMEOUT);
    let mut attempts = 0;
    loop {
        tokio::time::sleep(RETRY_DELAY).await;
        let view = replica.view();
        let member = view.members.get(request.identity.id).is_some();
        let has_leader = member && (view.leads || view.leader.is_some());
        if has_leader {
            (last_contact, timeout) = (Instant::now(), LEADER_LOSS_TIMEOUT);
        }
        // A member without a leader is usually in an election, which ends sooner. A member that
        // was removed stays without a leader.
        if has_leader || (member && last_contact.elapsed() < timeout) {
            continue;
        }
        let mut known = options.seeds.addresses();
        known.extend(group_notice(&replica, request.address).members);
        known.extend(directory.members());
        known.extend(peers.addresses());
        match ask_to_join(known, &options.process.token(), &request).await {
            Ok(()) => {
                log::info!(event = "group_joined"; "added to the group of controllers");
                last_contact = Instant::now();
                attempts = 0;
            }
            Err(answers) => {
                if attempts % ATTEMPTS_PER_LOG == 0 {
                    log::info!(event = "join_awaited", answers = answers; "no controller has added this one to its group yet");
                }
                attempts += 1;
            }
        }
    }
}

/// Asks the controllers at `addresses`, and those that they name as members, to add a replica.
/// On failure, returns for the log what each of `addresses` answered.
async fn ask_to_join(
    mut addresses: Vec<SocketAddr>,
    token: &str,
    request: &JoinRequest,
) -> Result<(), String> {
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != request.address);
    let queries = addresses.iter().map(|address| ask_presence_of(*address, token));
    let presences = futures_util::future::join_all(queries).await;
    let named = presences.iter().flatten();
    let leaders = named.clone().filter_map(|presence| presence.members.first().copied());
    let others = named.flat_map(|presence| presence.members.iter().skip(1).copied());
    let mut candidates: Vec<SocketAddr> = vec![request.address];
    for address in leaders.chain(others).chain(addresses.iter().copied()) {
        if candidates.contains(&address) {
            continue;
        }
        candidates.push(address);
        let client = PeerClient::new(address);
        let joined: Result<(), _> = client.call(JOIN_PATH, token, request, ATTEMPT_TIMEOUT).await;
        match joined {
            Ok(()) => return Ok(()),
            Err(error) => log::debug!(controller = address.to_string(); "join failed: {error}"),
        }
    }
    let describe = |(address, presence): (&SocketAddr, &Option<ReplicaPresence>)| match presence {
        None => format!("{address} unreachable"),
        Some(known) => {
            format!("{address} {} members {} ms ago", known.members.len(), known.age_ms)
        }
    };
    Err(addresses.iter().zip(&presences).map(describe).collect::<Vec<_>>().join(", "))
}

/// Tells seeds that are not members about the group, for as long as this replica is a member. Such
/// seeds cannot learn of it otherwise, and processes that start know nobody else.
pub async fn inform_seeds(options: ControllerOptions, replica: ReplicaHandle, address: SocketAddr) {
    let mut named: SortedMap<SocketAddr, Instant> = SortedMap::new();
    let mut clients: SortedMap<SocketAddr, PeerClient> = SortedMap::new();
    let mut informed: Vec<SocketAddr> = Vec::new();
    loop {
        for seed in options.seeds.addresses() {
            named.insert(seed, Instant::now());
        }
        named.retain(|_, last| last.elapsed() < FORMER_SEED_RETENTION);
        let notice = group_notice(&replica, address);
        let is_outside = |seed: &SocketAddr| *seed != address && !notice.members.contains(seed);
        clients.retain(|seed, _| named.contains_key(seed) && is_outside(seed));
        if !notice.members.is_empty() {
            for seed in named.keys().filter(|seed| is_outside(seed)) {
                clients.get_or_insert_with(*seed, || PeerClient::new(*seed));
            }
            let token = options.process.token();
            let sent = clients.values().map(|client| send_notice(client, &token, &notice));
            let heard = futures_util::future::join_all(sent).await.into_iter().flatten().collect();
            if informed != heard {
                informed = heard;
                log::info!(event = "seeds_informed", seeds = join_addresses(&informed), asked = clients.len(), members = notice.members.len(); "seeds that are not members were told of the group");
            }
        }
        tokio::time::sleep(NOTICE_INTERVAL).await;
    }
}

/// Returns the address of the seed if it has received the notice.
async fn send_notice(client: &PeerClient, token: &str, notice: &GroupNotice) -> Option<SocketAddr> {
    let sent: Result<(), _> = client.call(NOTICE_PATH, token, notice, ATTEMPT_TIMEOUT).await;
    match sent {
        Ok(()) => Some(client.address()),
        Err(error) => {
            log::debug!(seed = client.address().to_string(); "notice not delivered: {error}");
            None
        }
    }
}

fn group_notice(replica: &ReplicaHandle, sender: SocketAddr) -> GroupNotice {
    let view = replica.view();
    let leader = view.leader.as_ref().and_then(|leader| view.members.get(leader.id));
    GroupNotice {
        sender,
        term: view.term,
        committed: view.committed,
        leader: leader.and_then(|member| member.address.parse().ok()),
        members: view.members.iter().filter_map(|member| member.address.parse().ok()).collect(),
    }
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
    ask_presence_of(address, token).await?.members.first().copied()
}

async fn ask_presence_of(address: SocketAddr, token: &str) -> Option<ReplicaPresence> {
    PeerClient::new(address).call(PRESENCE_PATH, token, &(), ATTEMPT_TIMEOUT).await.ok()
}
