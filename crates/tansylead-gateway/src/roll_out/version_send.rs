//! One attempt, from its send to a leaf to its end, as evidence on the leaf's version.

use super::service_versions::ServiceVersions;
use crate::clock::Clock;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::OrderId;
use tansylead_types::Moment;

/// How an attempt ended, as far as it is evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// The leaf gave a good answer.
    Good,
    /// The leaf ran the request, or may have, and gave a bad answer or none.
    Failed,
    /// The leaf did not run the request: no evidence on its version.
    NotRun,
    /// The attempt was dropped before an answer came.
    Abandoned,
}

/// Properties of the request of an attempt that evidence needs.
#[derive(Debug, Clone)]
pub struct SendTerms {
    /// Hash of the route's name.
    pub route: u32,
    /// After this time an answer is overdue.
    pub overdue_delay: Duration,
    /// Deadline of the request.
    pub end: Moment,
    /// Whether any attempt of the same request was sent.
    pub is_request_sent: Rc<Cell<bool>>,
}

/// The leaf of an attempt, as it was when the request was sent.
#[derive(Debug, Clone, Copy)]
pub struct SendTarget {
    /// Network round trip to the leaf.
    pub round_trip: Duration,
    /// Whether the leaf was cold: its latency is no evidence then.
    pub is_cold: bool,
}

/// The end of an attempt, to be counted.
#[derive(Debug)]
pub(super) struct SendResult {
    /// Hash of the route's name.
    pub(super) route: u32,
    /// Whether the leaf ran the target version.
    pub(super) is_new: bool,
    /// How it ended.
    pub(super) end: SendEnd,
    /// Its latency; of an abandoned attempt, a lower bound of it.
    pub(super) latency: Option<Duration>,
}

/// A running attempt; its end is counted when this is dropped.
#[derive(Debug)]
pub struct VersionSend {
    versions: Rc<ServiceVersions>,
    /// Index of the version in [`RunningSends`](super::running_sends::RunningSends).
    version: usize,
    /// The order under which it was sent, and whether the leaf runs the target version.
    order: Option<(OrderId, bool)>,
    terms: SendTerms,
    target: SendTarget,
    sent: Moment,
    end: Cell<SendEnd>,
}

impl VersionSend {
    pub(super) fn new(
        versions: Rc<ServiceVersions>,
        version: usize,
        order: Option<(OrderId, bool)>,
        terms: SendTerms,
        target: SendTarget,
        sent: Moment,
    ) -> Self {
        Self {
            versions,
            version,
            order,
            terms,
            target,
            sent,
            end: Cell::new(SendEnd::Abandoned),
        }
    }

    /// Sets how the attempt ended.
    pub fn set_end(&self, end: SendEnd) {
        self.end.set(end);
    }

    /// The result; `None` if it is no evidence.
    fn result(&self, now: Moment, is_new: bool) -> Option<SendResult> {
        let waited = now.since(self.sent);
        let is_overdue = waited > self.terms.overdue_delay;
        let end = match self.end.get() {
            SendEnd::NotRun => return None,
            SendEnd::Abandoned if !is_overdue => return None,
            SendEnd::Abandoned if now >= self.terms.end => SendEnd::Failed,
            end => end,
        };
        let has_latency = end != SendEnd::Failed && !self.target.is_cold;
        Some(SendResult {
            route: self.terms.route,
            is_new,
            end,
            latency: has_latency.then(|| waited.saturating_sub(self.target.round_trip)),
        })
    }
}

impl Drop for VersionSend {
    fn drop(&mut self) {
        if let Some((order, is_new)) = self.order
            && let Some(result) = self.result(Clock.now(), is_new)
        {
            self.versions.on_result(order, &result);
        }
        self.versions.on_send_end(self.version);
    }
}
