//! Loading of TOML settings with errors that name file, line and key.

use baobabfall_core::error_kind::ErrorKind;
use miette::Diagnostic;
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Largest settings file in bytes.
const SETTINGS_LIMIT: u64 = 1 << 20;

/// A fault found by the checks across fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Dotted key, such as `caller.listen`.
    pub key: String,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl SettingsFault {
    /// A fault of one key.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        Self { key: key.into(), message: message.into() }
    }
}

/// Settings that can check themselves as a whole.
pub trait CheckedSettings: DeserializeOwned {
    /// Finds the first clash or value out of range.
    fn check(&self) -> Result<(), SettingsFault>;
}

/// Why settings cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("The settings file {} cannot be read: {reason}.", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Reason given by the system.
        reason: String,
    },
    /// A line of the file is wrong.
    #[error("{}:{line}: {message}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Key, what is wrong and what is accepted.
        message: String,
    },
}

impl SettingsError {
    /// Kind for the exit code.
    pub fn kind(&self) -> ErrorKind {
        ErrorKind::InvalidSettings
    }
}

/// Reads, parses and checks a settings file.
pub fn load_settings<T: CheckedSettings>(path: &Path) -> Result<T, SettingsError> {
    let unreadable = |reason: String| SettingsError::Unreadable { path: path.to_owned(), reason };
    let size = std::fs::metadata(path).map_err(|error| unreadable(error.to_string()))?.len();
    if size > SETTINGS_LIMIT {
        return Err(unreadable(format!("it is larger than {SETTINGS_LIMIT} bytes")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    parse_settings(path, &text)
}

/// Parses and checks settings given as text; `path` is used in errors only.
pub fn parse_settings<T: CheckedSettings>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let invalid = |line: usize, message: String| SettingsError::Invalid {
        path: path.to_owned(),
        line,
        message,
    };
    let settings: T = toml::from_str(text).map_err(|error| {
        let span = error.span().unwrap_or(0..0);
        let key = key_at(text, &span).map(|key| format!("{key}: ")).unwrap_or_default();
        invalid(line_of(text, span.start), format!("{key}{}", error.message()))
    })?;
    settings.check().map_err(|fault| {
        invalid(line_of_key(text, &fault.key), format!("{}: {}", fault.key, fault.message))
    })?;
    Ok(settings)
}

fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

fn key_at(text: &str, span: &Range<usize>) -> Option<String> {
    let start = text.get(..span.start)?.rfind('\n').map_or(0, |index| index + 1);
    let line = text.get(start..)?.lines().next()?;
    let (key, _) = line.split_once('=')?;
    Some(key.trim().to_owned())
}

/// Line on which a dotted key stands, or the line of its nearest section.
fn line_of_key(text: &str, key: &str) -> usize {
    let (section, name) = key.rsplit_once('.').unwrap_or(("", key));
    let mut current = String::new();
    let mut section_line = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[') {
            current = header.trim_matches(|c| c == '[' || c == ']').trim().to_owned();
            if current == section {
                section_line = index + 1;
            }
        } else if current == section
            && line.split_once('=').is_some_and(|(held, _)| held.trim() == name)
        {
            return index + 1;
        }
    }
    section_line
}
