//! Many roll-outs, several at once in one deployment, to measure how they end.

use crate::deployment::{Deployment, DeploymentPlan};
use crate::roll_out_plan::RollOutPlan;
use crate::routes::further_service;
use crate::seen_roll_out::SeenRollOut;
use crate::soak::draw::draw;
use crate::soak::inject::inject;
use crate::soak::roll_outs::spoil;
use crate::soak::{BUDGET, DRAIN_LIMIT, START_LIMIT};
use crate::traffic::Traffic;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Callers of a deployment: about 40 requests a second to each of six services.
const CALLERS: usize = 24;
/// Traffic before the first order.
const LEAD: Duration = Duration::from_millis(1_500);
/// Most time between two orders, in milliseconds.
const STAGGER_MILLIS: u64 = 300;
/// Durations of the orders, in milliseconds.
const DURATION_MILLIS: std::ops::Range<u64> = 4_000..8_000;
/// Time after the last deadline in which late ends are still seen.
const LATE: Duration = Duration::from_millis(2_000);
/// One deployment in so many gets faults, where they are wanted.
const FAULTY_ONE_IN: u64 = 3;

/// What is to be played.
#[derive(Debug, Clone)]
pub struct RunsPlan {
    /// Deployments; the number of further services is that of roll-outs at once.
    pub deployment: DeploymentPlan,
    /// Roll-outs.
    pub runs: usize,
    /// Seed of the first deployment; the others have the next ones.
    pub seed: u64,
    /// A third of the deployments gets faults.
    pub with_faults: bool,
    /// Deployments at a time.
    pub deployments_at_once: usize,
}

/// What one deployment showed.
#[derive(Debug)]
pub struct RunsReport {
    /// Seed.
    pub seed: u64,
    /// Roll-outs.
    pub roll_outs: Vec<SeenRollOut>,
    /// Faults in order.
    pub faults: Vec<String>,
    /// Promises broken.
    pub violations: Vec<String>,
    /// Settings and logs; kept if a promise was broken or a roll-out did not end as it should.
    pub folder: Option<PathBuf>,
}

/// Plays all roll-outs; `tell` is given each report as it comes.
pub async fn run(
    plan: &RunsPlan,
    mut tell: impl FnMut(&RunsReport),
) -> io::Result<Vec<RunsReport>> {
    let services = plan.deployment.further_services.max(1);
    let deployments = plan.runs.div_ceil(services) as u64;
    let mut playing = JoinSet::new();
    let mut reports = Vec::new();
    for number in 0..deployments {
        if playing.len() >= plan.deployments_at_once.max(1) {
            take(&mut playing, &mut reports, &mut tell).await?;
        }
        let is_faulty = plan.with_faults && number % FAULTY_ONE_IN == 0;
        let seed = plan.seed + number;
        playing.spawn(play(plan.deployment.clone(), seed, is_faulty));
    }
    while !playing.is_empty() {
        take(&mut playing, &mut reports, &mut tell).await?;
    }
    Ok(reports)
}

async fn take(
    playing: &mut JoinSet<io::Result<RunsReport>>,
    reports: &mut Vec<RunsReport>,
    tell: &mut impl FnMut(&RunsReport),
) -> io::Result<()> {
    if let Some(played) = playing.join_next().await {
        let report = played.map_err(io::Error::other)??;
        tell(&report);
        reports.push(report);
    }
    Ok(())
}

/// One deployment, all of whose further services are rolled out at once.
async fn play(plan: DeploymentPlan, seed: u64, is_faulty: bool) -> io::Result<RunsReport> {
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
    tokio::time::sleep(LEAD).await;
    let mut deadline = Instant::now();
    for number in 0..plan.further_services {
        let duration = Duration::from_millis(random.random_range(DURATION_MILLIS));
        let good = RollOutPlan::good(&further_service(number), "v2", duration);
        deployment.roll_out(&spoil(&mut random, good)).await?;
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
    tokio::time::sleep(deadline.saturating_duration_since(Instant::now()) + LATE).await;
    traffic.stop().await;
    violations.extend(deployment.oracle.violations(DRAIN_LIMIT, BUDGET));
    let roll_outs = deployment.oracle.roll_outs();
    let is_sound = violations.is_empty() && roll_outs.iter().all(SeenRollOut::is_duty_done);
    let folder = (!is_sound).then(|| deployment.keep_folder());
    Ok(RunsReport {
        seed,
        roll_outs,
        faults,
        violations,
        folder,
    })
}
