//! Sending of one request to one upstream, up to the head of its answer.

use crate::exchange_protocol::{AnswerHead, ExchangeProtocol, ForwardContext};
use crate::exchange_run::ExchangeCall;
use crate::exchange_state::ExchangeState;
use crate::request_queue::SlotLease;
use crate::upstream_pool::{ExchangeError, UpstreamConnection};
use baobabfall_core::dispatch_messages::{LeaseEnd, UpstreamRoute};
use baobabfall_core::error_kind::ErrorKind;
use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{Request, Response, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::Instant;

/// Time by which a connection counts as unused earlier than its upstream says,
/// so that a request does not cross the close.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// How long connections are kept when an upstream does not say.
const IDLE_DEFAULT: Duration = Duration::from_secs(2);

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct OpenExchange {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: UpstreamConnection,
    pub(crate) lease: SlotLease,
    /// How long the connection may be kept unused afterwards.
    pub(crate) idle_time: Duration,
}

impl OpenExchange {
    /// Ends an exchange whose answer was read whole.
    pub(crate) fn complete(self, end: LeaseEnd) {
        self.connection.give_back_for(self.idle_time);
        self.lease.finish(end);
    }
}

/// Why an upstream gave no answer that can be passed on.
#[derive(Clone, Debug)]
pub(crate) struct SendFailure {
    /// The upstream.
    pub(crate) upstream: String,
    /// Answer for the caller, if nothing else can be tried.
    pub(crate) kind: ErrorKind,
    /// True when a byte of the request was sent.
    pub(crate) sent: bool,
    /// True when the request may have run.
    pub(crate) ran: bool,
    /// For the log.
    pub(crate) reason: String,
}

/// Sends `call` to the upstream of `lease`.
pub(crate) async fn send_call<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    call: &ExchangeCall,
    mut lease: SlotLease,
    last_event: Option<u64>,
) -> Result<OpenExchange, SendFailure> {
    let route = lease.route().clone();
    let fail = |kind, sent, ran, reason: String| {
        let upstream = route.name.clone();
        Err(SendFailure { upstream, kind, sent, ran, reason })
    };
    let Some(request) = forward_request(state, call, &route, last_event) else {
        lease.finish(LeaseEnd::Unused);
        return fail(ErrorKind::MalformedRequest, false, false, "the path is not valid".to_owned());
    };
    lease.mark_used(call.prompt_cost());
    let repeatable = call.route.kind.is_repeatable();
    let exchange = state.router.pool.exchange(&route, request, repeatable);
    let answer = tokio::time::timeout_at(call.deadline, exchange).await;
    let (response, connection) = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(ExchangeError::NotSent(reason))) => {
            lease.finish(LeaseEnd::Failed);
            return fail(ErrorKind::NoUpstream, false, false, reason);
        }
        Ok(Err(ExchangeError::Sent(reason))) => {
            lease.finish(LeaseEnd::Failed);
            return fail(ErrorKind::UpstreamFailed, true, true, reason);
        }
        Err(_) => {
            lease.finish(LeaseEnd::Failed);
            let reason = "no answer before the deadline".to_owned();
            return fail(ErrorKind::DeadlineAfterDispatch, true, true, reason);
        }
    };
    let (parts, body) = response.into_parts();
    let claim = state.protocol.read_answer(&parts);
    if let Some((kind, ran, end, reason)) = fault_of(state, call, &parts, &claim) {
        lease.finish(end);
        return fail(kind, true, ran, reason);
    }
    let idle_time = claim.idle_time.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
    Ok(OpenExchange { parts, body, connection, lease, idle_time })
}

/// Why an answer is not passed on as it is.
fn fault_of<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    call: &ExchangeCall,
    parts: &response::Parts,
    claim: &AnswerHead,
) -> Option<(ErrorKind, bool, LeaseEnd, String)> {
    let status = parts.status;
    let failed = |reason: &str| {
        Some((ErrorKind::UpstreamFailed, true, LeaseEnd::Failed, format!("{status}: {reason}")))
    };
    let names_other = claim.request_id.as_ref().is_some_and(|id| *id != call.head.request_id);
    if names_other {
        return failed("the answer belongs to another request");
    }
    if claim.misdirected {
        let reason = "another upstream holds the address".to_owned();
        return Some((ErrorKind::NoUpstream, false, LeaseEnd::Failed, reason));
    }
    if claim.not_run {
        let reason = format!("{status}: the upstream did not run it");
        return Some((ErrorKind::UpstreamRefused, false, LeaseEnd::Refused, reason));
    }
    if state.protocol.promises_not_run(status) {
        // Passed on, this status would promise what the upstream did not say.
        return failed("the upstream does not state that it did not run the request");
    }
    if status.is_success() && (!claim.genuine || claim.request_id.is_none()) {
        return failed("the answer lacks the mark of an upstream");
    }
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return failed("the answer is encoded");
    }
    None
}

fn forward_request<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    call: &ExchangeCall,
    route: &UpstreamRoute,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let mut headers = call.headers.clone();
    let stamp = ForwardContext {
        upstream: &route.name,
        remaining,
        workspace: call.forward_workspace.then_some(call.workspace.as_str()),
        last_event,
    };
    state.protocol.set_forward_headers(&mut headers, &stamp);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.target.clone());
    *request.headers_mut() = headers;
    Some(request)
}

/// The head of an answer as the caller gets it.
pub(crate) fn passed_head(parts: &response::Parts) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = crate::request_order::end_to_end_headers(&parts.headers);
    response
}
