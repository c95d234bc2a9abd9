//! Sends one request to one upstream, and checks the head of the response before
//! it may be forwarded.

use crate::answer_evidence::AnswerEvidence;
use crate::exchange_protocol::{AnswerHead, ExchangeProtocol, ForwardContext};
use crate::exchange_run::ExchangeCall;
use crate::exchange_state::ExchangeState;
use crate::request_queue::SlotLease;
use crate::upload_gate::UploadPass;
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

/// An idle connection is dropped this much earlier than its upstream announces, so
/// that no request is sent while the upstream closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// How long an upstream is assumed to keep idle connections open when it does not
/// announce a time.
const IDLE_DEFAULT: Duration = Duration::from_secs(2);

/// A response whose head has arrived and may be forwarded.
#[derive(Debug)]
pub(crate) struct OpenExchange {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: UpstreamConnection,
    pub(crate) lease: SlotLease,
    /// How long the connection may stay idle in the pool after the response.
    pub(crate) idle_time: Duration,
    pub(crate) evidence: AnswerEvidence,
    /// The upstream holds the request body until the exchange has ended.
    _upload: UploadPass,
}

impl OpenExchange {
    /// Ends an exchange whose response was read completely, and returns the
    /// connection to the pool.
    pub(crate) fn complete(self, end: LeaseEnd) {
        self.connection.give_back_for(self.idle_time);
        self.lease.finish(end);
    }
}

/// Why an attempt gave no response that can be forwarded.
#[derive(Clone, Debug)]
pub(crate) struct SendFailure {
    /// Name of the upstream.
    pub(crate) upstream: String,
    /// Error reported to the caller if no retry is possible.
    pub(crate) kind: ErrorKind,
    /// True when the request may have reached the upstream.
    pub(crate) sent: bool,
    /// True when the upstream may have run the request.
    pub(crate) may_have_run: bool,
    /// Explanation for the log.
    pub(crate) reason: String,
}

/// Sends `call` to the upstream of `lease` and waits for the head of the response.
/// `last_event` is the id of the last event that was relayed, for a resumption.
pub(crate) async fn send_call<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    call: &ExchangeCall,
    mut lease: SlotLease,
    last_event: Option<u64>,
) -> Result<OpenExchange, SendFailure> {
    let route = lease.route().clone();
    let fail = |kind, sent, may_have_run, reason: String| {
        let upstream = route.name.clone();
        Err(SendFailure { upstream, kind, sent, may_have_run, reason })
    };
    let Some(request) = forward_request(state, call, &route, last_event) else {
        lease.finish(LeaseEnd::Unused);
        return fail(ErrorKind::MalformedRequest, false, false, "the path is not valid".to_owned());
    };
    let Some(upload) = state.admit_upload(&route, call.body.len()) else {
        lease.finish(LeaseEnd::Unused);
        let reason = "the upstream holds too many bytes of large requests".to_owned();
        return fail(ErrorKind::LimitReached, false, false, reason);
    };
    lease.mark_used(call.prompt_cost());
    let repeatable = call.route.kind.is_repeatable();
    let sent_at = Instant::now();
    let permits = || state.router.may_send(&route);
    let exchange = state.router.pool.exchange(&route, request, repeatable, permits);
    let answer = tokio::time::timeout_at(call.deadline, exchange).await;
    let (response, connection) = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(ExchangeError::NotSent(reason))) => {
            lease.finish(LeaseEnd::Failed);
            return fail(ErrorKind::NoUpstream, false, false, reason);
        }
        Ok(Err(ExchangeError::Withheld)) => {
            lease.finish(LeaseEnd::Unused);
            let reason = ExchangeError::Withheld.to_string();
            return fail(ErrorKind::NoUpstream, false, false, reason);
        }
        Ok(Err(ExchangeError::Sent(reason))) => {
            state.router.queue.record_casualty(&route, call.suspects(), false);
            lease.finish(LeaseEnd::Failed);
            return fail(ErrorKind::UpstreamFailed, true, true, reason);
        }
        Err(_) => {
            lease.finish(LeaseEnd::Failed);
            let reason = "no response before the deadline".to_owned();
            return fail(ErrorKind::DeadlineAfterDispatch, true, true, reason);
        }
    };
    let (parts, body) = response.into_parts();
    let head = state.protocol.read_answer(&parts);
    if !head.misdirected {
        state.router.queue.record_notice(&route, sent_at, head.notice);
    }
    let is_reused = connection.is_reused();
    if let Some((kind, may_have_run, end, reason)) =
        check_head(state, call, &parts, &head, is_reused)
    {
        lease.finish(end);
        return fail(kind, true, may_have_run, reason);
    }
    let idle_time = head.idle_time.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
    let evidence = AnswerEvidence::default();
    Ok(OpenExchange { parts, body, connection, lease, idle_time, evidence, _upload: upload })
}

/// Returns `None` when a response may be forwarded. Otherwise returns the error for
/// the caller, whether the request may have run, how the use of the slot ended and
/// an explanation for the log.
fn check_head<P: ExchangeProtocol>(
    state: &ExchangeState<P>,
    call: &ExchangeCall,
    parts: &response::Parts,
    head: &AnswerHead,
    is_reused: bool,
) -> Option<(ErrorKind, bool, LeaseEnd, String)> {
    let status = parts.status;
    let failed = |reason: &str| {
        Some((ErrorKind::UpstreamFailed, true, LeaseEnd::Failed, format!("{status}: {reason}")))
    };
    let has_other_id = head.request_id.as_ref().is_some_and(|id| *id != call.head.request_id);
    if has_other_id {
        return failed("the response belongs to another request");
    }
    // Without an id, the response may be a second copy of one that was for an earlier request.
    if head.request_id.is_none() && is_reused {
        return failed("the response names no request and the connection has carried others");
    }
    if head.misdirected {
        let reason = "the address now belongs to another upstream".to_owned();
        return Some((ErrorKind::NoUpstream, false, LeaseEnd::Failed, reason));
    }
    if head.not_run {
        let reason = format!("{status}: the upstream did not run the request");
        return Some((ErrorKind::UpstreamRefused, false, LeaseEnd::Refused, reason));
    }
    if state.protocol.promises_not_run(status) {
        // The caller would conclude from this status that the request did not run,
        // which the upstream has not stated.
        return failed("the upstream does not state that it did not run the request");
    }
    if status.is_success() && (!head.genuine || head.request_id.is_none()) {
        return failed("the response lacks the upstream marker or the request id");
    }
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return failed("the response has a content encoding");
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
    let context = ForwardContext {
        upstream: &route.name,
        remaining,
        workspace: call.forward_workspace.then_some(call.workspace.as_str()),
        last_event,
    };
    state.protocol.set_forward_headers(&mut headers, &context);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.target.clone());
    *request.headers_mut() = headers;
    Some(request)
}

/// Response head for the caller: the status and the end-to-end headers.
pub(crate) fn forwarded_head(parts: &response::Parts) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = crate::request_order::end_to_end_headers(&parts.headers);
    response
}
