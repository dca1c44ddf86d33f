//! One leaf that ended while a request ran there, and how many of such runs were trials of their own.

use crate::leaf::LeafRun;
use std::time::Duration;
use tansylead_types::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Times that another daemon tells are late by the way of its message: two runs count as one after the other
/// if they overlap by no more than this, and by no more than half of either.
const WAY_TOLERANCE: Duration = Duration::from_millis(25);

/// A leaf that ended while a request ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// Hash of the run of the leaf.
    pub leaf: u64,
    /// When the request was sent there.
    pub sent: Moment,
    /// When the connection was lost.
    pub ended: Moment,
    /// Hash of the caller.
    pub caller: u32,
}

impl Strike {
    /// A strike at a leaf.
    pub fn new(leaf: &LeafRun, sent: Moment, ended: Moment, caller: u32) -> Self {
        let started = leaf.started.map_or(0, |started| started.0);
        Self {
            leaf: xxh3_64_with_seed(leaf.leaf.as_str().as_bytes(), started),
            sent,
            ended,
            caller,
        }
    }

    /// Whether this run began when that of `earlier` was over.
    fn follows(&self, earlier: &Strike) -> bool {
        let shorter = self.length().min(earlier.length());
        let tolerance = WAY_TOLERANCE.min(shorter / 2);
        self.sent + tolerance >= earlier.ended
    }

    /// Whether both runs went on at the same time.
    pub(super) fn overlaps(&self, other: &Strike) -> bool {
        !self.follows(other) && !other.follows(self)
    }

    fn length(&self) -> Duration {
        self.ended.since(self.sent)
    }
}

/// Leafs that end within this time of each other have most likely one cause, such as a zone that is lost or
/// another request that is sent again and again: it is over before leafs are back.
const EVENT_LENGTH: Duration = Duration::from_secs(1);

/// Events that the strikes belong to: each begins a while after the first strike of the one before.
pub(super) fn events(strikes: &[Strike]) -> usize {
    let mut by_end = strikes.to_vec();
    by_end.sort_by_key(|strike| strike.ended);
    let mut begun: Option<Moment> = None;
    let mut count = 0;
    for strike in by_end {
        if begun.is_none_or(|begun| strike.sent.since(begun) >= EVENT_LENGTH) {
            count += 1;
            begun = Some(strike.ended);
        }
    }
    count
}

/// Most strikes of which each began when the one before was over: leafs that end together, under a query over
/// shards or because a zone is lost, are one event, and only the next run tells whether the request caused it.
pub(super) fn successive(strikes: &[Strike]) -> usize {
    let mut by_end = strikes.to_vec();
    by_end.sort_by_key(|strike| strike.ended);
    let mut last: Option<Strike> = None;
    let mut count = 0;
    for strike in by_end {
        if last.is_none_or(|last| strike.follows(&last)) {
            count += 1;
            last = Some(strike);
        }
    }
    count
}
