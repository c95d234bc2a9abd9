//! One exchange: queueing, sending, and what follows from each outcome.

use crate::exchange_body::{ExchangeBody, frame_body};
use crate::exchange_meter::{ExchangeMeter, ExchangeOutcome};
use crate::exchange_protocol::{ExchangeHead, ExchangeProtocol};
use crate::exchange_send::{OpenExchange, SendFailure, passed_head, send_call};
use crate::exchange_state::{ExchangeState, ProgressGuard};
use crate::exchange_stream::{pump_events, pump_frames};
use crate::lease_book::QueueKey;
use crate::request_queue::{QueueExit, QueueRequest, SlotLease};
use baobabfall_core::dispatch_messages::{CostUnits, LeaseEnd, PromptSummary, UNITS_PER_TOKEN};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::RouteRow;
use baobabfall_core::upstream_registry::{UpstreamKind, WorkTarget};
use baobabfall_node::node_metrics::AnswerCompleteness;
use baobabfall_node::units::millis;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response, response};
use http_body_util::{BodyExt, Full, Limited};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Answers up to this size are read whole before they are passed on, so that
/// one that breaks off can still be replaced.
const WHOLE_LIMIT: usize = 256 << 10;
/// Connections that could not be opened for one request before it is refused.
const CONNECT_ATTEMPTS: u32 = 3;
/// Part of a route's objective that a request may wait for a slot: an upstream
/// needs the rest to answer on time.
const QUEUE_SHARE: f64 = 0.4;
/// Part of a route's objective in which the first token should follow a grant.
const FIRST_TOKEN_SHARE: f64 = 0.5;
/// Silence of the dispatcher, above its poll interval of 200 ms, beyond which
/// it may be lost.
const DISPATCHER_SILENCE: Duration = Duration::from_millis(260);
/// Successes at the first attempt that are logged, of 256.
const LOGGED_OF_256: u8 = 16;
/// Shortest time after which a refused caller may come back, and the width of
/// the range over which returns are spread.
const RETURN_WAIT: Duration = Duration::from_millis(300);

/// A caller's request with all that was decided before it is queued.
#[derive(Clone, Debug)]
pub struct ExchangeCall {
    /// Method.
    pub method: Method,
    /// Path and query, as received.
    pub target: PathAndQuery,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the site's protocol read from the head.
    pub head: ExchangeHead,
    /// Route.
    pub route: RouteRow,
    /// Service that was drawn from the shares of the route.
    pub service: String,
    /// Tokens in one event of the service's streams.
    pub event_tokens: u32,
    /// True when the service is no model engine: the router may choose an
    /// upstream without the dispatcher while none is full.
    pub plain: bool,
    /// Workspace that is charged.
    pub workspace: String,
    /// True when upstreams are told the workspace.
    pub forward_workspace: bool,
    /// Version of the route table that decided.
    pub version: u64,
    /// When the head arrived.
    pub arrival: Instant,
    /// When the caller or the route no longer waits.
    pub deadline: Instant,
}

impl ExchangeCall {
    /// Cost of the tokens that are read. A generated token counts twice.
    pub(crate) fn prompt_cost(&self) -> CostUnits {
        (self.head.prompt_tokens * UNITS_PER_TOKEN / 2).max(UNITS_PER_TOKEN)
    }

    fn prompt_note(&self) -> Option<PromptSummary> {
        let tokens = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let target = millis(self.route.objective().mul_f64(FIRST_TOKEN_SHARE));
        (self.head.prompt_tokens > 0).then(|| PromptSummary {
            prefix: self.head.prefix,
            shared: tokens(self.head.shared_tokens),
            own: tokens(self.head.prompt_tokens.saturating_sub(self.head.shared_tokens)),
            target_ms: tokens(target),
            cost: self.cost_hint(),
        })
    }

    fn cost_hint(&self) -> CostUnits {
        self.prompt_cost() + self.head.answer_tokens * UNITS_PER_TOKEN
    }

