//! Tests of seeds that are not members of the group, for want of a disk or because they lost it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod diskless_seed;
mod group_fixture;

use baobabfall_controller::group_directory::{GroupDirectory, GroupNotice};
use baobabfall_node::credentials::CredentialFile;
use diskless_seed::DisklessSeed;
use group_fixture::{GroupFixture, PROCESS_TOKEN};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Names other seeds to all running controllers, as changed settings do.
fn exchange_seeds(group: &mut GroupFixture, seeds: &[SocketAddr]) {
    for handle in group.controllers.iter().flatten() {
        handle.api().options.seeds.replace(seeds.to_vec());
    }
    group.named_seeds = Some(seeds.to_vec());
}

/// Guards against a group that nobody finds once all its seeds have lost or never had a disk: a
/// seed must learn of the members, also after its own restart and after the restart of all members.
#[tokio::test]
async fn seed_without_disk_learns_group() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let seed = DisklessSeed::start(&group, None).await;
    exchange_seeds(&mut group, &[seed.address]);
    seed.wait_for_members(&group, &[0, 1, 2]).await;
    for index in 0..3 {
        group.kill(index).await;
    }
    let seed = seed.restart(&group).await;
    for index in 0..3 {
        group.restart(index).await;
    }
    seed.wait_for_members(&group, &[0, 1, 2]).await;
    group.leader().await;
}

/// Guards against an empty controller that stays out of the group because its seeds are no members.
#[tokio::test]
async fn empty_controller_joins_through_seed_without_disk() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let seed = DisklessSeed::start(&group, None).await;
    exchange_seeds(&mut group, &[seed.address]);
    group.add_controller().await;
    group.wait_for_voters(4).await;
    seed.wait_for_members(&group, &[0, 1, 2, 3]).await;
}

/// Guards against a controller that lost its disk and whose settings name nobody but itself: the
/// members must find it, since it cannot find them.
#[tokio::test]
async fn wiped_controller_that_is_the_only_seed_joins_again() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let lost = (group.leader().await + 1) % 3;
    let seed = group.address(lost);
    exchange_seeds(&mut group, &[seed]);
    group.kill(lost).await;
    group.clear_data_folder(lost);
    group.restart(lost).await;
    group.wait_for_voters(3).await;
}

/// Guards against a host that starts with older settings than the others, whose seeds have
/// restarted since the members' settings ceased to name them.
#[tokio::test]
async fn former_seed_is_informed_again() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let former = DisklessSeed::start(&group, None).await;
    let current = DisklessSeed::start(&group, None).await;
    exchange_seeds(&mut group, &[former.address]);
    former.wait_for_members(&group, &[0, 1, 2]).await;
    exchange_seeds(&mut group, &[current.address]);
    current.wait_for_members(&group, &[0, 1, 2]).await;
    let former = former.restart(&group).await;
    former.wait_for_members(&group, &[0, 1, 2]).await;
}

/// A listener whose address sorts before those that the system picks.
async fn bind_low_port() -> TcpListener {
    for port in 20_000..30_000 {
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)).await {
            return listener;
        }
    }
    panic!("no port is free");
}

/// Guards against a site that never forms a group, because the seed with the lowest address has no
/// disk at the first start.
#[tokio::test]
async fn lowest_seed_with_disk_founds_group() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("process"), PROCESS_TOKEN).unwrap();
    let credential = CredentialFile::open(&folder.path().join("process")).unwrap();
    let listener = bind_low_port().await;
    let lowest = listener.local_addr().unwrap();
    let seed = tokio::spawn(async move {
        // The others start first and wait for it.
        tokio::time::sleep(Duration::from_millis(300)).await;
        DisklessSeed::start_on(listener, credential, true)
    });
    let group = GroupFixture::start_open_behind(3, vec![lowest]).await;
    group.wait_for_voters(3).await;
    seed.await.unwrap().wait_for_members(&group, &[0, 1, 2]).await;
}

/// Guards against a member that was cut off or removed, whose old list of members must not replace
/// a later one, whatever its term.
#[test]
fn record_notice_of_shorter_log_changes_nothing() {
    let member = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let notice = |committed, term, members: &[u16]| GroupNotice {
        sender: member(members[0]),
        term,
        committed,
        leader: members.last().map(|port| member(*port)),
        members: members.iter().map(|port| member(*port)).collect(),
    };
    let directory = GroupDirectory::default();
    assert!(!directory.presence().in_group);
    assert!(directory.sync_answer().controllers.is_empty());
    directory.record(notice(7, 3, &[1, 2]));
    directory.record(notice(6, 9, &[1, 4]));
    assert_eq!(directory.members(), [member(2), member(1)], "the leader comes first");
    directory.record(notice(8, 4, &[2, 3]));
    assert_eq!(directory.members(), [member(3), member(2)]);
    let answer = directory.sync_answer();
    assert_eq!((answer.term, answer.leader), (4, Some(member(3))));
    assert!(answer.group_age_ms.is_some() && !answer.confirmed && answer.table.is_none());
}
