//! Relays an upstream's response to the caller, frame by frame.
//!
//! A frame is read from the upstream only when the caller's connection polls
//! for one, so each relay buffers at most one frame and one partial event.

use crate::action_client::ActionSettlement;
use crate::cancel_guard::CancelGuard;
use crate::event_scanner::{EventScanner, completion_tokens_of};
use crate::health_probe::{HealthProbe, LIVENESS_INTERVAL};
use crate::lease_book::LeaseMeter;
use crate::relay_watch::WatchedRelay;
use crate::request_queue::SlotLease;
use crate::request_record::RequestRecord;
use crate::resume::{ResumePlan, ResumedStream};
use crate::upstream_pool::UpstreamConnection;
use baobabfall_core::dispatch_messages::{CostUnits, LeaseEnd, UNITS_PER_TOKEN};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::request_life::LifecycleEvent;
use baobabfall_node::http_server::error_body;
use baobabfall_node::message_body::MessageBody;
use baobabfall_node::node_metrics::AnswerCompleteness;
use baobabfall_node::node_metrics::NodeMetrics;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::{Instant, Sleep};

/// Number of bytes kept from the end of a JSON response, where its token count is
/// searched.
const USAGE_TAIL_BYTES: usize = 2048;
/// Number of bytes of a service call that cost as much as one generated token.
const SERVICE_BYTES_PER_TOKEN: u64 = 64 << 10;

/// Multiple of the longest time without data within which a stream must bring an event. Upstreams
/// may send comments while they read a long prompt, but not instead of events for ever.
const EVENT_GAP_FACTOR: u32 = 4;

/// Error that closes the caller's connection, so that the caller notices that the
/// response is truncated.
#[derive(Debug, Error)]
#[error("the response ended early: {0}")]
pub struct RelayError(String);

/// Body of a response to a caller.
#[derive(Debug)]
pub enum RelayBody {
    /// Complete body that the router itself produced.
    Whole(MessageBody),
    /// Body that is relayed from an upstream.
    Stream(Arc<WatchedRelay>),
}

/// How a response body is interpreted for cost accounting and resumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// Server-sent events of a model engine.
    Events,
    /// One JSON document of a model engine, which ends with its token count.
    Tokens,
    /// Response of a service that is no model engine; charged by its size.
    Opaque,
}

/// Inputs of [`RelayStream::new`].
#[derive(Debug)]
pub struct RelayParts {
    /// Life cycle and metrics of the request.
    pub record: RequestRecord,
    /// The upstream slot that the request occupies.
    pub lease: SlotLease,
    /// The connection that carries the response.
    pub connection: UpstreamConnection,
    /// First body frame, if it was read before the relay started.
    pub first: Option<Bytes>,
    /// Rest of the response body.
    pub incoming: Incoming,
    /// How the body is interpreted.
    pub form: AnswerForm,
    /// Cost that was charged at dispatch, before any response data.
    pub base_cost: CostUnits,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Longest time without data from the upstream.
    pub answer_gap: Duration,
    /// How to resume the stream; `None` when it cannot be resumed.
    pub resume: Option<ResumePlan>,
    /// Cancels the request at the upstream unless the response completes.
    pub cancel: CancelGuard,
    /// Reports the outcome of a protected action; `None` for other requests.
    pub settlement: Option<ActionSettlement>,
    /// Results of the health checks of all upstreams.
    pub probe: Arc<HealthProbe>,
    /// Metrics of the router process.
    pub metrics: NodeMetrics,
}

