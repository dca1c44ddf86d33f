//! Faults injected into a running deployment.

use super::draw::{DaemonTrouble, Fault};
use crate::deployment::{Deployment, region_of};
use crate::leaf::LeafTrouble;
use crate::proxy::LinkTrouble;
use crate::store::StoreTrouble;
use rand::{RngExt, rngs::StdRng};
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// A daemon's planned stop ends within this time.
const STOP_LIMIT: Duration = Duration::from_millis(6_500);
/// Time in which a change of homes is in force: the daemons' default setting, with room for a busy
/// machine.
const HOMES_APPLY_LIMIT: Duration = Duration::from_millis(3_500);
/// Longest time for which the next write of a daemon is waited for: writes come with roll-outs.
const WRITER_WAIT: Duration = Duration::from_secs(4);

/// Injects a fault and, where it lasts, ends it again.
pub(crate) async fn inject(
    deployment: &mut Deployment,
    fault: Fault,
    random: &mut StdRng,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    deployment.oracle.begin_fault(fault.is_core());
    let injected = strike(deployment, fault, random, violations).await;
    deployment.oracle.end_fault(fault.is_core());
    injected
}

async fn strike(
    deployment: &mut Deployment,
    fault: Fault,
    random: &mut StdRng,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    // The same numbers are drawn whatever the counts are, so that a seed gives the same faults.
    let leaf = random.random::<u32>() as usize % deployment.leafs.len();
    let daemon = random.random::<u32>() as usize % deployment.daemons.len();
    match fault {
        Fault::LeafTrouble(trouble, time) => {
            set_leaf_trouble(deployment, leaf, trouble);
            tokio::time::sleep(time).await;
            set_leaf_trouble(deployment, leaf, LeafTrouble::None);
        }
        Fault::LeafCrash(time) => {
            deployment.leafs[leaf].leaf = None;
            deployment.leafs[leaf].proxy.reset();
            tokio::time::sleep(time).await;
            deployment.restart_leaf(leaf).await?;
        }
        Fault::LeafLeaves => leave(deployment, leaf).await?,
        Fault::LeafLink(trouble, time) => {
            let link = &deployment.leafs[leaf].proxy;
            link.set_trouble(trouble);
            tokio::time::sleep(time).await;
            link.set_trouble(LinkTrouble::None);
            link.reset();
        }
        Fault::DaemonKilled(time) => {
            strike_daemon(deployment, daemon, DaemonTrouble::Killed, time).await?;
        }
        Fault::DaemonStopped => stop(deployment, daemon, violations).await?,
        Fault::DaemonFrozen(time) => {
            strike_daemon(deployment, daemon, DaemonTrouble::Frozen, time).await?;
        }
        Fault::DaemonHangUp => deployment.daemons[daemon].daemon.hang_up(),
        Fault::AllDaemonsKilled => {
            for proxied in &mut deployment.daemons {
                proxied.daemon.kill();
            }
            for proxied in &mut deployment.daemons {
                proxied.daemon.restart()?;
            }
        }
        Fault::Store(trouble, time) => {
            deployment.store.set_trouble(trouble);
            tokio::time::sleep(time).await;
            deployment.store.set_trouble(StoreTrouble::None);
        }
        Fault::StoreLink(trouble, time) => {
            let link = &deployment.daemons[daemon].store_link;
            link.set_trouble(trouble);
            tokio::time::sleep(time).await;
            link.set_trouble(LinkTrouble::None);
        }
        Fault::StoreForgets => deployment.store.forget_history(),
        Fault::Configuration => {
            let routes = deployment.routes.all();
            deployment.configure(&routes);
        }
        Fault::Evacuation(time) => {
            let zone = deployment.leafs[leaf].plan.zone.clone();
            deployment.evacuate(&zone);
            tokio::time::sleep(time).await;
            deployment.end_evacuation(&zone);
        }
        Fault::LeafCold(time) => {
            if let Some(cold) = &deployment.leafs[leaf].leaf {
                cold.turn_cold(time);
                tokio::time::sleep(time).await;
                cold.turn_warm();
            }
        }
        Fault::ZoneLost(time) => {
            let zone = deployment.leafs[leaf].plan.zone.clone();
            deployment.lose_zone(&zone);
            tokio::time::sleep(time).await;
            deployment.restore_zone(&zone).await?;
        }
        Fault::ZoneCut(time) => {
            let zone = deployment.leafs[leaf].plan.zone.clone();
            deployment.cut_zone(&zone, true);
            tokio::time::sleep(time).await;
            deployment.cut_zone(&zone, false);
        }
        Fault::NextWriter(trouble, time) => strike_next_writer(deployment, trouble, time).await?,
        Fault::ConnectionsSilent => {
            deployment.silence_store_links();
            deployment.silence_leaf_links();
        }
        Fault::Homes(time) => confine_lookups(deployment, leaf, time).await,
    }
    Ok(())
}

