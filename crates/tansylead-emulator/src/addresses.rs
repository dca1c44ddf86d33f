//! Loopback addresses of this process alone, so that test programs run side by side.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Port of everything that listens once on its address.
pub const PORT: u16 = 20_100;

static NEXT: AtomicU16 = AtomicU16::new(1);

/// An address in the loopback network that nobody else of this process has. The network is chosen
/// by the process id.
pub fn next_ip() -> IpAddr {
    const NETWORKS: u32 = 200;
    let network = 20 + (std::process::id() % NETWORKS) as u8;
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // 0 and 255 as the last number are left out.
    let low_usable = 1 + low % 254;
    IpAddr::V4(Ipv4Addr::new(127, network, high, low_usable))
}

/// A socket address that nobody else of this process has.
pub fn next_address() -> SocketAddr {
    SocketAddr::new(next_ip(), PORT)
}
