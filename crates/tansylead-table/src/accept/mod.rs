//! Acceptance of a proposal: compare-and-set against the store, whose answers may be lost.
//!
//! Decides what happened to one change. Invariants:
//! - the change can take effect only as the generation right after its base, because every copy of
//!   the write expects the base generation; so it is applied at most once, however often it is sent;
//! - an outcome is definite only if the store's record proves it: the change id of the generation
//!   after the base, from the object or from the table's recorded changes;
//! - a write whose answer is missing is never reported as not written.
//!
//! The driver performs each action and reports its result; one request is in flight at a time.

mod outcome;
mod proposal_state;

pub use outcome::AcceptOutcome;

use crate::proposal::Proposal;
use outcome::conflict;
use proposal_state::{ProposalState, determine_state};
use std::time::Duration;
use tansylead_types::store::{WriteConflict, WriteRequest};
use tansylead_types::table::RECENT_CHANGES;
use tansylead_types::{ConfigObject, Moment, StoredObject, TableChange, TrafficTable};

/// Time limits of an acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptSettings {
    /// Time after which the outcome is reported as far as it is known.
    pub time_limit: Duration,
    /// First backoff before the store is read again; doubles with each further one.
    pub first_backoff: Duration,
    /// Longest backoff.
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

/// The result of an action, or a wakeup.
#[derive(Debug, Clone, PartialEq)]
pub enum AcceptEvent {
    /// The store answered a read; none if the table was never written.
    Read(Option<Box<StoredObject>>),
    /// A read failed.
    ReadFailed(String),
    /// The store performed the write.
    Written(Box<StoredObject>),
    /// The store refused the write because it holds another generation.
    Conflict(Box<WriteConflict>),
    /// The store did not perform the write and never will perform this copy of it.
    NotWritten(String),
    /// The answer to the write is missing; the write may still take effect.
    WriteUnknown(String),
    /// The time returned by [`Acceptance::next_wakeup`] has been reached.
    Wakeup,
}

/// Action that the driver must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum AcceptAction {
    /// Read the table from the store.
    Read,
    /// Write the table to the store, once.
    Write(Box<WriteRequest>),
    /// Report the outcome; no action follows.
    Finish(Box<AcceptOutcome>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Reading,
    Writing,
    /// Waiting to read again.
    Waiting(Moment),
    Finished,
}

/// State machine of one acceptance.
#[derive(Debug, Clone)]
pub struct Acceptance {
    proposal: Proposal,
    known_generation: u64,
    settings: AcceptSettings,
    deadline: Moment,
    backoff: Duration,
    step: Step,
    /// The write, built once so that every copy is the same.
    write: Option<WriteRequest>,
    /// Whether the result of some copy of the write is unknown.
    is_write_unresolved: bool,
    /// Why the last step did not lead to an outcome.
    last_cause: String,
    last_state: Option<ProposalState>,
}

