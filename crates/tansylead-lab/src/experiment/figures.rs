//! The figures of one run, and their median and spread over rounds.

use crate::experiment::statistics::Spread;
use crate::load::recorder::{Recorder, Totals};
use serde::Serialize;
use std::time::Duration;
use tansylead_types::ServiceName;

/// After a fault, answers have to be complete again within this time.
pub const RECOVERY_AIM: Duration = Duration::from_secs(1);

/// What the processes of one run used, and what the leafs and the store say they did.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SystemFigures {
    /// Processor time of all daemons during the measured part, in seconds.
    pub daemon_cpu_seconds: f64,
    /// Share of the whole machine that was busy, with everything that ran on it.
    pub machine_busy: f64,
    /// Resident memory of the largest daemon at the end, in bytes.
    pub daemon_resident_bytes: f64,
    /// Attempts that leafs started to run.
    pub leaf_runs: f64,
    /// Time leafs spent on attempts that they finished or gave up, in milliseconds.
    pub leaf_busy_millis: f64,
    /// Part of that time spent on attempts that were cancelled.
    pub leaf_cancelled_millis: f64,
    /// Attempts that leafs refused for lack of capacity.
    pub leaf_sheds: f64,
    /// Time it took to carry out the fault, in milliseconds.
    pub fault_millis: f64,
    /// Reads and watches the store had to answer.
    pub store_reads: f64,
}

/// One named figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Name with its unit.
    pub name: String,
    /// Value.
    pub value: f64,
}

/// What the figures of a run are measured against.
#[derive(Debug, Clone, Copy)]
pub struct RunContext<'a> {
    /// Counted part of the run.
    pub measured: Duration,
    /// When the fault happened.
    pub fault_at: Option<Duration>,
    /// Services, in the order of the streams.
    pub services: &'a [ServiceName],
    /// Sum of the table's limits, if the scenario sets limits.
    pub limit_per_second: Option<f64>,
}

/// All figures of one run, in the order of the report.
pub fn figures_of_run(
    recorder: &Recorder,
    system: &SystemFigures,
    context: &RunContext<'_>,
) -> Vec<Figure> {
    let mut figures = caller_figures(recorder, context);
    figures.extend(service_figures(recorder, context.services));
    figures.extend(recovery_figures(recorder, context.fault_at));
    figures.extend(system_figures(recorder, system));
    figures
}

fn figure(name: impl Into<String>, value: f64) -> Figure {
    Figure {
        name: name.into(),
        value,
    }
}

fn caller_figures(recorder: &Recorder, context: &RunContext<'_>) -> Vec<Figure> {
    let goodput = recorder.totals().complete as f64 / context.measured.as_secs_f64();
    let mut figures = vec![figure("goodput_per_second", goodput)];
    if let Some(limit) = context.limit_per_second {
        figures.push(figure("goodput_percent_of_limit", 100.0 * goodput / limit));
    }
    figures.extend(answer_figures(recorder));
    figures
}

fn answer_figures(recorder: &Recorder) -> Vec<Figure> {
    let totals = recorder.totals();
    let served = &totals.served_latency;
    let per_answer = totals.attempts as f64 / totals.served().max(1) as f64;
    vec![
        figure("queries", totals.queries as f64),
        figure("p50_ms", served.quantile_millis(0.5)),
        figure("p99_ms", served.quantile_millis(0.99)),
        figure("p99.9_ms", served.quantile_millis(0.999)),
        figure("coverage_percent", 100.0 * totals.coverage()),
        figure("complete_percent", 100.0 * totals.share_complete()),
        figure("attempts_per_query", per_answer),
        figure("extra_load_percent", 100.0 * totals.extra_load()),
        figure("partial", totals.partial as f64),
        figure("not_run", totals.not_run as f64),
        figure(
            "not_run_without_retry_after",
            not_run_without_hint(recorder),
        ),
        figure(
            "refusal_p50_ms",
            totals.refusal_latency.quantile_millis(0.5),
        ),
        figure(
            "refusal_p99_ms",
            totals.refusal_latency.quantile_millis(0.99),
        ),
        figure("unknown", totals.unknown as f64),
        figure("wrong", totals.wrong as f64),
        figure("rejected", totals.rejected as f64),
        figure("lost", totals.lost as f64),
        figure(
            "generator_lag_p99_ms",
            recorder.generator_lag().quantile_millis(0.99),
        ),
    ]
}

