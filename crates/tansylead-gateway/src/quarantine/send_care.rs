//! How many leafs one request may be at while leafs end under it.
//!
//! Invariant: a request under which leafs end, and that none has answered, goes to one leaf at a time, and to
//! the next one only when it is known what became of the last.

use std::cell::Cell;
use std::rc::Rc;
use tansylead_route::Verdict;
use tokio::sync::Notify;

/// Connections lost under one request from which on it is sent with care: one is lost now and then, two
/// before any answer hardly ever.
const LOST_FOR_CARE: u32 = 2;

/// Whether an attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendAdmission {
    /// Yes.
    Now,
    /// Once the others have ended, and it is known whether their leafs have.
    Later,
    /// No: the request is quarantined.
    Never,
}

/// The care for one request.
#[derive(Debug, Default)]
pub struct SendCare {
    in_flight: Cell<u32>,
    /// Connections lost under it, but for those whose leafs were found to live.
    lost: Cell<u32>,
    /// Those of them whose leafs were not asked yet.
    unchecked: Cell<u32>,
    is_answered: Cell<bool>,
    is_refused: Cell<bool>,
    changed: Notify,
}

/// An attempt of the request that is under way until this is dropped.
#[derive(Debug)]
pub struct AttemptInFlight {
    care: Rc<SendCare>,
}

impl SendCare {
    /// Whether an attempt may start now, by what is known of the request.
    pub fn admission(&self, verdict: Verdict) -> SendAdmission {
        if matches!(verdict, Verdict::Quarantined(_)) {
            self.is_refused.set(true);
            return SendAdmission::Never;
        }
        let is_suspect = verdict == Verdict::Suspect || self.lost.get() >= LOST_FOR_CARE;
        let is_busy = self.in_flight.get() > 0 || self.unchecked.get() > 0;
        match is_suspect && is_busy && !self.is_answered.get() {
            true => SendAdmission::Later,
            false => SendAdmission::Now,
        }
    }

    /// Counts an attempt until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> AttemptInFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        AttemptInFlight {
            care: Rc::clone(self),
        }
    }

    /// Notes that a connection was lost under the request. [`SendCare::on_checked`] follows.
    pub fn on_lost(&self) {
        self.lost.set(self.lost.get() + 1);
        self.unchecked.set(self.unchecked.get() + 1);
    }

    /// Notes what was found of the leaf of a connection that was lost.
    pub fn on_checked(&self, has_ended: bool) {
        self.unchecked.set(self.unchecked.get().saturating_sub(1));
        if !has_ended {
            self.lost.set(self.lost.get().saturating_sub(1));
        }
        self.changed.notify_waiters();
    }

    /// Notes that what is known of the request has changed.
    pub fn on_decided(&self) {
        self.changed.notify_waiters();
    }

    /// Notes that a leaf has answered the request.
    pub fn on_answer(&self) {
        if !self.is_answered.replace(true) {
            self.changed.notify_waiters();
        }
    }

    /// Whether connections were lost under the request.
    pub fn has_losses(&self) -> bool {
        self.lost.get() > 0
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
        let in_flight = &self.care.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
        self.care.changed.notify_waiters();
    }
}
