//! Acceptance of a proposal: compare-and-set against the store, with answers that may be lost.
//!
//! Owns the decision what happened to one change. Invariants:
//! - the change can take effect only as the generation right after its base, because every copy of
//!   the write expects the base generation; so it is applied at most once, however often it is sent;
//! - an outcome is definite only if the store's own record proves it: the change id of the
//!   generation after the base, from the object or from the table's recorded changes;
//! - a write whose answer is missing is never reported as not written.
//!
//! The driver performs each action and reports what came of it; one request is open at a time.

mod judgement;
mod outcome;

pub use outcome::AcceptOutcome;

use crate::proposal::Proposal;
use judgement::{Judgement, judge};
use outcome::conflict;
use std::time::Duration;
use tansylead_types::store::{WriteConflict, WriteRequest};
use tansylead_types::table::RECENT_CHANGES;
use tansylead_types::{ConfigObject, Moment, StoredObject, TableChange, TrafficTable};

/// Time limits of an acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptSettings {
    /// After this the outcome is reported as far as it is known.
    pub time_limit: Duration,
    /// First pause before the store is asked again; doubles with each further one.
    pub first_backoff: Duration,
    /// Longest pause.
    pub longest_backoff: Duration,
}

impl Default for AcceptSettings {
    fn default() -> Self {
        Self {
            time_limit: Duration::from_secs(20),
            first_backoff: Duration::from_millis(100),
            longest_backoff: Duration::from_secs(2),
        }
    }
}

