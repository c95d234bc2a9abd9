//! Errors of a controller.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::credentials::CredentialError;
use baobabfall_node::settings::SettingsError;
use miette::Diagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Every way in which a controller can fail to start or to go on.
#[derive(Debug, Error, Diagnostic)]
pub enum ControllerError {
    /// The settings are wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A credential file cannot be used.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// The data folder does not exist.
    #[error("The data folder {} does not exist; create it on a disk of this host.", folder.display())]
    MissingFolder {
        /// The folder.
        folder: PathBuf,
    },
    /// The listener cannot be opened.
    #[error("Address {address} cannot be listened on: {reason}.")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Reason given by the system.
        reason: String,
    },
    /// The stored state cannot be used.
    #[error("{message}")]
    Storage {
        /// Kind of the failure.
        kind: ErrorKind,
        /// What happened and what to do.
        message: String,
    },
    /// The metrics cannot be set up.
    #[error("The metrics cannot be set up: {0}.")]
    Metrics(String),
}

impl ControllerError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        let kind = match self {
            Self::Settings(error) => error.kind(),
            Self::Credential(_) | Self::Listen { .. } => ErrorKind::InvalidSettings,
            Self::MissingFolder { .. } => ErrorKind::StorageFailed,
            Self::Storage { kind, .. } => *kind,
            Self::Metrics(_) => ErrorKind::Internal,
        };
        kind.answer().exit_code
    }
}
