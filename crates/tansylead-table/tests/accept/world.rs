//! Simulates operators who compete to change the table in a store whose answers may be lost, stale
//! or delayed.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_table::{
    AcceptAction, AcceptEvent, AcceptOutcome, AcceptSettings, Acceptance, Base, Proposal,
};
use tansylead_types::store::{WriteConflict, WriteRequest};
use tansylead_types::{
    ChangeId, ConfigObject, Moment, ObjectKey, StoredObject, TableRow, WallTime,
};

const OPERATORS: usize = 3;

/// A deliberate fault in the driver or the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,
    LostAnswerTakenForRefusal,
    StoreWithoutCompareAndSet,
}

#[derive(Debug, Clone)]
pub enum Operation {
    /// An operator reads the table and accepts a change of it.
    Propose { operator: usize },
    /// An operator accepts its last proposal again.
    AcceptAgain { operator: usize },
    /// The store performs a request in flight and answers it.
    Perform { request: usize },
    /// The store performs a request and the answer is lost.
    LoseAnswer { request: usize },
    /// The operator stops waiting; a write stays in flight.
    GiveUpWaiting { request: usize },
    /// The store cannot be reached; the request is dropped.
    Refuse { request: usize },
    /// A read is answered with an older state.
    AnswerStale { request: usize, back: usize },
    /// Time passes.
    Advance { millis: u64 },
}

pub fn operation() -> impl Strategy<Value = Operation> {
    let operator = || 0..OPERATORS;
    let request = || 0usize..4;
    prop_oneof![
        3 => operator().prop_map(|operator| Operation::Propose { operator }),
        1 => operator().prop_map(|operator| Operation::AcceptAgain { operator }),
        8 => request().prop_map(|request| Operation::Perform { request }),
        2 => request().prop_map(|request| Operation::LoseAnswer { request }),
        2 => request().prop_map(|request| Operation::GiveUpWaiting { request }),
        1 => request().prop_map(|request| Operation::Refuse { request }),
        1 => (request(), 1usize..3).prop_map(|(request, back)| Operation::AnswerStale { request, back }),
        4 => (50u64..6_000).prop_map(|millis| Operation::Advance { millis }),
    ]
}

#[derive(Debug, Clone)]
struct Request {
    operator: usize,
    /// Run of the operator's acceptance that sent it.
    run: u64,
    /// Whether that run still waits for the answer.
    is_awaited: bool,
    write: Option<WriteRequest>,
}

struct Run {
    number: u64,
    accept: Acceptance,
}

#[derive(Default)]
struct Operator {
    run: Option<Run>,
    proposal: Option<Proposal>,
}

pub struct World {
    flaw: Flaw,
    now: Moment,
    /// The store's log, used as the oracle: every object ever written.
    applied: Vec<StoredObject>,
    requests: Vec<Request>,
    operators: Vec<Operator>,
    runs: u64,
    /// Runs whose write the store applied, and runs reported to have written nothing.
    runs_applied: BTreeSet<u64>,
    runs_without_write: BTreeSet<u64>,
    /// Changes reported as accepted, with their generation, and changes reported as in conflict.
    accepted: BTreeMap<ChangeId, u64>,
    conflicting: BTreeSet<ChangeId>,
    proposals: u64,
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        Self {
            flaw,
            now: Moment(0),
            applied: Vec::new(),
            requests: Vec::new(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            runs: 0,
            runs_applied: BTreeSet::new(),
            runs_without_write: BTreeSet::new(),
            accepted: BTreeMap::new(),
            conflicting: BTreeSet::new(),
            proposals: 0,
        }
    }

    pub fn apply(&mut self, operation: &Operation) -> Result<(), String> {
        match *operation {
            Operation::Propose { operator } => self.propose(operator),
            Operation::AcceptAgain { operator } => self.accept_again(operator),
            Operation::Advance { millis } => self.advance(millis),
            Operation::Perform { request } => self.with_request(request, Self::perform),
            Operation::LoseAnswer { request } => self.with_request(request, Self::lose_answer),
            Operation::GiveUpWaiting { request } => self.with_request(request, Self::stop_waiting),
            Operation::Refuse { request } => self.with_request(request, Self::refuse),
            Operation::AnswerStale { request, back } => {
                self.with_request(request, |world, request| world.answer_stale(request, back));
            }
        }
        self.check()
    }

