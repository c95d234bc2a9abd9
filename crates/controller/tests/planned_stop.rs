//! Tests of planned stops of controllers in an open group: replacements, restarts in place, and
//! stops beside other losses.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_core::route_table::RouteTable;
use group_fixture::GroupFixture;
use std::time::Duration;
use tokio::time::Instant;

async fn replace_routes(group: &GroupFixture, version: u64) {
    let leader = group.leader().await;
    let api = group.controllers[leader].as_ref().unwrap().api().clone();
    let table = RouteTable { version, ..RouteTable::default() };
    assert_eq!(api.replace_routes(table, vec![1]).await.unwrap(), version);
}

/// Reads the table from whichever controller leads.
async fn read_version(group: &GroupFixture) -> u64 {
    let leader = group.leader().await;
    let api = group.controllers[leader].as_ref().unwrap().api().clone();
    api.newest_routes().await.unwrap().unwrap().table.version
}

/// A group of three controllers and `successors` that joined it, with version 7 in force.
async fn group_with_successors(successors: usize) -> GroupFixture {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    for _ in 0..successors {
        group.add_controller().await;
    }
    group.wait_for_voters(3 + successors).await;
    replace_routes(&group, 7).await;
    group
}

async fn stop(group: &mut GroupFixture, index: usize) {
    group.controllers[index].take().unwrap().stop().await;
}

/// Guards against a group that loses its quorum for good when its first members are replaced: they
/// counted as voters after their stop, until the leader had missed their answers for 3 s.
#[tokio::test]
async fn replaced_group_keeps_quorum() {
    for reversed in [false, true] {
        let mut group = group_with_successors(3).await;
        let mut order = [0, 1, 2];
        if reversed {
            order.reverse();
        }
        for index in order {
            stop(&mut group, index).await;
        }
        group.wait_for_voters(3).await;
        assert_eq!(read_version(&group).await, 7);
        replace_routes(&group, 8).await;
    }
}

/// The same, with the three stops at the same moment.
#[tokio::test]
async fn replaced_group_survives_stops_at_the_same_moment() {
    let mut group = group_with_successors(3).await;
    let stops: Vec<_> = (0..3).map(|index| group.controllers[index].take().unwrap()).collect();
    futures_util::future::join_all(stops.into_iter().map(|handle| handle.stop())).await;
    group.wait_for_voters(3).await;
    assert_eq!(read_version(&group).await, 7);
    replace_routes(&group, 8).await;
}

/// Guards against a group that ends when a member is replaced as planned and another one loses its
/// disk a moment later.
#[tokio::test]
async fn replaced_group_survives_lost_disk() {
    let mut group = group_with_successors(1).await;
    stop(&mut group, 0).await;
    group.kill(1).await;
    group.clear_data_folder(1);
    group.restart(1).await;
    group.wait_for_voters(3).await;
    assert_eq!(read_version(&group).await, 7);
    replace_routes(&group, 8).await;
}

/// Guards against a controller that stays out of the group after a planned restart in place, and
/// against one that is slow to come back because its log lacks its own removal.
#[tokio::test]
async fn restarted_controller_joins_again() {
    let mut group = group_with_successors(1).await;
    for index in 0..4 {
        stop(&mut group, index).await;
        group.wait_for_voters(3).await;
        group.restart(index).await;
        group.wait_for_voters(4).await;
    }
    assert_eq!(read_version(&group).await, 7);
    replace_routes(&group, 8).await;
}

/// Guards against a planned restart that leaves the group with fewer copies of each change than the
/// settings ask for.
#[tokio::test]
async fn needed_voter_stays_member_during_restart() {
    let mut group = group_with_successors(0).await;
    let stopped = (group.leader().await + 1) % 3;
    stop(&mut group, stopped).await;
    let members = |group: &GroupFixture, index: usize| {
        let view = group.controllers[index].as_ref().unwrap().replica().view();
        view.members.voters().count()
    };
    assert_eq!(members(&group, (stopped + 1) % 3), 3);
    replace_routes(&group, 8).await;
    group.restart(stopped).await;
    group.wait_for_voters(3).await;
    assert_eq!(read_version(&group).await, 8);
}

/// Guards against a group without a leader, for as long as an election takes, after each planned
/// stop of its leader.
#[tokio::test]
async fn stopped_leader_passes_lead() {
    let mut group = group_with_successors(0).await;
    let leader = group.leader().await;
    let mut handle = group.controllers[leader].take().unwrap();
    let started = Instant::now();
    handle.leave_group().await;
    group.leader().await;
    let elapsed = started.elapsed();
    handle.stop().await;
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}, an election takes 600 ms or more");
    assert_eq!(read_version(&group).await, 7);
}

/// Guards against a planned stop that fails while another member does not answer.
#[tokio::test]
async fn replaced_group_survives_stop_beside_killed_member() {
    let mut group = group_with_successors(1).await;
    let leader = group.leader().await;
    group.kill((leader + 1) % 4).await;
    stop(&mut group, leader).await;
    replace_routes(&group, 8).await;
    group.restart((leader + 1) % 4).await;
    group.wait_for_voters(3).await;
    assert_eq!(read_version(&group).await, 8);
}

/// Guards against a stop that waits for a quorum which does not exist.
#[tokio::test]
async fn stop_without_quorum_ends_in_time() {
    let mut group = group_with_successors(1).await;
    let leader = group.leader().await;
    for offset in [1, 2] {
        group.kill((leader + offset) % 4).await;
    }
    let started = Instant::now();
    stop(&mut group, leader).await;
    assert!(started.elapsed() < Duration::from_secs(7), "{:?}", started.elapsed());
}

/// Guards against replacements that work only once, and against an old member that comes back with
/// its disk when everybody whom its settings name has left.
#[tokio::test]
async fn group_replaced_twice_takes_old_member_back() {
    let mut group = group_with_successors(3).await;
    for index in 0..3 {
        stop(&mut group, index).await;
    }
    replace_routes(&group, 8).await;
    group.named_seeds = Some((3..6).map(|index| group.address(index)).collect());
    for _ in 0..3 {
        group.add_controller().await;
    }
    group.wait_for_voters(6).await;
    for index in 3..6 {
        stop(&mut group, index).await;
    }
    replace_routes(&group, 9).await;
    group.named_seeds = Some((0..3).map(|index| group.address(index)).collect());
    // It left when its successors had joined, so its log names them, and not those after them.
    group.restart(5).await;
    group.wait_for_voters(4).await;
    assert_eq!(read_version(&group).await, 9);
}

/// Guards against a group of five that loses its quorum when it is replaced and two disks are lost
/// at the same time, as its settings allow.
#[tokio::test]
async fn replaced_group_of_five_survives_two_lost_disks() {
    let mut group = GroupFixture::prepare(5, 3);
    group.tolerated = 2;
    group.start_first_time(&[0, 1, 2, 3, 4]).await;
    group.wait_for_voters(5).await;
    for _ in 0..2 {
        group.add_controller().await;
    }
    group.wait_for_voters(7).await;
    replace_routes(&group, 7).await;
    for index in 0..2 {
        stop(&mut group, index).await;
    }
    for index in 2..4 {
        group.kill(index).await;
        group.clear_data_folder(index);
    }
    for index in 2..4 {
        group.restart(index).await;
    }
    group.wait_for_voters(5).await;
    assert_eq!(read_version(&group).await, 7);
    replace_routes(&group, 8).await;
}
