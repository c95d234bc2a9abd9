//! Splits an event stream into complete events and tracks their ids, so that the
//! stream can be resumed after the last one.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of one event, in bytes.
pub(crate) const EVENT_LIMIT: usize = 1 << 20;

/// Error for an event that is larger than 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OversizedEvent;

/// Splitter that returns only complete events and buffers the partial event at the
/// end of the received bytes.
///
/// ```
/// use baobabfall_router::event_splitter::EventSplitter;
/// use bytes::Bytes;
/// let mut splitter = EventSplitter::default();
/// let ready = splitter.feed(&Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda")).unwrap();
/// assert_eq!(ready, "id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(1));
/// assert!(!splitter.is_between_events());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Received bytes of an event that is not complete.
    partial: BytesMut,
    /// Start of the last line in `partial`.
    line_start: usize,
    /// Bytes of `partial` that hold no end of that line.
    searched: usize,
    last_id: Option<u64>,
    events: u64,
    resuming: bool,
}

impl EventSplitter {
    /// Creates a splitter for a resumed stream whose events up to `last_id` were
    /// already relayed.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { last_id, resuming: true, ..Self::default() }
    }

    /// Id of the last complete event; `None` if no event had an id.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events so far, without those that were left out.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// True when no partial event is buffered, so that the stream may end here.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Bytes of memory for the partial event.
    pub fn held_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Feeds received bytes and returns the events that they complete. Events that
    /// were already relayed before a resumption are left out.
    pub fn feed(&mut self, bytes: &Bytes) -> Result<Bytes, OversizedEvent> {
        if self.partial.len() + bytes.len() > 2 * EVENT_LIMIT {
            return Err(OversizedEvent);
        }
        if self.partial.is_empty() {
            let (relay_from, end) = self.scan(bytes);
            return self.keep_rest(bytes.clone(), relay_from, end);
        }
        let mut partial = std::mem::take(&mut self.partial);
        partial.extend_from_slice(bytes);
        let (relay_from, end) = self.scan(&partial);
        if end > 0 {
            return self.keep_rest(partial.freeze(), relay_from, end);
        }
        // Nothing is copied while the event goes on.
        self.partial = partial;
        match self.partial.len() > EVENT_LIMIT {
            true => Err(OversizedEvent),
            false => Ok(Bytes::new()),
        }
    }

    /// Returns the events to relay of a scanned buffer and keeps what follows after them.
    fn keep_rest(
        &mut self,
        mut buffer: Bytes,
        relay_from: usize,
        end: usize,
    ) -> Result<Bytes, OversizedEvent> {
        let rest = buffer.split_off(end);
        if rest.len() > EVENT_LIMIT {
            return Err(OversizedEvent);
        }
        self.partial.extend_from_slice(&rest);
        buffer.advance(relay_from);
        Ok(buffer)
    }

    /// Returns the byte range of the events to relay in a buffer that begins with the partial
    /// event, and records how far the rest was searched.
    fn scan(&mut self, buffer: &[u8]) -> (usize, usize) {
        let (mut relay_from, mut event_start) = (0, 0);
        let (mut line_start, mut searched) = (self.line_start, self.searched);
        while let Some(length) = buffer[searched..].iter().position(|byte| *byte == b'\n') {
            let line = &buffer[line_start..searched + length];
            line_start = searched + length + 1;
            searched = line_start;
            if !matches!(line, b"" | b"\r") {
                continue;
            }
            let event = &buffer[event_start..line_start];
            event_start = line_start;
            if self.take_event(event) {
                relay_from = event_start;
            }
        }
        self.line_start = line_start - event_start;
        self.searched = buffer.len() - event_start;
        (relay_from, event_start)
    }

    /// Records a complete event. Returns true when it was already relayed before the
    /// resumption.
    fn take_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            self.events += u64::from(has_field(event));
            return false;
        };
        if self.resuming && self.last_id.is_some_and(|last| id <= last) {
            return true;
        }
        self.last_id = Some(id);
        self.events += 1;
        false
    }
}

/// False for empty lines and comments, which keep a connection alive.
fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, b"" | b"\r") && !line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?.trim_ascii()).ok()?.parse().ok()
}
