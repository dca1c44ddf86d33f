//! Comparison of whole member tables with a peer, page by page: how a daemon joins, and how
//! statements that gossip lost are found.
//!
//! A walk asks one peer for a summary, then for the pages of each place whose hash differs, its
//! own place first. It only takes in; the peer does the same on its own account.

use super::packet::PlaceSummary;
use std::collections::{BTreeMap, VecDeque};
use tansylead_types::{Moment, NodeId, PlaceName};

/// A walk in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Walk {
    pub(super) peer: NodeId,
    pub(super) peer_joined: bool,
    pub(super) places: VecDeque<PlaceName>,
    pub(super) after: Option<NodeId>,
    /// Requests sent for the current page.
    pub(super) attempts: u32,
    /// Whether the answer to the last request is still to come.
    pub(super) waiting: bool,
}

/// What table comparison is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SyncStep {
    /// Nothing.
    Idle,
    /// A summary was asked for.
    Summary {
        /// Peer asked.
        peer: NodeId,
        /// When.
        asked: Moment,
    },
    /// Pages are being asked for.
    Pages(Walk),
}

/// State of table comparison.
#[derive(Debug)]
pub(super) struct Sync {
    pub(super) step: SyncStep,
    pub(super) joined: bool,
    /// Walks completed with peers that have not joined themselves.
    pub(super) walks_with_unjoined: u32,
    /// Since when peers of a place have shown another table, without one that agrees.
    pub(super) mismatch_since: BTreeMap<PlaceName, Moment>,
    /// Join attempts made.
    pub(super) join_attempts: u32,
}

impl Sync {
    pub(super) fn new(joined: bool) -> Self {
        Self {
            step: SyncStep::Idle,
            joined,
            walks_with_unjoined: 0,
            mismatch_since: BTreeMap::new(),
            join_attempts: 0,
        }
    }
}

impl Walk {
    /// A walk over the places that differ, own place first.
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
            waiting: false,
        }
    }

    /// Takes in the position after a page; a page that was not asked for changes nothing.
    pub(super) fn advance(&mut self, place: &PlaceName, next: Option<NodeId>) {
        if self.places.front() != Some(place) || !self.waiting {
            return;
        }
        self.waiting = false;
        self.attempts = 0;
        self.after = next;
        if next.is_none() {
            self.places.pop_front();
        }
    }
}
