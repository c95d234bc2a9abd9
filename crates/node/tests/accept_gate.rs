//! Tests of which new connections a gated listener serves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_node::accept_gate::{AcceptGate, AdmittedConnection};
use baobabfall_node::http_server::{
    ConnectionDiversion, ServerLimits, serve_diverted, serve_gated,
};
use baobabfall_node::stop_signal::{StopPhase, StopSender, stop_channel};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Starts a listener that answers every request, with `permits` connections.
async fn start_listener(permits: usize) -> (SocketAddr, Arc<AcceptGate>, StopSender) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let gate =
        AcceptGate::new(Arc::new(Semaphore::new(permits)), Arc::new(AtomicU32::new(400)), 500);
    let service = tower::service_fn(|_: Request<Incoming>| async {
        Ok::<_, Infallible>(Response::new(Full::new(bytes::Bytes::from_static(b"ok"))))
    });
    let (stop, signal) = stop_channel();
    let limits = ServerLimits::default();
    tokio::spawn(serve_gated(listener, service, limits, signal, Arc::clone(&gate), || {}));
    (address, gate, stop)
}

/// Sends a request on a new connection and returns the connection with what was answered.
async fn ask(address: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    let mut bytes = vec![0; 1024];
    let count = stream.read(&mut bytes).await.unwrap_or(0);
    (stream, String::from_utf8(bytes[..count].to_vec()).unwrap())
}

/// Guards against new callers who wait in the backlog until they give up while the connections of
/// others are idle: without a permit the connection is closed at once, and one that ends frees its
/// place.
#[tokio::test]
async fn accept_without_permit_closes_unread() {
    let (address, gate, stop) = start_listener(1).await;
    let (first, answer) = ask(address).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let (_, answer) = ask(address).await;
    assert_eq!((answer.as_str(), gate.closed()), ("", 1));
    drop(first);
    while ask(address).await.1.is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stop.advance(StopPhase::Stopped);
}

/// Guards against a router that goes on taking requests while its event loop is late for good, or
/// stays in rotation while it closes new connections unread.
#[tokio::test]
async fn accept_behind_schedule_closes_unread() {
    let (address, gate, stop) = start_listener(100).await;
    assert!(!ask(address).await.1.is_empty());
    let late = Duration::from_millis(400);
    gate.observe_delay(late);
    assert!(!ask(address).await.1.is_empty(), "a single delay changes nothing");
    for _ in 0..2 {
        gate.observe_delay(late);
        tokio::time::sleep(Duration::from_millis(260)).await;
        gate.observe_delay(late);
    }
    assert!(gate.is_congested() && !gate.is_out_of_rotation());
    for _ in 0..7 {
        assert_eq!(ask(address).await.1, "", "more requests are in progress than it can serve");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(gate.is_out_of_rotation());
    stop.advance(StopPhase::Stopped);
}

/// Finds no process that takes a connection.
struct UntakenDiversion;

impl ConnectionDiversion for UntakenDiversion {
    fn divert(&mut self, connection: AdmittedConnection) -> Option<AdmittedConnection> {
        Some(connection)
    }

    async fn returned(&mut self) -> AdmittedConnection {
        std::future::pending().await
    }
}

/// Guards against a crowded router that serves every connection which its neighbours do not take,
/// so that all its streams become late.
#[tokio::test]
async fn accept_untaken_beyond_limit_closes_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let in_progress = Arc::new(AtomicU32::new(400));
    let gate = AcceptGate::new(Arc::new(Semaphore::new(2000)), Arc::clone(&in_progress), 500);
    let service = tower::service_fn(|_: Request<Incoming>| async {
        Ok::<_, Infallible>(Response::new(Full::new(bytes::Bytes::from_static(b"ok"))))
    });
    let (stop, signal) = stop_channel();
    let serving = Arc::clone(&gate);
    let limits = ServerLimits::default();
    tokio::spawn(serve_diverted(
        listener,
        service,
        limits,
        signal,
        serving,
        UntakenDiversion,
        || {},
    ));
    gate.set_takers(true);
    assert!(!ask(address).await.1.is_empty(), "the event loop is not late");
    for _ in 0..2 {
        gate.observe_delay(Duration::from_millis(400));
        tokio::time::sleep(Duration::from_millis(160)).await;
        gate.observe_delay(Duration::from_millis(400));
    }
    assert!(gate.diverts());
    assert_eq!((ask(address).await.1.as_str(), gate.closed()), ("", 1));
    in_progress.store(10, Ordering::Relaxed);
    assert!(!ask(address).await.1.is_empty(), "a crowded router still serves some");
    stop.advance(StopPhase::Stopped);
}

/// Guards against a small router that takes hundreds of requests before its event loop is found to
/// be late, and works on them for seconds while its neighbours idle.
#[tokio::test]
async fn accept_beyond_share_diverts_on_time() {
    let in_progress = Arc::new(AtomicU32::new(33));
    let gate = AcceptGate::new(Arc::new(Semaphore::new(2000)), Arc::clone(&in_progress), 45);
    assert!(!gate.nears_limit() && !gate.diverts());
    in_progress.store(34, Ordering::Relaxed);
    assert!(gate.nears_limit() && !gate.diverts());
    in_progress.store(45, Ordering::Relaxed);
    assert!(gate.diverts() && !gate.is_saturated());
    let few = AcceptGate::new(Arc::new(Semaphore::new(40)), in_progress, 150);
    assert!(few.diverts(), "its memory and descriptors carry fewer");
}
