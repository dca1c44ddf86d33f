//! The oracle's judgement of final answers and of queries that should have ended.

use crate::builders::content;
use crate::oracle::{Case, Fate, Oracle};
use std::collections::BTreeSet;
use tansylead_types::*;

impl Oracle {
    pub fn on_finish(&mut self, now: Moment, query: QueryId, answer: &QueryAnswer) {
        let Some(case) = self.cases.get_mut(&query).filter(|case| !case.over) else {
            return self.violation(format!("{query:?} finished twice or never started"));
        };
        case.over = true;
        let case = &self.cases[&query];
        let mut wrong = judge_outcome(case, answer);
        wrong.extend(judge_results(case, answer));
        wrong.extend(self.judge_coverage(case, answer));
        wrong.extend(self.judge_time(now, case, answer));
        for text in wrong {
            self.violation(format!("{text}: {answer:?}"));
        }
    }

    fn judge_coverage(&self, case: &Case, answer: &QueryAnswer) -> Vec<&'static str> {
        let coverage = &answer.coverage;
        let Some(version) = answer.snapshot else {
            let empty = *coverage == Coverage::default() && answer.outcome == Outcome::NotRun;
            return if empty {
                Vec::new()
            } else {
                vec!["coverage without a snapshot"]
            };
        };
        let Some(list) = self.shard_lists.get(&version) else {
            return vec!["a snapshot that was never configured"];
        };
        let list: BTreeSet<&ShardId> = list.iter().collect();
        let routed = case.start.request.routing_key.is_some();
        let total = if routed { 1 } else { list.len() };
        let answered = answer.results.iter().map(|result| &result.shard);
        let missing = coverage.missing.iter().map(|missing| &missing.shard);
        let named: Vec<&ShardId> = answered.chain(missing).collect();
        let distinct: BTreeSet<&ShardId> = named.iter().copied().collect();
        let mut wrong = Vec::new();
        if named.len() != distinct.len() {
            wrong.push("a shard stands twice");
        }
        if coverage.total as usize != total || named.len() != total || !distinct.is_subset(&list) {
            wrong.push("coverage does not match the pinned shard list");
        }
        if coverage.answered as usize != answer.results.len() {
            wrong.push("answered is not the number of results");
        }
        wrong
    }

    fn judge_time(&self, now: Moment, case: &Case, answer: &QueryAnswer) -> Vec<&'static str> {
        let mut wrong = Vec::new();
        let early = now < case.start.deadline && answer.outcome == Outcome::Partial;
        let was_running = case.entries.iter().any(|entry| entry.fate == Fate::Running);
        if was_running {
            wrong.push("finished with attempts neither ended nor cancelled");
        }
        let cut_short = answer
            .coverage
            .missing
            .iter()
            .any(|missing| missing.reason == MissingReason::DeadlineExceeded);
        let cut_allowed = matches!(self.policy.wait, WaitPolicy::EarlyPartial { .. });
        let refused_late = case.entries.iter().any(|entry| entry.fate == Fate::Shed);
        if early && cut_short && !cut_allowed && !refused_late {
            wrong.push("partial before the deadline without an early policy");
        }
        wrong
    }

    /// After every event: nothing open past its deadline, nothing open without a reason.
    pub fn check_open_queries(&mut self, now: Moment, waiting: usize, wakeup: Option<Moment>) {
        let mut wrong = Vec::new();
        let mut idle = 0;
        for (query, case) in self.cases.iter().filter(|(_, case)| !case.over) {
            if case.start.deadline <= now {
                wrong.push(format!("{query:?} is open past its deadline"));
            }
            if wakeup.is_none_or(|wakeup| wakeup > case.start.deadline) {
                wrong.push(format!("no wakeup by the deadline of {query:?}"));
            }
            let mut entries = case.entries.iter();
            idle += usize::from(!entries.any(|entry| entry.fate == Fate::Running));
        }
        if idle > waiting {
            wrong.push(format!(
                "{idle} queries open and idle, {waiting} shards waiting"
            ));
        }
        self.violations.extend(wrong);
    }
}

fn judge_outcome(case: &Case, answer: &QueryAnswer) -> Vec<&'static str> {
    let fate_count = |wanted: &[Fate]| {
        let entries = case.entries.iter();
        entries.filter(|entry| wanted.contains(&entry.fate)).count()
    };
    let may_have_run = fate_count(&[
        Fate::Running,
        Fate::Cancelled,
        Fate::MayHaveRun,
        Fate::Answered,
    ]) > 0;
    let unknown = fate_count(&[Fate::Running, Fate::Cancelled, Fate::MayHaveRun]) > 0;
    let repeatable = case.start.request.is_repeatable();
    let whole = answer.snapshot.is_some() && answer.coverage.missing.is_empty();
    let expected = if whole {
        Outcome::Complete
    } else if !may_have_run {
        Outcome::NotRun
    } else if !repeatable && unknown {
        Outcome::Unknown
    } else {
        Outcome::Partial
    };
    let mut wrong = Vec::new();
    if answer.outcome != expected {
        wrong.push("untrue outcome");
    }
    if answer.outcome == Outcome::NotRun && answer.retry_after.is_none() {
        wrong.push("not run without a time to come back");
    }
    if answer.attempts as usize != case.entries.len() {
        wrong.push("wrong count of attempts");
    }
    if answer.request != case.start.request.request {
        wrong.push("another request's id");
    }
    wrong
}

fn judge_results(case: &Case, answer: &QueryAnswer) -> Vec<&'static str> {
    let mut wrong = Vec::new();
    let snapshot = answer.snapshot.unwrap_or_default();
    for result in &answer.results {
        if result.result != content(case.start.query, &result.shard, snapshot) {
            wrong.push("result of another query, shard or snapshot");
        }
    }
    if !answer.results.is_sorted_by_key(|result| &result.shard) {
        wrong.push("results out of order");
    }
    wrong
}
