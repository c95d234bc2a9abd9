//! Tests of the loopback proxy.

#![allow(clippy::unwrap_used)]

use baobabfall_soak::fault_proxy::FaultProxy;
use baobabfall_soak::fault_schedule::LinkFault;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SHORT: Duration = Duration::from_millis(150);

/// A proxy to a server that sends every byte back.
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
    tokio::time::timeout(SHORT, stream.read_u8()).await.ok()
}

/// Guards against a proxy that spoils connections without a fault.
#[tokio::test]
async fn proxy_without_fault_passes() {
    let proxy = echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap().unwrap(), 7);
}

/// Guards against faults that break the connection instead of silencing it,
/// and against bytes that are lost within a connection.
#[tokio::test]
async fn proxy_silence_holds_bytes_back() {
    for fault in [LinkFault::Silence, LinkFault::OneWay] {
        let proxy = echo_proxy().await;
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        proxy.set_fault(Some(fault));
        assert!(echo(&mut stream).await.is_none(), "{fault:?}");
        proxy.set_fault(None);
        assert_eq!(stream.read_u8().await.unwrap(), 7);
    }
}

/// Guards against resets that leave open connections alone or let new ones in.
#[tokio::test]
async fn proxy_reset_breaks_connections() {
    let proxy = echo_proxy().await;
    let mut held = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut held).await.unwrap().unwrap(), 7);
    proxy.set_fault(Some(LinkFault::Reset));
    assert!(held.read_u8().await.is_err());
    let mut next = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(next.read_u8().await.is_err());
    proxy.set_fault(None);
    let mut after = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut after).await.unwrap().unwrap(), 7);
}

/// Guards against a delay that is not kept.
#[tokio::test]
async fn proxy_delay_is_kept() {
    let proxy = echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    proxy.set_fault(Some(LinkFault::Delay(SHORT)));
    assert!(echo(&mut stream).await.is_none());
    assert_eq!(stream.read_u8().await.unwrap(), 7);
}
