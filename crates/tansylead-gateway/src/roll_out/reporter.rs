//! Decides when and what one daemon reports of one roll-out to its judges, and which of their answers count.
//!
//! Invariants: the sequence rises with each report; an answer is accepted only if it answers a recent report, so
//! that answers which were in a socket while this process was frozen do nothing.

use super::judge_selection::{FollowedGrant, JudgeSelection, SILENCE_LIMIT};
use super::message::GrantMessage;
use super::report_pace::{QUIET_PERIOD, report_period};
use std::collections::VecDeque;
use tansylead_route::{OrderId, RollOut, RollOutEvidence, RollOutReport, Stage};
use tansylead_types::{Moment, NodeId, ServiceName};

/// The outcome of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It was accepted.
    Accepted,
    /// It answers no recent report.
    Late,
    /// A newer one of the same judge came before, or its sender is no judge of the service.
    Superseded,
}

/// The other daemons, as far as reports need them.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Judges of the service, best first.
    pub judges: &'a [NodeId],
    /// Number of running daemons, this one included.
    pub daemons: usize,
    /// This daemon's boot, as in `InstanceId`.
    pub boot: u64,
}

/// The last report that was sent.
#[derive(Debug)]
struct LastReport {
    sent: Moment,
    evidence: RollOutEvidence,
    stage: Option<Stage>,
    follows: Option<NodeId>,
}

/// The reporter of one order.
#[derive(Debug)]
pub struct Reporter {
    service: ServiceName,
    order: OrderId,
    node: NodeId,
    known_since: Moment,
    boot: u64,
    sequence: u64,
    selection: JudgeSelection,
    stage: Option<Stage>,
    last: Option<LastReport>,
    /// Recent reports by sequence, with the time at which they were sent.
    sent: VecDeque<(u64, Moment)>,
}

impl Reporter {
    /// A reporter of an order that this daemon has just learned of.
    pub fn new(roll_out: &RollOut, node: NodeId, now: Moment) -> Self {
        Self {
            service: roll_out.service.clone(),
            order: roll_out.order,
            node,
            known_since: now,
            boot: 0,
            sequence: 0,
            selection: JudgeSelection::default(),
            stage: None,
            last: None,
            sent: VecDeque::new(),
        }
    }

    /// The order.
    pub fn order(&self) -> OrderId {
        self.order
    }

    /// The judge that is followed.
    pub fn followed(&self) -> Option<NodeId> {
        self.selection.followed()
    }

    /// The stage that was granted last. It stays at the first conclusion that was granted, as does the stage by which
    /// this daemon sends requests: other judges take the conclusion over from the reports.
    pub fn stage(&self) -> Option<Stage> {
        self.stage
    }

    /// Chooses the judge to follow. Returns whether it has changed.
    pub fn choose_judge(&mut self, now: Moment, judges: &[NodeId]) -> bool {
        self.selection.set_judges(judges);
        self.selection.choose(now)
    }

    /// A report to all judges, if one is due.
    pub fn report(
        &mut self,
        now: Moment,
        evidence: &RollOutEvidence,
        fleet: Fleet<'_>,
    ) -> Option<RollOutReport> {
        self.selection.set_judges(fleet.judges);
        if fleet.judges.is_empty() || !self.is_due(now, evidence, fleet.daemons) {
            return None;
        }
        self.boot = fleet.boot;
        self.sequence += 1;
        self.record_sent(now);
        self.last = Some(LastReport {
            sent: now,
            evidence: evidence.clone(),
            stage: self.stage,
            follows: self.followed(),
        });
        let known_for = now.since(self.known_since).as_millis();
        Some(RollOutReport {
            service: self.service.clone(),
            order: self.order,
            reporter: self.node,
            boot: self.boot,
            sequence: self.sequence,
            known_for_millis: u32::try_from(known_for).unwrap_or(u32::MAX),
            follows: self.followed(),
            stage: self.stage,
            evidence: evidence.clone(),
        })
    }

    /// Processes the answer of a judge.
    pub fn on_answer(&mut self, now: Moment, message: &GrantMessage) -> AnswerEnd {
        let is_addressed_here = message.boot == self.boot && message.order == self.order;
        if !is_addressed_here || !self.is_recent(now, message.sequence) {
            return AnswerEnd::Late;
        }
        if self.selection.on_answer(now, message) {
            AnswerEnd::Accepted
        } else {
            AnswerEnd::Superseded
        }
    }

    /// The grant of the judge that is followed, if it is new.
    pub fn take_grant(&mut self, now: Moment) -> Option<FollowedGrant> {
        let followed = self.selection.take_grant(now)?;
        let has_concluded = self.stage.is_some_and(|stage| stage >= Stage::Commit);
        if !has_concluded {
            self.stage = Some(followed.grant.stage);
        }
        Some(followed)
    }

    /// Whether a report is recent enough for its answer to be accepted. After the last report a judge may send
    /// unsolicited grants until the next is due.
    fn is_recent(&self, now: Moment, number: u64) -> bool {
        let until_next = QUIET_PERIOD + SILENCE_LIMIT;
        self.sent.iter().any(|(sequence, sent)| {
            let is_last = *sequence == self.sequence;
            let limit = if is_last { until_next } else { SILENCE_LIMIT };
            *sequence == number && now.since(*sent) <= limit
        })
    }

    fn record_sent(&mut self, now: Moment) {
        let is_old = |sent: &(u64, Moment)| now.since(sent.1) > SILENCE_LIMIT;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back((self.sequence, now));
        self.selection.on_reported(now);
    }

    fn is_due(&self, now: Moment, evidence: &RollOutEvidence, daemons: usize) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let has_drained = has_drained_old(self.stage, evidence);
        let was_reported = last.stage == self.stage && has_drained_old(last.stage, &last.evidence);
        if has_drained && !was_reported {
            return true;
        }
        let has_changes = last.evidence != *evidence
            || last.stage != self.stage
            || last.follows != self.followed()
            || self.selection.is_first_unanswered();
        now.since(last.sent) >= report_period(has_changes, daemons)
    }
}

/// Whether the last attempt at old leafs has ended, in a stage that waits for it.
fn has_drained_old(stage: Option<Stage>, evidence: &RollOutEvidence) -> bool {
    let is_moving = matches!(stage, Some(Stage::Shift | Stage::Commit));
    is_moving && evidence.running_on_old == 0
}
