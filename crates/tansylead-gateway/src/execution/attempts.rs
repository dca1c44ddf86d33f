//! The attempts of one call that are in flight.
//!
//! Dropping an attempt ends it and closes its connection: the caller has gone. A call that has its
//! answer lets the others finish instead, for a while: cancelling them would cost a connection
//! each and save the leaf nothing.

use crate::clock::Clock;
use crate::leaf::{AttemptEnd, LeafState, LostRequest, SendRecord};
use crate::quarantine::AttemptInFlight;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tansylead_route::RequestFingerprints;
use tansylead_types::Moment;
use tokio::task::spawn_local;
use tokio_util::task::AbortOnDropHandle;

/// One attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) leaf: Rc<LeafState>,
    pub(super) started: Moment,
    pub(super) sent: Rc<Cell<Option<SendRecord>>>,
    /// When an answer is overdue; none once that has been handled.
    pub(super) overdue: Option<Moment>,
    /// The delay behind `overdue`.
    pub(super) overdue_delay: Duration,
    task: AbortOnDropHandle<AttemptEnd>,
    pub(super) in_flight: AttemptInFlight,
    fingerprints: RequestFingerprints,
    has_ended: bool,
}

impl Attempt {
    /// Starts an attempt.
    pub(super) fn start(
        leaf: Rc<LeafState>,
        started: Moment,
        overdue_delay: Duration,
        sent: Rc<Cell<Option<SendRecord>>>,
        run: impl Future<Output = AttemptEnd> + 'static,
        in_flight: AttemptInFlight,
        fingerprints: RequestFingerprints,
    ) -> Self {
        Self {
            leaf,
            started,
            sent,
            overdue: Some(started + overdue_delay),
            overdue_delay,
            task: AbortOnDropHandle::new(spawn_local(run)),
            in_flight,
            fingerprints,
            has_ended: false,
        }
    }

    /// Whether the request was handed to a connection.
    pub(super) fn is_sent(&self) -> bool {
        self.sent.get().is_some()
    }

    /// Waits for the end, at most for `limit`; none if it has not come by then. Dropping
    /// the attempt then ends it.
    pub(super) async fn finish_within(&mut self, limit: Duration) -> Option<AttemptEnd> {
        let end = Clock.timeout_at(Clock.now() + limit, &mut self.task).await;
        self.has_ended = end.is_ok();
        end.ok()?.ok()
    }
}

impl Drop for Attempt {
    /// An attempt that is given up may still make its leaf end.
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        if let Some(sent) = self.sent.get() {
            let request = LostRequest {
                fingerprints: self.fingerprints,
                sent: sent.at,
                lost: Clock.now(),
                limiter: self.in_flight.limiter(),
            };
            self.leaf.lost_requests().abandon(request);
        }
    }
}

/// Waits for the end of any of the attempts and removes that one.
pub(super) struct NextAttemptEnd<'a> {
    pub(super) attempts: &'a mut Vec<Attempt>,
}

impl Future for NextAttemptEnd<'_> {
    type Output = (Attempt, Option<AttemptEnd>);

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        for index in 0..self.attempts.len() {
            let task = Pin::new(&mut self.attempts[index].task);
            if let Poll::Ready(end) = task.poll(context) {
                let mut attempt = self.attempts.swap_remove(index);
                attempt.has_ended = true;
                // A panic of the attempt counts as a failure of it alone.
                return Poll::Ready((attempt, end.ok()));
            }
        }
        Poll::Pending
    }
}
