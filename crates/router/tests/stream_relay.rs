//! Tests of answers relayed from an upstream whose slot the dispatcher granted.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::dispatch_messages::LeaseEnd;
use baobabfall_core::software_version::SoftwareVersion;
use std::time::Duration;
use support::fake_controller::FakeController;
use support::fake_upstream::{
    END_EVENT, FakeUpstream, Step, chunk, complete_answer, event, event_chunks, header_of,
    stream_head,
};
use support::{Answer, STREAM_REQUEST, TestRouter, model_announcement, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Guards against a stream that the router changes, a request id that is not passed on, a caller's
/// key that is sent to the upstream, and a lease that ends without the cost of its events.
#[tokio::test]
async fn completion_stream_is_relayed_unchanged() {
    let upstream = FakeUpstream::start(vec![]).await;
    let controller =
        FakeController::start(vec![model_announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "").await;
    let headers = [("baobabfall-request-id", "request-7")];
    let answer = router.post("/v1/chat/completions", &headers, STREAM_REQUEST).await;
    assert_eq!(answer.status, 200);
    assert!(answer.complete);
    assert_eq!(answer.body, format!("{}{}{}{END_EVENT}", event(0), event(1), event(2)));
    assert_eq!(answer.header("baobabfall-request-id"), "request-7");
    let head = upstream.log().requests[0].0.clone();
    assert_eq!(header_of(&head, "baobabfall-request-id"), "request-7");
    assert_eq!(
        header_of(&head, "authorization"),
        "",
        "the caller's key must not be sent to the upstream"
    );
    wait_for("the end of the lease", || !controller.script().ended_leases.is_empty()).await;
    let (_, end, charged) = controller.script().ended_leases[0];
    assert_eq!(end, LeaseEnd::Finished);
    let prompt = u64::try_from(STREAM_REQUEST.len()).unwrap() / 4 * 100;
    assert_eq!(charged, prompt + 3000);
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"finished\""), 1);
}

async fn start_relay(scripts: Vec<Vec<Step>>) -> (FakeUpstream, FakeController, TestRouter) {
    let upstream = FakeUpstream::start(scripts).await;
    let controller =
        FakeController::start(vec![model_announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "").await;
    (upstream, controller, router)
}

fn broken_stream(from: u64, to: u64) -> Vec<Step> {
    vec![Step::Write(format!("{}{}", stream_head(), event_chunks(from, to))), Step::Close]
}

fn resumed_stream(from: u64, to: u64) -> Vec<Step> {
    let chunks = event_chunks(from, to);
    vec![Step::Write(format!("{}{chunks}{}0\r\n\r\n", stream_head(), chunk(END_EVENT)))]
}

/// Guards against duplicated or missing events when a stream breaks, here in the middle of an
/// event, and the upstream resumes it with an overlap.
#[tokio::test]
async fn broken_stream_is_resumed_and_overlap_is_cut() {
    let mut broken = broken_stream(0, 2);
    broken.insert(1, Step::Write(chunk("data: {\"position\":2,\"cho")));
    let (upstream, _controller, router) = start_relay(vec![broken, resumed_stream(1, 5)]).await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    let expected: String = (0..5).map(event).collect();
    assert_eq!(answer.body, format!("{expected}{END_EVENT}"));
    let log = upstream.log();
    assert_eq!(header_of(&log.requests[1].0, "baobabfall-resume-from"), "2");
    assert_eq!(header_of(&log.requests[1].0, "baobabfall-software"), "v1");
    assert_eq!(log.requests[1].1, STREAM_REQUEST);
    drop(log);
    assert_eq!(router.metric("baobabfall_answers_total", "completeness=\"whole\""), 1);
}

/// Guards against a stream that goes on at its upstream after that came back with other software.
#[tokio::test]
async fn stream_of_replaced_software_is_not_resumed() {
    let mut broken = broken_stream(0, 2);
    broken.insert(1, Step::Gate);
    let (upstream, controller, router) = start_relay(vec![broken, resumed_stream(2, 5)]).await;
    let call = router.post("/v1/completions", &[], STREAM_REQUEST);
    let replace_software = async {
        wait_for("the request", || upstream.log().requests.len() == 1).await;
        {
            let mut script = controller.script();
            script.upstreams[0].incarnation = 2;
            script.upstreams[0].software = SoftwareVersion::parse("v2");
            script.registry_version += 1;
        }
        wait_for("the new incarnation", || {
            router.handle.state().fleet.directory().registry().upstreams[0].incarnation == 2
        })
        .await;
        upstream.open_gate();
    };
    let (answer, ()) = tokio::join!(call, replace_software);
    assert!(answer.body.contains("event: error\n"), "{}", answer.body);
    assert_eq!(upstream.log().requests.len(), 1);
}

/// Guards against a stream that silently lacks an event because the upstream resumed it too late.
#[tokio::test]
async fn resumed_stream_with_gap_ends_with_error_event() {
    let scripts =
        vec![broken_stream(0, 2), resumed_stream(3, 5), resumed_stream(3, 5), resumed_stream(3, 5)];
    let (_upstream, controller, router) = start_relay(scripts).await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    let (relayed, error) = answer.body.split_once("event: error\n").unwrap();
    assert_eq!(relayed, format!("{}{}", event(0), event(1)));
    assert!(error.contains("\"code\":\"answer_incomplete\""), "{error}");
    assert!(error.contains("\"not_run\":false"), "{error}");
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"outcome_unknown\""), 1);
    wait_for("the end of the lease", || !controller.script().ended_leases.is_empty()).await;
    assert_eq!(controller.script().ended_leases[0].1, LeaseEnd::Failed);
}

