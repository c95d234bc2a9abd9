//! The caller listener of a site with routes: from a request's head to its run.

use crate::drain::DrainPhase;
use crate::exchange_body::ExchangeBody;
use crate::exchange_protocol::{ExchangeHead, ExchangeProtocol};
use crate::exchange_run::{ExchangeCall, ExchangeRun};
use crate::exchange_state::ExchangeState;
use crate::request_order::end_to_end_headers;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::{OPEN_WORKSPACE, RouteIndex, RouteKind, RouteRow};
use baobabfall_node::http_server::read_body;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response, request};
use http_body::Body;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a caller may come back while the router is not ready.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// Time after which a caller of a stopping router may come back: at once, since
/// other routers serve.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// Streams of routes whose time-out is beyond this part of the time of a stop
/// may outlast it. Streams rarely use more than a part of their time-out.
const OUTLAST_SHARE: f64 = 1.5;
/// Longest wait for room for a body.
const BODY_ROOM_WAIT: Duration = Duration::from_millis(100);
/// Room taken for a body whose length is not told beforehand.
const CHUNKED_ROOM: usize = 128 << 10;

/// Why a request ends before it is queued.
#[derive(Clone, Copy, Debug)]
struct IntakeFault {
    kind: ErrorKind,
    retry_after: Option<Duration>,
}

impl From<ErrorKind> for IntakeFault {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, retry_after: None }
    }
}

/// Answers one request of a caller.
pub async fn handle<P: ExchangeProtocol>(
    state: Arc<ExchangeState<P>>,
    request: Request<Incoming>,
) -> Response<ExchangeBody> {
    let progress = state.begin();
    let arrival = Instant::now();
    let (parts, body) = request.into_parts();
    let mut response = match prepare(&state, &parts, body, arrival).await {
        Ok(call) => ExchangeRun::new(Arc::clone(&state), call, progress).run().await,
        Err(fault) => {
            let kind = fault.kind.answer().code;
            state.router.metrics.count_refusal(kind);
            let path = parts.uri.path();
            let version = state.router.fleet.routes_version();
            log::info!(event = "request_rejected", reason = kind, path = path, routes_version = version; "request rejected");
            state.protocol.refusal(fault.kind, fault.retry_after).map(ExchangeBody::from)
        }
    };
    if !state.router.is_healthy() || state.router.is_near_connection_limit() {
        // Callers move to other routers while this one is stopping.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn prepare<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    parts: &request::Parts,
    body: Incoming,
    arrival: Instant,
) -> Result<ExchangeCall, IntakeFault> {
    let Some(routes) = state.router.fleet.routes() else {
        return Err(IntakeFault { kind: ErrorKind::NotReady, retry_after: Some(NOT_READY_RETRY) });
    };
    let head = state.protocol.read_head(parts)?;
    let route = routes.find(&head.host, parts.uri.path()).ok_or(ErrorKind::NotFound)?.clone();
    let (workspace, forward_workspace) = workspace_of(&routes, &route, &head)?;
    if may_outlast_stop(state, &route) {
        return Err(IntakeFault { kind: ErrorKind::Stopping, retry_after: Some(STOPPING_RETRY) });
    }
    if state.router.is_overloaded() {
        return Err(IntakeFault {
            kind: ErrorKind::LimitReached,
            retry_after: Some(NOT_READY_RETRY),
        });
    }
    let deadline = head.deadline.unwrap_or(route.timeout()).min(route.timeout());
    let body = receive_body(state, &routes, parts, body).await?;
    let service = route.pick_service(rand::random()).to_owned();
    let version = routes.table().version;
    let held = routes.table().services.iter().find(|held| held.name == service);
    let engine = held.and_then(|held| held.engine.as_ref());
    let plain = held.is_some() && engine.is_none() && !route.kind.is_stream();
    let event_tokens = engine.map_or(0, |engine| engine.event_tokens);
    Ok(ExchangeCall {
        method: parts.method.clone(),
        target: parts.uri.path_and_query().cloned().ok_or(ErrorKind::MalformedRequest)?,
        headers: forwarded_headers(&parts.headers),
        body,
        forward_workspace,
        workspace,
        service,
        event_tokens,
        plain,
        version,
        arrival,
        deadline: arrival + deadline,
        head,
        route,
    })
}

/// True when the router is stopping and the answer may take longer than running
/// work is given. It would be cut and could not go on elsewhere.
fn may_outlast_stop<P: ExchangeProtocol>(state: &ExchangeState<P>, route: &RouteRow) -> bool {
    let running = state.router.options.settings.limits.stop_running;
    route.kind == RouteKind::Stream
        && state.router.drain.phase() > DrainPhase::Serving
        && running.is_some_and(|limit| route.timeout() > limit.0.mul_f64(OUTLAST_SHARE))
}

/// The workspace that is charged, and whether upstreams are told its name.
fn workspace_of(
    routes: &RouteIndex,
    route: &RouteRow,
    head: &ExchangeHead,
) -> Result<(String, bool), ErrorKind> {
    if !routes.needs_keys() {
        return Ok((OPEN_WORKSPACE.to_owned(), false));
    }
    let holder = head.key.as_deref().and_then(|key| routes.workspace(key));
    match holder {
        Some(holder) => Ok((holder.name.clone(), true)),
        None if route.public => Ok((OPEN_WORKSPACE.to_owned(), false)),
        None => Err(ErrorKind::Unauthenticated),
    }
}

async fn receive_body<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    routes: &RouteIndex,
    parts: &request::Parts,
    body: Incoming,
) -> Result<Bytes, IntakeFault> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(ErrorKind::MalformedRequest.into());
    }
    let limits = routes.table().limits;
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    if length.is_some_and(|length| length > limit) {
        return Err(ErrorKind::OversizedRequest.into());
    }
    let room = state.reserve_body(length.unwrap_or(CHUNKED_ROOM), BODY_ROOM_WAIT).await;
    let Some(_room) = room else {
        return Err(IntakeFault {
            kind: ErrorKind::LimitReached,
            retry_after: Some(NOT_READY_RETRY),
        });
    };
    let time = Duration::from_millis(limits.idle_ms);
    read_body(body, limit, time).await.map_err(|refusal| refusal.kind.into())
}

/// The caller's headers without those of the connection; the host stays.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end_headers(headers);
    if let Some(host) = headers.get(http::header::HOST) {
        kept.insert(http::header::HOST, host.clone());
    }
    kept
}