/// Figures of each service; streams repeat the services in the same order for every place.
fn service_figures(recorder: &Recorder, services: &[ServiceName]) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let mut totals = Totals::default();
        for (stream, of_stream) in recorder.by_stream() {
            if stream % services.len() == index {
                totals.merge(of_stream);
            }
        }
        let served = &totals.served_latency;
        figures.extend([
            figure(format!("{service}.p50_ms"), served.quantile_millis(0.5)),
            figure(format!("{service}.p99_ms"), served.quantile_millis(0.99)),
            figure(format!("{service}.p99.9_ms"), served.quantile_millis(0.999)),
            figure(
                format!("{service}.complete_percent"),
                100.0 * totals.share_complete(),
            ),
            figure(
                format!("{service}.extra_load_percent"),
                100.0 * totals.extra_load(),
            ),
        ]);
    }
    figures
}

fn not_run_without_hint(recorder: &Recorder) -> f64 {
    let totals = recorder.totals();
    (totals.not_run - totals.not_run_with_retry_after) as f64
}

fn recovery_figures(recorder: &Recorder, fault_at: Option<Duration>) -> Vec<Figure> {
    let Some(fault_at) = fault_at else {
        return Vec::new();
    };
    let after_fault = || recorder.incomplete().iter().filter(|at| **at >= fault_at);
    let last = after_fault().max().copied().unwrap_or(fault_at);
    let late = after_fault().filter(|at| **at >= fault_at + RECOVERY_AIM);
    vec![
        figure("last_incomplete_after_fault_ms", millis(last - fault_at)),
        figure("incomplete_later_than_1s_after_fault", late.count() as f64),
    ]
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn system_figures(recorder: &Recorder, system: &SystemFigures) -> Vec<Figure> {
    let totals = recorder.totals();
    let micros = system.daemon_cpu_seconds * 1_000_000.0;
    let per_query = micros / totals.queries.max(1) as f64;
    let per_attempt = micros / totals.attempts.max(1) as f64;
    let wasted = 100.0 * system.leaf_cancelled_millis / system.leaf_busy_millis.max(1.0);
    vec![
        figure("fault_took_ms", system.fault_millis),
        figure("leaf_runs", system.leaf_runs),
        figure("wasted_work_percent", wasted),
        figure("leaf_sheds", system.leaf_sheds),
        figure("store_reads", system.store_reads),
        figure("daemon_cpu_per_query_us", per_query),
        figure("daemon_cpu_per_attempt_us", per_attempt),
        figure(
            "daemon_resident_mib",
            system.daemon_resident_bytes / 1_048_576.0,
        ),
        figure("machine_busy_percent", 100.0 * system.machine_busy),
    ]
}

/// One figure over all rounds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FigureSpread {
    /// Name with its unit.
    pub name: String,
    /// Median and extremes.
    #[serde(flatten)]
    pub spread: Spread,
}

/// Summarizes the same figures of several rounds.
pub fn over_rounds(rounds: &[Vec<Figure>]) -> Vec<FigureSpread> {
    let Some(first) = rounds.first() else {
        return Vec::new();
    };
    let spread_of = |name: &String| {
        let values = rounds
            .iter()
            .flatten()
            .filter(|figure| figure.name == *name)
            .map(|figure| figure.value);
        Spread::of(values).map(|spread| FigureSpread {
            name: name.clone(),
            spread,
        })
    };
    first
        .iter()
        .filter_map(|figure| spread_of(&figure.name))
        .collect()
}
