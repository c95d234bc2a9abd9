//! Tests of the faults that the loopback proxy applies.

#![allow(clippy::unwrap_used)]

use baobabfall_soak::fault_proxy::FaultProxy;
use baobabfall_soak::fault_schedule::LinkFault;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts a proxy in front of a server that echoes every byte.
async fn echo_proxy() -> FaultProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    FaultProxy::start(address).await.unwrap()
}

async fn echo(stream: &mut TcpStream) -> Option<std::io::Result<u8>> {
    stream.write_all(&[7]).await.ok()?;
    tokio::time::timeout(REPLY_TIMEOUT, stream.read_u8()).await.ok()
}

/// Guards against a proxy that disturbs connections although no fault is set.
#[tokio::test]
async fn proxy_without_fault_forwards_bytes() {
    let proxy = echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap().unwrap(), 7);
}

/// Guards against a silence fault that closes the connection instead of blocking it, and
/// against bytes that are lost rather than delivered after the fault ends.
#[tokio::test]
async fn proxy_silence_delays_bytes_until_fault_ends() {
    for fault in [LinkFault::Silence, LinkFault::OneWay] {
        let proxy = echo_proxy().await;
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        proxy.set_fault(Some(fault));
        assert!(echo(&mut stream).await.is_none(), "{fault:?}");
        proxy.set_fault(None);
        assert_eq!(stream.read_u8().await.unwrap(), 7);
    }
}

/// Guards against a reset fault that leaves established connections open or accepts new ones.
#[tokio::test]
async fn proxy_reset_breaks_connections() {
    let proxy = echo_proxy().await;
    let mut established = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut established).await.unwrap().unwrap(), 7);
    proxy.set_fault(Some(LinkFault::Reset));
    assert!(established.read_u8().await.is_err());
    let mut rejected = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(rejected.read_u8().await.is_err());
    proxy.set_fault(None);
    let mut restored = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut restored).await.unwrap().unwrap(), 7);
}

/// Guards against a delay fault that forwards bytes before the delay has passed.
#[tokio::test]
async fn proxy_delay_postpones_bytes() {
    let proxy = echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    proxy.set_fault(Some(LinkFault::Delay(REPLY_TIMEOUT)));
    assert!(echo(&mut stream).await.is_none());
    assert_eq!(stream.read_u8().await.unwrap(), 7);
}
