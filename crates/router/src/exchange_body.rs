//! Response bodies of exchanges: buffered completely, or relayed frame by frame.

use crate::held_bytes::HeldBytes;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// Maximum number of frames buffered for a caller that reads slowly.
const FRAME_BUFFER: usize = 16;

/// Error for a response that ends before it is complete. It closes the connection,
/// so that the caller notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the response ended before it was complete")]
pub struct TruncatedAnswer;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ExchangeBody {
    /// The complete body.
    Whole {
        /// Its bytes.
        body: Full<Bytes>,
        /// Their memory, if it has to be given back.
        held: Option<HeldBytes>,
    },
    /// Frames that are relayed as the upstream sends them.
    Frames {
        /// Source of the frames. A channel that closes without [`FrameEvent::End`]
        /// means that the body is truncated.
        frames: mpsc::Receiver<FrameEvent>,
        /// Bytes still to come; `None` when the length is not known.
        left: Option<u64>,
    },
}

/// Message from the relay task to the body.
#[derive(Debug)]
pub enum FrameEvent {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Creates a body whose frames are sent through the returned channel. `length` is
/// its size in bytes, if known.
pub fn frame_body(length: Option<u64>) -> (mpsc::Sender<FrameEvent>, ExchangeBody) {
    let (sender, frames) = mpsc::channel(FRAME_BUFFER);
    (sender, ExchangeBody::Frames { frames, left: length })
}

impl From<Full<Bytes>> for ExchangeBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Whole { body, held: None }
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
            Self::Whole { body, .. } => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Self::Frames { frames, left } => frames.poll_recv(context).map(|event| match event {
                Some(FrameEvent::Data(bytes)) => {
                    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                    if let Some(left) = left {
                        *left = left.saturating_sub(length);
                    }
                    Some(Ok(Frame::data(bytes)))
                }
                Some(FrameEvent::End) => None,
                // The relay task ended without completing the body.
                None => Some(Err(TruncatedAnswer)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole { body, .. } => body.is_end_stream(),
            Self::Frames { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole { body, .. } => body.size_hint(),
            Self::Frames { left: Some(left), .. } => SizeHint::with_exact(*left),
            Self::Frames { left: None, .. } => SizeHint::default(),
        }
    }
}
