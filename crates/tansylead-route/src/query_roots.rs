//! Which daemons of a region run queries over shards for the others.
//!
//! A query over many shards costs a few milliseconds of a whole core: on a small part of one that is a
//! good part of its objective. So where machines differ, the larger ones of a region run the queries of
//! all, one hop away. Every daemon finds the same answer from what all know alike, the members and what
//! their machines bear. Where machines are alike every daemon runs what it receives.
//!
//! How many the larger ones are among all says nothing of the queries that come: a fleet may be large for its
//! callers' connections alone. So they are roots however few they are, and a root that is too busy declines.

use crate::connection_share::DaemonCounts;
use std::time::Duration;

/// A machine that bears at least this share of what the largest of its region bears is one of the
/// larger ones. Machines of the users' sites differ by a factor of four, or not at all.
const LARGE_SHARE: f64 = 0.5;
/// A root whose tasks wait this share of a query's objective for the processor would answer it late: the daemon
/// that asks does better itself.
const BUSY_SHARE: f64 = 0.5;
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
    let are_alike = large.len() == candidates.len();
    let are_too_few = large.len() < LEAST_ROOTS;
    if are_alike || are_too_few {
        return Vec::new();
    }
    large.into_iter().map(|root| root.daemon.clone()).collect()
}

/// Whether a root whose tasks wait this long for the processor declines a query with this objective.
pub fn is_too_busy(processor_lag: Duration, objective: Duration) -> bool {
    processor_lag > objective.mul_f64(BUSY_SHARE)
}

/// Part of what is scarce at shards, extra attempts and connections, that the daemons which run queries share.
/// The rest is for the others, which run queries only where no root can: nearly all attempts are the roots'.
const RUNNERS_PART: f64 = 0.75;

/// The daemons that run queries over shards and the others, in all regions, as one of them sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueryRunners {
    /// Those that run queries; ranked among them if the viewing daemon is one.
    pub runners: DaemonCounts,
    /// The others, likewise.
    pub others: DaemonCounts,
    /// Whether the viewing daemon runs queries.
    pub is_runner: bool,
}

/// The viewing daemon's kind, and the part of what is scarce at shards that all daemons of this kind share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharingKind<'a> {
    /// Daemons of the kind.
    pub daemons: &'a DaemonCounts,
    /// Their part, 0 to 1.
    pub part: f64,
}

impl QueryRunners {
    /// The viewing daemon's kind; none if all daemons run queries alike, and share alike.
    pub fn own_kind(&self) -> Option<SharingKind<'_>> {
        if self.runners.is_empty() || self.others.is_empty() {
            return None;
        }
        let (daemons, part) = if self.is_runner {
            (&self.runners, RUNNERS_PART)
        } else {
            (&self.others, 1.0 - RUNNERS_PART)
        };
        Some(SharingKind { daemons, part })
    }

    /// The viewing daemon's part of the slack of extra attempts at a shard, 0 to 1; none if all
    /// daemons run queries alike.
    pub fn slack_share(&self) -> Option<f64> {
        let kind = self.own_kind()?;
        Some(kind.part / kind.daemons.total() as f64)
    }
}
