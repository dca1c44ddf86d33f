//! The requests whose connections to one leaf were lost, until it is known whether the leaf has ended.

use crate::quarantine::SendLimiter;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::RequestFingerprints;
use tansylead_types::Moment;

/// Requests remembered for one leaf: more than it works on and queues from one daemon.
const MAXIMUM_RUNS: usize = 64;
/// A leaf that ends this long after a request was given up may have ended of it: it still works on the request
/// until it notices.
const ABANDONED_LIMIT: Duration = Duration::from_millis(500);

/// A request that may have run on a leaf when the connection was lost.
#[derive(Debug, Clone)]
pub struct LostRun {
    /// What the request is recognized by.
    pub fingerprints: RequestFingerprints,
    /// When it was sent.
    pub sent: Moment,
    /// When the connection was lost.
    pub lost: Moment,
    /// The care for the request.
    pub care: Rc<SendLimiter>,
}

/// The requests of one leaf.
#[derive(Debug, Default)]
pub struct LostRuns {
    /// The leaf's address was not asked yet since these were lost.
    unprobed: RefCell<Vec<LostRun>>,
    is_probed: Cell<bool>,
    /// The address accepts connections; the leaf's entry and answers will tell.
    watched: RefCell<Vec<LostRun>>,
    is_watched: Cell<bool>,
    /// Ended by this daemon before an answer came, lately.
    abandoned: RefCell<Vec<LostRun>>,
}

impl LostRuns {
    /// Adds one. Returns whether nobody asks the address yet; then the caller has to.
    pub fn add(&self, run: LostRun) -> bool {
        let mut unprobed = self.unprobed.borrow_mut();
        if unprobed.len() >= MAXIMUM_RUNS {
            run.care.on_checked(false);
            return false;
        }
        unprobed.push(run);
        !self.is_probed.replace(true)
    }

    /// Takes out those that the address has been asked for.
    pub fn take_unprobed(&self) -> Vec<LostRun> {
        self.is_probed.set(false);
        self.unprobed.take()
    }

    /// Keeps requests until the leaf's entry or answers tell. Returns whether nobody looks at these yet; then
    /// the caller has to.
    pub fn watch(&self, runs: Vec<LostRun>) -> bool {
        let mut watched = self.watched.borrow_mut();
        let room = MAXIMUM_RUNS.saturating_sub(watched.len());
        watched.extend(runs.into_iter().take(room));
        !self.is_watched.replace(true)
    }

    /// Notes a request that this daemon gave up, because its caller left or its other parts had failed. The leaf
    /// may end of it all the same.
    pub fn abandon(&self, run: LostRun) {
        self.forget_abandoned(run.lost);
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.len() < MAXIMUM_RUNS {
            abandoned.push(run);
        }
    }

    /// Forgets those that were given up too long ago, and gives their memory back.
    pub fn forget_abandoned(&self, now: Moment) {
        let mut abandoned = self.abandoned.borrow_mut();
        abandoned.retain(|earlier| now.since(earlier.lost) < ABANDONED_LIMIT);
        if abandoned.is_empty() {
            abandoned.shrink_to_fit();
        }
    }

    /// Takes out the requests that were given up shortly before `lost`, when the leaf was found to have ended.
    pub fn take_abandoned(&self, lost: Moment) -> Vec<LostRun> {
        let abandoned = self.abandoned.take().into_iter();
        let is_recent = |run: &LostRun| lost.since(run.lost) < ABANDONED_LIMIT;
        abandoned.filter(is_recent).collect()
    }

    /// Takes out those that are kept.
    pub fn take_watched(&self) -> Vec<LostRun> {
        self.watched.take()
    }

    /// Takes out those that are kept; nobody looks any more.
    pub fn end_watch(&self) -> Vec<LostRun> {
        self.is_watched.set(false);
        self.watched.take()
    }
}
