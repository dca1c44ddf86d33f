//! The oracle: what was sent, what may have run, what leafs said. It knows nothing of the engine's
//! code and judges each action on its own books.

use crate::builders::ROOT;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_query::{
    AttemptResult, EngineTuning, RootAction, RootEvent, SendAttempt, StartQuery,
};
use tansylead_types::leaf::RefusalReason;
use tansylead_types::*;

/// How an attempt stands in the books.
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
    /// Certainly did not run, and says nothing about load.
    NotRun,
    /// Certainly did not run: shed or too late.
    Shed,
}

/// One attempt in the books.
#[derive(Debug, Clone)]
pub struct Entry {
    pub send: SendAttempt,
    pub fate: Fate,
}

/// One query in the books.
#[derive(Debug)]
pub struct Case {
    pub start: StartQuery,
    pub entries: Vec<Entry>,
    pub over: bool,
}

#[derive(Debug, Clone, Copy)]
struct LeavingMark {
    last_sign: Moment,
    in_band: bool,
    seen_gone: bool,
}

/// The books.
#[derive(Debug, Default)]
pub struct Oracle {
    pub cases: BTreeMap<QueryId, Case>,
    pub violations: Vec<String>,
    pub policy: ServicePolicy,
    pub roots: u32,
    slots: BTreeMap<LeafId, u32>,
    leaving: BTreeMap<LeafId, LeavingMark>,
    replicas: BTreeMap<(SnapshotVersion, ShardId), BTreeSet<LeafId>>,
    pub shard_lists: BTreeMap<SnapshotVersion, Vec<ShardId>>,
    highest_percent: f64,
    being_ended: Option<(QueryId, AttemptId)>,
    not_held: BTreeMap<(LeafId, SnapshotVersion), Moment>,
}

/// A leaf that does not hold a snapshot is not asked for it again within this time.
const NOT_HELD_LIFETIME: Duration = Duration::from_secs(10);
/// Where a sign that a leaf is leaving came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    InBand,
    Announced,
    Polled,
}

/// The mark may be forgotten after this time at the soonest.
const SHORTEST_LEAVE: Duration = Duration::from_secs(30);

impl Oracle {
    pub fn violation(&mut self, text: String) {
        self.violations.push(text);
    }

