//! Tests of the first start of a site: which controllers form the group, and what it survives.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod diskless_seed;
mod group_fixture;

use baobabfall_controller::founding_witness::{
    FoundingRequest, FoundingStep, FoundingWitness, create_record, read_record,
};
use baobabfall_controller::membership::JoinRequest;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::founding_vote::FoundingBallot;
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use baobabfall_core::route_table::RouteTable;
use diskless_seed::{DisklessSeed, bind};
use group_fixture::GroupFixture;
use std::time::Duration;
use tokio::time::Instant;

fn route_table(version: u64) -> RouteTable {
    RouteTable { version, ..RouteTable::default() }
}

async fn replace_routes(group: &GroupFixture, version: u64) {
    let leader = group.leader().await;
    let api = group.controllers[leader].as_ref().unwrap().api().clone();
    assert_eq!(api.replace_routes(route_table(version), vec![1]).await.unwrap(), version);
}

async fn wait_for_version(group: &GroupFixture, index: usize, version: u64) {
    let handle = group.controllers[index].as_ref().unwrap();
    group.wait_for(|_| (handle.replica().state().routes_version() == version).then_some(())).await;
}

/// Three seeds without a disk, which know of the first start of the site or have restarted since.
async fn start_seeds(group: &GroupFixture, first_starts: [bool; 3]) -> Vec<DisklessSeed> {
    let mut seeds = Vec::new();
    for first_start in first_starts {
        let listener = bind("127.0.0.1:0".parse().unwrap()).await;
        seeds.push(DisklessSeed::start_on(listener, group.options(0).process, first_start));
    }
    seeds
}

/// Guards against a site that never starts, because only a seed founded the group and none of the
/// seeds has a disk.
#[tokio::test]
async fn site_without_disk_at_any_seed_starts() {
    let mut group = GroupFixture::prepare(3, 3);
    let seeds = start_seeds(&group, [true; 3]).await;
    group.named_seeds = Some(seeds.iter().map(|seed| seed.address).collect());
    group.start_first_time(&[0, 1, 2]).await;
    group.wait_for_voters(3).await;
    replace_routes(&group, 1).await;
    seeds[2].wait_for_members(&group, &[0, 1, 2]).await;
}

/// The same, when one of the seeds has restarted since and has forgotten its votes.
#[tokio::test]
async fn site_starts_beside_restarted_seed() {
    let mut group = GroupFixture::prepare(3, 3);
    let seeds = start_seeds(&group, [true, false, true]).await;
    group.named_seeds = Some(seeds.iter().map(|seed| seed.address).collect());
    let started = Instant::now();
    group.start_first_time(&[0, 1, 2]).await;
    group.wait_for_voters(3).await;
    assert!(started.elapsed() < Duration::from_secs(9), "the restarted seed isn't needed");
}

/// Guards against a site that never starts, because the controller that was to found the group lost
/// its disk before others had joined.
#[tokio::test]
async fn founder_that_loses_its_disk_is_not_needed() {
    for delay_ms in [0, 50, 100, 200, 400, 800] {
        let mut group = GroupFixture::prepare(3, 3);
        group.start_first_time(&[0, 1, 2]).await;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let lowest = (0..3).min_by_key(|index| group.address(*index)).unwrap();
        group.kill(lowest).await;
        group.clear_data_folder(lowest);
        group.restart(lowest).await;
        group.wait_for_voters(3).await;
        replace_routes(&group, 8).await;
    }
}

/// Guards against a change that is acknowledged by two disks and lost with one of them, because the
/// third controller came late to the first start.
#[tokio::test]
async fn change_waits_for_enough_disks() {
    let mut group = GroupFixture::prepare(3, 3);
    let late = (0..3).max_by_key(|index| group.address(*index)).unwrap();
    let present = [(late + 1) % 3, (late + 2) % 3];
    group.start_first_time(&present).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for index in present {
        let api = group.controllers[index].as_ref().unwrap().api().clone();
        let asked = Instant::now();
        let refusal = api.replace_routes(route_table(7), vec![1]).await.unwrap_err();
        assert_eq!(refusal.kind, ErrorKind::NoQuorum);
        assert!(asked.elapsed() < Duration::from_millis(500), "what can't be served waits");
    }
    group.start_first_time(&[late]).await;
    group.wait_for_voters(3).await;
    replace_routes(&group, 7).await;
    let lost = group.leader().await;
    group.kill(lost).await;
    group.clear_data_folder(lost);
    group.restart(lost).await;
    group.wait_for_voters(3).await;
    wait_for_version(&group, lost, 7).await;
}

