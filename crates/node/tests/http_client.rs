//! Tests of the client for peers: which connections it keeps.

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

/// Time that the server takes for `/slow`.
const SLOW_TIME: Duration = Duration::from_millis(600);
const SHORT_TIMEOUT: Duration = Duration::from_millis(250);
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// A server behind a proxy that counts connections and can silence them.
struct Peer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    silent: watch::Sender<bool>,
    _stop: StopSender,
}

impl Peer {
    async fn start() -> Self {
        let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = server.local_addr().unwrap();
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
        let (silent, watch) = watch::channel(false);
        let count = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((near, _)) = proxy.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(pass(near, target, watch.clone()));
            }
        });
        Self { address, connections, silent, _stop: stop }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Passes bytes on until the proxy is silenced, then keeps the connection open.
async fn pass(mut near: TcpStream, target: SocketAddr, mut silent: watch::Receiver<bool>) {
    silent.mark_unchanged();
    let mut far = TcpStream::connect(target).await.unwrap();
    let silenced = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => false,
        changed = silent.changed() => changed.is_ok(),
    };
    if silenced {
        std::future::pending::<()>().await;
    }
}

async fn call(client: &PeerClient, path: &str, timeout: Duration) -> Result<u8, PeerError> {
    client.call(path, "token", &(), timeout).await
}

/// Guards against a slow process that opens a new connection for each late
/// answer and gets none in time.
#[tokio::test]
async fn send_timeout_keeps_connection_that_answers() {
    let peer = Peer::start().await;
    let client = PeerClient::new(peer.address);
    assert_eq!(call(&client, "/fast", LONG_TIMEOUT).await.unwrap(), 1);
    let late = call(&client, "/slow", SHORT_TIMEOUT);
    let others = async {
        tokio::time::sleep(SHORT_TIMEOUT / 2).await;
        call(&client, "/fast", LONG_TIMEOUT).await.unwrap()
    };
    let (late, _) = tokio::join!(late, others);
    assert!(matches!(late, Err(PeerError::Unreachable { .. })));
    assert_eq!(call(&client, "/slow", LONG_TIMEOUT).await.unwrap(), 1);
    assert_eq!(peer.connections(), 1);
}

/// Guards against calls that go on waiting on a connection that vanished.
#[tokio::test]
async fn send_timeout_leaves_connection_that_is_silent() {
    let peer = Peer::start().await;
    let client = PeerClient::new(peer.address);
    assert_eq!(call(&client, "/fast", LONG_TIMEOUT).await.unwrap(), 1);
    peer.silent.send_replace(true);
    let lost = call(&client, "/fast", SHORT_TIMEOUT).await;
    assert!(matches!(lost, Err(PeerError::Unreachable { .. })));
    assert_eq!(call(&client, "/fast", LONG_TIMEOUT).await.unwrap(), 1);
    assert_eq!(peer.connections(), 2);
}
