//! Executes one exchange on a route: waits for an upstream slot, sends the
//! request, retries failed attempts and returns the response.

use crate::caller_window::CallerWindow;
use crate::demand_tally::DemandStep;
use crate::drain::DrainPhase;
use crate::exchange_api::SHUTDOWN_RETRY_AFTER;
use crate::exchange_body::{ExchangeBody, frame_body};
use crate::exchange_meter::{ExchangeMeter, ExchangeOutcome};
use crate::exchange_protocol::{ExchangeHead, ExchangeProtocol};
use crate::exchange_send::{OpenExchange, SendFailure, forwarded_head};
use crate::exchange_state::{ExchangeState, ProgressGuard};
use crate::exchange_stream::{pump_events, pump_frames};
use crate::held_bytes::CollectError;
use crate::lease_book::QueueKey;
use crate::request_queue::{QueueExit, QueueRequest, SlotLease};
use crate::stream_lookup::ANSWER_WAIT;
use crate::takeover::HandoverSource;
use baobabfall_core::dispatch_messages::{
    CostUnits, LeaseEnd, PartId, PromptSummary, StreamOrigin, UNITS_PER_TOKEN,
};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use baobabfall_core::part_book::RequestSuspects;
use baobabfall_core::route_table::{RouteKind, RouteRow};
use baobabfall_core::stream_origins::stream_key;
use baobabfall_core::upstream_notices::QUIET_LIMIT;
use baobabfall_core::upstream_registry::{UpstreamKind, WorkTarget};
use baobabfall_node::node_metrics::AnswerCompleteness;
use baobabfall_node::units::millis;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response, response};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Responses up to this size, in bytes, are buffered completely before they are
/// sent to the caller, so that a truncated one can still be retried.
const BUFFERED_BODY_LIMIT: usize = 256 << 10;
/// Number of failed connection attempts after which a request is rejected.
const CONNECT_FAILURE_LIMIT: u32 = 3;
/// Share of a route's objective that a request may wait for a slot. The upstream
/// needs the rest to answer on time.
const QUEUE_WAIT_SHARE: f64 = 0.4;
/// Share of a route's objective within which the first token should follow the
/// grant of a slot.
const FIRST_TOKEN_SHARE: f64 = 0.5;
/// Time without an answer from the dispatcher after which it may be unreachable.
/// Must be longer than its poll interval of 200 ms.
const DISPATCHER_SILENCE: Duration = Duration::from_millis(260);
/// How often a request that needs the dispatcher checks whether it answers again.
const DISPATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Of 256 exchanges that succeed at the first attempt, the number that is logged.
const LOGGED_SAMPLE_OF_256: u8 = 16;
/// Shortest `Retry-After` of a rejection. The actual value is spread evenly
/// between this time and twice this time.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);

/// A caller's request with everything that was decided before it is queued.
#[derive(Debug)]
pub struct ExchangeCall {
    /// Hash of the content, which stays when the caller sends the request again.
    pub fingerprint: PartId,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query as received.
    pub target: PathAndQuery,
    /// End-to-end headers of the caller. The headers of the site's protocol are
    /// added for each attempt.
    pub headers: HeaderMap,
    /// Complete request body, kept so that it can be sent again, with its memory.
    pub body: Bytes,
    /// What the site's protocol read from the request head.
    pub head: ExchangeHead,
    /// Route that matched the host and the path.
    pub route: RouteRow,
    /// Service that was chosen at random, by weight, from the shares of the route, or the one
    /// that began the stream which the caller resumes.
    pub service: String,
    /// Origin of the stream that the caller resumes.
    pub origin: Option<StreamOrigin>,
    /// Tokens in one event of the service's streams; 0 without a model engine.
    pub event_tokens: u32,
    /// True when the service is no model engine and the route carries no streams.
    /// The router may then choose an upstream without asking the dispatcher, as
    /// long as no upstream is full.
    pub plain: bool,
    /// Workspace to which the request is charged.
    pub workspace: String,
    /// True when the name of the workspace is forwarded to upstreams.
    pub forward_workspace: bool,
    /// Version of the route table in which the route was found.
    pub version: u64,
    /// Router that handed the connection over, and the number of the connection there.
    pub via: Option<HandoverSource>,
    /// When the request head arrived.
    pub arrival: Instant,
    /// When the response must be complete: at the end of the caller's deadline or
    /// of the route's timeout, whichever comes first.
    pub deadline: Instant,
}

