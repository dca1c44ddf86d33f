//! Route lookup, weights, leaf choice and answer deadlines.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_route::{
    AnswerDeadlines, BreakerVerdict, CallerLimits, Candidate, Configuration, Distance, HomeRegions,
    Policy, Route, RouteTable, ShardSet, Target, WeightedRoundRobin, WeightedService, choose_leaf,
};
use tansylead_types::ServiceName;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("valid name")
}

fn policy() -> Policy {
    Policy {
        repeatable: true,
        maximum_attempts: 2,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(250),
        priority: 1,
        homes: HomeRegions::default(),
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        target: Target::Services(vec![WeightedService {
            service: service("s"),
            weight: 1.0,
        }]),
        policy: policy(),
    })
}

fn table(routes: Vec<Arc<Route>>) -> RouteTable {
    RouteTable::new(&Configuration {
        version: 1,
        routes,
        services: BTreeMap::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    })
}

fn found<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.find(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_wins() {
    let table = table(vec![
        route("short", "h.example", "/a/"),
        route("long", "h.example", "/a/b/"),
        route("other", "o.example", "/"),
    ]);
    assert_eq!(found(&table, "h.example", "/a/b/c"), Some("long"));
    assert_eq!(found(&table, "h.example", "/a/c"), Some("short"));
    assert_eq!(found(&table, "h.example", "/b/"), None);
    assert_eq!(found(&table, "x.example", "/a/"), None);
}

#[test]
fn hosts_match_without_port_and_case() {
    let table = table(vec![route("r", "h.example", "/")]);
    assert_eq!(found(&table, "H.Example:8080", "/x"), Some("r"));
}

#[test]
fn requests_are_distributed_by_weight() {
    let weights = [5.0, 3.0, 2.0, 0.0];
    let names = ["a", "b", "c", "d"];
    let services: Vec<WeightedService> = names
        .iter()
        .zip(weights)
        .map(|(name, weight)| WeightedService {
            service: service(name),
            weight,
        })
        .collect();
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts = [0_u32; 4];
    for _ in 0..100 {
        counts[round_robin.next(&services).expect("weights above zero")] += 1;
    }
    assert_eq!(counts, [50, 30, 20, 0]);
}

#[test]
fn a_fleet_whose_daemons_see_few_requests_each_shares_them_by_weight() {
    // Regression: all daemons started at the same turn, and with three requests each the service with
    // the lowest weight got none.
    const DAEMONS: u32 = 65;
    const REQUESTS: u32 = 3;
    let weights = [0.5, 0.3, 0.2];
    let services = weights.map(|weight| WeightedService {
        service: service("s"),
        weight,
    });
    let mut random = StdRng::seed_from_u64(1);
    let mut counts = [0_u32; 3];
    for _ in 0..DAEMONS {
        let mut round_robin = WeightedRoundRobin::starting_at(random.random());
        for _ in 0..REQUESTS {
            counts[round_robin.next(&services).expect("weights above zero")] += 1;
        }
    }
    for (count, weight) in counts.into_iter().zip(weights) {
        let share = f64::from(count) / f64::from(DAEMONS * REQUESTS);
        assert!((share - weight).abs() < 0.1, "{share} instead of {weight}");
    }
}

#[test]
fn services_without_weight_get_no_requests() {
    let services = vec![WeightedService {
        service: service("a"),
        weight: 0.0,
    }];
    assert_eq!(WeightedRoundRobin::default().next(&services), None);
}

const TYPICAL: Duration = Duration::from_millis(30);

fn candidate(distance: Distance) -> Candidate {
    Candidate {
        verdict: BreakerVerdict::Healthy,
        distance,
        round_trip: match distance {
            Distance::Zone => Duration::from_micros(200),
            Distance::Region => Duration::from_millis(2),
            Distance::Remote => Duration::from_millis(24),
        },
        in_flight: 0,
        limit: 4,
        slowness: 1.0,
        is_reserve: false,
        failure_rate: 0.0,
        resets_connections: false,
        has_idle_connection: true,
    }
}

#[test]
fn near_leafs_are_preferred() {
    let candidates = [
        candidate(Distance::Remote),
        candidate(Distance::Zone),
        candidate(Distance::Region),
    ];
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(1));
}

