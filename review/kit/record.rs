//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines with the time since the start of the test. Clones share the lines.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), lines: Arc::default(), file })
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", at.as_secs_f64());
        lines.push((at, text.to_owned()));
    }

    pub fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.lock().unwrap().clone()
    }
}
