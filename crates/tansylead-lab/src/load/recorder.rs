//! What a run measured: latency quantiles, outcomes and coverage, in total and by second.
//!
//! Invariant: every planned query that is not in the warm-up is recorded exactly once, under the
//! second of its planned arrival, whatever became of it.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::Outcome;

/// Longest latency told apart; longer ones are recorded as this.
const LONGEST_LATENCY_MICROS: u64 = 120_000_000;
/// Significant decimal digits kept by the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A latency histogram in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("constant bounds are valid"))
    }
}

impl LatencyHistogram {
    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Latency at a quantile (0 to 1) in milliseconds; 0 if nothing was recorded.
    pub fn quantile_millis(&self, quantile: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Number of latencies recorded.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Adds all latencies of another histogram.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        self.0.add(&other.0).expect("histograms have equal bounds");
    }
}

/// What became of one query.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryResult {
    /// A well-formed answer that passed all checks.
    Answered(AnswerFigures),
    /// An answer that broke a promise, in words.
    Wrong(String),
    /// An answer that is not a query answer, for example an internal error.
    Rejected(u16),
    /// No answer: the connection failed or the client's own limit passed.
    Lost(String),
}

impl QueryResult {
    /// Whether every shard answered.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Answered(figures) if figures.outcome == Outcome::Complete)
    }
}

/// Figures of one correct answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFigures {
    /// Outcome stated.
    pub outcome: Outcome,
    /// Shards addressed.
    pub total: u32,
    /// Shards answered.
    pub answered: u32,
    /// Attempts sent to leafs.
    pub attempts: u32,
    /// Whether the answer says when to come back.
    pub has_retry_after: bool,
}

/// One finished query.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Index of its stream.
    pub stream: usize,
    /// Planned arrival, from the start of the run.
    pub planned: Duration,
    /// Time from the planned arrival to the last byte of the answer.
    pub latency: Duration,
    /// How late the load generator itself sent it.
    pub generator_lag: Duration,
    /// What became of it.
    pub result: QueryResult,
    /// What the answer says about why it is not complete.
    pub reason: Option<String>,
}

/// Counts over a set of queries.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// Latency of answers that carry results (complete or partial).
    pub served_latency: LatencyHistogram,
    /// Latency of refusals.
    pub refusal_latency: LatencyHistogram,
    /// Queries planned.
    pub queries: u64,
    /// Answers with every shard.
    pub complete: u64,
    /// Answers with some shards.
    pub partial: u64,
    /// Refusals: not run.
    pub not_run: u64,
    /// Refusals that say when to come back.
    pub not_run_with_retry_after: u64,
    /// Answers that say the request may have run.
    pub unknown: u64,
    /// Answers that broke a promise.
    pub wrong: u64,
    /// Answers that are not query answers.
    pub rejected: u64,
    /// Queries without an answer.
    pub lost: u64,
    /// Shards addressed by served answers.
    pub shards_total: u64,
    /// Shards in served answers.
    pub shards_answered: u64,
    /// Attempts sent to leafs, over all answers.
    pub attempts: u64,
}

impl Totals {
    /// Adds one query.
    pub fn record(&mut self, sample: &Sample) {
        self.queries += 1;
        match &sample.result {
            QueryResult::Answered(figures) => self.record_answer(figures, sample.latency),
            QueryResult::Wrong(_) => self.wrong += 1,
            QueryResult::Rejected(_) => self.rejected += 1,
            QueryResult::Lost(_) => self.lost += 1,
        }
    }

    fn record_answer(&mut self, figures: &AnswerFigures, latency: Duration) {
        self.attempts += u64::from(figures.attempts);
        match figures.outcome {
            Outcome::Complete => self.complete += 1,
            Outcome::Partial => self.partial += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::NotRun => {
                self.not_run += 1;
                self.not_run_with_retry_after += u64::from(figures.has_retry_after);
            }
        }
        if matches!(figures.outcome, Outcome::Complete | Outcome::Partial) {
            self.served_latency.record(latency);
            self.shards_total += u64::from(figures.total);
            self.shards_answered += u64::from(figures.answered);
        } else {
            self.refusal_latency.record(latency);
        }
    }

    /// Answers that carry results.
    pub fn served(&self) -> u64 {
        self.complete + self.partial
    }

