//! Errors of the report; each message is a sentence that says what to change.

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code when the command line, settings or an output file is at fault.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when there is nothing to report on.
pub const EXIT_NO_DATA: u8 = 3;

/// Everything that ends the program early.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum BurnError {
    /// An argument is wrong.
    #[error("The argument {argument} is wrong: {message}")]
    #[diagnostic(help("`baobabfall-burn --help` shows examples."))]
    Usage {
        /// Argument concerned.
        argument: &'static str,
        /// What is wrong and what is accepted.
        message: String,
    },
    /// The objectives file is wrong.
    #[error("{}, line {line}, key `{key}`: {message}", file.display())]
    #[diagnostic(help("`examples/objectives.toml` shows every key."))]
    Settings {
        /// File concerned.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Dotted key.
        key: String,
        /// What is wrong and what is accepted.
        message: String,
    },
    /// A file cannot be read or written.
    #[error("The file {} cannot be {action}: {reason}.", file.display())]
    File {
        /// File concerned.
        file: PathBuf,
        /// `read` or `written`.
        action: &'static str,
        /// Reason given by the system.
        reason: std::io::Error,
    },
    /// The runtime did not start.
    #[error("The runtime cannot start: {0}.")]
    Runtime(#[source] std::io::Error),
    /// A plot could not be drawn.
    #[error("The plot cannot be drawn: {0}.")]
    Plot(String),
    /// No sample could be used.
    #[error("There is no sample to report on: {0}")]
    #[diagnostic(help(
        "Record samples with `baobabfall-burn record`, or name routers by --scrape."
    ))]
    NoData(String),
}

impl BurnError {
    /// The process exit code for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NoData(_) => ExitCode::from(EXIT_NO_DATA),
            _ => ExitCode::from(EXIT_USAGE),
        }
    }
}
