//! Errors of the local fleet and their exit codes.

use baobabfall_controller::error::ControllerError;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::workspace_table::TableFault;
use baobabfall_node::credentials::CredentialError;
use baobabfall_node::http_client::PeerError;
use baobabfall_node::settings::SettingsError;
use baobabfall_router::RouterError;
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Errors that end the local fleet.
#[derive(Debug, Error, Diagnostic)]
pub enum LocalError {
    /// A command-line argument is invalid; the text says which values are accepted.
    #[error("{0}")]
    Usage(String),
    /// A file or folder in the data folder cannot be written.
    #[error("{} cannot be written: {reason}.", path.display())]
    Unwritable {
        /// Path of the file or folder.
        path: PathBuf,
        /// Reason given by the system.
        reason: String,
    },
    /// A controller failed to start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Controller(#[from] ControllerError),
    /// A router failed to start.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// The generated settings of a role are invalid or cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A credential file cannot be read or is invalid.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// A simulated upstream failed to start.
    #[error("The simulated upstream {name} cannot start: {reason}.")]
    Upstream {
        /// Name of the upstream.
        name: String,
        /// Reason given by the system.
        reason: String,
    },
    /// The example workspace table is invalid.
    #[error("The example table has errors: {0:?}.")]
    Table(Vec<TableFault>),
    /// Applying the example table failed with an error that a retry doesn't resolve.
    #[error("The table was not accepted: {0}")]
    NotAccepted(PeerError),
    /// The fleet did not become ready before the timeout.
    #[error("The fleet is not ready after {seconds} s; run with --log-level info to see why.")]
    NotReady {
        /// Timeout in seconds.
        seconds: u64,
    },
}

impl LocalError {
    /// Exit code of the process, taken from the matching error kind.
    pub fn exit_code(&self) -> u8 {
        let kind = match self {
            Self::Usage(_) => ErrorKind::MalformedRequest,
            Self::Unwritable { .. } => ErrorKind::StorageFailed,
            Self::Controller(error) => return error.exit_code(),
            Self::Router(_) | Self::Settings(_) | Self::Credential(_) => ErrorKind::InvalidSettings,
            Self::Upstream { .. } | Self::NotReady { .. } => ErrorKind::NotReady,
            Self::Table(_) => ErrorKind::InvalidTable,
            Self::NotAccepted(error) => error.kind(),
        };
        kind.answer().exit_code
    }
}
