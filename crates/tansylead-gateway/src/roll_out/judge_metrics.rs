//! Counters of reports, grants, trials, conclusions and their writes.

use prometheus::core::Collector;
use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry};
use tansylead_route::{Conclusion, ConclusionReason, RollOutState, Stage};

/// Kinds of messages about roll-outs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// To a judge.
    Report,
    /// From a judge.
    Grant,
}

impl MessageKind {
    fn label(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Grant => "grant",
        }
    }
}

/// The outcome of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageOutcome {
    /// Handed to the socket, or to the judge of this daemon.
    Sent,
    /// Accepted.
    Received,
    /// This daemon is no judge of the service.
    NotJudge,
    /// The order is not known here, or has ended.
    UnknownOrder,
    /// It answers no recent report.
    Late,
    /// A newer one came before.
    Superseded,
    /// It came right after a pause of this process, and may be old.
    AfterPause,
}

impl MessageOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
            Self::NotJudge => "not_judge",
            Self::UnknownOrder => "unknown_order",
            Self::Late => "late",
            Self::Superseded => "superseded",
            Self::AfterPause => "after_pause",
        }
    }
}

/// Stages with a gauge.
const STAGES: [Stage; 4] = [Stage::Trial, Stage::Shift, Stage::Commit, Stage::RollBack];

/// Name of a conclusion, for logs and metrics.
pub fn conclusion_label(conclusion: Conclusion) -> &'static str {
    match conclusion {
        Conclusion::Complete => "complete",
        Conclusion::RollBack => "roll_back",
    }
}

/// The counters.
#[derive(Debug)]
pub struct JudgeMetrics {
    messages: IntCounterVec,
    overflowed: IntCounter,
    routes_left_out: IntCounter,
    judge_changes: IntCounter,
    trials: IntGaugeVec,
    conclusions: IntCounterVec,
    states: IntCounterVec,
}

impl JudgeMetrics {
    /// Counters at zero, registered with `registry`.
    pub fn new(registry: &Registry) -> Self {
        Self {
            messages: counters(
                registry,
                "tansylead_roll_out_messages_total",
                "Reports and grants of roll-outs by what became of them",
                &["kind", "fate"],
            ),
            overflowed: counter(
                registry,
                "tansylead_roll_out_messages_overflowed_total",
                "Reports and grants dropped because too many waited",
            ),
            routes_left_out: counter(
                registry,
                "tansylead_roll_out_routes_left_out_total",
                "Routes left out of reports that were too long",
            ),
            judge_changes: counter(
                registry,
                "tansylead_roll_out_judge_changes_total",
                "Changes of the judge that this daemon follows",
            ),
            trials: stage_gauges(registry),
            conclusions: counters(
                registry,
                "tansylead_roll_out_conclusions_total",
                "Conclusions of this daemon's trials by reason",
                &["conclusion", "reason"],
            ),
            states: counters(
                registry,
                "tansylead_roll_out_states_total",
                "States that were to be brought into the source, by how that ended",
                &["state", "end"],
            ),
        }
    }

    /// Counts messages.
    pub fn on_message(&self, kind: MessageKind, outcome: MessageOutcome) {
        let labels = [kind.label(), outcome.label()];
        self.messages.with_label_values(&labels).inc();
    }

    /// Counts messages that were dropped because too many waited.
    pub fn on_overflow(&self, messages: u64) {
        self.overflowed.inc_by(messages);
    }

    /// Counts routes that were left out of a report.
    pub fn on_routes_left_out(&self, routes: usize) {
        self.routes_left_out.inc_by(routes as u64);
    }

    /// Counts a change of the judge that is followed.
    pub fn on_judge_change(&self) {
        self.judge_changes.inc();
    }

    /// Sets the counts of trials by stage.
    pub fn set_trials(&self, stages: impl Iterator<Item = Stage>) {
        let stages: Vec<Stage> = stages.collect();
        for stage in STAGES {
            let count = stages.iter().filter(|other| **other == stage).count();
            let gauge = self.trials.with_label_values(&[stage.label()]);
            gauge.set(count as i64);
        }
    }

    /// Counts a conclusion of a trial.
    pub fn on_conclusion(&self, conclusion: Conclusion, reason: ConclusionReason) {
        let labels = [conclusion_label(conclusion), reason.label()];
        self.conclusions.with_label_values(&labels).inc();
    }

    /// Counts the end of writing a state to the source.
    pub fn on_state(&self, state: RollOutState, end: &str) {
        self.states.with_label_values(&[state.label(), end]).inc();
    }
}

fn stage_gauges(registry: &Registry) -> IntGaugeVec {
    let options = Opts::new(
        "tansylead_roll_out_trials",
        "Trials that this daemon judges, by stage",
    );
    let gauges = IntGaugeVec::new(options, &["stage"]).expect("constant options are valid");
    register(registry, &gauges);
    gauges
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters =
        IntCounterVec::new(Opts::new(name, help), labels).expect("constant options are valid");
    register(registry, &counters);
    counters
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("constant options are valid");
    register(registry, &counter);
    counter
}

fn register<T: Collector + Clone + 'static>(registry: &Registry, metric: &T) {
    registry
        .register(Box::new(metric.clone()))
        .expect("names are unique");
}
