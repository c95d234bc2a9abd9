//! Response bodies of exchanges: buffered completely, or relayed frame by frame.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// Error for a response that ends before it is complete. It closes the connection,
/// so that the caller notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the response ended before it was complete")]
pub struct TruncatedAnswer;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ExchangeBody {
    /// The complete body.
    Whole(Full<Bytes>),
    /// Frames that are relayed as the upstream sends them.
    Frames {
        /// Source of the frames. A channel that closes without [`FrameEvent::End`]
        /// means that the body is truncated.
        frames: FrameStream,
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

/// Frames that wait for a caller.
#[derive(Clone, Debug)]
pub struct FrameReceiver {
    frames: Arc<Mutex<mpsc::UnboundedReceiver<FrameEvent>>>,
}

impl FrameReceiver {
    fn lock(&self) -> MutexGuard<'_, mpsc::UnboundedReceiver<FrameEvent>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops the frames and takes no more. The body is then truncated.
    pub fn discard(&self) {
        let mut frames = self.lock();
        frames.close();
        while frames.try_recv().is_ok() {}
    }
}

/// Receiving end of a [`FrameReceiver`], whose drop tells the sender that the caller is gone.
#[derive(Debug)]
pub struct FrameStream(FrameReceiver);

impl Drop for FrameStream {
    fn drop(&mut self) {
        self.0.discard();
    }
}

/// Creates a body whose frames are sent through the returned channel. `length` is
/// its size in bytes, if known.
pub fn frame_body(
    length: Option<u64>,
) -> (mpsc::UnboundedSender<FrameEvent>, FrameReceiver, ExchangeBody) {
    let (sender, frames) = mpsc::unbounded_channel();
    let receiver = FrameReceiver { frames: Arc::new(Mutex::new(frames)) };
    let frames = FrameStream(receiver.clone());
    (sender, receiver, ExchangeBody::Frames { frames, left: length })
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
            Self::Frames { frames, left } => {
                frames.0.lock().poll_recv(context).map(|event| match event {
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
                })
            }
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
