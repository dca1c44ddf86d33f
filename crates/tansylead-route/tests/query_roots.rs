//! Who runs queries over shards.

use proptest::prelude::*;
use tansylead_route::{QueryRunners, RootCandidate, query_roots};

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
fn one_large_machine_or_too_little_of_the_capacity_takes_nothing_over() {
    assert!(query_roots(&candidates(&[120, 120, 120, 500])).is_empty());
    let mut capacities = vec![120; 60];
    capacities.extend([500; 2]);
    assert!(query_roots(&candidates(&capacities)).is_empty());
}

#[test]
fn parts_of_the_slack_add_up_to_no_more_than_all_of_it() {
    let sees = |is_runner| {
        let mut runners = QueryRunners::default();
        // Two regions with four roots each, and one whose three daemons are alike.
        runners.add_region(22, 4);
        runners.add_region(21, 4);
        runners.add_region(3, 0);
        runners.set_is_runner(is_runner);
        runners.slack_share().expect("they differ")
    };
    let total = sees(true) * 11.0 + sees(false) * 35.0;
    assert!(total <= 1.0 + 1e-9, "{total}");
    let equal = 1.0 / 46.0;
    assert!((sees(true) - 0.75 / 11.0).abs() < 1e-9);
    assert!(sees(true) > 3.0 * equal && sees(false) < equal);
}

#[test]
fn where_all_daemons_run_queries_no_one_has_a_part_of_its_own() {
    let mut runners = QueryRunners::default();
    runners.add_region(9, 0);
    runners.set_is_runner(true);
    assert_eq!(runners.slack_share(), None);
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
