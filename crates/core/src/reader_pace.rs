//! How far a router reads ahead of a caller that reads its answer slowly, and when it gives the
//! caller up.
//!
//! It answers many callers who read slowly at once. An upstream cuts off an answer that stays
//! unread, and keeps a slot for it, so the router reads on and holds what the caller has not read,
//! within bounds for one answer and for all of them together. A caller that goes on reading is
//! never cut, however slow it is.

use std::time::Duration;

/// Bytes of one answer that are held without the common account. They are part of the memory that
/// is planned for a connection.
pub const FREE_BYTES: usize = 16 << 10;
/// Most bytes of one answer that are held, so that one caller cannot take the whole account.
pub const ANSWER_BYTES: usize = 256 << 10;
/// Time without any reading after which a caller is given up if the router can hold no more for it.
/// Upstreams cut off unread answers after some seconds; ending the answer here frees the slot.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(3);

/// What to do with an upstream's answer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Read on.
    Read,
    /// Read nothing until the caller has read more, or this long.
    Pause(Duration),
    /// End the answer as broken.
    GiveUp,
}

/// Time without a read from the upstream after which it may have cut off its answer for that
/// reason.
const UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// Progress of one caller.
///
/// ```
/// use baobabfall_core::reader_pace::{FREE_BYTES, PAUSE_LIMIT, ReadStep, ReaderPace};
/// use std::time::Duration;
/// let start = Duration::from_secs(1);
/// let mut pace = ReaderPace::default();
/// pace.record_sent(FREE_BYTES, true);
/// assert_eq!(pace.step(start), ReadStep::Read);
/// // The account is spent.
/// pace.record_sent(1, false);
/// assert_eq!(pace.step(start), ReadStep::Pause(PAUSE_LIMIT));
/// assert_eq!(pace.step(start + PAUSE_LIMIT), ReadStep::GiveUp);
/// pace.record_read(start + PAUSE_LIMIT, 1);
/// assert_eq!(pace.step(start + PAUSE_LIMIT), ReadStep::Read);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderPace {
    /// Bytes that the caller has not read.
    unread: usize,
    /// True from when the account had no room until little is unread.
    is_refused: bool,
    /// When the caller last read.
    read_at: Duration,
    /// Since when the upstream is left unread.
    paused_since: Option<Duration>,
    was_left_unread: bool,
}

impl ReaderPace {
    /// Bytes that the caller has not read.
    pub fn unread(&self) -> usize {
        self.unread
    }

    /// Records bytes that wait for the caller. `has_room` is false if the account had none for
    /// them.
    pub fn record_sent(&mut self, bytes: usize, has_room: bool) {
        self.unread += bytes;
        self.is_refused |= !has_room;
    }

    /// Records that the caller has read `bytes`.
    pub fn record_read(&mut self, now: Duration, bytes: usize) {
        self.unread = self.unread.saturating_sub(bytes);
        self.read_at = now;
    }

    /// True if the upstream was left unread for so long that it may have cut off its answer, which
    /// is then no sign of a crash.
    pub fn was_left_unread(&self) -> bool {
        self.was_left_unread
    }

    /// Decides whether to read on from the upstream.
    pub fn step(&mut self, now: Duration) -> ReadStep {
        // Without this distance, each small frame that the caller reads would let in a large one
        // that the account has no room for.
        self.is_refused &= self.unread > FREE_BYTES;
        let is_full = self.is_refused || self.unread >= ANSWER_BYTES;
        let since = *self.paused_since.get_or_insert(now);
        self.was_left_unread |= now.saturating_sub(since) >= UNREAD_LIMIT;
        if !is_full {
            self.paused_since = None;
            return ReadStep::Read;
        }
        let waited = now.saturating_sub(since.max(self.read_at));
        match PAUSE_LIMIT.checked_sub(waited) {
            Some(left) if !left.is_zero() => ReadStep::Pause(left),
            _ => ReadStep::GiveUp,
        }
    }
}
