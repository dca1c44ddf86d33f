//! Free ports for processes that must be told theirs before they start.
//!
//! Ports come from below the range that the kernel gives to outgoing connections, so that a
//! daemon can be restarted on its port: no connection can have taken it meanwhile.

use rand::RngExt;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Mutex;
use tansylead_types::StepError;

/// First port that may be chosen.
const FIRST_PORT: u16 = 12_000;
/// Last port that may be chosen.
const LAST_PORT: u16 = 31_999;
/// Ports tried before giving up.
const ATTEMPTS: u32 = 1_000;

/// Ports this process has given out, so that none is given twice.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A loopback address whose port is free for TCP and UDP.
pub fn free_address() -> Result<SocketAddr, StepError> {
    let mut given = GIVEN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for _ in 0..ATTEMPTS {
        let port = rand::rng().random_range(FIRST_PORT..=LAST_PORT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if !given.contains(&port) && is_free(address) {
            given.insert(port);
            return Ok(address);
        }
    }
    let range = format!("127.0.0.1:{FIRST_PORT}-{LAST_PORT}");
    Err(StepError::new("find a free port", range, "none found"))
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
