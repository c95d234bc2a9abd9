//! HTTP/1.1 and HTTP/2 server with limits on connections, headers and time, and
//! helpers to read requests and build responses.

use crate::accept_gate::{AcceptGate, AdmittedConnection};
use crate::codec::{self, MESSAGE_LIMIT};
use crate::message_body::MessageBody;
use crate::opening_stream::OpeningStream;
use crate::stop_signal::{StopPhase, StopSignal};
use crate::tcp_options::set_unread_timeout;
use baobabfall_core::error_kind::ErrorKind;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower::Service;

/// Response header of a refused request: `true` when the request is known not to
/// have run.
pub const NOT_RUN_HEADER: &str = "baobabfall-not-run";
/// Response header of an upstream that is about to end: `true`.
pub const LEAVING_HEADER: &str = "baobabfall-leaving";
/// Header of an upstream's response: the requests per second that the upstream takes from
/// all routers together.
pub const RATE_LIMIT_HEADER: &str = "baobabfall-rate-limit";
/// Response header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "baobabfall-request-id";

/// Limits of a listener, which apply before authentication.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait in the kernel's
    /// backlog.
    pub connections: usize,
    /// Time limit for receiving the headers of an HTTP/1.1 request, and for the first bytes of a
    /// connection, which tell the version of HTTP.
    pub header_timeout: Duration,
    /// Maximum number of headers of an HTTP/1.1 request.
    pub headers: usize,
    /// Maximum total size of the headers of one request, in bytes. At least 8 KiB
    /// are accepted over HTTP/1.1.
    pub header_bytes: u32,
    /// Maximum number of concurrent streams of an HTTP/2 connection.
    pub streams: u32,
    /// Time after which a connection is closed whose peer reads nothing of what was sent to it;
    /// unlimited if `None`.
    pub unread_timeout: Option<Duration>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_timeout: Duration::from_secs(10),
            headers: 64,
            header_bytes: 32 << 10,
            streams: 1024,
            unread_timeout: None,
        }
    }
}

/// Serves connections of `listener` until the stop signal fires.
///
/// In phase [`StopPhase::Draining`], the listener closes and connections finish
/// their requests. In phase [`StopPhase::Stopped`], open connections are dropped.
pub async fn serve<S, B>(
    listener: TcpListener,
    service: S,
    limits: ServerLimits,
    signal: StopSignal,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    serve_listener(listener, service, limits, signal, ConnectionUpgrades::Refused).await;
}

/// Like [`serve`], for a service that may upgrade connections to another protocol. An
/// upgraded connection belongs to the service, which ends it on the stop signal.
pub async fn serve_upgradeable<S, B>(
    listener: TcpListener,
    service: S,
    limits: ServerLimits,
    signal: StopSignal,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    serve_listener(listener, service, limits, signal, ConnectionUpgrades::Accepted).await;
}

/// What a listener does with requests to upgrade their connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUpgrades {
    Accepted,
    Refused,
}

async fn serve_listener<S, B>(
    listener: TcpListener,
    service: S,
    limits: ServerLimits,
    signal: StopSignal,
    upgrades: ConnectionUpgrades,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let accept = async move || {
        let permit = Arc::clone(&permits).acquire_owned().await.map_err(io::Error::other)?;
        let (stream, _) = listener.accept().await?;
        Ok((stream, permit))
    };
    let begin = |(stream, permit)| (stream, permit);
    serve_accepted(accept, begin, service, limits, signal, upgrades, || {}).await;
}

/// Like [`serve`], with the connections that `gate` admits; the others are closed
/// before anything is read. Calls `on_parse_error` for each request that the HTTP
/// layer rejected because it is not valid HTTP or its head is too large.
pub async fn serve_gated<S, B, O>(
    listener: TcpListener,
    service: S,
    limits: ServerLimits,
    signal: StopSignal,
    gate: Arc<AcceptGate>,
    on_parse_error: O,
) where
    O: Fn() + Clone + Send + 'static,
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    serve_diverted(listener, service, limits, signal, gate, NoDiversion, on_parse_error).await;
}

/// Hands connections of callers to other processes.
pub trait ConnectionDiversion: Send {
    /// Takes over a connection, or returns it to be served here.
    fn divert(&mut self, connection: AdmittedConnection) -> Option<AdmittedConnection>;

    /// Waits for a connection that no other process took. May be dropped before it is ready.
    fn returned(&mut self) -> impl Future<Output = AdmittedConnection> + Send;
}

/// Serves every connection here.
#[derive(Clone, Copy, Debug)]
struct NoDiversion;

impl ConnectionDiversion for NoDiversion {
    fn divert(&mut self, connection: AdmittedConnection) -> Option<AdmittedConnection> {
        Some(connection)
    }

    async fn returned(&mut self) -> AdmittedConnection {
        std::future::pending().await
    }
}

