//! Frames on their way to a caller: how many bytes wait for it, and their memory.

use crate::exchange_body::{FrameEvent, FrameReceiver};
use crate::held_bytes::ByteAccount;
use baobabfall_core::reader_pace::{FREE_BYTES, ReadStep, ReaderPace};
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// Memory of one frame besides its bytes.
const FRAME_OVERHEAD_BYTES: usize = 256;

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Sends the frames of one answer to its caller and counts those that are not written to the
/// caller's connection.
#[derive(Debug)]
pub struct CallerWindow {
    sender: UnboundedSender<FrameEvent>,
    frames: FrameReceiver,
    account: ByteAccount,
    progress: Arc<WindowProgress>,
}

#[derive(Debug)]
struct WindowProgress {
    pace: Mutex<ReaderPace>,
    read: Notify,
    started: Instant,
}

impl WindowProgress {
    fn pace(&self) -> MutexGuard<'_, ReaderPace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a frame until the HTTP server drops it, which it does once the frame is written.
#[derive(Debug)]
struct FrameGuard {
    bytes: usize,
    progress: Arc<WindowProgress>,
}

impl Drop for FrameGuard {
    fn drop(&mut self) {
        self.progress.pace().record_read(self.progress.started.elapsed(), self.bytes);
        self.progress.read.notify_one();
    }
}

impl CallerWindow {
    /// Creates the window of an answer whose frames go through `sender` to `frames`.
    pub fn new(
        sender: UnboundedSender<FrameEvent>,
        frames: FrameReceiver,
        account: ByteAccount,
    ) -> Self {
        let (pace, read) = (Mutex::default(), Notify::new());
        let progress = Arc::new(WindowProgress { pace, read, started: Instant::now() });
        Self { sender, frames, account, progress }
    }

    /// Passes a frame on. It is held without the account if the account is spent; the caller of
    /// this function then has to wait for [`Self::room`] before it reads more.
    pub fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let size = bytes.len() + FRAME_OVERHEAD_BYTES;
        let mut held = self.account.holder();
        let has_room = self.unread() + size <= FREE_BYTES || held.resize_whole(size);
        self.progress.pace().record_sent(size, has_room);
        let guard = FrameGuard { bytes: size, progress: Arc::clone(&self.progress) };
        let frame = held.attach(bytes, guard);
        self.sender.send(FrameEvent::Data(frame)).map_err(|_| CallerGone)
    }

    /// Marks the answer as complete.
    pub fn finish(&self) {
        let _ = self.sender.send(FrameEvent::End);
    }

    /// Waits until the caller has closed its connection.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Bytes that are not written to the caller's connection.
    pub fn unread(&self) -> usize {
        self.progress.pace().unread()
    }

    /// True if the upstream may have cut off its answer because it was left unread.
    pub fn was_left_unread(&self) -> bool {
        self.progress.pace().was_left_unread()
    }

    fn step(&self) -> ReadStep {
        self.progress.pace().step(self.progress.started.elapsed())
    }

    /// Waits until more of the answer may be read from the upstream. Returns false if the caller
    /// is to be given up.
    pub async fn room(&self) -> bool {
        loop {
            let wait = match self.step() {
                ReadStep::Read => return true,
                ReadStep::GiveUp => return false,
                ReadStep::Pause(wait) => wait,
            };
            // A timeout only leads to the next decision.
            let _ = tokio::time::timeout(wait, self.progress.read.notified()).await;
        }
    }

    /// Waits until all frames are written to the caller's connection. If it reads none for
    /// `patience`, those that wait are dropped, so that it gets a broken answer.
    pub async fn drained(&self, patience: Duration) {
        while self.unread() > 0 {
            let read = tokio::time::timeout(patience, self.progress.read.notified());
            tokio::select! {
                read = read => if read.is_err() { return self.discard() },
                () = self.sender.closed() => return,
            }
        }
    }

    /// Drops the frames that wait for the caller, and their memory.
    pub fn discard(&self) {
        self.frames.discard();
    }
}
