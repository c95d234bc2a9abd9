//! Loopback TCP proxy that delays, blocks or resets the connections that pass through it.

use crate::fault_schedule::LinkFault;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

type FaultWatch = watch::Receiver<Option<LinkFault>>;

/// TCP proxy in front of one target address. Dropping it closes its listener and connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<Option<LinkFault>>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free loopback port, initially without a fault.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, watch) = watch::channel(None);
        let task = tokio::spawn(accept_connections(listener, target, watch));
        Ok(Self { address, fault, task })
    }

    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that affects all connections, or ends it with `None`.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(listener: TcpListener, target: SocketAddr, fault: FaultWatch) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(forward_connection(stream, target, fault.clone()));
    }
}

async fn forward_connection(client: TcpStream, target: SocketAddr, mut fault: FaultWatch) {
    if *fault.borrow_and_update() == Some(LinkFault::Reset) {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = forward_bytes(client_read, server_write, fault.clone(), true) => {}
        () = forward_bytes(server_read, client_write, fault.clone(), false) => {}
        () = wait_for_reset(&mut fault) => {}
    }
}

async fn wait_for_reset(fault: &mut FaultWatch) {
    let _ = fault.wait_for(|current| *current == Some(LinkFault::Reset)).await;
}

async fn forward_bytes(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    fault: FaultWatch,
    toward_target: bool,
) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = reader.read(&mut buffer).await else { return };
        let mut fault_watch = fault.clone();
        let blocked = |fault: &Option<LinkFault>| {
            matches!(fault, Some(LinkFault::Silence))
                || (toward_target && matches!(fault, Some(LinkFault::OneWay)))
        };
        let delay = match *fault_watch.borrow_and_update() {
            Some(LinkFault::Delay(delay)) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        // As with TCP, no byte of an open connection is lost: blocked bytes wait until the
        // fault ends.
        if fault_watch.wait_for(|fault| !blocked(fault)).await.is_err() {
            return;
        }
        if writer.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
