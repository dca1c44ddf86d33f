//! Trials of suspects: copies of one request may come to many daemons at once, and sending one of them is enough to
//! find out whether a leaf ends under it.
//!
//! A daemon that begins a trial announces it to the others, which hold their copies back until they learn the result
//! or a timeout passes. Without an announcement they send their copy: a lost message costs a leaf, never an answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tansylead_route::RequestFingerprint;
use tansylead_types::Moment;

/// Trials begin after a random delay of up to this time: several times the latency between regions (users' sites:
/// 12 ms), so that most daemons that get a copy at once learn of the first trial before they begin one.
pub const TRIAL_JITTER: Duration = Duration::from_millis(100);
/// How long to wait for a trial: a long run (users' sites: up to 1.3 s) and the check whether its leaf has ended.
pub const TRIAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bound of the trials that are kept.
const MAXIMUM_TRIALS: usize = 64;

/// The trials that other daemons run.
#[derive(Debug, Default)]
pub(super) struct Trials {
    until: RefCell<HashMap<RequestFingerprint, Moment>>,
}

impl Trials {
    /// Records that a daemon begins a trial.
    pub(super) fn begin(&self, now: Moment, request: RequestFingerprint) {
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        if until.len() < MAXIMUM_TRIALS {
            until.insert(request, now + TRIAL_TIMEOUT);
        }
    }

    /// Removes the trial of a request, once its result is known.
    pub(super) fn end(&self, request: RequestFingerprint) {
        self.until.borrow_mut().remove(&request);
    }

    /// Until when to wait for the trial of a request; `None` if none is running.
    pub(super) fn until(&self, now: Moment, request: RequestFingerprint) -> Option<Moment> {
        let until = self.until.borrow();
        until.get(&request).copied().filter(|until| now < *until)
    }
}