/// Like [`serve_gated`]; connections that the gate diverts are offered to `diversion` first.
pub async fn serve_diverted<S, B, O, D>(
    listener: TcpListener,
    service: S,
    limits: ServerLimits,
    signal: StopSignal,
    gate: Arc<AcceptGate>,
    mut diversion: D,
    on_parse_error: O,
) where
    D: ConnectionDiversion,
    O: Fn() + Clone + Send + 'static,
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let accept = async move || loop {
        let untaken = tokio::select! {
            connection = diversion.returned() => Some(connection),
            admitted = gate.accept(&listener) => match admitted? {
                admitted if gate.seeks() => diversion.divert(admitted),
                admitted => return Ok(admitted),
            },
        };
        if let Some(connection) = untaken.and_then(|connection| gate.keep(connection)) {
            return Ok(connection);
        }
    };
    let begin = AdmittedConnection::begin;
    let upgrades = ConnectionUpgrades::Refused;
    serve_accepted(accept, begin, service, limits, signal, upgrades, on_parse_error).await;
}

/// Serves one request on a connection that another process handed over, and closes it after the
/// answer. Ends like the connections of [`serve`] when the stop signal fires.
pub async fn serve_handed_over<S, B>(
    stream: TcpStream,
    service: S,
    limits: ServerLimits,
    mut signal: StopSignal,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let mut builder = connection_builder(limits);
    builder.http1().keep_alive(false);
    prepare_stream(&stream, limits);
    let service = TowerToHyperService::new(service);
    let stream = TokioIo::new(OpeningStream::new(stream, limits.header_timeout));
    let connection = builder.serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let mut stopped = signal.clone();
    let mut is_draining = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("connection ended: {error}");
                }
                return;
            }
            () = signal.reached(StopPhase::Draining), if !is_draining => {
                is_draining = true;
                connection.as_mut().graceful_shutdown();
            }
            () = stopped.reached(StopPhase::Stopped) => return,
        }
    }
}

/// Serves the connections that `accept` returns. `begin` is called on the task that
/// serves the connection, and returns its socket and its permit.
async fn serve_accepted<A, C, G, S, B, O>(
    mut accept: A,
    begin: G,
    service: S,
    limits: ServerLimits,
    mut signal: StopSignal,
    upgrades: ConnectionUpgrades,
    on_parse_error: O,
) where
    A: AsyncFnMut() -> io::Result<C>,
    C: Send + 'static,
    G: Fn(C) -> (TcpStream, OwnedSemaphorePermit) + Copy + Send + 'static,
    O: Fn() + Clone + Send + 'static,
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let builder = connection_builder(limits);
    let graceful = GracefulShutdown::new();
    let mut draining = signal.clone();
    loop {
        let accepted = tokio::select! {
            accepted = accept() => accepted,
            () = draining.reached(StopPhase::Draining) => break,
        };
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let service = TowerToHyperService::new(service.clone());
        let (builder, watcher) = (builder.clone(), graceful.watcher());
        let mut stopped = signal.clone();
        let on_parse_error = on_parse_error.clone();
        tokio::spawn(async move {
            let (stream, permit) = begin(accepted);
            prepare_stream(&stream, limits);
            let stream = TokioIo::new(OpeningStream::new(stream, limits.header_timeout));
            let connection = async {
                match upgrades {
                    ConnectionUpgrades::Refused => {
                        let connection = builder.serve_connection(stream, service).into_owned();
                        watcher.watch(connection).await
                    }
                    ConnectionUpgrades::Accepted => {
                        let connection = builder.serve_connection_with_upgrades(stream, service);
                        watcher.watch(connection.into_owned()).await
                    }
                }
            };
            tokio::select! {
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("connection ended: {error}");
                        if is_parse_error(error.as_ref()) {
                            on_parse_error();
                        }
                    }
                }
                () = stopped.reached(StopPhase::Stopped) => {}
            }
            drop(permit);
        });
    }
    // Closes the listener.
    drop(accept);
    tokio::select! {
        () = graceful.shutdown() => {}
        () = signal.reached(StopPhase::Stopped) => {}
    }
}

fn prepare_stream(stream: &TcpStream, limits: ServerLimits) {
    // Nagle's algorithm would delay small stream events.
    let _ = stream.set_nodelay(true);
    if let Some(timeout) = limits.unread_timeout {
        set_unread_timeout(stream, timeout);
    }
}

fn is_parse_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> bool {
    error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse)
}

fn connection_builder(limits: ServerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.headers)
        .max_buf_size(usize::try_from(limits.header_bytes).unwrap_or(usize::MAX).max(8 << 10));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes)
        .max_concurrent_streams(limits.streams)
        .keep_alive_interval(Duration::from_secs(10))
        .keep_alive_timeout(Duration::from_secs(10));
    builder
}

/// Response whose whole body is in memory.
pub type FullResponse = Response<MessageBody>;

