//! Runs many roll-outs, several at once in each deployment, and reports how they end.

use crate::deployment::{Deployment, DeploymentPlan};
use crate::roll_out_plan::RollOutPlan;
use crate::routes::further_service;
use crate::seen_roll_out::SeenRollOut;
use crate::soak::draw::draw;
use crate::soak::inject::inject;
use crate::soak::roll_outs::draw_defect;
use crate::soak::{BUDGET, DRAIN_LIMIT, START_LIMIT};
use crate::traffic::Traffic;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Callers of a deployment; they send about 40 requests per second to each of six services.
const CALLERS: usize = 24;
/// Duration of the traffic before the first order.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Maximum time between two orders, in milliseconds.
const STAGGER_MILLIS: u64 = 300;
/// Durations of the orders, in milliseconds.
const DURATION_MILLIS: std::ops::Range<u64> = 4_000..8_000;
/// Time after the last deadline in which late ends are still observed.
const LATE_END_WINDOW: Duration = Duration::from_millis(2_000);
/// With faults enabled, one deployment in this many gets them.
const DEPLOYMENTS_PER_FAULTY: u64 = 3;

/// Settings of the runs.
#[derive(Debug, Clone)]
pub struct RunsPlan {
    /// Settings of each deployment; every further service is rolled out, all of them at once.
    pub deployment: DeploymentPlan,
    /// Number of roll-outs.
    pub runs: usize,
    /// Seed of the first deployment; the others have the next ones.
    pub seed: u64,
    /// Whether a third of the deployments gets faults.
    pub with_faults: bool,
    /// Number of deployments that run at a time.
    pub deployments_at_once: usize,
}

/// Report of one deployment.
#[derive(Debug)]
pub struct RunsReport {
    /// Seed.
    pub seed: u64,
    /// Roll-outs.
    pub roll_outs: Vec<SeenRollOut>,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Folder of settings and logs; kept if a guarantee was violated or a roll-out did not end as required.
    pub folder: Option<PathBuf>,
}

/// Runs all roll-outs; calls `on_report` with each report as soon as it is complete.
pub async fn run(
    plan: &RunsPlan,
    mut on_report: impl FnMut(&RunsReport),
) -> io::Result<Vec<RunsReport>> {
    let services = plan.deployment.further_services.max(1);
    let deployments = plan.runs.div_ceil(services) as u64;
    let mut running = JoinSet::new();
    let mut reports = Vec::new();
    for number in 0..deployments {
        if running.len() >= plan.deployments_at_once.max(1) {
            collect_report(&mut running, &mut reports, &mut on_report).await?;
        }
        let is_faulty = plan.with_faults && number % DEPLOYMENTS_PER_FAULTY == 0;
        let seed = plan.seed + number;
        running.spawn(run_deployment(plan.deployment.clone(), seed, is_faulty));
    }
    while !running.is_empty() {
        collect_report(&mut running, &mut reports, &mut on_report).await?;
    }
    Ok(reports)
}

async fn collect_report(
    running: &mut JoinSet<io::Result<RunsReport>>,
    reports: &mut Vec<RunsReport>,
    on_report: &mut impl FnMut(&RunsReport),
) -> io::Result<()> {
    if let Some(finished) = running.join_next().await {
        let report = finished.map_err(io::Error::other)??;
        on_report(&report);
        reports.push(report);
    }
    Ok(())
}

/// Runs one deployment and rolls out all of its further services at once.
async fn run_deployment(
    plan: DeploymentPlan,
    seed: u64,
    is_faulty: bool,
) -> io::Result<RunsReport> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(&plan).await?;
    let mut violations = Vec::new();
    if !deployment.wait_until_ready(START_LIMIT).await {
        violations.push("START: a daemon did not become ready".to_owned());
    }
    let traffic = Traffic::start(
        CALLERS,
        &deployment.caller_addresses(),
        &deployment.routes,
        &deployment.oracle,
        seed,
    );
    tokio::time::sleep(WARM_UP).await;
    let mut deadline = Instant::now();
    for number in 0..plan.further_services {
        let duration = Duration::from_millis(random.random_range(DURATION_MILLIS));
        let good = RollOutPlan::good(&further_service(number), "v2", duration);
        deployment.roll_out(&draw_defect(&mut random, good)).await?;
        deadline = deadline.max(Instant::now() + duration);
        let pause = Duration::from_millis(random.random_range(0..STAGGER_MILLIS));
        tokio::time::sleep(pause).await;
    }
    let mut faults = Vec::new();
    while is_faulty && Instant::now() < deadline {
        let fault = draw(&mut random);
        faults.push(format!("{fault:?}"));
        inject(&mut deployment, fault, &mut random, &mut violations).await?;
        let pause = Duration::from_millis(random.random_range(200..1_500));
        tokio::time::sleep(pause).await;
    }
    tokio::time::sleep(deadline.saturating_duration_since(Instant::now()) + LATE_END_WINDOW).await;
    traffic.stop().await;
    violations.extend(deployment.oracle.violations(DRAIN_LIMIT, BUDGET));
    let roll_outs = deployment.oracle.roll_outs();
    let is_clean = violations.is_empty() && roll_outs.iter().all(SeenRollOut::is_as_required);
    let folder = (!is_clean).then(|| deployment.keep_folder());
    Ok(RunsReport {
        seed,
        roll_outs,
        faults,
        violations,
        folder,
    })
}
