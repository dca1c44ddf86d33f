//! A randomized soak of the real programs under faults injected from outside.
//!
//! The seed fixes the order, kinds and places of faults and the callers' choices; what the
//! machine's scheduler does is not fixed.

use crate::deployment::{Deployment, DeploymentPlan, region_of};
use crate::leaf::LeafTrouble;
use crate::oracle::{ArrivalBudget, Counts};
use crate::proxy::LinkTrouble;
use crate::store::StoreTrouble;
use crate::traffic::Traffic;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;

/// Callers.
const CALLERS: usize = 24;
/// A leaving leaf gets nothing this long after its word was acknowledged, with room for a busy
/// machine.
pub const DRAIN_LIMIT: Duration = Duration::from_millis(3_500);
/// Bound on extra arrivals: the daemons' default settings.
pub const BUDGET: ArrivalBudget = ArrivalBudget {
    ratio: 0.2,
    slack: 20.0,
    window: Duration::from_secs(10),
};
/// Time in which everything must be served again after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Time for a daemon to become ready at the start.
pub const START_LIMIT: Duration = Duration::from_secs(20);
/// A daemon's planned stop ends within this time.
const STOP_LIMIT: Duration = Duration::from_millis(6_500);

/// An evacuation lasts at least this long, so that it is in force for a while.
const EVACUATION_REST: Duration = Duration::from_secs(4);
/// A leaf is cold at least this long, so that all daemons know it for a while.
const COLD_REST: Duration = Duration::from_secs(4);
/// Time in which a change of homes is in force: the daemons' default setting, with room for a busy
/// machine.
const HOMES_APPLY_LIMIT: Duration = Duration::from_millis(3_500);

/// What a soak found.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Faults in order.
    pub faults: Vec<String>,
    /// Promises broken.
    pub violations: Vec<String>,
    /// Requests by end.
    pub counts: Counts,
    /// Settings and logs; kept if a promise was broken.
    pub folder: Option<PathBuf>,
}

/// Runs a soak.
pub async fn run(plan: &DeploymentPlan, seed: u64, length: Duration) -> io::Result<SoakReport> {
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
    let end = Instant::now() + length;
    while Instant::now() < end {
        let fault = draw(&mut random);
        faults.push(format!("{fault:?}"));
        inject(&mut deployment, fault, &mut random, &mut violations).await?;
        let pause = Duration::from_millis(random.random_range(200..1_500));
        tokio::time::sleep(pause).await;
    }
    violations.extend(check_recovery(&deployment).await);
    traffic.stop().await;
    violations.extend(deployment.oracle.violations(DRAIN_LIMIT, BUDGET));
    let counts = deployment.oracle.counts();
    let folder = (!violations.is_empty()).then(|| deployment.keep_folder());
    Ok(SoakReport {
        seed,
        faults,
        violations,
        counts,
        folder,
    })
}

/// A fault, drawn at random.
#[derive(Debug, Clone, Copy)]
enum Fault {
    LeafTrouble(LeafTrouble, Duration),
    LeafCrash(Duration),
    LeafLeaves,
    LeafLink(LinkTrouble, Duration),
    DaemonKilled(Duration),
    DaemonStopped,
    DaemonFrozen(Duration),
    DaemonHangUp,
    AllDaemonsKilled,
    Store(StoreTrouble, Duration),
    StoreLink(LinkTrouble, Duration),
    StoreForgets,
    Configuration,
    /// A zone is emptied for this long.
    Evacuation(Duration),
    /// A route is confined to one region for this long.
    Homes(Duration),
    /// A leaf is cold for this long.
    LeafCold(Duration),
    /// A zone is without power for this long.
    ZoneLost(Duration),
    /// A zone's leafs, and its daemons' links to the store, are cut for this long.
    ZoneCut(Duration),
}