#[derive(Debug)]
enum RelaySource {
    Body(Incoming),
    Resuming(JoinHandle<Result<ResumedStream, String>>),
    /// Given up, with the reason that the next poll reports.
    Abandoned(&'static str),
    Ended,
}

/// Relay of one response; polled by the caller's connection through [`RelayBody`].
#[derive(Debug)]
pub struct RelayStream {
    record: RequestRecord,
    lease: SlotLease,
    connection: Option<UpstreamConnection>,
    source: RelaySource,
    first: Option<Bytes>,
    form: AnswerForm,
    scanner: EventScanner,
    meter: Arc<LeaseMeter>,
    base_cost: CostUnits,
    bytes: u64,
    tail: Vec<u8>,
    deadline: Instant,
    answer_gap: Duration,
    waiting_since: Option<Instant>,
    last_token: Option<Instant>,
    /// When the last event arrived, or when the upstream began to send.
    event_at: Instant,
    timer: Option<Pin<Box<Sleep>>>,
    resume: Option<ResumePlan>,
    cancel: CancelGuard,
    settlement: Option<ActionSettlement>,
    probe: Arc<HealthProbe>,
    polls: u64,
    metrics: NodeMetrics,
    gap_labels: [KeyValue; 1],
}

type FramePoll = Poll<Option<Result<Frame<Bytes>, RelayError>>>;

impl RelayStream {
    /// Starts the relay of a response whose head is about to be sent. A response
    /// without a body is complete at once.
    pub fn new(parts: RelayParts) -> Self {
        let meter = Arc::clone(&parts.lease.slot().meter);
        let gap_labels = [parts.record.model_label()];
        let has_no_body = parts.first.is_none() && parts.incoming.is_end_stream();
        let mut relay = Self {
            gap_labels,
            record: parts.record,
            lease: parts.lease,
            connection: Some(parts.connection),
            source: RelaySource::Body(parts.incoming),
            first: parts.first,
            form: parts.form,
            scanner: EventScanner::new(),
            meter,
            base_cost: parts.base_cost,
            bytes: 0,
            tail: Vec::new(),
            deadline: parts.deadline,
            answer_gap: parts.answer_gap,
            waiting_since: None,
            last_token: None,
            event_at: Instant::now(),
            timer: None,
            resume: parts.resume,
            cancel: parts.cancel,
            settlement: parts.settlement,
            probe: parts.probe,
            polls: 0,
            metrics: parts.metrics,
        };
        if has_no_body && relay.form != AnswerForm::Events {
            relay.complete(true);
        }
        relay
    }

    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> FramePoll {
        self.polls += 1;
        loop {
            let step = match &mut self.source {
                RelaySource::Ended => return Poll::Ready(None),
                RelaySource::Abandoned(reason) => RelayStep::Abort((*reason).to_owned()),
                RelaySource::Body(incoming) => match self.first.take() {
                    Some(first) => self.on_data(first),
                    None => match Pin::new(incoming).poll_frame(context) {
                        Poll::Pending => self.poll_timer(context),
                        Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                            Ok(data) => self.on_data(data),
                            Err(_) => RelayStep::Again,
                        },
                        Poll::Ready(Some(Err(error))) => self.on_interrupted(&error.to_string()),
                        Poll::Ready(None) => self.on_end(),
                    },
                },
                RelaySource::Resuming(task) => match Pin::new(task).poll(context) {
                    Poll::Pending => self.poll_timer(context),
                    Poll::Ready(Ok(Ok(resumed))) => self.on_resumed(resumed),
                    Poll::Ready(Ok(Err(reason))) => self.on_interrupted(&reason),
                    Poll::Ready(Err(error)) => self.on_interrupted(&error.to_string()),
                },
            };
            match step {
                RelayStep::Again => {}
                RelayStep::Wait => return Poll::Pending,
                RelayStep::Emit(bytes) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                RelayStep::Abort(reason) => {
                    self.source = RelaySource::Ended;
                    return Poll::Ready(Some(Err(RelayError(reason))));
                }
            }
        }
    }

