//! Tests of exchanges on routes: what upstreams get and what callers get back.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::retry_window::FleetBudget;
use baobabfall_core::route_table::*;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_node::units::millis;
use baobabfall_router::exchange_protocol::*;
use baobabfall_router::exchange_state::{ExchangeOptions, ExchangeState};
use baobabfall_router::{Router, RouterHandle, RouterListeners, RouterOptions, RouterSettings};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use std::sync::Arc;
use std::time::Duration;
use support::fake_controller::FakeController;
use support::fake_upstream::{FakeUpstream, Step, chunk, header_of};
use support::{Answer, send, service_announcement, settings_text, wait_for};

const ID: HeaderName = HeaderName::from_static("x-request");
const KEY: HeaderName = HeaderName::from_static("x-key");
const WAIT: HeaderName = HeaderName::from_static("x-wait-ms");
const LAST: HeaderName = HeaderName::from_static("x-last-event");
const UPSTREAM: HeaderName = HeaderName::from_static("x-upstream");
const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");
const MARK: HeaderName = HeaderName::from_static("x-mark");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// A protocol with headers of its own.
#[derive(Clone, Debug)]
struct TestProtocol;

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

impl ExchangeProtocol for TestProtocol {
    fn read_head(&self, parts: &http::request::Parts) -> Result<ExchangeHead, ErrorKind> {
        let headers = &parts.headers;
        Ok(ExchangeHead {
            request_id: text(headers, &ID).unwrap_or_default(),
            host: text(headers, &http::header::HOST).ok_or(ErrorKind::MalformedRequest)?,
            key: text(headers, &KEY),
            deadline: number(headers, &WAIT).map(Duration::from_millis),
            last_event: number(headers, &LAST),
            ..ExchangeHead::default()
        })
    }

    fn stamp(&self, headers: &mut HeaderMap, stamp: &ForwardStamp<'_>) {
        headers.remove(KEY);
        headers.remove(WORKSPACE);
        headers.insert(WAIT, HeaderValue::from(millis(stamp.remaining)));
        headers.insert(UPSTREAM, HeaderValue::from_str(stamp.upstream).unwrap());
        if let Some(workspace) = stamp.workspace {
            headers.insert(WORKSPACE, HeaderValue::from_str(workspace).unwrap());
        }
        if let Some(last) = stamp.last_event {
            headers.insert(LAST, HeaderValue::from(last));
        }
    }

    fn read_answer(&self, parts: &http::response::Parts) -> AnswerClaim {
        AnswerClaim {
            request_id: text(&parts.headers, &ID),
            genuine: parts.headers.contains_key(MARK),
            not_run: parts.headers.contains_key(NOT_RUN),
            misdirected: parts.status == StatusCode::MISDIRECTED_REQUEST,
            idle_time: None,
        }
    }

    fn refusal(&self, kind: ErrorKind, retry_after: Option<Duration>) -> Response<Full<Bytes>> {
        let mut response =
            Response::new(Full::new(Bytes::from_static(kind.answer().code.as_bytes())));
        *response.status_mut() = StatusCode::from_u16(kind.answer().status).unwrap();
        if let Some(wait) = retry_after {
            let value = HeaderValue::from(millis(wait));
            response.headers_mut().insert("x-retry-ms", value);
        }
        response
    }

    fn promises_not_run(&self, status: StatusCode) -> bool {
        matches!(status.as_u16(), 408 | 421 | 429 | 503)
    }
}

fn route(prefix: &str, kind: RepetitionKind, attempts: u32) -> RouteRow {
    RouteRow {
        name: prefix.to_owned(),
        host: "site".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout_ms: 4_000,
        objective_ms: 2_000,
        gap_ms: None,
        priority: 0,
        shares: vec![RouteShare { service: "cases".to_owned(), weight: 1 }],
        attempts,
        public: prefix == "/public/",
        affinity: false,
    }
}

/// A route to a service that is no engine, for which a request waits 200 ms.
fn plain(prefix: &str, kind: RepetitionKind) -> RouteRow {
    RouteRow {
        objective_ms: 500,
        shares: vec![RouteShare { service: "lookups".to_owned(), weight: 1 }],
        ..route(prefix, kind, 1)
    }
}

