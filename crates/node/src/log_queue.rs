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
    /// Lines dropped that no note has told yet.
    untold: DroppedLines,
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
    state: Arc<(Mutex<QueueState>, Condvar)>,
}

impl LogQueue {
    /// Starts a thread that writes to `output`.
    pub fn start<W: Write + Send + 'static>(mut output: W) -> std::io::Result<Self> {
        let queue = Self::default();
        let shared = queue.clone();
        std::thread::Builder::new().name("log-writer".to_owned()).spawn(move || {
            loop {
                let bytes = shared.take();
                // A log that cannot be written must not end the process.
                let _ = output.write_all(&bytes).and_then(|()| output.flush());
                shared.lock().writing = false;
                std::thread::sleep(WRITE_PAUSE);
            }
        })?;
        Ok(queue)
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a line, which ends with a line feed; false when it was dropped.
    pub fn push(&self, level: Level, line: &[u8]) -> bool {
        let warning = level <= Level::Warn;
        let limit = if warning { BYTE_LIMIT } else { BYTE_LIMIT / 2 };
        let mut state = self.lock();
        if state.bytes.len() + line.len() > limit {
            let QueueState { untold, dropped, .. } = &mut *state;
            for counts in [untold, dropped] {
                match warning {
                    true => counts.warnings += 1,
                    false => counts.info += 1,
                }
            }
            return false;
        }
        state.bytes.extend_from_slice(line);
        drop(state);
        self.state.1.notify_one();
        true
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> DroppedLines {
        self.lock().dropped
    }

    /// Waits until everything is written, for at most `limit`.
    pub fn drain(&self, limit: Duration) {
        const STEP: Duration = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        while waited < limit {
            let state = self.lock();
            if state.bytes.is_empty() && !state.writing {
                return;
            }
            drop(state);
            std::thread::sleep(STEP);
            waited += STEP;
        }
    }

    /// Waits for lines and takes all of them.
    fn take(&self) -> Vec<u8> {
        let mut state = self.lock();
        while state.bytes.is_empty() {
            state = self.state.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.writing = true;
        let mut bytes = std::mem::take(&mut state.bytes);
        let dropped = std::mem::take(&mut state.untold);
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