    /// Performs all requests in flight, then lets every operator accept again and get its answer.
    pub fn settle(&mut self) -> Result<(), String> {
        for _ in 0..20 {
            self.perform_all()?;
            self.apply(&Operation::Advance { millis: 2_000 })?;
        }
        for operator in 0..OPERATORS {
            self.apply(&Operation::AcceptAgain { operator })?;
            self.perform_all()?;
        }
        self.check_settled()
    }

    fn perform_all(&mut self) -> Result<(), String> {
        while !self.requests.is_empty() {
            self.apply(&Operation::Perform { request: 0 })?;
        }
        Ok(())
    }

    fn propose(&mut self, operator: usize) {
        if self.operators[operator].run.is_some() {
            return;
        }
        self.proposals += 1;
        let base = Base::of(self.applied.last());
        let row = TableRow {
            service: "s".parse().expect("name"),
            place: "p".parse().expect("name"),
            hours: "0-24".parse().expect("hours"),
            weight: 1,
            limit: self.proposals as u32,
        };
        self.operators[operator].proposal = Some(Proposal {
            change: format!("change-{}", self.proposals).parse().expect("name"),
            author: format!("operator-{operator}"),
            comment: "a change".to_owned(),
            proposed_at: WallTime(0),
            base,
            rows: vec![row],
        });
        self.accept_again(operator);
    }

    fn accept_again(&mut self, operator: usize) {
        let Some(proposal) = self.operators[operator].proposal.clone() else {
            return;
        };
        if self.operators[operator].run.is_none() {
            self.runs += 1;
            let number = self.runs;
            let (accept, actions) =
                Acceptance::start(self.now, proposal, 0, AcceptSettings::default());
            self.operators[operator].run = Some(Run { number, accept });
            self.perform_actions(operator, number, actions);
        }
    }

    fn perform_actions(&mut self, operator: usize, run: u64, actions: Vec<AcceptAction>) {
        for action in actions {
            let write = match action {
                AcceptAction::Read => None,
                AcceptAction::Write(write) => Some(*write),
                AcceptAction::Finish(outcome) => {
                    self.operators[operator].run = None;
                    self.note_outcome(operator, run, *outcome);
                    continue;
                }
            };
            self.requests.push(Request {
                operator,
                run,
                is_awaited: true,
                write,
            });
        }
    }

    fn note_outcome(&mut self, operator: usize, run: u64, outcome: AcceptOutcome) {
        let proposal = self.operators[operator].proposal.as_ref();
        let change = proposal.expect("has proposed").change.clone();
        match outcome {
            AcceptOutcome::Accepted { generation, .. } => {
                self.accepted.insert(change, generation);
            }
            AcceptOutcome::Conflict { .. } => {
                self.conflicting.insert(change);
            }
            AcceptOutcome::NotWritten { .. } => {
                self.runs_without_write.insert(run);
            }
            _ => {}
        }
    }

    fn with_request(&mut self, index: usize, act: impl FnOnce(&mut Self, Request)) {
        if !self.requests.is_empty() {
            let request = self.requests.remove(index % self.requests.len());
            act(self, request);
        }
    }

    fn perform(&mut self, request: Request) {
        let event = self.perform_in_store(&request);
        self.answer(&request, event);
    }

    fn lose_answer(&mut self, request: Request) {
        self.perform_in_store(&request);
        let event = self.no_answer(&request);
        self.answer(&request, event);
    }

    fn stop_waiting(&mut self, request: Request) {
        if !request.is_awaited {
            return self.requests.push(request);
        }
        if request.write.is_some() {
            let in_flight = Request {
                is_awaited: false,
                ..request.clone()
            };
            self.requests.push(in_flight);
        }
        let event = self.no_answer(&request);
        self.answer(&request, event);
    }

    fn refuse(&mut self, request: Request) {
        let event = match request.write {
            Some(_) => AcceptEvent::NotWritten("store is down".to_owned()),
            None => AcceptEvent::ReadFailed("store is down".to_owned()),
        };
        self.answer(&request, event);
    }

