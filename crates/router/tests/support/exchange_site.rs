//! A router with a site-specific exchange protocol, between a fake controller and fake upstreams.

use super::fake_controller::FakeController;
use super::fake_upstream::{FakeUpstream, Step, chunk};
use super::{Answer, send, service_announcement, settings_text, wait_for};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::hedge_policy::HedgeLimit;
use baobabfall_core::limit_book::RateStatement;
use baobabfall_core::retry_window::FleetRetryBudget;
use baobabfall_core::route_table::*;
use baobabfall_core::upstream_notices::UpstreamNotice;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_node::units::millis;
use baobabfall_router::exchange_protocol::*;
use baobabfall_router::exchange_state::{ExchangeOptions, ExchangeState};
use baobabfall_router::{Router, RouterHandle, RouterListeners, RouterOptions, RouterSettings};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;

pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request");
pub const KEY_HEADER: HeaderName = HeaderName::from_static("x-key");
pub const WAIT_HEADER: HeaderName = HeaderName::from_static("x-wait-ms");
pub const LAST_EVENT_HEADER: HeaderName = HeaderName::from_static("x-last-event");
pub const RESUMES_HEADER: HeaderName = HeaderName::from_static("x-resumes");
pub const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("x-upstream");
pub const WORKSPACE_HEADER: HeaderName = HeaderName::from_static("x-workspace");
pub const MARK_HEADER: HeaderName = HeaderName::from_static("x-mark");
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-leaving");
pub const QUIET_HEADER: HeaderName = HeaderName::from_static("x-quiet-ms");
pub const RATE_HEADER: HeaderName = HeaderName::from_static("x-rate");
pub const PARTS_HEADER: HeaderName = HeaderName::from_static("x-parts");
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");

/// An exchange protocol that uses the `x-` headers above.
#[derive(Clone, Debug)]
pub struct TestProtocol;

pub fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

pub fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

impl ExchangeProtocol for TestProtocol {
    fn read_head(&self, parts: &http::request::Parts) -> Result<ExchangeHead, ErrorKind> {
        let headers = &parts.headers;
        Ok(ExchangeHead {
            request_id: header_text(headers, &REQUEST_ID_HEADER).unwrap_or_default(),
            host: header_text(headers, &http::header::HOST).ok_or(ErrorKind::MalformedRequest)?,
            key: header_text(headers, &KEY_HEADER),
            deadline: header_number(headers, &WAIT_HEADER).map(Duration::from_millis),
            last_event: header_number(headers, &LAST_EVENT_HEADER),
            resumes: header_text(headers, &RESUMES_HEADER),
            parts: header_text(headers, &PARTS_HEADER).map_or_else(Vec::new, |value| {
                value.split(',').filter_map(|part| part.parse().ok()).collect()
            }),
            ..ExchangeHead::default()
        })
    }

    fn set_forward_headers(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>) {
        headers.remove(KEY_HEADER);
        headers.remove(WORKSPACE_HEADER);
        headers.insert(WAIT_HEADER, HeaderValue::from(millis(context.remaining)));
        headers.insert(UPSTREAM_HEADER, HeaderValue::from_str(context.upstream).unwrap());
        if let Some(workspace) = context.workspace {
            headers.insert(WORKSPACE_HEADER, HeaderValue::from_str(workspace).unwrap());
        }
        if let Some(last_event) = context.last_event {
            headers.insert(LAST_EVENT_HEADER, HeaderValue::from(last_event));
        }
    }

