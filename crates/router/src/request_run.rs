//! Runs a checked request: queue, slot, dispatch, answer, retries.

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
use baobabfall_core::request_life::LifecycleEvent;
use baobabfall_node::http_server::{
    NOT_RUN_HEADER, REQUEST_ID_HEADER, error_response_with, json_response,
};
use baobabfall_node::messages::{ActionClaim, ActionOutcome, ClaimAnswer};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderValue, Method, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which to retry when no better estimate exists.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bytes of a refused answer that are read to keep its connection.
const REFUSAL_LIMIT: usize = 64 << 10;
/// Time in which they are read.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Slots that a request may hand back because their upstream is leaving.
const RETURNS_LIMIT: u32 = 16;

/// One request on its way through the router.
pub struct RequestRun {
    state: Arc<RouterState>,
    order: RequestOrder,
    call: Arc<UpstreamCall>,
    record: RequestRecord,
    settlement: Option<ActionSettlement>,
    attempt: u32,
}

/// A rejection on its way to the caller.
#[derive(Debug)]
pub struct Rejection {
    /// Kind of the rejection.
    pub kind: ErrorKind,
    /// What happened and what to do.
    pub message: String,
    /// Time after which to retry.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// A rejection without a time to wait.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after: None }
    }

    /// A rejection with a time to wait.
    pub fn after(kind: ErrorKind, message: impl Into<String>, wait: Duration) -> Self {
        Self { kind, message: message.into(), retry_after: Some(wait) }
    }

    /// Ends the request with this rejection.
    pub fn respond(self, record: &mut RequestRecord) -> Response<RelayBody> {
        let kind = record.reject(self.kind);
        let wait = self.retry_after.filter(|_| kind.answer().retry);
        error_response_with(kind, &self.message, wait, Some(&record.id)).map(RelayBody::Whole)
    }
}

enum Attempt {
    Answer(Box<OpenAnswer>, SlotLease, CancelGuard),
    Again(String, Rejection),
    End(Rejection),
}

enum ClaimEnd {
    Reject(Rejection),
    Known(u16, [u8; 32]),
}

/// Body of the answer to a repeated protected action.
#[derive(Debug, Serialize)]
struct KnownOutcome {
    outcome: &'static str,
    status: u16,
    digest: String,
}

struct OpenAnswer {
    response: Response<Incoming>,
    first: Option<Bytes>,
    connection: UpstreamConnection,
}

impl RequestRun {
    /// Prepares the run of an admitted request.
    pub fn new(
        state: Arc<RouterState>,
        order: RequestOrder,
        call: UpstreamCall,
        record: RequestRecord,
    ) -> Self {
        Self { state, order, call: Arc::new(call), record, settlement: None, attempt: 0 }
    }