impl ExchangeCall {
    /// Cost of the prompt. A prompt token costs half as much as a generated one.
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

    /// Router and connection from which the request was handed over, for the log.
    fn source(&self) -> &str {
        self.via.as_ref().map_or("", |HandoverSource(source)| source)
    }

    /// What a crash of the upstream that runs the request may be blamed on.
    pub(crate) fn suspects(&self) -> RequestSuspects<'_> {
        RequestSuspects { request: self.fingerprint, parts: &self.head.parts }
    }

    fn cost_hint(&self) -> CostUnits {
        self.prompt_cost() + self.head.answer_tokens * UNITS_PER_TOKEN
    }

    /// Cost of one event of the service's streams.
    pub(crate) fn event_cost(&self) -> CostUnits {
        u64::from(self.event_tokens) * UNITS_PER_TOKEN
    }
}

/// Which upstreams may send the next events of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StreamBinding {
    /// The caller has got no event, so any upstream may begin the stream.
    Unbound,
    /// Only upstreams of the software version that sent the first event.
    Version(StreamOrigin),
    /// None, because the version of the upstream that sent the first event is unknown.
    Unresumable,
}

/// An upstream's answer that may be returned to the caller.
#[derive(Debug)]
enum OpenAnswer {
    /// The body was read completely.
    Whole(Response<ExchangeBody>),
    /// The body is relayed as it arrives.
    Frames(OpenExchange),
    /// The body is relayed event by event.
    Events(OpenExchange),
}

/// Execution of one exchange and its accounting.
#[derive(Debug)]
pub struct ExchangeRun<P: ExchangeProtocol> {
    pub(crate) state: Arc<ExchangeState<P>>,
    pub(crate) call: Arc<ExchangeCall>,
    pub(crate) meter: ExchangeMeter,
    _progress: ProgressGuard,
    /// Attempts in which the request may have reached the upstream.
    attempts: u32,
    /// Attempts that failed before a byte of the request was sent.
    connect_failures: u32,
    may_have_run: bool,
    avoid: Option<String>,
    number: Option<u64>,
    queued: Duration,
    binding: StreamBinding,
    /// Server error of an upstream, returned if every later attempt fails.
    fallback: Option<Response<ExchangeBody>>,
}

impl<P: ExchangeProtocol> ExchangeRun<P> {
    /// Prepares the execution. `progress` counts the request as in progress until
    /// the exchange ends.
    pub fn new(state: Arc<ExchangeState<P>>, call: ExchangeCall, progress: ProgressGuard) -> Self {
        let meter = ExchangeMeter::new(&state.router.metrics, &call);
        let binding = call.origin.clone().map_or(StreamBinding::Unbound, StreamBinding::Version);
        Self {
            binding,
            meter,
            state,
            call: Arc::new(call),
            _progress: progress,
            attempts: 0,
            connect_failures: 0,
            may_have_run: false,
            avoid: None,
            number: None,
            queued: Duration::ZERO,
            fallback: None,
        }
    }

    /// Executes the exchange and returns the response. The bodies of streams and of
    /// large responses are relayed by a separate task. A request that is still running
    /// when a shutdown ends is answered, because callers cannot tell a closed connection
    /// from a lost one.
    pub async fn run(mut self) -> Response<ExchangeBody> {
        self.state.record_request(&self.call.service);
        let router = Arc::clone(&self.state.router);
        let answer = tokio::select! {
            biased;
            answer = self.open_answer() => answer,
            () = router.drain.reached(DrainPhase::Drained) => {
                Err((ErrorKind::DeadlineAfterDispatch, None))
            }
        };
        match answer {
            Ok(OpenAnswer::Whole(response)) => response,
            Ok(OpenAnswer::Frames(opened)) => self.relay_frames(opened),
            Ok(OpenAnswer::Events(opened)) => self.relay_events(opened),
            Err((kind, wait)) => self.reject(kind, wait),
        }
    }

