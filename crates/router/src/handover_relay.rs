//! Passes the bytes of a connection that was handed over between its caller and the neighbour.
//!
//! The router is short of processor time while it does this. So the bytes are not interpreted,
//! each read and the write after it is one step of one task, and events that follow one another
//! shortly are passed on together.

use bytes::{Buf, BytesMut};
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Time for which events are gathered while the router is saturated. Half of the shortest delay
/// after which sites count a stream as late.
const GATHER_TIME: Duration = Duration::from_millis(60);
/// Most bytes that are read at once.
const READ_BYTES: usize = 16 << 10;
/// Time in which a caller must accept the answer that its request failed.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(500);
/// End of the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

thread_local! {
    /// Bytes on their way from one socket to the other. Connections of a thread share it, since
    /// most of what is read is written at once.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BYTES].into());
}

/// How the relay of a connection ended.
#[derive(Debug)]
pub(crate) enum RelayEnd {
    /// The neighbour closed the connection after an answer.
    Finished,
    /// The caller closed the connection.
    CallerGone,
    /// The neighbour broke the connection off, after a part of an answer or without one.
    Broken {
        /// True if the caller received a part of an answer.
        is_answered: bool,
        /// Explanation for the log.
        reason: String,
    },
}

/// Bytes that move in one direction.
#[derive(Debug, Default)]
struct ByteFlow {
    /// Bytes that were read and not yet written.
    waiting: BytesMut,
    total: u64,
}

/// Result of one step of a flow.
enum FlowStep {
    /// Bytes were read. `is_head` is true if they end with the head of a message.
    Moved { count: usize, is_head: bool },
    /// The sender has closed its side.
    Ended,
}

impl ByteFlow {
    /// Writes what waits, or reads what has arrived and writes it.
    fn poll_step(
        &mut self,
        cx: &mut Context<'_>,
        from: &mut TcpStream,
        to: &mut TcpStream,
    ) -> Poll<Result<FlowStep, FlowError>> {
        while !self.waiting.is_empty() {
            let written = ready!(Pin::new(&mut *to).poll_write(cx, &self.waiting));
            self.waiting.advance(written.map_err(|_| FlowError::Write)?);
        }
        SCRATCH.with_borrow_mut(|scratch| {
            let mut buffer = ReadBuf::new(scratch);
            ready!(Pin::new(from).poll_read(cx, &mut buffer)).map_err(FlowError::Read)?;
            let bytes = buffer.filled();
            if bytes.is_empty() {
                return Poll::Ready(Ok(FlowStep::Ended));
            }
            let count = bytes.len();
            self.total += u64::try_from(count).unwrap_or(0);
            let written = match Pin::new(to).poll_write(cx, bytes) {
                Poll::Ready(written) => written.map_err(|_| FlowError::Write)?,
                Poll::Pending => 0,
            };
            self.waiting.extend_from_slice(&bytes[written..]);
            let is_head = bytes.ends_with(HEAD_END);
            Poll::Ready(Ok(FlowStep::Moved { count, is_head }))
        })
    }
}

/// Which side of a flow failed.
enum FlowError {
    Read(io::Error),
    Write,
}

struct ConnectionRelay<'a, S> {
    caller: TcpStream,
    neighbour: TcpStream,
    requests: ByteFlow,
    answers: ByteFlow,
    /// Runs while events are gathered.
    pause: Option<Pin<Box<Sleep>>>,
    is_paused: bool,
    /// True once bytes could not be written to the neighbour. The system reports the reset of a
    /// connection once, so that a read afterwards finds what looks like an ordinary end.
    is_cut: bool,
    is_saturated: &'a S,
}

impl<S: Fn() -> bool> ConnectionRelay<'_, S> {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<RelayEnd> {
        if let Poll::Ready(end) = self.poll_answers(cx) {
            return Poll::Ready(end);
        }
        self.poll_requests(cx)
    }

    fn poll_answers(&mut self, cx: &mut Context<'_>) -> Poll<RelayEnd> {
        loop {
            if self.is_paused
                && let Some(pause) = &mut self.pause
            {
                ready!(pause.as_mut().poll(cx));
                self.is_paused = false;
            }
            let step = self.answers.poll_step(cx, &mut self.neighbour, &mut self.caller);
            match ready!(step) {
                Ok(FlowStep::Moved { count, is_head }) => {
                    // The first event is not held back, nor is a long answer.
                    if count < READ_BYTES && !is_head && (self.is_saturated)() {
                        self.begin_pause();
                    }
                }
                Ok(FlowStep::Ended) if self.answers.total > 0 && !self.is_cut => {
                    return Poll::Ready(RelayEnd::Finished);
                }
                Ok(FlowStep::Ended) => return Poll::Ready(self.broken("it was closed")),
                Err(FlowError::Read(error)) => return Poll::Ready(self.broken(&error.to_string())),
                Err(FlowError::Write) => return Poll::Ready(RelayEnd::CallerGone),
            }
        }
    }

    fn begin_pause(&mut self) {
        let until = Instant::now() + GATHER_TIME;
        match &mut self.pause {
            Some(pause) => pause.as_mut().reset(until),
            None => self.pause = Some(Box::pin(tokio::time::sleep_until(until))),
        }
        self.is_paused = true;
    }

    fn poll_requests(&mut self, cx: &mut Context<'_>) -> Poll<RelayEnd> {
        loop {
            match ready!(self.requests.poll_step(cx, &mut self.caller, &mut self.neighbour)) {
                Ok(FlowStep::Moved { .. }) => {}
                Ok(FlowStep::Ended) | Err(FlowError::Read(_)) => {
                    return Poll::Ready(RelayEnd::CallerGone);
                }
                // The neighbour may have answered before it closed; the answer is read first.
                Err(FlowError::Write) => {
                    self.is_cut = true;
                    return self.poll_answers(cx);
                }
            }
        }
    }

    fn broken(&self, reason: &str) -> RelayEnd {
        RelayEnd::Broken { is_answered: self.answers.total > 0, reason: reason.to_owned() }
    }
}

/// Relays until either side closes its connection. `failure` is the response to a caller whose
/// request may have run and was not answered.
pub(crate) async fn relay_connection<S: Fn() -> bool>(
    caller: TcpStream,
    neighbour: TcpStream,
    is_saturated: S,
    failure: &[u8],
) -> RelayEnd {
    let mut relay = ConnectionRelay {
        caller,
        neighbour,
        requests: ByteFlow::default(),
        answers: ByteFlow::default(),
        pause: None,
        is_paused: false,
        is_cut: false,
        is_saturated: &is_saturated,
    };
    let end = poll_fn(|cx| relay.poll(cx)).await;
    let ConnectionRelay { mut caller, requests, .. } = relay;
    match &end {
        RelayEnd::Broken { is_answered: false, .. } if requests.total > 0 => {
            let _ = tokio::time::timeout(FAILURE_TIMEOUT, caller.write_all(failure)).await;
        }
        // An answer that ends with its connection must not look complete.
        RelayEnd::Broken { is_answered: true, .. } => reset_on_close(&caller),
        _ => {}
    }
    end
}

fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("the connection cannot be reset: {error}");
    }
}
