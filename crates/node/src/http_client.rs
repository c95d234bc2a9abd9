//! HTTP/2 client for peers: one multiplexed connection each.

use crate::codec::{self, MESSAGE_LIMIT};
use crate::counted_stream::{CountedStream, ReadCount};
use crate::http_server::ErrorBody;
use crate::tcp_options::set_user_timeout;
use baobabfall_core::error_kind::ErrorKind;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Time in which a connection to a peer must be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to a peer failed.
#[derive(Clone, Debug, Error)]
pub enum PeerError {
    /// No connection, or no answer in time.
    #[error("{address} did not answer: {reason}.")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The peer refused the call.
    #[error("{message}")]
    Refused {
        /// Kind of the refusal.
        kind: ErrorKind,
        /// Message of the peer.
        message: String,
        /// Whole body of the refusal.
        body: Bytes,
    },
}

impl PeerError {
    /// Kind for answers and exit codes.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Unreachable { .. } => ErrorKind::PeerUnreachable,
            Self::Refused { kind, .. } => *kind,
        }
    }
}

/// Client of one peer; reconnects when the connection is lost.
#[derive(Debug)]
pub struct PeerClient {
    address: SocketAddr,
    held: Mutex<Option<HeldConnection>>,
}

/// A connection and what came from the peer on it.
#[derive(Clone, Debug)]
struct HeldConnection {
    sender: SendRequest<Full<Bytes>>,
    reads: ReadCount,
}

impl PeerClient {
    /// A client of the peer at `address`; connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, held: Mutex::new(None) }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn unreachable(&self, reason: impl ToString) -> PeerError {
        PeerError::Unreachable { address: self.address, reason: reason.to_string() }
    }

    async fn connected(&self) -> Result<HeldConnection, PeerError> {
        let mut held = self.held.lock().await;
        if let Some(connection) = held.as_ref().filter(|held| !held.sender.is_closed()) {
            return Ok(connection.clone());
        }
        let reads = ReadCount::default();
        let counted = reads.clone();
        let connect = async {
            let stream = TcpStream::connect(self.address).await.map_err(|e| self.unreachable(e))?;
            let _ = stream.set_nodelay(true);
            set_user_timeout(&stream);
            http2::Builder::new(TokioExecutor::new())
                .timer(TokioTimer::new())
                .keep_alive_interval(Duration::from_secs(2))
                .keep_alive_timeout(Duration::from_secs(2))
                .handshake(TokioIo::new(CountedStream::new(stream, counted)))
                .await
                .map_err(|error| self.unreachable(error))
        };
        let (sender, connection) = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| self.unreachable("the connection was not established in time"))??;
        tokio::spawn(connection);
        Ok(held.insert(HeldConnection { sender, reads }).clone())
    }

    /// Drops the connection that a call used in vain, if nothing came from the
    /// peer since `reads`: it vanished without closing and would hold every
    /// later call until its timeout. A peer that answers others is slow, or
    /// this process is, and a new connection would make that worse.
    async fn drop_silent(&self, used: &HeldConnection, reads: u64) {
        // What has arrived by now is read before the count is looked at.
        tokio::task::yield_now().await;
        if used.reads.get() != reads && !used.sender.is_closed() {
            return;
        }
        let mut held = self.held.lock().await;
        if held.as_ref().is_some_and(|held| held.reads.is_same(&used.reads)) {
            *held = None;
        }
    }

    /// Sends a request and reads the whole answer within `timeout`.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        token: &str,
        content_type: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        let mut used = None;
        let exchange = async {
            let connection = self.connected().await?;
            let mut sender = connection.sender.clone();
            let reads = connection.reads.get();
            used = Some((connection, reads));
            let mut request = Request::builder()
                .method(method)
                .uri(format!("http://{}{path}", self.address))
                .header(HOST, self.address.to_string())
                .header(CONTENT_TYPE, content_type)
                .body(Full::new(body))
                .map_err(|error| self.unreachable(error))?;
            if let Ok(mut value) = HeaderValue::from_str(&format!("Bearer {token}")) {
                value.set_sensitive(true);
                request.headers_mut().insert(AUTHORIZATION, value);
            }
            let response =
                sender.send_request(request).await.map_err(|error| self.unreachable(error))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), 8 * MESSAGE_LIMIT)
                .collect()
                .await
                .map_err(|error| self.unreachable(error))?
                .to_bytes();
            if status.is_success() { Ok(body) } else { Err(refusal(status.as_u16(), body)) }
        };
        let result = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(self.unreachable("no answer in time")));
        if matches!(result, Err(PeerError::Unreachable { .. }))
            && let Some((connection, reads)) = used
        {
            self.drop_silent(&connection, reads).await;
        }
        result
    }

    /// Calls a path of the system's own processes.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        token: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let body = codec::encode(message).map_err(|error| self.unreachable(error))?;
        let answer = self
            .send(Method::POST, path, token, "application/msgpack", body.into(), timeout)
            .await?;
        codec::decode(&answer).map_err(|error| self.unreachable(error))
    }

    /// Calls a JSON path; `GET` when there is no message.
    pub async fn call_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        token: &str,
        message: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let (method, body) = match message {
            None => (Method::GET, Vec::new()),
            Some(message) => {
                (Method::POST, serde_json::to_vec(message).map_err(|e| self.unreachable(e))?)
            }
        };
        let answer =
            self.send(method, path, token, "application/json", body.into(), timeout).await?;
        serde_json::from_slice(&answer).map_err(|error| self.unreachable(error))
    }
}

fn refusal(status: u16, body: Bytes) -> PeerError {
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(parsed) => PeerError::Refused {
            kind: ErrorKind::from_code(&parsed.error.code).unwrap_or(ErrorKind::Internal),
            message: parsed.error.message,
            body,
        },
        Err(_) => PeerError::Refused {
            kind: ErrorKind::Internal,
            message: format!("The peer answered with status {status}."),
            body,
        },
    }
}
