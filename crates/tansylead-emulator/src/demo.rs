//! A short demonstration: a complete deployment serves callers while faults are injected.

use crate::deployment::{Deployment, DeploymentPlan};
use crate::leaf::LeafFault;
use crate::oracle::Counts;
use crate::soak::{BUDGET, DRAIN_LIMIT, START_LIMIT};
use crate::traffic::Traffic;
use std::io;
use std::time::Duration;

/// Number of callers.
const CALLERS: usize = 16;
/// Time between two steps.
const STEP: Duration = Duration::from_secs(2);
const SEED: u64 = 1;

/// Report of the demonstration.
#[derive(Debug)]
pub struct DemoReport {
    /// Number of requests by outcome.
    pub counts: Counts,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// Runs the demonstration; calls `on_step` with the description of each step.
pub async fn run(plan: &DeploymentPlan, on_step: impl Fn(&str)) -> io::Result<DemoReport> {
    on_step("start the store, the leafs and the daemons");
    let mut deployment = Deployment::start(plan).await?;
    if !deployment.wait_until_ready(START_LIMIT).await {
        return Err(io::Error::other("a daemon did not become ready"));
    }
    on_step("callers arrive");
    let traffic = Traffic::start(
        CALLERS,
        &deployment.caller_addresses(),
        &deployment.routes,
        &deployment.oracle,
        SEED,
    );
    tokio::time::sleep(STEP).await;
    on_step("a replica of the first shard hangs, a leaf of the second loses answers");
    set_fault(&deployment, 0, LeafFault::Paused);
    set_fault(&deployment, 1, LeafFault::LosesAnswers(0.2));
    tokio::time::sleep(STEP).await;
    set_fault(&deployment, 0, LeafFault::None);
    set_fault(&deployment, 1, LeafFault::None);
    on_step("a daemon is killed");
    deployment.daemons[0].daemon.kill();
    tokio::time::sleep(STEP).await;
    deployment.daemons[0].daemon.restart()?;
    on_step("another daemon is stopped as planned");
    deployment.daemons[1].daemon.terminate();
    tokio::time::sleep(STEP).await;
    on_step("the operator writes a new configuration");
    let routes = deployment.routes.all();
    deployment.configure(&routes);
    tokio::time::sleep(STEP).await;
    traffic.stop().await;
    Ok(DemoReport {
        counts: deployment.oracle.counts(),
        violations: deployment.oracle.violations(DRAIN_LIMIT, BUDGET),
    })
}

fn set_fault(deployment: &Deployment, index: usize, fault: LeafFault) {
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.set_fault(fault);
    }
}
