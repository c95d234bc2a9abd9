//! Tests of when the peer client keeps or drops its connection.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::http_server::{ServerLimits, message_response, serve};
use baobabfall_node::stop_signal::{StopSender, stop_channel};
use http::Request;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time after which the server answers requests to `/slow`.
const SLOW_TIME: Duration = Duration::from_millis(600);
const SHORT_TIMEOUT: Duration = Duration::from_millis(250);
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// A server behind a proxy that counts connections and can stop forwarding.
struct Peer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    silence: watch::Sender<bool>,
    _stop: StopSender,
}

impl Peer {
    async fn start() -> Self {
        let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server_address = server.local_addr().unwrap();
        let service = tower::service_fn(|request: Request<Incoming>| async move {
            if request.uri().path() == "/slow" {
                tokio::time::sleep(SLOW_TIME).await;
            }
            Ok::<_, Infallible>(message_response(&1_u8))
        });
        let (stop, signal) = stop_channel();
        tokio::spawn(serve(server, service, ServerLimits::default(), signal));
        let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = proxy.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let (silence, silenced) = watch::channel(false);
        let count = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((client, _)) = proxy.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(forward(client, server_address, silenced.clone()));
            }
        });
        Self { address, connections, silence, _stop: stop }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Forwards data until the proxy is silenced, then keeps the connection open
/// without reading it, like a peer that disappeared.
async fn forward(
    mut client: TcpStream,
    server_address: SocketAddr,
    mut silenced: watch::Receiver<bool>,
) {
    silenced.mark_unchanged();
    let mut server = TcpStream::connect(server_address).await.unwrap();
    let is_silent = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => false,
        changed = silenced.changed() => changed.is_ok(),
    };
    if is_silent {
        std::future::pending::<()>().await;
    }
}

async fn call(client: &PeerClient, path: &str, timeout: Duration) -> Result<u8, PeerError> {
    client.call(path, "token", &(), timeout).await
}

/// Guards against a client that reconnects after each late answer of a slow peer:
/// the reconnects add to the load, and further answers are late as well.
#[tokio::test]
async fn send_timeout_keeps_connection_that_answers() {
    let peer = Peer::start().await;
    let client = PeerClient::new(peer.address);
    assert_eq!(call(&client, "/fast", LONG_TIMEOUT).await.unwrap(), 1);
    let late = call(&client, "/slow", SHORT_TIMEOUT);
    let fast = async {
        tokio::time::sleep(SHORT_TIMEOUT / 2).await;
        call(&client, "/fast", LONG_TIMEOUT).await.unwrap()
    };
    let (late, _) = tokio::join!(late, fast);
    assert!(matches!(late, Err(PeerError::Unreachable { .. })));
    assert_eq!(call(&client, "/slow", LONG_TIMEOUT).await.unwrap(), 1);
    assert_eq!(peer.connections(), 1);
}

/// Guards against a client that keeps a connection whose peer disappeared without
/// closing it, so that every later call times out.
#[tokio::test]
async fn send_timeout_drops_connection_that_is_silent() {
    let peer = Peer::start().await;
    let client = PeerClient::new(peer.address);
    assert_eq!(call(&client, "/fast", LONG_TIMEOUT).await.unwrap(), 1);
    peer.silence.send_replace(true);
    let lost = call(&client, "/fast", SHORT_TIMEOUT).await;
    assert!(matches!(lost, Err(PeerError::Unreachable { .. })));
    assert_eq!(call(&client, "/fast", LONG_TIMEOUT).await.unwrap(), 1);
    assert_eq!(peer.connections(), 2);
}
