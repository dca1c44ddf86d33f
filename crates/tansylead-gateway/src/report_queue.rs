//! Bounded queue of reports on leafs to send to other daemons. Reports beyond the bound are dropped.

use crate::clock::Clock;
use crate::per_second::PerSecondLimit;
use std::cell::RefCell;
use tansylead_route::LeafReport;
use tokio::sync::Notify;

/// Maximum number of reports sent in a second.
const REPORTS_PER_SECOND: u32 = 50;

/// Reports that wait to be sent.
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
    /// Adds a report. Returns whether it will be sent: not if there were too many in this second.
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

    /// Removes and returns all reports.
    pub(crate) fn take(&self) -> Vec<LeafReport> {
        self.reports.take()
    }
}
