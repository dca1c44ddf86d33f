//! Selects the daemons of a region, the roots, that run queries over shards for the others.
//!
//! A query over many shards costs a few milliseconds of a whole core. On a machine with a small fraction of a
//! core that is a large part of its objective. So where machines differ, the larger ones of a region run the
//! queries of all, one hop away. Every daemon computes the same roots, since all know the members and the
//! capacity of their machines. Where machines are alike every daemon runs the queries that it receives.
//!
//! The ratio of larger machines to all tells nothing about the query load: a fleet may be large only because of
//! its callers' connections. So the larger ones are roots however few they are, and a root that is too busy
//! declines queries.

use crate::connection_share::DaemonCounts;
use std::time::Duration;

/// A machine with at least this share of the capacity of the largest in its region is one of the
/// larger ones. Machines of the users' sites differ by a factor of four, or not at all.
const LARGE_SHARE: f64 = 0.5;
/// A root whose tasks wait this share of a query's objective for the processor would answer late: the daemon
/// that asks answers sooner by itself.
const BUSY_SHARE: f64 = 0.5;
/// With fewer roots a region would depend on a single machine.
const MINIMUM_ROOTS: usize = 2;

/// A daemon of a region that may become a root.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RootCandidate<T> {
    /// Identity of the daemon.
    pub daemon: T,
    /// Capacity of its machine, in any unit that is the same for all.
    pub capacity: u16,
}

/// The roots of a region. If there are none, each daemon runs the queries that it receives.
pub fn query_roots<T: Clone>(candidates: &[RootCandidate<T>]) -> Vec<T> {
    let largest = candidates.iter().map(|candidate| candidate.capacity).max();
    let threshold = f64::from(largest.unwrap_or(0)) * LARGE_SHARE;
    let is_large = |candidate: &&RootCandidate<T>| f64::from(candidate.capacity) >= threshold;
    let large: Vec<&RootCandidate<T>> = candidates.iter().filter(is_large).collect();
    let are_alike = large.len() == candidates.len();
    let are_too_few = large.len() < MINIMUM_ROOTS;
    if are_alike || are_too_few {
        return Vec::new();
    }
    large.into_iter().map(|root| root.daemon.clone()).collect()
}

/// Whether a root whose tasks wait `processor_lag` for the processor declines a query with this objective.
pub fn is_too_busy(processor_lag: Duration, objective: Duration) -> bool {
    processor_lag > objective.mul_f64(BUSY_SHARE)
}

/// Share of the extra attempts and connections at shards that the daemons that run queries divide among them.
/// The rest is for the others, which run queries only if no root can: roots make nearly all attempts.
const RUNNERS_SHARE: f64 = 0.75;

/// The daemons that run queries over shards and the others, in all regions, as seen by one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueryRunners {
    /// Daemons that run queries, with the rank of this daemon if it is one of them.
    pub runners: DaemonCounts,
    /// The other daemons, with the rank of this daemon if it is one of them.
    pub others: DaemonCounts,
    /// Whether this daemon runs queries.
    pub is_runner: bool,
}

/// The daemons of one role, and the share of extra attempts and connections at shards that they divide.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharingGroup<'a> {
    /// Daemons of the group.
    pub daemons: &'a DaemonCounts,
    /// Share of the group, 0 to 1.
    pub share: f64,
}

impl QueryRunners {
    /// The group of this daemon; none if all daemons have the same role, and so divide everything equally.
    pub fn own_group(&self) -> Option<SharingGroup<'_>> {
        if self.runners.is_empty() || self.others.is_empty() {
            return None;
        }
        let (daemons, share) = if self.is_runner {
            (&self.runners, RUNNERS_SHARE)
        } else {
            (&self.others, 1.0 - RUNNERS_SHARE)
        };
        Some(SharingGroup { daemons, share })
    }

    /// This daemon's share of the slack of extra attempts at a shard, 0 to 1; none if all daemons have
    /// the same role.
    pub fn slack_share(&self) -> Option<f64> {
        let group = self.own_group()?;
        Some(group.share / group.daemons.total() as f64)
    }
}