    /// Cost of one event.
    pub(crate) fn event_cost(&self) -> CostUnits {
        u64::from(self.event_tokens) * UNITS_PER_TOKEN
    }
}

/// Runs one exchange.
#[derive(Debug)]
pub struct ExchangeRun<P: ExchangeProtocol> {
    pub(crate) state: Arc<ExchangeState<P>>,
    pub(crate) call: Arc<ExchangeCall>,
    pub(crate) meter: ExchangeMeter,
    _progress: ProgressGuard,
    /// Upstreams to which a byte of the request was sent.
    attempts: u32,
    unreachable: u32,
    may_have_run: bool,
    avoid: Option<String>,
    number: Option<u64>,
    queued: Duration,
    /// An upstream's own failure, passed on when nothing better comes.
    fallback: Option<Response<ExchangeBody>>,
}

impl<P: ExchangeProtocol> ExchangeRun<P> {
    /// Prepares a run.
    pub fn new(state: Arc<ExchangeState<P>>, call: ExchangeCall, progress: ProgressGuard) -> Self {
        let meter = ExchangeMeter::new(&state.router.metrics, &call);
        Self {
            meter,
            state,
            call: Arc::new(call),
            _progress: progress,
            attempts: 0,
            unreachable: 0,
            may_have_run: false,
            avoid: None,
            number: None,
            queued: Duration::ZERO,
            fallback: None,
        }
    }

    /// Runs the exchange to its answer.
    pub async fn run(mut self) -> Response<ExchangeBody> {
        self.state.record_request(&self.call.service);
        let last_event = self.call.head.last_event;
        loop {
            let opened = match self.open_next(last_event).await {
                Ok(opened) => opened,
                Err((kind, wait)) => return self.refuse(kind, wait),
            };
            let status = opened.parts.status;
            if status.is_success() && self.call.route.kind.is_stream() {
                return self.relay_events(opened);
            }
            if length_of(&opened.parts).is_some_and(|length| length > WHOLE_LIMIT) {
                return self.relay_frames(opened);
            }
            let response = match self.read_whole(opened).await {
                Ok(response) => response,
                Err(failure) if self.may_continue(&failure) => continue,
                Err(failure) => return self.refuse(failure.kind, None),
            };
            if status.is_server_error() && self.may_try_again(true) {
                self.may_have_run = true;
                self.fallback = Some(response);
                continue;
            }
            self.end_answered(status.as_u16(), 0);
            return response;
        }
    }

    /// Counts and logs an exchange that ended with an upstream's answer: every
    /// failure, and of the rest those whose id falls into a fixed sample, so
    /// that all hosts keep the same ones.
    pub(crate) fn end_answered(&mut self, status: u16, events: u64) {
        self.meter.end(ExchangeOutcome::Finished);
        self.meter.count_answer(AnswerCompleteness::Whole);
        let call = &self.call;
        let id = call.head.request_id.as_str();
        let sample = blake3::hash(id.as_bytes()).as_bytes()[0];
        if status < 400 && self.attempts == 1 && sample >= LOGGED_OF_256 {
            return;
        }
        log::info!(
            event = "request_ended", request_id = id, route = call.route.name.as_str(),
            workspace = call.workspace.as_str(), upstream = self.avoid.as_deref().unwrap_or(""),
            status = status, attempts = self.attempts, events = events,
            queued_ms = millis(self.queued), elapsed_ms = millis(call.arrival.elapsed()),
            routes_version = call.version; "request ended with an upstream's answer"
        );
    }