    fn on_data(&mut self, data: Bytes) -> RelayStep {
        if let Some(connection) = &self.connection {
            connection.renew_allowance();
        }
        let was_awaited = self.waiting_since.take().is_some();
        self.bytes += u64::try_from(data.len()).unwrap_or(u64::MAX);
        if let Some(settlement) = &mut self.settlement {
            settlement.update(&data);
        }
        if self.form != AnswerForm::Events {
            self.account_body(&data);
            // The HTTP server does not poll for the end of a body whose length it
            // knows, so the last frame completes the response.
            if matches!(&self.source, RelaySource::Body(body) if body.is_end_stream()) {
                self.complete(true);
            }
            return RelayStep::Emit(data);
        }
        let result = match self.scanner.feed(data) {
            Ok(result) => result,
            Err(error) => return self.on_interrupted(&format!("invalid event stream: {error:?}")),
        };
        if result.events > 0 {
            let now = Instant::now();
            if now >= self.deadline {
                return self.fail(ErrorKind::DeadlineAfterDispatch, "the deadline passed");
            }
            self.count_events(result.events, now);
            self.event_at = now;
        } else if !was_awaited {
            // The data lay unread because the caller paused, which says nothing of the upstream.
            self.event_at = Instant::now();
        } else if self.event_at.elapsed() >= self.answer_gap * EVENT_GAP_FACTOR {
            return self.on_interrupted("the upstream sent no event in time");
        }
        if result.ready.is_empty() {
            return RelayStep::Again;
        }
        RelayStep::Emit(result.ready)
    }

    fn count_events(&mut self, events: u64, now: Instant) {
        self.meter.charge(events.saturating_mul(UNITS_PER_TOKEN));
        match self.last_token.replace(now) {
            None => {
                let elapsed = now.duration_since(self.record.arrived);
                self.meter.set_first_token(now);
                self.record.record_first_token(elapsed.as_secs_f64());
            }
            Some(last) => {
                let gap = now.duration_since(last).as_secs_f64();
                self.metrics.token_gap.record(gap, &self.gap_labels);
            }
        }
    }

    /// Charges a service response by its size. Of a JSON response only the tail is
    /// kept, for the token count at its end.
    fn account_body(&mut self, data: &Bytes) {
        match self.form {
            AnswerForm::Tokens => {
                let start = data.len().saturating_sub(USAGE_TAIL_BYTES);
                self.tail.extend_from_slice(&data[start..]);
                let excess = self.tail.len().saturating_sub(USAGE_TAIL_BYTES);
                self.tail.drain(..excess);
            }
            _ => self.meter.raise_to(self.base_cost + service_bytes_cost(self.bytes)),
        }
    }

    fn on_resumed(&mut self, resumed: ResumedStream) -> RelayStep {
        self.record.advance(LifecycleEvent::Head);
        self.connection = Some(resumed.connection);
        self.source = RelaySource::Body(resumed.incoming);
        self.event_at = Instant::now();
        RelayStep::Again
    }

    /// Handles a response that was interrupted: resumes an event stream if that is
    /// still possible and fails any other response.
    fn on_interrupted(&mut self, reason: &str) -> RelayStep {
        self.connection = None;
        self.waiting_since = None;
        if self.form == AnswerForm::Events {
            if self.scanner.is_done() {
                return self.complete(false);
            }
            if let Some(plan) = &mut self.resume
                && let Some(task) = plan.begin(self.scanner.position(), self.deadline)
            {
                log::info!(
                    request_id = self.record.id.as_str(), upstream = plan.upstream();
                    "resuming the stream at event {}: {reason}", self.scanner.position()
                );
                self.scanner.begin_resume();
                self.record.advance(LifecycleEvent::Resume);
                self.source = RelaySource::Resuming(task);
                return RelayStep::Again;
            }
        }
        self.fail(ErrorKind::AnswerIncomplete, reason)
    }

    fn on_end(&mut self) -> RelayStep {
        if self.form == AnswerForm::Events && !self.scanner.is_complete() {
            return self.on_interrupted("the stream ended without its end marker");
        }
        self.complete(true)
    }

    /// Ends the relay of a complete response. `reusable` is false when the
    /// connection broke after the end marker of a stream.
    fn complete(&mut self, reusable: bool) -> RelayStep {
        self.source = RelaySource::Ended;
        let tokens = match self.form {
            AnswerForm::Events => self.scanner.completion_tokens(),
            AnswerForm::Tokens => completion_tokens_of(&self.tail),
            AnswerForm::Opaque => None,
        };
        if let Some(tokens) = tokens {
            self.meter.raise_to(self.base_cost + tokens.saturating_mul(UNITS_PER_TOKEN));
        }
        self.cancel.disarm();
        if let Some(connection) = self.connection.take().filter(|_| reusable) {
            connection.give_back();
        }
        if let Some(settlement) = self.settlement.take() {
            settlement.answered();
        }
        self.lease.release(LeaseEnd::Finished);
        self.record.count_answer(AnswerCompleteness::Whole);
        self.record.finish();
        RelayStep::Again
    }

