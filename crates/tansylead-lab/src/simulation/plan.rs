//! The plan of one case: its faults and queries, drawn from a seed.
//!
//! Invariant: a plan says everything about a case; running it twice gives the same history. So a
//! failing plan can be shrunk by leaving parts of it out.

use super::fault::{Fault, FaultKind};
use super::topology::{DAEMONS, PLACES, SERVICES, Service};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tansylead_types::Moment;

/// Until then the daemons find one another; no queries and no faults.
pub const WARM_UP: Moment = Moment(10_000_000);
/// No fault begins later.
const LAST_FAULT_START: Moment = Moment(24_000_000);
/// No query of the load is sent later.
const LAST_QUERY: Moment = Moment(36_000_000);
/// From then on all faults are over and all their effects must have passed.
pub const PROBES_BEGIN: Moment = Moment(92_000_000);
/// The end of the case.
pub const END: Moment = Moment(100_000_000);
/// Time between a fault's end, at most, and the first probes.
const PROBE_PERIOD: Duration = Duration::from_millis(90);
/// Queries sent after all faults.
pub const PROBE_QUERIES: u64 = 60;
const LOAD_QUERIES: usize = 160;
/// Share of the queries that must not be repeated.
const NON_REPEATABLE_SHARE: f64 = 0.35;
/// Share of the non-repeatable queries whose key is sent again.
const SENT_AGAIN_SHARE: f64 = 0.5;
const CANCELLED_SHARE: f64 = 0.08;
const ROUTED_SHARE: f64 = 0.3;
/// Longest expiry of non-repeatable queries, and of their claims.
pub const LONGEST_EXPIRY: Duration = Duration::from_secs(8);

/// One query of the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedQuery {
    /// Names it within the case; also after shrinking.
    pub number: usize,
    /// When the caller sends it.
    pub at: Moment,
    /// Place of the caller.
    pub place: usize,
    /// Chooses the daemon among those that callers of the place use.
    pub daemon: usize,
    /// Service asked.
    pub service: Service,
    /// Routing key, if only one shard is asked.
    pub routing_key: Option<String>,
    /// Key and time to its expiry, if the query must not be repeated.
    pub key: Option<PlannedKey>,
    /// Time allowed.
    pub time_limit: Duration,
    /// When the caller goes away, counted from sending.
    pub cancel_after: Option<Duration>,
    /// Sent after all faults: must be answered completely.
    pub is_probe: bool,
}

/// The key of a query that must not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannedKey {
    /// Number of the key; equal when sent again.
    pub number: usize,
    /// Exact time of its expiry.
    pub expires: Moment,
}

/// One case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CasePlan {
    /// Feeds every random choice while the case runs.
    pub seed: u64,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Queries.
    pub queries: Vec<PlannedQuery>,
}

impl CasePlan {
    /// Draws a case with one fault of each of these kinds.
    pub fn draw(seed: u64, kinds: &[FaultKind]) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let faults = kinds.iter().map(|kind| draw_fault(*kind, &mut random));
        let faults = faults.collect();
        let mut queries = draw_load(&mut random);
        queries.extend(draw_probes(&mut random));
        Self {
            seed,
            faults,
            queries,
        }
    }
}

fn draw_fault(kind: FaultKind, random: &mut SmallRng) -> Fault {
    let at = random.random_range(WARM_UP.0 + 1_000_000..LAST_FAULT_START.0);
    Fault {
        kind,
        at: Moment(at),
        duration: Duration::from_millis(random.random_range(kind.duration_millis())),
        target: random.random_range(0..10_000),
    }
}

fn draw_load(random: &mut SmallRng) -> Vec<PlannedQuery> {
    let mut queries: Vec<PlannedQuery> = Vec::new();
    while queries.len() < LOAD_QUERIES {
        let at = Moment(random.random_range(WARM_UP.0..LAST_QUERY.0));
        let mut query = draw_query(queries.len(), at, random);
        if random.random_bool(CANCELLED_SHARE) {
            query.cancel_after = Some(Duration::from_millis(random.random_range(1..200)));
        }
        if query.key.is_some() && random.random_bool(SENT_AGAIN_SHARE) {
            queries.push(sent_again(&query, queries.len() + 1, random));
        }
        queries.push(query);
    }
    queries
}

fn draw_query(number: usize, at: Moment, random: &mut SmallRng) -> PlannedQuery {
    let service = SERVICES[random.random_range(0..SERVICES.len())];
    let longest = LONGEST_EXPIRY.as_millis() as u64 - 500;
    let key = random
        .random_bool(NON_REPEATABLE_SHARE)
        .then(|| PlannedKey {
            number,
            expires: at + Duration::from_millis(random.random_range(1_500..longest)),
        });
    let time_limit = match service {
        Service::Lookup => random.random_range(150..500),
        Service::Dispute => random.random_range(500..2_000),
    };
    PlannedQuery {
        number,
        at,
        place: random.random_range(0..PLACES),
        daemon: random.random_range(0..DAEMONS),
        service,
        routing_key: random
            .random_bool(ROUTED_SHARE)
            .then(|| format!("account{}", random.random_range(0..10))),
        key,
        time_limit: Duration::from_millis(time_limit),
        cancel_after: None,
        is_probe: false,
    }
}

/// The same key again: while the first is under way, or later, usually through another daemon.
fn sent_again(first: &PlannedQuery, number: usize, random: &mut SmallRng) -> PlannedQuery {
    let pause = match random.random_range(0..3) {
        0 => random.random_range(0..20),
        1 => random.random_range(20..1_000),
        _ => random.random_range(1_000..6_000),
    };
    PlannedQuery {
        number,
        at: first.at + Duration::from_millis(pause),
        place: random.random_range(0..PLACES),
        daemon: random.random_range(0..DAEMONS),
        cancel_after: None,
        ..first.clone()
    }
}

fn draw_probes(random: &mut SmallRng) -> Vec<PlannedQuery> {
    let probe = |index: u64| {
        let at = PROBES_BEGIN + PROBE_PERIOD * index as u32;
        let query = draw_query(LOAD_QUERIES * 2 + index as usize, at, random);
        PlannedQuery {
            time_limit: Duration::from_millis(2_000),
            place: index as usize % PLACES,
            service: SERVICES[index as usize / PLACES % SERVICES.len()],
            routing_key: None,
            is_probe: true,
            ..query
        }
    };
    (0..PROBE_QUERIES).map(probe).collect()
}
