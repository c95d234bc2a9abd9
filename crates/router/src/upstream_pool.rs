//! HTTP/1.1 connections to upstreams, pooled per upstream and incarnation.

use baobabfall_core::dispatch_messages::UpstreamRoute;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::tcp_options::set_user_timeout;
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, Response};
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

/// Connections kept per upstream and incarnation.
const IDLE_LIMIT: usize = 256;
/// How long an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// How long an idle connection is used for a call that must not be repeated:
/// a connection that the upstream closed meanwhile would leave its outcome unknown.
const FRESH_TIME: Duration = Duration::from_millis(500);

/// Time in which a pooled connection must be ready; it is not while the
/// upstream still reads an earlier request that it answered early.
const READY_TIME: Duration = Duration::from_millis(5);

/// Time in which a cancellation must be answered.
const CANCEL_TIME: Duration = Duration::from_secs(2);

/// Bytes read ahead of the caller per connection; also the largest answer head.
const BUFFER_LIMIT: usize = 64 << 10;

type PoolKey = (String, u64);

/// Why an exchange with an upstream failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have reached the upstream.
    #[error("{0}")]
    Sent(String),
}

/// Connections to upstreams.
#[derive(Debug)]
pub struct UpstreamPool {
    idle: Mutex<SortedMap<PoolKey, Vec<IdleConnection>>>,
    connect_time: Duration,
    stop: CancellationToken,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    limit: Duration,
}

/// A connection in use; dropping it closes it.
#[derive(Debug)]
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    key: PoolKey,
    pool: Arc<UpstreamPool>,
    reused: bool,
}

impl UpstreamPool {
    /// An empty pool; `stop` closes every connection.
    pub fn new(connect_time: Duration, stop: CancellationToken) -> Arc<Self> {
        Arc::new(Self { idle: Mutex::new(SortedMap::new()), connect_time, stop })
    }

    /// True once every connection is to be closed.
    pub fn is_stopped(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Tells an upstream on a new connection that a request is not wanted any more.
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
        match tokio::time::timeout(CANCEL_TIME, exchange).await {
            Ok(Ok(_)) => {}
            Ok(Err(reason)) => log::debug!(request_id = request_id; "not cancelled: {reason}"),
            Err(_) => log::debug!(request_id = request_id; "not cancelled in time"),
        }
    }

    fn idle(&self) -> MutexGuard<'_, SortedMap<PoolKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes connections that were idle for long.
    pub fn expire(&self) {
        self.idle().retain(|_, held| {
            held.retain(|idle| idle.since.elapsed() < idle.limit && !idle.sender.is_closed());
            !held.is_empty()
        });
    }

    fn take_idle(&self, key: &PoolKey, limit: Duration) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle();
        let held = idle.get_mut(key)?;
        while let Some(connection) = held.pop() {
            if connection.since.elapsed() < limit.min(connection.limit)
                && !connection.sender.is_closed()
            {
                return Some(connection.sender);
            }
        }
        None
    }

    async fn take_ready(&self, key: &PoolKey, limit: Duration) -> Option<SendRequest<Full<Bytes>>> {
        while let Some(mut sender) = self.take_idle(key, limit) {
            if let Ok(Ok(())) = tokio::time::timeout(READY_TIME, sender.ready()).await {
                return Some(sender);
            }
        }
        None
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// A request that a dead pooled connection gave back unwritten is sent
    /// once more on a new connection.
    pub async fn exchange(
        self: &Arc<Self>,
        route: &UpstreamRoute,
        mut request: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), ExchangeError> {
        let key = (route.name.clone(), route.incarnation);
        let limit = if repeatable { Duration::MAX } else { FRESH_TIME };
        if let Some(sender) = self.take_ready(&key, limit).await {
            let pool = Arc::clone(self);
            let connection = UpstreamConnection { sender, key: key.clone(), pool, reused: true };
            request = match connection.send(request).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(unsent))) => *unsent,
                Err((reason, None)) => return Err(ExchangeError::Sent(reason)),
            };
        }
        let connection = self.connect(route, key).await.map_err(ExchangeError::NotSent)?;
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
        let connect = async {
            let stream = TcpStream::connect(route.address).await.map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            set_user_timeout(&stream);
            http1::Builder::new()
                .max_buf_size(BUFFER_LIMIT)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(|error| error.to_string())
        };
        let (sender, connection) = tokio::time::timeout(self.connect_time, connect)
            .await
            .map_err(|_| "the connection was not established in time".to_owned())??;
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("upstream connection ended: {error}");
                    }
                }
                () = stop.cancelled() => {}
            }
        });
        Ok(UpstreamConnection { sender, key, pool: Arc::clone(self), reused: false })
    }
}

type SendFailure = (String, Option<Box<Request<Full<Bytes>>>>);

impl UpstreamConnection {
    /// True when an earlier exchange used the connection.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Self), SendFailure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self)),
            Err(mut failure) => {
                let unsent = failure.take_message().map(Box::new);
                Err((failure.error().to_string(), unsent))
            }
        }
    }

    /// Returns the connection to the pool. Only for connections whose answer
    /// ended exactly as its framing says.
    pub fn give_back(self) {
        self.give_back_for(IDLE_TIME);
    }

    /// Returns a connection that the upstream keeps open for `limit`.
    pub fn give_back_for(self, limit: Duration) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.pool.idle();
        let held = idle.get_or_insert_with(self.key, Vec::new);
        if held.len() < IDLE_LIMIT {
            held.push(IdleConnection { sender: self.sender, since: Instant::now(), limit });
        }
    }
}
