//! Parts of the scale run: its configuration has the size of the design, its lines fit, and its
//! quantiles are those of the daemons that got there.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansylead_lab::scale::configuration::{ConfigurationSize, LEAFS, SERVICES, SHARDS, objects};
use tansylead_lab::scale::figures::Spread;
use tansylead_lab::scale::fit::{Growth, Sample, best_fit};
use tansylead_lab::scale::topology::{PLACES, ZONES, settings};
use tansylead_types::ConfigObject;

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 80).into()
}

#[test]
fn configuration_has_the_size_of_the_design() {
    let size = ConfigurationSize {
        daemons: 2_000,
        services: SERVICES,
    };
    let mut leafs = BTreeSet::new();
    let mut limits = 0_u64;
    for (_, object) in objects(size, address()).unwrap() {
        match object {
            ConfigObject::Placement(placement) => {
                assert_eq!(placement.snapshots[0].shards.len(), SHARDS);
                leafs.extend(placement.leafs.into_iter().map(|leaf| leaf.leaf));
            }
            ConfigObject::Table(table) => {
                let row_limits = table.rows.iter().map(|row| u64::from(row.limit));
                limits = row_limits.sum();
            }
            _ => {}
        }
    }
    assert_eq!(leafs.len(), LEAFS);
    // Three rows of hours, and room of twice the demand.
    assert_eq!(limits / 3 / 2, 300_000);
}

#[test]
fn daemons_live_in_all_places_and_zones_at_addresses_of_their_own() {
    let all: Vec<_> = (0..2_000)
        .map(|daemon| settings(daemon, address(), address()).unwrap())
        .collect();
    let places: BTreeSet<_> = all.iter().map(|one| one.place.clone()).collect();
    let zones: BTreeSet<_> = all.iter().map(|one| one.zone.clone()).collect();
    let addresses: BTreeSet<_> = all.iter().map(|one| one.peer_address).collect();
    assert_eq!(places.len(), PLACES);
    assert_eq!(zones.len(), ZONES);
    assert_eq!(addresses.len(), all.len());
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

#[test]
fn the_closer_line_is_chosen_and_extrapolated() {
    let sizes = [100.0, 200.0, 400.0, 800.0];
    let samples = |value: fn(f64) -> f64| {
        let sample = |size: &f64| Sample {
            size: *size,
            value: value(*size),
        };
        sizes.iter().map(sample).collect::<Vec<_>>()
    };
    let linear = best_fit(&samples(|size| 3.0 + 0.5 * size)).unwrap();
    assert_eq!(linear.growth, Growth::Linear);
    assert!((linear.at(2_000.0) - 1_003.0).abs() < 1e-6);
    let logarithmic = best_fit(&samples(|size| 1.0 + 2.0 * size.log10())).unwrap();
    assert_eq!(logarithmic.growth, Growth::Logarithmic);
    assert!((logarithmic.at(1_000.0) - 7.0).abs() < 1e-6);
    assert!(best_fit(&samples(|size| size)[..2]).is_none());
}

#[test]
fn spread_counts_daemons_that_did_not_get_there() {
    let moments: Vec<u64> = (1..=99).map(|number| number * 1_000_000).collect();
    let spread = Spread::of(0, &moments, 100);
    assert!(!spread.is_complete());
    assert_eq!(spread.first, 1.0);
    assert_eq!(spread.median, 50.0);
    assert_eq!(spread.last, 99.0);
}
