//! Arrival times of an open-loop run, fixed ahead from a seed.
//!
//! Invariants: the same streams, duration and seed always give the same schedule; arrivals are
//! sorted by time; each stream is a Poisson process whose rate moves linearly from start to end.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::time::Duration;
use tansylead_types::{PlaceName, ServiceName};

/// Rate of a stream in queries per second; moves linearly over the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateRamp {
    /// Rate at the start of the run.
    pub start: f64,
    /// Rate at the end of the run.
    pub end: f64,
}

impl RateRamp {
    /// The same rate all the time.
    pub fn steady(rate: f64) -> Self {
        Self {
            start: rate,
            end: rate,
        }
    }

    fn at(self, share_of_run: f64) -> f64 {
        self.start + (self.end - self.start) * share_of_run
    }

    fn highest(self) -> f64 {
        self.start.max(self.end)
    }
}

/// Callers of one service in one place.
#[derive(Debug, Clone, PartialEq)]
pub struct Stream {
    /// Service asked.
    pub service: ServiceName,
    /// Place of the callers; their queries go to the daemons there.
    pub place: PlaceName,
    /// Arrival rate.
    pub rate: RateRamp,
}

/// One planned query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival {
    /// When it arrives, counted from the start of the run.
    pub at: Duration,
    /// Index of its stream.
    pub stream: usize,
    /// Number of the query within its stream.
    pub number: u64,
}

/// Plans all arrivals of a run.
pub fn poisson_schedule(streams: &[Stream], length: Duration, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let stream_seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ index as u64;
        let mut random = StdRng::seed_from_u64(stream_seed);
        append_stream(&mut arrivals, index, stream.rate, length, &mut random);
    }
    arrivals.sort();
    arrivals
}

/// Draws candidates at the highest rate and keeps each with the share the rate has at that time.
fn append_stream(
    arrivals: &mut Vec<Arrival>,
    stream: usize,
    rate: RateRamp,
    length: Duration,
    random: &mut StdRng,
) {
    let Ok(gaps) = Exp::new(rate.highest()) else {
        return;
    };
    let end = length.as_secs_f64();
    let mut number = 0;
    let mut at: f64 = gaps.sample(random);
    while at < end {
        let keep: f64 = random.random();
        if keep * rate.highest() < rate.at(at / end) {
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                stream,
                number,
            });
            number += 1;
        }
        at += gaps.sample(random);
    }
}
