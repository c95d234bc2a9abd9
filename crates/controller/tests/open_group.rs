//! Tests of open groups: forming from seeds, lost disks, replaced and removed controllers, and the
//! durability of acknowledged changes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_controller::membership::find_leader;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::RouteTable;
use baobabfall_node::codec::decode;
use baobabfall_node::messages::{
    AnnounceMessage, NodeKind, SyncAnswer, SyncRequest, UpstreamDeparture,
};
use bytes::Bytes;
use group_fixture::{GroupFixture, PROCESS_TOKEN};
use http_body_util::BodyExt;

fn route_table(version: u64) -> RouteTable {
    RouteTable { version, ..RouteTable::default() }
}

/// Replaces the route table at the leader, which must accept it.
async fn replace_routes_at_leader(group: &GroupFixture, version: u64) {
    let leader = group.leader().await;
    let api = group.controllers[leader].as_ref().unwrap().api().clone();
    assert_eq!(api.replace_routes(route_table(version), vec![1]).await.unwrap(), version);
}

async fn wait_for_version(group: &GroupFixture, index: usize, version: u64) {
    let handle = group.controllers[index].as_ref().unwrap();
    group.wait_for(|_| (handle.replica().state().routes_version() == version).then_some(())).await;
}

/// Guards against a group that does not form without an operator, and against a table that is
/// accepted while only one disk stores it.
#[tokio::test]
async fn group_forms_from_seeds() {
    let group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    replace_routes_at_leader(&group, 3).await;
    for index in 0..3 {
        wait_for_version(&group, index, 3).await;
    }
    let mut single_group = GroupFixture::prepare(1, 1);
    single_group.start_first_time(&[0]).await;
    let api = single_group.controllers[0].as_ref().unwrap().api().clone();
    let refusal = api.replace_routes(route_table(1), vec![1]).await.unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NoQuorum);
}

/// Guards against a leader that founds a second group after it lost its disk, and against the loss
/// of an acknowledged table with that disk.
#[tokio::test]
async fn wiped_leader_joins_again() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    replace_routes_at_leader(&group, 7).await;
    let leader = group.leader().await;
    group.kill(leader).await;
    group.clear_data_folder(leader);
    group.restart(leader).await;
    group.wait_for_voters(3).await;
    wait_for_version(&group, leader, 7).await;
    replace_routes_at_leader(&group, 8).await;
}

/// Guards against a lost voter that stays in the group forever. Its replacement at another address
/// has to join, and the lost voter has to be removed.
#[tokio::test]
async fn replaced_controller_is_removed() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    replace_routes_at_leader(&group, 1).await;
    let lost = (group.leader().await + 1) % 3;
    group.kill(lost).await;
    let successor = group.add_controller().await;
    group.wait_for_voters(3).await;
    wait_for_version(&group, successor, 1).await;
    replace_routes_at_leader(&group, 2).await;
}

/// Guards against a controller that was removed while it was stopped and never becomes a voter
/// again, and against a removal that leaves too few voters.
#[tokio::test]
async fn removed_controller_joins_again() {
    let mut group = GroupFixture::start_open(4).await;
    group.wait_for_voters(4).await;
    let stopped = (group.leader().await + 1) % 4;
    group.kill(stopped).await;
    group.wait_for_voters(3).await;
    group.restart(stopped).await;
    group.wait_for_voters(4).await;
    replace_routes_at_leader(&group, 5).await;
    wait_for_version(&group, stopped, 5).await;
}

/// Guards against an upstream's deregistration that is acknowledged but lost when the leader fails,
/// and against one that is acknowledged by a controller without a leader.
#[tokio::test]
async fn departure_survives_lost_leader() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    let follower = (leader + 1) % 3;
    let departure = UpstreamDeparture { name: "u".to_owned(), incarnation: Some(9) };
    let api = group.controllers[follower].as_ref().unwrap().api().clone();
    group.wait_for(|_| api.leader_address().map(|_| ())).await;
    api.register(AnnounceMessage::Depart(departure.clone())).await.unwrap();
    group.kill(leader).await;
    let next = group.leader().await;
    let handle = group.controllers[next].as_ref().unwrap();
    let deregistered_incarnation =
        |handle: &baobabfall_controller::controller::ControllerHandle| {
            handle.replica().state().deregistered().get("u").map(|departure| departure.incarnation)
        };
    group.wait_for(|_| (deregistered_incarnation(handle) == Some(9)).then_some(())).await;
    let remaining = (0..3).find(|index| *index != leader && *index != next).unwrap();
    group.kill(next).await;
    let api = group.controllers[remaining].as_ref().unwrap().api().clone();
    group.wait_for(|_| (!api.replica.view().leads).then_some(())).await;
    assert!(api.register(AnnounceMessage::Depart(departure)).await.is_err());
}