/// Confines lookups to the region of a leaf for a while; others than the callers' go on asking for it.
async fn confine_lookups(deployment: &mut Deployment, leaf: usize, time: Duration) {
    let home = region_of(&deployment.leafs[leaf].plan.zone);
    let mut routes = deployment.routes.clone();
    routes.lookup.homes = vec![home];
    deployment.configure(&routes.all());
    tokio::time::sleep(HOMES_APPLY_LIMIT).await;
    let daemons = deployment.daemons.len();
    let deadline = Instant::now() + time;
    let mut daemon = 0;
    while Instant::now() < deadline {
        deployment.call(daemon % daemons, &routes.lookup).await;
        daemon += 1;
    }
    deployment.configure(&deployment.routes.all());
}

async fn strike_daemon(
    deployment: &mut Deployment,
    index: usize,
    trouble: DaemonTrouble,
    time: Duration,
) -> io::Result<()> {
    let proxied = &mut deployment.daemons[index];
    match trouble {
        DaemonTrouble::Killed => {
            proxied.daemon.kill();
            tokio::time::sleep(time).await;
            proxied.daemon.restart()?;
        }
        DaemonTrouble::Frozen => {
            proxied.daemon.freeze();
            tokio::time::sleep(time).await;
            proxied.daemon.thaw();
        }
        DaemonTrouble::Cut => {
            proxied.store_link.set_trouble(LinkTrouble::Silent);
            tokio::time::sleep(time).await;
            proxied.store_link.set_trouble(LinkTrouble::None);
        }
    }
    Ok(())
}

/// Waits for the next write of a daemon to the store and strikes that daemon. Does nothing if none comes.
async fn strike_next_writer(
    deployment: &mut Deployment,
    trouble: DaemonTrouble,
    time: Duration,
) -> io::Result<()> {
    match deployment.wait_for_writer(WRITER_WAIT).await {
        Some(writer) => strike_daemon(deployment, writer, trouble, time).await,
        None => Ok(()),
    }
}

fn set_leaf_trouble(deployment: &Deployment, index: usize, trouble: LeafTrouble) {
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.set_trouble(trouble);
    }
}

/// A planned end: the leaf says so, serves on, and ends; another takes its place.
async fn leave(deployment: &mut Deployment, index: usize) -> io::Result<()> {
    const SERVES_ON: Duration = Duration::from_millis(4_000);
    if deployment.leafs[index].control.is_retired() {
        return Ok(());
    }
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.drain();
    }
    let plan = deployment.leafs[index].plan.clone();
    let added = deployment.add_leaf_of(&plan.service, &plan.zone, plan.work, plan.version);
    added.await?;
    tokio::time::sleep(SERVES_ON).await;
    let left = deployment.leafs.swap_remove(index);
    deployment.store.delete("servers", &left.plan.id);
    Ok(())
}

/// A planned stop: the daemon must end by itself in time.
async fn stop(
    deployment: &mut Deployment,
    index: usize,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    const CHECK_PERIOD: Duration = Duration::from_millis(50);
    let daemon = &mut deployment.daemons[index].daemon;
    daemon.terminate();
    let deadline = Instant::now() + STOP_LIMIT;
    while daemon.ended().is_none() {
        if Instant::now() > deadline {
            violations.push(format!("STOP: {} did not end", daemon.plan().name));
            break;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    daemon.restart()
}
