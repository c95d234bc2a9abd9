//! Tests of streams relayed from an upstream that the dispatcher granted.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::dispatch_messages::LeaseEnd;
use support::fake_controller::FakeController;
use support::fake_upstream::{
    END, FakeUpstream, Step, chunk, event, event_chunks, header_of, stream_head, whole,
};
use support::{Answer, STREAM_REQUEST, TestRouter, announcement, wait_for};

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

async fn relay_of(scripts: Vec<Vec<Step>>) -> (FakeUpstream, FakeController, TestRouter) {
    let upstream = FakeUpstream::start(scripts).await;
    let controller = FakeController::start(vec![announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "").await;
    (upstream, controller, router)
}

fn broken_after(from: u64, to: u64) -> Vec<Step> {
    vec![Step::Write(format!("{}{}", stream_head(), event_chunks(from, to))), Step::Close]
}

fn resumed(from: u64, to: u64) -> Vec<Step> {
    let chunks = event_chunks(from, to);
    vec![Step::Write(format!("{}{chunks}{}0\r\n\r\n", stream_head(), chunk(END)))]
}

/// Guards against doubled or missing events when a broken stream is resumed,
/// also in the middle of an event.
#[tokio::test]
async fn broken_stream_is_resumed_and_overlap_is_cut() {
    let mut broken = broken_after(0, 2);
    broken.insert(1, Step::Write(chunk("data: {\"position\":2,\"cho")));
    let (upstream, _controller, router) = relay_of(vec![broken, resumed(1, 5)]).await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    let expected: String = (0..5).map(event).collect();
    assert_eq!(answer.body, format!("{expected}{END}"));
    let log = upstream.log();
    assert_eq!(header_of(&log.requests[1].0, "baobabfall-resume-from"), "2");
    assert_eq!(log.requests[1].1, STREAM_REQUEST);
    drop(log);
    assert_eq!(router.metric("baobabfall_answers_total", "completeness=\"complete\""), 1);
}

/// Guards against a resumed stream that silently lacks an event.
#[tokio::test]
async fn resumed_stream_with_gap_ends_with_error_event() {
    let scripts = vec![broken_after(0, 2), resumed(3, 5), resumed(3, 5), resumed(3, 5)];
    let (_upstream, controller, router) = relay_of(scripts).await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    let (relayed, error) = answer.body.split_once("event: error\n").unwrap();
    assert_eq!(relayed, format!("{}{}", event(0), event(1)));
    assert!(error.contains("\"code\":\"answer_incomplete\""), "{error}");
    assert!(error.contains("\"not_run\":false"), "{error}");
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"outcome_unknown\""), 1);
    wait_for("settlement", || !controller.script().ended.is_empty()).await;
    assert_eq!(controller.script().ended[0].1, LeaseEnd::Failed);
}

/// Guards against a stream that ends without its end marker and passes as complete.
#[tokio::test]
async fn stream_without_end_marker_is_incomplete() {
    let short = format!("{}{}0\r\n\r\n", stream_head(), event_chunks(0, 2));
    let scripts = vec![vec![Step::Write(short)]; 5];
    let upstream = FakeUpstream::start(scripts).await;
    let mut engine = announcement("engine-1", upstream.address);
    engine.resume = false;
    let controller = FakeController::start(vec![engine]).await;
    let router = TestRouter::ready(&controller, "").await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    assert!(answer.body.contains("event: error\n") && !answer.body.contains("[DONE]"));
    assert_eq!(upstream.log().requests.len(), 1, "a stream that started is not repeated");
    assert_eq!(router.metric("baobabfall_answers_total", "completeness=\"incomplete\""), 1);
}