    /// Sends the request until an upstream's answer may be returned to the caller.
    async fn open_answer(&mut self) -> Result<OpenAnswer, (ErrorKind, Option<Duration>)> {
        let last_event = self.call.head.last_event;
        loop {
            let opened = self.open_next(last_event).await?;
            let status = opened.parts.status;
            if status.is_success() && self.call.route.kind.is_stream() {
                return Ok(OpenAnswer::Events(opened));
            }
            if content_length(&opened.parts).is_some_and(|length| length > BUFFERED_BODY_LIMIT) {
                return Ok(OpenAnswer::Frames(opened));
            }
            let response = match self.buffer_response(opened).await {
                Ok(response) => response,
                Err(failure) if self.record_failure(&failure) => continue,
                Err(failure) => return Err((failure.kind, None)),
            };
            if status.is_server_error() && self.try_retry(true) {
                self.may_have_run = true;
                self.fallback = Some(response);
                continue;
            }
            self.record_answered(status.as_u16(), 0);
            return Ok(OpenAnswer::Whole(response));
        }
    }

    /// Counts an exchange that ended with an upstream's response. Logs every failed
    /// or retried exchange and a sample of the others, chosen by the hash of the
    /// request id so that all hosts log the same requests.
    pub(crate) fn record_answered(&mut self, status: u16, events: u64) {
        self.meter.end(ExchangeOutcome::Finished);
        self.meter.count_answer(AnswerCompleteness::Whole);
        let call = &self.call;
        let id = call.head.request_id.as_str();
        let sample = blake3::hash(id.as_bytes()).as_bytes()[0];
        if status < 400 && self.attempts == 1 && sample >= LOGGED_SAMPLE_OF_256 {
            return;
        }
        log::info!(
            event = "request_ended", request_id = id, route = call.route.name.as_str(),
            workspace = call.workspace.as_str(), upstream = self.avoid.as_deref().unwrap_or(""),
            status = status, attempts = self.attempts, events = events,
            queued_ms = millis(self.queued), elapsed_ms = millis(call.arrival.elapsed()),
            routes_version = call.version, fingerprint = format!("{:016x}", call.fingerprint),
            via = call.source();
            "request ended with an upstream's response"
        );
    }

