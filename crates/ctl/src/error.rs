//! Errors of `baobabctl`.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::workspace_table::{RowChange, TableFault};
use baobabfall_node::credentials::CredentialError;
use baobabfall_node::http_client::PeerError;
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Exit code when nodes lag behind at the time limit of `--wait`.
pub const LAGGING_EXIT_CODE: u8 = 15;

/// Every way in which a command can fail.
#[derive(Debug, Error, Diagnostic)]
pub enum CtlError {
    /// The arguments are wrong.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{} cannot be read: {reason}.", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Reason given by the system.
        reason: String,
    },
    /// The credential file cannot be used.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// The table file has errors.
    #[error("{} has {} errors:\n{}", path.display(), faults.len(), list(faults))]
    Table {
        /// Path of the file.
        path: PathBuf,
        /// Every fault.
        faults: Vec<TableFault>,
    },
    /// Another edit won.
    #[error(
        "The table is at revision {revision}, your edit was based on {base}. Since then changed: {}. Export the table, repeat your change and apply it again.",
        names(changes)
    )]
    Conflict {
        /// Revision in force.
        revision: u64,
        /// Base of the refused edit.
        base: u64,
        /// What changed in between.
        changes: Vec<RowChange>,
    },
    /// A controller refused the call.
    #[error("{message}")]
    Refused {
        /// Kind of the refusal.
        kind: ErrorKind,
        /// Message of the controller.
        message: String,
    },
    /// No controller answered.
    #[error("No controller answered: {reason} Check the --controller addresses.")]
    Unreachable {
        /// Last failure.
        reason: String,
    },
    /// The time limit of a waiting command passed.
    #[error("{0}")]
    Lagging(String),
}

fn list(faults: &[TableFault]) -> String {
    faults.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n")
}

fn names(changes: &[RowChange]) -> String {
    match changes {
        [] => "no row".to_owned(),
        changes => changes.iter().map(RowChange::name).collect::<Vec<_>>().join(", "),
    }
}

impl CtlError {
    /// Exit code of the process.
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
