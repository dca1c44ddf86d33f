//! The oracle: what must hold of every history, whatever happened. It knows the deployment, the
//! plan of the case and the history, and nothing of the daemons' code.

use super::fault::FaultKind;
use super::history::{CallerRecord, CallerResult, History, OutageKind, WriteReport, key_text};
use super::plan::{CasePlan, PROBE_QUERIES, PROBES_BEGIN};
use super::topology::{LEAFS, Service, shards};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use tansylead_types::{Moment, Outcome, QueryAnswer, ShardId, SnapshotVersion};
use xxhash_rust::xxh3::xxh3_64;

/// An answer arrives at its caller this long after the deadline, at the latest: the way of the
/// answer, and a frontend's wait for a root that answers at the deadline.
pub const ANSWER_ALLOWANCE: Duration = Duration::from_millis(150);
/// Added while the network delays messages or connections send lost packets again.
const DISTURBED_ALLOWANCE: Duration = Duration::from_millis(900);
/// A back end that is leaving gets no new work once this has passed.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Time for a sign to go from one root to the others.
const SIGN_DELAY: Duration = Duration::from_millis(300);
/// Wall clocks differ by up to this much.
const CLOCK_SKEW: Duration = Duration::from_millis(500);
/// An accepted table is in force everywhere within this time once nothing is disturbed.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// From then on nothing is disturbed any more.
pub const CALM_FROM: Moment = Moment(60_000_000);

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Results are what leafs hold for the shard, the answer's snapshot and the request.
    ResultsAreTrue,
    /// Every result was found by an execution that ran to its end.
    ResultsWereExecuted,
    /// Coverage counts the shards of the answer's own snapshot, each once.
    CoverageIsTrue,
    /// An answer carries its caller's request id.
    AnswerIsOwn,
    /// A caller gets one answer.
    OneAnswer,
    /// A caller gets its answer by the deadline.
    AnswerInTime,
    /// What is answered as not run never runs, and says when to come back.
    NotRunIsTrue,
    /// A key runs at most once on each shard.
    KeyRunsOnce,
    /// A key does not run after its expiry.
    KeyExpires,
    /// A leaf that is leaving gets no new work.
    LeavingLeafsRest,
    /// A planned stop loses no query.
    StopLosesNothing,
    /// The table in force never goes back.
    TablesNeverGoBack,
    /// Only accepted tables are in force.
    TablesAreAccepted,
    /// Accepted tables are in force everywhere in the end, and soon.
    TablesConverge,
    /// Operators are told the truth about their writes.
    OperatorsAreToldTheTruth,
    /// After the faults queries are answered completely again.
    QueriesComplete,
    /// After the faults every leaf gets work again.
    LeafsReturn,
}

/// One thing that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// What should have held.
    pub rule: Rule,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.detail)
    }
}

/// What a correct leaf finds.
pub fn expected_result(shard: &ShardId, snapshot: SnapshotVersion, body: &str) -> String {
    let hash = xxh3_64(format!("{shard}\n{snapshot}\n{body}").as_bytes());
    format!(
        r#"{{"shard":"{shard}","snapshot":{},"found":"{hash:016x}"}}"#,
        snapshot.0
    )
}

/// Everything that did not hold.
pub fn check(plan: &CasePlan, history: &History) -> Vec<Violation> {
    let mut oracle = Oracle {
        plan,
        history,
        violations: Vec::new(),
    };
    for record in &history.callers {
        oracle.check_caller(record);
    }
    oracle.check_keys();
    oracle.check_leaving();
    oracle.check_return();
    oracle.check_tables();
    oracle.check_operators();
    oracle.violations
}

struct Oracle<'a> {
    plan: &'a CasePlan,
    history: &'a History,
    violations: Vec<Violation>,
}

