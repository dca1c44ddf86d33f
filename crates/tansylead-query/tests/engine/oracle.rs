//! The oracle: records what was sent, what may have run and what leafs reported, independently of
//! the engine's code, and checks each action against these records.

use crate::builders::ROOT;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_query::{
    AttemptResult, EngineTuning, RootAction, RootEvent, SendAttempt, StartQuery,
};
use tansylead_types::leaf::RefusalReason;
use tansylead_types::*;

/// What the oracle knows about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// In flight: it may run.
    Running,
    /// Cancelled while in flight: it may run.
    Cancelled,
    /// Ran, or may have run.
    MayHaveRun,
    /// A matching answer was delivered.
    Answered,
    /// Certainly did not run, and not for lack of capacity.
    NotRun,
    /// Certainly did not run: shed by an overloaded leaf, or expired.
    Shed,
}

/// Record of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    pub send: SendAttempt,
    pub fate: Fate,
}

/// Record of one query.
#[derive(Debug)]
pub struct QueryRecord {
    pub start: StartQuery,
    pub attempts: Vec<AttemptRecord>,
    pub over: bool,
}

#[derive(Debug, Clone, Copy)]
struct LeavingMark {
    last_signal: Moment,
    in_band: bool,
    seen_unreachable: bool,
}

/// All records, and the violations found.
#[derive(Debug, Default)]
pub struct Oracle {
    pub queries: BTreeMap<QueryId, QueryRecord>,
    pub violations: Vec<String>,
    pub policy: ServicePolicy,
    pub roots: u32,
    slots: BTreeMap<LeafId, u32>,
    leaving: BTreeMap<LeafId, LeavingMark>,
    replicas: BTreeMap<(SnapshotVersion, ShardId), BTreeSet<LeafId>>,
    pub shard_lists: BTreeMap<SnapshotVersion, Vec<ShardId>>,
    highest_percent: f64,
    ending_attempt: Option<(QueryId, AttemptId)>,
    not_held: BTreeMap<(LeafId, SnapshotVersion), Moment>,
}

/// A leaf that refused for lack of a snapshot gets no attempt for it again within this time.
const NOT_HELD_LIFETIME: Duration = Duration::from_secs(10);
/// Source of a signal that a leaf is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    InBand,
    Announced,
    Polled,
}

/// The leaving mark may be cleared after this time at the earliest.
const MIN_LEAVING_DURATION: Duration = Duration::from_secs(30);

impl Oracle {
    pub fn violation(&mut self, text: String) {
        self.violations.push(text);
    }

    pub fn on_configure(&mut self, policy: &ServicePolicy, placement: &ServicePlacement) {
        self.policy = policy.clone();
        self.highest_percent = self.highest_percent.max(policy.retry_budget_percent);
        let added = |leaf: &LeafId| !self.slots.contains_key(leaf);
        let added_leafs: Vec<LeafId> = placement
            .leafs
            .iter()
            .map(|leaf| leaf.leaf.clone())
            .filter(added)
            .collect();
        for leaf in added_leafs {
            self.leaving.remove(&leaf);
            self.not_held
                .retain(|(refusing_leaf, _), _| *refusing_leaf != leaf);
        }
        self.slots = placement
            .leafs
            .iter()
            .map(|leaf| (leaf.leaf.clone(), leaf.slots))
            .collect();
        for snapshot in &placement.snapshots {
            let names = snapshot.shards.iter().map(|entry| entry.shard.clone());
            self.shard_lists.insert(snapshot.version, names.collect());
            for entry in &snapshot.shards {
                let key = (snapshot.version, entry.shard.clone());
                let replicas = self.replicas.entry(key).or_default();
                replicas.extend(entry.replicas.iter().cloned());
            }
        }
    }

    /// Records an event before the engine receives it, and before tampering.
    pub fn on_event(&mut self, now: Moment, event: &RootEvent) {
        self.ending_attempt = None;
        match event {
            RootEvent::Start(start) => {
                let query_record = QueryRecord {
                    start: (**start).clone(),
                    attempts: Vec::new(),
                    over: false,
                };
                self.queries.insert(start.query, query_record);
            }
            RootEvent::AttemptEnded {
                query,
                attempt,
                result,
            } => {
                self.on_attempt_ended(now, *query, *attempt, result);
                self.ending_attempt = Some((*query, *attempt));
            }
            RootEvent::LeafHealth { leaf, report } => match report {
                Some(report) if report.load.draining => self.on_leaving(now, leaf, Signal::Polled),
                Some(report) if report.healthy => self.on_healthy(now, leaf),
                Some(_) => {}
                None => self.on_unreachable(leaf),
            },
            RootEvent::LeafLeaving(leaf) => self.on_leaving(now, leaf, Signal::Announced),
            RootEvent::CallerGone(query) => {
                if let Some(query_record) = self.queries.get_mut(query) {
                    query_record.over = true;
                }
            }
            RootEvent::Wakeup => {}
        }
    }