    fn fail(&mut self, kind: ErrorKind, reason: &str) -> RelayStep {
        self.source = RelaySource::Ended;
        self.connection = None;
        self.settlement = None;
        self.lease.release(LeaseEnd::Failed);
        self.record.count_answer(AnswerCompleteness::BrokenWithError);
        let kind = self.record.reject(kind);
        log::warn!(
            request_id = self.record.id.as_str(), upstream = self.lease.route().name.as_str();
            "response incomplete: {reason}"
        );
        if self.form == AnswerForm::Events {
            return RelayStep::Emit(error_event(kind, reason, &self.record.id));
        }
        RelayStep::Abort(reason.to_owned())
    }

    /// Checks the deadline, the answer gap and the health of the upstream while the
    /// upstream sends no data.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> RelayStep {
        loop {
            let now = Instant::now();
            let waiting_since = *self.waiting_since.get_or_insert(now);
            let gap_end = waiting_since + self.answer_gap;
            let check_at = gap_end.min(self.deadline).min(now + LIVENESS_INTERVAL);
            let timer =
                self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(check_at)));
            if timer.as_mut().poll(context).is_pending() {
                return RelayStep::Wait;
            }
            if now >= self.deadline {
                return self.fail(ErrorKind::DeadlineAfterDispatch, "the deadline passed");
            }
            timer.as_mut().reset(check_at);
            if now >= gap_end {
                return self.on_interrupted("the upstream sent no data in time");
            }
            let route = self.lease.route();
            let silent = now.duration_since(waiting_since) >= LIVENESS_INTERVAL;
            if silent && self.probe.is_dead(&route.name, route.incarnation) {
                return self.on_interrupted("the upstream failed its health checks");
            }
        }
    }

    /// Number of polls so far, or `None` once the relay occupies neither a slot nor
    /// a connection.
    pub(crate) fn polls(&self) -> Option<u64> {
        match self.source {
            RelaySource::Body(_) | RelaySource::Resuming(_) => Some(self.polls),
            RelaySource::Abandoned(_) | RelaySource::Ended => None,
        }
    }

    /// True once the deadline of the response has passed.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    /// Cancels the response because the caller does not read it. Otherwise the
    /// stalled caller would keep occupying the slot.
    pub(crate) fn abandon(&mut self) {
        self.stop_resuming();
        self.source = RelaySource::Abandoned("the caller did not read the response");
        self.connection = None;
        self.settlement = None;
        self.cancel.send();
        self.lease.release(LeaseEnd::Finished);
        self.record.cancel();
    }

    fn stop_resuming(&self) {
        if let RelaySource::Resuming(task) = &self.source {
            task.abort();
        }
    }
}

enum RelayStep {
    /// Poll the source again.
    Again,
    /// Wait for the upstream; the task is registered to be woken.
    Wait,
    Emit(Bytes),
    Abort(String),
}

impl Drop for RelayStream {
    fn drop(&mut self) {
        self.stop_resuming();
    }
}

/// Cost of the request or response body of a service call with `bytes` bytes.
pub fn service_bytes_cost(bytes: u64) -> CostUnits {
    bytes.saturating_mul(UNITS_PER_TOKEN) / SERVICE_BYTES_PER_TOKEN
}

/// Server-sent `error` event that ends a stream which cannot be completed.
pub fn error_event(kind: ErrorKind, reason: &str, request_id: &str) -> Bytes {
    let message = format!("The answer is incomplete: {reason}.");
    let body = error_body(kind, &message, None, Some(request_id));
    let json = serde_json::to_string(&body).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map(|frame| frame.map(|result| result.map_err(|never| match never {}))),
            Self::Stream(relay) => relay.lock().poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(relay) => matches!(relay.lock().source, RelaySource::Ended),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
