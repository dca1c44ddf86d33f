//! Which daemons of a region run queries over shards for the others.
//!
//! A query over many shards costs a few milliseconds of a whole core: on a small part of one that is a
//! good part of its objective. So where machines differ, the larger ones of a region run the queries of
//! all, one hop away. Every daemon finds the same answer from what all know alike, the members and what
//! their machines bear. Where machines are alike every daemon runs what it receives.

/// A machine that bears at least this share of what the largest of its region bears is one of the
/// larger ones. Machines of the users' sites differ by a factor of four, or not at all.
const LARGE_SHARE: f64 = 0.5;
/// The larger machines run the queries of all only if they bear at least this share of what all
/// machines of the region bear together: fewer would be overloaded by what all of them do today.
const LEAST_CAPACITY_SHARE: f64 = 0.3;
/// With fewer roots a region would hang on one machine.
const LEAST_ROOTS: usize = 2;

/// One daemon of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RootCandidate<T> {
    /// Who it is.
    pub daemon: T,
    /// What its machine bears, in any unit that is the same for all.
    pub capacity: u16,
}

/// The roots of a region. Without any, each daemon runs what it receives.
pub fn query_roots<T: Clone>(candidates: &[RootCandidate<T>]) -> Vec<T> {
    let largest = candidates.iter().map(|candidate| candidate.capacity).max();
    let threshold = f64::from(largest.unwrap_or(0)) * LARGE_SHARE;
    let is_large = |candidate: &&RootCandidate<T>| f64::from(candidate.capacity) >= threshold;
    let large: Vec<&RootCandidate<T>> = candidates.iter().filter(is_large).collect();
    let capacity = |candidate: &RootCandidate<T>| f64::from(candidate.capacity);
    let all: f64 = candidates.iter().map(capacity).sum();
    let of_large: f64 = large.iter().copied().map(capacity).sum();
    let are_alike = large.len() == candidates.len();
    let are_too_few = large.len() < LEAST_ROOTS || of_large < all * LEAST_CAPACITY_SHARE;
    if are_alike || are_too_few {
        return Vec::new();
    }
    large.into_iter().map(|root| root.daemon.clone()).collect()
}

/// Part of the slack of extra attempts at shards that the daemons which run queries share. The rest is
/// for the others, which run queries only where no root can: nearly all attempts are the roots'.
const RUNNERS_SLACK_PART: f64 = 0.75;

/// How many daemons run queries over shards, in all regions together, as one of them sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueryRunners {
    runners: usize,
    others: usize,
    is_runner: bool,
}

impl QueryRunners {
    /// Counts a region with this many daemons, of which `roots` are roots; none if every daemon runs
    /// what it receives.
    pub fn add_region(&mut self, daemons: usize, roots: usize) {
        if roots == 0 {
            self.runners += daemons;
        } else {
            self.runners += roots;
            self.others += daemons.saturating_sub(roots);
        }
    }

    /// Says whether the viewing daemon runs queries.
    pub fn set_is_runner(&mut self, is_runner: bool) {
        self.is_runner = is_runner;
    }

    /// The viewing daemon's part of the slack of extra attempts at a shard, 0 to 1; none if all
    /// daemons run queries alike.
    pub fn slack_share(&self) -> Option<f64> {
        if self.others == 0 || self.runners == 0 {
            return None;
        }
        let share = if self.is_runner {
            RUNNERS_SLACK_PART / self.runners as f64
        } else {
            (1.0 - RUNNERS_SLACK_PART) / self.others as f64
        };
        Some(share)
    }
}
