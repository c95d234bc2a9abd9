//! Errors of the soak.

use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Why a run has no result.
#[derive(Debug, Error, Diagnostic)]
pub enum SoakError {
    /// The arguments are wrong.
    #[error("{0}")]
    Usage(String),
    /// The system refused a file or socket.
    #[error("The soak cannot run: {0}.")]
    System(#[from] std::io::Error),
    /// A program could not be started.
    #[error("{path} cannot be started: {error}. Build the workspace first or name --programs.")]
    Program {
        /// The program.
        path: PathBuf,
        /// Reason of the system.
        error: std::io::Error,
    },
    /// The site did not become ready before any fault.
    #[error("The site did not become ready: {0}.")]
    NotReady(String),
}