fn draw(random: &mut StdRng) -> Fault {
    let time = Duration::from_millis(random.random_range(300..3_000));
    match random.random_range(0..18) {
        0 | 1 => Fault::LeafTrouble(draw_leaf_trouble(random), time),
        2 => Fault::LeafCrash(time),
        3 => Fault::LeafLeaves,
        4 => Fault::LeafLink(draw_link_trouble(random), time),
        5 => Fault::DaemonKilled(time),
        6 => Fault::DaemonStopped,
        7 => Fault::DaemonFrozen(time),
        8 => Fault::DaemonHangUp,
        9 if random.random_bool(0.3) => Fault::AllDaemonsKilled,
        9 | 10 => Fault::Store(draw_store_trouble(random), time),
        11 => Fault::StoreLink(draw_link_trouble(random), time),
        12 => Fault::Evacuation(EVACUATION_REST + time),
        13 => Fault::Homes(time),
        14 => Fault::LeafCold(COLD_REST + time),
        15 => Fault::ZoneLost(time),
        16 => Fault::ZoneCut(time),
        _ if random.random_bool(0.4) => Fault::StoreForgets,
        _ => Fault::Configuration,
    }
}

fn draw_leaf_trouble(random: &mut StdRng) -> LeafTrouble {
    let share = random.random_range(0.05..0.5);
    match random.random_range(0..9) {
        0 => LeafTrouble::Paused,
        1 => LeafTrouble::Slow(random.random_range(2.0..12.0)),
        2 => LeafTrouble::Fails(share),
        3 => LeafTrouble::LosesAnswers(share),
        4 => LeafTrouble::CutsAnswers(share),
        5 => LeafTrouble::ExtraAnswers(share),
        6 => LeafTrouble::Garbles(share),
        7 => LeafTrouble::Unframed(share),
        _ => LeafTrouble::Full,
    }
}

fn draw_link_trouble(random: &mut StdRng) -> LinkTrouble {
    match random.random_range(0..5) {
        0 => LinkTrouble::Delayed(Duration::from_millis(random.random_range(5..80))),
        1 => LinkTrouble::Silent,
        2 => LinkTrouble::SilentForward,
        3 => LinkTrouble::SilentBackward,
        _ => LinkTrouble::Refused,
    }
}

fn draw_store_trouble(random: &mut StdRng) -> StoreTrouble {
    match random.random_range(0..6) {
        0 => StoreTrouble::Silent,
        1 => StoreTrouble::Busy,
        2 => StoreTrouble::Throttled,
        3 => StoreTrouble::Reset,
        4 => StoreTrouble::Slow(Duration::from_millis(random.random_range(50..600))),
        _ => StoreTrouble::LosesAnswers(0.3),
    }
}

async fn inject(
    deployment: &mut Deployment,
    fault: Fault,
    random: &mut StdRng,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    let leaf = random.random_range(0..deployment.leafs.len());
    let daemon = random.random_range(0..deployment.daemons.len());
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
            deployment.daemons[daemon].daemon.kill();
            tokio::time::sleep(time).await;
            deployment.daemons[daemon].daemon.restart()?;
        }
        Fault::DaemonStopped => stop(deployment, daemon, violations).await?,
        Fault::DaemonFrozen(time) => {
            deployment.daemons[daemon].daemon.freeze();
            tokio::time::sleep(time).await;
            deployment.daemons[daemon].daemon.thaw();
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

fn set_leaf_trouble(deployment: &Deployment, index: usize, trouble: LeafTrouble) {
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.set_trouble(trouble);
    }
}

/// A planned end: the leaf says so, serves on, and ends; another takes its place.
async fn leave(deployment: &mut Deployment, index: usize) -> io::Result<()> {
    const SERVES_ON: Duration = Duration::from_millis(4_000);
    if let Some(leaf) = &deployment.leafs[index].leaf {
        leaf.drain();
    }
    let plan = deployment.leafs[index].plan.clone();
    deployment
        .add_leaf(&plan.service, &plan.zone, plan.work)
        .await?;
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

/// After the last fault, every daemon serves every route again.
async fn check_recovery(deployment: &Deployment) -> Vec<String> {
    const CHECK_PERIOD: Duration = Duration::from_millis(200);
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let mut violations = Vec::new();
    for daemon in 0..deployment.daemons.len() {
        for route in deployment.routes.all() {
            while !is_served(deployment, daemon, &route).await {
                if Instant::now() > deadline {
                    violations.push(format!("RECOVER: daemon {daemon} serves no {}", route.name));
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
        crate::oracle::CallerEnd::Nothing => false,
    }
}
