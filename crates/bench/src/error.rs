//! Errors of the bench.

use miette::Diagnostic;
use thiserror::Error;

/// Exit code of wrong usage.
const USAGE_EXIT_CODE: u8 = 2;
/// Exit code of an experiment that could not be carried out.
const FAILURE_EXIT_CODE: u8 = 3;

/// Why an experiment has no result.
#[derive(Debug, Error, Diagnostic)]
pub enum BenchError {
    /// The arguments are wrong.
    #[error("{0}")]
    Usage(String),
    /// The system refused a socket, file or thread.
    #[error("The experiment cannot run: {0}.")]
    System(#[from] std::io::Error),
    /// A role did not start or did not become ready.
    #[error("The fleet did not start: {0}.")]
    Fleet(String),
    /// A phase gave nothing to measure.
    #[error("The experiment has no result: {0}.")]
    Empty(String),
}

impl BenchError {
    /// Exit code of the process; 1 is kept for missed targets.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => USAGE_EXIT_CODE,
            _ => FAILURE_EXIT_CODE,
        }
    }
}