/// What came of an action, or the time.
#[derive(Debug, Clone, PartialEq)]
pub enum AcceptEvent {
    /// The store answered a read; none if the table was never written.
    Read(Option<Box<StoredObject>>),
    /// A read failed.
    ReadFailed(String),
    /// The store performed the write.
    Written(Box<StoredObject>),
    /// The store refused the write because of another generation.
    Conflict(Box<WriteConflict>),
    /// The store did not perform the write, and this copy of it never will be.
    NotWritten(String),
    /// The answer to the write is missing; the write may still take effect.
    WriteUnknown(String),
    /// The moment of [`Accept::next_wakeup`] has come.
    Wakeup,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum AcceptAction {
    /// Read the table from the store.
    Read,
    /// Write the table to the store, once.
    Write(Box<WriteRequest>),
    /// The end; nothing follows.
    Finish(Box<AcceptOutcome>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Reading,
    Writing,
    /// Waiting to read again.
    Pausing(Moment),
    Finished,
}

/// State machine of one acceptance.
#[derive(Debug, Clone)]
pub struct Accept {
    proposal: Proposal,
    known_generation: u64,
    settings: AcceptSettings,
    deadline: Moment,
    backoff: Duration,
    step: Step,
    /// The write as first built, so that every copy is the same.
    write: Option<WriteRequest>,
    /// Whether a copy of the write has no known outcome.
    write_is_open: bool,
    /// Why the last step led to no outcome.
    last_trouble: String,
    last_judgement: Option<Judgement>,
}

impl Accept {
    /// Starts an acceptance. `known_generation` is the highest generation of the table that a
    /// daemon is known to have in force, 0 if none was asked.
    pub fn start(
        now: Moment,
        proposal: Proposal,
        known_generation: u64,
        settings: AcceptSettings,
    ) -> (Self, Vec<AcceptAction>) {
        let accept = Self {
            proposal,
            known_generation,
            settings,
            deadline: now + settings.time_limit,
            backoff: settings.first_backoff,
            step: Step::Reading,
            write: None,
            write_is_open: false,
            last_trouble: String::new(),
            last_judgement: None,
        };
        (accept, vec![AcceptAction::Read])
    }

    /// Advances the machine.
    pub fn on_event(&mut self, now: Moment, event: AcceptEvent) -> Vec<AcceptAction> {
        match (self.step, event) {
            (Step::Finished, _) => Vec::new(),
            (Step::Reading, AcceptEvent::Read(current)) => self.on_read(now, current.as_deref()),
            (Step::Reading, AcceptEvent::ReadFailed(cause)) => self.pause(now, cause),
            (Step::Writing, AcceptEvent::Written(stored)) => self.on_written(now, &stored),
            (Step::Writing, AcceptEvent::Conflict(conflict)) => {
                self.on_conflict(now, conflict.current.as_ref())
            }
            (Step::Writing, AcceptEvent::NotWritten(cause)) => self.pause(now, cause),
            (Step::Writing, AcceptEvent::WriteUnknown(cause)) => {
                self.write_is_open = true;
                self.pause(now, cause)
            }
            (Step::Pausing(until), AcceptEvent::Wakeup) if until <= now && now < self.deadline => {
                self.step = Step::Reading;
                vec![AcceptAction::Read]
            }
            (_, AcceptEvent::Wakeup) if now >= self.deadline => self.give_up(),
            _ => Vec::new(),
        }
    }

    /// When [`AcceptEvent::Wakeup`] is wanted at the latest; none after the end.
    pub fn next_wakeup(&self) -> Option<Moment> {
        match self.step {
            Step::Finished => None,
            Step::Pausing(until) => Some(until.min(self.deadline)),
            Step::Reading | Step::Writing => Some(self.deadline),
        }
    }

    fn on_read(&mut self, now: Moment, current: Option<&StoredObject>) -> Vec<AcceptAction> {
        let judgement = judge(&self.proposal, self.known_generation, current);
        self.last_judgement = Some(judgement);
        match judgement {
            Judgement::AtBase => self.send_write(current),
            // Reads may be stale. The write itself decides, if it has been built.
            Judgement::Behind { .. } if self.write.is_some() => self.send_write(current),
            Judgement::Behind { .. } => {
                self.pause(now, "the store shows an older table".to_owned())
            }
            _ => self.finish_by(judgement, current),
        }
    }

    fn on_written(&mut self, now: Moment, stored: &StoredObject) -> Vec<AcceptAction> {
        let judgement = judge(&self.proposal, 0, Some(stored));
        match judgement {
            Judgement::Accepted { .. } => self.finish_by(judgement, Some(stored)),
            // The store contradicts itself: read back.
            _ => {
                self.write_is_open = true;
                self.pause(now, "the store answered with another change".to_owned())
            }
        }
    }

    /// The object in a conflict is what the store compared with, so it is never stale.
    fn on_conflict(&mut self, now: Moment, current: Option<&StoredObject>) -> Vec<AcceptAction> {
        let judgement = judge(&self.proposal, self.known_generation, current);
        self.last_judgement = Some(judgement);
        match judgement {
            Judgement::AtBase => {
                self.pause(now, "the store refused the current generation".to_owned())
            }
            _ => self.finish_by(judgement, current),
        }
    }

    fn send_write(&mut self, current: Option<&StoredObject>) -> Vec<AcceptAction> {
        let proposal = &self.proposal;
        let build = || write_request(proposal, current);
        let write = self.write.get_or_insert_with(build).clone();
        self.step = Step::Writing;
        vec![AcceptAction::Write(Box::new(write))]
    }

    fn pause(&mut self, now: Moment, trouble: String) -> Vec<AcceptAction> {
        self.last_trouble = trouble;
        self.step = Step::Pausing(now + self.backoff);
        self.backoff = (self.backoff * 2).min(self.settings.longest_backoff);
        Vec::new()
    }

    fn finish_by(
        &mut self,
        judgement: Judgement,
        current: Option<&StoredObject>,
    ) -> Vec<AcceptAction> {
        let outcome = match judgement {
            Judgement::Accepted {
                generation,
                revision,
            } => AcceptOutcome::Accepted {
                generation,
                revision,
            },
            Judgement::Overtaken => conflict(&self.proposal, current),
            Judgement::Behind { store, known } => AcceptOutcome::StoreBehind {
                store_generation: store,
                known_generation: known,
                may_have_been_written: self.write_is_open,
            },
            Judgement::Replaced { generation } => AcceptOutcome::StoreReplaced {
                generation,
                may_have_been_written: self.write_is_open,
            },
            Judgement::Untraceable { generation } => AcceptOutcome::NoLongerRecorded { generation },
            Judgement::AtBase => AcceptOutcome::NotWritten {
                cause: self.last_trouble.clone(),
            },
        };
        self.finish(outcome)
    }

    fn give_up(&mut self) -> Vec<AcceptAction> {
        let cause = match self.step {
            Step::Reading | Step::Writing => "no answer from the store".to_owned(),
            _ => self.last_trouble.clone(),
        };
        if self.write_is_open || self.step == Step::Writing {
            return self.finish(AcceptOutcome::StillUnknown { cause });
        }
        match self.last_judgement {
            Some(behind @ Judgement::Behind { .. }) => self.finish_by(behind, None),
            _ => self.finish(AcceptOutcome::NotWritten { cause }),
        }
    }

    fn finish(&mut self, outcome: AcceptOutcome) -> Vec<AcceptAction> {
        self.step = Step::Finished;
        vec![AcceptAction::Finish(Box::new(outcome))]
    }
}

/// The write of a proposal onto its base as the store holds it.
fn write_request(proposal: &Proposal, base: Option<&StoredObject>) -> WriteRequest {
    let mut recent_changes = judgement::recent_changes(base).to_vec();
    recent_changes.push(TableChange {
        generation: proposal.base.generation + 1,
        change: proposal.change.clone(),
        proposed_at: proposal.proposed_at,
        author: proposal.author.clone(),
        comment: proposal.comment.clone(),
    });
    let surplus = recent_changes.len().saturating_sub(RECENT_CHANGES);
    recent_changes.drain(..surplus);
    WriteRequest {
        expected_generation: proposal.base.generation,
        change: proposal.change.clone(),
        object: ConfigObject::Table(TrafficTable {
            rows: proposal.rows.clone(),
            recent_changes,
        }),
    }
}