    /// Runs the request until the head of an answer is known.
    pub async fn run(mut self) -> Response<RelayBody> {
        self.record.advance(LifecycleEvent::Admit);
        let mut avoid = None;
        let mut number = None;
        let mut returns = 0;
        loop {
            let lease = match self.wait_for_slot(&mut avoid, &mut number).await {
                Ok(lease) => lease,
                Err(rejection) => return rejection.respond(&mut self.record),
            };
            let route = lease.route().clone();
            if self.state.fleet.has_deregistered(&route.name, route.incarnation) {
                returns += 1;
                if returns > RETURNS_LIMIT {
                    let message = "Every upstream that was offered is leaving.";
                    let rejection = Rejection::after(ErrorKind::NoUpstream, message, RETRY_AFTER);
                    return rejection.respond(&mut self.record);
                }
                avoid = Some(route.name);
                continue;
            }
            let attempt = match self.claim().await {
                Ok(()) => self.attempt(lease, &route).await,
                Err(ClaimEnd::Reject(rejection)) => Attempt::End(rejection),
                Err(ClaimEnd::Known(status, digest)) => {
                    drop(lease);
                    return self.known_outcome(status, &digest);
                }
            };
            match attempt {
                Attempt::Answer(answer, lease, cancel) => {
                    return self.relay(*answer, lease, cancel);
                }
                Attempt::End(rejection) => return rejection.respond(&mut self.record),
                Attempt::Again(upstream, rejection) => {
                    if !self.may_retry() {
                        return rejection.respond(&mut self.record);
                    }
                    self.back_off().await;
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
        if avoid.is_some() && self.state.fleet.serving_count(&self.order.key.0) < 2 {
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
                "The queue of the workspace is longer than can be served in time.",
                wait,
            ),
            QueueExit::Stopping => Rejection::after(
                ErrorKind::Stopping,
                "The router stops before the request could start.",
                RETRY_AFTER,
            ),
        })
    }

    /// Claims a protected action; other requests need no claim.
    async fn claim(&mut self) -> Result<(), ClaimEnd> {
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
        let reject = |kind, message: &str| Err(ClaimEnd::Reject(Rejection::new(kind, message)));
        match answer {
            Ok(ClaimAnswer::Granted(token)) => {
                let settlement = ActionSettlement::new(&self.state.actions, claim, token);
                let connect_time = self.state.options.settings.limits.connect_time.0;
                if sent.elapsed() + connect_time >= CLAIM_LEASE {
                    return reject(ErrorKind::NoQuorum, "The claim was granted too late.");
                }
                self.settlement = Some(settlement);
                Ok(())
            }
            Ok(ClaimAnswer::Running) => {
                reject(ErrorKind::ActionRunning, "The action with this key is running.")
            }
            Ok(ClaimAnswer::Known(ActionOutcome::Answered { status, digest })) => {
                Err(ClaimEnd::Known(status, digest))
            }
            Ok(ClaimAnswer::Known(ActionOutcome::NotRun)) => {
                let message = "The action with this key was refused before and did not run.";
                reject(ErrorKind::UpstreamRefused, message)
            }
            Ok(ClaimAnswer::Known(ActionOutcome::Unknown) | ClaimAnswer::OutcomeUnknown) => {
                let message = "It is not known whether the action with this key ran.";
                reject(ErrorKind::OutcomeUnknown, message)
            }
            Ok(ClaimAnswer::KeyReused) => {
                reject(ErrorKind::KeyReused, "The key was used with another request.")
            }
            Ok(ClaimAnswer::KeyExpired) => {
                reject(ErrorKind::KeyExpired, "The key's day is outside the retention.")
            }
            Ok(ClaimAnswer::KeyMalformed) => {
                let message = "The key must be YYYYMMDD- followed by 1 to 100 characters.";
                reject(ErrorKind::MalformedRequest, message)
            }
            Err(ClaimError(reason)) => {
                let message =
                    format!("The action could not be claimed: {}.", reason.trim_end_matches('.'));
                let rejection = Rejection::after(ErrorKind::NoQuorum, message, RETRY_AFTER);
                Err(ClaimEnd::Reject(rejection))
            }
        }
    }

    /// Answers with the recorded outcome of an earlier request with the key.
    fn known_outcome(mut self, status: u16, digest: &[u8; 32]) -> Response<RelayBody> {
        self.record.finish_recorded();
        let digest = blake3::Hash::from_bytes(*digest).to_hex().to_string();
        let body = KnownOutcome { outcome: "answered", status, digest };
        let mut response = json_response(status, &body).map(RelayBody::Whole);
        if let Ok(value) = HeaderValue::from_str(&self.record.id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    fn may_retry(&self) -> bool {
        self.attempt < self.state.options.settings.limits.attempts
            && Instant::now() < self.call.deadline
            && self.state.retries.take_retry(self.record.workspace())
    }

    async fn back_off(&self) {
        self.record.count_retry();
        let wait = self.state.retries.wait(self.attempt.saturating_sub(1));
        tokio::time::sleep_until((Instant::now() + wait).min(self.call.deadline)).await;
    }

    /// Sends the request to the granted upstream.
    async fn attempt(&mut self, mut lease: SlotLease, route: &UpstreamRoute) -> Attempt {
        let token = self.settlement.as_ref().map(ActionSettlement::token);
        let request = match self.call.request(route, token) {
            Ok(request) => request,
            Err(reason) => {
                return Attempt::End(Rejection::new(ErrorKind::MalformedRequest, reason));
            }
        };
        self.attempt += 1;
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
                    let reason = "the upstream answers no health check".to_owned();
                    Err(ExchangeError::Sent(reason))
                }
            }
        };
        let result = tokio::time::timeout_at(self.call.deadline, exchange).await;
        match result {
            Ok(Ok(answer)) if self.is_not_run(&answer.response) => {
                cancel.disarm();
                lease.finish(LeaseEnd::Refused);
                self.upstream_refused(answer, route)
            }
            Ok(Ok(answer)) => Attempt::Answer(Box::new(answer), lease, cancel),
            Ok(Err(ExchangeError::NotSent(reason))) => {
                cancel.disarm();
                lease.finish(LeaseEnd::Failed);
                self.not_run();
                self.log_failure(route, &reason);
                let message = format!("Upstream {} could not be reached.", route.name);
                let rejection = Rejection::after(ErrorKind::NoUpstream, message, RETRY_AFTER);
                if self.settlement_closed() {
                    return Attempt::End(rejection);
                }
                Attempt::Again(route.name.clone(), rejection)
            }
            Ok(Err(ExchangeError::Sent(reason))) => {
                lease.finish(LeaseEnd::Failed);
                self.log_failure(route, &reason);
                let message = format!("Upstream {} failed: {reason}.", route.name);
                self.sent_and_failed(route, Rejection::new(ErrorKind::UpstreamFailed, message))
            }
            Err(_) => {
                lease.finish(LeaseEnd::Failed);
                let message = "The deadline passed while the upstream worked.";
                Attempt::End(Rejection::new(ErrorKind::DeadlineAfterDispatch, message))
            }
        }
    }

