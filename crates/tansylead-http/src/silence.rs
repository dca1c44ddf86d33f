//! Closes connections whose peer has gone silent without a reset.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Unanswered keepalive probes after which an idle connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Shortest keepalive interval that operating systems support.
const MINIMUM_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Has the operating system close a connection whose peer acknowledges nothing for `limit`, whether data is in
/// flight or the connection is idle. It probes idle connections for that.
pub fn end_after_silence(stream: &TcpStream, limit: Duration) {
    let keepalive = TcpKeepalive::new()
        .with_time((limit / 2).max(MINIMUM_KEEPALIVE_INTERVAL))
        .with_interval((limit / 4).max(MINIMUM_KEEPALIVE_INTERVAL))
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    let result = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(limit)));
    if let Err(error) = result {
        // The connection works without these options, but its loss is noticed later.
        log::debug!(error:% = error; "keepalive of a connection could not be set");
    }
}