    fn on_attempt_ended(
        &mut self,
        now: Moment,
        query: QueryId,
        attempt: AttemptId,
        result: &AttemptResult,
    ) {
        let open = self
            .queries
            .get(&query)
            .is_some_and(|query_record| !query_record.over);
        let Some(record) = self.attempt_mut(query, attempt) else {
            return;
        };
        // The engine cannot tell which leaf sent an answer long after its query is over.
        let first_end = match record.fate {
            Fate::Running => true,
            Fate::Cancelled => open,
            _ => false,
        };
        let leaf = record.send.leaf.clone();
        let held_key = (leaf.clone(), record.send.snapshot);
        let was_running = record.fate == Fate::Running;
        let fate = fate_of(&record.send, result);
        if record.fate == Fate::Running {
            record.fate = fate;
        } else if record.fate == Fate::Cancelled {
            record.fate = Fate::MayHaveRun;
        }
        if was_running {
            self.record_holding(now, held_key, fate, result);
        }
        if !first_end {
            return;
        }
        let draining = match result {
            AttemptResult::Answered(answer) => answer.load.draining && fate == Fate::Answered,
            AttemptResult::Refused(refusal) => {
                let is_drain_mark =
                    refusal.reason == RefusalReason::Draining || refusal.load.draining;
                is_drain_mark && fate != Fate::MayHaveRun
            }
            AttemptResult::NotSent => {
                self.on_unreachable(&leaf);
                false
            }
            AttemptResult::Expired | AttemptResult::Failed => false,
        };
        if draining {
            self.on_leaving(now, &leaf, Signal::InBand);
        }
    }

    fn record_holding(
        &mut self,
        now: Moment,
        key: (LeafId, SnapshotVersion),
        fate: Fate,
        result: &AttemptResult,
    ) {
        match result {
            AttemptResult::Answered(_) if fate == Fate::Answered => {
                self.not_held.remove(&key);
            }
            AttemptResult::Refused(refusal)
                if fate == Fate::NotRun && refusal.reason == RefusalReason::SnapshotNotHeld =>
            {
                self.not_held.insert(key, now);
            }
            _ => {}
        }
    }

    fn on_leaving(&mut self, now: Moment, leaf: &LeafId, signal: Signal) {
        if !self.slots.contains_key(leaf) {
            return;
        }
        let mark = self.leaving.entry(leaf.clone()).or_insert(LeavingMark {
            last_signal: now,
            in_band: false,
            seen_unreachable: false,
        });
        mark.last_signal = now;
        mark.in_band |= signal == Signal::InBand;
        // An announcement may be about the process that has ended.
        mark.seen_unreachable &= signal == Signal::Announced;
    }

    fn on_unreachable(&mut self, leaf: &LeafId) {
        if let Some(mark) = self.leaving.get_mut(leaf) {
            mark.seen_unreachable = true;
        }
    }

    fn on_healthy(&mut self, now: Moment, leaf: &LeafId) {
        let clears = self.leaving.get(leaf).is_some_and(|mark| {
            now.since(mark.last_signal) >= MIN_LEAVING_DURATION
                && (mark.seen_unreachable || !mark.in_band)
        });
        if clears {
            self.leaving.remove(leaf);
        }
    }

    pub fn attempt_mut(
        &mut self,
        query: QueryId,
        attempt: AttemptId,
    ) -> Option<&mut AttemptRecord> {
        let query_record = self.queries.get_mut(&query)?;
        let mut records = query_record.attempts.iter_mut();
        records.find(|record| record.send.attempt == attempt)
    }

    pub fn on_action(&mut self, now: Moment, tuning: &EngineTuning, action: &RootAction) {
        match action {
            RootAction::Send(send) => self.on_send(now, tuning, send),
            RootAction::Cancel { query, attempt } => self.on_cancel(*query, *attempt),
            RootAction::Finish { query, answer } => self.on_finish(now, *query, answer),
        }
    }

    fn on_send(&mut self, now: Moment, tuning: &EngineTuning, send: &SendAttempt) {
        self.check_target(now, send);
        self.check_against_query(now, send);
        let record = AttemptRecord {
            send: send.clone(),
            fate: Fate::Running,
        };
        if let Some(query_record) = self.queries.get_mut(&send.query) {
            query_record.attempts.push(record);
        }
        self.check_slots(&send.leaf);
        self.check_budget(tuning);
    }

    fn check_target(&mut self, now: Moment, send: &SendAttempt) {
        let refused = self.not_held.get(&(send.leaf.clone(), send.snapshot));
        if refused.is_some_and(|at| now.since(*at) < NOT_HELD_LIFETIME) {
            self.violation(format!(
                "sent to a leaf that does not hold the snapshot: {send:?}"
            ));
        }
        if !self.slots.contains_key(&send.leaf) {
            self.violation(format!("sent to a leaf that is not configured: {send:?}"));
        }
        if self.leaving.contains_key(&send.leaf) {
            self.violation(format!("sent to a leaving leaf: {send:?}"));
        }
        let key = (send.snapshot, send.shard.clone());
        let listed = self.replicas.get(&key);
        if !listed.is_some_and(|replicas| replicas.contains(&send.leaf)) {
            self.violation(format!("sent to a leaf that is no replica: {send:?}"));
        }
    }