/// Guards against a stream that counts as complete although the upstream ended it without the end
/// marker.
#[tokio::test]
async fn stream_without_end_marker_is_incomplete() {
    let stream_without_end = format!("{}{}0\r\n\r\n", stream_head(), event_chunks(0, 2));
    let scripts = vec![vec![Step::Write(stream_without_end)]; 5];
    let upstream = FakeUpstream::start(scripts).await;
    let mut engine = model_announcement("engine-1", upstream.address);
    engine.resume = false;
    let controller = FakeController::start(vec![engine]).await;
    let router = TestRouter::ready(&controller, "").await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    assert!(answer.body.contains("event: error\n") && !answer.body.contains("[DONE]"));
    assert_eq!(
        upstream.log().requests.len(),
        1,
        "a stream must not be restarted after its first event"
    );
    assert_eq!(router.metric("baobabfall_answers_total", "completeness=\"broken_with_error\""), 1);
}

/// Guards against a caller who receives the answer to another request.
#[tokio::test]
async fn answer_with_other_request_id_is_an_error() {
    let other_answer = complete_answer(200, r#"{"secret":1}"#).replace("{id}", "other");
    let (_upstream, _controller, router) = start_relay(vec![vec![Step::Write(other_answer)]]).await;
    let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
    assert_eq!((answer.status.as_u16(), answer.code().as_str()), (502, "upstream_failed"));
    assert_eq!(answer.header("baobabfall-not-run"), "false");
    assert!(!answer.body.contains("secret"));
}

/// Guards against a truncated answer that looks complete to the caller.
#[tokio::test]
async fn truncated_answer_breaks_the_connection() {
    let text = complete_answer(200, r#"{"text":"0123456789"}"#);
    let cut_answer = text[..text.len() - 5].to_owned();
    let (_upstream, _controller, router) =
        start_relay(vec![vec![Step::Write(cut_answer), Step::Close]]).await;
    let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.complete);
    wait_for("counter", || router.metric("baobabfall_answers_total", "broken_with_error") == 1)
        .await;
}

/// Guards against a complete answer whose token usage is not charged, and against a connection
/// that is not reused after a complete answer.
#[tokio::test]
async fn complete_answers_share_a_connection_and_charge_their_usage() {
    let body = r#"{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":42}}"#;
    let script = vec![Step::Write(complete_answer(200, body))];
    let (upstream, controller, router) = start_relay(vec![script.clone(), script]).await;
    for count in 1..=2 {
        let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
        assert_eq!((answer.body.as_str(), answer.complete), (body, true));
        wait_for("the end of the lease", || controller.script().ended_leases.len() == count).await;
    }
    assert_eq!(upstream.log().connections, 1);
    assert_eq!(controller.script().ended_leases[0].2, 400 + 42_000);
}

/// Guards against a connection that returns to the pool after its answer was abandoned, and against
/// the cancellation of a different request: an id that the caller chose may not be unique, so
/// only ids of the router are cancelled.
#[tokio::test]
async fn disconnected_caller_closes_the_upstream_connection() {
    let unfinished_stream = format!("{}{}", stream_head(), event_chunks(0, 1));
    let script = vec![Step::Write(unfinished_stream), Step::Hang];
    let upstream = FakeUpstream::start(vec![script.clone(), script]).await;
    let mut engine = model_announcement("engine-1", upstream.address);
    engine.cancel = true;
    let controller = FakeController::start(vec![engine]).await;
    let router = TestRouter::ready(&controller, "").await;
    for (count, headers) in [vec![("baobabfall-request-id", "7")], vec![]].iter().enumerate() {
        let method = http::Method::POST;
        drop(router.open_response(method, "/v1/completions", headers, STREAM_REQUEST).await);
        wait_for("the upstream connection to close", || upstream.log().closed > count).await;
        wait_for("the end of the lease", || controller.script().ended_leases.len() > count).await;
        assert_eq!(controller.script().ended_leases[count].1, LeaseEnd::Finished);
    }
    let cancelled = || router.metric("baobabfall_requests_total", "outcome=\"cancelled\"");
    wait_for("both cancellations to be counted", || cancelled() == 2).await;
    let cancellations = || -> Vec<String> {
        let log = upstream.log();
        let heads = log.requests.iter().map(|(head, _)| head.lines().next().unwrap().to_owned());
        heads.filter(|line| line.starts_with("POST /cancel/")).collect()
    };
    wait_for("the cancellation at the upstream", || !cancellations().is_empty()).await;
    let id = header_of(&upstream.log().requests[1].0, "baobabfall-request-id");
    assert_eq!(cancellations(), [format!("POST /cancel/{id} HTTP/1.1")]);
}

/// Guards against an answer with an empty body that is counted as cancelled by the caller.
#[tokio::test]
async fn empty_answer_is_finished() {
    let script = vec![Step::Write(complete_answer(400, ""))];
    let (_upstream, _controller, router) = start_relay(vec![script]).await;
    let answer = router.post("/v1/completions", &[], r#"{"model":"small"}"#).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (400, ""));
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"finished\""), 1);
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"cancelled\""), 0);
}

