//! Tests of exchanges on routes: what the upstream receives and what the caller gets back.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::dispatch_messages::DispatchReport;
use baobabfall_core::upstream_limits::read_rate;
use http::{HeaderValue, Method};
use std::sync::Arc;
use std::time::Duration;
use support::exchange_site::{ExchangeSite, answer_with, marked_answer, route_table};
use support::fake_upstream::{Step, header_of};
use support::{Answer, send, wait_for};

/// Guards against a request that the router changes, against a caller's key that is sent to an
/// upstream, and against a workspace header that the caller forged.
#[tokio::test]
async fn exchange_request_is_passed_unchanged() {
    let site = ExchangeSite::start(vec![vec![marked_answer("hello")]]).await;
    let headers = [("x-workspace", "forged"), ("x-other", "kept"), ("connection", "x-drop")];
    let all_headers = [headers[0], headers[1], headers[2], ("x-drop", "1")];
    let answer = site.call_body(Method::POST, "/once/a%2Fb?c=d", &all_headers, "body").await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "hello"));
    assert_eq!(answer.header("x-mark"), "m");
    let log = site.upstreams[0].log();
    let (head, body) = &log.requests[0];
    assert!(head.starts_with("POST /once/a%2Fb?c=d HTTP/1.1\r\n"), "{head}");
    assert_eq!(body, "body");
    assert_eq!(header_of(head, "x-workspace"), "team-a");
    assert_eq!(header_of(head, "x-upstream"), "u0");
    assert_eq!(header_of(head, "x-other"), "kept");
    assert_eq!(header_of(head, "host"), "site");
    assert_eq!((header_of(head, "x-key"), header_of(head, "x-drop")), Default::default());
    let wait: u64 = header_of(head, "x-wait-ms").parse().unwrap();
    assert!(wait <= 4_000, "the time for the upstream must not exceed the timeout of the route");
}

/// Guards against requests that reach an upstream although no route matches, the key is invalid
/// or the body is too large.
#[tokio::test]
async fn exchange_without_route_or_key_is_rejected() {
    let site = ExchangeSite::start(vec![vec![]]).await;
    let cases = [("/none/", "key-a", 404), ("/read/x", "other", 401), ("/read", "key-a", 404)];
    for (path, key, status) in cases {
        let mut request = site.request(Method::GET, path, &[], "");
        request.headers_mut().insert("x-key", HeaderValue::from_static(key));
        let answer = Answer::read(send(site.handle.caller_address(), request).await).await;
        assert_eq!(answer.status.as_u16(), status, "{path}");
    }
    let body = "x".repeat(1_001);
    let answer = site.call_body(Method::POST, "/once/x", &[], &body).await;
    assert_eq!(answer.status.as_u16(), 413);
    assert_eq!(site.request_count(0), 0);
}

/// Guards against a non-idempotent request that runs twice. Once it may have run it must not be
/// sent again, and the answer to the caller must not say that it did not run.
#[tokio::test]
async fn exchange_once_is_not_retried() {
    let cut_in_head = || vec![Step::Write("HTTP/1.1 200 OK\r\n".to_owned()), Step::Close];
    let other_id = answer_with(200, "x-request: other\r\nx-mark: m\r\n", "theirs");
    let unmarked = answer_with(200, "x-request: r1\r\n", "cut");
    let no_refusal_header = answer_with(503, "x-request: r1\r\nx-mark: m\r\n", "busy");
    let encoded =
        answer_with(200, "x-request: r1\r\nx-mark: m\r\ncontent-encoding: gzip\r\n", "zip");
    let cut_in_body = vec![
        Step::Write(
            "HTTP/1.1 200 X\r\ncontent-length: 9\r\nx-request: r1\r\nx-mark: m\r\n\r\nab".into(),
        ),
        Step::Close,
    ];
    for script in [cut_in_head(), other_id, unmarked, no_refusal_header, encoded, cut_in_body] {
        let site = ExchangeSite::start(vec![vec![script.clone()], vec![script]]).await;
        let answer = site.call(Method::POST, "/once/x", &[]).await;
        assert_eq!(answer.status.as_u16(), 502, "{}", answer.body);
        assert_eq!(answer.header("x-mark"), "");
        assert_eq!(site.request_count(0) + site.request_count(1), 1);
    }
}

