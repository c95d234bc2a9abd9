//! Routers that serve routes, each with a small share of a core, between a group of controllers
//! and engines that write streams of events.

use crate::error::BenchError;
use crate::fleet::{Fleet, FleetPlan};
use crate::fleet_files::{FleetFiles, zone_of};
use crate::role_thread::RoleThread;
use crate::slow_core::limit_share;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::hedge_policy::HedgeLimit;
use baobabfall_core::limit_book::RateStatement;
use baobabfall_core::retry_window::FleetRetryBudget;
use baobabfall_core::route_table::{
    CallerLimits, EngineRow, RouteKind, RouteRow, RouteShare, RouteTable, ServiceRow, WorkspaceKeys,
};
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::upstream_notices::UpstreamNotice;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind};
use baobabfall_node::http_server::{ServerLimits, serve};
use baobabfall_node::messages::AnnounceMessage;
use baobabfall_node::stop_signal::{StopPhase, StopSender, stop_channel};
use baobabfall_node::units::millis;
use baobabfall_router::exchange_protocol::{
    AnswerHead, ExchangeHead, ExchangeProtocol, ForwardContext,
};
use baobabfall_router::exchange_state::{ExchangeOptions, ExchangeState};
use baobabfall_router::{Router, RouterHandle, RouterListeners};
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, request, response};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Host of every route.
pub const HOST_NAME: &str = "site.example";
/// Path of the requests.
pub const PATH: &str = "/stream/x";
/// Header with the id of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request");
/// Header with the key of a workspace.
pub const KEY: HeaderName = HeaderName::from_static("x-key");
/// Header with the time for which a caller waits, in milliseconds.
pub const WAIT_MS: HeaderName = HeaderName::from_static("x-wait-ms");
/// Header of a refusal: the time after which to try again, in milliseconds.
pub const RETRY_MS: HeaderName = HeaderName::from_static("x-retry-ms");
const UPSTREAM: HeaderName = HeaderName::from_static("x-upstream");
const MARK: HeaderName = HeaderName::from_static("x-mark");
const SERVICE: &str = "pool";
/// Prompt tokens of a request.
const PROMPT_TOKENS: u64 = 100;
/// Time to the first event of a stream and between its events, and their number.
const FIRST_EVENT: Duration = Duration::from_millis(80);
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Events of a stream.
pub const EVENTS: usize = 14;
const EVENT_DATA: &str = "data: {\"text\":\"a few words of an answer\"}\n\n";
const ENGINES: usize = 20;
const ENGINE_SLOTS: u32 = 64;
/// Time within which the first event should come, in milliseconds.
pub const OBJECTIVE_MS: u64 = 400;
const TIMEOUT_MS: u64 = 5_000;
const CONTROLLERS: usize = 3;
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
const CONNECTIONS: usize = 2_050;
const HELD_BYTES: usize = 32 << 20;
const UPSTREAM_BYTES: u64 = 16 << 20;
const READY_LIMIT: Duration = Duration::from_secs(30);
const READY_PAUSE: Duration = Duration::from_millis(50);
/// The threads of a router for callers and for the controllers share its part of a core in
/// these proportions.
const LOOP_SHARE: f64 = 0.83;
/// Time of a host with a router until the share of its core counts.
const START_TIME: Duration = Duration::from_secs(1);

/// Header conventions of the scene.
#[derive(Clone, Copy, Debug)]
pub struct SceneProtocol;

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

impl ExchangeProtocol for SceneProtocol {
    fn read_head(&self, parts: &request::Parts) -> Result<ExchangeHead, ErrorKind> {
        let headers = &parts.headers;
        let wait = header_text(headers, &WAIT_MS).and_then(|value| value.parse().ok());
        Ok(ExchangeHead {
            request_id: header_text(headers, &REQUEST_ID).ok_or(ErrorKind::MalformedRequest)?,
            host: header_text(headers, &HOST).ok_or(ErrorKind::MalformedRequest)?,
            key: header_text(headers, &KEY),
            deadline: wait.map(Duration::from_millis),
            prompt_tokens: PROMPT_TOKENS,
            answer_tokens: u64::try_from(EVENTS).unwrap_or(0),
            ..ExchangeHead::default()
        })
    }

    fn set_forward_headers(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>) {
        headers.remove(KEY);
        headers.insert(WAIT_MS, HeaderValue::from(millis(context.remaining)));
        if let Ok(upstream) = HeaderValue::from_str(context.upstream) {
            headers.insert(UPSTREAM, upstream);
        }
    }

    fn read_answer(&self, parts: &response::Parts) -> AnswerHead {
        AnswerHead {
            request_id: header_text(&parts.headers, &REQUEST_ID),
            genuine: parts.headers.contains_key(MARK),
            not_run: false,
            misdirected: false,
            idle_time: None,
            notice: UpstreamNotice { leaving: false, quiet: None, rate: RateStatement::read(None) },
        }
    }

