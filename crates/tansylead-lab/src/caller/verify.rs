//! Holds a run's replies against what leafs say they have executed. The oracle of the demo and of
//! the process tests: it knows callers' replies and leafs' logs, and nothing of the daemons.

use super::check::AnswerFault;
use super::client::{Asked, ExchangeFailure};
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
    /// A request was said not to have run, and a leaf ran it.
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

/// What leafs began for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RequestExecutions {
    count: usize,
    first_unix_micros: u64,
}

/// How often each request and each key was begun by leafs.
#[derive(Debug, Clone, Default)]
pub struct ExecutionCounts {
    by_request: BTreeMap<RequestId, RequestExecutions>,
    by_key: BTreeMap<(IdempotencyKey, ShardId), usize>,
}

impl ExecutionCounts {
    /// Counts the executions of a log.
    pub fn of(entries: &[ExecutionEntry]) -> Self {
        let mut counts = Self::default();
        for entry in entries {
            if let ExecutionEvent::Started(start) = &entry.event {
                counts.add(start, entry.at_unix_micros);
            }
        }
        counts
    }

    fn add(&mut self, start: &ExecutionStart, at_unix_micros: u64) {
        let of_request =
            self.by_request
                .entry(start.request.clone())
                .or_insert(RequestExecutions {
                    count: 0,
                    first_unix_micros: at_unix_micros,
                });
        of_request.count += 1;
        of_request.first_unix_micros = of_request.first_unix_micros.min(at_unix_micros);
        if let Some(key) = &start.idempotency_key {
            let key = (key.clone(), start.shard.clone());
            *self.by_key.entry(key).or_default() += 1;
        }
    }

    /// Most executions of one key on one shard.
    pub fn most_executions_of_a_key(&self) -> usize {
        self.by_key.values().copied().max().unwrap_or(0)
    }

    fn count_of(&self, request: &RequestId) -> usize {
        self.by_request.get(request).map_or(0, |entry| entry.count)
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
    let count = executions.count_of(request);
    if wrongly_says_not_run(record, executions) {
        violations.push(Violation::NotRunButRan {
            request: request.clone(),
            count,
        });
    }
    if says_complete(record) && count == 0 {
        violations.push(Violation::CompleteButNotRun {
            request: request.clone(),
        });
    }
    if record.asked.reply.is_none() {
        let failures: Vec<String> = record
            .asked
            .failures
            .iter()
            .map(ToString::to_string)
            .collect();
        violations.push(Violation::Lost {
            request: request.clone(),
            failures: failures.join("; "),
        });
    }
    violations
}

/// Whether a caller was told `not_run` of a request that had run.
///
/// What is said of a key holds for the key, so an execution older than the refused exchange proves
/// the lie, whichever exchange it came from. Without that, all exchanges must say `not_run`: one
/// may truly be refused before another one runs.
fn wrongly_says_not_run(record: &QueryRecord, executions: &ExecutionCounts) -> bool {
    let Some(ran) = executions.by_request.get(&record.request.request) else {
        return false;
    };
    if record.exchanges().all(says_nothing_but_not_run) {
        return true;
    }
    let ran_before = |asked: &Asked| ran.first_unix_micros < asked.last_sent_unix_micros;
    record.request.key.is_some()
        && record
            .exchanges()
            .any(|asked| says_not_run(asked) && ran_before(asked))
}

fn says_not_run(asked: &Asked) -> bool {
    let reply = asked.reply.as_ref();
    reply.is_some_and(|reply| reply.outcome() == Outcome::NotRun)
}

/// A lookup that was cut at one daemon may have run there, whatever the next daemon says of it.
fn says_nothing_but_not_run(asked: &Asked) -> bool {
    says_not_run(asked) && asked.failures.iter().all(ExchangeFailure::is_not_sent)
}

fn says_complete(record: &QueryRecord) -> bool {
    record
        .exchanges()
        .filter_map(|asked| asked.reply.as_ref())
        .any(|reply| reply.outcome() == Outcome::Complete)
}
