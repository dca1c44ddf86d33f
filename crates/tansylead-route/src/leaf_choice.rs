//! Choice of one leaf of a service: sound leafs before doubtful ones, near before far, and among
//! equals the one with the least load for its speed.

use crate::breaker::BreakerVerdict;
use crate::leaf::Distance;

/// What the choice knows of one leaf.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Verdict of its breaker.
    pub verdict: BreakerVerdict,
    /// Distance.
    pub distance: Distance,
    /// Requests of this daemon that it has now.
    pub in_flight: u32,
    /// Requests it should have at most from this daemon.
    pub limit: u32,
    /// Recent latency relative to the other leafs; 1 is average.
    pub slowness: f64,
    /// Whether a connection to it is free, so that no new one has to be opened.
    pub has_idle_connection: bool,
}

/// Cost of opening a connection, in requests of load.
const CONNECT_COST: f64 = 0.5;
/// Slowness above which a leaf is as good as one farther away.
const SLOW: f64 = 2.5;

#[derive(Debug, PartialEq, PartialOrd)]
struct Cost {
    rank: u32,
    load: f64,
    tie: u32,
}

/// Index of the best candidate; none if there are none. `random` breaks ties.
pub fn choose_leaf(candidates: &[Candidate], random: u32) -> Option<usize> {
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let shuffled = (index as u32).wrapping_add(random) % candidates.len().max(1) as u32;
        (index, cost(candidate, shuffled))
    });
    costs
        .min_by(|(_, first), (_, second)| {
            first
                .partial_cmp(second)
                .unwrap_or(std::cmp::Ordering::Equal)
        })
        .map(|(index, _)| index)
}

fn cost(candidate: &Candidate, tie: u32) -> Cost {
    const FULL: u32 = 4;
    const AVOIDED: u32 = 16;
    let distance = match candidate.distance {
        Distance::Zone => 0,
        Distance::Region => 1,
        Distance::Remote => 2,
    };
    let full = candidate.in_flight >= candidate.limit;
    let verdict = match candidate.verdict {
        // A probe goes to the leaf that would be the best if it is sound.
        BreakerVerdict::Healthy | BreakerVerdict::Probe => 0,
        BreakerVerdict::Avoid => AVOIDED,
    };
    let slow = if candidate.slowness > SLOW { 3 } else { 0 };
    let connect = if candidate.has_idle_connection {
        0.0
    } else {
        CONNECT_COST
    };
    Cost {
        rank: verdict + if full { FULL } else { 0 } + slow + distance,
        load: (f64::from(candidate.in_flight) + 1.0 + connect) * candidate.slowness,
        tie,
    }
}