/// Guards against a caller who occupies a slot indefinitely by not reading the answer.
#[tokio::test]
async fn caller_that_does_not_read_loses_its_slot() {
    let large = "x".repeat(64 << 10);
    let text = chunk(&format!("data: {large}\n\n")).repeat(400);
    let script = vec![Step::Write(format!("{}{text}", stream_head())), Step::Hang];
    let upstream = FakeUpstream::start(vec![script]).await;
    let controller =
        FakeController::start(vec![model_announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "caller_gap = \"2s\"").await;
    let method = http::Method::POST;
    let response = router.open_response(method, "/v1/completions", &[], STREAM_REQUEST).await;
    wait_for("the end of the lease", || !controller.script().ended_leases.is_empty()).await;
    assert_eq!(controller.script().ended_leases[0].1, LeaseEnd::Finished);
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"cancelled\""), 1);
    assert!(!Answer::read(response).await.complete, "the caller must see a broken answer");
}

/// Guards against event streams that lose events or never end when several of them share one
/// HTTP/2 connection.
#[tokio::test]
async fn http2_callers_share_a_connection() {
    let (_upstream, _controller, router) = start_relay(vec![]).await;
    let stream = tokio::net::TcpStream::connect(router.handle.caller_address()).await.unwrap();
    let executor = hyper_util::rt::TokioExecutor::new();
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http2::handshake(executor, io).await.unwrap();
    tokio::spawn(connection);
    let calls = (0..8).map(|_| {
        let mut sender = sender.clone();
        async move {
            let request = http::Request::post("http://router/v1/completions")
                .header("authorization", format!("Bearer {}", support::CALLER_KEY))
                .body(http_body_util::Full::new(bytes::Bytes::from(STREAM_REQUEST)))
                .unwrap();
            Answer::read(sender.send_request(request).await.unwrap()).await
        }
    });
    let expected = format!("{}{}{}{END_EVENT}", event(0), event(1), event(2));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!((answer.complete, answer.body.as_str()), (true, expected.as_str()));
    }
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"finished\""), 8);
}

/// A stream that sends a comment each 150 ms, and an event each `comments` of them.
fn commented_stream(comments: usize, events: u64) -> String {
    let mut text = String::new();
    for position in 0..events {
        text.push_str(&chunk(": busy\n\n").repeat(comments));
        text.push_str(&chunk(&event(position)));
    }
    text
}

async fn start_paced_stream(text: String) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let text = text.clone();
            tokio::spawn(async move {
                let mut head = vec![0; 16 << 10];
                let count = stream.read(&mut head).await.unwrap_or(0);
                let head = String::from_utf8_lossy(&head[..count]).into_owned();
                let id = header_of(&head, "baobabfall-request-id");
                if head.starts_with("GET /health") {
                    let answer = complete_answer(200, "{\"incarnation\":1,\"leaving\":false}");
                    let _ = stream.write_all(answer.replace("{id}", &id).as_bytes()).await;
                    return;
                }
                let _ = stream.write_all(stream_head().replace("{id}", &id).as_bytes()).await;
                for part in text.split_inclusive("\n\n\r\n") {
                    tokio::time::sleep(Duration::from_millis(150)).await;
                    if stream.write_all(part.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against a stalled stream that never ends because its upstream sends a comment now and
/// then, and against a slow but sound stream that is cut.
#[tokio::test]
async fn stalled_stream_with_comments_ends_and_slow_stream_does_not() {
    let slow = format!("{}{}0\r\n\r\n", commented_stream(12, 3), chunk(END_EVENT));
    let stalled = commented_stream(200, 1);
    for (text, is_complete) in [(slow, true), (stalled, false)] {
        let upstream = start_paced_stream(text).await;
        let controller =
            FakeController::start(vec![model_announcement("engine-1", upstream)]).await;
        let limits = "answer_gap = \"1s\"\nresumptions = 0\nattempts = 1";
        let router = TestRouter::ready(&controller, limits).await;
        let begun = std::time::Instant::now();
        let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
        assert_eq!(answer.body.contains(END_EVENT), is_complete, "{}", answer.body);
        assert_eq!(answer.body.contains("event: error"), !is_complete, "{}", answer.body);
        assert!(begun.elapsed() < Duration::from_secs(15), "{:?}", begun.elapsed());
    }
}
