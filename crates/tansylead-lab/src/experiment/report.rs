//! The report: one table for each scenario, and everything as JSON in the last line.

use crate::experiment::aims::Judgement;
use crate::experiment::cost::CostReport;
use crate::experiment::figures::FigureSpread;
use crate::experiment::file::Variant;
use serde::Serialize;
use std::collections::BTreeMap;
use tabled::builder::Builder;
use tabled::settings::Style;

/// Figures of one variant of one scenario on one shape, over all rounds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct VariantReport {
    /// Scenario.
    pub scenario: String,
    /// Shape.
    pub shape: String,
    /// Variant.
    pub variant: &'static str,
    /// Rounds run.
    pub rounds: u32,
    /// Figures.
    pub figures: Vec<FigureSpread>,
    /// Reasons that answers gave for not being complete, with the number of answers.
    pub reasons: BTreeMap<String, u64>,
    /// First few wrong, rejected and lost queries, in words.
    pub complaints: Vec<String>,
}

impl VariantReport {
    /// A figure by its name.
    pub fn figure(&self, name: &str) -> Option<&FigureSpread> {
        self.figures.iter().find(|figure| figure.name == name)
    }
}

/// A table with a row for each figure and a column for each variant: median and, in brackets,
/// lowest to highest over the rounds.
pub fn table(reports: &[VariantReport]) -> String {
    let mut builder = Builder::default();
    let heading = reports.iter().map(|report| report.variant);
    builder.push_record(std::iter::once("figure").chain(heading));
    let names = reports.first().map(|report| &report.figures).into_iter();
    for name in names.flatten().map(|figure| &figure.name) {
        let cells = reports.iter().map(|report| cell(report, name));
        builder.push_record(std::iter::once(name.clone()).chain(cells));
    }
    builder.build().with(Style::markdown()).to_string()
}

fn cell(report: &VariantReport, name: &str) -> String {
    let Some(figure) = report.figure(name) else {
        return String::new();
    };
    let spread = &figure.spread;
    let (lowest, highest) = (number(spread.lowest), number(spread.highest));
    if lowest == highest {
        return lowest;
    }
    format!("{} ({lowest} to {highest})", number(spread.median))
}

fn number(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}

/// Everything measured, printed as the last line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Experiment file.
    pub file: String,
    /// All variants of all scenarios.
    pub reports: Vec<VariantReport>,
    /// Aims as judged.
    pub aims: Vec<Judgement>,
    /// The tier's own cost, if it was measured.
    pub cost: Option<CostReport>,
}

impl Summary {
    /// Whether any answer broke a promise.
    pub fn has_wrong_answers(&self) -> bool {
        let wrong = |report: &VariantReport| {
            let figure = report.figure("wrong");
            figure.is_some_and(|figure| figure.spread.highest > 0.0)
        };
        self.reports.iter().any(wrong)
    }
}

/// The plain name of a plot's file.
pub fn plot_name(scenario: &str, shape: &str) -> String {
    format!("{scenario}-{shape}.svg")
}

/// One line that says what was compared.
pub fn heading(title: &str, shape: &str, variants: &[Variant], rounds: u32) -> String {
    let names: Vec<&str> = variants.iter().map(|variant| variant.name()).collect();
    format!(
        "## {title} [{shape}]: {}, {rounds} rounds",
        names.join(" and ")
    )
}
