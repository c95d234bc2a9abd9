//! Proxy that stands for a link. While the link is cut nothing passes; afterwards heartbeats may
//! arrive late.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);

/// State of a link, shared by the proxies that stand for it.
#[derive(Clone, Default)]
pub struct Link(Arc<Mutex<LinkState>>);

#[derive(Clone, Copy, Default)]
struct LinkState {
    is_cut: bool,
    /// How late a heartbeat arrives.
    heartbeat_delay: Duration,
}

impl Link {
    pub fn cut(&self) {
        self.0.lock().unwrap().is_cut = true;
    }

    /// Ends the cut. Heartbeats that are sent from now on arrive late.
    pub fn heal(&self, heartbeat_delay: Duration) {
        *self.0.lock().unwrap() = LinkState { is_cut: false, heartbeat_delay };
    }

    fn state(&self) -> LinkState {
        *self.0.lock().unwrap()
    }
}

/// Listens on `address` and connects each connection to `target`.
pub fn start(address: SocketAddr, target: SocketAddr, link: &Link) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let link = link.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let link = link.clone();
            thread::spawn(move || drop(forward(stream, target, &link)));
        }
    });
    Ok(())
}

/// Passes a connection on. One that begins during a cut gets no answer and is dropped.
fn forward(mut client: TcpStream, target: SocketAddr, link: &Link) -> io::Result<()> {
    if link.state().is_cut {
        while link.state().is_cut {
            thread::sleep(TICK);
        }
        return Ok(());
    }
    let mut first = [0; 4096];
    let length = client.read(&mut first)?;
    if first.starts_with(b"PUT ") {
        thread::sleep(link.state().heartbeat_delay);
    }
    let mut server = TcpStream::connect(target)?;
    server.write_all(&first[..length])?;
    let (mut answers, mut back) = (server.try_clone()?, client.try_clone()?);
    let returning = thread::spawn(move || {
        let _ = io::copy(&mut answers, &mut back);
        let _ = back.shutdown(Shutdown::Write);
    });
    let _ = io::copy(&mut client, &mut server);
    let _ = server.shutdown(Shutdown::Write);
    let _ = returning.join();
    Ok(())
}
