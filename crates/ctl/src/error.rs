//! Errors of `baobabctl` and their exit codes.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::workspace_table::{RowChange, TableFault};
use baobabfall_node::credentials::CredentialError;
use baobabfall_node::http_client::PeerError;
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Exit code when the time limit of a waiting command passes.
pub const LAGGING_EXIT_CODE: u8 = 15;

/// Reason why a command failed; determines the exit code.
#[derive(Debug, Error, Diagnostic)]
pub enum CtlError {
    /// The arguments are invalid; the text says what is accepted.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{} cannot be read: {reason}.", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error text of the operating system.
        reason: String,
    },
    /// The credential file cannot be read or has invalid content.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// The CSV table has invalid content.
    #[error("{} has {} errors:\n{}", path.display(), faults.len(), fault_lines(faults))]
    Table {
        /// Path of the file.
        path: PathBuf,
        /// All errors that were found.
        faults: Vec<TableFault>,
    },
    /// Another edit was accepted since the base revision.
    #[error(
        "The table is at revision {revision}, your edit was based on {base}. Changed since then: {}. Export the table, repeat your change and apply it again.",
        changed_names(changes)
    )]
    Conflict {
        /// Current revision of the table.
        revision: u64,
        /// Revision that the rejected edit was based on.
        base: u64,
        /// Changes between the two revisions.
        changes: Vec<RowChange>,
    },
    /// A controller rejected the request.
    #[error("{message}")]
    Refused {
        /// Error kind, which determines the exit code.
        kind: ErrorKind,
        /// Message from the controller.
        message: String,
    },
    /// No controller answered.
    #[error("No controller answered: {reason} Check the --controller addresses.")]
    Unreachable {
        /// Text of the error that was reported last.
        reason: String,
    },
    /// The time limit of a waiting command passed; the text names what is still missing.
    #[error("{0}")]
    Lagging(String),
}

fn fault_lines(faults: &[TableFault]) -> String {
    faults.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n")
}

fn changed_names(changes: &[RowChange]) -> String {
    match changes {
        [] => "no row".to_owned(),
        changes => changes.iter().map(RowChange::name).collect::<Vec<_>>().join(", "),
    }
}

impl CtlError {
    /// Returns the exit code with which the process ends.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Unreadable { .. } | Self::Credential(_) => {
                ErrorKind::MalformedRequest.answer().exit_code
            }
            Self::Table { .. } => ErrorKind::InvalidTable.answer().exit_code,
            Self::Conflict { .. } => ErrorKind::RevisionConflict.answer().exit_code,
            Self::Refused { kind, .. } => kind.answer().exit_code,
            Self::Unreachable { .. } => ErrorKind::PeerUnreachable.answer().exit_code,
            Self::Lagging(_) => LAGGING_EXIT_CODE,
        }
    }
}

impl From<PeerError> for CtlError {
    fn from(error: PeerError) -> Self {
        match error {
            PeerError::Unreachable { .. } => Self::Unreachable { reason: error.to_string() },
            PeerError::Refused { kind, message, .. } => Self::Refused { kind, message },
        }
    }
}