#[test]
fn a_healthy_remote_leaf_is_preferred_to_an_avoided_near_one() {
    let mut near = candidate(Distance::Zone);
    near.verdict = BreakerVerdict::Avoid;
    let candidates = [near, candidate(Distance::Remote)];
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(1));
}

#[test]
fn a_free_remote_leaf_is_preferred_to_a_full_near_one() {
    let mut near = candidate(Distance::Zone);
    near.in_flight = near.limit;
    let candidates = [near, candidate(Distance::Remote)];
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(1));
}

#[test]
fn a_remote_leaf_is_preferred_to_a_slow_near_one() {
    let mut near = candidate(Distance::Zone);
    near.slowness = 4.0;
    let candidates = [near, candidate(Distance::Remote)];
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(1));
}

#[test]
fn if_all_leafs_are_slow_near_ones_are_still_preferred() {
    let mut candidates = [candidate(Distance::Zone), candidate(Distance::Remote)];
    for candidate in &mut candidates {
        candidate.slowness = 4.0;
    }
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(0));
}

#[test]
fn an_avoided_leaf_is_better_than_none() {
    let mut only = candidate(Distance::Remote);
    only.verdict = BreakerVerdict::Avoid;
    assert_eq!(choose_leaf(&[only], TYPICAL, 0), Some(0));
    assert_eq!(choose_leaf(&[], TYPICAL, 0), None);
}

#[test]
fn of_two_equal_leafs_the_less_loaded_one_is_chosen() {
    let mut busy = candidate(Distance::Zone);
    busy.in_flight = 2;
    let candidates = [busy, candidate(Distance::Zone)];
    for random in 0..4 {
        assert_eq!(choose_leaf(&candidates, TYPICAL, random), Some(1));
    }
}

#[test]
fn parts_needed_rounds_up_but_not_for_rounding_errors() {
    let needed = |shards: usize, minimum_coverage: f64| {
        let shards = (0..shards).map(|shard| service(&format!("s{shard}")));
        let set = ShardSet {
            shards: shards.collect(),
            top: 1,
            minimum_coverage,
        };
        set.parts_needed()
    };
    assert_eq!(needed(10, 0.89), 9);
    assert_eq!(needed(10, 0.9), 9);
    assert_eq!(needed(10, 0.75), 8);
    assert_eq!(needed(15, 0.89), 14);
    assert_eq!(needed(10, 0.0), 1);
}

#[test]
fn a_partial_answer_is_sent_before_the_objective_and_before_the_end() {
    let deadlines = AnswerDeadlines::new(&policy(), Duration::from_secs(4));
    assert!(deadlines.partial_from < policy().objective);
    assert_eq!(deadlines.end, Duration::from_secs(4));
    let short = AnswerDeadlines::new(&policy(), Duration::from_millis(100));
    assert!(short.partial_from < short.end);
    assert_eq!(short.end, Duration::from_millis(100));
}

#[test]
fn a_remote_leaf_is_preferred_to_a_near_one_that_fails_many_requests() {
    // Regression: a leaf that failed requests fast looked like the best one.
    let mut candidates = [candidate(Distance::Zone), candidate(Distance::Remote)];
    candidates[0].failure_rate = 0.05;
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(0));
    candidates[0].failure_rate = 0.4;
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(1));
}

#[test]
fn a_leaf_that_resets_connections_is_used_only_on_open_ones() {
    let mut candidates = [candidate(Distance::Zone), candidate(Distance::Remote)];
    candidates[0].resets_connections = true;
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(0));
    candidates[0].has_idle_connection = false;
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(1));
}

#[test]
fn a_reserve_is_used_only_if_no_other_leaf_is_healthy() {
    let mut candidates = [candidate(Distance::Zone), candidate(Distance::Remote)];
    candidates[0].is_reserve = true;
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(1));
    candidates[1].verdict = BreakerVerdict::Avoid;
    assert_eq!(choose_leaf(&candidates, TYPICAL, 0), Some(0));
}
