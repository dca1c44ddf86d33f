//! The experiment file: shapes of deployments, scenarios and how often to run them.
//!
//! Unknown keys are refused, and errors name the file and the value at fault.

use crate::process::daemon_command::{BASELINE_VARIANT, PRODUCT_VARIANT};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;
use tansylead_types::{PlaceName, ServiceName, StepError};

/// A whole experiment file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// Seed of arrival times; round `n` uses `seed + n` for every variant alike.
    pub seed: u64,
    /// How often every scenario is run with each of its variants.
    pub rounds: u32,
    /// Load that is sent but not counted, at the start of every run.
    pub warm_up_seconds: u64,
    /// Counted part of every run.
    pub measured_seconds: u64,
    /// Deployments.
    #[serde(rename = "shape")]
    pub shapes: Vec<Shape>,
    /// What is run on them.
    #[serde(rename = "scenario")]
    pub scenarios: Vec<Scenario>,
    /// What the product should reach.
    #[serde(rename = "aim", default)]
    pub aims: Vec<Aim>,
    /// How to measure the tier's own cost; not measured if absent.
    #[serde(default)]
    pub cost: Option<CostPlan>,
}

/// A bound on a figure of the product in one scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Aim {
    /// The aim in words.
    pub text: String,
    /// Scenario.
    pub scenario: String,
    /// Figure; `*` at the start stands for anything, so `*.p99_ms` is every service's.
    pub figure: String,
    /// If present, the bound is on the ratio of medians to this scenario on the same shape.
    #[serde(default)]
    pub relative_to: Option<String>,
    /// Upper bound.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Lower bound.
    #[serde(default)]
    pub at_least: Option<f64>,
}

/// Load by which the tier's own cost is measured: a service of one shard and one of many.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CostPlan {
    /// Length of each phase.
    pub phase_seconds: u64,
    /// Attempts per second of each phase.
    pub attempts_per_second: f64,
    /// Idle connections opened to one daemon.
    pub connections: u32,
    /// The service of one shard.
    pub single: ServiceShape,
    /// The service of many shards.
    pub wide: ServiceShape,
}

impl ExperimentFile {
    /// Counted part of a run.
    pub fn measured(&self, scenario: &Scenario) -> Duration {
        Duration::from_secs(scenario.measured_seconds.unwrap_or(self.measured_seconds))
    }

    /// Part of every run that is not counted.
    pub fn warm_up(&self) -> Duration {
        Duration::from_secs(self.warm_up_seconds)
    }

    /// Whole length of a run.
    pub fn run_length(&self, scenario: &Scenario) -> Duration {
        self.warm_up() + self.measured(scenario)
    }
}

/// A deployment at reduced scale.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Name used by scenarios.
    pub name: String,
    /// Places; each holds leafs of every service.
    pub places: Vec<PlaceName>,
    /// Daemons in each place, each in a zone of its own.
    pub daemons_per_place: u16,
    /// Services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceShape>,
}

/// A service of a shape, the same in every place.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShape {
    /// Name.
    pub name: ServiceName,
    /// Leafs in each place.
    pub leafs: u32,
    /// Slots of each leaf.
    pub slots: u32,
    /// Connections each leaf accepts.
    pub connections: u32,
    /// Shards of the index; every query addresses all of them.
    pub shards: u32,
    /// Leafs that hold each shard.
    pub replicas: u32,
    /// Median time a leaf works on one attempt.
    pub median_millis: f64,
    /// 99th percentile of that time without stragglers.
    pub p99_millis: f64,
    /// Deadline of every query.
    pub deadline_millis: u64,
}

impl ServiceShape {
    /// Queries per second that would keep every slot of one place busy.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.leafs * self.slots);
        let slot_seconds_per_query = f64::from(self.shards) * self.mean_millis() / 1_000.0;
        slots / slot_seconds_per_query
    }

    /// Mean of the log-normal distribution with this median and 99th percentile.
    pub fn mean_millis(&self) -> f64 {
        let sigma = (self.p99_millis / self.median_millis).ln() / STANDARD_NORMAL_P99;
        self.median_millis * (sigma * sigma / 2.0).exp()
    }
}

/// 99th percentile of the standard normal distribution.
pub const STANDARD_NORMAL_P99: f64 = 2.326_347_9;

/// One experiment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, unique in the file.
    pub name: String,
    /// One line for the report.
    pub title: String,
    /// Shapes it runs on.
    pub shapes: Vec<String>,
    /// Variants that run interleaved on the same seeds.
    pub variants: Vec<Variant>,
    /// Counted part of the run, if it differs from the file's.
    #[serde(default)]
    pub measured_seconds: Option<u64>,
    /// Offered load as a share of all slots.
    pub load: f64,
    /// Limit of the table as a share of all slots; no limit if absent.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Share of attempts that straggle, in per cent.
    #[serde(default)]
    pub stragglers_percent: f64,
    /// A straggling attempt takes this many times its normal time.
    #[serde(default = "default_straggler_factor")]
    pub straggler_factor: f64,
    /// What goes wrong, if anything.
    #[serde(default)]
    pub fault: Option<Fault>,
}

fn default_straggler_factor() -> f64 {
    10.0
}

/// Policy under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// The product as it ships.
    Product,
    /// The same program with random replica choice, no hedging and no ejection.
    Baseline,
}

impl Variant {
    /// The word used on command lines and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Variant::Product => PRODUCT_VARIANT,
            Variant::Baseline => BASELINE_VARIANT,
        }
    }
}

