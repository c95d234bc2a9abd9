//! Credentials of operators, upstreams, processes and metric readers.
//!
//! Each file holds one or two tokens, one per line: the current one first and,
//! while a change goes through, the other accepted one. Files are read again
//! when they change, without a restart.

use arc_swap::ArcSwap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;

/// How often files are looked at for a change.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest accepted token in bytes.
pub const TOKEN_MINIMUM: usize = 16;
const TOKENS_LIMIT: usize = 2;

/// Why a credential file cannot be used.
#[derive(Debug, Error)]
pub enum CredentialError {
    /// The file cannot be read.
    #[error("The credential file {} cannot be read: {reason}.", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Reason given by the system.
        reason: String,
    },
    /// The file's content is not accepted.
    #[error(
        "The credential file {} must hold one or two lines of at least {TOKEN_MINIMUM} visible ASCII characters.",
        path.display()
    )]
    Invalid {
        /// Path of the file.
        path: PathBuf,
    },
}

#[derive(Debug)]
struct TokenSet {
    tokens: Vec<String>,
    hashes: Vec<[u8; 32]>,
    modified: Option<SystemTime>,
}

/// The tokens of one file, shared by all tasks of a process.
#[derive(Clone)]
pub struct CredentialFile {
    path: Arc<PathBuf>,
    current: Arc<ArcSwap<TokenSet>>,
}

impl std::fmt::Debug for CredentialFile {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CredentialFile").field("path", &self.path).finish_non_exhaustive()
    }
}

impl CredentialFile {
    /// Reads a credential file.
    pub fn open(path: &Path) -> Result<Self, CredentialError> {
        let set = read_tokens(path)?;
        Ok(Self { path: Arc::new(path.to_owned()), current: Arc::new(ArcSwap::from_pointee(set)) })
    }

    /// The token to send.
    pub fn token(&self) -> String {
        self.current.load().tokens[0].clone()
    }

    /// Compares a presented token in constant time with every accepted one.
    pub fn accepts(&self, presented: &str) -> bool {
        let hash = blake3::hash(presented.as_bytes());
        let mut found = Choice::from(0);
        for held in &self.current.load().hashes {
            found |= held.ct_eq(hash.as_bytes());
        }
        found.into()
    }

    /// Reads the file again if it changed; a faulty file leaves the held
    /// tokens in force.
    pub fn reload(&self) -> Result<bool, CredentialError> {
        if modified(&self.path) == self.current.load().modified {
            return Ok(false);
        }
        self.current.store(Arc::new(read_tokens(&self.path)?));
        Ok(true)
    }

    /// Reloads the file whenever it changes, until the task is dropped.
    pub async fn watch(self) {
        let mut interval = tokio::time::interval(RELOAD_INTERVAL);
        loop {
            interval.tick().await;
            let path = self.path.display().to_string();
            match self.reload() {
                Ok(true) => log::info!(path = path; "credential file reloaded"),
                Ok(false) => {}
                Err(error) => log::warn!(path = path; "credential file not reloaded: {error}"),
            }
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn read_tokens(path: &Path) -> Result<TokenSet, CredentialError> {
    let modified = modified(path);
    let text = std::fs::read_to_string(path).map_err(|error| CredentialError::Unreadable {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    let tokens: Vec<String> =
        text.lines().map(str::trim).filter(|line| !line.is_empty()).map(str::to_owned).collect();
    let valid = (1..=TOKENS_LIMIT).contains(&tokens.len())
        && tokens.iter().all(|token| {
            token.len() >= TOKEN_MINIMUM && token.bytes().all(|byte| byte.is_ascii_graphic())
        });
    if !valid {
        return Err(CredentialError::Invalid { path: path.to_owned() });
    }
    let hashes = tokens.iter().map(|token| *blake3::hash(token.as_bytes()).as_bytes()).collect();
    Ok(TokenSet { tokens, hashes, modified })
}

/// The bearer token of an `authorization` header value.
///
/// ```
/// use baobabfall_node::credentials::bearer_token;
/// assert_eq!(bearer_token("Bearer abc"), Some("abc"));
/// assert_eq!(bearer_token("Basic abc"), None);
/// ```
pub fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
