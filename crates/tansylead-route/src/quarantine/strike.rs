//! Strikes: leafs that ended while they ran a request, and how many independent failures they stand for.

use super::fingerprint::RequestFingerprints;
use crate::leaf::LeafRun;
use std::time::Duration;
use tansylead_types::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Times received from other daemons are late by the transit time of the message. So two runs count as successive
/// even if they overlap by up to this time, but by no more than half of the shorter run.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(25);

/// A leaf that ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// Hash of the leaf's id and start, so that each restart counts as another leaf.
    pub leaf: u64,
    /// When the request was sent to the leaf.
    pub sent: Moment,
    /// When the connection to the leaf was lost.
    pub ended: Moment,
    /// Hash of the caller's address.
    pub caller: u32,
    /// Hash of the request's content, by which strikes against different requests are told apart.
    pub request: u32,
}

impl Strike {
    /// Creates the strike for a request that was lost with this run of a leaf.
    pub fn new(leaf: &LeafRun, sent: Moment, ended: Moment, caller: u32) -> Self {
        Self {
            leaf: Self::hash_of(leaf),
            sent,
            ended,
            caller,
            request: 0,
        }
    }

    /// The same strike, against this request.
    pub fn against(self, request: &RequestFingerprints) -> Self {
        Self {
            request: request.content.short_hash(),
            ..self
        }
    }

    /// Hash that identifies a run of a leaf in strikes.
    pub fn hash_of(leaf: &LeafRun) -> u64 {
        let started = leaf.started.map_or(0, |started| started.0);
        xxh3_64_with_seed(leaf.leaf.as_str().as_bytes(), started)
    }

    /// Whether the request was sent only after the run of `earlier` had ended.
    fn follows(&self, earlier: &Strike) -> bool {
        let shorter = self.duration().min(earlier.duration());
        let tolerance = TRANSIT_TOLERANCE.min(shorter / 2);
        self.sent + tolerance >= earlier.ended
    }

    /// Whether the two runs overlapped in time.
    pub(super) fn overlaps(&self, other: &Strike) -> bool {
        !self.follows(other) && !other.follows(self)
    }

    fn duration(&self) -> Duration {
        self.ended.since(self.sent)
    }
}

/// Leafs that end within this time of each other most likely have one cause, such as the loss of a zone or another
/// request that is sent repeatedly. Such a cause is over before the leafs have restarted.
const EVENT_WINDOW: Duration = Duration::from_secs(1);

/// Counts the events that the strikes belong to. An event covers the runs sent less than [`EVENT_WINDOW`] after the
/// end of its first strike.
pub(super) fn count_events(strikes: &[Strike]) -> usize {
    events(strikes).len()
}

/// Strikes of all events but the first.
pub(super) fn after_first_event(strikes: &[Strike]) -> Vec<Strike> {
    events(strikes).into_iter().skip(1).flatten().collect()
}

/// The strikes by event, in the sequence of their ends.
fn events(strikes: &[Strike]) -> Vec<Vec<Strike>> {
    let mut by_end = strikes.to_vec();
    by_end.sort_by_key(|strike| strike.ended);
    let mut events: Vec<Vec<Strike>> = Vec::new();
    for strike in by_end {
        let is_of = |event: &Vec<Strike>| strike.sent.since(event[0].ended) < EVENT_WINDOW;
        match events.last_mut().filter(|event| is_of(event)) {
            Some(event) => event.push(strike),
            None => events.push(vec![strike]),
        }
    }
    events
}

/// Counts the longest sequence of strikes in which each run began after the one before had ended. Leafs that end
/// together, under a query over shards or with their zone, are one event, and only the next run shows whether the
/// request was the cause.
pub(super) fn count_successive(strikes: &[Strike]) -> usize {
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
