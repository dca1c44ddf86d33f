//! Reports on leafs that wait to be sent to other daemons. Bounded: what is too much is dropped.

use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use tansylead_route::LeafReport;
use tokio::sync::Notify;

/// Reports sent in a second, at most.
const REPORTS_PER_SECOND: u32 = 50;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The queue.
#[derive(Debug, Default)]
pub(crate) struct ReportQueue {
    reports: RefCell<Vec<LeafReport>>,
    second: Cell<u64>,
    sent: Cell<u32>,
    added: Notify,
}

impl ReportQueue {
    /// Adds a report. Returns whether it will be sent: not if too many were in this second.
    pub(crate) fn add(&self, report: LeafReport) -> bool {
        let second = Clock.now().0 / MICROS_PER_SECOND;
        if self.second.replace(second) != second {
            self.sent.set(0);
        }
        if self.sent.get() >= REPORTS_PER_SECOND {
            return false;
        }
        self.sent.set(self.sent.get() + 1);
        self.reports.borrow_mut().push(report);
        self.added.notify_one();
        true
    }

    /// Waits until reports were added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all reports out.
    pub(crate) fn take(&self) -> Vec<LeafReport> {
        self.reports.take()
    }
}
