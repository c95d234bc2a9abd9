//! Bounded queue of log lines with a writer thread.
//!
//! Logging never blocks on the consumer of the output: when the queue is full,
//! lines are dropped and counted. Lines of level info and below may fill only
//! half of the queue, so that frequent ones do not displace warnings.

use log::Level;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Capacity of the queue in bytes.
const CAPACITY_BYTES: usize = 512 << 10;
/// Pause between two writes, so that lines are written in batches.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct QueueState {
    bytes: Vec<u8>,
    /// Dropped lines not yet reported by a `log_lines_dropped` event.
    unreported: DroppedLines,
    dropped: DroppedLines,
    writing: bool,
}

/// Number of lines that were dropped because the queue was full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines of level info and below.
    pub info: u64,
    /// Lines of level warn and error.
    pub warnings: u64,
}

/// Queue of log lines; clones share one queue.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<SharedState>,
}

#[derive(Debug, Default)]
struct SharedState {
    state: Mutex<QueueState>,
    /// Signalled when a line was queued.
    filled: Condvar,
    /// Signalled when a write completed.
    written: Condvar,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes it to `output`. Fails
    /// when the thread cannot be started.
    pub fn start<W: Write + Send + 'static>(mut output: W) -> std::io::Result<Self> {
        let queue = Self::default();
        let writer = queue.clone();
        std::thread::Builder::new().name("log-writer".to_owned()).spawn(move || {
            loop {
                let bytes = writer.take();
                // A failure to write the log must not terminate the process.
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

    /// Queues a line, which must end with a newline. Returns false when it was
    /// dropped.
    pub fn push(&self, level: Level, line: &[u8]) -> bool {
        let warning = level <= Level::Warn;
        let limit = if warning { CAPACITY_BYTES } else { CAPACITY_BYTES / 2 };
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

    /// Lines dropped since the queue was created.
    pub fn dropped(&self) -> DroppedLines {
        self.lock().dropped
    }

    /// Blocks until all queued lines are written, for at most `timeout`.
    pub fn drain(&self, timeout: Duration) {
        let is_busy = |state: &mut QueueState| !state.bytes.is_empty() || state.writing;
        let result = self.shared.written.wait_timeout_while(self.lock(), timeout, is_busy);
        drop(result.unwrap_or_else(PoisonError::into_inner));
    }

    /// Blocks until lines are queued and returns them all, followed by a report
    /// of dropped lines if there were any.
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
            let report = format!(
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"info\":{info},\"warnings\":{warnings}}}\n"
            );
            bytes.extend_from_slice(report.as_bytes());
        }
        bytes
    }
}
