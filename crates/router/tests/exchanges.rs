//! Tests of exchanges on routes: what upstreams get and what callers get back.

#![allow(clippy::unwrap_used)]

mod support;

use http::{HeaderValue, Method};
use std::sync::Arc;
use std::time::Duration;
use support::exchange_site::{Site, answer_with, good, table};
use support::fake_upstream::{Step, header_of};
use support::{Answer, send};

/// Guards against a request that is changed on its way, and against keys that
/// leave the system or workspaces that callers name themselves.
#[tokio::test]
async fn exchange_request_is_passed_unchanged() {
    let site = Site::start(vec![vec![good("hello")]]).await;
    let headers = [("x-workspace", "forged"), ("x-other", "kept"), ("connection", "x-drop")];
    let dropped = [headers[0], headers[1], headers[2], ("x-drop", "1")];
    let answer = site.call_body(Method::POST, "/once/a%2Fb?c=d", &dropped, "body").await;
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
    assert!(wait <= 4_000, "the upstream must not wait longer than the route");
}

/// Guards against requests without a route or a key that reach an upstream.
#[tokio::test]
async fn exchange_without_route_or_key_is_rejected() {
    let site = Site::start(vec![vec![]]).await;
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
    assert_eq!(site.work(0), 0);
}

/// Guards against a request that runs twice: one that may not be repeated and
/// may have run is never sent again, and its answer does not promise otherwise.
#[tokio::test]
async fn exchange_once_is_not_repeated() {
    let broken = || vec![Step::Write("HTTP/1.1 200 OK\r\n".to_owned()), Step::Close];
    let foreign = answer_with(200, "x-request: other\r\nx-mark: m\r\n", "theirs");
    let unmarked = answer_with(200, "x-request: r1\r\n", "cut");
    let unsaid = answer_with(503, "x-request: r1\r\nx-mark: m\r\n", "busy");
    let encoded =
        answer_with(200, "x-request: r1\r\nx-mark: m\r\ncontent-encoding: gzip\r\n", "zip");
    let short = vec![
        Step::Write(
            "HTTP/1.1 200 X\r\ncontent-length: 9\r\nx-request: r1\r\nx-mark: m\r\n\r\nab".into(),
        ),
        Step::Close,
    ];
    for script in [broken(), foreign, unmarked, unsaid, encoded, short] {
        let site = Site::start(vec![vec![script.clone()], vec![script]]).await;
        let answer = site.call(Method::POST, "/once/x", &[]).await;
        assert_eq!(answer.status.as_u16(), 502, "{}", answer.body);
        assert_eq!(answer.header("x-mark"), "");
        assert_eq!(site.work(0) + site.work(1), 1);
    }
}

/// Guards against a promise that was not made: only the upstream's own word
/// lets a request go elsewhere, and then it does.
#[tokio::test]
async fn exchange_not_run_goes_elsewhere() {
    let refuse = || answer_with(503, "x-not-run: 1\r\n", "full");
    let site = Site::start(vec![vec![refuse(), good("a")], vec![good("a"), refuse()]]).await;
    let answer = site.call(Method::POST, "/once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    let site = Site::start(vec![vec![refuse()], vec![refuse()]]).await;
    let answer = site.call(Method::POST, "/once/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 503);
    assert_ne!(answer.header("x-retry-ms"), "", "the caller is told when to come back");
    assert_eq!(site.work(0) + site.work(1), 2);
}

/// Guards against callers of repeatable requests who get a failure that
/// another upstream would have spared them, and against lost failures.
#[tokio::test]
async fn exchange_repeatable_is_tried_elsewhere() {
    let fail = || answer_with(500, "x-request: r1\r\nx-mark: m\r\n", "oops");
    let site = Site::start(vec![vec![fail(), good("a")], vec![good("a"), fail()]]).await;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    let site = Site::start(vec![vec![fail(), fail()], vec![fail(), fail()]]).await;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.header("x-mark")), (500, "m"));
    assert_eq!(site.work(0) + site.work(1), 2, "no more attempts than the route allows");
}

/// Guards against a promise that nothing ran when an earlier attempt may have:
/// the last upstream refuses, and the caller is still told the truth.
#[tokio::test]
async fn exchange_refusal_after_a_run_promises_nothing() {
    let cut = || vec![Step::Write("HTTP/1.1 200 OK\r\n".to_owned()), Step::Close];
    let refuse = || answer_with(503, "x-not-run: 1\r\n", "full");
    let site = Site::start(vec![vec![cut(), refuse()], vec![refuse(), cut()]]).await;
    // The first grant goes to the first upstream, which cuts its answer.
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!((site.work(0), site.work(1)), (1, 1));
}

/// Guards against requests that are held beyond the time of their route or
/// their caller, and against a promise once the request was sent.
#[tokio::test]
async fn exchange_deadline_is_answered_at_once() {
    let site = Site::start(vec![vec![vec![Step::Hang], vec![Step::Hang]]]).await;
    let begun = std::time::SystemTime::now();
    let answer = site.call(Method::GET, "/brief/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 504);
    let answer = site.call(Method::POST, "/once/x", &[("x-wait-ms", "200")]).await;
    assert_eq!(answer.status.as_u16(), 504);
    assert!(begun.elapsed().unwrap() >= Duration::from_millis(500));
    let log = site.upstreams[0].log();
    let wait: u64 = header_of(&log.requests[1].0, "x-wait-ms").parse().unwrap();
    assert!(wait <= 200);
}

/// Guards against an older route table that replaces a newer one.
#[tokio::test]
async fn set_routes_never_reverts() {
    let site = Site::start(vec![vec![]]).await;
    let fleet = &site.handle.state().fleet;
    assert!(!fleet.set_routes(&Arc::new(table(5))));
    assert!(!fleet.set_routes(&Arc::new(table(4))));
    assert!(fleet.set_routes(&Arc::new(table(9))));
    assert_eq!(fleet.routes_version(), 9);
}
