//! Tests of the log line queue and of the list of log events.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_node::log_events::LOG_EVENTS;
use baobabfall_node::log_queue::LogQueue;
use log::Level;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Output that blocks each write until the test opens the gate.
struct GatedOutput {
    gate: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.gate.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against tasks that block on logging when the consumer of the output
/// stops reading. Instead, lines are dropped and counted, and warnings are still
/// accepted when the queue is full for info lines.
#[test]
fn push_stopped_reader_drops_and_counts() {
    let (open, gate) = channel();
    let (written, output) = channel();
    let queue = LogQueue::start(GatedOutput { gate, written }).unwrap();
    let line = [&[b'x'; 999][..], b"\n"].concat();
    let mut accepted = 0;
    while queue.push(Level::Info, &line) {
        accepted += 1;
    }
    assert!(accepted > 100);
    assert!(queue.push(Level::Warn, b"{\"kept\":1}\n"));
    assert!(queue.dropped().info > 0);
    assert_eq!(queue.dropped().warnings, 0);
    queue.drain(Duration::from_millis(20));
    drop(open);
    let mut text = String::new();
    while !text.contains("log_lines_dropped") {
        let bytes = output.recv_timeout(Duration::from_secs(20)).unwrap();
        text.push_str(&String::from_utf8(bytes).unwrap());
    }
    assert!(text.contains("{\"kept\":1}"));
    assert!(text.contains("\"warnings\":0"));
}

fn find_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && !matches!(name, "target" | "tests") {
            find_sources(&path, found);
        } else if name.ends_with(".rs") {
            found.push(path);
        }
    }
}

/// Guards against undocumented log events: every event in the sources must be in
/// the list and on the operations page, and every listed event must be used.
#[test]
fn log_events_match_sources_and_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    find_sources(&root.join("crates"), &mut files);
    find_sources(&root.join("platform"), &mut files);
    let mut used: Vec<String> = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap();
        for part in text.split("event = \"").skip(1) {
            used.push(part.split('"').next().unwrap().to_owned());
        }
    }
    used.push("log_lines_dropped".to_owned());
    used.sort();
    used.dedup();
    let mut listed: Vec<String> = LOG_EVENTS.iter().map(|event| event.name.to_owned()).collect();
    listed.sort();
    assert_eq!(used, listed);
    let page = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    for event in LOG_EVENTS {
        assert!(page.contains(&format!("`{}`", event.name)), "{} is not on the page", event.name);
    }
}