/// JSON body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct ErrorBody {
    /// Code, message and retry advice.
    pub error: ErrorDetail,
}

/// Description of an error for the client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct ErrorDetail {
    /// Stable code of an [`ErrorKind`].
    pub code: String,
    /// Explanation for humans.
    pub message: String,
    /// True when the request is known not to have run.
    pub not_run: bool,
    /// True when the client may send the same request again.
    pub retry: bool,
    /// Time to wait before a retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Id of the request, if one was assigned.
    #[serde(default)]
    pub request_id: Option<String>,
}

/// Builds an error response without a retry delay or request id.
pub fn error_response(kind: ErrorKind, message: &str) -> FullResponse {
    error_response_with(kind, message, None, None)
}

/// Builds an error response. `retry_after` is rounded up to whole seconds in the
/// `retry-after` header.
pub fn error_response_with(
    kind: ErrorKind,
    message: &str,
    retry_after: Option<Duration>,
    request_id: Option<&str>,
) -> FullResponse {
    let answer = kind.answer();
    let body = error_body(kind, message, retry_after, request_id);
    let mut response = json_response(answer.status, &body);
    let headers = response.headers_mut();
    let not_run = if answer.not_run { "true" } else { "false" };
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static(not_run));
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    if let Some(value) = request_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Builds the JSON body of an error response.
pub fn error_body(
    kind: ErrorKind,
    message: &str,
    retry_after: Option<Duration>,
    request_id: Option<&str>,
) -> ErrorBody {
    let answer = kind.answer();
    let retry_after_ms =
        retry_after.map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    ErrorBody {
        error: ErrorDetail {
            code: answer.code.to_owned(),
            message: message.to_owned(),
            not_run: answer.not_run,
            retry: answer.retry,
            retry_after_ms,
            request_id: request_id.map(str::to_owned),
        },
    }
}

/// Builds a response with `body` encoded as JSON.
pub fn json_response<T: Serialize>(status: u16, body: &T) -> FullResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    bytes_response(status, "application/json", bytes)
}

/// Builds a MessagePack response for another baobabfall process. An encoding
/// error becomes an error response.
pub fn message_response<T: Serialize>(message: &T) -> FullResponse {
    match codec::encode(message) {
        Ok(bytes) => bytes_response(200, "application/msgpack", bytes),
        Err(error) => error_response(ErrorKind::Internal, &error.to_string()),
    }
}

/// Builds a MessagePack response from an encoded message in pieces.
pub fn pieces_response(pieces: Vec<Bytes>) -> FullResponse {
    let mut response = Response::new(MessageBody::from_pieces(pieces));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/msgpack"));
    response
}

/// Builds a response from an encoded body.
pub fn bytes_response(status: u16, content_type: &'static str, bytes: Vec<u8>) -> FullResponse {
    let mut response = Response::new(MessageBody::from(bytes));
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Reason why a request body was rejected.
#[derive(Debug)]
pub struct BodyRefusal {
    /// Error kind to respond with.
    pub kind: ErrorKind,
    /// Explanation for the client.
    pub message: String,
}

impl BodyRefusal {
    /// Builds the error response to the request.
    pub fn response(&self) -> FullResponse {
        error_response(self.kind, &self.message)
    }
}

/// Reads a complete body of at most `limit` bytes within `timeout`.
pub async fn read_body<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyRefusal>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let refuse = |kind: ErrorKind, message: String| Err(BodyRefusal { kind, message });
    match tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await {
        Err(_) => {
            let message = format!("The body did not arrive within {} ms.", timeout.as_millis());
            refuse(ErrorKind::SlowRequest, message)
        }
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            refuse(ErrorKind::OversizedRequest, format!("The body exceeds {limit} bytes."))
        }
        Ok(Err(error)) => {
            refuse(ErrorKind::MalformedRequest, format!("The body cannot be read: {error}."))
        }
    }
}

/// Time limit for receiving the body of a control message.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and decodes a MessagePack message from another baobabfall process.
pub async fn read_message<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, BodyRefusal> {
    let bytes = read_body(request.into_body(), MESSAGE_LIMIT, MESSAGE_TIMEOUT).await?;
    codec::decode(&bytes)
        .map_err(|error| BodyRefusal { kind: error.kind(), message: error.to_string() })
}

/// Reads and decodes a JSON body of at most `limit` bytes.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Result<T, BodyRefusal> {
    let bytes = read_body(request.into_body(), limit, MESSAGE_TIMEOUT).await?;
    serde_json::from_slice(&bytes).map_err(|error| BodyRefusal {
        kind: ErrorKind::MalformedRequest,
        message: format!("The JSON body is invalid: {error}."),
    })
}

/// Extracts the bearer token from the `authorization` header of a request.
pub fn presented_token(headers: &HeaderMap) -> Option<&str> {
    crate::credentials::bearer_token(headers.get(AUTHORIZATION)?.to_str().ok()?)
}
