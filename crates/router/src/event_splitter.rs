//! Splits an event stream into whole events and follows their ids.

use bytes::{Buf, Bytes, BytesMut};

/// Most bytes of one event.
const EVENT_LIMIT: usize = 1 << 20;

/// An event is larger than the splitter holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OversizedEvent;

/// Holds back the unfinished event at the end of what arrived.
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
    partial: BytesMut,
    last_id: Option<u64>,
    events: u64,
    resuming: bool,
}

impl EventSplitter {
    /// Goes on with a stream whose events up to `last_id` were relayed.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { last_id, resuming: true, ..Self::default() }
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// True when nothing of a next event has arrived.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Takes bytes and returns the whole events that they complete. Events
    /// that were relayed before a resumption are left out.
    pub fn feed(&mut self, bytes: &Bytes) -> Result<Bytes, OversizedEvent> {
        if self.partial.len() + bytes.len() > 2 * EVENT_LIMIT {
            return Err(OversizedEvent);
        }
        let mut buffer = match self.partial.is_empty() {
            true => bytes.clone(),
            false => {
                self.partial.extend_from_slice(bytes);
                std::mem::take(&mut self.partial).freeze()
            }
        };
        let (skipped, end) = self.scan(&buffer);
        let rest = buffer.split_off(end);
        if rest.len() > EVENT_LIMIT {
            return Err(OversizedEvent);
        }
        self.partial.extend_from_slice(&rest);
        buffer.advance(skipped);
        Ok(buffer)
    }

    /// Returns where the events to relay begin and end.
    fn scan(&mut self, buffer: &[u8]) -> (usize, usize) {
        let (mut skipped, mut event_start, mut line_start) = (0, 0, 0);
        while let Some(length) = buffer[line_start..].iter().position(|byte| *byte == b'\n') {
            let line = &buffer[line_start..line_start + length];
            line_start += length + 1;
            if !matches!(line, b"" | b"\r") {
                continue;
            }
            let event = &buffer[event_start..line_start];
            event_start = line_start;
            if self.take_event(event) {
                skipped = event_start;
            }
        }
        (skipped, event_start)
    }

    /// Returns true when the event was relayed before.
    fn take_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            self.events += 1;
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

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?.trim_ascii()).ok()?.parse().ok()
}