    /// Shards answered over shards addressed by served answers; 1 if none was served.
    pub fn coverage(&self) -> f64 {
        share(self.shards_answered, self.shards_total, 1.0)
    }

    /// Complete answers over all planned queries.
    pub fn share_complete(&self) -> f64 {
        share(self.complete, self.queries, 0.0)
    }

    /// Attempts beyond one for each shard addressed, as a share of the latter.
    pub fn extra_load(&self) -> f64 {
        share(self.attempts, self.shards_total, 1.0) - 1.0
    }

    /// Adds all queries of another set.
    pub fn merge(&mut self, other: &Totals) {
        self.served_latency.merge(&other.served_latency);
        self.refusal_latency.merge(&other.refusal_latency);
        self.queries += other.queries;
        self.complete += other.complete;
        self.partial += other.partial;
        self.not_run += other.not_run;
        self.not_run_with_retry_after += other.not_run_with_retry_after;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.rejected += other.rejected;
        self.lost += other.lost;
        self.shards_total += other.shards_total;
        self.shards_answered += other.shards_answered;
        self.attempts += other.attempts;
    }
}

fn share(part: u64, whole: u64, if_none: f64) -> f64 {
    if whole == 0 {
        return if_none;
    }
    part as f64 / whole as f64
}

/// Collects the samples of one run.
#[derive(Debug, Clone)]
pub struct Recorder {
    warm_up: Duration,
    totals: Totals,
    by_stream: BTreeMap<usize, Totals>,
    by_second: BTreeMap<u64, Totals>,
    generator_lag: LatencyHistogram,
    incomplete: Vec<Duration>,
    reasons: BTreeMap<String, u64>,
    complaints: Vec<String>,
}

/// Texts of wrong and lost answers kept for the report.
const MAXIMUM_COMPLAINTS: usize = 5;

impl Recorder {
    /// A recorder that leaves queries planned before `warm_up` out of the totals.
    pub fn new(warm_up: Duration) -> Self {
        Self {
            warm_up,
            totals: Totals::default(),
            by_stream: BTreeMap::new(),
            by_second: BTreeMap::new(),
            generator_lag: LatencyHistogram::default(),
            incomplete: Vec::new(),
            reasons: BTreeMap::new(),
            complaints: Vec::new(),
        }
    }

    /// Adds one query.
    pub fn record(&mut self, sample: &Sample) {
        self.keep_complaint(sample);
        if !sample.result.is_complete() {
            self.incomplete.push(sample.planned);
            if let Some(reason) = &sample.reason {
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
        }
        let second = self.by_second.entry(sample.planned.as_secs()).or_default();
        second.record(sample);
        if sample.planned >= self.warm_up {
            self.totals.record(sample);
            let stream = self.by_stream.entry(sample.stream).or_default();
            stream.record(sample);
            self.generator_lag.record(sample.generator_lag);
        }
    }

    fn keep_complaint(&mut self, sample: &Sample) {
        if self.complaints.len() >= MAXIMUM_COMPLAINTS {
            return;
        }
        let at = sample.planned.as_secs_f64();
        match &sample.result {
            QueryResult::Answered(_) => {}
            QueryResult::Wrong(text) => self.complaints.push(format!("{at:.3} s: wrong: {text}")),
            QueryResult::Rejected(status) => {
                self.complaints.push(format!("{at:.3} s: status {status}"));
            }
            QueryResult::Lost(text) => self.complaints.push(format!("{at:.3} s: lost: {text}")),
        }
    }

    /// Everything after the warm-up.
    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Everything after the warm-up, by index of the stream.
    pub fn by_stream(&self) -> &BTreeMap<usize, Totals> {
        &self.by_stream
    }

    /// By second of the planned arrival, warm-up included.
    pub fn by_second(&self) -> &BTreeMap<u64, Totals> {
        &self.by_second
    }

    /// How late the load generator sent its queries.
    pub fn generator_lag(&self) -> &LatencyHistogram {
        &self.generator_lag
    }

    /// Planned arrivals of all queries without a complete answer, in no order.
    pub fn incomplete(&self) -> &[Duration] {
        &self.incomplete
    }

    /// Reasons that answers gave for not being complete, with the number of answers.
    pub fn reasons(&self) -> &BTreeMap<String, u64> {
        &self.reasons
    }

    /// First few wrong, rejected and lost queries, in words.
    pub fn complaints(&self) -> &[String] {
        &self.complaints
    }
}
