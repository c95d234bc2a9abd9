//! Errors that prevent a run from completing.

use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Reason why a run could not be completed. A violated invariant is not an error.
#[derive(Debug, Error, Diagnostic)]
pub enum SoakError {
    /// The command-line arguments are invalid; the text says what is accepted.
    #[error("{0}")]
    Usage(String),
    /// A file or socket operation failed.
    #[error("The soak test cannot run: {0}.")]
    System(#[from] std::io::Error),
    /// A controller or router program could not be started.
    #[error("Failed to start {path}: {error}. Build the cargo workspace first or set --programs.")]
    Program {
        /// Path of the executable.
        path: PathBuf,
        /// Error that the operating system returned.
        error: std::io::Error,
    },
    /// The processes did not become ready, before any fault was injected.
    #[error("The processes did not become ready: {0}.")]
    NotReady(String),
}
