//! Helpers for tests of roll-outs.

#[allow(dead_code, reason = "not every test file needs all of it")]
pub mod faulty_source;
#[allow(dead_code, reason = "not every test file has a fleet")]
pub mod fleet;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{GatewaySettings, HeaderNames};

/// The state of a daemon with this peer address and these seeds.
pub fn gateway(peer_address: SocketAddr, seeds: Vec<SocketAddr>) -> Rc<Gateway> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let mut settings = GatewaySettings::load(&root.join("settings.toml")).expect("settings");
    settings.peer_address = peer_address;
    settings.seeds = seeds;
    Rc::new(Gateway::new(settings, HeaderNames::default()))
}
