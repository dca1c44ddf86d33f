//! Loopback addresses of this process alone, so that test programs run side by side.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

/// Port of everything that listens once on its address.
pub const PORT: u16 = 20_100;

static NEXT: AtomicU16 = AtomicU16::new(1);

/// An address in the loopback network that nobody else of this process has. The network is chosen
/// by the process id.
pub fn next_ip() -> IpAddr {
    const NETWORKS: u32 = 200;
    const HOSTS: u16 = 254;
    let network = 20 + (std::process::id() % NETWORKS) as u8;
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    // 0 and 255 as the last number are left out.
    let high = (number / HOSTS) as u8;
    let low = 1 + (number % HOSTS) as u8;
    IpAddr::V4(Ipv4Addr::new(127, network, high, low))
}

/// A socket address that nobody else of this process has.
pub fn next_address() -> SocketAddr {
    SocketAddr::new(next_ip(), PORT)
}

/// Binds an address, which the listener of an earlier run may still hold for a moment.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    const TRIES: u32 = 50;
    const PAUSE: Duration = Duration::from_millis(20);
    for _ in 1..TRIES {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Ok(listener);
        }
        tokio::time::sleep(PAUSE).await;
    }
    TcpListener::bind(address).await
}
