//! Tests of rejected requests and of retries. Each answer has to state correctly whether the
//! request may have run.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use support::fake_controller::FakeController;
use support::fake_upstream::{
    FakeUpstream, Step, complete_answer, complete_stream, header_of, not_run_answer,
};
use support::{
    Answer, STREAM_REQUEST, TestRouter, model_announcement, service_announcement, wait_for,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const WHOLE_REQUEST: &str = r#"{"model":"small"}"#;

struct TestFleet {
    engines: Vec<FakeUpstream>,
    service: FakeUpstream,
    controller: FakeController,
    router: TestRouter,
}

/// Starts a router with two model engines and one service, each with its own scripts. Recorded
/// requests give the workspace a retry budget.
async fn start_fleet(
    first: Vec<Vec<Step>>,
    second: Vec<Vec<Step>>,
    service: Vec<Vec<Step>>,
    limits: &str,
) -> TestFleet {
    let engines = vec![FakeUpstream::start(first).await, FakeUpstream::start(second).await];
    let service = FakeUpstream::start(service).await;
    let upstreams = vec![
        model_announcement("engine-1", engines[0].address),
        model_announcement("engine-2", engines[1].address),
        service_announcement("cases-1", service.address),
    ];
    let controller = FakeController::start(upstreams).await;
    let router = TestRouter::ready(&controller, limits).await;
    for _ in 0..40 {
        router.handle.state().retries.record_request("team-a");
    }
    TestFleet { engines, service, controller, router }
}

impl TestFleet {
    /// Number of requests that all upstreams received, health checks included.
    fn received_requests(&self) -> usize {
        let engines = self.engines.iter().map(|engine| engine.log().requests.len());
        engines.sum::<usize>() + self.service.log().requests.len()
    }
}

fn assert_rejected(answer: &Answer, status: u16, code: &str, not_run: bool) {
    assert_eq!((answer.status.as_u16(), answer.code().as_str()), (status, code), "{answer:?}");
    assert_eq!(answer.header("baobabfall-not-run"), not_run.to_string());
    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(body["error"]["not_run"], not_run);
    assert_eq!(body["error"]["request_id"], answer.header("baobabfall-request-id"));
}

/// Guards against invalid input that is dispatched or answered with a wrong error code, and
/// against a rejection that is missing from the metrics.
#[tokio::test]
async fn bad_input_is_rejected_before_dispatch() {
    let fleet = start_fleet(vec![], vec![], vec![], "request_size = \"32KiB\"").await;
    let router = &fleet.router;
    let chat = "/v1/chat/completions";
    let large = format!(r#"{{"model":"small","prompt":"{}"}}"#, "x".repeat(40_000));
    let post = Method::POST;
    let wrong_key = ("authorization", "Bearer wrong");
    let decisions = "/services/cases/decisions";
    type BadCase<'a> = (Method, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16, &'a str);
    let cases: Vec<BadCase<'_>> = vec![
        (post.clone(), chat, vec![], "{", 400, "malformed_request"),
        (post.clone(), chat, vec![], r#"{"stream":true}"#, 400, "malformed_request"),
        (post.clone(), chat, vec![], r#"{"model":"large"}"#, 404, "unknown_model"),
        (post.clone(), chat, vec![], &large, 413, "oversized_request"),
        (post.clone(), "/services/none/x", vec![], "", 404, "unknown_service"),
        (post.clone(), "/services/cases/a/../decisions", vec![], "", 400, "malformed_request"),
        (post.clone(), "/services/cases/%64ecisions", vec![], "", 400, "malformed_request"),
        (post.clone(), "/v2/none", vec![], "", 404, "not_found"),
        (
            post.clone(),
            chat,
            vec![("baobabfall-deadline-ms", "soon")],
            WHOLE_REQUEST,
            400,
            "malformed_request",
        ),
        (post.clone(), decisions, vec![], "", 400, "key_required"),
        (Method::GET, chat, vec![], "", 405, "method_not_allowed"),
    ];
    for (method, path, headers, body, status, code) in &cases {
        let answer = router.call(method.clone(), path, headers, body).await;
        assert_rejected(&answer, *status, code, true);
    }
    let request = http::Request::post(chat).header("host", "x").header(wrong_key.0, wrong_key.1);
    let body = http_body_util::Full::new(bytes::Bytes::from_static(WHOLE_REQUEST.as_bytes()));
    let response = support::send(router.handle.caller_address(), request.body(body).unwrap()).await;
    assert_rejected(&Answer::read(response).await, 401, "unauthenticated", true);
    assert_eq!(fleet.received_requests(), 0);
    let count = u64::try_from(cases.len()).unwrap() + 1;
    assert_eq!(router.metric("baobabfall_requests_total", "outcome=\"refused_not_run\""), count);
    assert_eq!(router.metric("baobabfall_refusals_total", ""), count);
    let labels = router.metric("baobabfall_requests_total", "model=\"large\"");
    assert_eq!(labels, 0, "model names that the registry does not know must not become labels");
}

/// Sends bytes over a new connection and returns everything that is answered before it closes.
async fn send_raw(router: &TestRouter, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(router.handle.caller_address()).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(support::WAIT_LIMIT, stream.read_to_end(&mut answer));
    let _ = read.await.unwrap();
    String::from_utf8(answer).unwrap()
}

/// Guards against request smuggling by ambiguous body lengths, too many headers, HTTP/1.0, invalid
/// UTF-8 and slow or truncated bodies. Each of them has to be rejected and counted.
#[tokio::test]
async fn malformed_http_is_rejected_before_dispatch() {
    let fleet = start_fleet(vec![], vec![], vec![], "body_time = \"200ms\"").await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {}\r\n",
        support::CALLER_KEY
    );
    let header_lines =
        |count: usize| -> String { (0..count).map(|n| format!("x-{n}: y\r\n")).collect() };
    let http10_request = format!("{head}\r\n").replace("HTTP/1.1", "HTTP/1.0");
    let invalid_utf8_body = [&br#"{"model":"small","prompt":""#[..], b"\xff\"}"].concat();
    let length = format!("content-length: {}\r\n\r\n", invalid_utf8_body.len());
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (format!("{head}content-length: 3\r\ncontent-length: 4\r\n\r\nabc").into(), " 400 "),
        (
            format!("{head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")
                .into(),
            " 400 ",
        ),
        (format!("{head}{}\r\n", header_lines(80)).into(), " 400 "),
        (format!("{head}{}\r\n", header_lines(200)).into(), " 431 "),
        (http10_request.into(), " 400 "),
        ([head.as_bytes(), length.as_bytes(), &invalid_utf8_body].concat(), " 400 "),
        (format!("{head}content-length: 50\r\n\r\n{{").into(), " 408 "),
    ];
    for (request, status) in cases {
        let count = || fleet.router.metric("baobabfall_refusals_total", "");
        let before = count();
        let answer = send_raw(&fleet.router, &request).await;
        wait_for("the refusal to be counted", || count() == before + 1).await;
        assert!(answer.lines().next().unwrap().contains(status), "{status}: {answer}");
    }
    assert_eq!(fleet.received_requests(), 0);
}

/// Guards against a model request that is not retried although the upstream stated that it did not
/// run it, or failed before the first token.
#[tokio::test]
async fn model_request_is_retried_at_another_upstream() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\
                baobabfall-request-id: {id}\r\n\r\n";
    let broken_stream = vec![Step::Write(head.to_owned()), Step::Close];
    let scripts = vec![not_run_answer(), vec![Step::Close]];
    let fleet = start_fleet(scripts, vec![complete_stream(2), broken_stream], vec![], "").await;
    for _ in 0..2 {
        let answer = fleet.router.post("/v1/completions", &[], STREAM_REQUEST).await;
        assert_eq!((answer.status.as_u16(), answer.complete), (200, true));
        assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
    }
    assert!(fleet.router.metric("baobabfall_retries_total", "") >= 2);
    assert_eq!(fleet.router.metric("baobabfall_requests_total", "outcome=\"finished\""), 2);
}

