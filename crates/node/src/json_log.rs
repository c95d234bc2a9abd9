//! Loggers that write each record as one JSON object per line.

use crate::log_queue::LogQueue;
use crate::units::wall_clock_ms;
use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{Config, SharedLogger};
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;

/// Writes log records as JSON lines with time, level, target, message and the
/// record's key-value fields. The caller blocks while the line is written.
pub struct JsonLogger<W> {
    level: LevelFilter,
    config: Config,
    output: Mutex<W>,
}

impl<W: Write + Send + 'static> JsonLogger<W> {
    /// Creates a logger that writes records up to verbosity `level` to `output`.
    pub fn new(level: LevelFilter, output: W) -> Self {
        Self { level, config: Config::default(), output: Mutex::new(output) }
    }
}

struct FieldVisitor<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let json = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Formats a record as a JSON object, without a trailing newline.
fn format_line(record: &Record<'_>) -> String {
    let mut line = serde_json::Map::new();
    line.insert("time_ms".into(), wall_clock_ms().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
    serde_json::Value::Object(line).to_string()
}

impl<W: Write + Send + 'static> Log for JsonLogger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let text = format_line(record);
        if let Ok(mut output) = self.output.lock() {
            // A failure to write the log must not terminate the process.
            let _ = writeln!(output, "{text}");
        }
    }

    fn flush(&self) {
        if let Ok(mut output) = self.output.lock() {
            let _ = output.flush();
        }
    }
}

impl<W: Write + Send + 'static> SharedLogger for JsonLogger<W> {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        Some(&self.config)
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

/// Installs a blocking JSON logger on standard error for the whole process.
///
/// Has no effect when a logger is already installed.
pub fn install(level: LevelFilter) {
    let logger = Box::new(JsonLogger::new(level, std::io::stderr()));
    if log::set_boxed_logger(logger.as_log()).is_ok() {
        log::set_max_level(level);
    }
}

/// Maximum time that a flush waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Logger that queues lines for a writer thread, so that logging never blocks.
struct QueuedLogger {
    level: LevelFilter,
    queue: LogQueue,
}

impl Log for QueuedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let mut line = format_line(record);
            line.push('\n');
            self.queue.push(record.level(), line.as_bytes());
        }
    }

    fn flush(&self) {
        self.queue.drain(FLUSH_TIMEOUT);
    }
}

/// Installs a non-blocking JSON logger on standard output, for processes that
/// serve requests. Call `log::logger().flush()` before the process exits.
///
/// Falls back to [`install`] when the writer thread cannot be started.
pub fn install_queued(level: LevelFilter) {
    let Ok(queue) = LogQueue::start(std::io::stdout()) else { return install(level) };
    if log::set_boxed_logger(Box::new(QueuedLogger { level, queue })).is_ok() {
        log::set_max_level(level);
    }
}
