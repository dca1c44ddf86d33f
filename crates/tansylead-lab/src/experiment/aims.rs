//! Aims of an experiment file, judged on the reports.
//!
//! An aim names a figure of the product in one scenario. Relative aims compare medians with
//! another scenario on the same shape; absolute ones look at the worst round.

use crate::experiment::file::{Aim, Variant};
use crate::experiment::report::VariantReport;
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;

/// One aim on one shape, as measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Judgement {
    /// Aim in words.
    pub aim: String,
    /// Shape.
    pub shape: String,
    /// Figure looked at.
    pub figure: String,
    /// Value, or ratio if the aim is relative.
    pub value: f64,
    /// Bound.
    pub bound: f64,
    /// Whether the aim is met.
    pub met: bool,
}

/// Judges all aims for which there are reports.
pub fn judge(aims: &[Aim], reports: &[VariantReport]) -> Vec<Judgement> {
    let mut judgements = Vec::new();
    for aim in aims {
        for report in reports {
            let is_product = report.variant == Variant::Product.name();
            if is_product && report.scenario == aim.scenario {
                judgements.extend(judge_report(aim, report, reports));
            }
        }
    }
    judgements
}

fn judge_report(aim: &Aim, report: &VariantReport, all: &[VariantReport]) -> Vec<Judgement> {
    let figures = report.figures.iter();
    figures
        .filter(|figure| matches(&aim.figure, &figure.name))
        .filter_map(|figure| {
            let value = value(aim, report, all, &figure.name)?;
            let (bound, met) = match (aim.at_most, aim.at_least) {
                (Some(bound), _) => (bound, value <= bound),
                (None, Some(bound)) => (bound, value >= bound),
                (None, None) => return None,
            };
            Some(Judgement {
                aim: aim.text.clone(),
                shape: report.shape.clone(),
                figure: figure.name.clone(),
                value,
                bound,
                met,
            })
        })
        .collect()
}

/// Whether a name is the pattern; `*` at the start of the pattern stands for anything.
fn matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_prefix('*') {
        Some(end) => name.ends_with(end),
        None => name == pattern,
    }
}

fn value(aim: &Aim, report: &VariantReport, all: &[VariantReport], name: &str) -> Option<f64> {
    let figure = report.figure(name)?;
    let Some(other_scenario) = &aim.relative_to else {
        let worst_is_high = aim.at_most.is_some();
        let spread = figure.spread;
        return Some(if worst_is_high {
            spread.highest
        } else {
            spread.lowest
        });
    };
    let other = all.iter().find(|other| {
        other.scenario == *other_scenario
            && other.shape == report.shape
            && other.variant == report.variant
    })?;
    let other_median = other.figure(name)?.spread.median;
    (other_median > 0.0).then(|| figure.spread.median / other_median)
}

/// All judgements as a table.
pub fn table(judgements: &[Judgement]) -> String {
    let mut builder = Builder::default();
    builder.push_record(["aim", "shape", "figure", "value", "bound", "met"]);
    for judgement in judgements {
        builder.push_record([
            judgement.aim.clone(),
            judgement.shape.clone(),
            judgement.figure.clone(),
            format!("{:.2}", judgement.value),
            judgement.bound.to_string(),
            if judgement.met { "yes" } else { "NO" }.to_owned(),
        ]);
    }
    builder.build().with(Style::markdown()).to_string()
}
