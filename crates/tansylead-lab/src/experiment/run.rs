//! One run: a fresh cluster, the planned load, the fault, and the figures.

use crate::experiment::cluster::Cluster;
use crate::experiment::fault::{self, LOAD_AFTER_MOVE, LOAD_BEFORE_MOVE};
use crate::experiment::figures::SystemFigures;
use crate::experiment::file::{ExperimentFile, Fault, Scenario, Shape, Variant};
use crate::experiment::usage::{self, MachineTime};
use crate::leaf::LeafCounters;
use crate::load::driver::{LoadPlan, run_load};
use crate::load::recorder::Recorder;
use crate::load::schedule::{RateRamp, Stream, poisson_schedule};
use std::time::Duration;
use tokio::time::Instant;

/// Time between the start of the clock and the first planned query.
const LEAD: Duration = Duration::from_millis(200);

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct RunOrder<'a> {
    /// Whole file.
    pub file: &'a ExperimentFile,
    /// Deployment.
    pub shape: &'a Shape,
    /// Scenario.
    pub scenario: &'a Scenario,
    /// Policy under test.
    pub variant: Variant,
    /// Round, from 0.
    pub round: u32,
}

/// What one run measured.
pub struct RunResult {
    /// As callers saw it.
    pub recorder: Recorder,
    /// As the system saw it.
    pub system: SystemFigures,
}

/// Carries out one run.
pub async fn run(order: RunOrder<'_>) -> eyre::Result<RunResult> {
    let seed = order.file.seed + u64::from(order.round);
    let (shape, scenario) = (order.shape, order.scenario);
    let mut cluster = Cluster::start(shape, scenario, order.variant, seed).await?;
    fault::before_load(&cluster, scenario).await?;
    let plan = load_plan(order, &cluster, seed)?;
    let started = Instant::now() + LEAD;
    let load = tokio::spawn(run_load(plan, started));
    let system = watch_system(order, &mut cluster, started).await?;
    let recorder = load.await?;
    Ok(RunResult { recorder, system })
}

fn load_plan(order: RunOrder<'_>, cluster: &Cluster, seed: u64) -> eyre::Result<LoadPlan> {
    let streams = streams(order.shape, order.scenario);
    let length = order.file.run_length(order.scenario);
    let services = order.shape.services.iter();
    let deadlines: Vec<Duration> = services
        .map(|service| Duration::from_millis(service.deadline_millis))
        .collect();
    Ok(LoadPlan {
        arrivals: poisson_schedule(&streams, length, seed),
        deadlines: (0..streams.len())
            .map(|stream| deadlines[stream % deadlines.len()])
            .collect(),
        streams,
        daemons: cluster.caller_addresses(),
        shard_lists: cluster.shard_lists()?,
        warm_up: order.file.warm_up(),
        run_name: format!("{}-{}", order.variant.name(), order.round),
    })
}

/// One stream for each service in each place, place by place.
fn streams(shape: &Shape, scenario: &Scenario) -> Vec<Stream> {
    let mut streams = Vec::new();
    for (place_index, place) in shape.places.iter().enumerate() {
        for service in &shape.services {
            let rate = scenario.load * service.capacity();
            streams.push(Stream {
                service: service.name.clone(),
                place: place.clone(),
                rate: ramp(scenario, place_index, rate),
            });
        }
    }
    streams
}

fn ramp(scenario: &Scenario, place_index: usize, rate: f64) -> RateRamp {
    let moves = matches!(scenario.fault, Some(Fault::MoveWeights { .. }));
    match (moves, place_index) {
        (true, 0) => RateRamp {
            start: rate * LOAD_BEFORE_MOVE,
            end: rate * LOAD_AFTER_MOVE,
        },
        (true, 1) => RateRamp {
            start: rate * LOAD_AFTER_MOVE,
            end: rate * LOAD_BEFORE_MOVE,
        },
        _ => RateRamp::steady(rate),
    }
}

/// Counts at one point of a run.
struct Reading {
    daemon_cpu: Duration,
    machine: MachineTime,
    leafs: LeafCounters,
}

/// Applies the fault and reads counters at the start and the end of the measured part.
async fn watch_system(
    order: RunOrder<'_>,
    cluster: &mut Cluster,
    started: Instant,
) -> eyre::Result<SystemFigures> {
    tokio::time::sleep_until(started + order.file.warm_up()).await;
    let first = read(cluster).await?;
    let fault_took = fault::during_load(cluster, order.shape, order.scenario, started).await?;
    tokio::time::sleep_until(started + order.file.run_length(order.scenario)).await;
    let last = read(cluster).await?;
    let store = cluster.deployment.store.read_counts().await?;
    let resident = cluster.largest_resident_bytes()?;
    let busy = last.leafs.busy_micros - first.leafs.busy_micros;
    let wasted = last.leafs.wasted_micros - first.leafs.wasted_micros;
    let sheds = last.leafs.refused_overloaded - first.leafs.refused_overloaded;
    Ok(SystemFigures {
        daemon_cpu_seconds: last
            .daemon_cpu
            .saturating_sub(first.daemon_cpu)
            .as_secs_f64(),
        machine_busy: last.machine.busy_share_since(first.machine),
        daemon_resident_bytes: resident as f64,
        fault_millis: fault_took.as_secs_f64() * 1_000.0,
        leaf_runs: (last.leafs.started - first.leafs.started) as f64,
        leaf_busy_millis: busy as f64 / 1_000.0,
        leaf_cancelled_millis: wasted as f64 / 1_000.0,
        leaf_sheds: sheds as f64,
        store_reads: (store.reads + store.watches) as f64,
    })
}

async fn read(cluster: &mut Cluster) -> eyre::Result<Reading> {
    Ok(Reading {
        daemon_cpu: cluster.daemon_cpu()?,
        machine: usage::machine_time()?,
        leafs: cluster.leaf_counters().await?,
    })
}
