//! Loopback addresses that are unique to this process, so that test programs can run in parallel.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

/// Port of every process that listens on only one port of its address.
pub const PORT: u16 = 20_100;

static NEXT: AtomicU16 = AtomicU16::new(1);

/// Returns an unused loopback address. The process id selects the network.
pub fn next_ip() -> IpAddr {
    const NETWORKS: u32 = 200;
    const HOSTS: u16 = 254;
    let network = 20 + (std::process::id() % NETWORKS) as u8;
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    // The last octet is never 0 or 255.
    let high = (number / HOSTS) as u8;
    let low = 1 + (number % HOSTS) as u8;
    IpAddr::V4(Ipv4Addr::new(127, network, high, low))
}

/// Returns an unused socket address.
pub fn next_address() -> SocketAddr {
    SocketAddr::new(next_ip(), PORT)
}

/// Binds an address; retries because the listener of an earlier run may still hold it briefly.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    const ATTEMPTS: u32 = 50;
    const PAUSE: Duration = Duration::from_millis(20);
    for _ in 1..ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Ok(listener);
        }
        tokio::time::sleep(PAUSE).await;
    }
    TcpListener::bind(address).await
}
