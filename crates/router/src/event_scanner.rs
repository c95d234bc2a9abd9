//! Splits server-sent events out of body frames without copying whole ones.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes.
pub const EVENT_LIMIT: usize = 1 << 20;
const POSITION_MARK: &[u8] = b"\"position\":";
const USAGE_MARK: &[u8] = b"\"completion_tokens\":";
/// Bytes of an event that are searched for its position, which engines write first.
const POSITION_WINDOW: usize = 64;

/// Why a stream cannot be relayed further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanError {
    /// An event exceeds [`EVENT_LIMIT`].
    Oversized,
    /// Events are missing after a resumption.
    Gap,
    /// Content follows the end marker.
    Trailing,
}

/// What one feed found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScanResult {
    /// Whole events to relay.
    pub ready: Bytes,
    /// Content events among them.
    pub events: u64,
}

/// Scanner of one stream, across its resumptions.
#[derive(Debug, Default)]
pub struct EventScanner {
    partial: BytesMut,
    position: u64,
    done: bool,
    completion_tokens: Option<u64>,
    resuming: bool,
}

impl EventScanner {
    /// A scanner at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Content events relayed so far, which is the position to resume from.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// True once the end marker was relayed.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// True when the stream may end here.
    pub fn is_complete(&self) -> bool {
        self.done && self.partial.is_empty()
    }

    /// Tokens that the engine itself counted.
    pub fn completion_tokens(&self) -> Option<u64> {
        self.completion_tokens
    }

    /// Prepares for the frames of a resumed stream.
    pub fn begin_resume(&mut self) {
        self.partial.clear();
        self.resuming = true;
    }

    /// Takes a frame and gives back the whole events that it completes.
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
        let held = std::mem::take(&mut self.partial).freeze();
        let (start, end, events) = self.scan(&held)?;
        if held.len() - end > EVENT_LIMIT {
            return Err(ScanError::Oversized);
        }
        self.partial.extend_from_slice(&held[end..]);
        Ok(ScanResult { ready: held.slice(start..end), events })
    }

    /// Range of the events to relay and the number of content events in it.
    fn scan(&mut self, buffer: &[u8]) -> Result<(usize, usize, u64), ScanError> {
        let (mut relay_from, mut event_start, mut line_start, mut events) = (0, 0, 0, 0);
        while let Some(length) = buffer[line_start..].iter().position(|byte| *byte == b'\n') {
            let line_end = line_start + length;
            let empty = matches!(&buffer[line_start..line_end], b"" | b"\r");
            line_start = line_end + 1;
            if !empty {
                continue;
            }
            let event = &buffer[event_start..line_start];
            event_start = line_start;
            match self.take_event(event)? {
                EventUse::Content => events += 1,
                EventUse::Other => {}
                EventUse::Skipped => relay_from = event_start,
            }
        }
        Ok((relay_from, event_start, events))
    }

    fn take_event(&mut self, event: &[u8]) -> Result<EventUse, ScanError> {
        let Some(data) = data_of(event) else { return Ok(EventUse::Other) };
        if self.done {
            return Err(ScanError::Trailing);
        }
        if data.trim_ascii() == b"[DONE]" {
            self.done = true;
            self.resuming = false;
            return Ok(EventUse::Other);
        }
        let window = &data[..data.len().min(POSITION_WINDOW)];
        let position = number_after(window, POSITION_MARK);
        if position.is_none()
            && let Some(tokens) = number_after(data, USAGE_MARK)
        {
            self.completion_tokens = Some(tokens);
            self.resuming = false;
            return Ok(EventUse::Other);
        }
        if self.resuming {
            match position {
                Some(position) if position < self.position => return Ok(EventUse::Skipped),
                Some(position) if position == self.position => self.resuming = false,
                _ => return Err(ScanError::Gap),
            }
        }
        self.position += 1;
        Ok(EventUse::Content)
    }
}

enum EventUse {
    Content,
    Other,
    Skipped,
}

fn data_of(event: &[u8]) -> Option<&[u8]> {
    if let Some(rest) = event.strip_prefix(b"data:") {
        return Some(rest);
    }
    event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"data:"))
}

fn number_after(text: &[u8], mark: &[u8]) -> Option<u64> {
    let start = text.windows(mark.len()).position(|window| window == mark)? + mark.len();
    let digits = text[start..].trim_ascii_start();
    let length = digits.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&digits[..length]).ok()?.parse().ok()
}

/// Tokens that a complete JSON answer says it generated, read from its tail.
pub fn completion_tokens_of(tail: &[u8]) -> Option<u64> {
    number_after(tail, USAGE_MARK)
}
