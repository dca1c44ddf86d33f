//! Figures over query records: latency quantiles, coverage, attempts, outcomes.

use super::client::ExchangeFailure;
use super::traffic::QueryRecord;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{MissingReason, Outcome};

/// Longest latency that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 120_000_000;
/// Significant digits of recorded latencies.
const DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Figures of a set of queries.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Queries.
    pub queries: u64,
    /// Median latency as callers see it, in milliseconds.
    pub p50_millis: f64,
    /// 99th percentile.
    pub p99_millis: f64,
    /// 99.9th percentile.
    pub p999_millis: f64,
    /// Shards answered as a share of shards addressed, in per cent.
    pub coverage_percent: f64,
    /// Attempts sent to leafs for each query that has an answer.
    pub attempts_per_query: f64,
    /// Attempts beyond one for each shard, in per cent.
    pub extra_attempts_percent: f64,
    /// Answers with every shard.
    pub complete: u64,
    /// Answers with some shards.
    pub partial: u64,
    /// Refusals before anything ran.
    pub not_run: u64,
    /// Answers that cannot say.
    pub unknown: u64,
    /// Queries without any reply.
    pub lost: u64,
    /// Queries that needed more than one daemon.
    pub retried: u64,
    /// Connections cut while a query was open.
    pub cut: u64,
    /// Shards missing from answers, by reason.
    pub missing: BTreeMap<MissingReason, u64>,
}

/// Collects figures.
#[derive(Debug)]
pub struct FigureCollector {
    latencies: Histogram<u64>,
    figures: Figures,
    shards: u64,
    answered: u64,
    attempts: u64,
    answers: u64,
}

impl FigureCollector {
    /// Nothing collected yet.
    pub fn new() -> eyre::Result<Self> {
        Ok(Self {
            latencies: Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS)?,
            figures: Figures::default(),
            shards: 0,
            answered: 0,
            attempts: 0,
            answers: 0,
        })
    }

    /// Adds a query.
    pub fn add(&mut self, record: &QueryRecord) {
        let asked = &record.asked;
        let figures = &mut self.figures;
        figures.queries += 1;
        figures.retried += u64::from(asked.sendings.len() > 1);
        let is_cut = |failure: &&ExchangeFailure| !failure.is_not_sent();
        figures.cut += asked.failures().filter(is_cut).count() as u64;
        self.latencies.saturating_record(micros(asked.latency));
        let Some(reply) = asked.reply() else {
            figures.lost += 1;
            return;
        };
        let outcome_count = match reply.outcome() {
            Outcome::Complete => &mut figures.complete,
            Outcome::Partial => &mut figures.partial,
            Outcome::NotRun => &mut figures.not_run,
            Outcome::Unknown => &mut figures.unknown,
        };
        *outcome_count += 1;
        if let Some(answer) = reply.answer().filter(|answer| answer.snapshot.is_some()) {
            self.answers += 1;
            self.shards += u64::from(answer.coverage.total);
            self.answered += u64::from(answer.coverage.answered);
            self.attempts += u64::from(answer.attempts);
            for missing in &answer.coverage.missing {
                *self.figures.missing.entry(missing.reason).or_default() += 1;
            }
        }
    }

    /// The figures of everything added.
    pub fn figures(&self) -> Figures {
        let quantile =
            |quantile: f64| self.latencies.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        let ratio = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        Figures {
            p50_millis: quantile(0.5),
            p99_millis: quantile(0.99),
            p999_millis: quantile(0.999),
            coverage_percent: 100.0 * ratio(self.answered, self.shards),
            attempts_per_query: ratio(self.attempts, self.answers),
            extra_attempts_percent: 100.0 * (ratio(self.attempts, self.shards) - 1.0).max(0.0),
            ..self.figures.clone()
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
