//! Tests of connections on which clients do not begin a request.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_node::http_client::PeerClient;
use baobabfall_node::http_server::{
    FullResponse, ServerLimits, bytes_response, message_response, serve, serve_upgradeable,
};
use baobabfall_node::stop_signal::{StopSender, stop_channel};
use http::Request;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Time limit for the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of every wait. It only detects that something never happens.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

async fn answer(request: Request<Incoming>) -> Result<FullResponse, Infallible> {
    Ok(match request.uri().path() {
        "/slow" => {
            tokio::time::sleep(HEADER_TIMEOUT * 3).await;
            bytes_response(200, "text/plain", b"slow".to_vec())
        }
        "/message" => message_response(&7_u32),
        _ => bytes_response(200, "text/plain", b"ok".to_vec()),
    })
}

/// Starts a server that takes at most `connections`.
async fn start(connections: usize, upgradeable: bool) -> (SocketAddr, StopSender) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, signal) = stop_channel();
    let limits =
        ServerLimits { connections, header_timeout: HEADER_TIMEOUT, ..ServerLimits::default() };
    let service = tower::service_fn(answer);
    match upgradeable {
        true => tokio::spawn(serve_upgradeable(listener, service, limits, signal)),
        false => tokio::spawn(serve(listener, service, limits, signal)),
    };
    (address, stop)
}

/// Sends `bytes` and reads until the server closes the connection.
async fn read_until_closed(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    read.expect("the server closes the connection").unwrap();
    answer
}

/// Guards against connections without a request that are never closed and fill the server: nobody
/// else can connect any more.
#[tokio::test]
async fn serve_connections_without_request_make_room() {
    for upgradeable in [false, true] {
        let (address, _stop) = start(4, upgradeable).await;
        let mut idle = Vec::new();
        for _ in 0..4 {
            idle.push(TcpStream::connect(address).await.unwrap());
        }
        let request = b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let answer = read_until_closed(address, request).await;
        assert!(answer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&answer));
        drop(idle);
    }
}

/// Guards against a client that sends only the beginning of what tells the version of HTTP.
#[tokio::test]
async fn serve_unfinished_version_is_closed() {
    let (address, _stop) = start(100, false).await;
    for bytes in [&b""[..], b"P", b"PRI * HTTP/2.0\r\n"] {
        let started = Instant::now();
        assert_eq!(read_until_closed(address, bytes).await, b"");
        assert!(started.elapsed() >= HEADER_TIMEOUT, "{:?}", started.elapsed());
    }
}

/// Guards against a limit for the first bytes that ends requests which began in time.
#[tokio::test]
async fn serve_request_that_began_in_time_is_answered() {
    let (address, _stop) = start(100, false).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    tokio::time::sleep(HEADER_TIMEOUT / 2).await;
    stream.write_all(b"P").await.unwrap();
    tokio::time::sleep(HEADER_TIMEOUT / 5).await;
    let rest = b"OST /slow HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(rest).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    assert!(answer.ends_with(b"slow"), "{}", String::from_utf8_lossy(&answer));
    let client = PeerClient::new(address);
    for _ in 0..2 {
        let number: u32 = client.call("/message", "token", &(), WAIT_LIMIT).await.unwrap();
        assert_eq!(number, 7);
        tokio::time::sleep(HEADER_TIMEOUT * 2).await;
    }
}
