//! Bounded queue of log lines with a thread that writes them.
//!
//! Logging never waits for the reader of the output: a line that finds no room
//! is dropped and counted. Lines of level info may use half of the room, so
//! that repetitive ones do not displace warnings.

use log::Level;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Bytes that wait for the writer.
const BYTE_LIMIT: usize = 512 << 10;
/// Pause of the writer between two writes, so that lines share one.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct QueueState {
    bytes: Vec<u8>,
    /// Dropped lines that no line has reported yet.
    unreported: DroppedLines,
    dropped: DroppedLines,
    writing: bool,
}

/// Lines that found no room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines of level info and below.
    pub info: u64,
    /// Lines of level warn and error.
    pub warnings: u64,
}

/// Queue of log lines; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<SharedState>,
}

#[derive(Debug, Default)]
struct SharedState {
    state: Mutex<QueueState>,
    /// Lines wait for the writer.
    filled: Condvar,
    /// A write ended.
    written: Condvar,
}

impl LogQueue {
    /// Starts a thread that writes to `output`.
    pub fn start<W: Write + Send + 'static>(mut output: W) -> std::io::Result<Self> {
        let queue = Self::default();
        let writer = queue.clone();
        std::thread::Builder::new().name("log-writer".to_owned()).spawn(move || {
            loop {
                let bytes = writer.take();
                // A log that cannot be written must not end the process.
                let _ = output.write_all(&bytes).and_then(|()| output.flush());
                writer.lock().writing = false;
                writer.shared.written.notify_all();
                std::thread::sleep(WRITE_PAUSE);
            }
        })?;
        Ok(queue)
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a line, which ends with a line feed; false when it was dropped.
    pub fn push(&self, level: Level, line: &[u8]) -> bool {
        let warning = level <= Level::Warn;
        let limit = if warning { BYTE_LIMIT } else { BYTE_LIMIT / 2 };
        let mut state = self.lock();
        if state.bytes.len() + line.len() > limit {
            let QueueState { unreported, dropped, .. } = &mut *state;
            for counts in [unreported, dropped] {
                match warning {
                    true => counts.warnings += 1,
                    false => counts.info += 1,
                }
            }
            return false;
        }
        state.bytes.extend_from_slice(line);
        drop(state);
        self.shared.filled.notify_one();
        true
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> DroppedLines {
        self.lock().dropped
    }

    /// Waits until everything is written, for at most `limit`.
    pub fn drain(&self, limit: Duration) {
        let is_busy = |state: &mut QueueState| !state.bytes.is_empty() || state.writing;
        let waited = self.shared.written.wait_timeout_while(self.lock(), limit, is_busy);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Waits for lines and takes all of them.
    fn take(&self) -> Vec<u8> {
        let mut state = self.lock();
        while state.bytes.is_empty() {
            state = self.shared.filled.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.writing = true;
        let mut bytes = std::mem::take(&mut state.bytes);
        let dropped = std::mem::take(&mut state.unreported);
        drop(state);
        if dropped != DroppedLines::default() {
            let DroppedLines { info, warnings } = dropped;
            let note = format!(
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"info\":{info},\"warnings\":{warnings}}}\n"
            );
            bytes.extend_from_slice(note.as_bytes());
        }
        bytes
    }
}
