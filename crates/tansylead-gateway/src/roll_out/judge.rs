//! The trials that this daemon judges: it gets reports, and returns grants and conclusions.
//!
//! Invariants: a trial is kept as long as its order is current and has not ended, also while other daemons are
//! ranked as its judges; only a ranked judge accepts reports and evaluates its trials.

use super::message::GrantMessage;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_route::{
    Conclusion, ConclusionReason, ExposureBounds, OrderId, RollOut, RollOutReport, RollOutState,
    RollOutTrial, RollOuts, ShiftWait, Stage, TrialContext, TrialCounts,
};
use tansylead_types::{Moment, NodeId, ServiceName};

/// A judge counts as followed if a report has said so within this time: one quiet period and a half.
const FOLLOWED_LIMIT: Duration = Duration::from_millis(1_500);
/// Reads of the source begin this long before the shift: enough for two slow answers.
const SOURCE_LEAD: Duration = Duration::from_millis(1_500);

/// Why a report was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportRefusal {
    /// This daemon does not rank as a judge of the service.
    NotJudge,
    /// The order is not known, or has ended.
    UnknownOrder,
}

/// Input of an evaluation besides the reports.
#[derive(Debug, Clone, Copy)]
pub struct JudgeContext<'a> {
    /// Daemons that run, this one included.
    pub members: &'a [NodeId],
    /// Whether the source has answered this daemon recently.
    pub is_source_fresh: bool,
    /// Services of which only the version under trial runs.
    pub alone: &'a BTreeSet<ServiceName>,
}

/// Result of the evaluation of one trial.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialEvaluation {
    /// The newest known state of the order.
    pub roll_out: RollOut,
    /// Current stage.
    pub stage: Stage,
    /// Whether the stage has changed since the last evaluation.
    pub is_new_stage: bool,
    /// What the shift waits for, if that has changed since the last evaluation.
    pub new_shift_wait: Option<ShiftWait>,
    /// The conclusion that is to be written to the source.
    pub write: Option<(Conclusion, ConclusionReason)>,
    /// Whether the beginning of the trial is to be written to the source.
    pub is_beginning: bool,
    /// Whether the trial may conclude soon, so that it matters whether the source answers.
    pub needs_source: bool,
    /// Counts behind the evaluation.
    pub counts: TrialCounts,
    /// Sends to the target version that the bounds allow for the counted requests.
    pub allowance: u64,
    /// Unsolicited grants to daemons that have not reported the current stage.
    pub grants: Vec<(NodeId, GrantMessage)>,
}

#[derive(Debug)]
struct JudgedOrder {
    trial: RollOutTrial,
    bounds: ExposureBounds,
    roll_out: RollOut,
    /// When a report last said that this judge is followed.
    followed_at: Option<Moment>,
    /// The last grant to each daemon: the answer to its newest report, or an unsolicited one after it.
    last_grants: BTreeMap<NodeId, GrantMessage>,
    stage: Option<Stage>,
    /// What the shift waited for at the last evaluation.
    shift_wait: Option<ShiftWait>,
    /// Whether a completion was held back at the last evaluation.
    is_held_back: bool,
}

/// The trials of one daemon.
#[derive(Debug)]
pub struct Judge {
    node: NodeId,
    bounds: ExposureBounds,
    /// Current orders that have not ended.
    orders: BTreeMap<ServiceName, RollOut>,
    trials: BTreeMap<ServiceName, JudgedOrder>,
}

impl Judge {
    /// A judge without orders.
    pub fn new(node: NodeId, bounds: ExposureBounds) -> Self {
        Self {
            node,
            bounds,
            orders: BTreeMap::new(),
            trials: BTreeMap::new(),
        }
    }

    /// Applies the current orders; removes trials of orders that have ended, were removed or replaced.
    pub fn set_orders(&mut self, orders: &RollOuts) {
        let running = orders.orders.iter();
        let running = running.filter(|(_, order)| !order.state.is_final());
        self.orders = running
            .map(|(service, order)| (service.clone(), order.clone()))
            .collect();
        let orders = &self.orders;
        self.trials.retain(|service, judged| {
            let order = orders.get(service);
            let current = order.filter(|order| order.order == judged.roll_out.order);
            if let Some(order) = current {
                judged.update_order(order);
            }
            current.is_some()
        });
    }

    /// Applies a state of an order that was read or written.
    pub fn on_current(&mut self, roll_out: &RollOut) {
        if let Some(judged) = self.trials.get_mut(&roll_out.service) {
            judged.update_order(roll_out);
        }
    }

    /// Processes a report and returns the answer. `rank` is this daemon's rank among the judges of the service.
    pub fn on_report(
        &mut self,
        now: Moment,
        report: &RollOutReport,
        rank: Option<usize>,
    ) -> Result<GrantMessage, ReportRefusal> {
        rank.ok_or(ReportRefusal::NotJudge)?;
        let node = self.node;
        let judged = self.trial(now, &report.service, Some(report.order));
        let judged = judged.ok_or(ReportRefusal::UnknownOrder)?;
        judged.on_report(now, report, node);
        Ok(judged.answer(now, report, node))
    }

