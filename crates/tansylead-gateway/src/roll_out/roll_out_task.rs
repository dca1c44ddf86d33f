//! The roll-out task of one daemon: it reports to the judges, judges the trials for which it is ranked, and writes
//! conclusions to the source. It does nothing while no roll-out runs.

use super::evaluation_log::log_counts;
use super::judge::{Judge, JudgeContext, ReportRefusal, TrialEvaluation};
use super::judge_metrics::{JudgeMetrics, MessageKind, MessageOutcome, conclusion_label};
use super::link::RollOutLink;
use super::lost_outcomes::LostOutcomes;
use super::message::{GrantMessage, RollOutMessage};
use super::pause_guard::PauseGuard;
use super::ranked_judges::RankedJudges;
use super::reporters::Reporters;
use super::source_calls::SourceCalls;
use super::source_check::SourceCheck;
use super::state_writes::{EndedWrite, StateWrites};
use crate::clock::Clock;
use crate::cluster::ClusterView;
use crate::source::Source;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{
    Conclusion, ConclusionReason, RollOut, RollOutReport, RollOutState, StateWriteEnd,
};
use tansylead_types::{Moment, NodeId, ServiceName};
use tokio::sync::mpsc;

/// Period of the check whether reports are due: a part of the shortest period between reports.
const TICK: Duration = Duration::from_millis(50);
/// Ticks from one evaluation of the trials to the next: four a second, more while a completion is held back.
const TICKS_PER_EVALUATION: u32 = 5;

/// Period at which it is checked whether this daemon must write a lost outcome.
const LOST_OUTCOME_PERIOD: Duration = Duration::from_millis(250);

/// The task.
#[derive(Debug)]
pub struct RollOutTask<S> {
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    link: Rc<RollOutLink>,
    node: NodeId,
    metrics: Rc<JudgeMetrics>,
    ranked: RankedJudges,
    reporters: Reporters,
    judge: Judge,
    calls: Rc<SourceCalls<S>>,
    check: SourceCheck<S>,
    writes: StateWrites<S>,
    lost_outcomes: LostOutcomes,
    ended_writes: mpsc::UnboundedReceiver<EndedWrite>,
    pause_guard: PauseGuard,
    ticks: u32,
}

impl<S: Source> RollOutTask<S> {
    /// A task without orders.
    pub fn new(
        gateway: Rc<Gateway>,
        view: Rc<ClusterView>,
        link: Rc<RollOutLink>,
        source: Rc<S>,
    ) -> Self {
        let node = NodeId(gateway.settings.peer_address);
        let metrics = Rc::new(JudgeMetrics::new(gateway.metrics.registry()));
        let calls = Rc::new(SourceCalls::new(Rc::clone(&gateway), source));
        let (ended, ended_writes) = mpsc::unbounded_channel();
        Self {
            node,
            ranked: RankedJudges::new(Rc::clone(&view)),
            reporters: Reporters::new(Rc::clone(&gateway), Rc::clone(&metrics)),
            judge: Judge::new(node, gateway.settings.bounds.exposure()),
            check: SourceCheck::new(Rc::clone(&calls)),
            writes: StateWrites::new(Rc::clone(&calls), ended),
            lost_outcomes: LostOutcomes::default(),
            calls,
            ended_writes,
            pause_guard: PauseGuard::default(),
            ticks: 0,
            gateway,
            view,
            link,
            metrics,
        }
    }