    fn answer_stale(&mut self, request: Request, back: usize) {
        if request.write.is_some() {
            return self.perform(request);
        }
        let index = self.applied.len().checked_sub(1 + back);
        let stale = index.map(|index| Box::new(self.applied[index].clone()));
        self.answer(&request, AcceptEvent::Read(stale));
    }

    fn no_answer(&self, request: &Request) -> AcceptEvent {
        let cause = "no answer".to_owned();
        match request.write {
            None => AcceptEvent::ReadFailed(cause),
            Some(_) if self.flaw == Flaw::LostAnswerTakenForRefusal => {
                AcceptEvent::NotWritten(cause)
            }
            Some(_) => AcceptEvent::WriteUnknown(cause),
        }
    }

    fn perform_in_store(&mut self, request: &Request) -> AcceptEvent {
        let current = self.applied.last().cloned();
        let Some(write) = request.write.clone() else {
            return AcceptEvent::Read(current.map(Box::new));
        };
        let generation = current.as_ref().map_or(0, |stored| stored.generation);
        let checks_generation = self.flaw != Flaw::StoreWithoutCompareAndSet;
        if checks_generation && generation != write.expected_generation {
            return AcceptEvent::Conflict(Box::new(WriteConflict { current }));
        }
        let stored = StoredObject {
            key: ObjectKey::Table,
            revision: generation + 1,
            generation: generation + 1,
            change: write.change,
            object: Some(write.object),
        };
        self.runs_applied.insert(request.run);
        self.applied.push(stored.clone());
        AcceptEvent::Written(Box::new(stored))
    }

    fn answer(&mut self, request: &Request, event: AcceptEvent) {
        let now = self.now;
        let run = self.operators[request.operator].run.as_mut();
        if let Some(run) = run.filter(|run| request.is_awaited && run.number == request.run) {
            let actions = run.accept.on_event(now, event);
            self.perform_actions(request.operator, request.run, actions);
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for operator in 0..OPERATORS {
            let now = self.now;
            let run = self.operators[operator].run.as_mut();
            let due = |run: &&mut Run| run.accept.next_wakeup().is_some_and(|at| at <= now);
            if let Some(run) = run.filter(due) {
                let number = run.number;
                let actions = run.accept.on_event(now, AcceptEvent::Wakeup);
                self.perform_actions(operator, number, actions);
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        for (index, stored) in self.applied.iter().enumerate() {
            let times = self
                .applied
                .iter()
                .filter(|other| other.change == stored.change);
            if times.count() > 1 {
                return Err(format!("{} applied twice", stored.change));
            }
            if let Some(ConfigObject::Table(table)) = &stored.object {
                let before = self.applied[..index].iter().map(|earlier| &earlier.change);
                let recorded = table.recent_changes.iter().map(|recorded| &recorded.change);
                if !recorded.eq(before.chain([&stored.change])) {
                    return Err(format!("{} was not made from its base", stored.change));
                }
            }
        }
        for (change, generation) in &self.accepted {
            let stored = self.applied.get(*generation as usize - 1);
            if stored.map(|stored| &stored.change) != Some(change) {
                return Err(format!("{change} was reported accepted and is not"));
            }
        }
        for change in &self.conflicting {
            if self.applied.iter().any(|stored| stored.change == *change) {
                return Err(format!(
                    "{change} was reported as a conflict and is applied"
                ));
            }
        }
        match self
            .runs_without_write
            .intersection(&self.runs_applied)
            .next()
        {
            Some(run) => Err(format!("run {run} was reported to have written nothing")),
            None => Ok(()),
        }
    }

    /// Checks that the last proposal of every operator has a definite answer.
    fn check_settled(&self) -> Result<(), String> {
        for operator in &self.operators {
            let Some(proposal) = &operator.proposal else {
                continue;
            };
            let change = &proposal.change;
            let is_definite =
                self.accepted.contains_key(change) || self.conflicting.contains(change);
            if !is_definite || operator.run.is_some() {
                return Err(format!("{change} has no answer"));
            }
        }
        Ok(())
    }
}
