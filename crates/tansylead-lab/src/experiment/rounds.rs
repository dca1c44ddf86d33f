//! Runs scenarios: every variant in turn, several rounds, and reports each scenario when its
//! rounds are over.

use crate::experiment::figures::{self, Figure, RunContext};
use crate::experiment::file::{ExperimentFile, Fault, Scenario, Shape, Variant};
use crate::experiment::plot::{self, BySecond, ScenarioPlot};
use crate::experiment::report::{self, VariantReport};
use crate::experiment::run::{self, RunOrder, RunResult};
use crate::experiment::shape;
use eyre::WrapErr;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;
use tansylead_types::ServiceName;

/// Complaints kept for each variant.
const MAXIMUM_COMPLAINTS: usize = 5;

/// Runs all scenarios of a file on all their shapes.
pub async fn run_all(file: &ExperimentFile, plots: &Path) -> eyre::Result<Vec<VariantReport>> {
    let started = Instant::now();
    let mut reports = Vec::new();
    for scenario in &file.scenarios {
        for shape in &file.shapes {
            if scenario.shapes.contains(&shape.name) {
                reports.extend(run_scenario(file, scenario, shape, plots).await?);
                println!("({:.0} s so far)\n", started.elapsed().as_secs_f64());
            }
        }
    }
    Ok(reports)
}

/// What the rounds of one variant gave so far.
struct VariantRounds {
    variant: Variant,
    rounds: Vec<Vec<Figure>>,
    by_second: BySecond,
    reasons: BTreeMap<String, u64>,
    complaints: Vec<String>,
}

impl VariantRounds {
    fn new(variant: Variant) -> Self {
        Self {
            variant,
            rounds: Vec::new(),
            by_second: BySecond::new(),
            reasons: BTreeMap::new(),
            complaints: Vec::new(),
        }
    }

    fn add(&mut self, result: &RunResult, figures: Vec<Figure>) {
        self.rounds.push(figures);
        for (second, totals) in result.recorder.by_second() {
            self.by_second.entry(*second).or_default().merge(totals);
        }
        for (reason, count) in result.recorder.reasons() {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
        self.complaints
            .extend_from_slice(result.recorder.complaints());
        self.complaints.truncate(MAXIMUM_COMPLAINTS);
    }
}

async fn run_scenario(
    file: &ExperimentFile,
    scenario: &Scenario,
    shape: &Shape,
    plots: &Path,
) -> eyre::Result<Vec<VariantReport>> {
    let variants = &scenario.variants;
    println!(
        "{}",
        report::heading(&scenario.title, &shape.name, variants, file.rounds)
    );
    let mut collected: Vec<VariantRounds> = variants
        .iter()
        .map(|variant| VariantRounds::new(*variant))
        .collect();
    for round in 0..file.rounds {
        for turn in 0..collected.len() {
            // The variant that goes first changes with every round.
            let index = (turn + round as usize) % collected.len();
            let rounds = &mut collected[index];
            let order = RunOrder {
                file,
                shape,
                scenario,
                variant: rounds.variant,
                round,
            };
            run_once(order, rounds).await?;
        }
    }
    write_plot(scenario, shape, &collected, plots)?;
    let reports: Vec<VariantReport> = collected
        .iter()
        .map(|rounds| variant_report(scenario, shape, rounds))
        .collect();
    println!("{}", report::table(&reports));
    for report in &reports {
        for (reason, count) in &report.reasons {
            println!("- {}: {count} answers: {reason}", report.variant);
        }
    }
    for complaint in reports.iter().flat_map(|report| &report.complaints) {
        println!("- {complaint}");
    }
    Ok(reports)
}

async fn run_once(order: RunOrder<'_>, rounds: &mut VariantRounds) -> eyre::Result<()> {
    let (scenario, shape) = (&order.scenario.name, &order.shape.name);
    let name = format!(
        "{scenario}-{shape}-{}-{}",
        order.variant.name(),
        order.round
    );
    let result = run::run(order)
        .await
        .wrap_err_with(|| format!("run {name}"))?;
    let services: Vec<ServiceName> = order
        .shape
        .services
        .iter()
        .map(|service| service.name.clone())
        .collect();
    let limit = shape::limit_of_all(order.shape, order.scenario);
    let figures = figures::figures_of_run(
        &result.recorder,
        &result.system,
        &RunContext {
            measured: order.file.measured(order.scenario),
            fault_at: order.scenario.fault.as_ref().and_then(Fault::at),
            services: &services,
            limit_per_second: order.scenario.limit.map(|_| limit),
        },
    );
    rounds.add(&result, figures);
    Ok(())
}

fn write_plot(
    scenario: &Scenario,
    shape: &Shape,
    collected: &[VariantRounds],
    plots: &Path,
) -> eyre::Result<()> {
    let variants: Vec<(Variant, BySecond)> = collected
        .iter()
        .map(|rounds| (rounds.variant, rounds.by_second.clone()))
        .collect();
    let title = format!("{} [{}]", scenario.title, shape.name);
    let plot = ScenarioPlot {
        title: &title,
        variants: &variants,
        fault_at: scenario.fault.as_ref().and_then(Fault::at),
    };
    let path = plots.join(report::plot_name(&scenario.name, &shape.name));
    plot::write(&path, &plot)?;
    Ok(())
}

fn variant_report(scenario: &Scenario, shape: &Shape, rounds: &VariantRounds) -> VariantReport {
    VariantReport {
        scenario: scenario.name.clone(),
        shape: shape.name.clone(),
        variant: rounds.variant.name(),
        rounds: u32::try_from(rounds.rounds.len()).unwrap_or(u32::MAX),
        figures: figures::over_rounds(&rounds.rounds),
        reasons: rounds.reasons.clone(),
        complaints: rounds.complaints.clone(),
    }
}