/// Guards against a stopped controller that still writes to its folder. The folder must be safe to
/// remove as soon as the stop has returned.
#[tokio::test]
async fn killed_controller_writes_no_more() {
    for _ in 0..20 {
        let mut group = GroupFixture::start(1).await;
        let api = group.controllers[0].as_ref().unwrap().api().clone();
        let writer = tokio::spawn(async move {
            for version in 1.. {
                if api.replace_routes(route_table(version), vec![0; 100_000]).await.is_err() {
                    return;
                }
            }
        });
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        group.kill(0).await;
        group.clear_data_folder(0);
        writer.abort();
    }
}

/// Guards against a search for the leader that waits for a controller which accepts connections but
/// never answers, although another controller names the leader.
#[tokio::test]
async fn find_leader_silent_controller_causes_no_delay() {
    let group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let leader = group.address(group.leader().await);
    let silent_listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addresses = [silent_listener.local_addr().unwrap(), group.address(0), group.address(1)];
    let started = tokio::time::Instant::now();
    assert_eq!(find_leader(&addresses, PROCESS_TOKEN).await, Some(leader));
    assert!(started.elapsed().as_millis() < 900, "{:?}", started.elapsed());
}

fn sync_request(router: &str) -> SyncRequest {
    SyncRequest {
        node: NodeIdentity { name: router.to_owned(), incarnation: 1 },
        kind: NodeKind::Router,
        zone: "a".to_owned(),
        revision: 1,
        stops_version: 0,
        registry_version: (0, 0),
        in_progress: 0,
        wait_ms: 0,
        routes_version: 0,
        departures_version: 0,
        leader_term: u64::MAX,
        evacuations_version: 0,
        origins: None,
    }
}

/// Guards against a leader that runs out of memory when a large table is sent to all routers at
/// once: their answers share one copy of the table.
#[tokio::test]
async fn sync_answers_share_the_encoded_table() {
    let group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    replace_routes_at_leader(&group, 4).await;
    let leader = group.leader().await;
    let api = group.controllers[leader].as_ref().unwrap().api().clone();
    let mut shared: Vec<Bytes> = Vec::new();
    for number in 0..3 {
        let response = api.sync.sync_response(&sync_request(&format!("router-{number}"))).await;
        let mut body = response.into_body();
        let mut message = Vec::new();
        let mut last = Bytes::new();
        while let Some(frame) = body.frame().await {
            last = frame.unwrap().into_data().unwrap();
            message.extend_from_slice(&last);
        }
        let answer: SyncAnswer = decode(&message).unwrap();
        assert_eq!(*answer.routes.unwrap(), route_table(4));
        shared.push(last);
    }
    assert!(shared.iter().all(|bytes| bytes.as_ptr() == shared[0].as_ptr()));
    replace_routes_at_leader(&group, 5).await;
    let response = api.sync.sync_response(&sync_request("router-0")).await;
    let message = response.into_body().collect().await.unwrap().to_bytes();
    let answer: SyncAnswer = decode(&message).unwrap();
    assert_eq!(answer.routes.unwrap().version, 5, "a later table must not be an earlier copy");
}

/// Guards against a site that never forms a group because a controller was killed while it created
/// its first files, or because its file system has a folder `lost+found`.
#[tokio::test]
async fn interrupted_first_start_founds_group() {
    let mut group = GroupFixture::prepare(3, 3);
    group.start_first_time(&[0, 1]).await;
    group.kill(0).await;
    let folder = group.data_folder(0);
    for entry in std::fs::read_dir(&folder).unwrap() {
        let entry = entry.unwrap();
        if !entry.file_name().to_string_lossy().starts_with("snapshot-") {
            std::fs::remove_file(entry.path()).unwrap();
        }
    }
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 1, "the first snapshot is left");
    std::fs::create_dir(folder.join("lost+found")).unwrap();
    group.start_first_time(&[0, 2]).await;
    group.wait_for_voters(3).await;
    replace_routes_at_leader(&group, 3).await;
}
