//! Tests of where a router gets its tables from when controllers fail or the leader changes.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;
use support::exchange_site::route_table;
use support::fake_controller::FakeController;
use support::{TestRouter, wait_for};
use tokio::time::Instant;

/// Longest time until a configuration change is in force at a router.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Starts three controllers, of which the second is the leader, and a router that polls it.
async fn start_with_second_as_leader() -> ([FakeController; 3], TestRouter) {
    let start = || FakeController::start(vec![]);
    let controllers = [start().await, start().await, start().await];
    let leader = controllers[1].address;
    for controller in &controllers {
        let mut script = controller.script();
        script.leader = Some(leader);
        script.leads = controller.address == leader;
        script.not_leader = controller.address != leader;
    }
    let addresses = [controllers[0].address, leader, controllers[2].address];
    let router = TestRouter::start(&addresses, "").await;
    wait_for("polls of the leader", || controllers[1].script().sync_count > 1).await;
    (controllers, router)
}

/// Makes the third controller the leader of the next term and gives it a newer table.
fn elect_third_controller(controllers: &[FakeController; 3]) {
    for controller in [&controllers[0], &controllers[2]] {
        let mut script = controller.script();
        (script.term, script.leader) = (4, Some(controllers[2].address));
    }
    let mut script = controllers[2].script();
    (script.leads, script.not_leader) = (true, false);
    script.routes = Some(Arc::new(route_table(7)));
}

async fn assert_table_in_force(router: &TestRouter, changed_at: Instant) {
    wait_for("the new table", || router.handle.state().fleet.routes_version() == 7).await;
    assert!(changed_at.elapsed() < IN_FORCE_LIMIT, "in force after {:?}", changed_at.elapsed());
}

/// Guards against a router that waits for the full poll time of a controller that stopped
/// answering, and then polls it again, while the other controllers have a newer table.
#[tokio::test]
async fn table_sync_silent_leader_is_left_in_time() {
    let (controllers, router) = start_with_second_as_leader().await;
    controllers[1].script().silent = true;
    elect_third_controller(&controllers);
    assert_table_in_force(&router, Instant::now()).await;
}

/// Guards against a router that goes on polling a former leader which still answers, but is
/// partitioned from its group and does not know the new leader.
#[tokio::test]
async fn table_sync_former_leader_is_abandoned_in_time() {
    let (controllers, router) = start_with_second_as_leader().await;
    {
        let mut script = controllers[1].script();
        (script.leads, script.leader) = (false, None);
    }
    elect_third_controller(&controllers);
    assert_table_in_force(&router, Instant::now()).await;
}

/// Guards against a router that does not accept a newer table from a follower until it knows a
/// leader.
#[tokio::test]
async fn table_sync_follower_gives_table_without_leader() {
    let (controllers, router) = start_with_second_as_leader().await;
    controllers[1].script().silent = true;
    controllers[0].script().routes = Some(Arc::new(route_table(7)));
    assert_table_in_force(&router, Instant::now()).await;
}

/// Guards against a router that forgets new members because a controller with an older term sent
/// its stale list of members.
#[tokio::test]
async fn set_members_of_older_term_is_ignored() {
    let (controllers, router) = start_with_second_as_leader().await;
    let link = &router.handle.state().link;
    let joined: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    link.set_members(3, vec![joined]);
    assert!(link.addresses().contains(&joined));
    link.set_members(2, vec![controllers[0].address]);
    assert!(link.addresses().contains(&joined));
}

/// Guards against a router that never gets a newer table because its timeouts are shorter than the
/// time that every controller takes to answer.
#[tokio::test]
async fn table_sync_slow_answers_are_awaited() {
    let (controllers, router) = start_with_second_as_leader().await;
    for controller in &controllers {
        controller.script().delay = Duration::from_millis(700);
    }
    elect_third_controller(&controllers);
    let changed_at = Instant::now();
    while router.handle.state().fleet.routes_version() < 7 {
        assert!(
            changed_at.elapsed() < Duration::from_secs(8),
            "the newer table must arrive within 8 s"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Starts three seeds that are not members and name the members given, with their leader.
async fn start_seeds(members: &[FakeController], term: u64) -> [FakeController; 3] {
    let start = || FakeController::start(vec![]);
    let seeds = [start().await, start().await, start().await];
    for seed in &seeds {
        let mut script = seed.script();
        (script.leads, script.not_leader, script.term) = (false, true, term);
        (script.leader, script.group_age_ms) = (Some(members[0].address), Some(10));
        script.members = members.iter().map(|member| member.address).collect();
    }
    seeds
}

/// Guards against a router that never gets tables because its settings name only hosts that are no
/// members of the group.
#[tokio::test]
async fn initial_table_is_found_through_seeds_that_are_no_members() {
    let leader = FakeController::start(vec![]).await;
    leader.script().routes = Some(Arc::new(route_table(7)));
    let seeds = start_seeds(std::slice::from_ref(&leader), 2).await;
    let router = TestRouter::start(&seeds.each_ref().map(|seed| seed.address), "").await;
    wait_for("the table", || router.handle.state().fleet.routes_version() == 7).await;
    assert_eq!(router.handle.state().link.leader_term(), 3);
}

/// Guards against old tables in force: processes that only know the group are no majority of it.
#[tokio::test]
async fn initial_table_of_one_member_is_not_confirmed_by_seeds() {
    let start = || FakeController::start(vec![]);
    let members = [start().await, start().await, start().await];
    for member in &members {
        let mut script = member.script();
        (script.confirmed, script.leads, script.leader) = (false, false, None);
        script.members = members.iter().map(|member| member.address).collect();
        script.routes = Some(Arc::new(route_table(7)));
    }
    for silent in &members[1..] {
        silent.script().silent = true;
    }
    let seeds = start_seeds(&members, 2).await;
    let router = TestRouter::start(&seeds.each_ref().map(|seed| seed.address), "").await;
    wait_for("questions to the member", || members[0].script().sync_count > 2).await;
    assert!(router.handle.state().fleet.table().is_none());
    members[1].script().silent = false;
    wait_for("the table", || router.handle.state().fleet.routes_version() == 7).await;
}

/// Guards against a router that forgets members because a seed named an older list of them.
#[tokio::test]
async fn learn_group_of_known_term_is_ignored() {
    let (_controllers, router) = start_with_second_as_leader().await;
    let link = &router.handle.state().link;
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    link.set_members(3, vec![address(7)]);
    link.learn_group(3, Some(address(8)), vec![address(8)]);
    assert_eq!(link.members(), [address(7)]);
    link.learn_group(4, Some(address(9)), vec![address(9)]);
    assert_eq!((link.members(), link.leader()), (vec![address(9)], address(9)));
}
