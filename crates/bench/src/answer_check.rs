//! Check of a streamed answer, event by event, in constant memory.

use baobabfall_standin::answer_text::{answer_seed, answer_token};

/// Largest event that is kept while its end is missing, in bytes.
const EVENT_LIMIT: usize = 64 << 10;

/// How a call ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallVerdict {
    /// The whole right answer.
    Complete,
    /// Content of another answer, or repeated or skipped content.
    Wrong,
    /// The answer ended as if complete, although content is missing.
    SilentlyShort,
    /// The stream ended with an error event.
    ErrorEvent,
    /// The connection broke within the answer.
    Broken,
    /// The answer is an error that says that the request did not run.
    NotRun,
    /// The answer is an error that does not say so.
    Failed,
    /// The caller's own time limit passed.
    TimedOut,
}

/// Checks the events of one stream.
#[derive(Debug)]
pub struct StreamCheck {
    seed: u64,
    expected: u64,
    position: u64,
    partial: Vec<u8>,
    wrong: bool,
    error: bool,
    usage: bool,
    done: bool,
    stamp: Option<u64>,
}

impl StreamCheck {
    /// Expects the answer of `tokens` tokens to `request_id`.
    pub fn new(request_id: &str, tokens: u64) -> Self {
        Self {
            seed: answer_seed(request_id),
            expected: tokens,
            position: 0,
            partial: Vec::new(),
            wrong: false,
            error: false,
            usage: false,
            done: false,
            stamp: None,
        }
    }

    /// Tokens that arrived.
    pub fn tokens(&self) -> u64 {
        self.position
    }

    /// Time stamp of the latest event that carried one.
    pub fn stamp(&self) -> Option<u64> {
        self.stamp
    }

    /// Takes the next bytes of the body.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.partial.is_empty() {
            let used = self.take_events(bytes);
            self.partial.extend_from_slice(&bytes[used..]);
        } else {
            let mut whole = std::mem::take(&mut self.partial);
            whole.extend_from_slice(bytes);
            let used = self.take_events(&whole);
            whole.drain(..used);
            self.partial = whole;
        }
        if self.partial.len() > EVENT_LIMIT {
            self.wrong = true;
            self.partial.clear();
        }
    }

    /// Takes the complete events of `bytes` and returns their length.
    fn take_events(&mut self, bytes: &[u8]) -> usize {
        let mut used = 0;
        while let Some(length) = find(&bytes[used..], b"\n\n") {
            self.take_event(&bytes[used..used + length]);
            used += length + 2;
        }
        used
    }

    fn take_event(&mut self, event: &[u8]) {
        let Some(data) = event.strip_prefix(b"data: ") else {
            // Comments keep the connection alive and carry no content.
            self.error |= find(event, b"event: error").is_some();
            self.wrong |= !event.is_empty() && event[0] != b':' && !self.error;
            return;
        };
        self.wrong |= self.done;
        if data == b"[DONE]" {
            self.done = true;
        } else if let Some(token) = content(data) {
            self.wrong |= token != answer_token(self.seed, self.position);
            self.position += 1;
            self.wrong |= self.position > self.expected;
            self.stamp = stamp(data).or(self.stamp);
        } else if find(data, b"\"error\"").is_some() {
            self.error = true;
        } else if find(data, b"\"usage\"").is_some() {
            self.usage = true;
        } else {
            self.wrong = true;
        }
    }

    /// The verdict once the body ended cleanly, or broke.
    pub fn verdict(&self, broke: bool) -> CallVerdict {
        if self.wrong {
            return CallVerdict::Wrong;
        }
        if self.error {
            return CallVerdict::ErrorEvent;
        }
        if broke {
            return CallVerdict::Broken;
        }
        let complete = self.done && self.usage && self.position == self.expected;
        if complete && self.partial.is_empty() {
            CallVerdict::Complete
        } else {
            CallVerdict::SilentlyShort
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn content(data: &[u8]) -> Option<&[u8]> {
    let after = |pattern: &[u8]| find(data, pattern).map(|start| start + pattern.len());
    let start = after(b"\"content\":\"").or_else(|| after(b"\"text\":\""))?;
    let length = find(&data[start..], b"\"")?;
    data.get(start..start + length)
}

fn stamp(data: &[u8]) -> Option<u64> {
    let pattern = b",\"at\":";
    let start = find(data.get(..64.min(data.len()))?, pattern)? + pattern.len();
    let digits = data[start..].iter().take_while(|byte| byte.is_ascii_digit());
    Some(digits.fold(0, |number, digit| number * 10 + u64::from(digit - b'0')))
}
