//! Relays response bodies to the caller as they arrive: frame by frame, or event by
//! event with resumption at another upstream.

use crate::answer_evidence::ends_with_connection;
use crate::caller_window::CallerWindow;
use crate::event_splitter::{EVENT_LIMIT, EventSplitter};
use crate::exchange_meter::ExchangeOutcome;
use crate::exchange_protocol::ExchangeProtocol;
use crate::exchange_run::{ExchangeCall, ExchangeRun};
use crate::exchange_send::OpenExchange;
use baobabfall_core::dispatch_messages::{LeaseEnd, UpstreamRoute};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_node::node_metrics::AnswerCompleteness;
use baobabfall_node::units::millis;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

/// Most bytes without a complete event, with comments and empty lines. The largest
/// event may arrive after as many bytes of them.
const EVENT_DISTANCE_LIMIT: usize = 2 * EVENT_LIMIT;

/// How the relay of one upstream's response ended.
#[derive(Debug)]
enum RelayEnd {
    /// The response is complete.
    Complete,
    /// The caller closed the connection.
    CallerGone,
    /// The caller reads nothing and the router can hold no more of the answer.
    CallerStalled,
    /// The deadline passed before the response was complete.
    Deadline,
    /// The upstream ended the response early.
    Broken(String),
    /// The event stream of the upstream is invalid.
    Invalid(&'static str),
}

/// Waits until the caller leaves room for more, and reads the next frame of the upstream's answer.
async fn next_frame(window: &CallerWindow, body: &mut Incoming) -> NextFrame {
    match window.room().await {
        true => NextFrame::Read(body.frame().await),
        false => NextFrame::CallerStalled,
    }
}

/// What an upstream's answer goes on with.
enum NextFrame {
    Read(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// The caller reads nothing and the router can hold no more for it.
    CallerStalled,
}

/// Relays a body as it arrives, without interpreting it.
pub(crate) async fn pump_frames<P: ExchangeProtocol>(
    mut run: ExchangeRun<P>,
    mut opened: OpenExchange,
    window: CallerWindow,
) {
    let end = loop {
        let frame = tokio::select! {
            frame = next_frame(&window, &mut opened.body) => frame,
            () = window.closed() => break RelayEnd::CallerGone,
            () = tokio::time::sleep_until(run.call.deadline) => break RelayEnd::Deadline,
        };
        let NextFrame::Read(frame) = frame else { break RelayEnd::CallerStalled };
        match frame {
            None => break RelayEnd::Complete,
            Some(Err(error)) => break RelayEnd::Broken(error.to_string()),
            Some(Ok(frame)) => {
                opened.connection.renew_allowance();
                let Ok(bytes) = frame.into_data() else { continue };
                if opened.parts.status.is_success() {
                    let queue = &run.state.router.queue;
                    opened.evidence.record_data(queue, run.call.suspects());
                }
                if window.send(bytes).is_err() {
                    break RelayEnd::CallerGone;
                }
            }
        }
    };
    match &end {
        RelayEnd::Complete if opened.parts.status.is_success() => {
            let queue = &run.state.router.queue;
            opened.evidence.record_end(&opened.parts, queue, run.call.suspects());
        }
        RelayEnd::Broken(_) => record_casualty(&run, &opened, &window),
        _ => {}
    }
    finish_relay(&mut run, opened, &window, end, 0).await;
}

/// Relays an event stream. A resumable stream that is interrupted continues at
/// another upstream after the last complete event.
pub(crate) async fn pump_events<P: ExchangeProtocol>(
    mut run: ExchangeRun<P>,
    mut opened: OpenExchange,
    window: CallerWindow,
) {
    if run.call.head.last_event.is_some() {
        let resumes = run.call.head.resumes.as_deref().unwrap_or("");
        log_resumption(&run, &opened, resumes, "");
    }
    let mut splitter = match run.call.head.last_event {
        Some(last) => EventSplitter::resume_after(Some(last)),
        None => EventSplitter::default(),
    };
    let mut is_continuation = false;
    loop {
        let end =
            relay_events(&mut run, &mut opened, &mut splitter, &window, is_continuation).await;
        let reason = match &end {
            RelayEnd::Broken(reason) => {
                record_casualty(&run, &opened, &window);
                reason.as_str()
            }
            RelayEnd::Invalid(reason) => reason,
            _ => return finish_relay(&mut run, opened, &window, end, splitter.events()).await,
        };
        let will_resume = run.is_resumable() && run.try_retry(true);
        log::info!(
            event = "stream_broken", request_id = run.call.head.request_id.as_str(),
            upstream = opened.lease.route().name.as_str(), events = splitter.events(),
            last_event = splitter.last_id().unwrap_or(0), again = will_resume,
            fingerprint = format!("{:016x}", run.call.fingerprint);
            "event stream interrupted: {reason}"
        );
        if !will_resume {
            run.meter.end(ExchangeOutcome::Unknown);
            run.meter.count_answer(AnswerCompleteness::BrokenWithError);
            opened.lease.finish(broken_end(&window));
            return;
        }
        // Closing the connection stops the previous upstream before the next one
        // continues the stream.
        let previous = software_text(opened.lease.route()).to_owned();
        let content_type = opened.parts.headers.get(CONTENT_TYPE).cloned();
        opened.lease.finish(broken_end(&window));
        drop((opened.body, opened.connection));
        let last = splitter.last_id();
        splitter = EventSplitter::resume_after(last);
        let next = tokio::select! {
            next = run.open_next(last) => next,
            // Drops the attempt, which closes its connection.
            () = window.closed() => {
                return log_cut(&run.call, &RelayEnd::CallerGone, splitter.events());
            }
        };
        opened = match next {
            Ok(next) if continues_stream(&next, content_type.as_ref()) => next,
            Ok(next) => {
                run.meter.end(ExchangeOutcome::Unknown);
                run.meter.count_answer(AnswerCompleteness::BrokenWithError);
                log::info!(
                    event = "stream_not_resumed", reason = ErrorKind::UpstreamFailed.answer().code,
                    request_id = run.call.head.request_id.as_str(),
                    upstream = next.lease.route().name.as_str();
                    "the next upstream answered with {} and no event stream", next.parts.status
                );
                return next.lease.finish(LeaseEnd::Finished);
            }
            Err((kind, _)) => {
                log::info!(
                    event = "stream_not_resumed", reason = kind.answer().code,
                    request_id = run.call.head.request_id.as_str();
                    "event stream could not be resumed"
                );
                return;
            }
        };
        is_continuation = true;
        log_resumption(&run, &opened, run.call.head.request_id.as_str(), &previous);
    }
}

/// Reports that the upstream ended within its answer, most likely because it crashed. Not if it may
/// have cut off an answer that this router left unread.
fn record_casualty<P: ExchangeProtocol>(
    run: &ExchangeRun<P>,
    opened: &OpenExchange,
    window: &CallerWindow,
) {
    if window.was_left_unread() {
        return;
    }
    let (route, begun) = (opened.lease.route(), opened.evidence.is_begun());
    run.state.router.queue.record_casualty(route, run.call.suspects(), begun);
}

/// How the use of an upstream ended that broke off its answer.
fn broken_end(window: &CallerWindow) -> LeaseEnd {
    if window.was_left_unread() { LeaseEnd::Finished } else { LeaseEnd::Failed }
}

/// True if an answer is a stream of the same type as the one that it continues.
fn continues_stream(next: &OpenExchange, content_type: Option<&HeaderValue>) -> bool {
    next.parts.status == StatusCode::OK && next.parts.headers.get(CONTENT_TYPE) == content_type
}

/// Software version of an upstream for the log.
fn software_text(route: &UpstreamRoute) -> &str {
    route.software.as_ref().map_or("", SoftwareVersion::as_str)
}

/// Logs that an upstream continues the stream that request `resumes` began. `previous` is
/// the software version that wrote the events before, if this router relayed them.
fn log_resumption<P: ExchangeProtocol>(
    run: &ExchangeRun<P>,
    opened: &OpenExchange,
    resumes: &str,
    previous: &str,
) {
    let route = opened.lease.route();
    log::info!(
        event = "stream_resumed", request_id = run.call.head.request_id.as_str(),
        resumes = resumes, upstream = route.name.as_str(), software = software_text(route),
        previous_software = previous;
        "an upstream continues an event stream"
    );
}

async fn relay_events<P: ExchangeProtocol>(
    run: &mut ExchangeRun<P>,
    opened: &mut OpenExchange,
    splitter: &mut EventSplitter,
    window: &CallerWindow,
    is_continuation: bool,
) -> RelayEnd {
    let event_cost = run.call.event_cost();
    let meter = opened.lease.slot().meter.clone();
    let mut bytes_since_event = 0;
    let mut held = run.state.account.holder();
    // Such a stream ends with its connection, so that a complete one and one whose upstream
    // ended look alike.
    let ends_unframed = ends_with_connection(&opened.parts);
    loop {
        let frame = tokio::select! {
            frame = next_frame(window, &mut opened.body) => frame,
            () = window.closed() => return RelayEnd::CallerGone,
            () = tokio::time::sleep_until(run.call.deadline) => return RelayEnd::Deadline,
        };
        let NextFrame::Read(frame) = frame else { return RelayEnd::CallerStalled };
        let bytes = match frame {
            // An empty continuation is complete only if nothing but the end was missing, which a
            // caller finds out when it resumes the stream.
            None if (ends_unframed || is_continuation) && splitter.events() == 0 => {
                return RelayEnd::Broken("the stream ended before the first event".to_owned());
            }
            None if splitter.is_between_events() => {
                let queue = &run.state.router.queue;
                opened.evidence.record_end(&opened.parts, queue, run.call.suspects());
                return RelayEnd::Complete;
            }
            None => return RelayEnd::Broken("the stream ended within an event".to_owned()),
            Some(Err(error)) => return RelayEnd::Broken(error.to_string()),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        opened.connection.renew_allowance();
        bytes_since_event += bytes.len();
        if bytes_since_event > EVENT_DISTANCE_LIMIT {
            return RelayEnd::Invalid("too many bytes without an event");
        }
        let before = splitter.events();
        let Ok(ready) = splitter.feed(&bytes) else {
            return RelayEnd::Invalid("an event is too large");
        };
        if !held.resize(splitter.held_bytes()) {
            return RelayEnd::Invalid("no memory is left for incomplete events");
        }
        if before == 0 && splitter.events() > 0 {
            meter.set_first_token(Instant::now());
            run.bind_stream(&opened.lease);
            run.meter.record_first_event(run.call.arrival.elapsed());
            // The first event shows that the prompt was processed. It is reported at
            // once, because the dispatcher then grants further prompts.
            run.state.router.queue.notify();
        }
        if splitter.events() > before {
            bytes_since_event = 0;
            opened.evidence.record_data(&run.state.router.queue, run.call.suspects());
        }
        meter.charge((splitter.events() - before) * event_cost);
        if !ready.is_empty() && window.send(ready).is_err() {
            return RelayEnd::CallerGone;
        }
    }
}

async fn finish_relay<P: ExchangeProtocol>(
    run: &mut ExchangeRun<P>,
    opened: OpenExchange,
    window: &CallerWindow,
    end: RelayEnd,
    events: u64,
) {
    match &end {
        RelayEnd::Complete => {
            run.record_answered(opened.parts.status.as_u16(), events);
            opened.complete(LeaseEnd::Finished);
            window.finish();
            return window.drained(run.state.caller_gap()).await;
        }
        RelayEnd::CallerGone => opened.lease.finish(LeaseEnd::Finished),
        RelayEnd::Deadline | RelayEnd::CallerStalled => {
            run.meter.end(ExchangeOutcome::Unknown);
            run.meter.count_answer(AnswerCompleteness::BrokenWithError);
            opened.lease.finish(LeaseEnd::Finished);
        }
        RelayEnd::Broken(_) | RelayEnd::Invalid(_) => {
            run.meter.end(ExchangeOutcome::Unknown);
            run.meter.count_answer(AnswerCompleteness::BrokenWithError);
            opened.lease.finish(broken_end(window));
        }
    }
    log_cut(&run.call, &end, events);
    if matches!(end, RelayEnd::CallerStalled) {
        window.discard();
    }
}

fn log_cut(call: &ExchangeCall, end: &RelayEnd, events: u64) {
    log::info!(
        event = "answer_cut", request_id = call.head.request_id.as_str(),
        route = call.route.name.as_str(), events = events,
        elapsed_ms = millis(call.arrival.elapsed());
        "answer not completed: {end:?}"
    );
}
