//! Credentials of operators, upstreams, processes and metrics clients.
//!
//! A credential file holds one or two tokens, one per line. The first is the
//! current token; the second is also accepted while tokens are rotated. Files
//! are reloaded when they change, without a restart.

use arc_swap::ArcSwap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;

/// Interval at which a credential file is checked for changes.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest accepted token in bytes.
pub const TOKEN_MINIMUM: usize = 16;
const TOKENS_LIMIT: usize = 2;

/// Reason why a credential file cannot be used.
#[derive(Debug, Error)]
pub enum CredentialError {
    /// The file cannot be opened or is not valid UTF-8.
    #[error("The credential file {} cannot be read: {reason}.", path.display())]
    Unreadable {
        /// Path of the credential file.
        path: PathBuf,
        /// Error reported by the operating system.
        reason: String,
    },
    /// The number or form of the tokens is invalid.
    #[error(
        "The credential file {} must hold one or two lines of at least {TOKEN_MINIMUM} visible ASCII characters.",
        path.display()
    )]
    Invalid {
        /// Path of the credential file.
        path: PathBuf,
    },
}

#[derive(Debug)]
struct TokenSet {
    tokens: Vec<String>,
    hashes: Vec<[u8; 32]>,
    modified: Option<SystemTime>,
}

/// The tokens of one credential file; clones share them, also after a reload.
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
    /// Reads the credential file at `path` and checks its tokens.
    pub fn open(path: &Path) -> Result<Self, CredentialError> {
        let tokens = read_tokens(path)?;
        Ok(Self {
            path: Arc::new(path.to_owned()),
            current: Arc::new(ArcSwap::from_pointee(tokens)),
        })
    }

    /// The current token, which this process sends to others.
    pub fn token(&self) -> String {
        self.current.load().tokens[0].clone()
    }

    /// True when `presented` is one of the accepted tokens. The comparison takes
    /// constant time.
    pub fn accepts(&self, presented: &str) -> bool {
        let hash = blake3::hash(presented.as_bytes());
        let mut matched = Choice::from(0);
        for accepted in &self.current.load().hashes {
            matched |= accepted.ct_eq(hash.as_bytes());
        }
        matched.into()
    }

    /// Reloads the file if its modification time changed, and returns true if it
    /// did. When the file is invalid, the previous tokens stay in force.
    pub fn reload(&self) -> Result<bool, CredentialError> {
        if modified(&self.path) == self.current.load().modified {
            return Ok(false);
        }
        self.current.store(Arc::new(read_tokens(&self.path)?));
        Ok(true)
    }

    /// Checks the file every [`RELOAD_INTERVAL`] and reloads it when it changed.
    /// Never returns.
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

/// Extracts the bearer token from the value of an `authorization` header.
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