/// Guards against a site that never starts after all its processes were killed while the group
/// formed: no start after that is the first one of the site.
#[tokio::test]
async fn kill_of_all_during_founding_is_survived() {
    for delay_ms in [0, 50, 100, 150, 200, 300, 600] {
        let mut group = GroupFixture::prepare(3, 3);
        group.start_first_time(&[0, 1, 2]).await;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        for index in 0..3 {
            group.kill(index).await;
        }
        for index in 0..3 {
            group.restart(index).await;
        }
        group.wait_for_voters(3).await;
        replace_routes(&group, 2).await;
    }
}

/// Guards against two groups, when more controllers than needed start at different moments and two
/// seeds restart meanwhile.
#[tokio::test]
async fn one_group_forms_of_many_controllers() {
    for round in 0..6_u64 {
        let mut group = GroupFixture::prepare(6, 6);
        let mut seeds = start_seeds(&group, [true; 3]).await;
        group.named_seeds = Some(seeds.iter().map(|seed| seed.address).collect());
        for index in [3, 0, 5, 1, 4, 2] {
            group.start_first_time(&[index]).await;
            tokio::time::sleep(Duration::from_millis(40 * round)).await;
        }
        let restarted = seeds.remove(0).restart(&group).await;
        group.wait_for_voters(6).await;
        let leaders = group.controllers.iter().flatten();
        let leaders = leaders.filter(|handle| handle.replica().view().leads).count();
        assert_eq!(leaders, 1);
        replace_routes(&group, 3).await;
        for index in 0..6 {
            wait_for_version(&group, index, 3).await;
        }
        restarted.wait_for_members(&group, &[0, 1, 2, 3, 4, 5]).await;
    }
}

fn candidate(id: u64) -> JoinRequest {
    let identity = ReplicaIdentity { name: format!("c{id}"), id };
    JoinRequest { identity, address: "127.0.0.1:7400".parse().unwrap() }
}

/// Guards against a vote that a witness forgets in a crash after it was answered, and against a
/// witness without memory that votes at once.
#[tokio::test(start_paused = true)]
async fn witness_keeps_votes_or_abstains() {
    let folder = tempfile::tempdir().unwrap();
    let ballot = FoundingBallot { round: 4, candidate: 9 };
    let members = ReplicaMembers::single(candidate(9).identity, "127.0.0.1:7400");
    let request = |step| FoundingRequest { candidate: candidate(9), step };
    let accept = || request(FoundingStep::Accept(ballot, members.clone()));
    let lower = || request(FoundingStep::Prepare(FoundingBallot { round: 3, candidate: 1 }));

    let record = create_record(folder.path(), vec![candidate(1).address]).unwrap();
    let witness = FoundingWitness::with_disk(folder.path(), &[], Some(&record));
    assert!(witness.answer(accept(), false).await.granted);
    let stored = read_record(folder.path()).unwrap().unwrap();
    assert_eq!(stored.witnesses, [candidate(1).address]);
    let restarted = FoundingWitness::with_disk(folder.path(), &[], Some(&stored));
    let answer = restarted.answer(lower(), false).await;
    assert!(!answer.granted);
    assert_eq!(answer.vote.unwrap().accepted.unwrap().members, members);

    let forgetful = FoundingWitness::without_disk(false);
    let answer = forgetful.answer(accept(), false).await;
    assert_eq!((answer.granted, answer.vote), (false, None));
    tokio::time::advance(Duration::from_secs(11)).await;
    assert!(!forgetful.answer(accept(), true).await.granted, "a group exists");
    assert!(forgetful.answer(accept(), false).await.granted);
}
