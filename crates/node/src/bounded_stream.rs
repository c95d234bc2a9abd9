//! A stream wrapper that ends a connection whose peer sends bytes without end from
//! which nothing results, such as the digits of a chunk size.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may still be read before the user of the stream makes progress; clones
/// share the number.
///
/// ```
/// use baobabfall_node::bounded_stream::ReadAllowance;
/// let allowance = ReadAllowance::new(10);
/// assert!(allowance.spend(10));
/// assert!(!allowance.spend(1));
/// allowance.renew();
/// assert!(allowance.spend(1));
/// ```
#[derive(Clone, Debug)]
pub struct ReadAllowance {
    limit: usize,
    left: Arc<AtomicUsize>,
}

impl ReadAllowance {
    /// Allows `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, left: Arc::new(AtomicUsize::new(limit)) }
    }

    /// Allows the full number of bytes again, after progress.
    pub fn renew(&self) {
        self.left.store(self.limit, Ordering::Relaxed);
    }

    /// Takes `bytes` from the allowance. Returns false when it is exceeded.
    pub fn spend(&self, bytes: usize) -> bool {
        let left = self.left.load(Ordering::Relaxed);
        self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// Wraps a stream. Reads fail once the allowance is exceeded.
#[derive(Debug)]
pub struct BoundedStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> BoundedStream<S> {
    /// Wraps `stream`, whose reads are taken from `allowance`.
    pub fn new(stream: S, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.allowance.spend(buffer.filled().len() - filled_before) {
            let message = "the peer sent too many bytes that make no answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
