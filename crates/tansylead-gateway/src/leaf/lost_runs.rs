//! The requests whose connections to one leaf were lost, until it is known whether the leaf has ended.

use std::cell::{Cell, RefCell};
use tansylead_route::RequestFingerprint;
use tansylead_types::Moment;

/// Requests remembered for one leaf: more than it works on and queues from one daemon.
const MAXIMUM_RUNS: usize = 64;

/// A request that may have run on a leaf when the connection was lost.
#[derive(Debug, Clone)]
pub struct LostRun {
    /// What the request is recognized by.
    pub fingerprint: RequestFingerprint,
    /// When it was sent.
    pub sent: Moment,
    /// When the connection was lost.
    pub lost: Moment,
}

/// The requests of one leaf.
#[derive(Debug, Default)]
pub(super) struct LostRuns {
    runs: RefCell<Vec<LostRun>>,
    is_checked: Cell<bool>,
}

impl LostRuns {
    /// Adds one. Returns whether nobody looks yet whether the leaf has ended; then the caller has to.
    pub(super) fn add(&self, run: LostRun) -> bool {
        let mut runs = self.runs.borrow_mut();
        if runs.len() < MAXIMUM_RUNS {
            runs.push(run);
        }
        !self.is_checked.replace(true)
    }

    /// Takes all out: it is known now.
    pub(super) fn take(&self) -> Vec<LostRun> {
        self.is_checked.set(false);
        self.runs.take()
    }
}