    fn check_against_query(&mut self, now: Moment, send: &SendAttempt) {
        let Some(query_record) = self
            .queries
            .get(&send.query)
            .filter(|query_record| !query_record.over)
        else {
            return self.violation(format!("sent for a query that is over: {send:?}"));
        };
        let mut wrong = Vec::new();
        if now >= query_record.start.deadline || send.deadline > query_record.start.deadline {
            wrong.push("sent past the deadline");
        }
        let mut running_beside = 0;
        for record in &query_record.attempts {
            if record.send.attempt == send.attempt {
                wrong.push("attempt id used twice");
            }
            let running = record.fate == Fate::Running;
            if running && record.send.snapshot != send.snapshot {
                wrong.push("attempts of two snapshots in flight");
            }
            let same_shard = record.send.shard == send.shard;
            running_beside += u32::from(running && same_shard);
            let certainly_not_run = matches!(record.fate, Fate::NotRun | Fate::Shed);
            let repeatable = query_record.start.request.is_repeatable();
            if !repeatable && same_shard && !certainly_not_run {
                wrong.push("non-repeatable shard dispatched again");
            }
        }
        if running_beside > 1 {
            wrong.push("more than two attempts of a shard in flight");
        }
        for text in wrong {
            self.violation(format!("{text}: {send:?}"));
        }
    }

    fn check_slots(&mut self, leaf: &LeafId) {
        let records = self
            .queries
            .values()
            .flat_map(|query_record| &query_record.attempts);
        let running = records
            .filter(|record| record.send.leaf == *leaf && record.fate == Fate::Running)
            .count();
        let slots = self.slots.get(leaf).copied().unwrap_or(0);
        let share = (slots / self.roots.max(1)).max(1) as usize;
        if running > share {
            self.violation(format!("{running} attempts on {leaf}, share is {share}"));
        }
    }

    /// Checks that a leaf that shards wait for is configured and not leaving.
    pub fn check_waited_for(&mut self, leaf: &LeafId) {
        if self.leaving.contains_key(leaf) || !self.slots.contains_key(leaf) {
            self.violation(format!("shards wait for {leaf}, which gets no work"));
        }
    }

    /// Checks the number of extra attempts: those of a shard on one snapshot beyond the first, less
    /// those that follow one that certainly did not run and was not shed.
    fn check_budget(&mut self, tuning: &EngineTuning) {
        let (mut first, mut extra) = (0, 0);
        for query_record in self.queries.values() {
            let mut groups: BTreeMap<(SnapshotVersion, &ShardId), (usize, usize)> = BTreeMap::new();
            for record in &query_record.attempts {
                let key = (record.send.snapshot, &record.send.shard);
                let group = groups.entry(key).or_default();
                group.0 += 1;
                group.1 += usize::from(record.fate == Fate::NotRun);
            }
            let first_snapshot = query_record
                .attempts
                .first()
                .map(|record| record.send.snapshot);
            for ((snapshot, _), (sent, not_run)) in groups {
                first += usize::from(Some(snapshot) == first_snapshot);
                extra += (sent - 1).saturating_sub(not_run);
            }
        }
        let deposited = self.highest_percent / 100.0 * first as f64;
        let allowed = deposited + f64::from(tuning.retry_budget_burst);
        if extra as f64 > allowed + 1e-6 {
            self.violation(format!("{extra} extra attempts, {allowed} allowed"));
        }
    }

    /// If a paused process receives the end of an attempt after the deadline, the same step cancels
    /// the attempt and ignores its end.
    fn on_cancel(&mut self, query: QueryId, attempt: AttemptId) {
        let unused_end = self.ending_attempt == Some((query, attempt));
        let record = self.attempt_mut(query, attempt);
        let cancellable = record.filter(|record| record.fate == Fate::Running || unused_end);
        match cancellable {
            Some(record) => record.fate = Fate::Cancelled,
            None => self.violation(format!("cancelled what was not running: {attempt:?}")),
        }
    }
}

/// Whether the attempt ran, judging by its end.
fn fate_of(send: &SendAttempt, result: &AttemptResult) -> Fate {
    match result {
        AttemptResult::Answered(answer) => {
            let matches = answer.root == ROOT
                && answer.query == send.query
                && answer.attempt == send.attempt
                && answer.shard == send.shard
                && answer.snapshot == send.snapshot;
            if matches {
                Fate::Answered
            } else {
                Fate::MayHaveRun
            }
        }
        AttemptResult::Refused(refusal) => {
            let matches = refusal.root == ROOT
                && refusal.query == send.query
                && refusal.attempt == send.attempt;
            match refusal.reason {
                _ if !matches => Fate::MayHaveRun,
                RefusalReason::Overloaded | RefusalReason::Expired => Fate::Shed,
                _ => Fate::NotRun,
            }
        }
        AttemptResult::NotSent => Fate::NotRun,
        AttemptResult::Expired => Fate::Shed,
        AttemptResult::Failed => Fate::MayHaveRun,
    }
}
