//! Loads and validates TOML settings. Errors name the file, line and key.

use baobabfall_core::error_kind::ErrorKind;
use miette::Diagnostic;
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Maximum size of a settings file.
const SIZE_LIMIT_BYTES: u64 = 1 << 20;

/// An invalid value found by [`CheckedSettings::check`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Dotted key of the invalid value, such as `caller.listen`.
    pub key: String,
    /// What is wrong, or which values are accepted.
    pub message: String,
}

impl SettingsFault {
    /// Reports that the value of `key` is invalid.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        Self { key: key.into(), message: message.into() }
    }
}

/// Settings that validate their values after parsing.
pub trait CheckedSettings: DeserializeOwned {
    /// Returns the first value that is out of range or conflicts with another.
    fn check(&self) -> Result<(), SettingsFault>;
}

/// Reason why settings could not be loaded.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be opened, is too large, or is not valid UTF-8.
    #[error("The settings file {} cannot be read: {reason}.", path.display())]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system, or the exceeded limit.
        reason: String,
    },
    /// The file is not valid TOML, or a key or value is invalid.
    #[error("{}:{line}: {message}", path.display())]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number of the error, starting at 1.
        line: usize,
        /// The key and what is wrong with it.
        message: String,
    },
}

impl SettingsError {
    /// Error kind, from which the exit code is derived.
    pub fn kind(&self) -> ErrorKind {
        ErrorKind::InvalidSettings
    }
}

/// Reads, parses and validates the settings file at `path`.
pub fn load_settings<T: CheckedSettings>(path: &Path) -> Result<T, SettingsError> {
    let unreadable = |reason: String| SettingsError::Unreadable { path: path.to_owned(), reason };
    let size = std::fs::metadata(path).map_err(|error| unreadable(error.to_string()))?.len();
    if size > SIZE_LIMIT_BYTES {
        return Err(unreadable(format!("it is larger than {SIZE_LIMIT_BYTES} bytes")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    parse_settings(path, &text)
}

/// Parses and validates settings from `text`; `path` only appears in errors.
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

/// Line number of a dotted key, or of the header of its section when the key is
/// missing there, or 1.
fn line_of_key(text: &str, key: &str) -> usize {
    let (section, name) = key.rsplit_once('.').unwrap_or(("", key));
    let mut current_section = String::new();
    let mut section_line = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[') {
            current_section = header.trim_matches(|c| c == '[' || c == ']').trim().to_owned();
            if current_section == section {
                section_line = index + 1;
            }
        } else if current_section == section
            && line.split_once('=').is_some_and(|(found, _)| found.trim() == name)
        {
            return index + 1;
        }
    }
    section_line
}