    fn refusal(&self, kind: ErrorKind, retry_after: Option<Duration>) -> Response<Full<Bytes>> {
        let mut response =
            Response::new(Full::new(Bytes::from_static(kind.answer().code.as_bytes())));
        *response.status_mut() =
            StatusCode::from_u16(kind.answer().status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        if let Some(wait) = retry_after {
            response.headers_mut().insert(RETRY_MS, HeaderValue::from(millis(wait)));
        }
        response
    }

    fn promises_not_run(&self, status: StatusCode) -> bool {
        matches!(status.as_u16(), 408 | 421 | 429 | 503)
    }
}

/// Body of a stream, written by a task.
#[derive(Debug)]
struct EventBody {
    events: mpsc::Receiver<Bytes>,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let received = self.get_mut().events.poll_recv(context);
        received.map(|event| event.map(|bytes| Ok(Frame::data(bytes))))
    }
}

async fn answer_stream(request: Request<Incoming>) -> Result<Response<EventBody>, Infallible> {
    let (parts, body) = request.into_parts();
    let _ = body.collect().await;
    let (sender, events) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut due = Instant::now() + FIRST_EVENT;
        for id in 1..=EVENTS {
            tokio::time::sleep_until(due).await;
            due += EVENT_GAP;
            let event = Bytes::from(format!("id: {id}\n{EVENT_DATA}"));
            if sender.send(event).await.is_err() {
                return;
            }
        }
    });
    let mut response = Response::new(EventBody { events });
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert(MARK, HeaderValue::from_static("m"));
    if let Some(id) = parts.headers.get(REQUEST_ID) {
        headers.insert(REQUEST_ID, id.clone());
    }
    Ok(response)
}

/// Key of the workspace with this index.
pub fn workspace_key(index: usize) -> String {
    format!("key-{index}")
}

fn route_table(workspaces: usize) -> RouteTable {
    let route = RouteRow {
        name: "stream".to_owned(),
        host: HOST_NAME.to_owned(),
        prefix: "/stream/".to_owned(),
        kind: RouteKind::ResumableStream,
        timeout_ms: TIMEOUT_MS,
        objective_ms: OBJECTIVE_MS,
        gap_ms: Some(250),
        priority: 1,
        shares: vec![RouteShare { service: SERVICE.to_owned(), weight: 1 }],
        attempts: 2,
        public: false,
        affinity: true,
    };
    let keys = |index: usize| WorkspaceKeys {
        name: format!("workspace-{index}"),
        priority: None,
        keys: vec![workspace_key(index)],
    };
    RouteTable {
        version: 1,
        routes: vec![route],
        services: vec![ServiceRow {
            name: SERVICE.to_owned(),
            health_path: "/health".to_owned(),
            connections: 512,
            engine: Some(EngineRow {
                slots: ENGINE_SLOTS,
                memory_tokens: 600_000,
                event_tokens: 4,
            }),
            cold: None,
        }],
        workspaces: Some((0..workspaces).map(keys).collect()),
        limits: CallerLimits::default(),
    }
}

/// A router on threads of its own.
#[derive(Debug)]
struct SceneRouter {
    handle: RouterHandle,
    state: Arc<ExchangeState<SceneProtocol>>,
    callers: RoleThread,
    control: RoleThread,
}

/// Running controllers, routers and engines.
#[derive(Debug)]
pub struct ExchangeScene {
    fleet: Arc<Fleet>,
    routers: Vec<SceneRouter>,
    tasks: JoinSet<()>,
    engines: StopSender,
    // Dropped last: the routers read their credentials from it.
    files: FleetFiles,
}

fn setup(error: impl ToString) -> BenchError {
    BenchError::Fleet(error.to_string())
}

impl ExchangeScene {
    /// Starts `routers`, each with `share` of a core, and keys for `workspaces`.
    pub async fn start(routers: usize, share: f64, workspaces: usize) -> Result<Self, BenchError> {
        let plan = FleetPlan {
            controllers: CONTROLLERS,
            routers: 0,
            rows: Vec::new(),
            limits: String::new(),
        };
        let fleet = Arc::new(Fleet::start(plan).await?);
        let leader = fleet.leader().ok_or_else(|| setup("no controller leads"))?;
        let api = fleet.controller(leader).ok_or_else(|| setup("no leader"))?.api().clone();
        let table = route_table(workspaces);
        let document = serde_json::to_vec(&table).map_err(setup)?;
        let change = async move { api.replace_routes(table, document).await };
        let changed = fleet.controller_thread(leader).run(change).await?;
        changed.map_err(|refusal| setup(refusal.message))?;
        let (engines, signal) = stop_channel();
        let mut tasks = JoinSet::new();
        for index in 0..ENGINES {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let service = tower::service_fn(answer_stream);
            tasks.spawn(serve(listener, service, ServerLimits::default(), signal.clone()));
            tasks.spawn(renew(Arc::clone(&fleet), engine(index, address)));
        }
        let files = FleetFiles::create(0)?;
        let mut scene = Self { fleet, routers: Vec::new(), tasks, engines, files };
        for index in 0..routers {
            let router = scene.start_router(index, share).await?;
            scene.routers.push(router);
        }
        scene.wait_ready().await?;
        tokio::time::sleep(START_TIME).await;
        for router in &scene.routers {
            router.callers.spawn(limit_share(share * LOOP_SHARE));
            router.control.spawn(limit_share(share * (1.0 - LOOP_SHARE)));
        }
        Ok(scene)
    }

