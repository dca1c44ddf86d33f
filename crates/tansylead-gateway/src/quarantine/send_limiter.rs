//! Limits how many leafs a request is sent to at once while leafs end under it.
//!
//! Invariant: a request under which leafs end, and that none has answered, is sent to one leaf at a time, and to
//! the next one only when it is known whether the last has ended.

use super::trials::{TRIAL_JITTER, TRIAL_TIMEOUT};
use std::cell::Cell;
use std::rc::Rc;
use tansylead_route::Verdict;
use tansylead_types::Moment;
use tokio::sync::Notify;

/// Connections lost under one request from which on it is sent to one leaf at a time: one is lost now and then,
/// two before any answer hardly ever.
const LOST_BEFORE_SERIAL: u32 = 2;

/// Connections lost under attempts that were sent one at a time after which the request fails. Whether it goes on
/// ending leafs shows when the caller repeats it.
const LOST_WHILE_SERIAL: u32 = 2;

/// Whether an attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendAdmission {
    /// Yes.
    Now,
    /// Once the other attempts have ended, and it is known whether their leafs have.
    Later,
    /// No: the request is quarantined, or enough leafs have ended under it.
    Never,
}

/// The limiter of one request.
#[derive(Debug, Default)]
pub struct SendLimiter {
    in_flight: Cell<u32>,
    /// Connections lost under it, without those whose leafs turned out to be running.
    lost: Cell<u32>,
    /// All connections lost under attempts that were sent one at a time, also if the leaf turned out to be running.
    lost_while_serial: Cell<u32>,
    /// Lost connections of which it was not checked yet whether the leaf has ended.
    unchecked: Cell<u32>,
    is_answered: Cell<bool>,
    is_refused: Cell<bool>,
    /// When the trial of a suspect that was not sent yet may begin, if no other daemon tries it.
    trial_start: Cell<Option<Moment>>,
    /// Since when it has waited for its trial.
    waiting_since: Cell<Option<Moment>>,
    /// Whether its trial has begun.
    has_trial_begun: Cell<bool>,
    changed: Notify,
}

/// An attempt of the request, in flight until this is dropped.
#[derive(Debug)]
pub struct AttemptInFlight {
    limiter: Rc<SendLimiter>,
    is_serial: bool,
}

impl AttemptInFlight {
    /// The limiter of its request.
    pub fn limiter(&self) -> Rc<SendLimiter> {
        Rc::clone(&self.limiter)
    }

    /// Records that the connection was lost under the attempt. [`SendLimiter::on_checked`] follows.
    pub fn on_lost(&self) {
        let limiter = &self.limiter;
        limiter.lost.set(limiter.lost.get() + 1);
        limiter.unchecked.set(limiter.unchecked.get() + 1);
        if self.is_serial {
            limiter
                .lost_while_serial
                .set(limiter.lost_while_serial.get() + 1);
        }
    }
}

impl SendLimiter {
    /// Whether an attempt may start now, given the verdict on the request.
    pub fn admission(&self, verdict: Verdict) -> SendAdmission {
        if matches!(verdict, Verdict::Quarantined(_)) {
            self.is_refused.set(true);
            return SendAdmission::Never;
        }
        if self.lost_while_serial.get() >= LOST_WHILE_SERIAL && !self.is_answered.get() {
            return SendAdmission::Never;
        }
        let is_suspect = self.is_suspect(verdict);
        let is_busy = self.in_flight.get() > 0 || self.unchecked.get() > 0;
        match is_suspect && is_busy && !self.is_answered.get() {
            true => SendAdmission::Later,
            false => SendAdmission::Now,
        }
    }

    /// When the trial of a suspect may begin: at a random moment within [`TRIAL_JITTER`], drawn on the first call.
    pub fn trial_start(&self, now: Moment) -> Moment {
        let draw = || now + TRIAL_JITTER.mul_f64(rand::random());
        let trial_start = self.trial_start.get().unwrap_or_else(draw);
        self.trial_start.set(Some(trial_start));
        trial_start
    }

    /// Whether the request has waited for trials at other daemons as long as one may take. The first call starts the
    /// wait.
    pub fn has_trial_wait_expired(&self, now: Moment) -> bool {
        let since = self.waiting_since.get().unwrap_or(now);
        self.waiting_since.set(Some(since));
        now.since(since) >= TRIAL_TIMEOUT
    }

    /// Has the next call of [`Self::trial_start`] draw another moment.
    pub fn reset_trial_start(&self) {
        self.trial_start.set(None);
    }

    /// Whether the trial of the request has begun.
    pub fn has_trial_begun(&self) -> bool {
        self.has_trial_begun.get()
    }

    /// Records that the trial of the request begins.
    pub fn set_trial_begun(&self) {
        self.has_trial_begun.set(true);
    }

    fn is_suspect(&self, verdict: Verdict) -> bool {
        verdict == Verdict::Suspect || self.lost.get() >= LOST_BEFORE_SERIAL
    }

    /// Counts an attempt until the returned guard is dropped. `verdict` is the one that admitted it.
    pub fn begin(self: &Rc<Self>, verdict: Verdict) -> AttemptInFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        AttemptInFlight {
            limiter: Rc::clone(self),
            is_serial: self.is_suspect(verdict),
        }
    }

    /// Records whether the leaf of a lost connection has ended.
    pub fn on_checked(&self, has_ended: bool) {
        self.unchecked.set(self.unchecked.get().saturating_sub(1));
        if !has_ended {
            self.lost.set(self.lost.get().saturating_sub(1));
        }
        self.changed.notify_waiters();
    }

    /// Wakes attempts that wait, since the verdict on the request may have changed.
    pub fn on_decided(&self) {
        self.changed.notify_waiters();
    }

    /// Records that a leaf has answered the request. Returns whether it is the first answer.
    pub fn on_answer(&self) -> bool {
        let is_first = !self.is_answered.replace(true);
        if is_first {
            self.changed.notify_waiters();
        }
        is_first
    }

    /// Whether a leaf has answered the request.
    pub fn is_answered(&self) -> bool {
        self.is_answered.get()
    }

    /// Whether an attempt was not started because the request is quarantined.
    pub fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    /// Waits until an attempt that had to wait may be admitted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        let in_flight = &self.limiter.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
        self.limiter.changed.notify_waiters();
    }
}
