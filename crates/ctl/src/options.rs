//! Global options of `baobabctl`, validated and completed from the environment.

use crate::cli::Baobabctl;
use crate::error::CtlError;
use baobabfall_node::credentials::CredentialFile;
use std::net::SocketAddr;

/// Options that all commands share.
#[derive(Debug)]
pub struct CtlOptions {
    /// Addresses of the controllers, in the order in which they are tried.
    pub controllers: Vec<SocketAddr>,
    /// Operator credential; `None` if no file was given.
    pub credential: Option<CredentialFile>,
    /// Operator name that is recorded with edits.
    pub operator: String,
    /// Print JSON instead of tables.
    pub json: bool,
}

impl CtlOptions {
    /// Validates the global arguments. The defaults of the credential file and the
    /// addresses come from `BAOBABCTL_CREDENTIAL` and `BAOBABCTL_CONTROLLERS`.
    pub fn build(args: &Baobabctl) -> Result<Self, CtlError> {
        let mut controllers = args.controller.clone();
        if controllers.is_empty()
            && let Ok(list) = std::env::var("BAOBABCTL_CONTROLLERS")
        {
            for text in list.split(',') {
                let address = text.trim().parse().map_err(|_| {
                    CtlError::Usage(format!(
                        "BAOBABCTL_CONTROLLERS holds {text:?}; write addresses as IP:PORT,IP:PORT."
                    ))
                })?;
                controllers.push(address);
            }
        }
        let path = args
            .credential
            .clone()
            .or_else(|| std::env::var_os("BAOBABCTL_CREDENTIAL").map(Into::into));
        let credential = path.map(|path| CredentialFile::open(&path)).transpose()?;
        let operator = args
            .operator
            .clone()
            .or_else(|| std::env::var("USER").ok())
            .filter(|name| !name.is_empty())
            .unwrap_or_else(|| "operator".to_owned());
        Ok(Self { controllers, credential, operator, json: args.json })
    }
}
