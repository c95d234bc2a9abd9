//! Pool of HTTP/1.1 connections to upstreams, keyed by upstream and incarnation.

use baobabfall_core::dispatch_messages::UpstreamRoute;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::bounded_stream::{BoundedStream, ReadAllowance};
use baobabfall_node::tcp_options::set_user_timeout;
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum number of idle connections per upstream and incarnation.
const IDLE_LIMIT: usize = 256;
/// How long an idle connection is kept by default.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Maximum idle time of a connection that is reused for a non-repeatable call. If
/// the upstream had closed the connection, the outcome of the call would be unknown.
const NON_REPEATABLE_IDLE_TIME: Duration = Duration::from_millis(500);

/// How long to wait for a pooled connection to become ready. It is not ready while
/// the upstream is still reading an earlier request that it answered early.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Time in which a cancellation must be answered, including the connection setup.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Read buffer per connection in bytes, which also limits the size of an answer head.
const BUFFER_LIMIT_BYTES: usize = 64 << 10;

/// Most bytes that an upstream may send without a part of an answer. Framing may take
/// six bytes for each byte of an answer that is buffered completely.
const UNPRODUCTIVE_LIMIT_BYTES: usize = 2 << 20;

/// Name and incarnation of an upstream.
type PoolKey = (String, u64);

/// Why an exchange with an upstream failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was written, so it cannot have run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The upstream may get no more requests, so none was written.
    #[error("the upstream has left")]
    Withheld,
    /// The request may have been sent, so it may have run.
    #[error("{0}")]
    Sent(String),
}

/// Idle connections to upstreams.
#[derive(Debug)]
pub struct UpstreamPool {
    idle: Mutex<SortedMap<PoolKey, Vec<IdleConnection>>>,
    connect_time: Duration,
    stop: CancellationToken,
}

/// Sending side of a connection, and the bytes that may be read on it without progress.
#[derive(Debug)]
struct PooledSender {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
}

#[derive(Debug)]
struct IdleConnection {
    sender: PooledSender,
    since: Instant,
    limit: Duration,
}

/// A connection in use; dropping it closes the connection.
#[derive(Debug)]
pub struct UpstreamConnection {
    sender: PooledSender,
    key: PoolKey,
    pool: Arc<UpstreamPool>,
    reused: bool,
}

impl UpstreamPool {
    /// Creates an empty pool; cancelling `stop` closes every connection.
    pub fn new(connect_time: Duration, stop: CancellationToken) -> Arc<Self> {
        Arc::new(Self { idle: Mutex::new(SortedMap::new()), connect_time, stop })
    }

    /// True once the pool has been stopped and closes its connections.
    pub fn is_stopped(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Asks an upstream to cancel a request, on a new connection. Failures are only
    /// logged.
    pub async fn cancel(self: &Arc<Self>, route: &UpstreamRoute, request_id: &str) {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("/cancel/{request_id}"))
            .header(HOST, route.address.to_string())
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else { return };
        let exchange = async {
            let key = (route.name.clone(), route.incarnation);
            let connection = self.connect(route, key).await?;
            connection.send(request).await.map_err(|(reason, _)| reason)
        };
        match tokio::time::timeout(CANCEL_TIMEOUT, exchange).await {
            Ok(Ok(_)) => {}
            Ok(Err(reason)) => log::debug!(request_id = request_id; "cancel failed: {reason}"),
            Err(_) => log::debug!(request_id = request_id; "cancel timed out"),
        }
    }

    fn idle(&self) -> MutexGuard<'_, SortedMap<PoolKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes connections that have exceeded their idle time.
    pub fn expire(&self) {
        self.idle().retain(|_, held| {
            held.retain(|idle| {
                idle.since.elapsed() < idle.limit && !idle.sender.sender.is_closed()
            });
            !held.is_empty()
        });
    }

    fn take_idle(&self, key: &PoolKey, limit: Duration) -> Option<PooledSender> {
        let mut idle = self.idle();
        let held = idle.get_mut(key)?;
        while let Some(connection) = held.pop() {
            if connection.since.elapsed() < limit.min(connection.limit)
                && !connection.sender.sender.is_closed()
            {
                return Some(connection.sender);
            }
        }
        None
    }

