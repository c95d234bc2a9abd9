//! Errors that end the router process.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::credentials::CredentialError;
use baobabfall_node::settings::SettingsError;
use miette::Diagnostic;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a router could not start or run.
#[derive(Debug, Error, Diagnostic)]
pub enum RouterError {
    /// The settings cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// A credential file cannot be used.
    #[error(transparent)]
    Credential(#[from] CredentialError),
    /// A listener cannot be bound.
    #[error("The address {address} of {key} cannot be bound: {reason}.")]
    Listen {
        /// Key of the address in the settings.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Reason given by the system.
        reason: String,
    },
    /// The runtime, the metrics or the signals cannot be set up.
    #[error("The process cannot be set up: {0}.")]
    Setup(String),
}

impl RouterError {
    /// Kind for the exit code.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Settings(_) | Self::Credential(_) | Self::Listen { .. } => {
                ErrorKind::InvalidSettings
            }
            Self::Setup(_) => ErrorKind::Internal,
        }
    }
}