/// What goes wrong and when, counted from the start of the run (warm-up included).
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The first leaf of the first place hangs: it accepts work and never answers.
    FreezeLeaf {
        /// When.
        at_seconds: u64,
    },
    /// The first leaf of the first place is lost: connections are cut and refused.
    LoseLeaf {
        /// When.
        at_seconds: u64,
    },
    /// A new index version with more shards is published; the old one goes away later.
    Repartition {
        /// When the new version is published.
        at_seconds: u64,
        /// When the leafs drop the old version.
        drop_old_at_seconds: u64,
    },
    /// Every daemon in turn is stopped by SIGTERM and started again at the same address.
    RollingRestart {
        /// When the first one is stopped.
        at_seconds: u64,
    },
    /// The store answers nothing from before the load starts until the end.
    StoreDown,
    /// The weight of the first place moves to the others, and the callers move as well.
    MoveWeights {
        /// When the table changes.
        at_seconds: u64,
    },
}

impl Fault {
    /// When it happens, for the mark in the plot; none if it lasts the whole run.
    pub fn at(&self) -> Option<Duration> {
        let seconds = match self {
            Fault::FreezeLeaf { at_seconds }
            | Fault::LoseLeaf { at_seconds }
            | Fault::Repartition { at_seconds, .. }
            | Fault::RollingRestart { at_seconds }
            | Fault::MoveWeights { at_seconds } => *at_seconds,
            Fault::StoreDown => return None,
        };
        Some(Duration::from_secs(seconds))
    }
}

/// Reads and checks an experiment file.
pub fn read(path: &Path) -> Result<ExperimentFile, StepError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| StepError::new("read experiment file", path.display(), error))?;
    parse(&text).map_err(|cause| StepError::new("check experiment file", path.display(), cause))
}

/// Parses and checks the text of an experiment file; the error is for people.
pub fn parse(text: &str) -> Result<ExperimentFile, String> {
    let file: ExperimentFile = toml::from_str(text).map_err(|error| error.to_string())?;
    check_counts(&file)?;
    file.shapes.iter().try_for_each(check_shape)?;
    check_scenarios(&file)?;
    file.aims.iter().try_for_each(|aim| check_aim(&file, aim))?;
    Ok(file)
}

fn check_counts(file: &ExperimentFile) -> Result<(), String> {
    if file.rounds == 0 || file.measured_seconds == 0 {
        return Err("`rounds` and `measured_seconds` must be at least 1".to_owned());
    }
    Ok(())
}

fn check_shape(shape: &Shape) -> Result<(), String> {
    let name = &shape.name;
    if shape.places.is_empty() || shape.services.is_empty() || shape.daemons_per_place == 0 {
        return Err(format!(
            "shape `{name}`: needs at least one place, one service and one daemon in each place"
        ));
    }
    for service in &shape.services {
        let label = format!("shape `{name}`, service `{}`", service.name);
        if service.replicas == 0 || service.replicas > service.leafs {
            let (replicas, leafs) = (service.replicas, service.leafs);
            return Err(format!(
                "{label}: `replicas` is {replicas}, must be 1 to the number of leafs ({leafs})"
            ));
        }
        if service.shards == 0 || service.slots == 0 {
            return Err(format!("{label}: `shards` and `slots` must be at least 1"));
        }
        if service.median_millis <= 0.0 || service.p99_millis <= service.median_millis {
            return Err(format!(
                "{label}: needs `median_millis` above 0 and `p99_millis` above `median_millis`"
            ));
        }
    }
    Ok(())
}

fn check_scenarios(file: &ExperimentFile) -> Result<(), String> {
    let shapes: BTreeSet<&str> = file
        .shapes
        .iter()
        .map(|shape| shape.name.as_str())
        .collect();
    let mut names = BTreeSet::new();
    for scenario in &file.scenarios {
        let name = &scenario.name;
        let run_seconds = file.run_length(scenario).as_secs();
        if !names.insert(name) {
            return Err(format!("scenario `{name}` stands twice"));
        }
        let unknown = scenario
            .shapes
            .iter()
            .find(|shape| !shapes.contains(shape.as_str()));
        if let Some(shape) = unknown {
            return Err(format!("scenario `{name}`: there is no shape `{shape}`"));
        }
        if scenario.load <= 0.0 || scenario.load.is_nan() {
            return Err(format!("scenario `{name}`: `load` must be above 0"));
        }
        let fault_at = scenario.fault.as_ref().and_then(Fault::at);
        if fault_at.is_some_and(|at| at.as_secs() >= run_seconds) {
            return Err(format!(
                "scenario `{name}`: the fault is set after the end of the run ({run_seconds} s)"
            ));
        }
    }
    Ok(())
}

fn check_aim(file: &ExperimentFile, aim: &Aim) -> Result<(), String> {
    let text = &aim.text;
    let mut named = std::iter::once(&aim.scenario).chain(&aim.relative_to);
    let is_known = |name: &String| file.scenarios.iter().any(|scenario| scenario.name == *name);
    if let Some(unknown) = named.find(|name| !is_known(name)) {
        return Err(format!("aim `{text}`: there is no scenario `{unknown}`"));
    }
    if aim.at_most.is_some() == aim.at_least.is_some() {
        return Err(format!(
            "aim `{text}`: needs one of `at_most` and `at_least`"
        ));
    }
    Ok(())
}
