//! Bodies of answers to exchanges: whole, or frames as they arrive.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// Frames that wait for a caller that reads slowly.
const FRAME_LIMIT: usize = 16;

/// An answer that ends without being complete; the connection is closed, so
/// that the caller notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer broke off before its end")]
pub struct TruncatedAnswer;

/// Body of an answer.
#[derive(Debug)]
pub enum ExchangeBody {
    /// All of it is known.
    Whole(Full<Bytes>),
    /// Frames follow as the upstream sends them.
    Frames {
        /// Where they come from. It must end with [`FrameEvent::End`].
        frames: mpsc::Receiver<FrameEvent>,
        /// Bytes left, when the length is known.
        left: Option<u64>,
    },
}

/// One step of a body that is relayed.
#[derive(Debug)]
pub enum FrameEvent {
    /// Bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// A body whose frames are sent through the returned channel.
pub fn frame_body(length: Option<u64>) -> (mpsc::Sender<FrameEvent>, ExchangeBody) {
    let (sender, frames) = mpsc::channel(FRAME_LIMIT);
    (sender, ExchangeBody::Frames { frames, left: length })
}

impl From<Full<Bytes>> for ExchangeBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Whole(body)
    }
}

impl Body for ExchangeBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Frames { frames, left } => frames.poll_recv(context).map(|event| match event {
                Some(FrameEvent::Data(bytes)) => {
                    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                    if let Some(left) = left {
                        *left = left.saturating_sub(length);
                    }
                    Some(Ok(Frame::data(bytes)))
                }
                Some(FrameEvent::End) => None,
                // The sender went away without an end.
                None => Some(Err(TruncatedAnswer)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Frames { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Frames { left: Some(left), .. } => SizeHint::with_exact(*left),
            Self::Frames { left: None, .. } => SizeHint::default(),
        }
    }
}
