//! Response body that is completely in memory, in one or more pieces.

use bytes::{Buf, Bytes};
use http_body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body whose pieces may be shared with other responses. Without sharing, a large
/// table that is sent to every router at once would be held in memory once for each.
///
/// ```
/// use baobabfall_node::message_body::MessageBody;
/// use bytes::Bytes;
/// let shared = Bytes::from_static(b"table");
/// let body = MessageBody::from_pieces([Bytes::from_static(b"head "), shared.clone()]);
/// assert_eq!(body.len(), 10);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MessageBody {
    pieces: VecDeque<Bytes>,
}

impl MessageBody {
    /// Creates a body from pieces that are sent in order.
    pub fn from_pieces(pieces: impl IntoIterator<Item = Bytes>) -> Self {
        Self { pieces: pieces.into_iter().filter(Buf::has_remaining).collect() }
    }

    /// Number of bytes that are left.
    pub fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }

    /// True when no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }
}

impl From<Vec<u8>> for MessageBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::from_pieces([Bytes::from(bytes)])
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.pieces.pop_front().map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.len()).unwrap_or(u64::MAX))
    }
}
