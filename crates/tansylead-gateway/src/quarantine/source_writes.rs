//! Queue of quarantined and cleared requests that are still to be written to the source.

use std::cell::RefCell;
use tansylead_route::{MAXIMUM_RECORDS, RequestFingerprint};
use tokio::sync::Notify;

/// Bound of the queue: as many as there are records of requests.
const MAXIMUM_WAITING: usize = MAXIMUM_RECORDS;

/// A change that is to be written to the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceWrite {
    /// The request is quarantined, by this daemon or by another one, which writes it first.
    Quarantined {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Whether this daemon's own evidence decided.
        is_own: bool,
    },
    /// The request is cleared.
    Cleared(RequestFingerprint),
}

/// The queue.
#[derive(Debug, Default)]
pub(super) struct SourceWrites {
    waiting: RefCell<Vec<SourceWrite>>,
    added: Notify,
}

impl SourceWrites {
    /// Adds a change; drops it if the queue is full.
    pub(super) fn add(&self, change: SourceWrite) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() < MAXIMUM_WAITING {
            waiting.push(change);
            self.added.notify_one();
        }
    }

    /// Waits until the queue is not empty, and takes all changes out.
    pub(super) async fn take(&self) -> Vec<SourceWrite> {
        while self.waiting.borrow().is_empty() {
            self.added.notified().await;
        }
        self.waiting.take()
    }
}