    /// Waits for a slot and sends, again and again while that is allowed.
    pub(crate) async fn open_next(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<OpenExchange, (ErrorKind, Option<Duration>)> {
        loop {
            let lease = self.wait_for_slot().await?;
            let name = lease.route().name.clone();
            match send_call(&self.state, &self.call, lease, last_event).await {
                Ok(opened) => {
                    self.attempts += 1;
                    self.avoid = Some(name);
                    return Ok(opened);
                }
                Err(failure) => {
                    match failure.sent {
                        true => self.attempts += 1,
                        false => self.unreachable += 1,
                    }
                    if !self.may_continue(&failure) {
                        return Err((failure.kind, None));
                    }
                }
            }
        }
    }

    /// Notes a failed attempt; true when another upstream may get the request.
    fn may_continue(&mut self, failure: &SendFailure) -> bool {
        self.may_have_run |= failure.ran;
        self.avoid = Some(failure.upstream.clone());
        let again = match failure.sent {
            true => self.may_try_again(failure.ran),
            false => self.unreachable < CONNECT_ATTEMPTS && !self.is_over(),
        };
        let call = &self.call;
        log::info!(
            event = "attempt_failed", request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(), upstream = failure.upstream.as_str(),
            attempt = self.attempts, may_have_run = failure.ran, again = again;
            "attempt failed: {}", failure.reason
        );
        again
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.call.deadline
    }

    /// True when a request that was sent before may be sent once more.
    pub(crate) fn may_try_again(&self, ran: bool) -> bool {
        let route = &self.call.route;
        let allowed = !ran || route.kind.is_repeatable();
        let again = allowed
            && !self.is_over()
            && self.attempts < route.attempts
            && self.state.take_retry(&self.call.service);
        if again {
            self.meter.count_retry();
        }
        again
    }

    /// Waits while the request can still be answered on time. Without word
    /// from a dispatcher the wait says nothing about load, and goes on.
    async fn wait_in_queue(&mut self, request: QueueRequest) -> Result<SlotLease, QueueExit> {
        let objective = self.call.route.objective();
        let mut limit = self.call.deadline.min(Instant::now() + objective.mul_f64(QUEUE_SHARE));
        loop {
            let ticket = self
                .state
                .router
                .queue
                .enqueue(QueueRequest { number: self.number, ..request.clone() });
            self.number = Some(ticket.number());
            let granted = ticket.wait(limit).await;
            let silent = self.state.router.dispatch.silence() > DISPATCHER_SILENCE;
            let lost = self.call.arrival + (self.call.deadline - self.call.arrival) / 2;
            match granted {
                Err(QueueExit::Deadline) if silent && Instant::now() < lost => limit = lost,
                granted => {
                    if matches!(granted, Err(QueueExit::Deadline)) && !silent {
                        self.state.router.queue.record_expiry(&request.key);
                    }
                    return granted;
                }
            }
        }
    }

    /// True when the queue is too long for the pace of recent grants. Without
    /// word from a dispatcher the pace says nothing.
    fn would_wait_in_vain(&self, key: &QueueKey) -> bool {
        let router = &self.state.router;
        let limit = self.call.route.objective().mul_f64(QUEUE_SHARE);
        router.dispatch.silence() <= DISPATCHER_SILENCE && !router.queue.admits(key, limit)
    }

    /// A slot of a plain service that needs no decision of the dispatcher. A
    /// router that gets no answers from it does not know who left.
    fn take_directly(&self, target: &WorkTarget) -> Option<SlotLease> {
        let router = &self.state.router;
        if !self.call.plain || router.dispatch.is_lost() {
            return None;
        }
        let slot = router.direct.take(&router.fleet, target, self.avoid.as_deref())?;
        Some(SlotLease::direct(&router.direct, &self.call.service, slot))
    }

    async fn wait_for_slot(&mut self) -> Result<SlotLease, (ErrorKind, Option<Duration>)> {
        let call = &self.call;
        let target = WorkTarget { kind: UpstreamKind::Service, name: call.service.clone() };
        if self.avoid.is_some() && self.state.router.fleet.serving_count(&target) < 2 {
            self.avoid = None;
        }
        if let Some(lease) = self.take_directly(&target) {
            return Ok(lease);
        }
        let request = QueueRequest {
            key: (target, call.workspace.clone()),
            cost_hint: call.cost_hint(),
            prefix: call.head.prefix,
            avoid: self.avoid.clone(),
            number: self.number,
            prompt: call.prompt_note(),
        };
        if self.number.is_none() && self.would_wait_in_vain(&request.key) {
            return Err((ErrorKind::DeadlineBeforeDispatch, None));
        }
        let begun = Instant::now();
        let granted = self.wait_in_queue(request).await;
        self.queued += begun.elapsed();
        self.meter.record_queue_wait(begun.elapsed());
        granted.map_err(|exit| match exit {
            QueueExit::Deadline => (ErrorKind::DeadlineBeforeDispatch, None),
            QueueExit::Refused(wait) => (ErrorKind::QueueFull, Some(wait)),
            QueueExit::Stopping => (ErrorKind::Stopping, None),
        })
    }

    /// Ends the exchange with an answer of the router's own.
    fn refuse(mut self, kind: ErrorKind, wait: Option<Duration>) -> Response<ExchangeBody> {
        let call = Arc::clone(&self.call);
        if let Some(response) = self.fallback.take() {
            return response;
        }
        // A refusal must not promise that nothing ran once something may have.
        let kind = match self.may_have_run && kind.answer().not_run {
            true if self.is_over() => ErrorKind::DeadlineAfterDispatch,
            true => ErrorKind::UpstreamFailed,
            false => kind,
        };
        let answer = kind.answer();
        self.meter.end(match answer.not_run {
            true => ExchangeOutcome::RefusedNotRun,
            false => ExchangeOutcome::Unknown,
        });
        self.state.router.metrics.count_refusal(answer.code);
        log::info!(
            event = "request_refused", request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(), workspace = call.workspace.as_str(),
            reason = answer.code, attempts = self.attempts, queued_ms = millis(self.queued),
            elapsed_ms = millis(call.arrival.elapsed()), routes_version = call.version;
            "request ended without an upstream's answer"
        );
        let wait = answer.retry.then(|| wait.unwrap_or_else(spread_wait));
        self.state.protocol.refusal(kind, wait).map(ExchangeBody::from)
    }

    async fn read_whole(
        &mut self,
        mut opened: OpenExchange,
    ) -> Result<Response<ExchangeBody>, SendFailure> {
        let body = Limited::new(&mut opened.body, WHOLE_LIMIT).collect();
        let collected = tokio::time::timeout_at(self.call.deadline, body).await;
        let (kind, reason) = match collected {
            Ok(Ok(collected)) => {
                let response = passed_head(&opened.parts);
                // The dispatcher judges upstreams by connections; a router's own
                // choice is made for each request and can use the status too.
                let failed = opened.lease.is_direct() && response.status().is_server_error();
                opened.complete(if failed { LeaseEnd::Failed } else { LeaseEnd::Finished });
                let body = Full::new(collected.to_bytes());
                return Ok(response.map(|()| ExchangeBody::from(body)));
            }
            Ok(Err(error)) => (ErrorKind::AnswerIncomplete, error.to_string()),
            Err(_) => (ErrorKind::DeadlineAfterDispatch, "the deadline passed".to_owned()),
        };
        let upstream = opened.lease.route().name.clone();
        opened.lease.finish(LeaseEnd::Failed);
        Err(SendFailure { upstream, kind, sent: true, ran: true, reason })
    }

    /// Passes frames on as they arrive.
    fn relay_frames(self, opened: OpenExchange) -> Response<ExchangeBody> {
        let length = length_of(&opened.parts).and_then(|length| u64::try_from(length).ok());
        let (sender, body) = frame_body(length);
        let response = passed_head(&opened.parts).map(|()| body);
        tokio::spawn(pump_frames(self, opened, sender));
        response
    }

    /// Passes events on as they arrive.
    fn relay_events(self, opened: OpenExchange) -> Response<ExchangeBody> {
        let (sender, body) = frame_body(None);
        let response = passed_head(&opened.parts).map(|()| body);
        tokio::spawn(pump_events(self, opened, sender));
        response
    }
}

fn length_of(parts: &response::Parts) -> Option<usize> {
    parts.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Time after which a refused caller may come back, spread so that callers who
/// were refused together do not return together.
fn spread_wait() -> Duration {
    RETURN_WAIT + RETURN_WAIT.mul_f64(rand::random::<f64>())
}
