//! Tests of departures that do not say which incarnation of an upstream leaves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_controller::control_api::ControlApi;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind};
use baobabfall_node::messages::{AnnounceMessage, UpstreamDeparture};
use group_fixture::GroupFixture;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a silent upstream may have started again.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Longest time after its departure in which an upstream that started again gets no requests.
const RETURN_LIMIT: Duration = Duration::from_secs(8);

fn heartbeat(incarnation: u64, sequence: u64) -> AnnounceMessage {
    AnnounceMessage::Announce(vec![UpstreamAnnouncement {
        name: "u".to_owned(),
        incarnation,
        sequence,
        address: "127.0.0.1:7000".parse().unwrap(),
        kind: UpstreamKind::Service,
        serves: vec!["cases".to_owned()],
        zone: "a".to_owned(),
        concurrency: 4,
        pool: None,
        honours_fencing: false,
        resume: false,
        cancel: false,
        leaving: false,
        running: None,
        software: None,
        cold_ms: None,
    }])
}

fn departure() -> AnnounceMessage {
    let name = "u".to_owned();
    AnnounceMessage::Depart(UpstreamDeparture { name, incarnation: None })
}

fn api(group: &GroupFixture, index: usize) -> ControlApi {
    group.controllers[index].as_ref().unwrap().api().clone()
}

/// Incarnation of the upstream that the controller offers to routers.
fn live_incarnation(api: &ControlApi) -> Option<u64> {
    api.registry.lock().live().next().map(|entry| entry.announcement.incarnation)
}

/// Starts a group of three whose leader knows incarnation `known` of the upstream, which has been
/// silent for a while. Returns the indexes of the leader and of the other two.
async fn start_group(known: Option<u64>) -> (GroupFixture, usize, [usize; 2]) {
    let group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    if let Some(incarnation) = known {
        api(&group, leader).register(heartbeat(incarnation, 9)).await.unwrap();
        assert_eq!(live_incarnation(&api(&group, leader)), known);
        tokio::time::sleep(SILENCE).await;
    }
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for other in others {
        let follower = api(&group, other);
        group.wait_for(|_| follower.leader_address().map(|_| ())).await;
    }
    (group, leader, others)
}

/// Guards against requests to an upstream that has left: it started again behind a partition, left
/// without a word on which incarnation leaves, and then a heartbeat that it sent before arrives.
#[tokio::test]
async fn late_heartbeat_after_unnamed_departure_brings_nothing_back() {
    for known in [None, Some(5)] {
        let (group, leader, others) = start_group(known).await;
        api(&group, others[0]).register(departure()).await.unwrap();
        for (sequence, index) in [(1, others[1]), (2, leader), (3, others[0])] {
            let _ = api(&group, index).register(heartbeat(9, sequence)).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            for index in 0..3 {
                assert_eq!(live_incarnation(&api(&group, index)), None, "known: {known:?}");
            }
        }
    }
}

/// Guards against the same when the leader that took the departure is lost before the heartbeat
/// arrives.
#[tokio::test]
async fn late_heartbeat_after_unnamed_departure_stays_out_at_next_leader() {
    for known in [None, Some(5)] {
        let (mut group, leader, others) = start_group(known).await;
        api(&group, others[0]).register(departure()).await.unwrap();
        group.kill(leader).await;
        let next = group.leader().await;
        let begun = Instant::now();
        for sequence in 1.. {
            let _ = api(&group, next).register(heartbeat(9, sequence)).await;
            assert_eq!(live_incarnation(&api(&group, next)), None, "known: {known:?}");
            if begun.elapsed() > Duration::from_millis(500) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against an upstream that is kept out after it has started again under its name, whatever
/// its clock says. `born` is below the incarnation that the leader heard of, or above.
#[tokio::test]
async fn upstream_returns_after_unnamed_departure() {
    for (known, born) in [(None, 1), (None, u64::MAX / 2), (Some(5), 6), (Some(5), u64::MAX / 2)] {
        let (group, leader, others) = start_group(known).await;
        api(&group, others[0]).register(departure()).await.unwrap();
        let left = Instant::now();
        for sequence in 1.. {
            let _ = api(&group, others[1]).register(heartbeat(born, sequence)).await;
            if live_incarnation(&api(&group, leader)) == Some(born) {
                break;
            }
            assert!(left.elapsed() < RETURN_LIMIT, "known: {known:?}, born: {born}");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Guards against an upstream that is kept out for longer than necessary: while the leader hears
/// from an incarnation, a departure is its own, and one that starts afterwards is used at once.
#[tokio::test]
async fn upstream_that_is_heard_returns_at_once() {
    let (group, leader, others) = start_group(None).await;
    api(&group, leader).register(heartbeat(5, 1)).await.unwrap();
    api(&group, others[0]).register(departure()).await.unwrap();
    let _ = api(&group, leader).register(heartbeat(5, 2)).await;
    assert_eq!(live_incarnation(&api(&group, leader)), None);
    api(&group, leader).register(heartbeat(6, 1)).await.unwrap();
    assert_eq!(live_incarnation(&api(&group, leader)), Some(6));
}
