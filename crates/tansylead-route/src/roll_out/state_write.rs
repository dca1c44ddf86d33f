//! Brings the state of one roll-out into the source, although answers may be lost.
//!
//! Each write names the revision that the order had when it was last read. A write without an answer may
//! have been done, or may be done later, so the order is read back before anything else is written; if
//! the late write is done after all, the condition of the next one no longer holds, and the conflict
//! tells what stands. Invariant: an order that has ended is never written again.

use super::order::{RollOut, RollOutState};
use crate::revision::Revision;
use std::time::Duration;
use tansylead_types::Moment;

/// Wait after the first failure: a refusal of a full store is often over in a moment.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait: a small part of the seconds within which a bad version must get nothing any more.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Doublings of the wait at most; so many reach the longest wait.
const MAXIMUM_DOUBLINGS: u32 = 4;
/// Waits are spread by a factor of this to one more, so that judges that fail together do not come back
/// together.
const LEAST_JITTER: f64 = 0.5;

/// How a conditional write ended.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteEnd {
    /// It was done; the object's revision is this one now.
    Written(Revision),
    /// The object had changed before, or is gone: this is how it stands now.
    Conflict(Option<Box<RollOut>>),
}

/// Why a conditional write gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFailure {
    /// The source refused: nothing was done.
    Refused,
    /// No answer, or none that can be understood: it may have been done, or may be done later.
    Unknown,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteStep {
    /// Write the wanted state, if order and state are still as in `roll_out`.
    Write {
        /// The order as it was last read.
        roll_out: RollOut,
    },
    /// Read the order back.
    Read,
    /// Nothing before this moment.
    WaitUntil(Moment),
    /// Nothing any more.
    Ended(StateWriteEnd),
}

/// How it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateWriteEnd {
    /// The state stands as wanted.
    Stands(Revision),
    /// The roll-out has ended, but not as wanted.
    EndedAs(RollOutState),
    /// Another order stands for the service.
    Replaced,
    /// The order was taken back.
    Gone,
}

impl StateWriteEnd {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Stands(_) => "stands",
            Self::EndedAs(_) => "ended_otherwise",
            Self::Replaced => "replaced",
            Self::Gone => "gone",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Task {
    Write,
    Read,
    Nothing(StateWriteEnd),
}

/// Brings the state of one roll-out into the source.
#[derive(Debug)]
pub struct StateWrite {
    /// The order as it was last read.
    roll_out: RollOut,
    wanted: RollOutState,
    task: Task,
    not_before: Moment,
    /// Failures since the order was last found changed.
    failures: u32,
}

impl StateWrite {
    /// Nothing has been written yet. `order` is what was last heard of it.
    pub fn new(order: RollOut, wanted: RollOutState) -> Self {
        let mut write = Self {
            roll_out: order.clone(),
            wanted,
            task: Task::Write,
            not_before: Moment::default(),
            failures: 0,
        };
        write.look_at(Some(&order));
        write
    }

    /// The state that is to stand.
    pub fn wanted(&self) -> RollOutState {
        self.wanted
    }

    /// What is to be done now. Stays the same until the end of a write or a read is told.
    pub fn next(&self, now: Moment) -> WriteStep {
        match self.task {
            Task::Nothing(end) => WriteStep::Ended(end),
            _ if now < self.not_before => WriteStep::WaitUntil(self.not_before),
            Task::Read => WriteStep::Read,
            Task::Write => WriteStep::Write {
                roll_out: self.roll_out.clone(),
            },
        }
    }

    /// Takes in how a write ended. `random` is in 0..1.
    pub fn on_write(&mut self, now: Moment, result: Result<WriteEnd, WriteFailure>, random: f64) {
        match result {
            Ok(WriteEnd::Written(revision)) => {
                self.task = Task::Nothing(StateWriteEnd::Stands(revision));
            }
            Ok(WriteEnd::Conflict(found)) => self.on_found(now, found.as_deref(), random),
            Err(WriteFailure::Refused) => self.wait(now, random),
            Err(WriteFailure::Unknown) => {
                self.task = Task::Read;
                self.not_before = now;
            }
        }
    }

    /// Takes in how a read ended: the order as it stands, none if there is none; or a failure.
    pub fn on_read(
        &mut self,
        now: Moment,
        result: Result<Option<&RollOut>, WriteFailure>,
        random: f64,
    ) {
        match result {
            Ok(found) => self.on_found(now, found, random),
            Err(_) => self.wait(now, random),
        }
    }

    /// Takes in what was heard of the order in another way, for example by a watch. What is older than
    /// the last read changes nothing.
    pub fn on_news(&mut self, told: &RollOut) {
        if told.changed_at > self.roll_out.changed_at && !matches!(self.task, Task::Nothing(_)) {
            self.look_at(Some(told));
        }
    }

    /// An order that is as it was before its last write is written again after a wait only.
    fn on_found(&mut self, now: Moment, found: Option<&RollOut>, random: f64) {
        let has_changed = found.is_none_or(|found| found.changed_at != self.roll_out.changed_at);
        self.look_at(found);
        if has_changed {
            self.failures = 0;
            self.not_before = now;
        } else {
            self.wait(now, random);
        }
    }

    fn look_at(&mut self, found: Option<&RollOut>) {
        let Some(found) = found else {
            self.task = Task::Nothing(StateWriteEnd::Gone);
            return;
        };
        self.task = if found.order != self.roll_out.order {
            Task::Nothing(StateWriteEnd::Replaced)
        } else if found.state == self.wanted {
            Task::Nothing(StateWriteEnd::Stands(found.changed_at))
        } else if found.state.is_final() {
            Task::Nothing(StateWriteEnd::EndedAs(found.state))
        } else {
            Task::Write
        };
        self.roll_out = found.clone();
    }

    fn wait(&mut self, now: Moment, random: f64) {
        let doublings = self.failures.min(MAXIMUM_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let wait = (FIRST_WAIT * 2_u32.pow(doublings)).min(LONGEST_WAIT);
        self.not_before = now + wait.mul_f64(LEAST_JITTER + random.clamp(0.0, 1.0));
    }
}
