//! Reports on leafs that wait to be sent to other daemons. Bounded: what is too much is dropped.

use crate::clock::Clock;
use crate::per_second::PerSecondLimit;
use std::cell::RefCell;
use tansylead_route::LeafReport;
use tokio::sync::Notify;

/// Reports sent in a second, at most.
const REPORTS_PER_SECOND: u32 = 50;

/// The queue.
#[derive(Debug)]
pub(crate) struct ReportQueue {
    reports: RefCell<Vec<LeafReport>>,
    limit: PerSecondLimit,
    added: Notify,
}

impl Default for ReportQueue {
    fn default() -> Self {
        Self {
            reports: RefCell::default(),
            limit: PerSecondLimit::new(REPORTS_PER_SECOND),
            added: Notify::new(),
        }
    }
}

impl ReportQueue {
    /// Adds a report. Returns whether it will be sent: not if too many were in this second.
    pub(crate) fn add(&self, report: LeafReport) -> bool {
        if !self.limit.try_take(Clock.now()) {
            return false;
        }
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