    async fn take_ready(&self, key: &PoolKey, limit: Duration) -> Option<PooledSender> {
        while let Some(mut sender) = self.take_idle(key, limit) {
            if let Ok(Ok(())) = tokio::time::timeout(READY_TIMEOUT, sender.sender.ready()).await {
                return Some(sender);
            }
        }
        None
    }

    /// Sends a request and waits for the head of the answer. `permits` is asked right before the
    /// request is written: connecting may take longer than a departure needs to arrive.
    ///
    /// If a pooled connection turns out to be closed before the request was sent,
    /// the request is sent on a new connection.
    pub async fn exchange(
        self: &Arc<Self>,
        route: &UpstreamRoute,
        mut request: Request<Full<Bytes>>,
        repeatable: bool,
        permits: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), ExchangeError> {
        let key = (route.name.clone(), route.incarnation);
        let limit = if repeatable { Duration::MAX } else { NON_REPEATABLE_IDLE_TIME };
        if let Some(sender) = self.take_ready(&key, limit).await {
            let pool = Arc::clone(self);
            let connection = UpstreamConnection { sender, key: key.clone(), pool, reused: true };
            if !permits() {
                return Err(ExchangeError::Withheld);
            }
            request = match connection.send(request).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(unsent))) => *unsent,
                Err((reason, None)) => return Err(ExchangeError::Sent(reason)),
            };
        }
        let connection = self.connect(route, key).await.map_err(ExchangeError::NotSent)?;
        if !permits() {
            return Err(ExchangeError::Withheld);
        }
        connection.send(request).await.map_err(|(reason, unsent)| match unsent {
            Some(_) => ExchangeError::NotSent(reason),
            None => ExchangeError::Sent(reason),
        })
    }

    async fn connect(
        self: &Arc<Self>,
        route: &UpstreamRoute,
        key: PoolKey,
    ) -> Result<UpstreamConnection, String> {
        let allowance = ReadAllowance::new(UNPRODUCTIVE_LIMIT_BYTES);
        let connect = async {
            let stream = TcpStream::connect(route.address).await.map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            set_user_timeout(&stream);
            http1::Builder::new()
                .max_buf_size(BUFFER_LIMIT_BYTES)
                .handshake(TokioIo::new(BoundedStream::new(stream, allowance.clone())))
                .await
                .map_err(|error| error.to_string())
        };
        let (sender, connection) = tokio::time::timeout(self.connect_time, connect)
            .await
            .map_err(|_| "timed out connecting to the upstream".to_owned())??;
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("connection to upstream failed: {error}");
                    }
                }
                () = stop.cancelled() => {}
            }
        });
        let sender = PooledSender { sender, allowance };
        Ok(UpstreamConnection { sender, key, pool: Arc::clone(self), reused: false })
    }
}

/// True for the statuses with which an answer may end a request. `101` ends HTTP on the connection,
/// which no request asks for, and those from 600 on have no meaning that a caller could rely on.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reason of the failure, and the request if it was not sent.
type SendFailure = (String, Option<Box<Request<Full<Bytes>>>>);

impl UpstreamConnection {
    /// True if the connection was taken from the pool.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Records that a part of the answer arrived, so that more bytes may follow.
    pub fn renew_allowance(&self) {
        self.sender.allowance.renew();
    }

    async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Self), SendFailure> {
        self.renew_allowance();
        match self.sender.sender.try_send_request(request).await {
            Ok(response) if !is_final(response.status()) => {
                let status = response.status();
                Err((format!("the upstream sent the status {status}, which no answer has"), None))
            }
            Ok(response) => Ok((response, self)),
            Err(mut failure) => {
                let unsent = failure.take_message().map(Box::new);
                Err((failure.error().to_string(), unsent))
            }
        }
    }

    /// Returns the connection to the pool. Call this only if the answer was read
    /// completely, as its framing specifies.
    pub fn give_back(self) {
        self.give_back_for(IDLE_TIME);
    }

    /// Like [`Self::give_back`], for an upstream that keeps idle connections open for
    /// `limit`.
    pub fn give_back_for(self, limit: Duration) {
        if self.sender.sender.is_closed() {
            return;
        }
        let mut idle = self.pool.idle();
        let held = idle.get_or_insert_with(self.key, Vec::new);
        if held.len() < IDLE_LIMIT {
            held.push(IdleConnection { sender: self.sender, since: Instant::now(), limit });
        }
    }
}