/// Guards against retries beyond the limit of attempts, and against an answer which says that the
/// request did not run because the last attempt did not, although an earlier one may have.
#[tokio::test]
async fn exhausted_budget_after_unknown_outcome_is_not_reported_as_not_run() {
    let scripts = || vec![vec![Step::Close], not_run_answer(), not_run_answer()];
    let fleet = start_fleet(scripts(), scripts(), vec![], "attempts = 2").await;
    let answer = fleet.router.post("/v1/completions", &[], WHOLE_REQUEST).await;
    assert_eq!(answer.header("baobabfall-not-run"), "false", "{answer:?}");
    assert_eq!(answer.code(), "upstream_failed");
    assert_eq!(fleet.received_requests(), 2);
}

/// Guards against a non-idempotent call that is sent again after it may have run.
#[tokio::test]
async fn once_call_is_not_retried_after_dispatch() {
    let fleet = start_fleet(vec![], vec![], vec![vec![Step::Close], not_run_answer()], "").await;
    let answer = fleet.router.post("/services/cases/orders", &[], "{}").await;
    assert_rejected(&answer, 502, "upstream_failed", false);
    let answer = fleet.router.post("/services/cases/orders", &[], "{}").await;
    assert_rejected(&answer, 503, "upstream_refused", true);
    assert_eq!(fleet.service.log().requests.len(), 2);
}

