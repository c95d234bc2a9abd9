//! Executes a validated request: waits for an upstream slot, claims protected
//! actions, dispatches, retries failed attempts and relays the response.

use crate::action_client::{ActionSettlement, CLAIM_LEASE, ClaimError};
use crate::cancel_guard::CancelGuard;
use crate::relay::{AnswerForm, RelayBody, RelayParts, RelayStream};
use crate::request_order::{RequestOrder, RetryClass, UpstreamCall, end_to_end_headers};
use crate::request_queue::{QueueExit, QueueRequest, SlotLease};
use crate::request_record::RequestRecord;
use crate::resume::ResumePlan;
use crate::router_state::RouterState;
use crate::upstream_pool::{ExchangeError, UpstreamConnection};
use baobabfall_core::dispatch_messages::{LeaseEnd, UpstreamRoute};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::limit_book::RateStatement;
use baobabfall_core::request_life::LifecycleEvent;
use baobabfall_core::send_barrier::SendBarrier;
use baobabfall_core::upstream_notices::{UpstreamNotice, read_delay};
use baobabfall_node::http_server::{
    LEAVING_HEADER, NOT_RUN_HEADER, RATE_LIMIT_HEADER, REQUEST_ID_HEADER, error_response_with,
    json_response,
};
use baobabfall_node::messages::{ActionClaim, ActionOutcome, ClaimAnswer};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderValue, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` of a rejection when no better estimate exists.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum body size, in bytes, of a refusal that is read to its end so that the
/// connection can be reused.
const REFUSAL_BODY_LIMIT: usize = 64 << 10;
/// Maximum time for reading the body of a refusal.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of granted slots that one request may return unused because their
/// upstream is shutting down.
const RETURNED_SLOT_LIMIT: u32 = 16;

/// Execution of one request, from the queue to the head of its response.
pub struct RequestRun {
    state: Arc<RouterState>,
    order: RequestOrder,
    call: Arc<UpstreamCall>,
    record: RequestRecord,
    settlement: Option<ActionSettlement>,
    attempts_made: u32,
}

/// An error response that the router itself sends to the caller.
#[derive(Debug)]
pub struct Rejection {
    /// Determines status, error code and whether the caller may retry.
    pub kind: ErrorKind,
    /// Explanation for the caller: what happened and, where possible, what to do.
    pub message: String,
    /// Time after which the caller may retry; only sent for kinds that allow a
    /// retry.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection without a `Retry-After` time.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after: None }
    }

    /// Creates a rejection that asks the caller to retry after `wait`.
    pub fn after(kind: ErrorKind, message: impl Into<String>, wait: Duration) -> Self {
        Self { kind, message: message.into(), retry_after: Some(wait) }
    }

    /// Ends the request in `record` and builds the response. The reported kind
    /// may differ from `kind`, see [`RequestRecord::reject`].
    pub fn respond(self, record: &mut RequestRecord) -> Response<RelayBody> {
        let kind = record.reject(self.kind);
        let wait = self.retry_after.filter(|_| kind.answer().retry);
        error_response_with(kind, &self.message, wait, Some(&record.id)).map(RelayBody::Whole)
    }
}

/// Result of one attempt at one upstream.
enum AttemptResult {
    /// A response that can be relayed.
    Relay(Box<OpenResponse>, Box<SlotLease>, CancelGuard),
    /// Failed, but may be retried. Holds the name of the upstream and the
    /// rejection to send if no retry is allowed.
    Retry(String, Rejection),
    /// Failed and must not be retried.
    Reject(Rejection),
}

/// Why a request is not dispatched after its claim.
enum ClaimStop {
    Reject(Rejection),
    /// An earlier request with the same key was answered with this status and
    /// this digest of the body.
    AlreadyAnswered(u16, [u8; 32]),
}

/// Body of the response to a repeated protected action.
#[derive(Debug, Serialize)]
struct RecordedOutcome {
    outcome: &'static str,
    status: u16,
    digest: String,
}

/// A response whose head, and for repeatable requests also the first frame, has arrived.
struct OpenResponse {
    response: Response<Incoming>,
    first: Option<Bytes>,
    connection: UpstreamConnection,
}

impl RequestRun {
    /// Prepares the execution of an admitted request.
    pub fn new(
        state: Arc<RouterState>,
        order: RequestOrder,
        call: UpstreamCall,
        record: RequestRecord,
    ) -> Self {
        Self { state, order, call: Arc::new(call), record, settlement: None, attempts_made: 0 }
    }

    /// Executes the request until the head of a response can be sent to the
    /// caller. The body is relayed later, as the caller reads it.
    pub async fn run(mut self) -> Response<RelayBody> {
        self.record.advance(LifecycleEvent::Admit);
        let mut avoid = None;
        let mut number = None;
        let mut returned_slots = 0;
        loop {
            let lease = match self.wait_for_slot(&mut avoid, &mut number).await {
                Ok(lease) => lease,
                Err(rejection) => return rejection.respond(&mut self.record),
            };
            let route = lease.route().clone();
            let barrier = self.state.send_barrier(&route);
            if matches!(barrier, Some(SendBarrier::Left | SendBarrier::Evacuated)) {
                returned_slots += 1;
                if returned_slots > RETURNED_SLOT_LIMIT {
                    let message =
                        "Every upstream offered for the request is shutting down or evacuated.";
                    let rejection = Rejection::after(ErrorKind::NoUpstream, message, RETRY_AFTER);
                    return rejection.respond(&mut self.record);
                }
                avoid = Some(route.name);
                continue;
            }
            let attempt = match self.claim().await {
                Ok(()) => self.attempt(lease, &route).await,
                Err(ClaimStop::Reject(rejection)) => AttemptResult::Reject(rejection),
                Err(ClaimStop::AlreadyAnswered(status, digest)) => {
                    drop(lease);
                    return self.respond_recorded(status, &digest);
                }
            };
            match attempt {
                AttemptResult::Relay(answer, lease, cancel) => {
                    return self.relay(*answer, *lease, cancel);
                }
                AttemptResult::Reject(rejection) => return rejection.respond(&mut self.record),
                AttemptResult::Retry(upstream, rejection) => {
                    if !self.may_retry() {
                        return rejection.respond(&mut self.record);
                    }
                    self.wait_before_retry().await;
                    avoid = Some(upstream);
                }
            }
        }
    }

    async fn wait_for_slot(
        &self,
        avoid: &mut Option<String>,
        number: &mut Option<u64>,
    ) -> Result<SlotLease, Rejection> {
        if avoid.is_some() && self.state.fleet.directory().serving_count(&self.order.key.0) < 2 {
            *avoid = None;
        }
        let request = QueueRequest {
            key: self.order.key.clone(),
            cost_hint: self.order.cost_hint,
            prefix: self.order.prefix,
            avoid: avoid.clone(),
            number: *number,
            prompt: None,
        };
        let ticket = self.state.queue.enqueue(request);
        *number = Some(ticket.number());
        let deadline = self.order.queue_deadline.min(self.call.deadline);
        ticket.wait(deadline).await.map_err(|exit| match exit {
            QueueExit::Deadline => Rejection::after(
                ErrorKind::DeadlineBeforeDispatch,
                "No slot became free before the deadline.",
                RETRY_AFTER,
            ),
            QueueExit::Refused(wait) => Rejection::after(
                ErrorKind::QueueFull,
                "The queue of the workspace is too long for the request to be served in time.",
                wait,
            ),
            QueueExit::Stopping => Rejection::after(
                ErrorKind::Stopping,
                "The router is shutting down and did not start the request.",
                RETRY_AFTER,
            ),
        })
    }

    /// Claims a protected action at the controllers before its dispatch. Other
    /// requests need no claim.
    async fn claim(&mut self) -> Result<(), ClaimStop> {
        let RetryClass::Protected { key } = &self.order.class else { return Ok(()) };
        let (target, workspace) = &self.order.key;
        let claim = ActionClaim {
            workspace: workspace.clone(),
            service: target.name.clone(),
            path: self.call.path.clone(),
            key: key.clone(),
            digest: self.call.digest(),
            router: self.state.options.identity.clone(),
            attempt: 0,
        };
        let sent = Instant::now();
        let answer = self.state.actions.claim(claim.clone()).await;
        let reject = |kind, message: &str| Err(ClaimStop::Reject(Rejection::new(kind, message)));
        match answer {
            Ok(ClaimAnswer::Granted(token)) => {
                let settlement = ActionSettlement::new(&self.state.actions, claim, token);
                let connect_time = self.state.options.settings.limits.connect_time.0;
                if sent.elapsed() + connect_time >= CLAIM_LEASE {
                    return reject(
                        ErrorKind::NoQuorum,
                        "The claim was granted too late to dispatch the action before it expires.",
                    );
                }
                self.settlement = Some(settlement);
                Ok(())
            }
            Ok(ClaimAnswer::Running) => {
                reject(ErrorKind::ActionRunning, "The action with this key is already running.")
            }
            Ok(ClaimAnswer::Known(ActionOutcome::Answered { status, digest })) => {
                Err(ClaimStop::AlreadyAnswered(status, digest))
            }
            Ok(ClaimAnswer::Known(ActionOutcome::NotRun)) => {
                let message = "An earlier action with this key was refused and did not run.";
                reject(ErrorKind::UpstreamRefused, message)
            }
            Ok(ClaimAnswer::Known(ActionOutcome::Unknown) | ClaimAnswer::OutcomeUnknown) => {
                let message = "It is not known whether the action with this key ran.";
                reject(ErrorKind::OutcomeUnknown, message)
            }
            Ok(ClaimAnswer::KeyReused) => {
                reject(ErrorKind::KeyReused, "The key was already used for a different request.")
            }
            Ok(ClaimAnswer::KeyExpired) => {
                reject(ErrorKind::KeyExpired, "The key's date is outside the retention period.")
            }
            Ok(ClaimAnswer::KeyMalformed) => {
                let message =
                    "The idempotency key must be YYYYMMDD- followed by 1 to 100 characters.";
                reject(ErrorKind::MalformedRequest, message)
            }
            Err(ClaimError(reason)) => {
                let message =
                    format!("The action could not be claimed: {}.", reason.trim_end_matches('.'));
                let rejection = Rejection::after(ErrorKind::NoQuorum, message, RETRY_AFTER);
                Err(ClaimStop::Reject(rejection))
            }
        }
    }

    /// Responds with the recorded outcome of an earlier request that used the same
    /// idempotency key. The original body is not stored, only its digest.
    fn respond_recorded(mut self, status: u16, digest: &[u8; 32]) -> Response<RelayBody> {
        self.record.finish_recorded();
        let digest = blake3::Hash::from_bytes(*digest).to_hex().to_string();
        let body = RecordedOutcome { outcome: "answered", status, digest };
        let mut response = json_response(status, &body).map(RelayBody::Whole);
        if let Ok(value) = HeaderValue::from_str(&self.record.id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    fn may_retry(&self) -> bool {
        self.attempts_made < self.state.options.settings.limits.attempts
            && Instant::now() < self.call.deadline
            && self.state.retries.take_retry(self.record.workspace())
    }

    async fn wait_before_retry(&self) {
        self.record.count_retry();
        let wait = self.state.retries.wait(self.attempts_made.saturating_sub(1));
        tokio::time::sleep_until((Instant::now() + wait).min(self.call.deadline)).await;
    }

    /// Makes one attempt at the upstream of the granted slot.
    async fn attempt(&mut self, mut lease: SlotLease, route: &UpstreamRoute) -> AttemptResult {
        let token = self.settlement.as_ref().map(ActionSettlement::token);
        let request = match self.call.request(route, token) {
            Ok(request) => request,
            Err(reason) => {
                return AttemptResult::Reject(Rejection::new(ErrorKind::MalformedRequest, reason));
            }
        };
        self.attempts_made += 1;
        self.record.advance(LifecycleEvent::Dispatch);
        if let Some(settlement) = &mut self.settlement {
            settlement.dispatched();
        }
        lease.mark_used(self.order.base_cost);
        let mut cancel = CancelGuard::new(&self.state.pool, route, &self.call);
        let exchange = async {
            tokio::select! {
                answer = self.exchange(route, request) => answer,
                () = self.state.probe.wait_until_dead(&route.name, route.incarnation) => {
                    let reason = "the upstream failed its health checks".to_owned();
                    Err(ExchangeError::Sent(reason))
                }
            }
        };
        let result = tokio::time::timeout_at(self.call.deadline, exchange).await;
        match result {
            Ok(Ok(answer)) if self.is_not_run(&answer.response) => {
                cancel.disarm();
                lease.finish(LeaseEnd::Refused);
                self.handle_refusal(answer, route)
            }
            Ok(Ok(answer)) => AttemptResult::Relay(Box::new(answer), Box::new(lease), cancel),
            Ok(Err(error @ (ExchangeError::NotSent(_) | ExchangeError::Withheld))) => {
                cancel.disarm();
                lease.finish(match error {
                    ExchangeError::Withheld => LeaseEnd::Unused,
                    _ => LeaseEnd::Failed,
                });
                self.record_not_run();
                self.log_failure(route, &error.to_string());
                let message = format!("Upstream {} could not be reached.", route.name);
                let rejection = Rejection::after(ErrorKind::NoUpstream, message, RETRY_AFTER);
                if self.is_protected() {
                    return AttemptResult::Reject(rejection);
                }
                AttemptResult::Retry(route.name.clone(), rejection)
            }
            Ok(Err(ExchangeError::Sent(reason))) => {
                lease.finish(LeaseEnd::Failed);
                self.log_failure(route, &reason);
                let message = format!("Upstream {} failed: {reason}.", route.name);
                self.handle_failure(route, Rejection::new(ErrorKind::UpstreamFailed, message))
            }
            Err(_) => {
                lease.finish(LeaseEnd::Failed);
                let message = "The deadline passed before the upstream responded.";
                AttemptResult::Reject(Rejection::new(ErrorKind::DeadlineAfterDispatch, message))
            }
        }
    }

    /// Sends a request and reads the head of the response. For a repeatable
    /// request it also waits for the first body frame, because until then the
    /// request can still be retried at another upstream.
    async fn exchange(
        &self,
        route: &UpstreamRoute,
        request: http::Request<http_body_util::Full<Bytes>>,
    ) -> Result<OpenResponse, ExchangeError> {
        let repeatable = self.order.class.is_repeatable();
        let permits = || self.state.may_send(route);
        let sent_at = Instant::now();
        let (mut response, connection) =
            self.state.pool.exchange(route, request, repeatable, permits).await?;
        self.state.queue.record_notice(route, sent_at, self.stated_notice(&response));
        self.call.check_answer(&response).map_err(ExchangeError::Sent)?;
        // Without an id, a refusal may be a second copy of one that was for an earlier request.
        let names_request = response.headers().contains_key(REQUEST_ID_HEADER);
        if self.is_not_run(&response) && !names_request && connection.is_reused() {
            let reason = "the refusal names no request and the connection has carried others";
            return Err(ExchangeError::Sent(reason.to_owned()));
        }
        let is_head_request = self.call.method == Method::HEAD;
        if !is_head_request && !is_framed(&response) {
            let reason =
                "the response has neither a content length nor a transfer encoding".to_owned();
            return Err(ExchangeError::Sent(reason));
        }
        let gap = self.state.options.settings.limits.answer_gap.0;
        let timed_out = |_| ExchangeError::Sent("the upstream sent no data in time".to_owned());
        let frame = if self.is_not_run(&response) || !repeatable {
            None
        } else {
            let next = tokio::time::timeout(gap, response.body_mut().frame());
            next.await.map_err(timed_out)?
        };
        let first = match frame {
            Some(Err(error)) => return Err(ExchangeError::Sent(error.to_string())),
            Some(Ok(frame)) => frame.into_data().ok(),
            None => None,
        };
        Ok(OpenResponse { response, first, connection })
    }

    /// True when the upstream states that it did not run the request: a refusing
    /// status together with the not-run header.
    fn is_not_run(&self, response: &Response<Incoming>) -> bool {
        let refused = match response.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => true,
            StatusCode::CONFLICT => matches!(self.order.class, RetryClass::Protected { .. }),
            _ => false,
        };
        let not_run = response.headers().get(NOT_RUN_HEADER);
        refused && not_run.is_some_and(|value| value.as_bytes() == b"true")
    }

    /// What the upstream states about itself: that it is leaving, with a refusal how long it
    /// wants no requests, and how many requests it takes.
    fn stated_notice(&self, response: &Response<Incoming>) -> UpstreamNotice {
        let text = |name: &str| response.headers().get(name)?.to_str().ok();
        let refused =
            self.is_not_run(response) && response.status() == StatusCode::SERVICE_UNAVAILABLE;
        UpstreamNotice {
            leaving: text(LEAVING_HEADER) == Some("true"),
            quiet: text(header::RETRY_AFTER.as_str()).filter(|_| refused).and_then(read_delay),
            rate: RateStatement::read(
                response.headers().get(RATE_LIMIT_HEADER).map(|v| v.as_bytes()),
            ),
        }
    }

    fn record_not_run(&mut self) {
        self.record.advance(LifecycleEvent::NotRun);
        if let Some(settlement) = self.settlement.take() {
            settlement.not_run();
        }
    }

    /// True for a protected action. Its claim covers a single dispatch, so it is
    /// never retried.
    fn is_protected(&self) -> bool {
        matches!(self.order.class, RetryClass::Protected { .. })
    }

    fn handle_refusal(&mut self, answer: OpenResponse, route: &UpstreamRoute) -> AttemptResult {
        let status = answer.response.status();
        tokio::spawn(drain_refusal(answer));
        self.record_not_run();
        if status == StatusCode::CONFLICT {
            let message =
                format!("Upstream {} has already seen a newer fencing token.", route.name);
            return AttemptResult::Reject(Rejection::new(ErrorKind::StaleToken, message));
        }
        let message =
            format!("Upstream {} is at capacity and did not run the request.", route.name);
        let rejection = Rejection::after(ErrorKind::UpstreamRefused, message, RETRY_AFTER);
        if self.order.class.is_repeatable() {
            return AttemptResult::Retry(route.name.clone(), rejection);
        }
        AttemptResult::Reject(rejection)
    }

    fn handle_failure(&mut self, route: &UpstreamRoute, rejection: Rejection) -> AttemptResult {
        if !self.order.class.is_repeatable() {
            return AttemptResult::Reject(rejection);
        }
        self.record.advance(LifecycleEvent::Retry);
        AttemptResult::Retry(route.name.clone(), rejection)
    }

    fn log_failure(&self, route: &UpstreamRoute, reason: &str) {
        log::warn!(
            request_id = self.record.id.as_str(), upstream = route.name.as_str();
            "attempt {} failed: {reason}", self.attempts_made
        );
    }

    fn relay(
        mut self,
        answer: OpenResponse,
        lease: SlotLease,
        cancel: CancelGuard,
    ) -> Response<RelayBody> {
        let route = lease.route();
        self.record.advance(LifecycleEvent::Head);
        let (parts, incoming) = answer.response.into_parts();
        let form = self.answer_form(&parts);
        let mut settlement = self.settlement.take();
        if let Some(settlement) = &mut settlement {
            settlement.set_status(parts.status.as_u16());
        }
        let limits = &self.state.options.settings.limits;
        let resumable = route.resume && form == AnswerForm::Events;
        let resume = resumable.then(|| ResumePlan {
            call: Arc::clone(&self.call),
            pool: Arc::clone(&self.state.pool),
            route: route.clone(),
            fleet: Arc::clone(&self.state.fleet),
            attempts_left: limits.resumptions,
            attempts_made: 0,
        });
        let id = self.record.id.clone();
        let stream = RelayStream::new(RelayParts {
            record: self.record,
            lease,
            connection: answer.connection,
            first: answer.first,
            incoming,
            form,
            base_cost: self.order.base_cost,
            deadline: self.call.deadline,
            answer_gap: limits.answer_gap.0,
            resume,
            cancel,
            settlement,
            probe: Arc::clone(&self.state.probe),
            metrics: self.state.metrics.clone(),
        });
        let body = RelayBody::Stream(self.state.relays.watch(stream));
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = end_to_end_headers(&parts.headers);
        if form != AnswerForm::Events
            && let Some(length) = parts.headers.get(CONTENT_LENGTH)
        {
            response.headers_mut().insert(CONTENT_LENGTH, length.clone());
        }
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    fn answer_form(&self, parts: &http::response::Parts) -> AnswerForm {
        let RetryClass::Model { stream } = self.order.class else { return AnswerForm::Opaque };
        let events = parts
            .headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if stream && events && parts.status.is_success() {
            AnswerForm::Events
        } else {
            AnswerForm::Tokens
        }
    }
}

/// Reads the body of a refusal to its end, so that the connection can be reused.
async fn drain_refusal(answer: OpenResponse) {
    let body = Limited::new(answer.response.into_body(), REFUSAL_BODY_LIMIT).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await {
        answer.connection.give_back();
    }
}

/// True when the response is framed, so that a complete body can be told from a
/// lost connection.
fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let has_no_body =
        matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
