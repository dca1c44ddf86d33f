//! Requests whose connections to one leaf were lost, until it is known whether the leaf has ended.

use crate::quarantine::SendLimiter;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::RequestFingerprints;
use tansylead_types::Moment;

/// Requests remembered per leaf: more than it runs and queues for one daemon.
const MAXIMUM_REQUESTS: usize = 64;
/// A leaf that ends within this time after a request was given up may have ended because of it: the leaf runs the
/// request until it notices.
const ABANDONED_RETENTION: Duration = Duration::from_millis(500);

/// A request that may have run on a leaf when the connection was lost.
#[derive(Debug, Clone)]
pub struct LostRequest {
    /// Fingerprints that identify repetitions of the request.
    pub fingerprints: RequestFingerprints,
    /// When it was sent.
    pub sent: Moment,
    /// When the connection was lost.
    pub lost: Moment,
    /// Send limiter of the request; it is told whether the leaf has ended.
    pub limiter: Rc<SendLimiter>,
}

/// Requests of one leaf that may have run when their connections were lost.
#[derive(Debug, Default)]
pub struct LostRequests {
    /// Requests lost since the leaf's address was last probed.
    unprobed: RefCell<Vec<LostRequest>>,
    is_probed: Cell<bool>,
    /// Requests lost while the address accepts connections; the leaf's entry and answers will show whether it ended.
    watched: RefCell<Vec<LostRequest>>,
    is_watched: Cell<bool>,
    /// Requests that this daemon recently gave up before an answer came.
    abandoned: RefCell<Vec<LostRequest>>,
}

impl LostRequests {
    /// Adds a lost request. Returns whether no probe of the address is running; then the caller must start one.
    pub fn add(&self, request: LostRequest) -> bool {
        let mut unprobed = self.unprobed.borrow_mut();
        if unprobed.len() >= MAXIMUM_REQUESTS {
            request.limiter.on_checked(false);
            return false;
        }
        unprobed.push(request);
        !self.is_probed.replace(true)
    }

    /// Removes and returns the requests that a probe has been made for.
    pub fn take_unprobed(&self) -> Vec<LostRequest> {
        self.is_probed.set(false);
        self.unprobed.take()
    }

    /// Keeps requests until the leaf's entry or answers show whether it ended. Returns whether nothing watches
    /// these yet; then the caller must.
    pub fn watch(&self, requests: Vec<LostRequest>) -> bool {
        let mut watched = self.watched.borrow_mut();
        let room = MAXIMUM_REQUESTS.saturating_sub(watched.len());
        watched.extend(requests.into_iter().take(room));
        !self.is_watched.replace(true)
    }

    /// Records a request that this daemon gave up, because its caller left or its other parts had failed. The leaf
    /// may still end because of it.
    pub fn abandon(&self, request: LostRequest) {
        self.drop_expired_abandoned(request.lost);
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.len() < MAXIMUM_REQUESTS {
            abandoned.push(request);
        }
    }

    /// Drops requests that were given up too long ago, and frees their memory.
    pub fn drop_expired_abandoned(&self, now: Moment) {
        let mut abandoned = self.abandoned.borrow_mut();
        abandoned.retain(|earlier| now.since(earlier.lost) < ABANDONED_RETENTION);
        if abandoned.is_empty() {
            abandoned.shrink_to_fit();
        }
    }

    /// Removes and returns the requests that were given up shortly before `lost`, when the leaf was found to
    /// have ended.
    pub fn take_abandoned(&self, lost: Moment) -> Vec<LostRequest> {
        let abandoned = self.abandoned.take().into_iter();
        let is_recent = |request: &LostRequest| lost.since(request.lost) < ABANDONED_RETENTION;
        abandoned.filter(is_recent).collect()
    }

    /// Removes and returns the watched requests.
    pub fn take_watched(&self) -> Vec<LostRequest> {
        self.watched.take()
    }

    /// Removes and returns the watched requests, and ends the watch.
    pub fn end_watch(&self) -> Vec<LostRequest> {
        self.is_watched.set(false);
        self.watched.take()
    }
}
