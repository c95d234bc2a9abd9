//! Tests of dispatch by the router itself while no dispatcher answers.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::dispatch_messages::LeaseEnd;
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use support::fake_controller::FakeController;
use support::fake_upstream::{FakeUpstream, Step, whole};
use support::{TestRouter, announcement, wait_for};

const REQUEST: &str = r#"{"model":"small"}"#;

/// A router with one running request on the only granted slot, whose
/// dispatcher then falls silent.
struct SilentFleet {
    upstream: FakeUpstream,
    controller: FakeController,
    router: TestRouter,
}

async fn fleet() -> SilentFleet {
    let gated = vec![Step::Gate, Step::Write(whole(200, "{\"first\":1}"))];
    let next = vec![Step::Write(whole(200, "{\"next\":1}"))];
    let upstream = FakeUpstream::start(vec![gated, next.clone(), next]).await;
    let controller = FakeController::start(vec![announcement("engine-1", upstream.address)]).await;
    controller.script().slots = 1;
    let router = TestRouter::ready(&controller, "").await;
    SilentFleet { upstream, controller, router }
}

impl SilentFleet {
    async fn fall_silent(&self) {
        wait_for("dispatch", || self.upstream.log().work().len() == 1).await;
        self.controller.script().silent = true;
        wait_for("local mode", || self.router.handle.is_local()).await;
    }
}

/// Guards against held slots that stand idle while no dispatcher answers,
/// against a second use of one slot, and against local service that the next
/// dispatcher never hears of.
#[tokio::test]
async fn silent_dispatcher_held_slot_is_reused_and_reported() {
    let fleet = fleet().await;
    let first = fleet.router.post("/v1/completions", &[], REQUEST);
    let second = async {
        fleet.fall_silent().await;
        fleet.router.post("/v1/completions", &[], REQUEST).await
    };
    let gate = async {
        let queue = &fleet.router.handle.state().queue;
        wait_for("queue", || queue.book().queued() == 1).await;
        wait_for("health checks", || fleet.upstream.log().requests.len() >= 3).await;
        assert_eq!(fleet.upstream.log().work().len(), 1, "the only slot is in use");
        fleet.upstream.open_gate();
    };
    let (first, second, ()) = tokio::join!(first, second, gate);
    assert_eq!((first.body.as_str(), second.body.as_str()), ("{\"first\":1}", "{\"next\":1}"));
    fleet.controller.script().silent = false;
    wait_for("end of local mode", || !fleet.router.handle.is_local()).await;
    wait_for("reports", || fleet.controller.script().ended.len() == 2).await;
    let ended = fleet.controller.script().ended.clone();
    assert!(ended.iter().all(|(_, end, charged)| *end == LeaseEnd::Finished && *charged == 400));
    assert_eq!(ended.iter().filter(|(lease, ..)| lease.term == LOCAL_TERM).count(), 1);
}

/// Guards against new work for an upstream that tells the health check that it
/// leaves while no controller can tell the router.
#[tokio::test]
async fn leaving_upstream_gets_no_local_work() {
    let fleet = fleet().await;
    let first = fleet.router.post("/v1/completions", &[], REQUEST);
    let second = async {
        fleet.upstream.log().leaving = true;
        fleet.fall_silent().await;
        let headers = [("baobabfall-deadline-ms", "1500")];
        fleet.router.post("/v1/completions", &headers, REQUEST).await
    };
    let gate = async {
        wait_for("local mode", || fleet.router.handle.is_local()).await;
        fleet.upstream.open_gate();
    };
    let (first, second, ()) = tokio::join!(first, second, gate);
    assert_eq!(first.status, 200, "running work is not cut");
    assert_eq!(second.code(), "deadline_before_dispatch");
    let health = |head: &str| head.starts_with("GET /health ");
    assert!(fleet.upstream.log().requests.iter().any(|(head, _)| health(head)));
    assert_eq!(fleet.upstream.log().work().len(), 1);
}