    pub fn on_configure(&mut self, policy: &ServicePolicy, placement: &ServicePlacement) {
        self.policy = policy.clone();
        self.highest_percent = self.highest_percent.max(policy.retry_budget_percent);
        let added = |leaf: &LeafId| !self.slots.contains_key(leaf);
        let readded: Vec<LeafId> = placement
            .leafs
            .iter()
            .map(|leaf| leaf.leaf.clone())
            .filter(added)
            .collect();
        for leaf in readded {
            self.leaving.remove(&leaf);
            self.not_held.retain(|(refusing, _), _| *refusing != leaf);
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

    /// Notes what really happens, before the engine is told.
    pub fn on_event(&mut self, now: Moment, event: &RootEvent) {
        self.being_ended = None;
        match event {
            RootEvent::Start(start) => {
                let case = Case {
                    start: (**start).clone(),
                    entries: Vec::new(),
                    over: false,
                };
                self.cases.insert(start.query, case);
            }
            RootEvent::AttemptEnded {
                query,
                attempt,
                result,
            } => {
                self.on_attempt_ended(now, *query, *attempt, result);
                self.being_ended = Some((*query, *attempt));
            }
            RootEvent::LeafHealth { leaf, report } => match report {
                Some(report) if report.load.draining => self.on_leaving(now, leaf, Sign::Polled),
                Some(report) if report.healthy => self.on_healthy(now, leaf),
                Some(_) => {}
                None => self.on_gone(leaf),
            },
            RootEvent::LeafLeaving(leaf) => self.on_leaving(now, leaf, Sign::Announced),
            RootEvent::CallerGone(query) => {
                if let Some(case) = self.cases.get_mut(query) {
                    case.over = true;
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
        let open = self.cases.get(&query).is_some_and(|case| !case.over);
        let Some(entry) = self.entry_mut(query, attempt) else {
            return;
        };
        // Nobody can tell which leaf sent an answer that comes long after its query is over.
        let first_end = match entry.fate {
            Fate::Running => true,
            Fate::Cancelled => open,
            _ => false,
        };
        let leaf = entry.send.leaf.clone();
        let held_key = (leaf.clone(), entry.send.snapshot);
        let was_running = entry.fate == Fate::Running;
        let fate = fate_of(&entry.send, result);
        if entry.fate == Fate::Running {
            entry.fate = fate;
        } else if entry.fate == Fate::Cancelled {
            entry.fate = Fate::MayHaveRun;
        }
        if was_running {
            self.note_held(now, held_key, fate, result);
        }
        if !first_end {
            return;
        }
        let draining = match result {
            AttemptResult::Answered(answer) => answer.load.draining && fate == Fate::Answered,
            AttemptResult::Refused(refusal) => {
                let says_so = refusal.reason == RefusalReason::Draining || refusal.load.draining;
                says_so && fate != Fate::MayHaveRun
            }
            AttemptResult::NotSent => {
                self.on_gone(&leaf);
                false
            }
            AttemptResult::Expired | AttemptResult::Failed => false,
        };
        if draining {
            self.on_leaving(now, &leaf, Sign::InBand);
        }
    }

    fn note_held(
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

    fn on_leaving(&mut self, now: Moment, leaf: &LeafId, sign: Sign) {
        if !self.slots.contains_key(leaf) {
            return;
        }
        let mark = self.leaving.entry(leaf.clone()).or_insert(LeavingMark {
            last_sign: now,
            in_band: false,
            seen_gone: false,
        });
        mark.last_sign = now;
        mark.in_band |= sign == Sign::InBand;
        // An announcement may be about the life that has ended.
        mark.seen_gone &= sign == Sign::Announced;
    }

    fn on_gone(&mut self, leaf: &LeafId) {
        if let Some(mark) = self.leaving.get_mut(leaf) {
            mark.seen_gone = true;
        }
    }

    fn on_healthy(&mut self, now: Moment, leaf: &LeafId) {
        let forgotten = self.leaving.get(leaf).is_some_and(|mark| {
            now.since(mark.last_sign) >= SHORTEST_LEAVE && (mark.seen_gone || !mark.in_band)
        });
        if forgotten {
            self.leaving.remove(leaf);
        }
    }

    pub fn entry_mut(&mut self, query: QueryId, attempt: AttemptId) -> Option<&mut Entry> {
        let case = self.cases.get_mut(&query)?;
        let mut entries = case.entries.iter_mut();
        entries.find(|entry| entry.send.attempt == attempt)
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
        self.check_against_case(now, send);
        let entry = Entry {
            send: send.clone(),
            fate: Fate::Running,
        };
        if let Some(case) = self.cases.get_mut(&send.query) {
            case.entries.push(entry);
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

    fn check_against_case(&mut self, now: Moment, send: &SendAttempt) {
        let Some(case) = self.cases.get(&send.query).filter(|case| !case.over) else {
            return self.violation(format!("sent for a query that is over: {send:?}"));
        };
        let mut wrong = Vec::new();
        if now >= case.start.deadline || send.deadline > case.start.deadline {
            wrong.push("sent past the deadline");
        }
        let mut running_beside = 0;
        for entry in &case.entries {
            if entry.send.attempt == send.attempt {
                wrong.push("attempt id used twice");
            }
            let running = entry.fate == Fate::Running;
            if running && entry.send.snapshot != send.snapshot {
                wrong.push("attempts of two snapshots in flight");
            }
            let same_shard = entry.send.shard == send.shard;
            running_beside += u32::from(running && same_shard);
            let settled_not_run = matches!(entry.fate, Fate::NotRun | Fate::Shed);
            let repeatable = case.start.request.is_repeatable();
            if !repeatable && same_shard && !settled_not_run {
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
        let entries = self.cases.values().flat_map(|case| &case.entries);
        let running = entries
            .filter(|entry| entry.send.leaf == *leaf && entry.fate == Fate::Running)
            .count();
        let slots = self.slots.get(leaf).copied().unwrap_or(0);
        let share = (slots / self.roots.max(1)).max(1) as usize;
        if running > share {
            self.violation(format!("{running} attempts on {leaf}, share is {share}"));
        }
    }

    /// Shards wait for this leaf.
    pub fn check_waited_for(&mut self, leaf: &LeafId) {
        if self.leaving.contains_key(leaf) || !self.slots.contains_key(leaf) {
            self.violation(format!("shards wait for {leaf}, which gets no work"));
        }
    }

    /// Extra attempts: those of a shard on one snapshot beyond the first, less those that follow
    /// one that certainly did not run and was not shed.
    fn check_budget(&mut self, tuning: &EngineTuning) {
        let (mut first, mut extra) = (0, 0);
        for case in self.cases.values() {
            let mut groups: BTreeMap<(SnapshotVersion, &ShardId), (usize, usize)> = BTreeMap::new();
            for entry in &case.entries {
                let key = (entry.send.snapshot, &entry.send.shard);
                let group = groups.entry(key).or_default();
                group.0 += 1;
                group.1 += usize::from(entry.fate == Fate::NotRun);
            }
            let first_snapshot = case.entries.first().map(|entry| entry.send.snapshot);
            for ((snapshot, _), (sent, not_run)) in groups {
                first += usize::from(Some(snapshot) == first_snapshot);
                extra += (sent - 1).saturating_sub(not_run);
            }
        }
        let share = self.highest_percent / 100.0 * first as f64;
        let allowed = share + f64::from(tuning.retry_budget_burst);
        if extra as f64 > allowed + 1e-6 {
            self.violation(format!("{extra} extra attempts, {allowed} allowed"));
        }
    }

    /// An attempt whose end comes after the deadline, to a process that was paused, is cancelled in
    /// the very step that delivers its end: that end is not used.
    fn on_cancel(&mut self, query: QueryId, attempt: AttemptId) {
        let unused_end = self.being_ended == Some((query, attempt));
        let entry = self.entry_mut(query, attempt);
        let cancellable = entry.filter(|entry| entry.fate == Fate::Running || unused_end);
        match cancellable {
            Some(entry) => entry.fate = Fate::Cancelled,
            None => self.violation(format!("cancelled what was not running: {attempt:?}")),
        }
    }
}

/// What the end of an attempt says about whether it ran.
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
