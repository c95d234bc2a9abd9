//! Tests of local mode, in which the router dispatches requests itself because no dispatcher
//! answers.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::dispatch_messages::LeaseEnd;
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use support::fake_controller::FakeController;
use support::fake_upstream::{FakeUpstream, Step, complete_answer};
use support::{TestRouter, model_announcement, wait_for};

const REQUEST: &str = r#"{"model":"small"}"#;

/// A router whose controller grants a single slot and can stop answering.
struct SilentFleet {
    upstream: FakeUpstream,
    controller: FakeController,
    router: TestRouter,
}

async fn start_fleet() -> SilentFleet {
    let gated_answer = vec![Step::Gate, Step::Write(complete_answer(200, "{\"first\":1}"))];
    let next_answer = vec![Step::Write(complete_answer(200, "{\"next\":1}"))];
    let upstream = FakeUpstream::start(vec![gated_answer, next_answer.clone(), next_answer]).await;
    let controller =
        FakeController::start(vec![model_announcement("engine-1", upstream.address)]).await;
    controller.script().free_slots = 1;
    let router = TestRouter::ready(&controller, "").await;
    SilentFleet { upstream, controller, router }
}

impl SilentFleet {
    /// Waits until the first request runs, then stops the controller's answers and waits for
    /// local mode.
    async fn silence_controller(&self) {
        wait_for("the first dispatch", || self.upstream.log().non_health_requests().len() == 1)
            .await;
        self.controller.script().silent = true;
        wait_for("local mode", || self.router.handle.is_local()).await;
    }
}

/// Guards against granted slots that stay unused while no dispatcher answers, against two requests
/// on one slot at a time, and against charges of local mode that are never reported to the next
/// dispatcher.
#[tokio::test]
async fn silent_dispatcher_held_slot_is_reused_and_reported() {
    let fleet = start_fleet().await;
    let first = fleet.router.post("/v1/completions", &[], REQUEST);
    let second = async {
        fleet.silence_controller().await;
        fleet.router.post("/v1/completions", &[], REQUEST).await
    };
    let release = async {
        let queue = &fleet.router.handle.state().queue;
        wait_for("the second request to be queued", || queue.book().queued() == 1).await;
        wait_for("health checks", || fleet.upstream.log().requests.len() >= 3).await;
        assert_eq!(
            fleet.upstream.log().non_health_requests().len(),
            1,
            "the only slot must run one request at a time"
        );
        fleet.upstream.open_gate();
    };
    let (first, second, ()) = tokio::join!(first, second, release);
    assert_eq!((first.body.as_str(), second.body.as_str()), ("{\"first\":1}", "{\"next\":1}"));
    fleet.controller.script().silent = false;
    wait_for("the end of local mode", || !fleet.router.handle.is_local()).await;
    wait_for("reports of both leases", || fleet.controller.script().ended_leases.len() == 2).await;
    let ended = fleet.controller.script().ended_leases.clone();
    assert!(ended.iter().all(|(_, end, charged)| *end == LeaseEnd::Finished && *charged == 400));
    assert_eq!(ended.iter().filter(|(lease, ..)| lease.term == LOCAL_TERM).count(), 1);
}

/// Guards against local dispatch to an upstream that is shutting down. While no controller can
/// tell the router, only the answer to a health check shows it.
#[tokio::test]
async fn leaving_upstream_gets_no_local_requests() {
    let fleet = start_fleet().await;
    let first = fleet.router.post("/v1/completions", &[], REQUEST);
    let second = async {
        fleet.upstream.log().leaving = true;
        fleet.silence_controller().await;
        let headers = [("baobabfall-deadline-ms", "1500")];
        fleet.router.post("/v1/completions", &headers, REQUEST).await
    };
    let release = async {
        wait_for("local mode", || fleet.router.handle.is_local()).await;
        fleet.upstream.open_gate();
    };
    let (first, second, ()) = tokio::join!(first, second, release);
    assert_eq!(first.status, 200, "the running request must not be cut");
    assert_eq!(second.code(), "deadline_before_dispatch");
    let health = |head: &str| head.starts_with("GET /health ");
    assert!(fleet.upstream.log().requests.iter().any(|(head, _)| health(head)));
    assert_eq!(fleet.upstream.log().non_health_requests().len(), 1);
}
