//! Suspects that are being tried: copies of one request may come to many daemons at once, and one of them is
//! enough to find out whether a leaf ends under it.
//!
//! A daemon that begins tells the others, which hold their copies until they hear how it ended, or for a while.
//! Without a word they try themselves: a lost message costs a leaf, never an answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tansylead_route::RequestFingerprint;
use tansylead_types::Moment;

/// Copies that come to several daemons at once begin within this time: several times the way between regions
/// (users' sites: 12 ms), so that most hear of the first before they begin.
pub const TRIAL_SPREAD: Duration = Duration::from_millis(100);
/// How long a trial is waited for: a long run (users' sites: up to 1.3 s) and the look whether its leaf has ended.
pub const TRIAL_WAIT: Duration = Duration::from_millis(1_500);
/// Trials remembered.
const MAXIMUM_TRIALS: usize = 64;

/// The trials of other daemons.
#[derive(Debug, Default)]
pub(super) struct Trials {
    until: RefCell<HashMap<RequestFingerprint, Moment>>,
}

impl Trials {
    /// Notes that a daemon begins one.
    pub(super) fn begin(&self, now: Moment, request: RequestFingerprint) {
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        if until.len() < MAXIMUM_TRIALS {
            until.insert(request, now + TRIAL_WAIT);
        }
    }

    /// Notes that it is known what a request does.
    pub(super) fn end(&self, request: RequestFingerprint) {
        self.until.borrow_mut().remove(&request);
    }

    /// Until when the trial of a request is waited for; none if there is none.
    pub(super) fn until(&self, now: Moment, request: RequestFingerprint) -> Option<Moment> {
        let until = self.until.borrow();
        until.get(&request).copied().filter(|until| now < *until)
    }
}
