//! Merges the log lines of one request from the log files of several hosts.

use crate::error::CtlError;
use serde::Deserialize;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// A log line that belongs to the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainLine {
    /// Wall-clock time in milliseconds, raised where necessary so that it never decreases within
    /// a file.
    pub time_ms: u64,
    /// Name of the file that contains the line.
    pub file: String,
    /// Content of the line.
    pub text: String,
}

/// Number of irregular lines in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SkippedLines {
    /// Skipped lines that are not JSON objects with a time, such as a truncated last line.
    pub unreadable: usize,
    /// Lines with an earlier time than a line above, because the clock of the host was set back.
    pub stepped_back: usize,
}

#[derive(Deserialize)]
struct LogLine {
    time_ms: u64,
    #[serde(default)]
    request_id: Option<String>,
}

/// Reads the lines of request `id` from one log.
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
        // Log lines of a benchmark have a time and a host before the JSON object.
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

/// Prints the lines of a request from all files, ordered by time.
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
                "{}: {unreadable} lines were skipped because they are not log lines, {stepped_back} lines have an earlier time than a line above.",
                path.display()
            );
        }
    }
    // The sort is stable and so preserves the order of lines within a file.
    all.sort_by_key(|line| line.time_ms);
    for line in &all {
        println!("{} {}", line.file, line.text);
    }
    match all.is_empty() {
        true => Err(CtlError::Usage(format!(
            "No line mentions request {id}; a request that succeeds at the first attempt is logged only if it is sampled."
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