    /// Sends a request and reads the head and the first frame of the answer:
    /// up to there a repeatable request can still go elsewhere.
    async fn exchange(
        &self,
        route: &UpstreamRoute,
        request: http::Request<http_body_util::Full<Bytes>>,
    ) -> Result<OpenAnswer, ExchangeError> {
        let repeatable = self.order.class.is_repeatable();
        let (mut response, connection) =
            self.state.pool.exchange(route, request, repeatable).await?;
        self.call.check_answer(&response).map_err(ExchangeError::Sent)?;
        let headless = self.call.method == Method::HEAD;
        if !headless && !is_framed(&response) {
            let reason = "the answer has neither a length nor chunks".to_owned();
            return Err(ExchangeError::Sent(reason));
        }
        let gap = self.state.options.settings.limits.answer_gap.0;
        let silent = |_| ExchangeError::Sent("the upstream is silent".to_owned());
        let frame = if self.is_not_run(&response) || !repeatable {
            None
        } else {
            let next = tokio::time::timeout(gap, response.body_mut().frame());
            next.await.map_err(silent)?
        };
        let first = match frame {
            Some(Err(error)) => return Err(ExchangeError::Sent(error.to_string())),
            Some(Ok(frame)) => frame.into_data().ok(),
            None => None,
        };
        Ok(OpenAnswer { response, first, connection })
    }

    /// True when the upstream itself says that the request did not run.
    fn is_not_run(&self, response: &Response<Incoming>) -> bool {
        let refused = match response.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => true,
            StatusCode::CONFLICT => matches!(self.order.class, RetryClass::Protected { .. }),
            _ => false,
        };
        let said = response.headers().get(NOT_RUN_HEADER);
        refused && said.is_some_and(|value| value.as_bytes() == b"true")
    }

    fn not_run(&mut self) {
        self.record.advance(LifecycleEvent::NotRun);
        if let Some(settlement) = self.settlement.take() {
            settlement.not_run();
        }
    }

    /// A claim is used for one dispatch only.
    fn settlement_closed(&self) -> bool {
        matches!(self.order.class, RetryClass::Protected { .. })
    }

    fn upstream_refused(&mut self, answer: OpenAnswer, route: &UpstreamRoute) -> Attempt {
        let status = answer.response.status();
        tokio::spawn(finish_refusal(answer));
        self.not_run();
        if status == StatusCode::CONFLICT {
            let message = format!("Upstream {} has seen a newer fencing token.", route.name);
            return Attempt::End(Rejection::new(ErrorKind::StaleToken, message));
        }
        let message = format!("Upstream {} is full and did not run the request.", route.name);
        let rejection = Rejection::after(ErrorKind::UpstreamRefused, message, RETRY_AFTER);
        if self.order.class.is_repeatable() {
            return Attempt::Again(route.name.clone(), rejection);
        }
        Attempt::End(rejection)
    }

    fn sent_and_failed(&mut self, route: &UpstreamRoute, rejection: Rejection) -> Attempt {
        if !self.order.class.is_repeatable() {
            return Attempt::End(rejection);
        }
        self.record.advance(LifecycleEvent::Retry);
        Attempt::Again(route.name.clone(), rejection)
    }

    fn log_failure(&self, route: &UpstreamRoute, reason: &str) {
        log::warn!(
            request_id = self.record.id.as_str(), upstream = route.name.as_str();
            "attempt {} failed: {reason}", self.attempt
        );
    }

    fn relay(
        mut self,
        answer: OpenAnswer,
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
            left: limits.resumptions,
            made: 0,
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

/// Reads a refusal to its end, so that its connection can be used again.
async fn finish_refusal(answer: OpenAnswer) {
    let body = Limited::new(answer.response.into_body(), REFUSAL_LIMIT).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_TIME, body).await {
        answer.connection.give_back();
    }
}

/// True when the end of the answer can be told from a lost connection.
fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let empty = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
