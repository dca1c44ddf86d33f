//! What one daemon reports of one roll-out to its judges, when, and what it makes of their answers.
//!
//! Invariants: the sequence rises with each report; an answer is heeded only if it answers a report that was
//! sent lately, so that answers which waited in a socket while this process was frozen do nothing.

use super::judge_seats::{FollowedGrant, JudgeSeats, SILENCE_LIMIT};
use super::message::GrantMessage;
use super::report_pace::{QUIET_PERIOD, report_period};
use std::collections::VecDeque;
use tansylead_route::{OrderId, RollOut, RollOutEvidence, RollOutReport, Stage};
use tansylead_types::{Moment, NodeId, ServiceName};

/// What became of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It was taken in.
    Heeded,
    /// It answers no report that was sent lately.
    Late,
    /// A newer one of the same judge came before, or its sender is no judge here.
    Superseded,
}

/// What is known of the other daemons when a report may be due.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Judges of the service, best first.
    pub judges: &'a [NodeId],
    /// Daemons that run.
    pub daemons: usize,
    /// This daemon's run, as in `InstanceId`.
    pub boot: u64,
}

/// What was told last.
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
    seats: JudgeSeats,
    stage: Option<Stage>,
    last: Option<LastReport>,
    /// Reports that were sent lately, by number.
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
            seats: JudgeSeats::default(),
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
        self.seats.followed()
    }

    /// The stage that was granted last. The first conclusion stays, as in what requests do: other judges take
    /// it over from the reports.
    pub fn stage(&self) -> Option<Stage> {
        self.stage
    }

    /// Chooses the judge to follow. Returns whether it is another one than before.
    pub fn choose_judge(&mut self, now: Moment, judges: &[NodeId]) -> bool {
        self.seats.set_judges(judges);
        self.seats.choose(now)
    }

    /// A report to all judges, if one is due.
    pub fn report(
        &mut self,
        now: Moment,
        evidence: &RollOutEvidence,
        fleet: Fleet<'_>,
    ) -> Option<RollOutReport> {
        self.seats.set_judges(fleet.judges);
        if fleet.judges.is_empty() || !self.is_due(now, evidence, fleet.daemons) {
            return None;
        }
        self.boot = fleet.boot;
        self.sequence += 1;
        self.note_sent(now);
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

    /// Takes in the answer of a judge.
    pub fn on_answer(&mut self, now: Moment, message: &GrantMessage) -> AnswerEnd {
        let is_own = message.boot == self.boot && message.order == self.order;
        if !is_own || !self.was_sent_lately(now, message.sequence) {
            return AnswerEnd::Late;
        }
        if self.seats.on_answer(now, message) {
            AnswerEnd::Heeded
        } else {
            AnswerEnd::Superseded
        }
    }

    /// The grant of the judge that is followed, if it is new.
    pub fn take_grant(&mut self, now: Moment) -> Option<FollowedGrant> {
        let followed = self.seats.take_grant(now)?;
        let has_concluded = self.stage.is_some_and(|stage| stage >= Stage::Commit);
        if !has_concluded {
            self.stage = Some(followed.grant.stage);
        }
        Some(followed)
    }

    /// Whether a report is recent enough for its answer to be heeded. After the last one a judge may grant
    /// something unasked until the next is due.
    fn was_sent_lately(&self, now: Moment, number: u64) -> bool {
        let until_next = QUIET_PERIOD + SILENCE_LIMIT;
        self.sent.iter().any(|(sequence, sent)| {
            let is_last = *sequence == self.sequence;
            let limit = if is_last { until_next } else { SILENCE_LIMIT };
            *sequence == number && now.since(*sent) <= limit
        })
    }

    fn note_sent(&mut self, now: Moment) {
        let is_old = |sent: &(u64, Moment)| now.since(sent.1) > SILENCE_LIMIT;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back((self.sequence, now));
        self.seats.on_reported(now);
    }

    fn is_due(&self, now: Moment, evidence: &RollOutEvidence, daemons: usize) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let is_clear = is_clear_of_old(self.stage, evidence);
        let was_told = last.stage == self.stage && is_clear_of_old(last.stage, &last.evidence);
        if is_clear && !was_told {
            return true;
        }
        let has_news = last.evidence != *evidence
            || last.stage != self.stage
            || last.follows != self.followed()
            || self.seats.first_owes_answer();
        now.since(last.sent) >= report_period(has_news, daemons)
    }
}

/// Whether the last attempt at old leafs has ended in the stage that waits for it.
fn is_clear_of_old(stage: Option<Stage>, evidence: &RollOutEvidence) -> bool {
    let is_moving = matches!(stage, Some(Stage::Shift | Stage::Commit));
    is_moving && evidence.running_on_old == 0
}