/// Guards against an idempotent call that fails without a retry, and against a query or headers
/// that are not forwarded as they should be.
#[tokio::test]
async fn idempotent_call_is_retried_with_its_query() {
    let scripts = vec![vec![Step::Close], vec![Step::Write(complete_answer(200, "{\"ok\":1}"))]];
    let fleet = start_fleet(vec![], vec![], scripts, "").await;
    let path = "/services/cases/status/7?full=yes";
    let headers = [("baobabfall-fencing-token", "9.9"), ("x-note", "kept")];
    let answer = fleet.router.call(Method::GET, path, &headers, "").await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "{\"ok\":1}"));
    let log = fleet.service.log();
    let head = &log.requests[1].0;
    assert!(head.starts_with("GET /status/7?full=yes HTTP/1.1\r\n"), "{head}");
    assert_eq!(
        header_of(head, "baobabfall-fencing-token"),
        "",
        "a caller must not be able to set the fencing token"
    );
    assert_eq!(header_of(head, "x-note"), "kept");
}

/// Guards against a call that is reported as possibly run although the connection to the upstream
/// was refused, so that no byte of it was sent.
#[tokio::test]
async fn closed_upstream_is_reported_as_not_run() {
    // A socket that is bound but does not listen refuses connections, and reserves its port so
    // that no other process can listen there during the test.
    let closed_socket = tokio::net::TcpSocket::new_v4().unwrap();
    closed_socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = closed_socket.local_addr().unwrap();
    let controller = FakeController::start(vec![service_announcement("cases-1", address)]).await;
    let router = TestRouter::ready(&controller, "").await;
    let answer = router.post("/services/cases/orders", &[], "{}").await;
    assert_rejected(&answer, 503, "no_upstream", true);
    assert!(answer.headers.contains_key("retry-after"));
}