fn table(version: u64) -> RouteTable {
    let brief = RouteRow { timeout_ms: 300, ..route("/brief/", RepetitionKind::Idempotent, 1) };
    RouteTable {
        version,
        routes: vec![
            route("/read/", RepetitionKind::Idempotent, 2),
            route("/once/", RepetitionKind::Once, 2),
            route("/stream/", RepetitionKind::Stream, 2),
            route("/resume/", RepetitionKind::ResumableStream, 2),
            plain("/plain/", RepetitionKind::Idempotent),
            plain("/plain-once/", RepetitionKind::Once),
            RouteRow { timeout_ms: 60_000, ..route("/long/", RepetitionKind::Stream, 1) },
            route("/public/", RepetitionKind::Idempotent, 1),
            brief,
        ],
        services: vec![
            ServiceRow {
                name: "cases".to_owned(),
                health_path: "/h".to_owned(),
                connections: 9,
                engine: Some(EngineRow { slots: 4, memory_tokens: 1_000, event_tokens: 1 }),
            },
            ServiceRow {
                name: "lookups".to_owned(),
                health_path: "/h".to_owned(),
                connections: 9,
                engine: None,
            },
        ],
        workspaces: Some(vec![WorkspaceKeys {
            name: "team-a".to_owned(),
            priority: None,
            keys: vec!["key-a".to_owned()],
        }]),
        limits: CallerLimits { body_bytes: 1_000, ..CallerLimits::default() },
    }
}

struct Site {
    handle: RouterHandle,
    state: Arc<ExchangeState<TestProtocol>>,
    controller: FakeController,
    upstreams: Vec<FakeUpstream>,
    _folder: tempfile::TempDir,
}

impl Site {
    /// Starts a router before upstreams that play the given scripts.
    async fn start(scripts: Vec<Vec<Vec<Step>>>) -> Self {
        Self::start_with(scripts, "").await
    }

    async fn start_with(scripts: Vec<Vec<Vec<Step>>>, limits: &str) -> Self {
        let mut upstreams = Vec::new();
        let mut announcements: Vec<UpstreamAnnouncement> = Vec::new();
        for (index, script) in scripts.into_iter().enumerate() {
            let upstream = FakeUpstream::start(script).await;
            let name = format!("u{index}");
            let announcement = service_announcement(&name, upstream.address);
            let lookups = service_announcement(&format!("{name}-plain"), upstream.address);
            announcements.push(announcement);
            announcements
                .push(UpstreamAnnouncement { serves: vec!["lookups".to_owned()], ..lookups });
            upstreams.push(upstream);
        }
        let controller = FakeController::start(announcements).await;
        controller.script().routes = Some(Arc::new(table(5)));
        let folder = tempfile::TempDir::new().unwrap();
        let text = settings_text(folder.path(), &[controller.address], limits);
        let settings: RouterSettings =
            baobabfall_node::settings::parse_settings(std::path::Path::new("t.toml"), &text)
                .unwrap();
        let listeners = RouterListeners::bind(&settings).await.unwrap();
        let mut options = RouterOptions::open(settings).unwrap();
        options.health_checks = false;
        options.close_on_stop = true;
        let window = Duration::from_secs(10);
        let exchanges = ExchangeOptions {
            budget: FleetBudget { ratio: 0.2, slack: 20.0, window },
            body_bytes: 1 << 20,
        };
        let (handle, state) =
            Router::start_exchanges(options, listeners, TestProtocol, &exchanges).await.unwrap();
        let site = Self { handle, state, controller, upstreams, _folder: folder };
        let count = site.controller.upstream_count();
        wait_for("readiness", || {
            site.state.is_ready() && site.handle.state().fleet.registry().upstreams.len() == count
        })
        .await;
        site
    }

    async fn call(&self, method: Method, path: &str, headers: &[(&str, &str)]) -> Answer {
        self.call_body(method, path, headers, "").await
    }

    async fn call_body(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let request = self.request(method, path, headers, body);
        Answer::read(send(self.handle.caller_address(), request).await).await
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "site")
            .header("x-request", "r1")
            .header("x-key", "key-a");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        builder.body(Full::new(Bytes::from(body.to_owned()))).unwrap()
    }

    /// Requests that upstream `index` got.
    fn work(&self, index: usize) -> usize {
        self.upstreams[index].log().requests.len()
    }
}

fn answer_with(status: u16, headers: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    ))]
}

fn good(body: &str) -> Vec<Step> {
    answer_with(200, "x-request: r1\r\nx-mark: m\r\n", body)
}

fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-request: r1\r\nx-mark: m\r\n\r\n".to_owned()
}

fn events(from: u64, to: u64) -> String {
    (from..to).map(|id| chunk(&event(id))).collect()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

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

/// Guards against callers who learn only after the full wait that nothing ran,
/// although those before them waited in vain just now.
#[tokio::test]
async fn exchange_in_vain_is_refused_at_once() {
    let site = Arc::new(Site::start(vec![vec![]]).await);
    site.controller.script().slots = 0;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "deadline_before_dispatch"));
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..10 {
        let site = Arc::clone(&site);
        calls.spawn(async move {
            let begun = tokio::time::Instant::now();
            let answer = site.call(Method::GET, "/read/x", &[]).await;
            assert_eq!(answer.status.as_u16(), 503);
            assert_ne!(answer.header("x-retry-ms"), "");
            begun.elapsed()
        });
    }
    let times = calls.join_all().await;
    // The route's objective of 2 s lets a request wait for 800 ms.
    let at_once = times.iter().filter(|time| **time < Duration::from_millis(400)).count();
    assert_eq!(at_once, 6, "four may wait, the others learn it at once: {times:?}");
}

/// Guards against plain services that wait for a loaded dispatcher while their
/// upstreams are free.
#[tokio::test]
async fn exchange_plain_needs_no_grant() {
    let site = Site::start(vec![vec![good("a")]]).await;
    site.controller.script().slots = 0;
    wait_for("the dispatcher", || !site.handle.state().dispatch.is_lost()).await;
    let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    let log = site.upstreams[0].log();
    assert_eq!(header_of(&log.requests[0].0, "x-upstream"), "u0-plain");
}

/// Guards against unequal shares of a plain service that is full: after an
/// upstream refused work, requests wait for the dispatcher again.
#[tokio::test]
async fn exchange_plain_refused_waits_for_grant() {
    let refuse = || answer_with(503, "x-not-run: 1\r\n", "full");
    let site = Site::start(vec![vec![refuse(), good("a")]]).await;
    site.controller.script().slots = 0;
    wait_for("the dispatcher", || !site.handle.state().dispatch.is_lost()).await;
    for _ in 0..2 {
        let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
        assert_eq!(answer.status.as_u16(), 503);
        assert_ne!(answer.header("x-retry-ms"), "", "the caller is told when to come back");
    }
    assert_eq!(site.work(0), 1, "the second request must not reach the full upstream");
}

/// Guards against work for an upstream that is about to stop.
#[tokio::test]
async fn exchange_plain_avoids_leaving_upstream() {
    let site = Site::start(vec![vec![good("a")]]).await;
    {
        let mut script = site.controller.script();
        script.slots = 0;
        script.upstreams.iter_mut().for_each(|upstream| upstream.leaving = true);
        script.registry_version += 1;
    }
    wait_for("the notice", || {
        site.handle.state().fleet.registry().upstreams.iter().all(|upstream| upstream.leaving)
    })
    .await;
    let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), site.work(0)), (503, 0));
}

/// Guards against events that are missing, doubled or joined with those of
/// another run when a stream goes on elsewhere.
#[tokio::test]
async fn exchange_stream_goes_on_after_last_event() {
    let half = format!("{}{}{}", stream_head(), events(1, 3), chunk("id: 3\nda"));
    let broken = || vec![Step::Write(half.clone()), Step::Close];
    let rest = || vec![Step::Write(format!("{}{}0\r\n\r\n", stream_head(), events(2, 5)))];
    let site = Site::start(vec![vec![broken(), rest()], vec![rest(), broken()]]).await;
    // The first grant goes to the first upstream.
    let answer = site.call(Method::POST, "/resume/x", &[]).await;
    assert!(answer.complete);
    assert_eq!(answer.body, (1..5).map(event).collect::<String>());
    let log = site.upstreams[1].log();
    assert_eq!(header_of(&log.requests[0].0, "x-last-event"), "2");
}

/// Guards against a stream that looks complete although its upstream broke it
/// off, and against one that may not be resumed and is.
#[tokio::test]
async fn exchange_broken_stream_looks_broken() {
    let broken = || vec![Step::Write(format!("{}{}", stream_head(), events(1, 3))), Step::Close];
    let cut = vec![Step::Write(format!("{}{}0\r\n\r\n", stream_head(), chunk("id: 1\nda")))];
    for script in [broken(), cut] {
        let site = Site::start(vec![vec![script.clone()], vec![script]]).await;
        let answer = site.call(Method::POST, "/stream/x", &[]).await;
        assert!(!answer.complete);
        assert_eq!(site.work(0) + site.work(1), 1);
    }
}

