//! Loopback proxy that spoils the connections that pass it.

use crate::fault_schedule::LinkFault;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

type FaultWatch = watch::Receiver<Option<LinkFault>>;

/// A proxy before one address; dropping it closes its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<Option<LinkFault>>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy to `target` without a fault.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, watch) = watch::channel(None);
        let task = tokio::spawn(accept(listener, target, watch));
        Ok(Self { address, fault, task })
    }

    /// Address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins a fault, or ends it.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, fault: FaultWatch) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(pass(stream, target, fault.clone()));
    }
}

async fn pass(near: TcpStream, target: SocketAddr, mut fault: FaultWatch) {
    if *fault.borrow_and_update() == Some(LinkFault::Reset) {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, fault.clone(), true) => {}
        () = pump(far_read, near_write, fault.clone(), false) => {}
        () = reset(&mut fault) => {}
    }
}

async fn reset(fault: &mut FaultWatch) {
    let _ = fault.wait_for(|held| *held == Some(LinkFault::Reset)).await;
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, fault: FaultWatch, inward: bool) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else { return };
        let mut held = fault.clone();
        let lost = |fault: &Option<LinkFault>| {
            matches!(fault, Some(LinkFault::Silence))
                || (inward && matches!(fault, Some(LinkFault::OneWay)))
        };
        let delay = match *held.borrow_and_update() {
            Some(LinkFault::Delay(delay)) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        // Nothing is lost within a connection; bytes wait until the fault ends.
        if held.wait_for(|fault| !lost(fault)).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
