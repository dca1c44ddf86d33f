//! RecordAge of whole member tables with a peer, page by page: how a daemon joins, and how it
//! recovers records that gossip lost (anti-entropy).
//!
//! A comparison requests a summary from one peer, then the pages of each place whose hash differs,
//! the own place first. It only pulls; the peer runs its own comparisons.

use super::packet::PlaceSummary;
use std::collections::{BTreeMap, VecDeque};
use tansylead_types::{Moment, NodeId, PlaceName};

/// Progress through the pages of a peer's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PageProgress {
    pub(super) peer: NodeId,
    pub(super) peer_joined: bool,
    pub(super) places: VecDeque<PlaceName>,
    pub(super) after: Option<NodeId>,
    /// Requests sent so far for the current page.
    pub(super) attempts: u32,
    /// Whether the last request is still unanswered.
    pub(super) awaiting_page: bool,
}

/// Current step of table comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SyncStep {
    /// No comparison in progress.
    Idle,
    /// A summary was requested.
    Summary {
        /// Peer that was asked.
        peer: NodeId,
        /// Time of the request.
        asked_at: Moment,
    },
    /// Pages are being requested.
    Pages(PageProgress),
}

/// State of table comparison.
#[derive(Debug)]
pub(super) struct SyncState {
    pub(super) step: SyncStep,
    pub(super) joined: bool,
    /// Comparisons completed with peers that have not joined themselves.
    pub(super) unjoined_comparisons: u32,
    /// Start of the period in which all packets from peers of a place showed another table hash.
    pub(super) mismatch_since: BTreeMap<PlaceName, Moment>,
    /// Join attempts made.
    pub(super) join_attempts: u32,
}

impl SyncState {
    pub(super) fn new(joined: bool) -> Self {
        Self {
            step: SyncStep::Idle,
            joined,
            unjoined_comparisons: 0,
            mismatch_since: BTreeMap::new(),
            join_attempts: 0,
        }
    }
}

impl PageProgress {
    /// The pages of all places that differ, own place first.
    pub(super) fn new(
        peer: NodeId,
        peer_joined: bool,
        summaries: Vec<PlaceSummary>,
        local_place: &PlaceName,
        differs: impl Fn(&PlaceSummary) -> bool,
    ) -> Self {
        let mut places: VecDeque<PlaceName> = VecDeque::new();
        for summary in summaries.into_iter().filter(differs) {
            if summary.place == *local_place {
                places.push_front(summary.place);
            } else {
                places.push_back(summary.place);
            }
        }
        Self {
            peer,
            peer_joined,
            places,
            after: None,
            attempts: 0,
            awaiting_page: false,
        }
    }

    /// Moves on to the page after the one received; an unrequested page changes nothing.
    pub(super) fn advance(&mut self, place: &PlaceName, next: Option<NodeId>) {
        if self.places.front() != Some(place) || !self.awaiting_page {
            return;
        }
        self.awaiting_page = false;
        self.attempts = 0;
        self.after = next;
        if next.is_none() {
            self.places.pop_front();
        }
    }
}