impl Acceptance {
    /// Starts an acceptance. `known_generation` is the highest generation of the table that a
    /// daemon is known to have in force, 0 if no daemon was asked.
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
            is_write_unresolved: false,
            last_cause: String::new(),
            last_state: None,
        };
        (accept, vec![AcceptAction::Read])
    }

    /// Handles an event and returns the actions to perform.
    pub fn on_event(&mut self, now: Moment, event: AcceptEvent) -> Vec<AcceptAction> {
        match (self.step, event) {
            (Step::Finished, _) => Vec::new(),
            (Step::Reading, AcceptEvent::Read(current)) => self.on_read(now, current.as_deref()),
            (Step::Reading, AcceptEvent::ReadFailed(cause)) => self.back_off(now, cause),
            (Step::Writing, AcceptEvent::Written(stored)) => self.on_written(now, &stored),
            (Step::Writing, AcceptEvent::Conflict(conflict)) => {
                self.on_conflict(now, conflict.current.as_ref())
            }
            (Step::Writing, AcceptEvent::NotWritten(cause)) => self.back_off(now, cause),
            (Step::Writing, AcceptEvent::WriteUnknown(cause)) => {
                self.is_write_unresolved = true;
                self.back_off(now, cause)
            }
            (Step::Waiting(until), AcceptEvent::Wakeup) if until <= now && now < self.deadline => {
                self.step = Step::Reading;
                vec![AcceptAction::Read]
            }
            (_, AcceptEvent::Wakeup) if now >= self.deadline => self.give_up(),
            _ => Vec::new(),
        }
    }

    /// When [`AcceptEvent::Wakeup`] is due at the latest; none once finished.
    pub fn next_wakeup(&self) -> Option<Moment> {
        match self.step {
            Step::Finished => None,
            Step::Waiting(until) => Some(until.min(self.deadline)),
            Step::Reading | Step::Writing => Some(self.deadline),
        }
    }

    fn on_read(&mut self, now: Moment, current: Option<&StoredObject>) -> Vec<AcceptAction> {
        let state = determine_state(&self.proposal, self.known_generation, current);
        self.last_state = Some(state);
        match state {
            ProposalState::AtBase => self.send_write(current),
            // The read may be stale. If the write has been built, its result decides.
            ProposalState::StoreBehind { .. } if self.write.is_some() => self.send_write(current),
            ProposalState::StoreBehind { .. } => {
                self.back_off(now, "the store shows an older table".to_owned())
            }
            _ => self.finish_with(state, current),
        }
    }

    fn on_written(&mut self, now: Moment, stored: &StoredObject) -> Vec<AcceptAction> {
        let state = determine_state(&self.proposal, 0, Some(stored));
        match state {
            ProposalState::Accepted { .. } => self.finish_with(state, Some(stored)),
            // The store contradicts itself: read again.
            _ => {
                self.is_write_unresolved = true;
                self.back_off(now, "the store answered with another change".to_owned())
            }
        }
    }

    /// The object in a conflict is the one that the store compared with, so it is never stale.
    fn on_conflict(&mut self, now: Moment, current: Option<&StoredObject>) -> Vec<AcceptAction> {
        let state = determine_state(&self.proposal, self.known_generation, current);
        self.last_state = Some(state);
        match state {
            ProposalState::AtBase => {
                self.back_off(now, "the store refused the current generation".to_owned())
            }
            _ => self.finish_with(state, current),
        }
    }

    fn send_write(&mut self, current: Option<&StoredObject>) -> Vec<AcceptAction> {
        let proposal = &self.proposal;
        let build = || write_request(proposal, current);
        let write = self.write.get_or_insert_with(build).clone();
        self.step = Step::Writing;
        vec![AcceptAction::Write(Box::new(write))]
    }

    fn back_off(&mut self, now: Moment, cause: String) -> Vec<AcceptAction> {
        self.last_cause = cause;
        self.step = Step::Waiting(now + self.backoff);
        self.backoff = (self.backoff * 2).min(self.settings.longest_backoff);
        Vec::new()
    }

    fn finish_with(
        &mut self,
        state: ProposalState,
        current: Option<&StoredObject>,
    ) -> Vec<AcceptAction> {
        let outcome = match state {
            ProposalState::Accepted {
                generation,
                revision,
            } => AcceptOutcome::Accepted {
                generation,
                revision,
            },
            ProposalState::Conflict => conflict(&self.proposal, current),
            ProposalState::StoreBehind { store, known } => AcceptOutcome::StoreBehind {
                store_generation: store,
                known_generation: known,
                may_have_been_written: self.is_write_unresolved,
            },
            ProposalState::StoreReplaced { generation } => AcceptOutcome::StoreReplaced {
                generation,
                may_have_been_written: self.is_write_unresolved,
            },
            ProposalState::Pruned { generation } => AcceptOutcome::NoLongerRecorded { generation },
            ProposalState::AtBase => AcceptOutcome::NotWritten {
                cause: self.last_cause.clone(),
            },
        };
        self.finish(outcome)
    }

    fn give_up(&mut self) -> Vec<AcceptAction> {
        let cause = match self.step {
            Step::Reading | Step::Writing => "no answer from the store".to_owned(),
            _ => self.last_cause.clone(),
        };
        if self.is_write_unresolved || self.step == Step::Writing {
            return self.finish(AcceptOutcome::StillUnknown { cause });
        }
        match self.last_state {
            Some(behind @ ProposalState::StoreBehind { .. }) => self.finish_with(behind, None),
            _ => self.finish(AcceptOutcome::NotWritten { cause }),
        }
    }

    fn finish(&mut self, outcome: AcceptOutcome) -> Vec<AcceptAction> {
        self.step = Step::Finished;
        vec![AcceptAction::Finish(Box::new(outcome))]
    }
}

/// Builds the write of a proposal on top of its base as the store holds it.
fn write_request(proposal: &Proposal, base: Option<&StoredObject>) -> WriteRequest {
    let mut recent_changes = proposal_state::recent_changes(base).to_vec();
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
