//! Tests of open groups: forming from seeds, lost disks, replaced and removed
//! controllers, and what is acknowledged meanwhile.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_controller::membership::find_leader;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::RouteTable;
use baobabfall_node::messages::{AnnounceMessage, UpstreamDeparture};
use group_fixture::{GroupFixture, PROCESS};

fn table(version: u64) -> RouteTable {
    RouteTable { version, ..RouteTable::default() }
}

async fn accept(group: &GroupFixture, version: u64) {
    let leader = group.leader().await;
    let api = group.controllers[leader].as_ref().unwrap().api().clone();
    assert_eq!(api.replace_routes(table(version), vec![1]).await.unwrap(), version);
}

async fn wait_for_version(group: &GroupFixture, index: usize, version: u64) {
    let held = group.controllers[index].as_ref().unwrap();
    group.wait_for(|_| (held.replica().state().routes_version() == version).then_some(())).await;
}

/// Guards against a group that needs an operator to form, and against a table
/// that is accepted while one disk alone holds it.
#[tokio::test]
async fn group_forms_from_seeds() {
    let group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    accept(&group, 3).await;
    for index in 0..3 {
        wait_for_version(&group, index, 3).await;
    }
    let alone = GroupFixture::start_open(1).await;
    let api = alone.controllers[alone.leader().await].as_ref().unwrap().api().clone();
    let refusal = api.replace_routes(table(1), vec![1]).await.unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NoQuorum);
}

/// Guards against a leader whose disk was lost that founds a second group or
/// takes an acknowledged table along.
#[tokio::test]
async fn wiped_leader_joins_again() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    accept(&group, 7).await;
    let leader = group.leader().await;
    group.kill(leader).await;
    group.lose_disk(leader);
    group.restart(leader).await;
    group.wait_for_voters(3).await;
    wait_for_version(&group, leader, 7).await;
    accept(&group, 8).await;
}

/// Guards against a host that is gone for good and counts forever: its
/// successor at another address joins, and the lost voter is removed.
#[tokio::test]
async fn replaced_controller_is_removed() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    accept(&group, 1).await;
    let lost = (group.leader().await + 1) % 3;
    group.kill(lost).await;
    let successor = group.add().await;
    group.wait_for_voters(3).await;
    wait_for_version(&group, successor, 1).await;
    accept(&group, 2).await;
}

/// Guards against a voter that was removed while it was away and never counts
/// again, and against a removal that leaves too few voters.
#[tokio::test]
async fn removed_controller_joins_again() {
    let mut group = GroupFixture::start_open(4).await;
    group.wait_for_voters(4).await;
    let away = (group.leader().await + 1) % 4;
    group.kill(away).await;
    group.wait_for_voters(3).await;
    group.restart(away).await;
    group.wait_for_voters(4).await;
    accept(&group, 5).await;
    wait_for_version(&group, away, 5).await;
}

/// Guards against a departure that is acknowledged and then forgotten with the
/// leader, and against one acknowledged by a controller without a leader.
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
    let left = |handle: &baobabfall_controller::controller::ControllerHandle| {
        handle.replica().state().deregistered().get("u").map(|left| left.incarnation)
    };
    group.wait_for(|_| (left(handle) == Some(9)).then_some(())).await;
    let last = (0..3).find(|index| *index != leader && *index != next).unwrap();
    group.kill(next).await;
    let api = group.controllers[last].as_ref().unwrap().api().clone();
    group.wait_for(|_| (!api.replica.view().leads).then_some(())).await;
    assert!(api.register(AnnounceMessage::Depart(departure)).await.is_err());
}

/// Guards against a stopped controller that still writes: its folder can be
/// removed as soon as the stop has returned.
#[tokio::test]
async fn killed_controller_writes_no_more() {
    for _ in 0..20 {
        let mut group = GroupFixture::start(1).await;
        let writing = group.controllers[0].as_ref().unwrap().api().clone();
        let writes = tokio::spawn(async move {
            for version in 1.. {
                if writing.replace_routes(table(version), vec![0; 100_000]).await.is_err() {
                    return;
                }
            }
        });
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        group.kill(0).await;
        group.lose_disk(0);
        writes.abort();
    }
}

/// Guards against a caller who is sent to the leader only after another
/// controller has used up the caller's time without an answer.
#[tokio::test]
async fn find_leader_silent_controller_holds_up_nobody() {
    let group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let leader = group.address(group.leader().await);
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addresses = [silent.local_addr().unwrap(), group.address(0), group.address(1)];
    let begun = tokio::time::Instant::now();
    assert_eq!(find_leader(&addresses, PROCESS).await, Some(leader));
    assert!(begun.elapsed().as_millis() < 900, "{:?}", begun.elapsed());
}
