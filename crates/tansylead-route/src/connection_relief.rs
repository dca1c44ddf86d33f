//! Which connections of callers end when memory or descriptors are short.

use crate::caller_memory::MemoryPressure;
use crate::transfer_progress::TRANSFER_GRACE;
use std::time::Duration;
use tansylead_types::Moment;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Nothing, since a moment.
    Resting {
        /// Since when.
        since: Moment,
    },
    /// A request or an answer is transferred.
    Transferring {
        /// From when on the transfer counts as stalled.
        stalled_from: Moment,
    },
    /// A request runs.
    Running,
}

/// A connection that may have to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReliefCandidate {
    /// Its number.
    pub connection: u64,
    /// Bytes held for it.
    pub bytes: usize,
    /// What it does.
    pub usage: ConnectionUse,
}

/// Rank in which connections end: those whose callers lose least first. None if it must not end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A stalled transfer, by how long it has been stalled.
    Stalled(Moment),
    /// No request, by how long it has rested.
    Resting(Moment),
    /// A transfer that progresses, the least first.
    Progressing(Moment),
}

fn rank(usage: ConnectionUse, now: Moment) -> Option<Rank> {
    match usage {
        ConnectionUse::Transferring { stalled_from } if stalled_from <= now => {
            Some(Rank::Stalled(stalled_from))
        }
        ConnectionUse::Resting { since } => Some(Rank::Resting(since)),
        ConnectionUse::Transferring { stalled_from } => Some(Rank::Progressing(stalled_from)),
        ConnectionUse::Running => None,
    }
}

/// A connection that has rested for less is about to be used again: its caller would lose a request.
const SHORTEST_REST: Duration = TRANSFER_GRACE;

/// The connections that end to free `bytes` bytes under this pressure, in order. Those that have not stalled end only
/// if memory is exhausted.
pub fn connections_to_end(
    candidates: &[ReliefCandidate],
    now: Moment,
    pressure: MemoryPressure,
    bytes: usize,
) -> Vec<u64> {
    let ranked = candidates.iter().filter_map(|candidate| {
        let rank = rank(candidate.usage, now)?;
        let may_end = match (pressure, rank) {
            (MemoryPressure::None, _) => false,
            (_, Rank::Stalled(_)) => true,
            (MemoryPressure::Short, Rank::Resting(_) | Rank::Progressing(_)) => false,
            (MemoryPressure::Exhausted, Rank::Resting(since)) => now.since(since) >= SHORTEST_REST,
            (MemoryPressure::Exhausted, Rank::Progressing(_)) => true,
        };
        may_end.then_some((rank, candidate))
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable_by_key(|(rank, candidate)| (*rank, candidate.connection));
    let mut freed = 0;
    let mut ending = Vec::new();
    for (_, candidate) in ranked {
        if freed >= bytes {
            break;
        }
        freed += candidate.bytes;
        ending.push(candidate.connection);
    }
    ending
}

/// The connection that makes room for a new one when descriptors are short: the one that has rested longest, or else
/// the transfer that has been stalled longest. None if all are in use.
pub fn connection_to_replace(
    candidates: impl Iterator<Item = ReliefCandidate>,
    now: Moment,
) -> Option<u64> {
    let order = |usage| match rank(usage, now)? {
        Rank::Resting(since) => Some((false, since)),
        Rank::Stalled(from) => Some((true, from)),
        Rank::Progressing(_) => None,
    };
    let ranked =
        candidates.filter_map(|candidate| Some((order(candidate.usage)?, candidate.connection)));
    ranked.min().map(|(_, connection)| connection)
}
