//! Tests of followers as sources of tables, departures and the registry.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_core::dispatch_messages::{
    NodeIdentity, OriginAnswer, OriginCopy, OriginGroup, OriginLookup, StreamOrigin,
};
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::messages::{
    ANNOUNCE_PATH, NodeKind, ORIGINS_PATH, SYNC_PATH, SyncAnswer, SyncRequest, WITHDRAW_PATH,
};
use group_fixture::{CALL_TIMEOUT, GroupFixture, PROCESS_TOKEN, UPSTREAM_TOKEN};
use serde_json::{Value, json};

async fn sync(group: &GroupFixture, index: usize) -> SyncAnswer {
    sync_with(group, index, None).await
}

async fn sync_with(group: &GroupFixture, index: usize, origins: Option<OriginCopy>) -> SyncAnswer {
    let request = SyncRequest {
        node: NodeIdentity { name: "router-1".to_owned(), incarnation: 1 },
        kind: NodeKind::Router,
        zone: "z0".to_owned(),
        revision: 1,
        stops_version: 0,
        registry_version: (0, 0),
        in_progress: 0,
        wait_ms: 0,
        routes_version: 0,
        departures_version: 0,
        leader_term: u64::MAX,
        evacuations_version: 0,
        origins,
    };
    let client = PeerClient::new(group.address(index));
    client.call(SYNC_PATH, PROCESS_TOKEN, &request, CALL_TIMEOUT).await.unwrap()
}

async fn call_upstream_path(group: &GroupFixture, index: usize, path: &str, body: &Value) {
    let client = PeerClient::new(group.address(index));
    let _: Value = client.call_json(path, UPSTREAM_TOKEN, Some(body), CALL_TIMEOUT).await.unwrap();
}

fn announcement(name: &str, port: u16) -> Value {
    json!({
        "name": name, "incarnation": 5, "sequence": 1, "address": format!("127.0.0.1:{port}"),
        "kind": "model", "serves": ["m"], "zone": "z0", "concurrency": 4,
    })
}

/// Guards against a fleet that learns of upstreams and departures only from whoever leads.
#[tokio::test]
async fn sync_with_follower_brings_registry_and_departures() {
    let group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    call_upstream_path(&group, leader, ANNOUNCE_PATH, &announcement("a", 9001)).await;
    call_upstream_path(&group, leader, ANNOUNCE_PATH, &announcement("b", 9002)).await;
    let withdrawal = json!({"name": "a", "incarnation": 5});
    call_upstream_path(&group, leader, WITHDRAW_PATH, &withdrawal).await;
    for index in (0..3).filter(|index| *index != leader) {
        let mut answer = sync(&group, index).await;
        let names = |answer: &SyncAnswer| -> Vec<String> {
            let upstreams = answer.registry.iter().flat_map(|view| &view.upstreams);
            upstreams.map(|upstream| upstream.name.clone()).collect()
        };
        while names(&answer) != ["b"] || answer.departures.is_none() {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            answer = sync(&group, index).await;
        }
        assert!(answer.in_contact && !answer.leads);
        let list = answer.departures.unwrap();
        let left: Vec<_> =
            list.departures.iter().map(|(name, left)| (name.as_str(), left.incarnation)).collect();
        assert_eq!(left, [("a", 5)]);
    }
}

/// Guards against a router that stays with a controller which is cut off from its group.
#[tokio::test]
async fn sync_with_controller_without_group_says_so() {
    let mut group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    assert!(sync(&group, others[0]).await.in_contact);
    group.kill(leader).await;
    group.kill(others[1]).await;
    let handle = group.controllers[others[0]].as_ref().unwrap();
    group.wait_for(|_| (!handle.replica().view().in_contact).then_some(())).await;
    assert!(!sync(&group, others[0]).await.in_contact);
}

/// Guards against streams that nobody knows any more once the leader and the router that began them
/// are lost together: a follower holds a copy, and says when it has lost it.
#[tokio::test]
async fn sync_with_follower_keeps_copy_of_origins() {
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    let follower = (leader + 1) % 3;
    let software = SoftwareVersion::parse("v1").unwrap();
    let origin = StreamOrigin { service: "m".to_owned(), software };
    let begun = vec![OriginGroup { origin: Some(origin.clone()), streams: vec![(7, 60_000)] }];
    let copy = OriginCopy { holder: 0, begun };
    let holder = sync_with(&group, follower, Some(copy)).await.holder;
    assert!(holder > 0);
    assert_eq!(sync(&group, follower).await.holder, 0, "nothing was listed");
    group.kill(leader).await;
    let lookup = OriginLookup { keys: vec![7, 8] };
    let client = PeerClient::new(group.address(follower));
    let answers: Vec<OriginAnswer> =
        client.call(ORIGINS_PATH, PROCESS_TOKEN, &lookup, CALL_TIMEOUT).await.unwrap();
    let found: Vec<_> = answers.into_iter().map(|answer| (answer.key, answer.origin)).collect();
    assert_eq!(found, [(7, Some(origin)), (8, None)]);
    group.restart(leader).await;
    group.kill(follower).await;
    group.restart(follower).await;
    let later = OriginCopy { holder, begun: vec![] };
    assert_ne!(sync_with(&group, follower, Some(later)).await.holder, holder);
}
