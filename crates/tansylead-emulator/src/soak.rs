//! A randomized soak test of the real daemons under injected faults.
//!
//! The seed determines the order, kinds and places of the faults and the callers' choices, but not
//! the machine's scheduling.

pub(crate) mod churn;
pub(crate) mod crowds;
pub(crate) mod departures;
pub(crate) mod draw;
pub(crate) mod drills;
pub(crate) mod fatal;
pub(crate) mod inject;
pub(crate) mod pinned;
pub(crate) mod roll_outs;
pub(crate) mod suspension;

use crate::arrival_rules::ArrivalBudget;
use crate::daemon::MachineSize;
use crate::deployment::{Deployment, DeploymentPlan};
use crate::oracle::Counts;
use crate::seen_roll_out::SeenRollOut;
use crate::traffic::Traffic;
use churn::Churn;
use crowds::Crowds;
use departures::Departures;
use draw::draw;
use drills::Drills;
use fatal::FatalCaller;
use inject::inject;
use pinned::PinnedCallers;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use roll_outs::RollOutSchedule;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use suspension::Suspensions;
use tokio::time::Instant;

/// Machines of soaks: so small that crowds fill them.
pub const MACHINE: MachineSize = MachineSize {
    memory_megabytes: 64,
    descriptors: 1_500,
};
/// Number of callers.
const CALLERS: usize = 24;
/// Time after its acknowledged announcement from which a leaving leaf must get nothing, with slack
/// for a busy machine.
pub const DRAIN_LIMIT: Duration = Duration::from_millis(3_500);
/// Bound on extra arrivals: the daemons' default settings.
pub const BUDGET: ArrivalBudget = ArrivalBudget {
    ratio: 0.2,
    slack: 20.0,
    window: Duration::from_secs(10),
};
/// Time after the last fault within which everything must be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Time for a daemon to become ready at the start.
pub const START_LIMIT: Duration = Duration::from_secs(20);

/// Report of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Observations of all roll-outs, in the sequence of their orders.
    pub roll_outs: Vec<SeenRollOut>,
    /// Number of requests by outcome.
    pub counts: Counts,
    /// Folder of settings and logs; kept if a guarantee was violated.
    pub folder: Option<PathBuf>,
}

/// Runs a soak.
pub async fn run(plan: &DeploymentPlan, seed: u64, duration: Duration) -> io::Result<SoakReport> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(plan).await?;
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
    let mut faults = Vec::new();
    let fatal = FatalCaller::draw(
        seed,
        deployment.caller_addresses(),
        &deployment.routes,
        &deployment.oracle,
    );
    let pinned = PinnedCallers::start(&deployment, seed);
    let mut churn = Churn::draw(seed);
    let mut suspensions = Suspensions::draw(seed);
    let mut drills = Drills::draw(seed);
    let mut departures = Departures::draw(seed);
    let mut crowds = Crowds::draw(seed);
    let mut schedule = RollOutSchedule::draw(seed, duration, &deployment.services());
    let end = Instant::now() + duration;
    while Instant::now() < end {
        schedule.run_due(&mut deployment).await?;
        let fault = draw(&mut random);
        faults.push(format!("{fault:?}"));
        inject(&mut deployment, fault, &mut random, &mut violations).await?;
        deployment.restart_crashed_leafs().await?;
        faults.extend(suspensions.run_due(&mut deployment).await);
        faults.extend(drills.run_due(&mut deployment).await?);
        faults.extend(departures.run_due(&mut deployment).await?);
        faults.extend(churn.run_due(&mut deployment, &mut violations).await?);
        faults.extend(crowds.run_due(&deployment));
        violations.extend(crowds.check(&mut deployment));
        let pause = Duration::from_millis(random.random_range(200..1_500));
        tokio::time::sleep(pause).await;
    }
    roll_outs::wait_for_ends(&deployment).await;
    violations.extend(crowds.check(&mut deployment));
    crowds.recall();
    drop(fatal);
    deployment.wait_and_restart_crashed_leafs().await?;
    let not_recovered = check_recovery(&deployment).await;
    violations.extend(pinned.stop().await);
    violations.extend(not_recovered);
    traffic.stop().await;
    violations.extend(deployment.oracle.violations(DRAIN_LIMIT, BUDGET));
    let counts = deployment.oracle.counts();
    let seen_roll_outs = deployment.oracle.roll_outs();
    let folder = (!violations.is_empty()).then(|| deployment.keep_folder());
    Ok(SoakReport {
        seed,
        faults,
        violations,
        roll_outs: seen_roll_outs,
        counts,
        folder,
    })
}

/// Checks that every daemon serves every route again after the last fault.
async fn check_recovery(deployment: &Deployment) -> Vec<String> {
    const CHECK_PERIOD: Duration = Duration::from_millis(200);
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let mut violations = Vec::new();
    for daemon in 0..deployment.daemons.len() {
        for route in deployment.routes.all() {
            while !is_served(deployment, daemon, &route).await {
                if Instant::now() > deadline {
                    violations.push(format!(
                        "RECOVER: daemon {daemon} does not serve {}",
                        route.name
                    ));
                    break;
                }
                tokio::time::sleep(CHECK_PERIOD).await;
            }
        }
    }
    violations
}

async fn is_served(
    deployment: &Deployment,
    daemon: usize,
    route: &crate::configuration::RoutePlan,
) -> bool {
    match deployment.call(daemon, route).await {
        crate::oracle::CallerEnd::Answer(answer) => (200..300).contains(&answer.status),
        crate::oracle::CallerEnd::NoAnswer => false,
    }
}
