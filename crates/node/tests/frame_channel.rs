//! Tests of channels between processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::codec::MESSAGE_LIMIT;
use baobabfall_node::frame_channel::{
    ChannelError, FrameChannel, PendingChannel, upgrade_response,
};
use baobabfall_node::http_server::{FullResponse, ServerLimits, error_response, serve_upgradeable};
use baobabfall_node::stop_signal::{StopSender, stop_channel};
use http::Request;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const PROTOCOL: &str = "echo";

/// Starts a server that returns each message on its channels.
async fn start_echo() -> (SocketAddr, StopSender) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, signal) = stop_channel();
    let service = tower::service_fn(|request: Request<Incoming>| async {
        let Some(pending) = PendingChannel::take(request, PROTOCOL) else {
            let refused = error_response(ErrorKind::NotFound, "There is no such path.");
            return Ok::<FullResponse, Infallible>(refused);
        };
        tokio::spawn(async move {
            let mut channel = pending.open().await.unwrap();
            while let Ok((message, _)) = channel.read::<String>().await {
                channel.write(&message).await.unwrap();
            }
        });
        Ok(upgrade_response(PROTOCOL))
    });
    tokio::spawn(serve_upgradeable(listener, service, ServerLimits::default(), signal));
    (address, stop)
}

#[tokio::test]
async fn read_returns_messages_in_order() {
    let (address, _stop) = start_echo().await;
    let mut channel = FrameChannel::connect(address, "/", PROTOCOL, "token").await.unwrap();
    let long = "x".repeat(200_000);
    for message in ["a", "", long.as_str()] {
        channel.write(&message).await.unwrap();
    }
    for message in ["a", "", long.as_str()] {
        assert_eq!(channel.read::<String>().await.unwrap().0, message);
    }
}

#[tokio::test]
async fn connect_refusal_has_its_kind() {
    let (address, _stop) = start_echo().await;
    let refused = FrameChannel::connect(address, "/", "other", "token").await;
    assert_eq!(refused.err().unwrap().kind(), ErrorKind::NotFound);
}

/// Guards against a message cut off by the end of the connection, and against lengths for which
/// no memory is reserved.
#[tokio::test]
async fn read_cut_or_oversized_message_is_error() {
    for (frame, oversized) in [(vec![0, 0, 0, 9, 1, 0xa1], false), (vec![0xff; 4], true)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _): (TcpStream, _) = listener.accept().await.unwrap();
            let head = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\n\
                        upgrade: echo\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&frame).await.unwrap();
            stream.shutdown().await.unwrap();
            // Unread bytes of the request would reset the connection.
            let mut rest = Vec::new();
            let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut rest).await;
        });
        let mut channel = FrameChannel::connect(address, "/", PROTOCOL, "token").await.unwrap();
        let error = channel.read::<String>().await.unwrap_err();
        match oversized {
            true => assert!(error.to_string().contains(&MESSAGE_LIMIT.to_string()), "{error}"),
            false => assert!(matches!(error, ChannelError::Closed), "{error}"),
        }
    }
}
