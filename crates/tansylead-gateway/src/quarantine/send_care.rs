//! How many leafs one request may be at while leafs end under it.
//!
//! Invariant: a request under which leafs end, and that none has answered, goes to one leaf at a time, and to
//! the next one only when it is known what became of the last.

use super::trials::{TRIAL_SPREAD, TRIAL_WAIT};
use std::cell::Cell;
use std::rc::Rc;
use tansylead_route::Verdict;
use tansylead_types::Moment;
use tokio::sync::Notify;

/// Connections lost under one request from which on it is sent with care: one is lost now and then, two
/// before any answer hardly ever.
const LOST_FOR_CARE: u32 = 2;

/// Connections lost while one attempt at a time was under way after which the request fails: what follows is for
/// its next repetition to find out.
const LOST_WITH_CARE: u32 = 2;

/// Whether an attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendAdmission {
    /// Yes.
    Now,
    /// Once the others have ended, and it is known whether their leafs have.
    Later,
    /// No: the request is quarantined, or enough leafs have ended under it.
    Never,
}

/// The care for one request.
#[derive(Debug, Default)]
pub struct SendCare {
    in_flight: Cell<u32>,
    /// Connections lost under it, but for those whose leafs were found to live.
    lost: Cell<u32>,
    /// Those of them under attempts that were sent with care.
    lost_with_care: Cell<u32>,
    /// Those of them whose leafs were not asked yet.
    unchecked: Cell<u32>,
    is_answered: Cell<bool>,
    is_refused: Cell<bool>,
    /// When a suspect that has not been sent yet may be tried, if no other daemon tries it.
    turn: Cell<Option<Moment>>,
    /// Since when it has waited to be tried.
    waits_since: Cell<Option<Moment>>,
    /// Whether it is tried, or has been.
    is_tried: Cell<bool>,
    changed: Notify,
}

/// An attempt of the request that is under way until this is dropped.
#[derive(Debug)]
pub struct AttemptInFlight {
    care: Rc<SendCare>,
    is_with_care: bool,
}

impl AttemptInFlight {
    /// The care for its request.
    pub fn care(&self) -> Rc<SendCare> {
        Rc::clone(&self.care)
    }

    /// Notes that the connection was lost under the attempt. [`SendCare::on_checked`] follows.
    pub fn on_lost(&self) {
        let care = &self.care;
        care.lost.set(care.lost.get() + 1);
        care.unchecked.set(care.unchecked.get() + 1);
        if self.is_with_care {
            care.lost_with_care.set(care.lost_with_care.get() + 1);
        }
    }
}

impl SendCare {
    /// Whether an attempt may start now, by what is known of the request.
    pub fn admission(&self, verdict: Verdict) -> SendAdmission {
        if matches!(verdict, Verdict::Quarantined(_)) {
            self.is_refused.set(true);
            return SendAdmission::Never;
        }
        if self.lost_with_care.get() >= LOST_WITH_CARE && !self.is_answered.get() {
            return SendAdmission::Never;
        }
        let is_suspect = self.is_suspect(verdict);
        let is_busy = self.in_flight.get() > 0 || self.unchecked.get() > 0;
        match is_suspect && is_busy && !self.is_answered.get() {
            true => SendAdmission::Later,
            false => SendAdmission::Now,
        }
    }

    /// When a suspect may be tried, by chance within a while from now: the moment drawn first stays.
    pub fn turn(&self, now: Moment) -> Moment {
        let drawn = || now + TRIAL_SPREAD.mul_f64(rand::random());
        let turn = self.turn.get().unwrap_or_else(drawn);
        self.turn.set(Some(turn));
        turn
    }

    /// Whether the request has waited for trials at other daemons as long as one may take.
    pub fn has_waited_too_long(&self, now: Moment) -> bool {
        let since = self.waits_since.get().unwrap_or(now);
        self.waits_since.set(Some(since));
        now.since(since) >= TRIAL_WAIT
    }

    /// Has the moment be drawn anew.
    pub fn give_up_turn(&self) {
        self.turn.set(None);
    }

    /// Whether the request is tried as a suspect, or has been.
    pub fn is_tried(&self) -> bool {
        self.is_tried.get()
    }

    /// Notes that the request is tried as a suspect.
    pub fn set_tried(&self) {
        self.is_tried.set(true);
    }

    fn is_suspect(&self, verdict: Verdict) -> bool {
        verdict == Verdict::Suspect || self.lost.get() >= LOST_FOR_CARE
    }

    /// Counts an attempt until the guard is dropped. `verdict` is that by which it was admitted.
    pub fn begin(self: &Rc<Self>, verdict: Verdict) -> AttemptInFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        AttemptInFlight {
            care: Rc::clone(self),
            is_with_care: self.is_suspect(verdict),
        }
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

    /// Notes that a leaf has answered the request. Returns whether it is the first.
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
        let in_flight = &self.care.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
        self.care.changed.notify_waiters();
    }
}
