//! Errors that end a controller process.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::credentials::CredentialError;
use baobabfall_node::settings::SettingsError;
use miette::Diagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Reason why a controller can't start or can't continue to run.
#[derive(Debug, Error, Diagnostic)]
pub enum ControllerError {
    /// The settings file can't be read or is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A credential file can't be read or is not valid.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// The data folder does not exist.
    #[error("The data folder {} does not exist; create it on a disk of this host.", folder.display())]
    MissingFolder {
        /// Path of the data folder.
        folder: PathBuf,
    },
    /// The listener can't be bound to its address.
    #[error("Cannot listen on address {address}: {reason}.")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error message of the operating system.
        reason: String,
    },
    /// The stored state can't be loaded, or storage failed while the controller was running.
    #[error("{message}")]
    Storage {
        /// Error kind, which determines the exit code.
        kind: ErrorKind,
        /// Description of the failure and of what to do about it.
        message: String,
    },
    /// The metrics exporter can't be initialized.
    #[error("The metrics cannot be initialized: {0}.")]
    Metrics(String),
}

impl ControllerError {
    /// Exit code that the process ends with after this error.
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
