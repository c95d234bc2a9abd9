//! Checked options of `baobabctl`.

use crate::cli::Baobabctl;
use crate::error::CtlError;
use baobabfall_node::credentials::CredentialFile;
use std::net::SocketAddr;

/// Where and as whom commands run.
#[derive(Debug)]
pub struct CtlOptions {
    /// Controllers to try in order.
    pub controllers: Vec<SocketAddr>,
    /// Operator credential, when one is given.
    pub credential: Option<CredentialFile>,
    /// Name recorded with edits.
    pub operator: String,
    /// JSON in place of tables.
    pub json: bool,
}

impl CtlOptions {
    /// Checks the global arguments; credentials and addresses may also come
    /// from `BAOBABCTL_CREDENTIAL` and `BAOBABCTL_CONTROLLERS`.
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
