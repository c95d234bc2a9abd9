//! Errors of the local fleet.

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

/// Every way in which the local fleet can fail.
#[derive(Debug, Error, Diagnostic)]
pub enum LocalError {
    /// The arguments are wrong.
    #[error("{0}")]
    Usage(String),
    /// A file or folder cannot be written.
    #[error("{} cannot be written: {reason}.", path.display())]
    Unwritable {
        /// Path.
        path: PathBuf,
        /// Reason given by the system.
        reason: String,
    },
    /// A controller did not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Controller(#[from] ControllerError),
    /// A router did not start.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// Generated settings are not accepted.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A credential cannot be used.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// A stand-in upstream did not start.
    #[error("The stand-in upstream {name} cannot start: {reason}.")]
    Upstream {
        /// Its name.
        name: String,
        /// Reason given by the system.
        reason: String,
    },
    /// The example table has errors.
    #[error("The example table has errors: {0:?}.")]
    Table(Vec<TableFault>),
    /// The controllers did not take the table.
    #[error("The table was not accepted: {0}")]
    NotAccepted(PeerError),
    /// The fleet did not become ready.
    #[error("The fleet is not ready after {seconds} s; run with --log-level info to see why.")]
    NotReady {
        /// How long it was waited for.
        seconds: u64,
    },
}

impl LocalError {
    /// Exit code of the process.
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
