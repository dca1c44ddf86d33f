//! Chooses one leaf of a service: healthy leafs first, and among these the one that is expected to
//! answer first.

use crate::breaker::BreakerVerdict;
use crate::leaf::Distance;
use std::time::Duration;

/// What the choice depends on for one leaf.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Verdict of its circuit breaker.
    pub verdict: BreakerVerdict,
    /// Distance; of two leafs with similar expected latency the nearer one is preferred.
    pub distance: Distance,
    /// Network round-trip time.
    pub round_trip: Duration,
    /// Number of this daemon's requests in progress at the leaf.
    pub in_flight: u32,
    /// Maximum number of concurrent requests from this daemon.
    pub limit: u32,
    /// Whether none of its connections falls to this daemon: used only if no other leaf can be.
    pub is_reserve: bool,
    /// Recent latency relative to the typical one; 1 is average.
    pub slowness: f64,
    /// Share of its recent answers that were failures.
    pub failure_rate: f64,
    /// Whether new connections to it are in backoff because it has reset some.
    pub resets_connections: bool,
    /// Whether a connection to it is idle, so that no new one has to be opened.
    pub has_idle_connection: bool,
}

/// Cost of opening a connection, in round trips.
const CONNECT_ROUND_TRIPS: f64 = 1.0;
/// Share of the typical latency by which a remote leaf must be faster to be preferred.
const REMOTE_PENALTY: f64 = 0.5;
/// Cost of a failure, in typical latencies: another attempt, and a part of the retry budget.
const FAILURE_COST: f64 = 5.0;

#[derive(Debug, PartialEq, PartialOrd)]
struct Cost {
    is_avoided: bool,
    is_reserve: bool,
    is_full: bool,
    expected_seconds: f64,
    tie_break: u32,
}

/// Index of the best candidate; none if there are no candidates. `typical` is the typical latency of
/// the request, without the round trip. `random` breaks ties.
pub fn choose_leaf(candidates: &[Candidate], typical: Duration, random: u32) -> Option<usize> {
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let shuffled = (index as u32).wrapping_add(random) % candidates.len().max(1) as u32;
        (index, cost(candidate, typical, shuffled))
    });
    costs
        .min_by(|(_, first), (_, second)| {
            first
                .partial_cmp(second)
                .unwrap_or(std::cmp::Ordering::Equal)
        })
        .map(|(index, _)| index)
}

fn cost(candidate: &Candidate, typical: Duration, tie_break: u32) -> Cost {
    let round_trip = candidate.round_trip.as_secs_f64();
    let typical = typical.as_secs_f64();
    let connect = if candidate.has_idle_connection {
        0.0
    } else {
        CONNECT_ROUND_TRIPS
    };
    let penalty = match candidate.distance {
        Distance::Zone => 0.0,
        Distance::Region => REMOTE_PENALTY / 2.0,
        Distance::Remote => REMOTE_PENALTY,
    };
    let load = f64::from(candidate.in_flight) / f64::from(candidate.limit.max(1));
    let work = typical * candidate.slowness * (1.0 + load);
    let failures = typical * candidate.failure_rate * FAILURE_COST;
    let unconnected = candidate.resets_connections && !candidate.has_idle_connection;
    Cost {
        // A leaf due for a probe competes like a healthy one.
        is_avoided: candidate.verdict == BreakerVerdict::Avoid || unconnected,
        is_reserve: candidate.is_reserve,
        is_full: candidate.in_flight >= candidate.limit,
        expected_seconds: round_trip * (1.0 + connect) + typical * penalty + work + failures,
        tie_break,
    }
}
