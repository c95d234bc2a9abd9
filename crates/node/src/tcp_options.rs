//! Socket options that detect dead connections.

use std::time::Duration;
use tokio::net::TcpStream;

/// Time for which sent data may stay unacknowledged before the connection is
/// closed. Round trips between hosts take milliseconds, so a peer that does not
/// acknowledge for this long is lost.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Closes the connection when its peer acknowledges no sent data for
/// [`USER_TIMEOUT`]. Where `TCP_USER_TIMEOUT` cannot be set, the default timeouts
/// of the system remain.
pub fn set_user_timeout(stream: &TcpStream) {
    set_unread_timeout(stream, USER_TIMEOUT);
}

/// Closes the connection when its peer takes no sent data for `timeout`, because it is lost or
/// reads nothing.
pub fn set_unread_timeout(stream: &TcpStream, timeout: Duration) {
    let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(stream, millis) {
        log::debug!("TCP_USER_TIMEOUT could not be set: {error}");
    }
}
