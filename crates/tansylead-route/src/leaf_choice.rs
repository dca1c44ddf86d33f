//! Choice of one leaf of a service: sound leafs before doubtful ones, and among these the one that
//! is expected to answer first.

use crate::breaker::BreakerVerdict;
use crate::leaf::Distance;
use std::time::Duration;

/// What the choice knows of one leaf.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Verdict of its breaker.
    pub verdict: BreakerVerdict,
    /// Distance; the nearer of two leafs that would answer at much the same time goes first.
    pub distance: Distance,
    /// Time for the way there and back.
    pub way: Duration,
    /// Requests of this daemon that it has now.
    pub in_flight: u32,
    /// Requests it should have at most from this daemon.
    pub limit: u32,
    /// Whether this daemon has no part in its connections: used only if no other leaf can be.
    pub is_reserve: bool,
    /// Recent latency relative to what is typical; 1 is average.
    pub slowness: f64,
    /// Share of its recent answers that were failures.
    pub failure_rate: f64,
    /// Whether new connections to it wait because it has reset some.
    pub resets_connections: bool,
    /// Whether a connection to it is free, so that no new one has to be opened.
    pub has_idle_connection: bool,
}

/// Cost of opening a connection, in ways there and back.
const CONNECT_WAYS: f64 = 1.0;
/// Share of the typical latency by which a farther leaf must be ahead.
const FARTHER_SHARE: f64 = 0.5;
/// Cost of a failure, in typical latencies: another attempt, and a part of the scarce budget.
const FAILURE_COST: f64 = 5.0;

#[derive(Debug, PartialEq, PartialOrd)]
struct Cost {
    avoided: bool,
    reserve: bool,
    full: bool,
    seconds: f64,
    tie: u32,
}

/// Index of the best candidate; none if there are none. `typical` is the typical latency of the
/// request, without the way. `random` breaks ties.
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

fn cost(candidate: &Candidate, typical: Duration, tie: u32) -> Cost {
    let way = candidate.way.as_secs_f64();
    let typical = typical.as_secs_f64();
    let connect = if candidate.has_idle_connection {
        0.0
    } else {
        CONNECT_WAYS
    };
    let farther = match candidate.distance {
        Distance::Zone => 0.0,
        Distance::Region => FARTHER_SHARE / 2.0,
        Distance::Remote => FARTHER_SHARE,
    };
    let load = f64::from(candidate.in_flight) / f64::from(candidate.limit.max(1));
    let work = typical * candidate.slowness * (1.0 + load);
    let failures = typical * candidate.failure_rate * FAILURE_COST;
    let unconnected = candidate.resets_connections && !candidate.has_idle_connection;
    Cost {
        // A probe goes to the leaf that would be the best if it is sound.
        avoided: candidate.verdict == BreakerVerdict::Avoid || unconnected,
        reserve: candidate.is_reserve,
        full: candidate.in_flight >= candidate.limit,
        seconds: way * (1.0 + connect) + typical * farther + work + failures,
        tie,
    }
}