/// Guards against an answer of another request that reaches the caller.
#[tokio::test]
async fn answer_with_another_request_id_is_an_error() {
    let foreign = whole(200, r#"{"secret":1}"#).replace("{id}", "other");
    let (_upstream, _controller, router) = relay_of(vec![vec![Step::Write(foreign)]]).await;
    let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
    assert_eq!((answer.status.as_u16(), answer.code().as_str()), (502, "upstream_failed"));
    assert_eq!(answer.header("baobabfall-not-run"), "false");
    assert!(!answer.body.contains("secret"));
}

/// Guards against a short answer that looks whole to the caller.
#[tokio::test]
async fn whole_answer_cut_short_breaks_the_connection() {
    let text = whole(200, r#"{"text":"0123456789"}"#);
    let cut = text[..text.len() - 5].to_owned();
    let (_upstream, _controller, router) =
        relay_of(vec![vec![Step::Write(cut), Step::Close]]).await;
    let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.complete);
    wait_for("count", || router.metric("baobabfall_answers_total", "incomplete") == 1).await;
}

/// Guards against a whole answer whose usage is not charged, and against a
/// connection that is not used again after a clean end.
#[tokio::test]
async fn whole_answers_share_a_connection_and_charge_their_usage() {
    let body = r#"{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":42}}"#;
    let script = vec![Step::Write(whole(200, body))];
    let (upstream, controller, router) = relay_of(vec![script.clone(), script]).await;
    for count in 1..=2 {
        let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
        assert_eq!((answer.body.as_str(), answer.complete), (body, true));
        wait_for("settlement", || controller.script().ended.len() == count).await;
    }
    assert_eq!(upstream.log().connections, 1);
    assert_eq!(controller.script().ended[0].2, 400 + 42_000);
}

/// Guards against a connection that returns to the pool after its answer was
/// abandoned, and against the cancellation of another request with the same id.
#[tokio::test]
async fn caller_that_leaves_closes_the_upstream_connection() {
    let open = format!("{}{}", stream_head(), event_chunks(0, 1));
    let script = vec![Step::Write(open), Step::Hang];
    let upstream = FakeUpstream::start(vec![script.clone(), script]).await;
    let mut engine = announcement("engine-1", upstream.address);
    engine.cancel = true;
    let controller = FakeController::start(vec![engine]).await;
    let router = TestRouter::ready(&controller, "").await;
    for (count, headers) in [vec![("baobabfall-request-id", "7")], vec![]].iter().enumerate() {
        let method = http::Method::POST;
        drop(router.open(method, "/v1/completions", headers, STREAM_REQUEST).await);
        wait_for("close", || upstream.log().closed > count).await;
        wait_for("settlement", || controller.script().ended.len() > count).await;
        assert_eq!(controller.script().ended[count].1, LeaseEnd::Finished);
    }
    let cancelled = || router.metric("baobabfall_requests_total", "outcome=\"cancelled\"");
    wait_for("count", || cancelled() == 2).await;
    let cancellations = || -> Vec<String> {
        let log = upstream.log();
        let heads = log.requests.iter().map(|(head, _)| head.lines().next().unwrap().to_owned());
        heads.filter(|line| line.starts_with("POST /cancel/")).collect()
    };
    wait_for("cancellation", || !cancellations().is_empty()).await;
    let id = header_of(&upstream.log().requests[1].0, "baobabfall-request-id");
    assert_eq!(cancellations(), [format!("POST /cancel/{id} HTTP/1.1")]);
}

/// Guards against an answer without content that counts as cancelled.
#[tokio::test]
async fn empty_answer_is_finished() {
    let script = vec![Step::Write(whole(400, ""))];
    let (_upstream, _controller, router) = relay_of(vec![script]).await;
    let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (400, ""));
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"finished\""), 1);
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"cancelled\""), 0);
}

/// Guards against a slot that a caller holds for ever by not reading.
#[tokio::test]
async fn caller_that_does_not_read_loses_its_slot() {
    let large = "x".repeat(64 << 10);
    let text = chunk(&format!("data: {large}\n\n")).repeat(400);
    let script = vec![Step::Write(format!("{}{text}", stream_head())), Step::Hang];
    let upstream = FakeUpstream::start(vec![script]).await;
    let controller = FakeController::start(vec![announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "caller_gap = \"2s\"").await;
    let method = http::Method::POST;
    let response = router.open(method, "/v1/completions", &[], STREAM_REQUEST).await;
    wait_for("settlement", || !controller.script().ended.is_empty()).await;
    assert_eq!(controller.script().ended[0].1, LeaseEnd::Finished);
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"cancelled\""), 1);
    assert!(!Answer::read(response).await.complete, "the caller must see a broken answer");
}

/// Guards against callers with HTTP/2 whose streams lose events or never end.
#[tokio::test]
async fn http2_callers_share_a_connection() {
    let (_upstream, _controller, router) = relay_of(vec![]).await;
    let stream = tokio::net::TcpStream::connect(router.handle.caller_address()).await.unwrap();
    let executor = hyper_util::rt::TokioExecutor::new();
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http2::handshake(executor, io).await.unwrap();
    tokio::spawn(connection);
    let calls = (0..8).map(|_| {
        let mut sender = sender.clone();
        async move {
            let request = http::Request::post("http://router/v1/completions")
                .header("authorization", format!("Bearer {}", support::KEY))
                .body(http_body_util::Full::new(bytes::Bytes::from(STREAM_REQUEST)))
                .unwrap();
            Answer::read(sender.send_request(request).await.unwrap()).await
        }
    });
    let expected = format!("{}{}{}{END}", event(0), event(1), event(2));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!((answer.complete, answer.body.as_str()), (true, expected.as_str()));
    }
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"finished\""), 8);
}
