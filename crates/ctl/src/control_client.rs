//! Client of the operator API that tries the controllers in turn until one answers.

use crate::error::CtlError;
use crate::options::CtlOptions;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::operator_messages::{STATUS_PATH, StatusView};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of one request to one controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a call is retried while the controllers have no leader. It exceeds the
/// 3 s within which a new leader must be elected.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two rounds over the controllers.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Client that sends each call to the configured controllers in order.
#[derive(Debug)]
pub struct ControlClient {
    peers: Vec<PeerClient>,
    token: String,
}

impl ControlClient {
    /// Creates a client with the credential and addresses of `options`. Fails if either is missing.
    pub fn new(options: &CtlOptions) -> Result<Self, CtlError> {
        if options.controllers.is_empty() {
            let message = "Give at least one --controller IP:PORT, or set BAOBABCTL_CONTROLLERS.";
            return Err(CtlError::Usage(message.to_owned()));
        }
        let Some(credential) = &options.credential else {
            let message = "Give --credential FILE, or set BAOBABCTL_CREDENTIAL.";
            return Err(CtlError::Usage(message.to_owned()));
        };
        let peers = options.controllers.iter().map(|address| PeerClient::new(*address)).collect();
        Ok(Self { peers, token: credential.token() })
    }

    /// Reads the view at `path`.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CtlError> {
        Ok(self.exchange::<(), A>(path, None).await?)
    }

    /// Returns the status of the leader or, without one, of any controller that answers.
    pub async fn status(&self) -> Result<StatusView, CtlError> {
        let mut best: Result<StatusView, PeerError> = self.status_of(0).await;
        for index in 1..self.peers.len() {
            if best.as_ref().is_ok_and(|view| view.quorum) {
                break;
            }
            match self.status_of(index).await {
                Ok(view) if view.quorum || best.is_err() => best = Ok(view),
                Ok(_) => {}
                Err(error) => best = best.or(Err(error)),
            }
        }
        Ok(best?)
    }

    async fn status_of(&self, index: usize) -> Result<StatusView, PeerError> {
        self.peers[index].call_json::<(), _>(STATUS_PATH, &self.token, None, CALL_TIMEOUT).await
    }

    /// Sends an edit. Each controller that is tried gets the same message, so that the
    /// edit id prevents the edit from being applied twice.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
    ) -> Result<A, PeerError> {
        self.exchange(path, Some(message)).await
    }

    async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: Option<&Q>,
    ) -> Result<A, PeerError> {
        let end = Instant::now() + LEADER_TIMEOUT;
        loop {
            let mut last = None;
            for peer in &self.peers {
                match peer.call_json(path, &self.token, message, CALL_TIMEOUT).await {
                    Ok(answer) => return Ok(answer),
                    Err(error) if is_retryable(error.kind()) => last = Some(prefer(last, error)),
                    Err(error) => return Err(error),
                }
            }
            if let Some(error) = last.filter(|_| Instant::now() >= end) {
                return Err(error);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Returns true for errors after which another controller or a later retry may succeed.
fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::PeerUnreachable
            | ErrorKind::NotLeader
            | ErrorKind::NoQuorum
            | ErrorKind::Stopping
            | ErrorKind::NotReady
    )
}

/// Selects the error to report: the refusal of a controller is more informative than an
/// unreachable address.
fn prefer(best: Option<PeerError>, next: PeerError) -> PeerError {
    match best {
        Some(best) if best.kind() != ErrorKind::PeerUnreachable => best,
        _ => next,
    }
}
