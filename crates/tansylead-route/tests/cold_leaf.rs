//! Limits on what all daemons together send to a cold leaf.

use proptest::prelude::*;
use std::time::Duration;
use tansylead_route::{ColdLeafLimit, DaemonCounts, cold_share};
use tansylead_types::{LeafId, Moment, PlaceName};

const REGIONS: [&str; 3] = ["north", "middle", "south"];

fn place(name: &str) -> PlaceName {
    PlaceName::new(name).expect("valid name")
}

/// Daemons of three regions, `each` in every region, as seen by the one of this rank in its region.
fn daemons(each: usize, rank: usize) -> DaemonCounts {
    let regions = REGIONS.into_iter().map(place);
    DaemonCounts::new(regions.flat_map(|region| vec![region; each]), rank)
}

/// Sum of all daemons' shares of a cold leaf's requests, if `running` daemons run in each region and
/// each of them knows of `seen` in each region.
fn total(leaf: &str, per_second: f64, running: usize, seen: usize) -> u32 {
    let leaf = LeafId::new(leaf).expect("valid name");
    let shares = REGIONS.into_iter().flat_map(|region| {
        let leaf = leaf.clone();
        (0..running)
            .map(move |rank| cold_share(&leaf, per_second, &place(region), &daemons(seen, rank)))
    });
    shares.sum()
}

#[test]
fn all_daemons_together_send_no_more_than_a_cold_leaf_bears() {
    for each in [3, 22, 100] {
        for per_second in [5.0, 20.0, 100.0] {
            for number in 0..20 {
                let total = total(&format!("leaf-{number}"), per_second, each, each);
                assert!(
                    f64::from(total) <= per_second,
                    "{total} of {per_second}, {each} a region"
                );
                assert!(
                    f64::from(total) >= per_second * 0.6,
                    "{total} of {per_second}"
                );
            }
        }
    }
}

#[test]
fn daemons_that_do_not_know_a_quarter_of_the_others_stay_within_the_bound_and_its_slack() {
    // The users' bound is 1.5 times the rate plus five requests.
    for each in [4, 22, 100] {
        for per_second in [5.0, 20.0, 100.0] {
            let total = total("leaf", per_second, each, each - each / 4);
            let bound = per_second * 1.5 + 5.0;
            assert!(
                f64::from(total) <= bound,
                "{total} of {per_second}, {each} a region"
            );
        }
    }
}

proptest! {
    #[test]
    fn a_part_holds_in_every_second(
        share in 0..30_u32,
        steps in proptest::collection::vec((0..400_u64, 0..20_u32), 1..200),
    ) {
        let mut limit = ColdLeafLimit::default();
        let mut now = Moment::from_millis(5_000);
        limit.set_share(Some(share));
        limit.on_reported_cold(now, Duration::from_secs(1_000));
        let mut sent: Vec<Moment> = Vec::new();
        for (after_millis, requests) in steps {
            now = now + Duration::from_millis(after_millis);
            for _ in 0..requests {
                if limit.has_room(now) {
                    limit.on_sent(now);
                    sent.push(now);
                }
            }
            let recent = sent.iter().filter(|at| now.since(**at) <= Duration::from_secs(1));
            prop_assert!(recent.count() <= share as usize);
        }
    }
}

#[test]
fn a_leaf_without_a_bound_or_no_longer_cold_has_room() {
    let mut limit = ColdLeafLimit::default();
    let now = Moment::from_millis(5_000);
    limit.on_reported_cold(now, Duration::from_secs(3));
    assert!(limit.is_cold(now) && limit.has_room(now), "no bound");
    limit.set_share(Some(0));
    assert!(!limit.has_room(now));
    assert!(limit.has_room(now + Duration::from_secs(3)), "warm again");
}
