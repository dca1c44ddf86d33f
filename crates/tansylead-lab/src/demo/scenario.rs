//! What the demo does: starts a deployment, sends traffic, kills a daemon and a leaf midway, and
//! holds all replies against the leafs' execution logs.

use super::report::{DemoReport, Faults, PostFigures};
use crate::caller::{
    DaemonAddress, ExecutionCounts, FigureCollector, QueryRecord, Traffic, TrafficPlan, violations,
};
use crate::deployment::plan::leaf_name;
use crate::deployment::{CallerKind, DeploymentPlan, RunningDeployment, StartOptions};
use crate::process::Programs;
use eyre::WrapErr;
use std::time::Duration;
use tansylead_types::{LeafId, ServiceName};

/// Time the daemons have for their planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Time the logs have to show the ends of executions that were cancelled last.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Name of the run in request ids.
const RUN_NAME: &str = "demo";

/// What to run.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Deployment.
    pub plan: DeploymentPlan,
    /// Programs.
    pub programs: Programs,
    /// Length of the traffic.
    pub duration: Duration,
}

/// Runs the demo.
pub async fn run(options: DemoOptions) -> eyre::Result<DemoReport> {
    let leaf = leaf_to_kill(&options.plan)?;
    let start_options = StartOptions {
        separate_leafs: vec![leaf.clone()],
        ..StartOptions::new(options.programs)
    };
    log::info!("starting deployment {}", options.plan.description.cluster);
    let mut deployment = RunningDeployment::start(options.plan, start_options).await?;
    log::info!("{} daemons are ready", deployment.daemons.len());
    let traffic = Traffic::start(traffic_plan(&deployment));
    tokio::time::sleep(options.duration / 2).await;
    let faults = kill_daemon_and_leaf(&mut deployment, &leaf, traffic.elapsed())?;
    tokio::time::sleep(options.duration / 2).await;
    let records = traffic.stop().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let executions = ExecutionCounts::of(&deployment.executions().await?);
    let report = report(&deployment, faults, &records, &executions)?;
    if report.violation_count > 0 {
        let kept = deployment.keep_directory().display();
        log::error!("promises were broken; logs are kept in {kept}");
    }
    deployment.stop(STOP_LIMIT).await?;
    Ok(report)
}

/// Traffic of all callers of a deployment.
pub fn traffic_plan(deployment: &RunningDeployment) -> TrafficPlan {
    let description = &deployment.plan.description;
    let daemons = deployment.daemons.iter().map(|daemon| DaemonAddress {
        place: daemon.settings.place.clone(),
        address: daemon.caller_address(),
    });
    TrafficPlan {
        groups: description.callers.clone(),
        places: description
            .places
            .iter()
            .map(|place| place.name.clone())
            .collect(),
        daemons: daemons.collect(),
        shard_lists: deployment.shard_lists.clone(),
        one_way_delay: Duration::from_secs_f64(description.delays.to_clients_millis / 1_000.0),
        seed: description.seed,
        run_name: RUN_NAME.to_owned(),
    }
}

/// A leaf whose service takes no posts: a killed process takes its execution log with it.
fn leaf_to_kill(plan: &DeploymentPlan) -> eyre::Result<LeafId> {
    let callers = &plan.description.callers;
    let takes_posts = |service: &ServiceName| {
        let posts = callers
            .iter()
            .filter(|group| group.kind == CallerKind::Post);
        posts
            .flat_map(|group| &group.services)
            .any(|posted| posted == service)
    };
    let service = callers
        .iter()
        .flat_map(|group| &group.services)
        .find(|service| !takes_posts(service))
        .ok_or_else(|| eyre::eyre!("every service of the callers takes posts"))?;
    let place = plan.description.places.first();
    let place = place.ok_or_else(|| eyre::eyre!("there are no places"))?;
    leaf_name(service, &place.name, 0)
}

fn kill_daemon_and_leaf(
    deployment: &mut RunningDeployment,
    leaf: &LeafId,
    after: Duration,
) -> eyre::Result<Faults> {
    let leaf_process = deployment.process_of_mut(leaf)?;
    let leaf_process_id = leaf_process.id();
    leaf_process.kill()?;
    let daemon = deployment.daemons.first_mut();
    let daemon = daemon.ok_or_else(|| eyre::eyre!("there are no daemons"))?;
    let daemon_process_id = daemon.process.id();
    daemon.process.kill()?;
    log::info!(
        "killed {} ({daemon_process_id}) and leaf {leaf} ({leaf_process_id})",
        daemon.name
    );
    Ok(Faults {
        after_millis: u64::try_from(after.as_millis()).wrap_err("time of the kills")?,
        daemon: daemon.name.clone(),
        daemon_process_id,
        leaf: leaf.clone(),
        leaf_process_id,
    })
}

fn report(
    deployment: &RunningDeployment,
    faults: Faults,
    records: &[QueryRecord],
    executions: &ExecutionCounts,
) -> eyre::Result<DemoReport> {
    let description = &deployment.plan.description;
    let killed_after = Duration::from_millis(faults.after_millis);
    let mut rows = Vec::new();
    for (index, group) in description.callers.iter().enumerate() {
        let mut before = FigureCollector::new()?;
        let mut after = FigureCollector::new()?;
        for record in records.iter().filter(|record| record.group == index) {
            let over = record.due + record.asked.latency;
            if over < killed_after {
                before.add(record);
            } else {
                after.add(record);
            }
        }
        rows.push((group.name.clone(), before.figures(), after.figures()));
    }
    let found = violations(records, executions);
    Ok(DemoReport::new(
        description,
        faults,
        rows,
        PostFigures::of(records, executions),
        &found,
    ))
}
