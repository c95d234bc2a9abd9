//! Tests of the acknowledgement of route tables and departures while the leader of the group is
//! lost or changes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_controller::control_api::ControlApi;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::RouteTable;
use baobabfall_node::messages::{AnnounceMessage, UpstreamDeparture};
use group_fixture::GroupFixture;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Longest time between the election of a leader and the acknowledgement of a call that waits for
/// it; a client gives a call up after that time without a response.
const CLIENT_PATIENCE: Duration = Duration::from_secs(1);

fn route_table(version: u64) -> RouteTable {
    RouteTable { version, ..RouteTable::default() }
}

fn departure(name: &str) -> AnnounceMessage {
    AnnounceMessage::Depart(UpstreamDeparture { name: name.to_owned(), incarnation: Some(5) })
}

fn api(group: &GroupFixture, index: usize) -> ControlApi {
    group.controllers[index].as_ref().unwrap().api().clone()
}

/// Commits version 7 of the table and the departure of `engine-1` in a group of three, waits until
/// a follower has applied both, stops the other two controllers and returns the follower's index.
async fn leave_one_follower(group: &mut GroupFixture) -> usize {
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    let at_leader = api(group, leader);
    at_leader.register(departure("engine-1")).await.unwrap();
    at_leader.replace_routes(route_table(7), vec![1]).await.unwrap();
    let follower = (leader + 1) % 3;
    let replica = group.controllers[follower].as_ref().unwrap().replica().clone();
    group.wait_for(|_| (replica.state().routes_version() == 7).then_some(())).await;
    group.kill(leader).await;
    group.kill((leader + 2) % 3).await;
    follower
}

/// Guards against a stored table that is refused when a client resends it because the leader was
/// lost before it answered.
#[tokio::test]
async fn replace_routes_resent_without_leader_is_acknowledged() {
    let mut group = GroupFixture::start_open(3).await;
    let follower = leave_one_follower(&mut group).await;
    let follower_api = api(&group, follower);
    for version in [7, 6] {
        let result = follower_api.replace_routes(route_table(version), vec![1]).await;
        assert!(matches!(result, Ok(7)), "version {version} is stored: {result:?}");
    }
}

/// Guards against a committed departure that is refused when an upstream resends it because the
/// leader was lost before it answered.
#[tokio::test]
async fn departure_resent_without_leader_is_acknowledged() {
    let mut group = GroupFixture::start_open(3).await;
    let follower = leave_one_follower(&mut group).await;
    let result = api(&group, follower).register(departure("engine-1")).await;
    assert!(result.is_ok(), "the departure is committed: {result:?}");
}

/// Guards against a table or a departure that a single controller acknowledges without a quorum.
#[tokio::test]
async fn new_change_without_leader_is_refused() {
    let mut group = GroupFixture::start_open(3).await;
    let follower = leave_one_follower(&mut group).await;
    let follower_api = api(&group, follower);
    let refusal = follower_api.replace_routes(route_table(8), vec![1]).await.unwrap_err();
    assert!(matches!(refusal.kind, ErrorKind::NoQuorum | ErrorKind::NotLeader), "{refusal:?}");
    assert!(follower_api.register(departure("engine-2")).await.is_err());
    assert_eq!(follower_api.replica.state().routes_version(), 7);
}

/// Stops the leader, starts `call` at both followers at that moment and checks that each call
/// succeeds within [`CLIENT_PATIENCE`] of the election of the next leader.
async fn assert_acknowledged_across_leaders<F, T, E>(call: impl Fn(ControlApi) -> F)
where
    F: Future<Output = Result<T, E>> + Send + 'static,
    T: Send + 'static,
    E: std::fmt::Debug + Send + 'static,
{
    let mut group = GroupFixture::start_open(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    group.kill(leader).await;
    let calls: Vec<JoinHandle<(Result<(), E>, Instant)>> = [1, 2]
        .into_iter()
        .map(|offset| {
            let call = call(api(&group, (leader + offset) % 3));
            tokio::spawn(async move { (call.await.map(|_| ()), Instant::now()) })
        })
        .collect();
    group.leader().await;
    let elected = Instant::now();
    for call in calls {
        let (result, answered) = call.await.unwrap();
        assert!(result.is_ok(), "refused while the leader changed: {result:?}");
        let waited = answered.saturating_duration_since(elected);
        assert!(waited <= CLIENT_PATIENCE, "acknowledged {waited:?} after the election");
    }
}

/// Guards against a table that is refused at once while the leader changes, so that its
/// acknowledgement depends on when and where the client retries.
#[tokio::test]
async fn replace_routes_while_leader_changes_is_acknowledged() {
    assert_acknowledged_across_leaders(|api| async move {
        api.replace_routes(route_table(7), vec![1]).await
    })
    .await;
}

/// Guards against a departure that is refused at once while the leader changes: the upstream ends
/// without an acknowledgement.
#[tokio::test]
async fn departure_while_leader_changes_is_acknowledged() {
    assert_acknowledged_across_leaders(
        |api| async move { api.register(departure("engine-1")).await },
    )
    .await;
}