/// Guards against a non-idempotent request that fails although the upstream stated that it did
/// not run it, which makes a retry at another upstream safe.
#[tokio::test]
async fn exchange_not_run_is_retried_elsewhere() {
    let refusal = || answer_with(503, "x-not-run: 1\r\n", "full");
    let site = ExchangeSite::start(vec![
        vec![refusal(), marked_answer("a")],
        vec![marked_answer("a"), refusal()],
    ])
    .await;
    let answer = site.call(Method::POST, "/once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    let site = ExchangeSite::start(vec![vec![refusal()], vec![refusal()]]).await;
    let answer = site.call(Method::POST, "/once/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 503);
    assert_ne!(answer.header("x-retry-ms"), "", "the answer must say when to retry");
    assert_eq!(site.request_count(0) + site.request_count(1), 2);
}

/// Guards against an idempotent request that fails without a retry at another upstream, and
/// against an upstream's error response that is not passed on after the last attempt.
#[tokio::test]
async fn exchange_idempotent_is_retried_elsewhere() {
    let failure = || answer_with(500, "x-request: r1\r\nx-mark: m\r\n", "oops");
    let site = ExchangeSite::start(vec![
        vec![failure(), marked_answer("a")],
        vec![marked_answer("a"), failure()],
    ])
    .await;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    let site =
        ExchangeSite::start(vec![vec![failure(), failure()], vec![failure(), failure()]]).await;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.header("x-mark")), (500, "m"));
    assert_eq!(
        site.request_count(0) + site.request_count(1),
        2,
        "the request must not be sent more often than the route allows"
    );
}

/// Guards against an answer which says that nothing ran although an earlier attempt may have run:
/// here the first upstream breaks its answer off and the second one refuses.
#[tokio::test]
async fn exchange_refusal_after_possible_run_promises_nothing() {
    let cut_in_head = || vec![Step::Write("HTTP/1.1 200 OK\r\n".to_owned()), Step::Close];
    let refusal = || answer_with(503, "x-not-run: 1\r\n", "full");
    let site =
        ExchangeSite::start(vec![vec![cut_in_head(), refusal()], vec![refusal(), cut_in_head()]])
            .await;
    // The first grant is for the first upstream, which breaks its answer off.
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!((site.request_count(0), site.request_count(1)), (1, 1));
}

/// Guards against requests that outlast the timeout of their route or the caller's deadline, and
/// against an answer which says that a dispatched request did not run.
#[tokio::test]
async fn exchange_deadline_is_answered_when_it_expires() {
    let site = ExchangeSite::start(vec![vec![vec![Step::Hang], vec![Step::Hang]]]).await;
    let started = std::time::SystemTime::now();
    let answer = site.call(Method::GET, "/brief/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 504);
    let answer = site.call(Method::POST, "/once/x", &[("x-wait-ms", "200")]).await;
    assert_eq!(answer.status.as_u16(), 504);
    assert!(started.elapsed().unwrap() >= Duration::from_millis(500));
    let log = site.upstreams[0].log();
    let wait: u64 = header_of(&log.requests[1].0, "x-wait-ms").parse().unwrap();
    assert!(wait <= 200);
}

/// Guards against a stale route table that replaces a newer one.
#[tokio::test]
async fn set_routes_older_version_is_ignored() {
    let site = ExchangeSite::start(vec![vec![]]).await;
    let fleet = &site.handle.state().fleet;
    assert!(!fleet.set_routes(&Arc::new(route_table(5))));
    assert!(!fleet.set_routes(&Arc::new(route_table(4))));
    assert!(fleet.set_routes(&Arc::new(route_table(9))));
    assert_eq!(fleet.routes_version(), 9);
}

/// Requests that upstream `index` received, of each path prefix.
fn total_requests(site: &ExchangeSite) -> Vec<usize> {
    (0..site.upstreams.len()).map(|index| site.request_count(index)).collect()
}

/// Guards against a request that reaches an upstream after it stated in an answer that it is
/// leaving, granted by the dispatcher or chosen by the router; a restarted router must learn it
/// anew, and a stream that is in flight goes on.
#[tokio::test]
async fn exchange_leaving_upstream_gets_no_more_requests() {
    let leaving = || answer_with(200, "x-request: r1\r\nx-mark: m\r\nx-leaving: 1\r\n", "a");
    for path in ["/read/x", "/plain/x"] {
        let scripts = || vec![leaving(), marked_answer("b"), marked_answer("c")];
        let site = ExchangeSite::start(vec![scripts(), scripts()]).await;
        for _ in 0..2 {
            assert_eq!(site.call(Method::GET, path, &[]).await.status.as_u16(), 200);
        }
        assert_eq!(total_requests(&site), [1, 1], "{path}");
        let answer = site.call(Method::GET, path, &[]).await;
        assert_eq!(answer.status.as_u16(), 503, "{path}: both upstreams are leaving");
        assert_eq!(total_requests(&site), [1, 1], "{path}");
    }
}

/// Guards against a request that reaches an upstream within the time for which it wanted none, and
/// against one that waits for it in vain instead of being told when to come back.
#[tokio::test]
async fn exchange_quiet_upstream_is_left_alone() {
    for path in ["/once/x", "/plain-once/x"] {
        let refusal = || answer_with(503, "x-not-run: 1\r\nx-quiet-ms: 3000\r\n", "full");
        let site = ExchangeSite::start(vec![vec![refusal(), marked_answer("late")]]).await;
        assert_eq!(site.call(Method::POST, path, &[]).await.status.as_u16(), 503);
        let asked = std::time::Duration::from_millis(2_000);
        let started = tokio::time::Instant::now();
        for _ in 0..5 {
            let answer = site.call(Method::POST, path, &[]).await;
            assert_eq!(answer.status.as_u16(), 503, "{path}");
            let wait: u64 = answer.header("x-retry-ms").parse().unwrap();
            assert!((1_000..=3_000).contains(&wait), "{path}: come back after {wait} ms");
        }
        assert!(started.elapsed() < asked, "{path}: refused at once");
        assert_eq!(total_requests(&site), [1], "{path}");
        tokio::time::sleep(Duration::from_millis(3_100)).await;
        let answer = site.call(Method::POST, path, &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "late"), "{path}");
    }
}