    fn read_answer(&self, parts: &http::response::Parts) -> AnswerHead {
        AnswerHead {
            request_id: header_text(&parts.headers, &REQUEST_ID_HEADER),
            genuine: parts.headers.contains_key(MARK_HEADER),
            not_run: parts.headers.contains_key(NOT_RUN_HEADER),
            misdirected: parts.status == StatusCode::MISDIRECTED_REQUEST,
            idle_time: None,
            notice: UpstreamNotice {
                leaving: parts.headers.contains_key(LEAVING_HEADER),
                quiet: header_number(&parts.headers, &QUIET_HEADER).map(Duration::from_millis),
                rate: RateStatement::read(parts.headers.get(&RATE_HEADER).map(|v| v.as_bytes())),
            },
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

pub fn route(prefix: &str, kind: RouteKind, attempts: u32) -> RouteRow {
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

/// A route to a plain service, which is not a model engine. With this objective a request waits
/// at most 200 ms in the queue.
pub fn plain_route(prefix: &str, kind: RouteKind) -> RouteRow {
    RouteRow {
        objective_ms: 500,
        shares: vec![RouteShare { service: "lookups".to_owned(), weight: 1 }],
        ..route(prefix, kind, 1)
    }
}

pub fn route_table(version: u64) -> RouteTable {
    // A request waits at most 200 ms in the queue.
    let model_route = RouteRow { objective_ms: 500, ..route("/model/", RouteKind::Idempotent, 1) };
    let short_route = RouteRow { timeout_ms: 300, ..route("/brief/", RouteKind::Idempotent, 1) };
    RouteTable {
        version,
        routes: vec![
            route("/read/", RouteKind::Idempotent, 2),
            route("/once/", RouteKind::Once, 2),
            route("/stream/", RouteKind::Stream, 2),
            route("/resume/", RouteKind::ResumableStream, 2),
            plain_route("/plain/", RouteKind::Idempotent),
            plain_route("/plain-once/", RouteKind::Once),
            RouteRow { timeout_ms: 60_000, ..route("/long/", RouteKind::Stream, 1) },
            RouteRow {
                timeout_ms: 60_000,
                ..route("/long-resume/", RouteKind::ResumableStream, 1)
            },
            route("/public/", RouteKind::Idempotent, 1),
            short_route,
            model_route,
        ],
        services: vec![
            ServiceRow {
                name: "cases".to_owned(),
                health_path: "/h".to_owned(),
                connections: 9,
                engine: Some(EngineRow { slots: 4, memory_tokens: 1_000, event_tokens: 1 }),
                cold: None,
            },
            ServiceRow {
                name: "lookups".to_owned(),
                health_path: "/h".to_owned(),
                connections: 9,
                engine: None,
                cold: None,
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

/// A running router with its fake controller and fake upstreams.
pub struct ExchangeSite {
    pub handle: RouterHandle,
    pub state: Arc<ExchangeState<TestProtocol>>,
    pub controller: FakeController,
    pub upstreams: Vec<FakeUpstream>,
    _temp_dir: tempfile::TempDir,
}

impl ExchangeSite {
    /// Starts a router and one upstream per list of scripts.
    pub async fn start(scripts: Vec<Vec<Vec<Step>>>) -> Self {
        Self::start_with(scripts, "").await
    }

    /// Like [`Self::start`], with lines for the `[limits]` section of the settings.
    pub async fn start_with(scripts: Vec<Vec<Vec<Step>>>, limits: &str) -> Self {
        let (controller, upstreams) = start_peers(scripts).await;
        Self::start_between(controller, upstreams, limits, None).await
    }

    /// Starts a router between running peers. `control` is the runtime for its exchange
    /// with the controller.
    pub async fn start_between(
        controller: FakeController,
        upstreams: Vec<FakeUpstream>,
        limits: &str,
        control: Option<Handle>,
    ) -> Self {
        Self::start_options(controller, upstreams, limits, control, exchange_options()).await
    }

    /// Like [`Self::start_between`], with other limits for exchanges.
    pub async fn start_options(
        controller: FakeController,
        upstreams: Vec<FakeUpstream>,
        limits: &str,
        control: Option<Handle>,
        exchanges: ExchangeOptions,
    ) -> Self {
        Self::start_listening(controller, upstreams, limits, control, exchanges, None).await
    }

    /// Like [`Self::start_options`], with the listener for callers.
    pub async fn start_listening(
        controller: FakeController,
        upstreams: Vec<FakeUpstream>,
        limits: &str,
        control: Option<Handle>,
        exchanges: ExchangeOptions,
        callers: Option<TcpListener>,
    ) -> Self {
        let directory = tempfile::TempDir::new().unwrap();
        let text = settings_text(directory.path(), &[controller.address], limits);
        let settings: RouterSettings =
            baobabfall_node::settings::parse_settings(std::path::Path::new("t.toml"), &text)
                .unwrap();
        let mut listeners = RouterListeners::bind(&settings).await.unwrap();
        if let Some(callers) = callers {
            listeners.caller = callers;
        }
        let mut options = RouterOptions::open(settings).unwrap();
        options.health_checks = false;
        options.control = control;
        options.close_on_stop = true;
        let (handle, state) =
            Router::start_exchanges(options, listeners, TestProtocol, &exchanges).await.unwrap();
        let site = Self { handle, state, controller, upstreams, _temp_dir: directory };
        let upstream_count = site.controller.upstream_count();
        wait_for("the router to become ready", || {
            site.state.is_ready()
                && site.handle.state().fleet.directory().registry().upstreams.len()
                    == upstream_count
        })
        .await;
        site
    }

    pub async fn call(&self, method: Method, path: &str, headers: &[(&str, &str)]) -> Answer {
        self.call_body(method, path, headers, "").await
    }

    pub async fn call_body(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let request = self.request(method, path, headers, body);
        Answer::read(send(self.handle.caller_address(), request).await).await
    }

    pub fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::from(body.to_owned())));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap();
        let defaults = [("host", "site"), ("x-request", "r1"), ("x-key", "key-a")];
        for (name, value) in defaults.iter().chain(headers) {
            let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
            request.headers_mut().insert(name, value.parse().unwrap());
        }
        request
    }

    /// Number of requests that upstream `index` received.
    pub fn request_count(&self, index: usize) -> usize {
        self.upstreams[index].log().requests.len()
    }
}

/// The limits for exchanges that tests start with.
pub fn exchange_options() -> ExchangeOptions {
    let window = Duration::from_secs(10);
    ExchangeOptions {
        budget: FleetRetryBudget { ratio: 0.2, slack: 20.0, window },
        held_bytes: 1 << 20,
        upstream_bytes: 1 << 30,
        hedges: HedgeLimit::NONE,
    }
}

/// Starts one upstream per list of scripts, and a controller that knows them.
pub async fn start_peers(scripts: Vec<Vec<Vec<Step>>>) -> (FakeController, Vec<FakeUpstream>) {
    let mut upstreams = Vec::new();
    let mut announcements: Vec<UpstreamAnnouncement> = Vec::new();
    for (index, script) in scripts.into_iter().enumerate() {
        let upstream = FakeUpstream::start(script).await;
        let name = format!("u{index}");
        let announcement = service_announcement(&name, upstream.address);
        let lookup_announcement = service_announcement(&format!("{name}-plain"), upstream.address);
        announcements.push(announcement);
        announcements.push(UpstreamAnnouncement {
            serves: vec!["lookups".to_owned()],
            ..lookup_announcement
        });
        upstreams.push(upstream);
    }
    let controller = FakeController::start(announcements).await;
    controller.script().routes = Some(Arc::new(route_table(5)));
    (controller, upstreams)
}

/// A response with the given further header lines, each ended by CRLF.
pub fn answer_with(status: u16, headers: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    ))]
}

/// A 200 response with the request id and the mark of an upstream's own answer.
pub fn marked_answer(body: &str) -> Vec<Step> {
    answer_with(200, "x-request: r1\r\nx-mark: m\r\n", body)
}

pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-request: r1\r\nx-mark: m\r\n\r\n".to_owned()
}

/// Chunks with the events from `from` up to but excluding `to`.
pub fn event_chunks(from: u64, to: u64) -> String {
    (from..to).map(|id| chunk(&event(id))).collect()
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}
