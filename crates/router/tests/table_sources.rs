//! Tests of where a router gets its tables from while controllers are lost.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;
use support::exchange_site::table;
use support::fake_controller::FakeController;
use support::{TestRouter, wait_for};
use tokio::time::Instant;

/// Time in which a change of the configuration has to be in force.
const IN_FORCE_TIME: Duration = Duration::from_secs(2);

/// Three controllers, of which the middle one leads, and a router that polls it.
async fn led_by_the_second() -> ([FakeController; 3], TestRouter) {
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
    wait_for("poll of the leader", || controllers[1].script().syncs > 1).await;
    (controllers, router)
}

/// Makes the third controller the leader of the next term, with a newer table.
fn elect_the_third(controllers: &[FakeController; 3]) {
    for controller in [&controllers[0], &controllers[2]] {
        let mut script = controller.script();
        (script.term, script.leader) = (4, Some(controllers[2].address));
    }
    let mut script = controllers[2].script();
    (script.leads, script.not_leader) = (true, false);
    script.routes = Some(Arc::new(table(7)));
}

async fn assert_in_force(router: &TestRouter, begun: Instant) {
    wait_for("the new table", || router.handle.state().fleet.routes_version() == 7).await;
    assert!(begun.elapsed() < IN_FORCE_TIME, "in force after {:?}", begun.elapsed());
}

/// Guards against a router that waits out the poll of a controller that stopped
/// answering, and then polls it again, while the others hold a newer table.
#[tokio::test]
async fn table_sync_silent_leader_is_left_in_time() {
    let (controllers, router) = led_by_the_second().await;
    controllers[1].script().silent = true;
    elect_the_third(&controllers);
    assert_in_force(&router, Instant::now()).await;
}

/// Guards against a router that goes on polling a controller that answers but
/// was cut off from its group and knows of no other leader.
#[tokio::test]
async fn table_sync_deposed_leader_is_left_in_time() {
    let (controllers, router) = led_by_the_second().await;
    {
        let mut script = controllers[1].script();
        (script.leads, script.leader) = (false, None);
    }
    elect_the_third(&controllers);
    assert_in_force(&router, Instant::now()).await;
}

/// Guards against a router that waits for a leader to be known before it takes
/// a newer table from a follower.
#[tokio::test]
async fn table_sync_follower_gives_table_without_leader() {
    let (controllers, router) = led_by_the_second().await;
    controllers[1].script().silent = true;
    controllers[0].script().routes = Some(Arc::new(table(7)));
    assert_in_force(&router, Instant::now()).await;
}

/// Guards against members that joined later and are forgotten when a controller
/// that lags behind tells its members.
#[tokio::test]
async fn set_members_of_older_term_is_ignored() {
    let (controllers, router) = led_by_the_second().await;
    let link = &router.handle.state().link;
    let joined: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    link.set_members(3, vec![joined]);
    assert!(link.addresses().contains(&joined));
    link.set_members(2, vec![controllers[0].address]);
    assert!(link.addresses().contains(&joined));
}

/// Guards against a slow router that gives up every answer before it comes and
/// never gets a newer table.
#[tokio::test]
async fn table_sync_slow_answers_are_awaited() {
    let (controllers, router) = led_by_the_second().await;
    for controller in &controllers {
        controller.script().delay = Duration::from_millis(700);
    }
    elect_the_third(&controllers);
    let begun = Instant::now();
    while router.handle.state().fleet.routes_version() < 7 {
        assert!(begun.elapsed() < Duration::from_secs(8), "no newer table");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
