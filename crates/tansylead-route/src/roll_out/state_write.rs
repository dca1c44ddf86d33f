//! Writes the state of one roll-out to the source, even if answers are lost.
//!
//! Each write is conditional on the revision that the order had when it was last read. A write without an answer may
//! have been applied, or may be applied later, so the order is read back before anything else is written. If the late
//! write is applied after all, the next one fails with a conflict that returns the current order. Invariant: an order
//! that has ended is never written again.

use super::order::{RollOut, RollOutState};
use crate::revision::Revision;
use std::time::Duration;
use tansylead_types::Moment;

/// Backoff after the first failure: an overloaded store often accepts requests again in a moment.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff: a small part of the seconds within which a bad version must stop getting requests.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(1);
/// Most doublings of the backoff; so many reach the longest one.
const MAXIMUM_DOUBLINGS: u32 = 4;
/// Smallest jitter factor; the largest is greater by one. Jitter keeps judges that fail together from retrying
/// together.
const MINIMUM_JITTER: f64 = 0.5;

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteEnd {
    /// The write was applied; the object has this revision now.
    Written(Revision),
    /// The object had changed or was deleted; this is its current state.
    Conflict(Option<Box<RollOut>>),
}

/// Why a conditional write has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFailure {
    /// The source refused the write, which was not applied.
    Refused,
    /// There was no answer, or a malformed one: the write may have been applied, or may be applied later.
    Unknown,
}

/// The next step of the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteStep {
    /// Write the wanted state, on the condition that the order is unchanged since `roll_out`.
    Write {
        /// The order as it was last read.
        roll_out: RollOut,
    },
    /// Read the order back.
    Read,
    /// Wait until this moment.
    WaitUntil(Moment),
    /// Stop.
    Ended(StateWriteEnd),
}

/// How the writing of a state ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateWriteEnd {
    /// The source has the wanted state.
    Confirmed(Revision),
    /// The roll-out has ended in another state.
    EndedAs(RollOutState),
    /// The service has another order.
    Replaced,
    /// The order was withdrawn.
    Gone,
    /// It was given up, as what it was based on is too old.
    Expired,
}

impl StateWriteEnd {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Confirmed(_) => "stands",
            Self::EndedAs(_) => "ended_otherwise",
            Self::Replaced => "replaced",
            Self::Gone => "gone",
            Self::Expired => "expired",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Task {
    Write,
    Read,
    Done(StateWriteEnd),
}

/// State machine that writes the state of one roll-out to the source.
#[derive(Debug)]
pub struct StateWrite {
    /// The order as it was last read.
    roll_out: RollOut,
    wanted: RollOutState,
    task: Task,
    not_before: Moment,
    /// Failures since the last change of the order.
    failures: u32,
}

impl StateWrite {
    /// Starts the writing of a state. `order` is the last known version of the order.
    pub fn new(order: RollOut, wanted: RollOutState) -> Self {
        let mut write = Self {
            roll_out: order.clone(),
            wanted,
            task: Task::Write,
            not_before: Moment::default(),
            failures: 0,
        };
        write.update_task(Some(&order));
        write
    }

    /// The state to be written.
    pub fn wanted(&self) -> RollOutState {
        self.wanted
    }

    /// The next step. It stays the same until the result of a write or a read is passed in.
    pub fn next(&self, now: Moment) -> WriteStep {
        match self.task {
            Task::Done(end) => WriteStep::Ended(end),
            _ if now < self.not_before => WriteStep::WaitUntil(self.not_before),
            Task::Read => WriteStep::Read,
            Task::Write => WriteStep::Write {
                roll_out: self.roll_out.clone(),
            },
        }
    }

    /// Handles the result of a write. `random`, in 0..1, determines the jitter.
    pub fn on_write(&mut self, now: Moment, result: Result<WriteEnd, WriteFailure>, random: f64) {
        match result {
            Ok(WriteEnd::Written(revision)) => {
                self.task = Task::Done(StateWriteEnd::Confirmed(revision));
            }
            Ok(WriteEnd::Conflict(found)) => self.on_current(now, found.as_deref(), random),
            Err(WriteFailure::Refused) => self.back_off(now, random),
            Err(WriteFailure::Unknown) => {
                self.task = Task::Read;
                self.not_before = now;
            }
        }
    }

    /// Handles the result of a read: the current order, if there is one, or a failure.
    pub fn on_read(
        &mut self,
        now: Moment,
        result: Result<Option<&RollOut>, WriteFailure>,
        random: f64,
    ) {
        match result {
            Ok(found) => self.on_current(now, found, random),
            Err(_) => self.back_off(now, random),
        }
    }

    /// Handles a version of the order that was received in another way, such as a watch. One older than the last read
    /// is ignored.
    pub fn on_update(&mut self, received: &RollOut) {
        if received.changed_at > self.roll_out.changed_at && !matches!(self.task, Task::Done(_)) {
            self.update_task(Some(received));
        }
    }

    /// Handles the current order. If it has not changed since the last write, it is written again only after a backoff.
    fn on_current(&mut self, now: Moment, found: Option<&RollOut>, random: f64) {
        let has_changed = found.is_none_or(|found| found.changed_at != self.roll_out.changed_at);
        self.update_task(found);
        if has_changed {
            self.failures = 0;
            self.not_before = now;
        } else {
            self.back_off(now, random);
        }
    }

    fn update_task(&mut self, found: Option<&RollOut>) {
        let Some(found) = found else {
            self.task = Task::Done(StateWriteEnd::Gone);
            return;
        };
        self.task = if found.order != self.roll_out.order {
            Task::Done(StateWriteEnd::Replaced)
        } else if found.state == self.wanted {
            Task::Done(StateWriteEnd::Confirmed(found.changed_at))
        } else if found.state.is_final() {
            Task::Done(StateWriteEnd::EndedAs(found.state))
        } else {
            Task::Write
        };
        self.roll_out = found.clone();
    }

    fn back_off(&mut self, now: Moment, random: f64) {
        let doublings = self.failures.min(MAXIMUM_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAXIMUM_BACKOFF);
        self.not_before = now + backoff.mul_f64(MINIMUM_JITTER + random.clamp(0.0, 1.0));
    }
}
