//! Socket options against connections that go silent.

use std::time::Duration;
use tokio::net::TcpStream;

/// Time without an acknowledgement of sent bytes after which a connection
/// breaks. Links between hosts take milliseconds, so this is a lost peer.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Breaks the connection when its peer acknowledges nothing for
/// [`USER_TIMEOUT`]. A system without the option keeps its own time-outs.
pub fn set_user_timeout(stream: &TcpStream) {
    let millis = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(stream, millis) {
        log::debug!("TCP_USER_TIMEOUT not set: {error}");
    }
}
