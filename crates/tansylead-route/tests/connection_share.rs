//! How a leaf's connections are divided among daemons.

use std::collections::BTreeSet;
use tansylead_route::{ConnectionShare, DaemonCounts, SharedLeaf};
use tansylead_types::{LeafId, PlaceName};

fn place(name: &str) -> PlaceName {
    PlaceName::new(name).expect("valid name")
}

fn places(names: &[&str]) -> BTreeSet<PlaceName> {
    names.iter().map(|name| place(name)).collect()
}

const REGIONS: [&str; 3] = ["north", "middle", "south"];

/// Daemons of three regions, `each` in every region, as seen by one of this rank in its region.
fn daemons(each: usize, rank: usize) -> DaemonCounts {
    let regions = REGIONS.into_iter().map(place);
    DaemonCounts::new(regions.flat_map(|region| vec![region; each]), rank)
}

/// Each daemon's region and its connections to a leaf in the north; 0 if the leaf is only a reserve.
fn shares(maximum: u32, each: usize, service_regions: &BTreeSet<PlaceName>) -> Vec<(String, u32)> {
    let region = place("north");
    let id = LeafId::new("leaf").expect("valid name");
    let leaf = SharedLeaf {
        leaf: &id,
        maximum_connections: maximum,
        region: Some(&region),
        service_regions,
    };
    let mut shares = Vec::new();
    for name in REGIONS {
        for rank in 0..each {
            let share = leaf.share(&place(name), &daemons(each, rank));
            let connections = if share.is_reserve {
                0
            } else {
                share.connections
            };
            shares.push((name.to_owned(), connections));
        }
    }
    shares
}

fn sum(shares: &[(String, u32)], region: &str) -> u32 {
    let own = shares.iter().filter(|(name, _)| name == region);
    own.map(|(_, connections)| connections).sum()
}

#[test]
fn all_daemons_together_stay_below_what_a_leaf_accepts() {
    let everywhere = places(&REGIONS);
    for maximum in [6, 12, 14, 41, 67, 110, 480] {
        for each in [1, 3, 23, 40] {
            let shares = shares(maximum, each, &everywhere);
            let total: u32 = shares.iter().map(|(_, connections)| connections).sum();
            assert!(
                total <= maximum,
                "{total} of {maximum} with {each} daemons a region"
            );
        }
    }
}

#[test]
fn a_daemon_of_the_leafs_region_has_twice_the_connections_of_a_far_one() {
    let shares = shares(41, 3, &places(&REGIONS));
    let far = sum(&shares, "middle") + sum(&shares, "south");
    let difference = sum(&shares, "north").abs_diff(far);
    assert!(difference <= 1, "{shares:?}");
}

#[test]
fn daemons_without_a_nearer_leaf_share_evenly() {
    let shares = shares(45, 3, &places(&["north"]));
    let exact = 45.0 * 0.9 / 9.0;
    for (region, connections) in &shares {
        assert!(f64::from(*connections) >= f64::floor(exact), "{region}");
    }
}

#[test]
fn a_daemon_without_a_whole_connection_keeps_the_leaf_as_a_reserve() {
    let region = place("north");
    let everywhere = places(&REGIONS);
    let id = LeafId::new("leaf").expect("valid name");
    let leaf = SharedLeaf {
        leaf: &id,
        maximum_connections: 6,
        region: Some(&region),
        service_regions: &everywhere,
    };
    let far: Vec<ConnectionShare> = (0..40)
        .map(|rank| leaf.share(&place("south"), &daemons(40, rank)))
        .collect();
    assert!(far.iter().all(|share| share.connections == 1));
    assert!(far.iter().filter(|share| share.is_reserve).count() > 30);
}

#[test]
fn assumed_daemons_are_spread_over_the_regions() {
    let regions = places(&REGIONS);
    let assumed = DaemonCounts::default().at_least(8, &regions);
    assert!(assumed.total() >= 8);
    let known = daemons(20, 3);
    assert_eq!(known.at_least(8, &regions), known);
}