/// Guards against routers that each send requests of a plain service to an upstream which takes only
/// so many from all of them: once it names a rate, the dispatcher grants its requests.
#[tokio::test]
async fn exchange_limited_plain_upstream_needs_grant() {
    let limited = || answer_with(200, "x-request: r1\r\nx-mark: m\r\nx-rate: 2\r\n", "a");
    let site = ExchangeSite::start(vec![vec![limited(), limited(), limited()]]).await;
    assert_eq!(site.call(Method::GET, "/plain/x", &[]).await.status.as_u16(), 200);
    site.controller.script().free_slots = 0;
    assert_eq!(site.call(Method::GET, "/plain/x", &[]).await.status.as_u16(), 503);
    assert_eq!(total_requests(&site), [1]);
    site.controller.script().free_slots = 1;
    assert_eq!(site.call(Method::GET, "/plain/x", &[]).await.status.as_u16(), 200);
    let reports = |report: &DispatchReport| {
        let changes = report.limits.changes.iter();
        changes.map(|limit| (limit.upstream.clone(), limit.rate)).collect::<Vec<_>>()
    };
    let expected = vec![("u0-plain".to_owned(), read_rate("2"))];
    assert!(site.controller.script().reports.iter().any(|report| reports(report) == expected));
}

/// Guards against running work that is started again elsewhere, or given up, because the machine
/// that runs it is silent for a while: its registration lapses and comes back.
#[tokio::test]
async fn exchange_outlives_lapse_of_its_upstream() {
    for path in ["/once/x", "/read/x", "/plain/x", "/plain-once/x"] {
        let running = || vec![vec![Step::Gate, marked_answer("done").remove(0)]];
        let site = ExchangeSite::start(vec![running(), running()]).await;
        let call = site.call(Method::POST, path, &[]);
        let lapse = async {
            let count = || site.request_count(0) + site.request_count(1);
            wait_for("the request to reach an upstream", || count() == 1).await;
            let set_upstreams = |upstreams| {
                let mut script = site.controller.script();
                script.registry_version += 1;
                std::mem::replace(&mut script.upstreams, upstreams)
            };
            let known = || site.handle.state().fleet.directory().registry().upstreams.len();
            let lapsed = set_upstreams(Vec::new());
            wait_for("the lapse", || known() == 0).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
            set_upstreams(lapsed);
            wait_for("the return", || known() == 4).await;
            assert_eq!(count(), 1, "{path}");
            site.upstreams.iter().for_each(|upstream| upstream.open_gate());
        };
        let (answer, ()) = tokio::join!(call, lapse);
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "done"), "{path}");
        assert_eq!(site.request_count(0) + site.request_count(1), 1, "{path}");
    }
}
