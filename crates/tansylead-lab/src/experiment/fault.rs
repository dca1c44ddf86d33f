//! Carries out the fault of a scenario at its time.

use crate::deployment::plan::FIRST_SNAPSHOT;
use crate::experiment::cluster::Cluster;
use crate::experiment::file::{Fault, Scenario, Shape};
use crate::experiment::shape::{self, EVEN_WEIGHT, SECOND_SNAPSHOT};
use crate::leaf::{HealthMode, LeafFaults};
use crate::store::{OutageMode, StoreFaults};
use std::time::Duration;
use tokio::time::Instant;

/// Share of its load that the first place has before the sun moves on.
pub const LOAD_BEFORE_MOVE: f64 = 1.5;
/// Share of its load that the first place keeps after.
pub const LOAD_AFTER_MOVE: f64 = 0.5;

/// Applies faults that last the whole run, before the load starts.
pub async fn before_load(cluster: &Cluster, scenario: &Scenario) -> eyre::Result<()> {
    if scenario.fault == Some(Fault::StoreDown) {
        let faults = StoreFaults {
            outage: Some(OutageMode::Close),
            ..StoreFaults::default()
        };
        cluster.set_store_faults(&faults).await?;
    }
    Ok(())
}

/// Waits for the time of the fault and carries it out; returns how long that took.
pub async fn during_load(
    cluster: &mut Cluster,
    shape: &Shape,
    scenario: &Scenario,
    started: Instant,
) -> eyre::Result<Duration> {
    let Some(fault) = &scenario.fault else {
        return Ok(Duration::ZERO);
    };
    if let Some(at) = fault.at() {
        tokio::time::sleep_until(started + at).await;
    }
    let began = Instant::now();
    carry_out(fault, cluster, shape, scenario, started).await?;
    Ok(began.elapsed())
}

async fn carry_out(
    fault: &Fault,
    cluster: &mut Cluster,
    shape: &Shape,
    scenario: &Scenario,
    started: Instant,
) -> eyre::Result<()> {
    match fault {
        Fault::StoreDown => Ok(()),
        Fault::FreezeLeaf { .. } => cluster.break_first_leafs(&frozen()).await,
        Fault::LoseLeaf { .. } => cluster.break_first_leafs(&lost()).await,
        Fault::Repartition {
            drop_old_at_seconds,
            ..
        } => {
            publish_second_version(cluster).await?;
            let drop_old_at = Duration::from_secs(*drop_old_at_seconds);
            tokio::time::sleep_until(started + drop_old_at).await;
            drop_first_version(cluster).await
        }
        Fault::RollingRestart { .. } => {
            let daemons_per_place = usize::from(shape.daemons_per_place);
            cluster.restart_in_turn(daemons_per_place).await
        }
        Fault::MoveWeights { .. } => {
            let table = shape::table(shape, scenario, &moved_weights(shape));
            cluster.publish_table(table).await
        }
    }
}

/// The leaf takes work, answers nothing, and its health endpoint lies.
fn frozen() -> LeafFaults {
    LeafFaults {
        hanging: true,
        health: HealthMode::AlwaysHealthy,
        ..LeafFaults::default()
    }
}

fn lost() -> LeafFaults {
    LeafFaults {
        stopped: true,
        ..LeafFaults::default()
    }
}

/// Half of the leafs take the new version before it is published and half after, as builds that
/// finish at different times.
async fn publish_second_version(cluster: &Cluster) -> eyre::Result<()> {
    let both = [FIRST_SNAPSHOT, SECOND_SNAPSHOT];
    cluster.set_holdings(&both, |index| index % 2 == 0).await?;
    cluster.publish_versions(&both).await?;
    cluster.set_holdings(&both, |index| index % 2 == 1).await
}

/// The leafs drop the old version before the store says so.
async fn drop_first_version(cluster: &Cluster) -> eyre::Result<()> {
    let second = [SECOND_SNAPSHOT];
    cluster.set_holdings(&second, |_| true).await?;
    cluster.publish_versions(&second).await
}

/// The first place gives half of its weight to the second.
fn moved_weights(shape: &Shape) -> Vec<u32> {
    let mut weights = vec![EVEN_WEIGHT; shape.places.len()];
    let moved = EVEN_WEIGHT / 2;
    weights[0] -= moved;
    if let Some(second) = weights.get_mut(1) {
        *second += moved;
    }
    weights
}
