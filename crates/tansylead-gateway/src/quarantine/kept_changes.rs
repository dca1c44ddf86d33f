//! Convictions and clearings that the source must keep, until they are taken to it.

use std::cell::RefCell;
use tansylead_route::{MAXIMUM_RECORDS, RequestFingerprint};
use tokio::sync::Notify;

/// Changes that wait for the source: as many as requests are remembered.
const MAXIMUM_WAITING: usize = MAXIMUM_RECORDS;

/// A change that the source must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeptChange {
    /// The request is quarantined; found here, or told by another daemon that keeps it first.
    Quarantined {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Whether this daemon's own evidence decided.
        is_own: bool,
    },
    /// The request is cleared.
    Cleared(RequestFingerprint),
}

/// The changes that wait.
#[derive(Debug, Default)]
pub(super) struct KeptChanges {
    waiting: RefCell<Vec<KeptChange>>,
    added: Notify,
}

impl KeptChanges {
    /// Adds one.
    pub(super) fn add(&self, change: KeptChange) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() < MAXIMUM_WAITING {
            waiting.push(change);
            self.added.notify_one();
        }
    }

    /// Waits until there are some, and takes them out.
    pub(super) async fn take(&self) -> Vec<KeptChange> {
        while self.waiting.borrow().is_empty() {
            self.added.notified().await;
        }
        self.waiting.take()
    }
}
