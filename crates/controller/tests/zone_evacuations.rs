//! Tests of the acknowledgement of zone evacuations by a group of real controllers, and of their
//! durability.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_controller::control_api::ControlApi;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::RouteTable;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::messages::{NodeKind, SYNC_PATH, SyncAnswer, SyncRequest};
use baobabfall_node::operator_messages::{EvacuationsView, ZONES_PATH, ZoneEdit};
use group_fixture::{CALL_TIMEOUT, GroupFixture, OPERATOR_TOKEN, PROCESS_TOKEN};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time between the election of a leader and the acknowledgement of an order that waits
/// for it; an operator's tool gives a call up after that time without a response.
const CLIENT_PATIENCE: Duration = Duration::from_secs(1);

fn api(group: &GroupFixture, index: usize) -> ControlApi {
    group.controllers[index].as_ref().unwrap().api().clone()
}

fn zones(group: &GroupFixture, index: usize) -> Vec<String> {
    api(group, index).replica.state().evacuations().list().zones
}

async fn wait_for_zones(group: &GroupFixture, index: usize, expected: &[&str]) {
    group.wait_for(|group| (zones(group, index) == expected).then_some(())).await;
}

async fn start_open_group() -> (GroupFixture, usize) {
    let group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    (group, leader)
}

/// Guards against an order that is refused at a follower, or refused when it is sent again to
/// another controller because its acknowledgement was lost.
#[tokio::test]
async fn order_evacuation_at_follower_is_acknowledged_again() {
    let (group, leader) = start_open_group().await;
    for evacuated in [true, false] {
        for offset in [1, 2, 0, 1] {
            let api = api(&group, (leader + offset) % 3);
            api.order_evacuation("z1", evacuated).await.unwrap();
        }
        let expected: &[&str] = if evacuated { &["z1"] } else { &[] };
        for index in 0..3 {
            wait_for_zones(&group, index, expected).await;
        }
    }
    assert_eq!(api(&group, leader).replica.state().evacuations().version(), 2);
}

/// Guards against an order that fails while the leader changes and configurations arrive, so that
/// its acknowledgement depends on when the operator sends it.
#[tokio::test]
async fn order_evacuation_while_leader_changes_is_acknowledged() {
    let (mut group, leader) = start_open_group().await;
    group.kill(leader).await;
    let calls = [1, 2].map(|offset| {
        let api = api(&group, (leader + offset) % 3);
        tokio::spawn(async move {
            let table = RouteTable { version: 7, ..RouteTable::default() };
            let (ordered, _) =
                tokio::join!(api.order_evacuation("z1", true), api.replace_routes(table, vec![1]));
            (ordered, Instant::now())
        })
    });
    group.leader().await;
    let elected = Instant::now();
    for call in calls {
        let (ordered, answered) = call.await.unwrap();
        assert!(ordered.is_ok(), "refused while the leader changed: {ordered:?}");
        let waited = answered.saturating_duration_since(elected);
        assert!(waited <= CLIENT_PATIENCE, "acknowledged {waited:?} after the election");
    }
}

/// Guards against an acknowledgement by a controller that has no quorum, also of an order that it
/// believes to be in force: the zone may have been readmitted meanwhile.
#[tokio::test]
async fn order_evacuation_without_quorum_is_refused() {
    let (mut group, leader) = start_open_group().await;
    api(&group, leader).order_evacuation("z1", true).await.unwrap();
    let follower = (leader + 1) % 3;
    wait_for_zones(&group, follower, &["z1"]).await;
    group.kill(leader).await;
    group.kill((leader + 2) % 3).await;
    for zone in ["z1", "z2"] {
        let refusal = api(&group, follower).order_evacuation(zone, true).await.unwrap_err();
        assert!(matches!(refusal.kind, ErrorKind::NoQuorum | ErrorKind::NotLeader), "{refusal:?}");
    }
}

/// Guards against an acknowledged evacuation that is lost with the leader's disk or when all
/// controllers restart at once.
#[tokio::test]
async fn evacuation_survives_lost_disk_and_restart_of_all() {
    let (mut group, leader) = start_open_group().await;
    api(&group, (leader + 1) % 3).order_evacuation("z1", true).await.unwrap();
    group.kill(leader).await;
    group.clear_data_folder(leader);
    group.restart(leader).await;
    group.wait_for_voters(3).await;
    wait_for_zones(&group, leader, &["z1"]).await;
    for index in 0..3 {
        group.kill(index).await;
    }
    for index in 0..3 {
        group.restart(index).await;
    }
    for index in 0..3 {
        wait_for_zones(&group, index, &["z1"]).await;
    }
}