    /// Runs until its task is ended.
    pub async fn run(mut self) {
        let mut changes = self.gateway.changes();
        let link = Rc::clone(&self.link);
        let gateway = Rc::clone(&self.gateway);
        self.apply_orders();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let is_active = !self.reporters.is_empty();
            let has_lost_outcomes = !self.lost_outcomes.is_empty();
            if !is_active {
                self.pause_guard.suspend();
            }
            tokio::select! {
                _ = changes.changed() => self.apply_orders(),
                () = link.received() => self.receive_all(),
                Some(ended) = self.ended_writes.recv() => self.on_ended_write(ended),
                () = gateway.roll_out_context().changed().notified(), if is_active => self.report(Clock.now()),
                _ = ticks.tick(), if is_active => self.tick(),
                () = tokio::time::sleep(LOST_OUTCOME_PERIOD), if has_lost_outcomes => self.write_lost_outcomes(),
            }
        }
    }

    fn apply_orders(&mut self) {
        let Some(orders) = self.gateway.current_roll_outs() else {
            return;
        };
        self.reporters.set_orders(Clock.now(), &orders);
        self.judge.set_orders(&orders);
        self.writes
            .set_orders(&self.gateway.roll_outs().unwrap_or_default());
        self.write_lost_outcomes();
        self.metrics.set_trials(self.judge.stages());
    }

    fn tick(&mut self) {
        let now = Clock.now();
        self.check_for_pause(now);
        self.report(now);
        self.ticks += 1;
        if self.ticks >= TICKS_PER_EVALUATION || self.judge.is_completion_held_back() {
            self.ticks = 0;
            self.evaluate_trials(now);
        }
        self.metrics.on_overflow(self.link.take_dropped());
    }

    /// Sends the reports that are due.
    fn report(&mut self, now: Moment) {
        let reports = self
            .reporters
            .due_reports(now, &mut self.ranked, self.view.boot());
        for report in reports {
            self.send_report(now, report);
        }
    }

    fn check_for_pause(&mut self, now: Moment) {
        if let Some(pause) = self.pause_guard.check(now) {
            let millis = pause.as_millis() as u64;
            log::warn!(paused_ms = millis; "did not run; what came meanwhile about roll-outs is passed over");
        }
    }

    fn send_report(&mut self, now: Moment, report: RollOutReport) {
        for judge in self.ranked.judges(&report.service).iter() {
            self.metrics
                .on_message(MessageKind::Report, MessageOutcome::Sent);
            if *judge == self.node {
                self.on_report(now, &report);
            } else {
                self.link
                    .send(*judge, RollOutMessage::Report(report.clone()));
            }
        }
    }

    fn receive_all(&mut self) {
        let now = Clock.now();
        if !self.reporters.is_empty() {
            self.check_for_pause(now);
        }
        for message in self.link.take_received() {
            let is_discarding = self.pause_guard.is_discarding(now);
            match message {
                RollOutMessage::Report(_) if is_discarding => self
                    .metrics
                    .on_message(MessageKind::Report, MessageOutcome::AfterPause),
                RollOutMessage::Grant(_) if is_discarding => self
                    .metrics
                    .on_message(MessageKind::Grant, MessageOutcome::AfterPause),
                RollOutMessage::Report(report) => self.on_report(now, &report),
                RollOutMessage::Grant(grant) => self.on_grant(now, &grant),
            }
        }
    }

    /// Passes a report to the judge, and sends its answer.
    fn on_report(&mut self, now: Moment, report: &RollOutReport) {
        let rank = self.ranked.rank(&report.service, self.node);
        let outcome = match self.judge.on_report(now, report, rank) {
            Ok(grant) => {
                self.answer(now, report.reporter, grant);
                MessageOutcome::Received
            }
            Err(ReportRefusal::NotJudge) => MessageOutcome::NotJudge,
            Err(ReportRefusal::UnknownOrder) => MessageOutcome::UnknownOrder,
        };
        self.metrics.on_message(MessageKind::Report, outcome);
    }

    fn answer(&mut self, now: Moment, reporter: NodeId, grant: GrantMessage) {
        self.metrics
            .on_message(MessageKind::Grant, MessageOutcome::Sent);
        if reporter == self.node {
            self.on_grant(now, &grant);
        } else {
            self.link.send(reporter, RollOutMessage::Grant(grant));
        }
    }

    fn on_grant(&mut self, now: Moment, grant: &GrantMessage) {
        self.reporters.on_answer(now, grant, &mut self.ranked);
    }

    /// Evaluates the trials.
    fn evaluate_trials(&mut self, now: Moment) {
        let members = self.ranked.members();
        let alone = self.gateway.services_with_one_version(now);
        let context = JudgeContext {
            members: &members,
            is_source_fresh: self.calls.is_fresh(),
            alone: &alone,
        };
        self.complete_settled();
        let (ranked, node, gateway) = (&mut self.ranked, self.node, &self.gateway);
        let rank_of = |service: &ServiceName| {
            let is_under_trial = !gateway.service(service).versions().is_settled();
            is_under_trial.then(|| ranked.rank(service, node)).flatten()
        };
        let evaluations = self.judge.evaluate(now, context, rank_of);
        for evaluation in evaluations {
            self.on_evaluation(now, evaluation);
        }
        for roll_out in self.check.take_found() {
            self.judge.on_current(&roll_out);
        }
        self.metrics.set_trials(self.judge.stages());
    }

    /// Writes the outcomes of orders again that the source has lost.
    fn write_lost_outcomes(&mut self) {
        let lost = self.gateway.lost_outcomes();
        let (ranked, node) = (&mut self.ranked, self.node);
        let rank_of = |service: &ServiceName| ranked.rank(service, node);
        for (order, state) in self.lost_outcomes.due(Clock.now(), lost, rank_of) {
            if self.writes.start(&order, state) {
                log::info!(service = order.service.as_str(), target = order.target.as_str(), state = state.label(); "roll-out: its outcome was lost, and is written again");
            }
        }
    }

    /// Completes orders for versions that are already the only ones of their services.
    fn complete_settled(&mut self) {
        let Some(orders) = self.gateway.current_roll_outs() else {
            return;
        };
        let open = orders
            .orders
            .values()
            .filter(|order| !order.state.is_final());
        for order in open {
            let is_settled = self.gateway.service(&order.service).versions().is_settled();
            let is_first = self.ranked.rank(&order.service, self.node) == Some(0);
            if is_settled && is_first && self.writes.start(order, RollOutState::Completed) {
                log::info!(service = order.service.as_str(), target = order.target.as_str(); "roll-out: the service runs this version alone already");
            }
        }
    }

    fn on_evaluation(&mut self, now: Moment, mut evaluation: TrialEvaluation) {
        for (node, grant) in std::mem::take(&mut evaluation.grants) {
            self.answer(now, node, grant);
        }
        if evaluation.is_new_stage {
            log_counts(&evaluation, "stage", "another stage of the trial");
        }
        if let Some(wait) = evaluation.new_shift_wait {
            log_counts(&evaluation, wait.label(), "the shift waits");
        }
        if let Some((conclusion, reason)) = evaluation.write {
            return self.conclude(&evaluation, conclusion, reason);
        }
        if evaluation.is_beginning {
            self.writes
                .start(&evaluation.roll_out, RollOutState::Running);
        }
        if evaluation.needs_source {
            self.check.read(now, &evaluation.roll_out);
        }
    }

    fn conclude(
        &mut self,
        evaluation: &TrialEvaluation,
        conclusion: Conclusion,
        reason: ConclusionReason,
    ) {
        let wanted = match conclusion {
            Conclusion::Complete => RollOutState::Completed,
            Conclusion::RollBack => RollOutState::RolledBack,
        };
        if !self.writes.start(&evaluation.roll_out, wanted) {
            return;
        }
        self.metrics.on_conclusion(conclusion, reason);
        log_counts(evaluation, reason.label(), conclusion_label(conclusion));
    }

    fn on_ended_write(&mut self, ended: EndedWrite) {
        let EndedWrite {
            roll_out,
            wanted,
            end,
        } = ended;
        self.metrics.on_state(wanted, end.label());
        log::info!(service = roll_out.service.as_str(), state = wanted.label(), end = end.label(); "writing of a roll-out ended");
        match end {
            StateWriteEnd::Confirmed(changed_at) => self.judge.on_current(&RollOut {
                state: wanted,
                changed_at,
                ..roll_out
            }),
            StateWriteEnd::Expired => self.writes.forget(&roll_out),
            StateWriteEnd::EndedAs(_) | StateWriteEnd::Replaced | StateWriteEnd::Gone => {}
        }
    }
}
