//! Tests of streams relayed from an upstream that the dispatcher granted.

mod support;

use baobabfall_core::dispatch_messages::LeaseEnd;
use support::fake_controller::FakeController;
use support::fake_upstream::{END, FakeUpstream, event, header_of};
use support::{STREAM_REQUEST, TestRouter, announcement, wait_for};

/// Guards against a stream that is changed on its way, a request id that is
/// lost, and a slot that is not settled with the cost of the events.
#[tokio::test]
async fn completion_stream_is_relayed_unchanged() {
    let upstream = FakeUpstream::start(vec![]).await;
    let controller = FakeController::start(vec![announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "").await;
    let headers = [("baobabfall-request-id", "request-7")];
    let answer = router.post("/v1/chat/completions", &headers, STREAM_REQUEST).await;
    assert_eq!(answer.status, 200);
    assert!(answer.complete);
    assert_eq!(answer.body, format!("{}{}{}{END}", event(0), event(1), event(2)));
    assert_eq!(answer.header("baobabfall-request-id"), "request-7");
    let head = upstream.log().requests[0].0.clone();
    assert_eq!(header_of(&head, "baobabfall-request-id"), "request-7");
    assert_eq!(header_of(&head, "authorization"), "", "the caller's key must stay here");
    wait_for("settlement", || !controller.script().ended.is_empty()).await;
    let (_, end, charged) = controller.script().ended[0];
    assert_eq!(end, LeaseEnd::Finished);
    let prompt = u64::try_from(STREAM_REQUEST.len()).unwrap() / 4 * 100;
    assert_eq!(charged, prompt + 3000);
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"finished\""), 1);
}
