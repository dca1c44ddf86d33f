//! Where the daemons of a scale run live: five places, eighteen zones, one loopback address each.

use std::net::{Ipv4Addr, SocketAddr};
use tansylead_types::ids::InvalidName;
use tansylead_types::settings::TimingSettings;
use tansylead_types::{PlaceName, Settings, ZoneName};

/// Places (regions) of the size to design for.
pub const PLACES: usize = 5;
/// Zones of all places together.
pub const ZONES: usize = 18;
/// Zones of each place.
const ZONES_OF_PLACE: [usize; PLACES] = [4, 4, 4, 3, 3];
/// Port at which each daemon listens for peers, on a loopback address of its own.
const PEER_PORT: u16 = 11_000;
/// Second number of the loopback addresses of the first place.
const FIRST_NETWORK: usize = 100;
/// Daemons of one place in one 256-address network.
const DAEMONS_PER_NETWORK: usize = 200;
/// Seeds of each place in every settings file.
const SEEDS_PER_PLACE: usize = 2;

/// Name of a place.
pub fn place_name(place: usize) -> Result<PlaceName, InvalidName> {
    PlaceName::new(format!("place-{}", place + 1))
}

/// Name of a zone of a place, for the n-th machine there.
pub fn zone_name(place: usize, position: usize) -> Result<ZoneName, InvalidName> {
    let zone = position % ZONES_OF_PLACE[place % PLACES];
    ZoneName::new(format!("zone-{}-{}", place + 1, zone + 1))
}

/// Peer address of the n-th daemon.
pub fn peer_address(daemon: usize) -> SocketAddr {
    let (place, position) = (daemon % PLACES, daemon / PLACES);
    let network = FIRST_NETWORK + place;
    let (third, fourth) = (
        position / DAEMONS_PER_NETWORK,
        position % DAEMONS_PER_NETWORK,
    );
    let octet = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    let address = Ipv4Addr::new(127, octet(network), octet(third), octet(fourth + 1));
    SocketAddr::from((address, PEER_PORT))
}

/// Settings of the n-th daemon.
pub fn settings(
    daemon: usize,
    caller_address: SocketAddr,
    store_address: SocketAddr,
) -> Result<Settings, InvalidName> {
    let (place, position) = (daemon % PLACES, daemon / PLACES);
    let own_address = peer_address(daemon);
    let seeds = (0..PLACES * SEEDS_PER_PLACE).map(peer_address);
    Ok(Settings {
        cluster: "scale".to_owned(),
        place: place_name(place)?,
        zone: zone_name(place, position)?,
        caller_address,
        peer_address: own_address,
        seeds: seeds.filter(|seed| *seed != own_address).collect(),
        store_address,
        machine_list_address: None,
        log_level: "warn".to_owned(),
        log_file: None,
        worker_threads: 2,
        timing: TimingSettings::default(),
    })
}
