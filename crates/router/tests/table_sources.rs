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
