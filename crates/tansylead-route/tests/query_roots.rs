//! Which daemons run queries over shards, and how they divide extra attempts and connections.

use proptest::prelude::*;
use std::time::Duration;
use tansylead_route::{
    DaemonCounts, QueryRunners, RootCandidate, SharedLeaf, is_too_busy, query_roots,
};
use tansylead_types::{LeafId, PlaceName};

fn candidates(capacities: &[u16]) -> Vec<RootCandidate<usize>> {
    let numbered = capacities.iter().enumerate();
    numbered
        .map(|(daemon, &capacity)| RootCandidate { daemon, capacity })
        .collect()
}

#[test]
fn where_machines_are_alike_every_daemon_runs_what_it_receives() {
    assert!(query_roots(&candidates(&[250; 9])).is_empty());
    assert!(query_roots(&candidates(&[500, 400, 300])).is_empty());
    assert!(query_roots(&candidates(&[])).is_empty());
}

#[test]
fn the_larger_machines_run_the_queries_of_all() {
    let mut capacities = vec![120; 18];
    capacities.extend([500; 4]);
    assert_eq!(query_roots(&candidates(&capacities)), [18, 19, 20, 21]);
}

#[test]
fn a_single_large_machine_does_not_become_a_root() {
    assert!(query_roots(&candidates(&[120, 120, 120, 500])).is_empty());
}

#[test]
fn few_large_machines_among_very_many_run_the_queries_of_all() {
    for small in [60, 317, 645] {
        let mut capacities = vec![120; small];
        capacities.extend([500; 20]);
        let large: Vec<usize> = (small..small + 20).collect();
        assert_eq!(query_roots(&candidates(&capacities)), large);
    }
}

#[test]
fn a_root_declines_what_it_would_answer_late() {
    let objective = Duration::from_millis(120);
    assert!(!is_too_busy(Duration::from_millis(40), objective));
    assert!(is_too_busy(Duration::from_millis(61), objective));
}

fn place(name: &str) -> PlaceName {
    PlaceName::new(name).expect("valid name")
}

/// Counts of daemons in regions, as seen by the one of this rank in its own region.
fn counts(regions: &[(&str, usize)], rank: usize) -> DaemonCounts {
    let daemons = regions
        .iter()
        .flat_map(|(name, count)| std::iter::repeat_n(place(name), *count));
    DaemonCounts::new(daemons, rank)
}

/// Two regions with four roots each and one whose three daemons are alike, as seen by one daemon.
fn seen_by(is_runner: bool) -> QueryRunners {
    QueryRunners {
        runners: counts(&[("a", 4), ("b", 4), ("c", 3)], 0),
        others: counts(&[("a", 18), ("b", 17)], 0),
        is_runner,
    }
}

#[test]
fn parts_of_the_slack_add_up_to_no_more_than_all_of_it() {
    let slack_share = |is_runner| seen_by(is_runner).slack_share().expect("they differ");
    let total = slack_share(true) * 11.0 + slack_share(false) * 35.0;
    assert!(total <= 1.0 + 1e-9, "{total}");
    let equal = 1.0 / 46.0;
    assert!((slack_share(true) - 0.75 / 11.0).abs() < 1e-9);
    assert!(slack_share(true) > 3.0 * equal && slack_share(false) < equal);
}

#[test]
fn where_all_daemons_run_queries_there_are_no_groups() {
    let runners = QueryRunners {
        runners: counts(&[("a", 9)], 2),
        others: DaemonCounts::default(),
        is_runner: true,
    };
    assert_eq!(runners.slack_share(), None);
    assert!(runners.own_group().is_none());
}

/// Connections of each daemon to one leaf, for the roots and for the others, with `large` roots and `small`
/// others in each region.
fn connections_by_role(
    small: usize,
    large: usize,
    maximum_connections: u32,
) -> (Vec<u32>, Vec<u32>) {
    let regions = ["a", "b", "c"];
    let all = |count| regions.map(|region| (region, count));
    let service_regions = regions.iter().map(|region| place(region)).collect();
    let leaf = LeafId::new("leaf").expect("valid name");
    let home = place("a");
    let shared = SharedLeaf {
        leaf: &leaf,
        maximum_connections,
        region: Some(&home),
        service_regions: &service_regions,
    };
    let of_role = |is_runner: bool, count: usize| {
        let mut connections = Vec::new();
        for region in regions {
            for rank in 0..count {
                let runners = QueryRunners {
                    runners: counts(&all(large), rank),
                    others: counts(&all(small), rank),
                    is_runner,
                };
                let group = runners.own_group().expect("they differ");
                let share = shared.share_among(&place(region), group);
                connections.push(if share.is_reserve {
                    0
                } else {
                    share.connections
                });
            }
        }
        connections
    };
    (of_role(true, large), of_role(false, small))
}

#[test]
fn each_root_has_a_whole_connection_to_a_leaf_that_accepts_fewer_than_there_are_daemons() {
    for (small, large) in [(308, 20), (640, 20)] {
        let (roots, others) = connections_by_role(small, large, 195);
        assert!(
            roots.iter().all(|connections| *connections >= 1),
            "{roots:?}"
        );
        let sum: u32 = roots.iter().chain(&others).sum();
        assert!(sum <= 195, "{sum}");
    }
}

proptest! {
    #[test]
    fn roots_do_not_depend_on_the_order_and_are_large(
        capacities in proptest::collection::vec(1..2_000_u16, 0..40),
    ) {
        let mut roots = query_roots(&candidates(&capacities));
        let mut reversed = candidates(&capacities);
        reversed.reverse();
        let mut others = query_roots(&reversed);
        roots.sort_unstable();
        others.sort_unstable();
        prop_assert_eq!(&roots, &others);
        let largest = capacities.iter().max().copied().unwrap_or(0);
        for root in roots {
            prop_assert!(capacities[root] * 2 >= largest);
        }
    }
}
