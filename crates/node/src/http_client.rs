//! HTTP/2 client for baobabfall's own processes, with one multiplexed connection
//! per peer.

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

/// Time limit for the TCP connection and the HTTP/2 handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why a call to a peer failed.
#[derive(Clone, Debug, Error)]
pub enum PeerError {
    /// The connection failed, or no valid answer arrived before the timeout.
    #[error("{address} did not answer: {reason}.")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The peer answered with an error status.
    #[error("{message}")]
    Refused {
        /// Error kind from the response; `Internal` when it names none.
        kind: ErrorKind,
        /// Error message from the response.
        message: String,
        /// Complete response body, for errors that carry further fields.
        body: Bytes,
    },
}

impl PeerError {
    /// Error kind, from which callers derive the response or exit code.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Unreachable { .. } => ErrorKind::PeerUnreachable,
            Self::Refused { kind, .. } => *kind,
        }
    }
}

/// Client of one peer. Connects on the first call and reconnects after the
/// connection is lost.
#[derive(Debug)]
pub struct PeerClient {
    address: SocketAddr,
    connection: Mutex<Option<PeerConnection>>,
}

/// An open connection and the number of reads from the peer on it.
#[derive(Clone, Debug)]
struct PeerConnection {
    sender: SendRequest<Full<Bytes>>,
    reads: ReadCount,
}

impl PeerClient {
    /// Creates a client for the peer at `address` without connecting yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: Mutex::new(None) }
    }

    /// Address to which this client connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn unreachable(&self, reason: impl ToString) -> PeerError {
        PeerError::Unreachable { address: self.address, reason: reason.to_string() }
    }

    async fn connect(&self) -> Result<PeerConnection, PeerError> {
        let mut current = self.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|current| !current.sender.is_closed()) {
            return Ok(connection.clone());
        }
        let reads = ReadCount::default();
        let stream_reads = reads.clone();
        let handshake = async {
            let stream = TcpStream::connect(self.address).await.map_err(|e| self.unreachable(e))?;
            let _ = stream.set_nodelay(true);
            set_user_timeout(&stream);
            http2::Builder::new(TokioExecutor::new())
                .timer(TokioTimer::new())
                .keep_alive_interval(Duration::from_secs(2))
                .keep_alive_timeout(Duration::from_secs(2))
                .handshake(TokioIo::new(CountedStream::new(stream, stream_reads)))
                .await
                .map_err(|error| self.unreachable(error))
        };
        let (sender, connection) = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| self.unreachable("the connection was not established in time"))??;
        tokio::spawn(connection);
        Ok(current.insert(PeerConnection { sender, reads }).clone())
    }

    /// Drops the connection of a failed call if nothing was read from the peer
    /// since the call began. Such a peer disappeared without closing the
    /// connection, and every later call would wait for its timeout. If the peer
    /// still answers other calls, the peer or this process is merely slow, and
    /// reconnecting would add to the load.
    async fn drop_unresponsive(&self, used: &PeerConnection, reads_before: u64) {
        // Lets the connection task read data that has already arrived.
        tokio::task::yield_now().await;
        if used.reads.get() != reads_before && !used.sender.is_closed() {
            return;
        }
        let mut current = self.connection.lock().await;
        if current.as_ref().is_some_and(|current| current.reads.is_same(&used.reads)) {
            *current = None;
        }
    }

    /// Sends a request and returns the complete response body. `timeout` covers
    /// connecting, sending and receiving.
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
            let connection = self.connect().await?;
            let mut sender = connection.sender.clone();
            let reads_before = connection.reads.get();
            used = Some((connection, reads_before));
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
            if status.is_success() { Ok(body) } else { Err(refused_error(status.as_u16(), body)) }
        };
        let result = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(self.unreachable("no answer in time")));
        if matches!(result, Err(PeerError::Unreachable { .. }))
            && let Some((connection, reads_before)) = used
        {
            self.drop_unresponsive(&connection, reads_before).await;
        }
        result
    }

    /// Posts a MessagePack message to a path of another baobabfall process and
    /// decodes the answer.
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

    /// Calls a JSON endpoint with `POST`, or with `GET` when `message` is `None`.
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

/// Error for a response with an error status.
pub(crate) fn refused_error(status: u16, body: Bytes) -> PeerError {
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
