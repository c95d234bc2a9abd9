//! Splits the event stream of a model engine into complete events, counts them and
//! drops duplicates after a resumption. Complete events are not copied.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event, in bytes.
pub const EVENT_LIMIT: usize = 1 << 20;
const POSITION_FIELD: &[u8] = b"\"position\":";
const USAGE_FIELD: &[u8] = b"\"completion_tokens\":";
/// Number of bytes at the beginning of an event that are searched for its position;
/// engines write that field first.
const POSITION_WINDOW: usize = 64;

/// Why a stream cannot be relayed further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanError {
    /// An event is larger than [`EVENT_LIMIT`].
    Oversized,
    /// The resumed stream skips events, or its events have no position.
    Gap,
    /// An event follows the end marker.
    Trailing,
}

/// Result of feeding one frame.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScanResult {
    /// Complete events to relay.
    pub ready: Bytes,
    /// Number of content events among them.
    pub events: u64,
}

/// Scanner for one stream, including its resumptions.
#[derive(Debug, Default)]
pub struct EventScanner {
    partial: BytesMut,
    position: u64,
    done: bool,
    completion_tokens: Option<u64>,
    resuming: bool,
}

impl EventScanner {
    /// Creates a scanner for the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of content events relayed so far: the position to resume from.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// True once the end marker `[DONE]` was read.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// True when the end marker was relayed and no partial event follows.
    pub fn is_complete(&self) -> bool {
        self.done && self.partial.is_empty()
    }

    /// Number of generated tokens as reported by the engine; `None` without a report.
    pub fn completion_tokens(&self) -> Option<u64> {
        self.completion_tokens
    }

    /// Prepares for the frames of a resumed stream. Drops the partial event, which
    /// the upstream sends again.
    pub fn begin_resume(&mut self) {
        self.partial.clear();
        self.resuming = true;
    }

    /// Feeds a frame and returns the events that it completes.
    ///
    /// ```
    /// use baobabfall_router::event_scanner::EventScanner;
    /// let mut scanner = EventScanner::new();
    /// assert_eq!(scanner.feed("data: a\n\ndata".into()).unwrap().ready, "data: a\n\n");
    /// assert_eq!(scanner.feed(": b\n\n".into()).unwrap().ready, "data: b\n\n");
    /// assert_eq!(scanner.position(), 2);
    /// ```
    pub fn feed(&mut self, frame: Bytes) -> Result<ScanResult, ScanError> {
        if self.partial.is_empty() {
            let (start, end, events) = self.scan(&frame)?;
            if frame.len() - end > EVENT_LIMIT {
                return Err(ScanError::Oversized);
            }
            self.partial.extend_from_slice(&frame[end..]);
            return Ok(ScanResult { ready: frame.slice(start..end), events });
        }
        if self.partial.len() + frame.len() > 2 * EVENT_LIMIT {
            return Err(ScanError::Oversized);
        }
        self.partial.extend_from_slice(&frame);
        let buffered = std::mem::take(&mut self.partial).freeze();
        let (start, end, events) = self.scan(&buffered)?;
        if buffered.len() - end > EVENT_LIMIT {
            return Err(ScanError::Oversized);
        }
        self.partial.extend_from_slice(&buffered[end..]);
        Ok(ScanResult { ready: buffered.slice(start..end), events })
    }

    /// Returns the byte range of the events to relay and the number of content events
    /// in it.
    fn scan(&mut self, buffer: &[u8]) -> Result<(usize, usize, u64), ScanError> {
        let (mut relay_from, mut event_start, mut line_start, mut events) = (0, 0, 0, 0);
        while let Some(length) = buffer[line_start..].iter().position(|byte| *byte == b'\n') {
            let line_end = line_start + length;
            let is_blank = matches!(&buffer[line_start..line_end], b"" | b"\r");
            line_start = line_end + 1;
            if !is_blank {
                continue;
            }
            let event = &buffer[event_start..line_start];
            event_start = line_start;
            match self.take_event(event)? {
                EventKind::Content => events += 1,
                EventKind::Other => {}
                EventKind::Duplicate => relay_from = event_start,
            }
        }
        Ok((relay_from, event_start, events))
    }

    fn take_event(&mut self, event: &[u8]) -> Result<EventKind, ScanError> {
        let Some(data) = data_of(event) else { return Ok(EventKind::Other) };
        if self.done {
            return Err(ScanError::Trailing);
        }
        if data.trim_ascii() == b"[DONE]" {
            self.done = true;
            self.resuming = false;
            return Ok(EventKind::Other);
        }
        let window = &data[..data.len().min(POSITION_WINDOW)];
        let position = number_after(window, POSITION_FIELD);
        if position.is_none()
            && let Some(tokens) = number_after(data, USAGE_FIELD)
        {
            self.completion_tokens = Some(tokens);
            self.resuming = false;
            return Ok(EventKind::Other);
        }
        if self.resuming {
            match position {
                Some(position) if position < self.position => return Ok(EventKind::Duplicate),
                Some(position) if position == self.position => self.resuming = false,
                _ => return Err(ScanError::Gap),
            }
        }
        self.position += 1;
        Ok(EventKind::Content)
    }
}

enum EventKind {
    /// Carries generated content; has a position in the stream.
    Content,
    /// Comment, usage report or end marker.
    Other,
    /// Content that was relayed before the resumption.
    Duplicate,
}

fn data_of(event: &[u8]) -> Option<&[u8]> {
    if let Some(rest) = event.strip_prefix(b"data:") {
        return Some(rest);
    }
    event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"data:"))
}

fn number_after(text: &[u8], field: &[u8]) -> Option<u64> {
    let start = text.windows(field.len()).position(|window| window == field)? + field.len();
    let digits = text[start..].trim_ascii_start();
    let length = digits.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&digits[..length]).ok()?.parse().ok()
}

/// Returns the number of generated tokens that a JSON response reports. `tail` is
/// the end of the body, which contains the usage.
pub fn completion_tokens_of(tail: &[u8]) -> Option<u64> {
    number_after(tail, USAGE_FIELD)
}