/// Guards against work that goes on for a caller who has left.
#[tokio::test]
async fn exchange_caller_gone_closes_upstream() {
    let hang = || vec![Step::Hang];
    let streaming = vec![Step::Write(format!("{}{}", stream_head(), events(1, 2))), Step::Hang];
    for (path, script) in [("/once/x", hang()), ("/stream/x", streaming)] {
        let site = Site::start(vec![vec![script]]).await;
        let request = site.request(Method::POST, path, &[], "");
        let address = site.handle.caller_address();
        let call = tokio::spawn(async move {
            let mut response = send(address, request).await;
            while response.body_mut().frame().await.is_some() {}
        });
        wait_for("the request", || site.work(0) == 1).await;
        call.abort();
        wait_for("the close", || site.upstreams[0].log().closed == 1).await;
        wait_for("the end", || site.handle.state().in_progress() == 0).await;
    }
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

/// Guards against a stop that cuts answers or leaves callers on a router that
/// goes away: answers end with their connection, and new work is refused.
#[tokio::test]
async fn stop_closes_connections_after_answers() {
    let gated = vec![
        Step::Write(format!("{}{}", stream_head(), events(1, 2))),
        Step::Gate,
        Step::Write(format!("{}0\r\n\r\n", events(2, 3))),
    ];
    let site = Site::start(vec![vec![gated]]).await;
    let request = site.request(Method::POST, "/stream/x", &[], "");
    let open = send(site.handle.caller_address(), request).await;
    site.handle.begin_stop();
    wait_for("the notice", || !site.state.is_ready()).await;
    site.upstreams[0].open_gate();
    let answer = Answer::read(open).await;
    assert!(answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    tokio::time::timeout(support::PATIENCE, site.handle.join()).await.expect("the router ends");
}

/// Guards against streams that a stop cuts because they were taken while it was
/// under way: those that may outlast it are sent to another router at once.
#[tokio::test]
async fn stop_refuses_streams_that_outlast_it() {
    let site = Site::start_with(vec![vec![good("a")]], "stop_running = \"1s\"").await;
    site.handle.begin_stop();
    wait_for("the notice", || !site.state.is_ready()).await;
    let answer = site.call(Method::POST, "/long/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stopping"));
    assert!(answer.header("x-retry-ms").parse::<u64>().unwrap() <= 50);
    assert_eq!(site.work(0), 0);
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 200, "other work is still taken");
}

/// Guards against idle callers who keep new ones out: beyond half of the room
/// connections close after their answer, and those that wait are accepted.
#[tokio::test]
async fn crowded_router_closes_connections() {
    let site = Site::start_with(vec![vec![]], "connections = 4").await;
    let mut idle = Vec::new();
    for _ in 0..2 {
        idle.push(tokio::net::TcpStream::connect(site.handle.caller_address()).await.unwrap());
    }
    // One permit waits for the next connection.
    let room = || site.handle.state().connection_room.available_permits();
    wait_for("two connections", || room() == 1).await;
    for _ in 0..10 {
        let answer = site.call(Method::GET, "/none/", &[]).await;
        assert_eq!(answer.status.as_u16(), 404);
        assert_eq!(answer.header("connection"), "close");
    }
    drop(idle);
    wait_for("room", || room() == 3).await;
    let answer = site.call(Method::GET, "/none/", &[]).await;
    assert_eq!(answer.header("connection"), "");
}

/// Guards against a router that takes more requests than its memory holds:
/// beyond half of its connections they are refused at once.
#[tokio::test]
async fn overloaded_router_refuses_requests() {
    let site = Site::start_with(vec![vec![vec![Step::Hang]; 8]], "connections = 8").await;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let request = site.request(Method::GET, "/read/x", &[], "");
        calls.spawn(send(site.handle.caller_address(), request));
    }
    wait_for("four requests", || site.work(0) == 4).await;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (429, "limit_reached"));
    assert_ne!(answer.header("x-retry-ms"), "");
    assert_eq!(site.work(0), 4);
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