    async fn start_router(&self, index: usize, share: f64) -> Result<SceneRouter, BenchError> {
        let limits = format!("connections = {CONNECTIONS}");
        let addresses = self.fleet.controller_addresses();
        let mut options = self.files.router(index, &addresses, &limits)?;
        let callers = RoleThread::start(&format!("callers-{index}"))?;
        let control = RoleThread::start(&format!("reports-{index}"))?;
        options.control = Some(control.run(async { Handle::current() }).await?);
        options.health_checks = false;
        options.close_on_stop = true;
        options.core_thousandths =
            Some(millis(Duration::from_secs_f64(share)).try_into().unwrap_or(0));
        let exchanges = ExchangeOptions {
            budget: FleetRetryBudget { ratio: 0.2, slack: 200.0, window: Duration::from_secs(10) },
            held_bytes: HELD_BYTES,
            upstream_bytes: UPSTREAM_BYTES,
            hedges: HedgeLimit::NONE,
        };
        let start = async move {
            let listeners = RouterListeners::bind(&options.settings).await.map_err(setup)?;
            Router::start_exchanges(options, listeners, SceneProtocol, &exchanges)
                .await
                .map_err(setup)
        };
        let (handle, state) = callers.run(start).await??;
        Ok(SceneRouter { handle, state, callers, control })
    }

    async fn wait_ready(&self) -> Result<(), BenchError> {
        let end = Instant::now() + READY_LIMIT;
        let ready = |router: &SceneRouter| {
            let upstreams = router.handle.state().fleet.directory().upstreams().len();
            router.state.is_ready() && upstreams == ENGINES
        };
        while !self.routers.iter().all(ready) {
            if Instant::now() > end {
                return Err(setup("a router did not become ready"));
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Ok(())
    }

    /// Addresses for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.handle.caller_address()).collect()
    }

    /// Answer of each router to a readiness check.
    pub fn readiness(&self) -> Vec<bool> {
        self.routers.iter().map(|router| router.state.is_ready()).collect()
    }

    /// Processor time of a router's threads, for callers and for the controllers.
    pub fn processor_time(&self, router: usize) -> Result<(Duration, Duration), BenchError> {
        let router = &self.routers[router];
        Ok((router.callers.processor_time()?, router.control.processor_time()?))
    }

    /// Connections that a router closed unread so far.
    pub fn closed_unread(&self, router: usize) -> u64 {
        self.routers[router].handle.state().accept_gate.closed()
    }

    /// Ends all roles at once.
    pub async fn end(mut self) -> Result<(), BenchError> {
        for router in self.routers.drain(..) {
            router.handle.abort();
            router.handle.join().await;
        }
        self.engines.advance(StopPhase::Stopped);
        self.tasks.shutdown().await;
        match Arc::into_inner(self.fleet) {
            Some(fleet) => fleet.end().await,
            None => Ok(()),
        }
    }
}

fn engine(index: usize, address: SocketAddr) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: format!("engine-{index}"),
        incarnation: 1_764_000_000_000,
        sequence: 0,
        address,
        kind: UpstreamKind::Service,
        serves: vec![SERVICE.to_owned()],
        zone: zone_of(index).to_owned(),
        concurrency: ENGINE_SLOTS,
        pool: None,
        honours_fencing: false,
        resume: true,
        cancel: true,
        leaving: false,
        running: None,
        software: SoftwareVersion::parse("v1"),
        cold_ms: None,
    }
}

/// Renews an announcement at the controllers in turn until the task is dropped.
async fn renew(fleet: Arc<Fleet>, announcement: UpstreamAnnouncement) {
    for sequence in 1_u64.. {
        let message = AnnounceMessage::Announce(vec![UpstreamAnnouncement {
            sequence,
            ..announcement.clone()
        }]);
        for index in 0..CONTROLLERS {
            let Some(controller) = fleet.controller(index) else { continue };
            let api = controller.api().clone();
            let message = message.clone();
            let register = async move { api.register(message).await };
            if matches!(fleet.controller_thread(index).run(register).await, Ok(Ok(()))) {
                break;
            }
        }
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}