    /// Waits for a slot and sends the request, and retries while that is allowed.
    /// An error holds the kind and the `Retry-After` time of the rejection.
    pub(crate) async fn open_next(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<OpenExchange, (ErrorKind, Option<Duration>)> {
        loop {
            let lease = self.wait_for_slot().await?;
            if !self.state.router.may_send(lease.route()) {
                // The upstream made its statement after the slot was granted.
                lease.finish(LeaseEnd::Unused);
                continue;
            }
            if self.is_bound() && self.is_unverified(&lease) {
                lease.finish(LeaseEnd::Unused);
                continue;
            }
            if let Some(left) = self.quarantine_left() {
                lease.finish(LeaseEnd::Unused);
                return Err((ErrorKind::PromptQuarantined, Some(left)));
            }
            if self.is_cut_by_shutdown() {
                lease.finish(LeaseEnd::Unused);
                return Err((ErrorKind::Stopping, Some(SHUTDOWN_RETRY_AFTER)));
            }
            match self.send_attempt(lease, last_event).await {
                Ok(opened) => {
                    self.attempts += 1;
                    self.avoid = Some(opened.lease.route().name.clone());
                    return Ok(opened);
                }
                Err(failure) => {
                    match failure.sent {
                        true => self.attempts += 1,
                        false => self.connect_failures += 1,
                    }
                    if !self.record_failure(&failure) {
                        return Err((failure.kind, None));
                    }
                }
            }
        }
    }

    /// True until the request was sent for the first time.
    pub(crate) fn is_first_attempt(&self) -> bool {
        self.attempts == 0 && self.connect_failures == 0
    }

    /// Counts an attempt that runs beside another one.
    pub(crate) fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Records the failure of an attempt beside which another one goes on.
    pub(crate) fn record_lost_attempt(&mut self, failure: &SendFailure) {
        self.may_have_run |= failure.may_have_run;
        let call = &self.call;
        log::info!(
            event = "attempt_failed", request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(), upstream = failure.upstream.as_str(),
            attempt = self.attempts, may_have_run = failure.may_have_run, again = false,
            fingerprint = format!("{:016x}", call.fingerprint);
            "attempt failed while another one goes on: {}", failure.reason
        );
    }

    /// True if the request may be sent to a second upstream beside the first one. Its own wait
    /// for a slot, at most `free_wait`, shows that upstreams have room.
    pub(crate) fn allows_hedge(&self, free_wait: Duration) -> bool {
        let router = &self.state.router;
        let book = router.queue.book();
        self.attempts + 2 <= self.call.route.attempts
            && self.queued <= free_wait
            && book.queued() == 0
            && !book.is_suspect(self.call.suspects())
            && !router.dispatch.is_lost()
            && !self.is_cut_by_shutdown()
    }

    /// Takes a slot at another upstream than `first`, if there is one within `wait`.
    pub(crate) async fn take_slot_beside(&self, first: &str, wait: Duration) -> Option<SlotLease> {
        let (call, router) = (&self.call, &self.state.router);
        let target = self.target();
        if router.fleet.directory().serving_count(&target) < 2 {
            return None;
        }
        if call.plain {
            return self.take_direct_slot(&target, Some(first));
        }
        let request = QueueRequest {
            key: (target, call.workspace.clone()),
            cost_hint: call.cost_hint(),
            prefix: call.head.prefix,
            avoid: Some(first.to_owned()),
            number: None,
            prompt: call.prompt_note(),
        };
        router.queue.enqueue(request).wait(Instant::now() + wait).await.ok()
    }

    fn is_bound(&self) -> bool {
        matches!(self.binding, StreamBinding::Version(_))
    }

    /// True if nothing confirms the software version of the slot's upstream. Without the
    /// dispatcher and health checks, a router does not learn that an upstream came back under its
    /// name with other software.
    fn is_unverified(&self, lease: &SlotLease) -> bool {
        !self.state.router.options.health_checks && lease.slot().lease.term == LOCAL_TERM
    }

    /// Waits until the dispatcher answers, which alone knows the software versions.
    async fn wait_for_dispatcher(&self) -> Result<(), (ErrorKind, Option<Duration>)> {
        let limit = self.call.deadline.min(Instant::now() + ANSWER_WAIT);
        while self.state.router.dispatch.is_lost() {
            if Instant::now() >= limit {
                return Err((ErrorKind::PeerUnreachable, None));
            }
            tokio::time::sleep(DISPATCHER_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Records a failed attempt. Returns true when the request may be sent to
    /// another upstream. If the request was already sent, the retry is taken from
    /// the budget.
    fn record_failure(&mut self, failure: &SendFailure) -> bool {
        self.may_have_run |= failure.may_have_run;
        self.avoid = Some(failure.upstream.clone());
        let will_retry = match failure.sent {
            true => self.try_retry(failure.may_have_run),
            false => self.connect_failures < CONNECT_FAILURE_LIMIT && !self.is_past_deadline(),
        };
        let call = &self.call;
        log::info!(
            event = "attempt_failed", request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(), upstream = failure.upstream.as_str(),
            attempt = self.attempts, may_have_run = failure.may_have_run, again = will_retry,
            fingerprint = format!("{:016x}", call.fingerprint);
            "attempt failed: {}", failure.reason
        );
        will_retry
    }

    /// Binds the stream to the software version of the upstream that sent its first event, and
    /// keeps that version for callers who resume the stream at another router.
    pub(crate) fn bind_stream(&mut self, lease: &SlotLease) {
        if self.binding != StreamBinding::Unbound {
            return;
        }
        let call = &self.call;
        let service = call.service.clone();
        let software = lease.route().software.clone().filter(|_| !self.is_unverified(lease));
        let origin = software.map(|software| StreamOrigin { service, software });
        if call.route.kind == RouteKind::ResumableStream {
            let patience = call.head.deadline.unwrap_or(call.route.timeout());
            let left = patience.saturating_sub(call.arrival.elapsed());
            let queue = &self.state.router.queue;
            for key in [stream_key(&call.workspace, &call.head.request_id), call.fingerprint] {
                queue.book().record_origin(key, origin.as_ref(), left);
            }
            queue.notify();
        }
        self.binding = origin.map_or(StreamBinding::Unresumable, StreamBinding::Version);
    }

    /// What an upstream must serve to run the request or to continue its stream.
    fn target(&self) -> WorkTarget {
        let target = WorkTarget::new(UpstreamKind::Service, self.call.service.clone());
        match &self.binding {
            StreamBinding::Version(origin) => {
                WorkTarget { software: Some(origin.software.clone()), ..target }
            }
            StreamBinding::Unbound | StreamBinding::Unresumable => target,
        }
    }

    /// True when an upstream may continue the interrupted stream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.call.route.kind == RouteKind::ResumableStream
            && match self.binding {
                StreamBinding::Unbound => true,
                StreamBinding::Version(_) => {
                    self.state.router.fleet.directory().serving_count(&self.target()) > 0
                }
                StreamBinding::Unresumable => false,
            }
    }

    /// True when a shutdown of the router may end the request before its deadline. It is
    /// then better refused than begun, as another router has the time.
    fn is_cut_by_shutdown(&self) -> bool {
        self.state.router.drain.cuts(self.call.deadline)
    }

    fn is_past_deadline(&self) -> bool {
        Instant::now() >= self.call.deadline
    }

    /// Takes a retry from the budget for a request that was already sent. Returns
    /// false when the route, the deadline or the budget does not allow a retry.
    pub(crate) fn try_retry(&self, may_have_run: bool) -> bool {
        let route = &self.call.route;
        let allowed = !may_have_run || route.kind.is_repeatable();
        let retry_taken = allowed
            && !self.is_past_deadline()
            && self.attempts < route.attempts
            && self.state.take_retry(&self.call.service);
        if retry_taken {
            self.meter.count_retry();
        }
        retry_taken
    }

    /// Waits for a slot as long as the request can still be answered on time. While
    /// the dispatcher does not answer, the wait says nothing about load, so it is
    /// extended to half of the time between arrival and deadline.
    async fn wait_in_queue(&mut self, request: QueueRequest) -> Result<SlotLease, QueueExit> {
        let objective = self.call.route.objective();
        let mut limit =
            self.call.deadline.min(Instant::now() + objective.mul_f64(QUEUE_WAIT_SHARE));
        loop {
            let ticket = self
                .state
                .router
                .queue
                .enqueue(QueueRequest { number: self.number, ..request.clone() });
            self.number = Some(ticket.number());
            let granted = ticket.wait(limit).await;
            let silent = self.state.router.dispatch.silence() > DISPATCHER_SILENCE;
            let later = self.call.arrival + (self.call.deadline - self.call.arrival) / 2;
            match granted {
                Err(QueueExit::Deadline) if silent && Instant::now() < later => limit = later,
                granted => {
                    if matches!(granted, Err(QueueExit::Deadline)) && !silent {
                        self.state.router.queue.record_expiry(&request.key);
                    }
                    return granted;
                }
            }
        }
    }

    /// True when the queue is too long to be served in time at the rate of recent
    /// grants. While the dispatcher does not answer, that rate says nothing, so the
    /// request may queue.
    fn would_time_out(&self, key: &QueueKey) -> bool {
        let router = &self.state.router;
        let limit = self.call.route.objective().mul_f64(QUEUE_WAIT_SHARE);
        router.dispatch.silence() <= DISPATCHER_SILENCE && !router.queue.admits(key, limit)
    }

    /// Takes a slot of a service that is no model engine without asking the
    /// dispatcher. Not while the dispatcher is unreachable, because the router then
    /// does not learn which upstreams have left, and not while an upstream of the
    /// service limits its requests, because only the dispatcher knows those of all
    /// routers. Nor from a cold upstream, for the same reason.
    fn take_direct_slot(&self, target: &WorkTarget, avoid: Option<&str>) -> Option<SlotLease> {
        let router = &self.state.router;
        if !self.call.plain || router.dispatch.is_lost() || self.has_limited_upstream(target) {
            return None;
        }
        let directory = router.fleet.directory();
        let permits = |name: &str, incarnation| {
            router.queue.book().permits(name, incarnation) && !directory.is_cold(name, incarnation)
        };
        let slot = router.direct.take(&router.fleet, target, avoid, permits)?;
        Some(SlotLease::direct(&router.direct, &self.call.service, slot))
    }

    /// True when an upstream of the target has named a request rate.
    fn has_limited_upstream(&self, target: &WorkTarget) -> bool {
        let router = &self.state.router;
        if router.queue.book().limits().is_empty() {
            return false;
        }
        let upstreams = router.fleet.directory().upstreams();
        let book = router.queue.book();
        let mut serving = upstreams.iter().filter(|upstream| upstream.can_serve(target));
        serving.any(|upstream| book.limits().rate(&upstream.name, upstream.incarnation).is_some())
    }

    /// Time until the request may run again, if it or a part of its prompt crashed
    /// upstreams.
    fn quarantine_left(&self) -> Option<Duration> {
        self.state.router.queue.book().quarantine_left(self.call.suspects())
    }

    /// Time until the first upstream of the target takes requests again, if each of them
    /// has told this router to send it none and the request would wait in vain.
    fn time_until_upstream(&self, target: &WorkTarget) -> Option<Duration> {
        let router = &self.state.router;
        if router.queue.book().has_no_notices() {
            return None;
        }
        let upstreams = router.fleet.directory().upstreams();
        let book = router.queue.book();
        let serving = upstreams.iter().filter(|upstream| upstream.can_serve(target));
        let wait = serving
            .map(|upstream| book.time_until_use(&upstream.name, upstream.incarnation))
            .min()?;
        // A leaving upstream is usually replaced, and its successor announces itself.
        let limit = self.call.route.objective().mul_f64(QUEUE_WAIT_SHARE);
        (wait > limit && wait <= QUIET_LIMIT).then_some(wait)
    }

    async fn wait_for_slot(&mut self) -> Result<SlotLease, (ErrorKind, Option<Duration>)> {
        if self.is_cut_by_shutdown() {
            return Err((ErrorKind::Stopping, Some(SHUTDOWN_RETRY_AFTER)));
        }
        if self.is_bound() && !self.state.router.options.health_checks {
            self.wait_for_dispatcher().await?;
        }
        let call = &self.call;
        let target = self.target();
        let is_bound = target.software.is_some();
        if self.state.router.fleet.directory().is_served_evacuated_only(&target) {
            // It would wait in vain.
            return Err((ErrorKind::NoUpstream, None));
        }
        if self.avoid.is_some() || is_bound {
            let serving = self.state.router.fleet.directory().serving_count(&target);
            if serving == 0 && is_bound {
                return Err((ErrorKind::StreamVersionGone, None));
            }
            if serving < 2 {
                self.avoid = None;
            }
        }
        if let Some(left) = self.quarantine_left() {
            return Err((ErrorKind::PromptQuarantined, Some(left)));
        }
        if let Some(lease) = self.take_direct_slot(&target, self.avoid.as_deref()) {
            return Ok(lease);
        }
        if let Some(wait) = self.time_until_upstream(&target) {
            return Err((ErrorKind::NoUpstream, Some(wait)));
        }
        let request = QueueRequest {
            key: (target, call.workspace.clone()),
            cost_hint: call.cost_hint(),
            prefix: call.head.prefix,
            avoid: self.avoid.clone(),
            number: self.number,
            prompt: call.prompt_note(),
        };
        self.count_demand(DemandStep::Asked);
        if self.number.is_none() && self.would_time_out(&request.key) {
            self.state.router.queue.tally().count_refused();
            self.count_demand(DemandStep::Refused);
            return Err((ErrorKind::DeadlineBeforeDispatch, None));
        }
        let queued_since = Instant::now();
        let granted = self.wait_in_queue(request).await;
        self.queued += queued_since.elapsed();
        self.meter.record_queue_wait(queued_since.elapsed());
        self.count_demand(match &granted {
            Ok(_) => DemandStep::Granted,
            Err(_) => DemandStep::Expired,
        });
        granted.map_err(|exit| match exit {
            QueueExit::Deadline => (ErrorKind::DeadlineBeforeDispatch, None),
            QueueExit::Refused(wait) => (ErrorKind::QueueFull, Some(wait)),
            QueueExit::Stopping => (ErrorKind::Stopping, None),
        })
    }

    fn count_demand(&self, step: DemandStep) {
        let call = &self.call;
        self.state.router.queue.demand().count(&call.workspace, step, call.cost_hint());
    }

    /// Ends the exchange with a rejection, or with the last server error of an
    /// upstream if there is one.
    fn reject(mut self, kind: ErrorKind, wait: Option<Duration>) -> Response<ExchangeBody> {
        let call = Arc::clone(&self.call);
        if let Some(response) = self.fallback.take() {
            return response;
        }
        // Kinds that tell the caller that the request did not run are replaced once
        // an attempt may have run.
        let kind = match self.may_have_run && kind.answer().not_run {
            true if self.is_past_deadline() => ErrorKind::DeadlineAfterDispatch,
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
            elapsed_ms = millis(call.arrival.elapsed()), routes_version = call.version,
            via = call.source();
            "request ended without an upstream's response"
        );
        let wait = answer.retry.then(|| wait.unwrap_or_else(jittered_retry_after));
        self.state.protocol.refusal(kind, wait).map(ExchangeBody::from)
    }

    /// Reads the complete body before anything is sent to the caller.
    async fn buffer_response(
        &mut self,
        mut opened: OpenExchange,
    ) -> Result<Response<ExchangeBody>, SendFailure> {
        let mut held = self.state.account.holder();
        let body = held.collect(&mut opened.body, BUFFERED_BODY_LIMIT);
        let collected = tokio::time::timeout_at(self.call.deadline, body).await;
        let (kind, reason) = match collected {
            Ok(Ok(collected)) => {
                let response = forwarded_head(&opened.parts);
                // The dispatcher judges upstreams by failed connections only. Direct
                // slots are chosen by this router for each request, so a server
                // error counts as a failure there too.
                let failed = opened.lease.is_direct() && response.status().is_server_error();
                if response.status().is_success() {
                    let queue = &self.state.router.queue;
                    opened.evidence.record_end(&opened.parts, queue, self.call.suspects());
                }
                opened.complete(if failed { LeaseEnd::Failed } else { LeaseEnd::Finished });
                // The HTTP server keeps the bytes until the caller has read them.
                let body = Full::new(held.attach_counted(collected));
                return Ok(response.map(|()| ExchangeBody::Whole(body)));
            }
            Ok(Err(error)) => {
                if matches!(error, CollectError::Broken(_)) {
                    let route = opened.lease.route();
                    self.state.router.queue.record_casualty(route, self.call.suspects(), false);
                }
                (ErrorKind::AnswerIncomplete, error.to_string())
            }
            Err(_) => (ErrorKind::DeadlineAfterDispatch, "the deadline passed".to_owned()),
        };
        let upstream = opened.lease.route().name.clone();
        opened.lease.finish(LeaseEnd::Failed);
        Err(SendFailure { upstream, kind, sent: true, may_have_run: true, reason })
    }

    /// Returns the head at once and relays body frames as they arrive.
    fn relay_frames(self, opened: OpenExchange) -> Response<ExchangeBody> {
        let length = content_length(&opened.parts).and_then(|length| u64::try_from(length).ok());
        let (sender, frames, body) = frame_body(length);
        let window = CallerWindow::new(sender, frames, self.state.account.clone());
        let response = forwarded_head(&opened.parts).map(|()| body);
        tokio::spawn(pump_frames(self, opened, window));
        response
    }

    /// Returns the head at once and relays server-sent events as they arrive.
    fn relay_events(self, opened: OpenExchange) -> Response<ExchangeBody> {
        let (sender, frames, body) = frame_body(None);
        let window = CallerWindow::new(sender, frames, self.state.account.clone());
        let response = forwarded_head(&opened.parts).map(|()| body);
        tokio::spawn(pump_events(self, opened, window));
        response
    }
}

fn content_length(parts: &response::Parts) -> Option<usize> {
    parts.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// `Retry-After` with jitter, so that callers that were rejected at the same time
/// do not all retry at the same time.
fn jittered_retry_after() -> Duration {
    RETRY_AFTER_MIN + RETRY_AFTER_MIN.mul_f64(rand::random::<f64>())
}
