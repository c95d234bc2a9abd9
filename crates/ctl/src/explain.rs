//! Merges the log lines of one request from the files of several hosts.

use crate::error::CtlError;
use serde::Deserialize;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// One line about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainLine {
    /// Wall clock in milliseconds, never before the line above it in its file.
    pub time_ms: u64,
    /// File that holds it.
    pub file: String,
    /// The line as it was written.
    pub text: String,
}

/// Lines of a file that could not be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SkippedLines {
    /// Lines that are not JSON objects with a time, such as a cut-off last one.
    pub unreadable: usize,
    /// Times that lay before the line above: the clock of the host stepped back.
    pub stepped_back: usize,
}

#[derive(Deserialize)]
struct LogLine {
    time_ms: u64,
    #[serde(default)]
    request_id: Option<String>,
}

/// Reads the lines about `id` from one file.
///
/// ```
/// use baobabctl::explain::read_lines;
/// let log = b"{\"time_ms\":5,\"request_id\":\"a\"}\n{\"time_ms\":3,\"request_id\":\"a\"}\n{\"ti";
/// let (lines, skipped) = read_lines("a", "host-1", &log[..]);
/// assert_eq!(lines.iter().map(|line| line.time_ms).collect::<Vec<_>>(), [5, 5]);
/// assert_eq!((skipped.unreadable, skipped.stepped_back), (1, 1));
/// ```
pub fn read_lines(id: &str, file: &str, log: impl BufRead) -> (Vec<ExplainLine>, SkippedLines) {
    let (mut lines, mut skipped) = (Vec::new(), SkippedLines::default());
    let mut latest = 0;
    for bytes in log.split(b'\n').map_while(Result::ok) {
        if bytes.trim_ascii().is_empty() {
            continue;
        }
        // Lines of a bench carry a time and a host before the object.
        let start = bytes.iter().position(|byte| *byte == b'{').unwrap_or(0);
        let Ok(line) = serde_json::from_slice::<LogLine>(&bytes[start..]) else {
            skipped.unreadable += 1;
            continue;
        };
        if line.time_ms < latest {
            skipped.stepped_back += 1;
        }
        latest = latest.max(line.time_ms);
        if line.request_id.as_deref() == Some(id) {
            let text = String::from_utf8_lossy(&bytes).trim().to_owned();
            lines.push(ExplainLine { time_ms: latest, file: file.to_owned(), text });
        }
    }
    (lines, skipped)
}

/// Prints the lines about a request from all files in the order of their time.
pub fn run(id: &str, files: &[PathBuf]) -> Result<(), CtlError> {
    if files.is_empty() {
        return Err(CtlError::Usage("Name at least one log file.".to_owned()));
    }
    let mut all = Vec::new();
    for path in files {
        let (lines, skipped) = read_file(id, path)?;
        all.extend(lines);
        let SkippedLines { unreadable, stepped_back } = skipped;
        if unreadable > 0 || stepped_back > 0 {
            eprintln!(
                "{}: {unreadable} lines are not log lines and were skipped, {stepped_back} times lie before the line above.",
                path.display()
            );
        }
    }
    // The sort is stable, so lines of one file stay in their order.
    all.sort_by_key(|line| line.time_ms);
    for line in &all {
        println!("{} {}", line.file, line.text);
    }
    match all.is_empty() {
        true => Err(CtlError::Usage(format!(
            "No line names request {id}; a success at the first attempt has one only if it is in the sample."
        ))),
        false => Ok(()),
    }
}

fn read_file(id: &str, path: &Path) -> Result<(Vec<ExplainLine>, SkippedLines), CtlError> {
    let file = File::open(path).map_err(|error| CtlError::Unreadable {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(read_lines(id, &path.display().to_string(), BufReader::new(file)))
}
