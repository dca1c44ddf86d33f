//! Injects faults into a running deployment.

use super::draw::{DaemonFault, Fault};
use crate::deployment::{Deployment, region_of};
use crate::leaf::LeafFault;
use crate::proxy::LinkFault;
use crate::store::StoreFault;
use rand::{RngExt, rngs::StdRng};
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for a daemon's planned stop.
pub(super) const STOP_LIMIT: Duration = Duration::from_millis(6_500);
/// Time after which a change of home regions must be in force: the daemons' default setting, with
/// slack for a busy machine.
const HOMES_APPLY_LIMIT: Duration = Duration::from_millis(3_500);
/// Maximum wait for the next write of a daemon: daemons write only during roll-outs.
const WRITER_WAIT: Duration = Duration::from_secs(4);

/// Injects a fault and, if it has a duration, ends it again.
pub(crate) async fn inject(
    deployment: &mut Deployment,
    fault: Fault,
    random: &mut StdRng,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    deployment.oracle.begin_fault(fault.is_core());
    let result = apply(deployment, fault, random, violations).await;
    deployment.oracle.end_fault(fault.is_core());
    result
}

async fn apply(
    deployment: &mut Deployment,
    fault: Fault,
    random: &mut StdRng,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    // Draws full integers whatever the counts are, so that a seed always gives the same faults.
    let leaf = random.random::<u32>() as usize % deployment.leafs.len();
    let daemon = random.random::<u32>() as usize % deployment.daemons.len();
    match fault {
        Fault::Leaf(leaf_fault, time) => {
            set_leaf_fault(deployment, leaf, leaf_fault);
            tokio::time::sleep(time).await;
            set_leaf_fault(deployment, leaf, LeafFault::None);
        }
        Fault::LeafCrash(time) => {
            deployment.leafs[leaf].leaf = None;
            deployment.leafs[leaf].proxy.reset();
            tokio::time::sleep(time).await;
            deployment.restart_leaf(leaf).await?;
        }
        Fault::LeafLeaves => replace_leaf(deployment, leaf).await?,
        Fault::LeafLink(link_fault, time) => {
            let link = &deployment.leafs[leaf].proxy;
            link.set_fault(link_fault);
            tokio::time::sleep(time).await;
            link.set_fault(LinkFault::None);
            link.reset();
        }
        Fault::DaemonKilled(time) => {
            apply_daemon_fault(deployment, daemon, DaemonFault::Killed, time).await?;
        }
        Fault::DaemonStopped => stop_daemon(deployment, daemon, violations).await?,
        Fault::DaemonFrozen(time) => {
            apply_daemon_fault(deployment, daemon, DaemonFault::Frozen, time).await?;
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
        Fault::Store(store_fault, time) => {
            deployment.store.set_fault(store_fault);
            tokio::time::sleep(time).await;
            deployment.store.set_fault(StoreFault::None);
        }
        Fault::StoreLink(link_fault, time) => {
            let link = &deployment.daemons[daemon].store_link;
            link.set_fault(link_fault);
            tokio::time::sleep(time).await;
            link.set_fault(LinkFault::None);
        }
        Fault::HistoryDiscarded => deployment.store.discard_history(),
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
                cold.announce_cold(time);
                tokio::time::sleep(time).await;
                cold.announce_warm();
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
        Fault::NextWriter(fault, time) => apply_to_next_writer(deployment, fault, time).await?,
        Fault::ConnectionsSilent => {
            deployment.silence_store_links();
            deployment.silence_leaf_links();
        }
        Fault::Homes(time) => restrict_lookups(deployment, leaf, time).await,
    }
    Ok(())
}

/// Restricts lookups to the region of a leaf for some time, and sends lookups to all daemons meanwhile.
async fn restrict_lookups(deployment: &mut Deployment, leaf: usize, time: Duration) {
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

async fn apply_daemon_fault(
    deployment: &mut Deployment,
    index: usize,
    fault: DaemonFault,
    time: Duration,
) -> io::Result<()> {
    let proxied = &mut deployment.daemons[index];
    match fault {
        DaemonFault::Killed => {
            proxied.daemon.kill();
            tokio::time::sleep(time).await;
            proxied.daemon.restart()?;
        }
        DaemonFault::Frozen => {
            proxied.daemon.freeze();
            tokio::time::sleep(time).await;
            proxied.daemon.thaw();
        }
        DaemonFault::Cut => {
            proxied.store_link.set_fault(LinkFault::Silent);
            tokio::time::sleep(time).await;
            proxied.store_link.set_fault(LinkFault::None);
        }
    }
    Ok(())
}

/// Waits for the next write of a daemon to the store and applies the fault to that daemon. Does nothing if there is no
/// write in time.
async fn apply_to_next_writer(
    deployment: &mut Deployment,
    fault: DaemonFault,
    time: Duration,
) -> io::Result<()> {
    match deployment.wait_for_writer(WRITER_WAIT).await {
        Some(writer) => apply_daemon_fault(deployment, writer, fault, time).await,
        None => Ok(()),
    }
}

fn set_leaf_fault(deployment: &Deployment, index: usize, fault: LeafFault) {
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.set_fault(fault);
    }
}

/// Planned stop of a leaf: it announces that it is leaving, serves for some time, and stops; another one replaces it.
async fn replace_leaf(deployment: &mut Deployment, index: usize) -> io::Result<()> {
    const DRAIN_DURATION: Duration = Duration::from_millis(4_000);
    if deployment.leafs[index].control.is_retired() {
        return Ok(());
    }
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.drain();
    }
    let plan = deployment.leafs[index].plan.clone();
    let added = deployment.add_leaf_of(&plan.service, &plan.zone, plan.work, plan.version);
    added.await?;
    tokio::time::sleep(DRAIN_DURATION).await;
    let removed = deployment.leafs.swap_remove(index);
    deployment.store.delete("servers", &removed.plan.id);
    Ok(())
}

/// Planned stop of a daemon: its process must exit by itself in time.
async fn stop_daemon(
    deployment: &mut Deployment,
    index: usize,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    const CHECK_PERIOD: Duration = Duration::from_millis(50);
    let daemon = &mut deployment.daemons[index].daemon;
    daemon.terminate();
    let deadline = Instant::now() + STOP_LIMIT;
    while daemon.exit_status().is_none() {
        if Instant::now() > deadline {
            violations.push(format!("STOP: {} did not end", daemon.plan().name));
            break;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    daemon.restart()
}
