//! Response bodies of the simulated upstreams: whole bodies and token streams, optionally cut
//! short, stalled or broken by a simulated fault.

use crate::answer_text::answer_token;
use crate::faults::{FaultDraw, FaultKind};
use crate::upstream_state::RunGuard;
use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use std::future::Future;
use std::io;
use std::io::Write as _;
use std::pin::Pin;
use std::sync::OnceLock;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep};
use tokio_util::sync::WaitForCancellationFutureOwned;

/// Maximum delay behind the token schedule; a stream that is later restarts its schedule at the
/// current time.
const SCHEDULE_SLACK: Duration = Duration::from_millis(100);

/// Pause before a body ends early, so that the preceding content is sent: the connection discards
/// unsent bytes when the body fails.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnding {
    /// The whole content is sent.
    Complete,
    /// Content stops and the connection stays open until the request is cancelled.
    Stall,
    /// The body fails and the connection is closed.
    Broken,
    /// The body ends normally although content is missing.
    Short,
}

impl AnswerEnding {
    /// Ending for the drawn faults: `Stall` takes precedence over `CloseMidAnswer`, and that over
    /// `WrongLength`.
    pub fn of(draw: &FaultDraw) -> Self {
        if draw.has(FaultKind::Stall) {
            return Self::Stall;
        }
        if draw.has(FaultKind::CloseMidAnswer) {
            return Self::Broken;
        }
        if draw.has(FaultKind::WrongLength) { Self::Short } else { Self::Complete }
    }
}

/// Produces the end of a body: completion, a stall, an error or an early end.
#[derive(Debug)]
struct EndingPoller {
    ending: AnswerEnding,
    pause: Option<Pin<Box<Sleep>>>,
    cancelled: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
}

impl EndingPoller {
    fn new(ending: AnswerEnding, run: Option<&RunGuard>) -> Self {
        let cancelled = run.map(|run| Box::pin(run.cancel.clone().cancelled_owned()));
        Self { ending, pause: None, cancelled }
    }

    /// Polls for the end of the body; early endings wait until the content before them is sent.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.ending == AnswerEnding::Complete {
            return Poll::Ready(None);
        }
        if self.ending == AnswerEnding::Stall {
            return self.poll_cancelled(context);
        }
        let pause = self.pause.get_or_insert_with(|| Box::pin(tokio::time::sleep(FLUSH_PAUSE)));
        ready!(pause.as_mut().poll(context));
        let broken = self.ending == AnswerEnding::Broken;
        Poll::Ready(broken.then(|| Err(broken_answer())))
    }

    /// Fails the body once the request is cancelled; pending until then.
    fn poll_cancelled(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        match &mut self.cancelled {
            None => Poll::Pending,
            Some(cancelled) => {
                cancelled.as_mut().poll(context).map(|()| Some(Err(broken_answer())))
            }
        }
    }
}

/// Response body of a simulated upstream.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body that is sent in one frame.
    Whole(WholeBody),
    /// Server-sent events that are sent on a schedule.
    Tokens(Box<TokenStream>),
}

/// A body that is sent in one frame.
#[derive(Debug)]
pub struct WholeBody {
    bytes: Option<Bytes>,
    poller: EndingPoller,
    run: Option<RunGuard>,
}

/// Builds a response whose body is sent in one frame. Any ending but `Complete` sends only the
/// first half, while the `Content-Length` header keeps the full length.
pub fn whole_answer(
    status: u16,
    content_type: &'static str,
    bytes: Vec<u8>,
    ending: AnswerEnding,
    run: Option<RunGuard>,
) -> Response<AnswerBody> {
    let length = bytes.len();
    let mut bytes = Bytes::from(bytes);
    if ending != AnswerEnding::Complete {
        bytes.truncate(length / 2);
    }
    if let Some(run) = &run {
        run.state.count_bytes(bytes.len());
    }
    let poller = EndingPoller::new(ending, run.as_ref());
    let body = WholeBody { bytes: Some(bytes), poller, run };
    let mut response = Response::new(AnswerBody::Whole(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    response
}

impl WholeBody {
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let Some(bytes) = self.bytes.take() else { return self.poller.poll_end(context) };
        if self.poller.ending == AnswerEnding::Complete
            && let Some(run) = &mut self.run
        {
            run.finish();
        }
        Poll::Ready(Some(Ok(bytes)))
    }
}

fn broken_answer() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "response body aborted by a simulated fault or a cancellation",
    )
}

/// JSON path under which an event carries its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventForm {
    /// `choices[0].delta.content`.
    Chat,
    /// `choices[0].text`.
    Completion,
}

/// Timing of a token stream.
#[derive(Clone, Copy, Debug)]
pub struct TokenPace {
    /// Time until the first token.
    pub first: Duration,
    /// Time between tokens while at most `knee` requests run.
    pub interval: Duration,
    /// Number of running requests above which the interval grows in proportion.
    pub knee: u32,
    /// Events per body frame; zero counts as one.
    pub events_per_frame: u32,
    /// Whether events carry their creation time in the field `at`; see [`event_time`].
    pub stamp_events: bool,
}

impl TokenPace {
    /// Time between tokens while `running` requests run.
    pub fn interval_at(&self, running: u32) -> Duration {
        let knee = self.knee.max(1);
        if running <= knee { self.interval } else { self.interval * running / knee }
    }
}