async fn sync(group: &GroupFixture, index: usize, version: u64, wait_ms: u32) -> SyncAnswer {
    let request = SyncRequest {
        node: NodeIdentity { name: "router-1".to_owned(), incarnation: 1 },
        kind: NodeKind::Router,
        zone: "z0".to_owned(),
        revision: 1,
        stops_version: 0,
        registry_version: (9, 0),
        in_progress: 0,
        wait_ms,
        routes_version: 0,
        departures_version: 0,
        leader_term: u64::MAX,
        evacuations_version: version,
        origins: None,
    };
    let client = PeerClient::new(group.address(index));
    client.call(SYNC_PATH, PROCESS_TOKEN, &request, CALL_TIMEOUT).await.unwrap()
}

/// Guards against a restarted controller that presents its snapshot as the newest set although its
/// log holds an order: a router that starts meanwhile would take it for settled.
#[tokio::test]
async fn sync_with_unapplied_order_says_pending() {
    let (mut group, leader) = start_open_group().await;
    api(&group, leader).order_evacuation("z1", true).await.unwrap();
    let follower = (leader + 1) % 3;
    wait_for_zones(&group, follower, &["z1"]).await;
    assert!(!sync(&group, follower, 0, 0).await.evacuation_pending);
    for index in 0..3 {
        group.kill(index).await;
    }
    group.restart(follower).await;
    let answer = sync(&group, follower, 0, 0).await;
    assert!(answer.evacuation_pending && answer.evacuations.is_none(), "{answer:?}");
}

/// Guards against a change that reaches routers only when their long poll ends.
#[tokio::test]
async fn sync_is_woken_by_evacuation() {
    let (group, leader) = start_open_group().await;
    let follower = (leader + 1) % 3;
    let mut fastest = Duration::MAX;
    // Repeated, because a busy machine may delay any one answer.
    for round in 0..6_u64 {
        let ordering_api = api(&group, leader);
        let order = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            ordering_api.order_evacuation("z1", round % 2 == 0).await.unwrap();
            Instant::now()
        });
        let list = loop {
            if let Some(list) = sync(&group, follower, round, 1000).await.evacuations {
                break list;
            }
        };
        assert_eq!((list.version, list.zones.is_empty()), (round + 1, round % 2 == 1));
        let answered = Instant::now();
        fastest = fastest.min(answered.saturating_duration_since(order.await.unwrap()));
    }
    assert!(fastest < Duration::from_millis(500), "answered {fastest:?} after the order");
}

async fn post(client: &PeerClient, edit: ZoneEdit) -> Result<EvacuationsView, PeerError> {
    client.call_json(ZONES_PATH, OPERATOR_TOKEN, Some(&edit), CALL_TIMEOUT).await
}

/// Guards against an operator's tool that is refused by a follower, and against names that are no
/// zone's.
#[tokio::test]
async fn zones_path_at_any_controller_answers() {
    let (group, leader) = start_open_group().await;
    let client = PeerClient::new(group.address((leader + 2) % 3));
    let edit = |name: &str, evacuated| ZoneEdit {
        operator: "ana".to_owned(),
        name: name.to_owned(),
        evacuated,
    };
    post(&client, edit("z1", true)).await.unwrap();
    wait_for_zones(&group, (leader + 2) % 3, &["z1"]).await;
    let read =
        client.call_json::<(), EvacuationsView>(ZONES_PATH, OPERATOR_TOKEN, None, CALL_TIMEOUT);
    let view = read.await.unwrap();
    assert_eq!(
        (view.version, view.zones[0].name.as_str(), view.zones[0].evacuated),
        (1, "z1", true)
    );
    for name in ["", "Z1", "a/b", "%7a1", "z 1", &"z".repeat(65)] {
        let refusal = post(&client, edit(name, true)).await.unwrap_err();
        assert_eq!(refusal.kind(), ErrorKind::MalformedRequest, "{name:?}");
    }
    post(&client, edit("z1", false)).await.unwrap();
}
