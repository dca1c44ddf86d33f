//! A short demonstration: a whole deployment serves callers while things break around it.

use crate::deployment::{Deployment, DeploymentPlan};
use crate::leaf::LeafTrouble;
use crate::oracle::Counts;
use crate::soak::{BUDGET, DRAIN_LIMIT, START_LIMIT};
use crate::traffic::Traffic;
use std::io;
use std::time::Duration;

/// Callers.
const CALLERS: usize = 16;
/// Time between two steps.
const STEP: Duration = Duration::from_secs(2);
const SEED: u64 = 1;

/// What the demonstration showed.
#[derive(Debug)]
pub struct DemoReport {
    /// Requests by end.
    pub counts: Counts,
    /// Promises broken.
    pub violations: Vec<String>,
}

/// Runs the demonstration; `tell` is given each step.
pub async fn run(plan: &DeploymentPlan, tell: impl Fn(&str)) -> io::Result<DemoReport> {
    tell("start the store, the leafs and the daemons");
    let mut deployment = Deployment::start(plan).await?;
    if !deployment.wait_until_ready(START_LIMIT).await {
        return Err(io::Error::other("a daemon did not become ready"));
    }
    tell("callers arrive");
    let traffic = Traffic::start(
        CALLERS,
        &deployment.caller_addresses(),
        &deployment.routes,
        &deployment.oracle,
        SEED,
    );
    tokio::time::sleep(STEP).await;
    tell("a replica of the first shard stands still, a leaf of the second loses answers");
    set_trouble(&deployment, 0, LeafTrouble::Paused);
    set_trouble(&deployment, 1, LeafTrouble::LosesAnswers(0.2));
    tokio::time::sleep(STEP).await;
    set_trouble(&deployment, 0, LeafTrouble::None);
    set_trouble(&deployment, 1, LeafTrouble::None);
    tell("a daemon is killed");
    deployment.daemons[0].daemon.kill();
    tokio::time::sleep(STEP).await;
    deployment.daemons[0].daemon.restart()?;
    tell("another daemon is stopped as planned");
    deployment.daemons[1].daemon.terminate();
    tokio::time::sleep(STEP).await;
    tell("the operator writes a new configuration");
    let routes = deployment.routes.all();
    deployment.configure(&routes);
    tokio::time::sleep(STEP).await;
    traffic.stop().await;
    Ok(DemoReport {
        counts: deployment.oracle.counts(),
        violations: deployment.oracle.violations(DRAIN_LIMIT, BUDGET),
    })
}

fn set_trouble(deployment: &Deployment, index: usize, trouble: LeafTrouble) {
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.set_trouble(trouble);
    }
}