    /// Evaluates all trials of which this daemon is a judge.
    pub fn evaluate(
        &mut self,
        now: Moment,
        context: JudgeContext<'_>,
        mut rank_of: impl FnMut(&ServiceName) -> Option<usize>,
    ) -> Vec<TrialEvaluation> {
        let services: Vec<ServiceName> = self.orders.keys().cloned().collect();
        let mut evaluations = Vec::new();
        for service in services {
            let Some(rank) = rank_of(&service) else {
                continue;
            };
            if let Some(judged) = self.trial(now, &service, None) {
                evaluations.push(judged.evaluate(now, context, rank));
            }
        }
        evaluations
    }

    /// Stages of all trials.
    pub fn stages(&self) -> impl Iterator<Item = Stage> {
        self.trials.values().filter_map(|judged| judged.stage)
    }

    /// Whether a completion waits for the last attempts on old leafs, so that the next evaluation should come soon.
    pub fn is_completion_held_back(&self) -> bool {
        self.trials.values().any(|judged| judged.is_held_back)
    }

    /// The trial of a service's order; created if there is none yet.
    fn trial(
        &mut self,
        now: Moment,
        service: &ServiceName,
        order: Option<OrderId>,
    ) -> Option<&mut JudgedOrder> {
        let roll_out = self.orders.get(service)?;
        if order.is_some_and(|order| order != roll_out.order) {
            return None;
        }
        let make = || JudgedOrder::new(roll_out.clone(), self.bounds, self.node, now);
        let judged = self.trials.entry(service.clone());
        Some(judged.or_insert_with(make))
    }
}

impl JudgedOrder {
    fn new(roll_out: RollOut, bounds: ExposureBounds, judge: NodeId, now: Moment) -> Self {
        Self {
            trial: RollOutTrial::new(roll_out.clone(), bounds, judge, now),
            roll_out,
            followed_at: None,
            last_grants: BTreeMap::new(),
            bounds,
            stage: None,
            shift_wait: None,
            is_held_back: false,
        }
    }

    fn update_order(&mut self, current: &RollOut) {
        let is_same = current.order == self.roll_out.order;
        if is_same && current.changed_at > self.roll_out.changed_at {
            self.roll_out = current.clone();
        }
    }

    fn on_report(&mut self, now: Moment, report: &RollOutReport, judge: NodeId) {
        if report.follows == Some(judge) {
            self.followed_at = Some(now);
        }
        self.trial.on_report(now, report);
    }

    /// The answer to a report.
    fn answer(&mut self, now: Moment, report: &RollOutReport, judge: NodeId) -> GrantMessage {
        let answer = GrantMessage {
            service: report.service.clone(),
            order: report.order,
            judge,
            boot: report.boot,
            sequence: report.sequence,
            grant_number: 0,
            grant: self.trial.grant(now, report.reporter),
        };
        let last = self.last_grants.get(&report.reporter);
        let number = (report.boot, report.sequence);
        if last.is_none_or(|last| (last.boot, last.sequence) < number) {
            self.last_grants.insert(report.reporter, answer.clone());
        }
        answer
    }

    /// Grants to daemons that have not reported the current stage.
    fn unsolicited_grants(&mut self, now: Moment) -> Vec<(NodeId, GrantMessage)> {
        let mut grants = Vec::new();
        for node in self.trial.awaiting_stage(now) {
            if let Some(last) = self.last_grants.get_mut(&node) {
                last.grant_number += 1;
                last.grant = self.trial.grant(now, node);
                grants.push((node, last.clone()));
            }
        }
        grants
    }

    fn evaluate(&mut self, now: Moment, context: JudgeContext<'_>, rank: usize) -> TrialEvaluation {
        // After the conclusion only the write itself shows whether the source accepts it.
        let has_concluded = self.stage.is_some_and(|stage| stage >= Stage::Commit);
        let trial_context = TrialContext {
            members: context.members,
            rank,
            is_source_fresh: context.is_source_fresh || has_concluded,
            is_alone: context.alone.contains(&self.roll_out.service),
        };
        let verdict = self.trial.evaluate(now, trial_context);
        let is_new_stage = self.stage.replace(verdict.stage) != Some(verdict.stage);
        let shift_wait = self.trial.shift_wait();
        let wait_before = std::mem::replace(&mut self.shift_wait, shift_wait);
        self.is_held_back = verdict.stage == Stage::Commit && verdict.write.is_none();
        let is_followed = self.is_followed(now);
        let counts = self.trial.counts();
        let allowed = counts.requests as f64 * self.bounds.share + self.bounds.slack;
        TrialEvaluation {
            roll_out: self.roll_out.clone(),
            stage: verdict.stage,
            is_new_stage,
            new_shift_wait: shift_wait.filter(|wait| Some(*wait) != wait_before),
            write: verdict.write,
            is_beginning: rank == 0
                && is_followed
                && self.trial.is_leading()
                && self.roll_out.state == RollOutState::Ordered,
            needs_source: is_followed && self.trial.may_shift_within(now, SOURCE_LEAD),
            counts,
            allowance: allowed as u64,
            grants: self.unsolicited_grants(now),
        }
    }

    fn is_followed(&self, now: Moment) -> bool {
        let followed_at = self.followed_at;
        followed_at.is_some_and(|at| now.since(at) <= FOLLOWED_LIMIT)
    }
}
