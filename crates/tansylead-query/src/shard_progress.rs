//! Progress of one addressed shard of one query on the pinned snapshot.

use crate::leaf_table::LeafIndex;
use tansylead_types::{MissingReason, Moment};

/// Phase of a shard within its query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ShardPhase {
    /// Ready to be dispatched.
    Open,
    /// Waits for a slot.
    Waiting,
    /// Will be dispatched again at this time.
    BackingOff(Moment),
    /// At least one attempt is in flight.
    Running,
    /// Answered, with the result as JSON text.
    Answered(String),
    /// Given up for this reason.
    Missing(MissingReason),
}

/// Whether a leaf that was tried may be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TriedState {
    /// The attempt has not ended.
    Running,
    /// May be tried again if no untried replica is left.
    Retryable,
    /// Not to be tried again for this shard on this snapshot.
    Excluded,
}

/// A leaf that was tried for the shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TriedLeaf {
    /// Leaf that was tried.
    pub(crate) leaf: LeafIndex,
    /// Whether it may be tried again.
    pub(crate) state: TriedState,
}

/// How the last attempt ended, as far as it affects the cost of the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LastEnd {
    /// No attempt has ended.
    None,
    /// It did not run, and another replica is likely to serve; the next one is no extra load.
    Redirected,
    /// It may have run, was shed or expired; the next one is extra load.
    NeedsBudget,
}

/// Progress of one shard.
#[derive(Debug, Clone)]
pub(crate) struct ShardProgress {
    /// Position in the pinned snapshot's shard list.
    pub(crate) snapshot_position: usize,
    /// Phase of the shard.
    pub(crate) phase: ShardPhase,
    /// Attempts in flight.
    pub(crate) running: u32,
    /// When the last attempt other than a hedge was sent.
    pub(crate) sent_at: Moment,
    /// Whether that attempt has been hedged.
    pub(crate) hedged: bool,
    /// Attempts sent on this snapshot.
    pub(crate) attempts: u32,
    /// Leafs tried on this snapshot.
    pub(crate) tried: Vec<TriedLeaf>,
    /// Leafs whose waiting sets contain the shard.
    pub(crate) waiting_on: Vec<LeafIndex>,
    /// How the last attempt ended.
    pub(crate) last_end: LastEnd,
    /// Whether a token of the retry budget has been taken for the next attempt.
    pub(crate) retry_paid: bool,
    /// Whether the backoff before the next attempt has been taken.
    pub(crate) backed_off: bool,
    /// Reason to report if the shard is given up now.
    pub(crate) reason: MissingReason,
}

impl ShardProgress {
    /// Progress of a shard that has not been dispatched.
    pub(crate) fn new(snapshot_position: usize) -> Self {
        Self {
            snapshot_position,
            phase: ShardPhase::Open,
            running: 0,
            sent_at: Moment::default(),
            hedged: false,
            attempts: 0,
            tried: Vec::new(),
            waiting_on: Vec::new(),
            last_end: LastEnd::None,
            retry_paid: false,
            backed_off: false,
            reason: MissingReason::NoReplica,
        }
    }

    /// Whether the leaf may be tried again; none if it has not been tried.
    pub(crate) fn tried_state(&self, leaf: LeafIndex) -> Option<TriedState> {
        let tried = self.tried.iter().rev().find(|tried| tried.leaf == leaf);
        tried.map(|tried| tried.state)
    }

    /// Records whether a leaf that was tried may be tried again.
    pub(crate) fn set_tried(&mut self, leaf: LeafIndex, state: TriedState) {
        match self.tried.iter_mut().find(|tried| tried.leaf == leaf) {
            Some(tried) => tried.state = state,
            None => self.tried.push(TriedLeaf { leaf, state }),
        }
    }

    /// Whether the shard is answered or given up.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.phase, ShardPhase::Answered(_) | ShardPhase::Missing(_))
    }
}
