//! Ends connections whose peer has gone silent without a reset.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Probes without an answer that end a connection at rest.
const PROBES: u32 = 2;
/// Shortest time between probes that systems offer.
const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);

/// Has the system end a connection whose peer acknowledges nothing for `limit`, whether data is under way or
/// the connection rests: at rest the system sends probes.
pub fn end_after_silence(stream: &TcpStream, limit: Duration) {
    let keepalive = TcpKeepalive::new()
        .with_time((limit / 2).max(SHORTEST_INTERVAL))
        .with_interval((limit / 4).max(SHORTEST_INTERVAL))
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(limit)));
    if let Err(error) = set {
        // The connection works without, but its loss is noticed later.
        log::debug!(error:% = error; "silence of a connection is not watched");
    }
}