impl Oracle<'_> {
    fn fail(&mut self, rule: Rule, detail: impl Into<String>) {
        let detail = detail.into();
        self.violations.push(Violation { rule, detail });
    }

    fn check_caller(&mut self, record: &CallerRecord) {
        self.check_count(record);
        for (at, result) in &record.results {
            if let CallerResult::Answered(answer) = result {
                self.check_answer(record, *at, answer);
            }
        }
        self.check_stop(record);
        self.check_probe(record);
    }

    fn check_count(&mut self, record: &CallerRecord) {
        let request = &record.request;
        if record.results.len() > 1 {
            self.fail(Rule::OneAnswer, format!("{request} got several answers"));
        }
        let is_excused = record.cancelled.is_some() || self.had_outage(record);
        let in_time = record.results.iter().any(|(at, result)| match result {
            CallerResult::Answered(_) => *at <= record.deadline() + self.allowance(record),
            CallerResult::NoConnection | CallerResult::Broken => false,
        });
        if !in_time && !is_excused {
            let got: Vec<String> = record
                .results
                .iter()
                .map(|(at, result)| {
                    let kind = match result {
                        CallerResult::Answered(answer) => format!("{:?}", answer.outcome),
                        other => format!("{other:?}"),
                    };
                    format!("{kind} {:?} after sending", at.since(record.sent))
                })
                .collect();
            let limit = record.planned.time_limit;
            let detail = format!(
                "{request} sent at {:.3} s through daemon {} with {limit:?}, {:?}: {got:?}",
                seconds(record.sent),
                record.daemon,
                record.planned.key
            );
            self.fail(Rule::AnswerInTime, detail);
        }
    }

    fn allowance(&self, record: &CallerRecord) -> Duration {
        let slows = [FaultKind::PacketLoss, FaultKind::PacketReordering];
        if self.fault_overlaps(record, &slows) {
            ANSWER_ALLOWANCE + DISTURBED_ALLOWANCE
        } else {
            ANSWER_ALLOWANCE
        }
    }

    fn fault_overlaps(&self, record: &CallerRecord, kinds: &[FaultKind]) -> bool {
        let until = record.deadline() + ANSWER_ALLOWANCE;
        let faults = self.plan.faults.iter();
        faults
            .filter(|fault| kinds.contains(&fault.kind))
            .any(|fault| fault.at <= until && fault.end() + DISTURBED_ALLOWANCE >= record.sent)
    }

    /// Whether the caller's own daemon was dead, suspended or out of the caller's reach, or the
    /// network broke connections.
    fn had_outage(&self, record: &CallerRecord) -> bool {
        let until = record.deadline() + ANSWER_ALLOWANCE;
        let mut outages = self.history.outages.iter();
        let of_daemon = outages.any(|outage| {
            outage.daemon == record.daemon
                && outage.kind != OutageKind::Partitioned
                && outage.from <= until
                && outage.until >= record.sent
        });
        of_daemon || self.fault_overlaps(record, &[FaultKind::ConnectionBreaks])
    }

    fn check_answer(&mut self, record: &CallerRecord, at: Moment, answer: &QueryAnswer) {
        if answer.request != record.request {
            let detail = format!("{} got the answer to {}", record.request, answer.request);
            self.fail(Rule::AnswerIsOwn, detail);
        }
        self.check_coverage(record, answer);
        self.check_results(record, at, answer);
        if answer.outcome == Outcome::NotRun {
            self.check_not_run(record, answer);
        }
    }

    fn check_coverage(&mut self, record: &CallerRecord, answer: &QueryAnswer) {
        let coverage = &answer.coverage;
        let listed: BTreeSet<&ShardId> =
            answer.results.iter().map(|result| &result.shard).collect();
        let missing: BTreeSet<&ShardId> = coverage.missing.iter().map(|m| &m.shard).collect();
        let all: BTreeSet<ShardId> = answer
            .snapshot
            .map(|version| shards(version).into_iter().collect())
            .unwrap_or_default();
        let is_routed = record.planned.routing_key.is_some();
        let expected = if is_routed {
            all.len().min(1)
        } else {
            all.len()
        };
        let sums = coverage.answered as usize == answer.results.len()
            && listed.len() == answer.results.len()
            && missing.len() == coverage.missing.len()
            && coverage.answered as usize + missing.len() == coverage.total as usize
            && listed.is_disjoint(&missing);
        let shards_are_right = coverage.total as usize == expected
            && listed.union(&missing).all(|shard| all.contains(*shard));
        let outcome_is_right = match answer.outcome {
            Outcome::Complete => missing.is_empty() && coverage.total > 0,
            Outcome::Partial => !missing.is_empty(),
            Outcome::NotRun => listed.is_empty(),
            Outcome::Unknown => true,
        };
        if !(sums && shards_are_right && outcome_is_right) {
            let detail = format!(
                "{}: {:?} of {:?} with {} results: {coverage:?}",
                record.request,
                answer.outcome,
                answer.snapshot,
                answer.results.len()
            );
            self.fail(Rule::CoverageIsTrue, detail);
        }
    }

    fn check_results(&mut self, record: &CallerRecord, at: Moment, answer: &QueryAnswer) {
        let Some(snapshot) = answer.snapshot else {
            return;
        };
        for result in &answer.results {
            if result.result != expected_result(&result.shard, snapshot, &record.body) {
                let detail = format!(
                    "{}: {} of {} is {}",
                    record.request, result.shard, snapshot, result.result
                );
                self.fail(Rule::ResultsAreTrue, detail);
            }
            let key = record.planned.key.map(key_text);
            let was_executed = self.history.executions.iter().any(|execution| {
                let is_own =
                    execution.request == record.request || (key.is_some() && execution.key == key);
                is_own
                    && execution.shard == result.shard
                    && execution.snapshot == snapshot
                    && execution.finished.is_some_and(|finished| finished <= at)
            });
            if !was_executed {
                let detail = format!("{}: {} of {snapshot}", record.request, result.shard);
                self.fail(Rule::ResultsWereExecuted, detail);
            }
        }
    }

    fn check_not_run(&mut self, record: &CallerRecord, answer: &QueryAnswer) {
        let mut executions = self.history.executions.iter();
        if let Some(execution) = executions.find(|e| e.request == record.request) {
            let detail = format!(
                "{} ran on {} at {:.3} s, answered: {:?}",
                record.request,
                execution.shard,
                seconds(execution.started),
                answer.reason
            );
            self.fail(Rule::NotRunIsTrue, detail);
        }
        if answer.retry_after.is_none() {
            let detail = format!("{} is not told when to come back", record.request);
            self.fail(Rule::NotRunIsTrue, detail);
        }
    }

    fn check_keys(&mut self) {
        let expiries: BTreeMap<String, Moment> = self
            .plan
            .queries
            .iter()
            .filter_map(|query| query.key)
            .map(|key| (key_text(key), key.expires))
            .collect();
        let mut runs: BTreeMap<(&str, &ShardId), usize> = BTreeMap::new();
        let mut late = Vec::new();
        for execution in &self.history.executions {
            let Some(key) = &execution.key else {
                continue;
            };
            *runs.entry((key, &execution.shard)).or_default() += 1;
            let expires = expiries.get(key).copied().unwrap_or_default();
            if execution.started > expires + CLOCK_SKEW {
                late.push(format!(
                    "{key} ran on {} at {:.3} s, expiry {:.3} s",
                    execution.shard,
                    seconds(execution.started),
                    seconds(expires)
                ));
            }
        }
        // Shards of different versions overlap, so a key may also run twice on different shards.
        let twice: Vec<String> = runs
            .into_iter()
            .filter(|(_, count)| *count > 1)
            .map(|((key, shard), count)| format!("{key} ran {count} times on {shard}"))
            .collect();
        for detail in twice {
            self.fail(Rule::KeyRunsOnce, detail);
        }
        for detail in late {
            self.fail(Rule::KeyExpires, detail);
        }
        self.check_snapshots_of_keys();
    }

    /// A key runs on the shards of one version only.
    fn check_snapshots_of_keys(&mut self) {
        let mut versions: BTreeMap<&str, BTreeSet<SnapshotVersion>> = BTreeMap::new();
        for execution in &self.history.executions {
            if let Some(key) = &execution.key {
                versions.entry(key).or_default().insert(execution.snapshot);
            }
        }
        let several: Vec<String> = versions
            .into_iter()
            .filter(|(_, versions)| versions.len() > 1)
            .map(|(key, versions)| format!("{key} ran on {versions:?}"))
            .collect();
        for detail in several {
            self.fail(Rule::KeyRunsOnce, detail);
        }
    }

    fn check_leaving(&mut self) {
        let mut details = Vec::new();
        for period in &self.history.leaving_periods {
            let signs = self.history.leaving_signs.iter();
            let signs: Vec<_> = signs
                .filter(|s| s.leaf == period.leaf && s.at >= period.from && s.at <= period.until)
                .collect();
            let Some(first) = signs.iter().map(|sign| sign.at).min() else {
                continue;
            };
            for arrival in &self.history.arrivals {
                let in_period = arrival.leaf == period.leaf
                    && arrival.sent >= period.from
                    && arrival.sent <= period.until;
                if !in_period {
                    continue;
                }
                let own_sign = signs.iter().filter(|sign| sign.to == arrival.from);
                let own_sign = own_sign.map(|sign| sign.at).min();
                let told = self.last_stop(first, arrival.sent) + SIGN_DELAY;
                let known_elsewhere = (!self.was_disturbed(first, arrival.sent)).then_some(told);
                let known = own_sign.into_iter().chain(known_elsewhere).min();
                if known.is_some_and(|known| arrival.sent > known + LEAVING_GRACE) {
                    details.push(format!(
                        "leaf {} leaving since {:.3} s, known at {:.3} s, sent work by {:?} at {:.3} s",
                        period.leaf,
                        seconds(period.from),
                        seconds(known.unwrap_or_default()),
                        arrival.from,
                        seconds(arrival.sent)
                    ));
                }
            }
        }
        for detail in details {
            self.fail(Rule::LeavingLeafsRest, detail);
        }
    }

    /// When the first sign was seen or, if later, the last planned stop made another daemon a root.
    fn last_stop(&self, first: Moment, until: Moment) -> Moment {
        let stops = self.history.planned_stops.iter().map(|(_, at)| *at);
        stops.filter(|at| *at <= until).fold(first, Moment::max)
    }

    /// Whether daemons may have been unable to tell one another.
    fn was_disturbed(&self, from: Moment, until: Moment) -> bool {
        let mut outages = self.history.outages.iter();
        let mut faults = self.plan.faults.iter();
        let breaks = [FaultKind::ConnectionBreaks, FaultKind::PacketLoss];
        outages.any(|outage| outage.from <= until && outage.until >= from)
            || faults.any(|fault| {
                breaks.contains(&fault.kind) && fault.at <= until && fault.end() >= from
            })
    }

    fn check_return(&mut self) {
        let probes = self
            .plan
            .queries
            .iter()
            .filter(|query| query.is_probe)
            .count();
        if probes < PROBE_QUERIES as usize {
            return;
        }
        let arrivals = self.history.arrivals.iter();
        let late = arrivals.filter(|arrival| arrival.sent >= PROBES_BEGIN);
        let working: BTreeSet<usize> = late.map(|arrival| arrival.leaf).collect();
        for leaf in (0..LEAFS).filter(|leaf| !working.contains(leaf)) {
            self.fail(Rule::LeafsReturn, format!("leaf {leaf} got no work"));
        }
    }

    fn check_stop(&mut self, record: &CallerRecord) {
        let stops = [FaultKind::DaemonStop, FaultKind::RollingRestart];
        let mut faults = self.plan.faults.iter();
        let only_stops =
            !self.plan.faults.is_empty() && faults.all(|fault| stops.contains(&fault.kind));
        if !only_stops || record.cancelled.is_some() {
            return;
        }
        let was_sent_again = record.planned.key.is_some_and(|key| {
            let queries = self.plan.queries.iter();
            queries
                .filter(|query| query.key.map(|k| k.number) == Some(key.number))
                .count()
                > 1
        });
        let is_repeatable = record.planned.key.is_none();
        let is_lost = record.results.iter().any(|(_, result)| match result {
            CallerResult::Answered(answer) => match answer.outcome {
                // With a snapshot it is a slow leaf that made the answer unknown at the deadline.
                Outcome::Unknown => answer.snapshot.is_none() && !was_sent_again,
                Outcome::NotRun => is_repeatable,
                Outcome::Complete | Outcome::Partial => false,
            },
            CallerResult::NoConnection | CallerResult::Broken => true,
        });
        if is_lost || record.results.is_empty() {
            let detail = format!(
                "{} sent at {:.3} s through daemon {}: {:?}",
                record.request,
                seconds(record.sent),
                record.daemon,
                record.results
            );
            self.fail(Rule::StopLosesNothing, detail);
        }
    }

    fn check_probe(&mut self, record: &CallerRecord) {
        if !record.planned.is_probe {
            return;
        }
        let is_complete = record.results.iter().any(|(_, result)| match result {
            // Lookups may answer before the deadline without the shards of a slow leaf.
            CallerResult::Answered(answer) => match record.planned.service {
                Service::Lookup => answer.coverage.answered > 0,
                Service::Dispute => answer.outcome == Outcome::Complete,
            },
            CallerResult::NoConnection | CallerResult::Broken => false,
        });
        if !is_complete {
            let detail = format!(
                "{} through daemon {} ({:?}): {:?}",
                record.request, record.daemon, record.planned.service, record.results
            );
            self.fail(Rule::QueriesComplete, detail);
        }
    }

    fn check_tables(&mut self) {
        let mut details: Vec<(Rule, String)> = Vec::new();
        let mut highest: BTreeMap<super::message::Process, u64> = BTreeMap::new();
        for in_force in &self.history.tables_in_force {
            let accepted = self.history.accepted_tables.iter();
            let accepted = accepted
                .filter(|table| table.at <= in_force.at)
                .any(|table| table.change == in_force.change && table.table == in_force.table);
            if !accepted {
                let detail = format!("{} at {:?}", in_force.change, in_force.process);
                details.push((Rule::TablesAreAccepted, detail));
            }
            let before = highest.entry(in_force.process).or_default();
            if in_force.generation < *before {
                let detail = format!(
                    "{:?} went from generation {before} to {}",
                    in_force.process, in_force.generation
                );
                details.push((Rule::TablesNeverGoBack, detail));
            }
            *before = in_force.generation.max(*before);
        }
        for (rule, detail) in details {
            self.fail(rule, detail);
        }
        self.check_convergence();
        self.check_spread();
    }

    fn check_convergence(&mut self) {
        let in_force: BTreeSet<_> = self.history.final_tables.iter().map(|(_, c)| c).collect();
        let last = self
            .history
            .accepted_tables
            .last()
            .map(|table| &table.change);
        let is_last =
            self.history.store_restored || in_force.iter().all(|change| change.as_ref() == last);
        if in_force.len() > 1 || !is_last {
            let detail = format!("{:?}, last accepted {last:?}", self.history.final_tables);
            self.fail(Rule::TablesConverge, detail);
        }
    }

    fn check_spread(&mut self) {
        if self.history.store_restored {
            return;
        }
        let accepted = self.history.accepted_tables.iter();
        let calm: Vec<_> = accepted.filter(|table| table.at >= CALM_FROM).collect();
        let mut details = Vec::new();
        for table in calm {
            for (process, _) in &self.history.final_tables {
                let applied = self.history.tables_in_force.iter();
                let mut applied = applied.filter(|in_force| in_force.process == *process);
                let was_ready = applied.clone().any(|in_force| in_force.at < table.at);
                let in_time = applied.any(|in_force| {
                    in_force.generation >= table.generation && in_force.at <= table.at + SPREAD_TIME
                });
                if was_ready && !in_time {
                    details.push(format!(
                        "{} not in force in time at {process:?}",
                        table.change
                    ));
                }
            }
        }
        for detail in details {
            self.fail(Rule::TablesConverge, detail);
        }
    }

    fn check_operators(&mut self) {
        let mut details = Vec::new();
        for record in &self.history.operators {
            let accepted = self.history.accepted_tables.iter();
            let times = accepted
                .filter(|table| table.change == record.change)
                .count();
            let is_true = match record.report {
                WriteReport::Accepted => times == 1,
                WriteReport::Refused => times == 0,
                WriteReport::Unknown => times <= 1,
            };
            if !is_true {
                let report = record.report;
                details.push(format!(
                    "{} reported {report:?}, accepted {times} times",
                    record.change
                ));
            }
        }
        for detail in details {
            self.fail(Rule::OperatorsAreToldTheTruth, detail);
        }
    }
}

fn seconds(moment: Moment) -> f64 {
    moment.0 as f64 / 1e6
}
