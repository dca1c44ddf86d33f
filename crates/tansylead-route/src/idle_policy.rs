//! How long a connection to a leaf is kept while nobody uses it.
//!
//! An idle connection costs memory, a new one costs the leaf a slot for a moment and the request a
//! way there and back. So a connection is kept for a few of the usual gaps between requests, if it
//! is likely to be used by then. Some leafs forget idle connections without a word, and reset what
//! is sent on them next: then connections are kept for less than the rest that was too long.

use std::time::Duration;
use tansylead_types::Moment;

/// Shortest time that a connection is kept, unless the leaf forgets connections earlier.
const SHORTEST: Duration = Duration::from_secs(1);
/// Longest time that a connection is kept.
const LONGEST: Duration = Duration::from_secs(5);
/// Gaps between requests that a connection is kept for: at random arrivals, 95 in 100 come by then.
const GAPS: f64 = 3.0;
/// Weight of a new gap in the mean.
const GAP_WEIGHT: f64 = 0.2;
/// Share of a rest that proved too long that is still allowed.
const FORGOTTEN_SHARE: f64 = 0.5;
/// No leaf forgets a connection after a shorter rest: what is lost on one is a lost answer, and what
/// may not be repeated goes over no other.
pub const SHORTEST_FORGOTTEN_REST: Duration = Duration::from_millis(250);
/// For so long a rest that proved too long is remembered.
const FORGOTTEN_MEMORY: Duration = Duration::from_secs(10);

/// What is known of one leaf's connections at rest.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdlePolicy {
    last_use: Option<Moment>,
    mean_gap: Option<Duration>,
    forgets: Option<Forgets>,
}

/// The leaf forgot a connection.
#[derive(Debug, Clone, Copy)]
struct Forgets {
    noticed: Moment,
    limit: Duration,
}

impl IdlePolicy {
    /// Notes a request to the leaf.
    pub fn on_use(&mut self, now: Moment) {
        if let Some(last) = self.last_use.replace(now) {
            let gap = now.since(last);
            let mean = self.mean_gap.unwrap_or(gap);
            let weighted = mean.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
            self.mean_gap = Some(weighted);
        }
    }

    /// Mean gap between requests to the leaf; none before there were two.
    pub fn mean_gap(&self) -> Option<Duration> {
        self.mean_gap
    }

    /// Notes that a connection was reset when it was used after resting for `rested`.
    pub fn on_forgotten(&mut self, now: Moment, rested: Duration) {
        if rested < SHORTEST_FORGOTTEN_REST {
            return;
        }
        let limit = rested.mul_f64(FORGOTTEN_SHARE);
        let known = self.forgotten_limit(now);
        self.forgets = Some(Forgets {
            noticed: now,
            limit: known.map_or(limit, |known| known.min(limit)),
        });
    }

    /// How long a connection is kept from now on. Where connections are scarce, a new one may not
    /// be had.
    pub fn limit(&self, now: Moment, are_scarce: bool) -> Duration {
        let wanted = self.mean_gap.map_or(SHORTEST, |gap| gap.mul_f64(GAPS));
        let kept = if are_scarce {
            LONGEST
        } else if wanted > LONGEST {
            SHORTEST
        } else {
            wanted.max(SHORTEST)
        };
        self.forgotten_limit(now)
            .map_or(kept, |limit| kept.min(limit))
    }

    fn forgotten_limit(&self, now: Moment) -> Option<Duration> {
        let forgets = self.forgets?;
        let is_recent = now.since(forgets.noticed) < FORGOTTEN_MEMORY;
        is_recent.then_some(forgets.limit)
    }
}
