//! Calls to the operators' interface of whichever controller answers.

use crate::error::CtlError;
use crate::options::CtlOptions;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::operator_messages::{STATUS_PATH, StatusView};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::time::Instant;

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long calls are repeated while the controllers have no leader; longer
/// than the 3 s within which a new leader is due.
const LEADER_WAIT: Duration = Duration::from_secs(5);
/// Pause between two rounds over the controllers.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Client of the group of controllers.
#[derive(Debug)]
pub struct ControlClient {
    peers: Vec<PeerClient>,
    token: String,
}

impl ControlClient {
    /// A client with the credential and addresses of the options.
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

    /// Reads a view.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CtlError> {
        Ok(self.exchange::<(), A>(path, None).await?)
    }

    /// Status of the leader; without one, that of any controller that answers.
    pub async fn status(&self) -> Result<StatusView, CtlError> {
        let mut held: Result<StatusView, PeerError> = self.status_of(0).await;
        for index in 1..self.peers.len() {
            if held.as_ref().is_ok_and(|view| view.quorum) {
                break;
            }
            match self.status_of(index).await {
                Ok(view) if view.quorum || held.is_err() => held = Ok(view),
                Ok(_) => {}
                Err(error) => held = held.or(Err(error)),
            }
        }
        Ok(held?)
    }

    async fn status_of(&self, index: usize) -> Result<StatusView, PeerError> {
        self.peers[index].call_json::<(), _>(STATUS_PATH, &self.token, None, CALL_TIMEOUT).await
    }

    /// Sends an edit; the same bytes go to each controller that is tried, so
    /// the edit id keeps it from taking effect twice.
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
        let end = Instant::now() + LEADER_WAIT;
        loop {
            let mut last = None;
            for peer in &self.peers {
                match peer.call_json(path, &self.token, message, CALL_TIMEOUT).await {
                    Ok(answer) => return Ok(answer),
                    Err(error) if is_passing(error.kind()) => last = Some(prefer(last, error)),
                    Err(error) => return Err(error),
                }
            }
            if let Some(error) = last.filter(|_| Instant::now() >= end) {
                return Err(error);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }
}

/// True for refusals that another controller or a later moment may lift.
fn is_passing(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::PeerUnreachable
            | ErrorKind::NotLeader
            | ErrorKind::NoQuorum
            | ErrorKind::Stopping
            | ErrorKind::NotReady
    )
}

/// A controller's own refusal says more than an address that does not answer.
fn prefer(held: Option<PeerError>, next: PeerError) -> PeerError {
    match held {
        Some(held) if held.kind() != ErrorKind::PeerUnreachable => held,
        _ => next,
    }
}
