//! The oracle's checks of final answers and of queries that should have ended.

use crate::builders::content;
use crate::oracle::{Fate, Oracle, QueryRecord};
use std::collections::BTreeSet;
use tansylead_types::*;

impl Oracle {
    pub fn on_finish(&mut self, now: Moment, query: QueryId, answer: &QueryAnswer) {
        let Some(query_record) = self
            .queries
            .get_mut(&query)
            .filter(|query_record| !query_record.over)
        else {
            return self.violation(format!("{query:?} finished twice or never started"));
        };
        query_record.over = true;
        let query_record = &self.queries[&query];
        let mut wrong = check_outcome(query_record, answer);
        wrong.extend(check_results(query_record, answer));
        wrong.extend(self.check_coverage(query_record, answer));
        wrong.extend(self.check_time(now, query_record, answer));
        for text in wrong {
            self.violation(format!("{text}: {answer:?}"));
        }
    }

    fn check_coverage(
        &self,
        query_record: &QueryRecord,
        answer: &QueryAnswer,
    ) -> Vec<&'static str> {
        let coverage = &answer.coverage;
        let Some(version) = answer.snapshot else {
            let empty = *coverage == Coverage::default() && answer.outcome == Outcome::NotRun;
            return if empty {
                Vec::new()
            } else {
                vec!["coverage without a snapshot"]
            };
        };
        let Some(configured) = self.shard_lists.get(&version) else {
            return vec!["a snapshot that was never configured"];
        };
        let configured: BTreeSet<&ShardId> = configured.iter().collect();
        let routed = query_record.start.request.routing_key.is_some();
        let total = if routed { 1 } else { configured.len() };
        let answered = answer.results.iter().map(|result| &result.shard);
        let missing = coverage.missing.iter().map(|missing| &missing.shard);
        let listed: Vec<&ShardId> = answered.chain(missing).collect();
        let distinct: BTreeSet<&ShardId> = listed.iter().copied().collect();
        let mut wrong = Vec::new();
        if listed.len() != distinct.len() {
            wrong.push("a shard is listed twice");
        }
        if coverage.total as usize != total
            || listed.len() != total
            || !distinct.is_subset(&configured)
        {
            wrong.push("coverage does not match the pinned shard list");
        }
        if coverage.answered as usize != answer.results.len() {
            wrong.push("answered is not the number of results");
        }
        wrong
    }

    fn check_time(
        &self,
        now: Moment,
        query_record: &QueryRecord,
        answer: &QueryAnswer,
    ) -> Vec<&'static str> {
        let mut wrong = Vec::new();
        let early = now < query_record.start.deadline && answer.outcome == Outcome::Partial;
        let was_running = query_record
            .attempts
            .iter()
            .any(|record| record.fate == Fate::Running);
        if was_running {
            wrong.push("finished with attempts neither ended nor cancelled");
        }
        let deadline_reported = answer
            .coverage
            .missing
            .iter()
            .any(|missing| missing.reason == MissingReason::DeadlineExceeded);
        let early_allowed = matches!(self.policy.wait, WaitPolicy::EarlyPartial { .. });
        let any_shed = query_record
            .attempts
            .iter()
            .any(|record| record.fate == Fate::Shed);
        if early && deadline_reported && !early_allowed && !any_shed {
            wrong.push("partial before the deadline without an early policy");
        }
        wrong
    }

    /// Checks after every event that no query is open past its deadline or without a reason.
    pub fn check_open_queries(&mut self, now: Moment, waiting: usize, wakeup: Option<Moment>) {
        let mut wrong = Vec::new();
        let mut idle = 0;
        for (query, query_record) in self
            .queries
            .iter()
            .filter(|(_, query_record)| !query_record.over)
        {
            if query_record.start.deadline <= now {
                wrong.push(format!("{query:?} is open past its deadline"));
            }
            if wakeup.is_none_or(|wakeup| wakeup > query_record.start.deadline) {
                wrong.push(format!("no wakeup by the deadline of {query:?}"));
            }
            let mut records = query_record.attempts.iter();
            idle += usize::from(!records.any(|record| record.fate == Fate::Running));
        }
        if idle > waiting {
            wrong.push(format!(
                "{idle} queries open and idle, {waiting} shards waiting"
            ));
        }
        self.violations.extend(wrong);
    }
}

fn check_outcome(query_record: &QueryRecord, answer: &QueryAnswer) -> Vec<&'static str> {
    let fate_count = |wanted: &[Fate]| {
        let records = query_record.attempts.iter();
        records
            .filter(|record| wanted.contains(&record.fate))
            .count()
    };
    let may_have_run = fate_count(&[
        Fate::Running,
        Fate::Cancelled,
        Fate::MayHaveRun,
        Fate::Answered,
    ]) > 0;
    let unknown = fate_count(&[Fate::Running, Fate::Cancelled, Fate::MayHaveRun]) > 0;
    let repeatable = query_record.start.request.is_repeatable();
    let is_complete = answer.snapshot.is_some() && answer.coverage.missing.is_empty();
    let expected = if is_complete {
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
        wrong.push("not run without a retry_after value");
    }
    if answer.attempts as usize != query_record.attempts.len() {
        wrong.push("wrong count of attempts");
    }
    if answer.request != query_record.start.request.request {
        wrong.push("another request's id");
    }
    wrong
}

fn check_results(query_record: &QueryRecord, answer: &QueryAnswer) -> Vec<&'static str> {
    let mut wrong = Vec::new();
    let snapshot = answer.snapshot.unwrap_or_default();
    for result in &answer.results {
        if result.result != content(query_record.start.query, &result.shard, snapshot) {
            wrong.push("result of another query, shard or snapshot");
        }
    }
    if !answer.results.is_sorted_by_key(|result| &result.shard) {
        wrong.push("results out of order");
    }
    wrong
}
