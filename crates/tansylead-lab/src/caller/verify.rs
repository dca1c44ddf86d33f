//! Holds a run's replies against what leafs say they have executed. The oracle of the demo and of
//! the process tests: it knows callers' replies and leafs' logs, and nothing of the daemons.
//!
//! `not_run` is judged by sending: each sending has a request id of its own, and no leaf may have
//! begun anything under the id of a sending that was refused as `not_run`.

use super::check::AnswerFault;
use super::client::Sending;
use super::traffic::QueryRecord;
use crate::leaf::{ExecutionEntry, ExecutionEvent, ExecutionStart};
use std::collections::BTreeMap;
use tansylead_types::{IdempotencyKey, Outcome, RequestId, ShardId};

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A reply is wrong in itself.
    #[error("request {request}: {fault}")]
    WrongAnswer {
        /// Request.
        request: RequestId,
        /// What is wrong.
        fault: AnswerFault,
    },
    /// A non-repeatable request ran more than once.
    #[error("key {key} ran {count} times on shard {shard}")]
    RanTwice {
        /// Key.
        key: IdempotencyKey,
        /// Shard.
        shard: ShardId,
        /// Executions begun.
        count: usize,
    },
    /// A sending was said not to have run, and a leaf ran it.
    #[error("request {request}: said not_run, but leafs ran it {count} times")]
    NotRunButRan {
        /// Request.
        request: RequestId,
        /// Executions begun.
        count: usize,
    },
    /// A request was said to be complete, and no leaf ran it.
    #[error("request {request}: said complete, but no leaf ran it")]
    CompleteButNotRun {
        /// Request.
        request: RequestId,
    },
    /// No daemon gave a reply.
    #[error("request {request}: no reply; {failures}")]
    Lost {
        /// Request.
        request: RequestId,
        /// What happened instead.
        failures: String,
    },
}

/// How often each sending and each key was begun by leafs.
#[derive(Debug, Clone, Default)]
pub struct ExecutionCounts {
    by_request: BTreeMap<RequestId, usize>,
    by_key: BTreeMap<(IdempotencyKey, ShardId), usize>,
}

impl ExecutionCounts {
    /// Counts the executions of a log.
    pub fn of(entries: &[ExecutionEntry]) -> Self {
        let mut counts = Self::default();
        for entry in entries {
            if let ExecutionEvent::Started(start) = &entry.event {
                counts.add(start);
            }
        }
        counts
    }

    fn add(&mut self, start: &ExecutionStart) {
        *self.by_request.entry(start.request.clone()).or_default() += 1;
        if let Some(key) = &start.idempotency_key {
            let key = (key.clone(), start.shard.clone());
            *self.by_key.entry(key).or_default() += 1;
        }
    }

    /// Most executions of one key on one shard.
    pub fn most_executions_of_a_key(&self) -> usize {
        self.by_key.values().copied().max().unwrap_or(0)
    }

    fn of_sending(&self, sending: &Sending) -> usize {
        self.by_request.get(&sending.request).copied().unwrap_or(0)
    }
}

/// All promises that a run broke.
pub fn violations(records: &[QueryRecord], executions: &ExecutionCounts) -> Vec<Violation> {
    let ran_twice = executions
        .by_key
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|((key, shard), count)| Violation::RanTwice {
            key: key.clone(),
            shard: shard.clone(),
            count: *count,
        });
    let of_records = records
        .iter()
        .flat_map(|record| violations_of(record, executions));
    ran_twice.chain(of_records).collect()
}

fn violations_of(record: &QueryRecord, executions: &ExecutionCounts) -> Vec<Violation> {
    let request = &record.request.request;
    let mut violations = Vec::new();
    if let Some(fault) = &record.fault {
        violations.push(Violation::WrongAnswer {
            request: request.clone(),
            fault: fault.clone(),
        });
    }
    let refused = record
        .sendings()
        .filter(|sending| has_outcome(sending, Outcome::NotRun));
    for sending in refused {
        let count = executions.of_sending(sending);
        if count > 0 {
            violations.push(Violation::NotRunButRan {
                request: sending.request.clone(),
                count,
            });
        }
    }
    let is_complete = record
        .sendings()
        .any(|sending| has_outcome(sending, Outcome::Complete));
    let has_run = record
        .sendings()
        .any(|sending| executions.of_sending(sending) > 0);
    if is_complete && !has_run {
        violations.push(Violation::CompleteButNotRun {
            request: request.clone(),
        });
    }
    if record.asked.reply().is_none() {
        let failures: Vec<String> = record.asked.failures().map(ToString::to_string).collect();
        violations.push(Violation::Lost {
            request: request.clone(),
            failures: failures.join("; "),
        });
    }
    violations
}

fn has_outcome(sending: &Sending, outcome: Outcome) -> bool {
    let reply = sending.result.as_ref();
    reply.is_ok_and(|reply| reply.outcome() == outcome)
}