/// Guards against a queued request that is not answered at its deadline, and against one that
/// stays in the queue after its caller disconnected.
#[tokio::test]
async fn waiting_requests_end_at_deadline_and_disconnect() {
    let fleet = start_fleet(vec![], vec![], vec![], "").await;
    fleet.controller.script().free_slots = 0;
    let headers = [("baobabfall-deadline-ms", "60")];
    let answer = fleet.router.post("/v1/completions", &headers, WHOLE_REQUEST).await;
    assert_rejected(&answer, 503, "deadline_before_dispatch", true);
    let state = fleet.router.handle.state();
    let waiting = fleet.router.post("/v1/completions", &[], WHOLE_REQUEST);
    tokio::select! {
        _ = waiting => panic!("the request must stay in the queue"),
        () = wait_for("the request to be queued", || state.queue.book().queued() == 1) => {}
    }
    wait_for("the request to leave the queue", || state.queue.book().queued() == 0).await;
    let cancelled = || fleet.router.metric("baobabfall_requests_total", "outcome=\"cancelled\"");
    wait_for("the cancellation to be counted", || cancelled() == 1).await;
    assert_eq!(fleet.received_requests(), 0);
}

/// Guards against a dispatched request that goes on at the upstream after its deadline.
#[tokio::test]
async fn running_request_ends_at_deadline() {
    let scripts = || vec![vec![Step::Hang]];
    let fleet = start_fleet(scripts(), scripts(), vec![], "").await;
    let headers = [("baobabfall-deadline-ms", "150")];
    let answer = fleet.router.post("/v1/completions", &headers, WHOLE_REQUEST).await;
    assert_rejected(&answer, 504, "deadline_after_dispatch", false);
    let closed = || fleet.engines.iter().map(|engine| engine.log().closed).sum::<usize>();
    wait_for("the upstream connection to close", || closed() == 1).await;
}

/// Guards against requests that stay in the queue after the dispatcher refused them.
#[tokio::test]
async fn refused_backlog_is_answered_immediately() {
    let fleet = start_fleet(vec![], vec![], vec![], "").await;
    let refusal = baobabfall_core::dispatch_messages::BacklogRefusal {
        target: baobabfall_core::upstream_registry::WorkTarget::new(
            baobabfall_core::upstream_registry::UpstreamKind::Model,
            "small".to_owned(),
        ),
        workspace: "team-a".to_owned(),
        keep: 0,
        retry_after_ms: 2500,
    };
    fleet.controller.script().free_slots = 0;
    fleet.controller.script().refusals = vec![refusal];
    let answer = fleet.router.post("/v1/completions", &[], WHOLE_REQUEST).await;
    assert_rejected(&answer, 429, "queue_full", true);
    assert_eq!(answer.header("retry-after"), "3");
}

/// Guards against a queue of one workspace that grows without bound while the dispatcher refuses
/// nothing.
#[tokio::test]
async fn full_queue_is_refused_by_the_router() {
    let fleet = start_fleet(vec![], vec![], vec![], "").await;
    fleet.controller.script().free_slots = 0;
    let router = &fleet.router;
    let book = || router.handle.state().queue.book();
    let waiting = (0..50).map(|_| router.post("/v1/completions", &[], WHOLE_REQUEST));
    let refused = async {
        wait_for("50 requests to be queued", || book().queued() == 50).await;
        router.post("/v1/completions", &[], WHOLE_REQUEST).await
    };
    let answer = tokio::select! {
        _ = futures_util::future::join_all(waiting) => panic!("the requests must stay in the queue"),
        answer = refused => answer,
    };
    assert_rejected(&answer, 429, "queue_full", true);
}

/// Guards against a request that waits until its deadline for an upstream that became unreachable
/// without closing its connections. Unanswered health checks reveal such an upstream.
#[tokio::test]
async fn unreachable_upstream_is_abandoned_before_the_deadline() {
    let fleet = start_fleet(vec![vec![Step::Hang]], vec![complete_stream(1)], vec![], "").await;
    fleet.engines[0].log().ignores_health_checks = true;
    let answer = fleet.router.post("/v1/completions", &[], STREAM_REQUEST).await;
    assert!(answer.complete && answer.body.ends_with("data: [DONE]\n\n"), "{answer:?}");
    assert_eq!(fleet.engines[1].log().non_health_requests().len(), 1);
}
