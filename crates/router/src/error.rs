//! Errors that prevent the router from starting or end its process.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::credentials::CredentialError;
use baobabfall_node::settings::SettingsError;
use miette::Diagnostic;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a router could not start or run.
#[derive(Debug, Error, Diagnostic)]
pub enum RouterError {
    /// The settings file is missing or invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A credential file cannot be read or is invalid.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// The address of a listener cannot be bound.
    #[error("The address {address} of {key} cannot be bound: {reason}.")]
    Listen {
        /// Settings key that holds the address.
        key: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        reason: String,
    },
    /// The async runtime, the metrics or the signal handlers cannot be set up.
    #[error("The process cannot be set up: {0}.")]
    Setup(String),
}

impl RouterError {
    /// The error kind, which determines the exit code of the process.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Settings(_) | Self::Credential(_) | Self::Listen { .. } => {
                ErrorKind::InvalidSettings
            }
            Self::Setup(_) => ErrorKind::Internal,
        }
    }
}
