//! A stream wrapper that counts reads, so that a client can distinguish a slow
//! peer from one that has disappeared.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of reads that returned data; clones share the counter.
///
/// ```
/// use baobabfall_node::counted_stream::ReadCount;
/// let count = ReadCount::default();
/// assert_eq!(count.get(), 0);
/// assert!(count.is_same(&count.clone()) && !count.is_same(&ReadCount::default()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReadCount(Arc<AtomicU64>);

impl ReadCount {
    /// Number of reads that returned at least one byte so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// True when both share one counter and so belong to the same stream.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// Wraps a stream and counts the reads that return data.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    reads: ReadCount,
}

impl<S> CountedStream<S> {
    /// Wraps `stream` and increments `reads` for each read that returns data.
    pub fn new(stream: S, reads: ReadCount) -> Self {
        Self { stream, reads }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.reads.0.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
