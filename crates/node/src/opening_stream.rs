//! A stream wrapper that ends a connection whose client does not begin a request in time.
//!
//! The server reads the first bytes of a connection to tell the version of HTTP, and only then
//! applies its time limit for the headers of a request. Without a limit for these bytes, a client
//! that sends nothing holds its connection for good.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// First bytes of a connection over HTTP/2. Others tell that a client uses HTTP/1.1.
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Wraps a stream. Reads fail if the first bytes, as far as they tell the version of HTTP, do not
/// arrive in time.
#[derive(Debug)]
pub struct OpeningStream<S> {
    stream: S,
    /// Bytes of the preface that were read.
    matched: usize,
    /// Time limit; `None` once the version is known.
    limit: Option<Pin<Box<Sleep>>>,
}

impl<S> OpeningStream<S> {
    /// Wraps `stream`, whose first bytes must arrive within `time`.
    pub fn new(stream: S, time: Duration) -> Self {
        let limit = Some(Box::pin(tokio::time::sleep(time)));
        Self { stream, matched: 0, limit }
    }

    /// The wrapped stream.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Compares the next bytes with the preface, and lifts the limit once the version is known.
    fn observe(&mut self, bytes: &[u8]) {
        let expected = &HTTP2_PREFACE[self.matched..];
        let compared = expected.len().min(bytes.len());
        let differs = expected[..compared] != bytes[..compared];
        self.matched += compared;
        if differs || self.matched == HTTP2_PREFACE.len() {
            self.limit = None;
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for OpeningStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let Some(limit) = &mut self.limit else { return result };
        match result {
            Poll::Ready(Ok(())) => self.observe(&buffer.filled()[filled_before..]),
            Poll::Pending if limit.as_mut().poll(context).is_ready() => {
                let message = "the client began no request in time";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)));
            }
            _ => {}
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for OpeningStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
