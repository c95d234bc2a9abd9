//! Handles requests on the caller listener of a site with routes: finds the route,
//! authenticates the caller, reads the body and starts the exchange.

use crate::exchange_body::ExchangeBody;
use crate::exchange_protocol::{ExchangeHead, ExchangeProtocol};
use crate::exchange_run::{ExchangeCall, ExchangeRun};
use crate::exchange_state::ExchangeState;
use crate::held_bytes::CollectError;
use crate::request_fingerprint::RequestContent;
use crate::request_order::end_to_end_headers;
use crate::stream_lookup::{StreamReference, find_origin};
use baobabfall_core::dispatch_messages::StreamOrigin;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::{OPEN_WORKSPACE, RouteIndex, RouteRow};
use baobabfall_core::stream_origins::stream_key;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response, request};
use http_body::Body;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` while the router is not ready or overloaded.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` during a graceful shutdown. Short, because other routers can take
/// the request.
pub(crate) const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Longest wait for memory for a request body.
const HELD_BYTES_WAIT: Duration = Duration::from_millis(100);

/// Why a request is rejected before it is queued.
#[derive(Clone, Copy, Debug)]
struct IntakeError {
    kind: ErrorKind,
    retry_after: Option<Duration>,
}

impl From<ErrorKind> for IntakeError {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, retry_after: None }
    }
}

/// Responds to one request of a caller.
pub async fn handle<P: ExchangeProtocol>(
    state: Arc<ExchangeState<P>>,
    request: Request<Incoming>,
) -> Response<ExchangeBody> {
    let progress = state.begin();
    let arrival = Instant::now();
    let (parts, body) = request.into_parts();
    let mut response = match prepare(&state, &parts, body, arrival).await {
        Ok(call) => ExchangeRun::new(Arc::clone(&state), call, progress).run().await,
        Err(error) => {
            let kind = error.kind.answer().code;
            state.router.metrics.count_refusal(kind);
            let path = parts.uri.path();
            let version = state.router.fleet.routes_version();
            log::info!(event = "request_rejected", reason = kind, path = path, routes_version = version; "request rejected");
            state.protocol.refusal(error.kind, error.retry_after).map(ExchangeBody::from)
        }
    };
    if !state.router.is_healthy() || state.router.is_crowded() {
        // Closing the connection moves callers to other routers during a shutdown,
        // and makes room for new callers when many connections are open.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn prepare<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    parts: &request::Parts,
    body: Incoming,
    arrival: Instant,
) -> Result<ExchangeCall, IntakeError> {
    let Some(routes) = state.router.fleet.routes() else {
        return Err(IntakeError {
            kind: ErrorKind::NotReady,
            retry_after: Some(UNAVAILABLE_RETRY_AFTER),
        });
    };
    let head = state.protocol.read_head(parts)?;
    let route = routes.find(&head.host, parts.uri.path()).ok_or(ErrorKind::NotFound)?.clone();
    let (workspace, forward_workspace) = charged_workspace(&routes, &route, &head)?;
    if state.router.is_overloaded() {
        return Err(IntakeError {
            kind: ErrorKind::LimitReached,
            retry_after: Some(UNAVAILABLE_RETRY_AFTER),
        });
    }
    let deadline = head.deadline.unwrap_or(route.timeout()).min(route.timeout());
    let body = receive_body(state, &routes, parts, body).await?;
    if state.router.drain.cuts(arrival + deadline) {
        return Err(IntakeError {
            kind: ErrorKind::Stopping,
            retry_after: Some(SHUTDOWN_RETRY_AFTER),
        });
    }
    let target = parts.uri.path_and_query().cloned().ok_or(ErrorKind::MalformedRequest)?;
    let content = RequestContent {
        workspace: &workspace,
        method: &parts.method,
        host: &head.host,
        target: target.as_str(),
        body: &body,
    };
    let fingerprint = content.fingerprint();
    let stream = match &head.resumes {
        Some(resumes) => StreamReference::Request(stream_key(&workspace, resumes)),
        None => StreamReference::Content(fingerprint),
    };
    let origin = find_stream_origin(state, &head, &route, stream, arrival + deadline).await?;
    let service = match &origin {
        Some(origin) => origin.service.clone(),
        None => route.pick_service(rand::random()).to_owned(),
    };
    let version = routes.table().version;
    let row = routes.table().services.iter().find(|row| row.name == service);
    let engine = row.and_then(|row| row.engine.as_ref());
    let plain = row.is_some() && engine.is_none() && !route.kind.is_stream();
    let event_tokens = engine.map_or(0, |engine| engine.event_tokens);
    Ok(ExchangeCall {
        fingerprint,
        method: parts.method.clone(),
        target,
        headers: forwarded_headers(&parts.headers),
        body,
        forward_workspace,
        workspace,
        service,
        origin,
        event_tokens,
        plain,
        version,
        via: parts.extensions.get().cloned(),
        arrival,
        deadline: arrival + deadline,
        head,
        route,
    })
}

/// Returns the origin of the stream that a caller resumes, or `None` for a new request.
/// The output of two software versions cannot be combined, so a stream of unknown origin
/// cannot be resumed.
async fn find_stream_origin<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    head: &ExchangeHead,
    route: &RouteRow,
    stream: StreamReference,
    deadline: Instant,
) -> Result<Option<StreamOrigin>, IntakeError> {
    if head.last_event.is_none() || !route.kind.is_stream() {
        return Ok(None);
    }
    let found = find_origin(&state.router.queue, &state.router.link, stream, deadline).await;
    // A change of the route table may have moved the route to other services.
    let found = found.and_then(|origin| match route.has_service(&origin.service) {
        true => Ok(origin),
        false => Err(ErrorKind::StreamVersionGone),
    });
    found.map(Some).map_err(|kind| {
        log::info!(
            event = "stream_resume_refused", request_id = head.request_id.as_str(),
            resumes = head.resumes.as_deref().unwrap_or(""), reason = kind.answer().code;
            "the stream cannot be resumed"
        );
        let retry_after = kind.answer().retry.then_some(UNAVAILABLE_RETRY_AFTER);
        IntakeError { kind, retry_after }
    })
}

/// Returns the workspace to charge and whether its name is forwarded to upstreams.
fn charged_workspace(
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
) -> Result<Bytes, IntakeError> {
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
    let full =
        IntakeError { kind: ErrorKind::LimitReached, retry_after: Some(UNAVAILABLE_RETRY_AFTER) };
    let mut held = state.account.take(length.unwrap_or(0), HELD_BYTES_WAIT).await.ok_or(full)?;
    let timeout = Duration::from_millis(limits.idle_ms);
    match tokio::time::timeout(timeout, held.collect(body, limit)).await {
        Ok(Ok(body)) => Ok(held.attach_counted(body)),
        Ok(Err(CollectError::AccountSpent)) => Err(full),
        Ok(Err(CollectError::Oversized(_))) => Err(ErrorKind::OversizedRequest.into()),
        Ok(Err(CollectError::Broken(_))) => Err(ErrorKind::MalformedRequest.into()),
        Err(_) => Err(ErrorKind::SlowRequest.into()),
    }
}

/// Returns the caller's end-to-end headers and `host`, which upstreams receive
/// unchanged.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end_headers(headers);
    if let Some(host) = headers.get(http::header::HOST) {
        kept.insert(http::header::HOST, host.clone());
    }
    kept
}