/// Content and ending of a token stream.
#[derive(Clone, Copy, Debug)]
pub struct TokenPlan {
    /// Seed from which each token is computed, see [`answer_token`].
    pub seed: u64,
    /// Position of the first token that is sent.
    pub from: u64,
    /// Position after the last token (exclusive).
    pub to: u64,
    /// Number of prompt tokens to report in the usage object.
    pub prompt_tokens: u64,
    /// JSON form of the events.
    pub form: EventForm,
    /// How the stream ends.
    pub ending: AnswerEnding,
    /// Position at which the stream ends when `ending` is not `Complete`.
    pub cut_at: u64,
}

/// Token stream in the form of server-sent events, ended by the usage object and `[DONE]`.
#[derive(Debug)]
pub struct TokenStream {
    plan: TokenPlan,
    pace: TokenPace,
    position: u64,
    due: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    poller: EndingPoller,
    run: RunGuard,
    ended: bool,
}

impl TokenStream {
    /// Starts the stream; its first token is due after `pace.first`.
    pub fn new(plan: TokenPlan, pace: TokenPace, run: RunGuard) -> Self {
        let due = Instant::now() + pace.first;
        let sleep = (!pace.first.is_zero() || !pace.interval.is_zero())
            .then(|| Box::pin(tokio::time::sleep_until(due)));
        let poller = EndingPoller::new(plan.ending, Some(&run));
        Self { plan, pace, position: plan.from, due, sleep, poller, run, ended: false }
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if self.run.cancel.is_cancelled() {
            self.ended = true;
            return Poll::Ready(Some(Err(broken_answer())));
        }
        if self.plan.ending != AnswerEnding::Complete && self.position >= self.plan.cut_at {
            return self.poller.poll_end(context);
        }
        if let Some(sleep) = &mut self.sleep
            && sleep.as_mut().poll(context).is_pending()
        {
            return self.poller.poll_cancelled(context);
        }
        let frame = self.next_frame();
        self.run.state.count_bytes(frame.len());
        Poll::Ready(Some(Ok(frame)))
    }

    fn next_frame(&mut self) -> Bytes {
        let mut frame = BytesMut::with_capacity(96);
        let limit = match self.plan.ending {
            AnswerEnding::Complete => self.plan.to,
            _ => self.plan.to.min(self.plan.cut_at),
        };
        let mut events = 0;
        while events < self.pace.events_per_frame.max(1) && self.position < limit {
            write_event(&mut frame, &self.plan, self.position, self.pace.stamp_events);
            self.position += 1;
            events += 1;
        }
        if self.plan.ending == AnswerEnding::Complete && self.position >= self.plan.to {
            write_final_events(&mut frame, &self.plan);
            self.ended = true;
            self.run.finish();
        } else {
            self.schedule_next(events);
        }
        frame.freeze()
    }

    fn schedule_next(&mut self, events: u32) {
        let Some(sleep) = &mut self.sleep else { return };
        let now = Instant::now();
        let interval = self.pace.interval_at(self.run.state.running()) * events;
        let base = if self.due + SCHEDULE_SLACK < now { now } else { self.due };
        self.due = base + interval;
        sleep.as_mut().reset(self.due);
    }
}

/// Microseconds since the first call in this process, from a monotonic clock. Events carry this
/// value in `at`.
pub fn event_time() -> u64 {
    static START: OnceLock<std::time::Instant> = OnceLock::new();
    let start = START.get_or_init(std::time::Instant::now);
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn write_event(frame: &mut BytesMut, plan: &TokenPlan, position: u64, stamp: bool) {
    let token = answer_token(plan.seed, position);
    let (before, after): (&[u8], &[u8]) = match plan.form {
        EventForm::Chat => (b",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"", b"\"}}]}\n\n"),
        EventForm::Completion => (b",\"choices\":[{\"index\":0,\"text\":\"", b"\"}]}\n\n"),
    };
    frame.put_slice(b"data: {\"position\":");
    // `BytesMut` grows as needed, so writing to it cannot fail.
    let _ = write!(frame.writer(), "{position}");
    if stamp {
        let _ = write!(frame.writer(), ",\"at\":{}", event_time());
    }
    frame.put_slice(before);
    frame.put_slice(&token);
    frame.put_slice(after);
}

fn write_final_events(frame: &mut BytesMut, plan: &TokenPlan) {
    let usage = usage_json(plan.prompt_tokens, plan.to);
    let _ =
        write!(frame.writer(), "data: {{\"choices\":[],\"usage\":{usage}}}\n\ndata: [DONE]\n\n");
}

/// Usage object of a completion response.
pub fn usage_json(prompt_tokens: u64, completion_tokens: u64) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match self.get_mut() {
            Self::Whole(whole) => whole.poll_next(context),
            Self::Tokens(tokens) => tokens.poll_next(context),
        };
        next.map(|frame| frame.map(|result| result.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(WholeBody { bytes: Some(bytes), poller, .. })
                if poller.ending == AnswerEnding::Complete =>
            {
                SizeHint::with_exact(u64::try_from(bytes.len()).unwrap_or(u64::MAX))
            }
            _ => SizeHint::default(),
        }
    }
}
