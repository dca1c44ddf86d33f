//! Goodput of one place at twice its limit: frontends that learn only from delayed reports and
//! refusals must not leave the roots idle.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tansylead_cluster::routing::{
    PlaceChoice, RootReport, ServicePlaces, choose_place, choose_root,
};
use tansylead_types::{Moment, NodeId, PlaceName, ServiceName, TableRow, TrafficTable};

const FRONTENDS: usize = 3;
const LIMIT: u32 = 400;
const SECONDS: u64 = 20;
/// One-way delay between regions.
const ONE_WAY_MILLIS: u64 = 12;
const BURST_SECONDS: f64 = 0.1;
const METER_MILLIS: u64 = 1_000;

/// Admission control of one root: a token bucket and the rate it reports.
struct Root {
    rate: f64,
    tokens: f64,
    admitted: VecDeque<u64>,
}

impl Root {
    fn refill(&mut self) {
        let burst = (self.rate * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + self.rate / 1_000.0).min(burst);
    }

    fn admit(&mut self, at: u64) -> bool {
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
            self.admitted.push_back(at);
        }
        admitted
    }

    fn report(&mut self, at: u64) -> RootReport {
        self.admitted
            .retain(|&admitted| at - admitted < METER_MILLIS);
        RootReport {
            admitted_rate: self.admitted.len() as f64,
            usable_rate: self.rate,
        }
    }
}

struct Answer {
    frontend: usize,
    root: NodeId,
    admitted: bool,
    report: RootReport,
}

/// Returns queries admitted as a share of the limit, and queries forwarded per query admitted.
fn simulate_overload(arrivals_per_second: u32) -> (f64, f64) {
    let service = ServiceName::new("screening-1").expect("name");
    let place = PlaceName::new("bangkok").expect("name");
    let own_place = PlaceName::new("phuket").expect("name");
    let table = TrafficTable::from_rows(vec![TableRow {
        service: service.clone(),
        place: place.clone(),
        hours: "0-24".parse().expect("hours"),
        weight: 1,
        limit: LIMIT,
    }]);
    let nodes = [1u16, 2].map(|port| NodeId(([10, 0, 0, 1], port).into()));
    let own_node = NodeId(([10, 0, 0, 2], 1).into());
    let mut known: Vec<ServicePlaces> = vec![ServicePlaces::default(); FRONTENDS];
    for places in &mut known {
        places.set_roots(&place, nodes);
    }
    let rate = f64::from(LIMIT) / 2.0;
    let mut roots = nodes.map(|_| Root {
        rate,
        tokens: 0.0,
        admitted: VecDeque::new(),
    });
    let mut arriving: BTreeMap<u64, Vec<(usize, NodeId)>> = BTreeMap::new();
    let mut answers: BTreeMap<u64, Vec<Answer>> = BTreeMap::new();
    let mut random = StdRng::seed_from_u64(8);
    let (mut admitted, mut forwarded) = (0u32, 0u32);
    for millis in 0..SECONDS * 1_000 {
        let now = Moment::from_millis(millis);
        for answer in answers.remove(&millis).unwrap_or_default() {
            let places = &mut known[answer.frontend];
            places.on_report(now, &place, answer.root, answer.report);
            if !answer.admitted {
                places.on_refusal(now, &place, answer.root, Duration::from_millis(500));
            }
        }
        roots.iter_mut().for_each(Root::refill);
        for (frontend, node) in arriving.remove(&millis).unwrap_or_default() {
            let root = &mut roots[usize::from(node.0.port()) - 1];
            let is_admitted = root.admit(millis);
            admitted += u32::from(is_admitted);
            let answer = Answer {
                frontend,
                root: node,
                admitted: is_admitted,
                report: root.report(millis),
            };
            answers
                .entry(millis + ONE_WAY_MILLIS)
                .or_default()
                .push(answer);
        }
        for (frontend, places) in known.iter().enumerate() {
            let arrival_probability = f64::from(arrivals_per_second) / 1_000.0 / FRONTENDS as f64;
            if random.random::<f64>() >= arrival_probability {
                continue;
            }
            let choice = choose_place(now, &service, 0, &own_place, &table, places, &mut random);
            if let PlaceChoice::Place { place, .. } = choice
                && let Some(root) = choose_root(now, own_node, &place, places, &mut random)
            {
                forwarded += 1;
                arriving
                    .entry(millis + ONE_WAY_MILLIS)
                    .or_default()
                    .push((frontend, root));
            }
        }
    }
    let possible = f64::from(LIMIT) * SECONDS as f64;
    (
        f64::from(admitted) / possible,
        f64::from(forwarded) / f64::from(admitted),
    )
}

#[test]
fn at_twice_the_limit_the_place_takes_nearly_all_of_it() {
    let (goodput, forwarded) = simulate_overload(2 * LIMIT);
    println!("goodput {goodput:.3} of the limit, {forwarded:.2} forwarded per admitted query");
    assert!((0.95..=1.01).contains(&goodput), "{goodput:.3}");
    assert!(forwarded < 2.0, "{forwarded:.2}");
}
