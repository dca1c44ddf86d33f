//! Leafs that leave and serve on for many seconds while others take their places, daemons that start at that time, and
//! replicas of the store that are seconds behind.

use crate::deployment::Deployment;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::io;
use std::ops::Range;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Separates these draws from those of the other faults, so that a seed keeps giving the same faults.
const SEED_OFFSET: u64 = 0x6465_7061_7274;
/// Share of a soak's faults after which leafs leave.
const SHARE: f64 = 0.3;
/// Share of these departures after which daemons start again.
const RESTART_SHARE: f64 = 0.7;
/// Share of leafs that do not announce that they leave: their entries go.
const UNANNOUNCED_SHARE: f64 = 0.3;
/// How far a replica of the store is behind, in milliseconds.
const LAG_MILLIS: Range<u64> = 0..4_000;
/// Maximum number of replicas.
const MAXIMUM_REPLICAS: usize = 3;
/// Maximum number of leafs that leave together.
const MAXIMUM_LEAVING: usize = 3;
/// Time for which a leaf serves on after it has left, in milliseconds: at times long enough that daemons that started
/// meanwhile are in touch again.
const SERVES_ON_MILLIS: Range<u64> = 4_000..14_000;
/// Pause before daemons start again, in milliseconds.
const PAUSE_MILLIS: Range<u64> = 0..800;
/// Period at which a leaving leaf rewrites its entry.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Draws and runs the departures of a soak.
#[derive(Debug)]
pub(crate) struct Departures {
    random: StdRng,
    /// Leafs that have left and serve on.
    serving_on: JoinSet<()>,
}

impl Departures {
    /// Prepares the departures of a seed.
    pub(crate) fn draw(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
            serving_on: JoinSet::new(),
        }
    }

    /// Lets leafs leave, if that is drawn now. Returns descriptions.
    pub(crate) async fn run_due(&mut self, deployment: &mut Deployment) -> io::Result<Vec<String>> {
        if !self.random.random_bool(SHARE) {
            return Ok(Vec::new());
        }
        let mut done = vec![self.set_replicas(deployment)];
        for _ in 0..self.random.random_range(1..=MAXIMUM_LEAVING) {
            done.extend(self.let_leaf_leave(deployment).await?);
        }
        if self.random.random_bool(RESTART_SHARE) {
            done.push(self.restart_daemons(deployment).await?);
        }
        Ok(done)
    }

    fn set_replicas(&mut self, deployment: &Deployment) -> String {
        let replicas = self.random.random_range(1..=MAXIMUM_REPLICAS);
        let lags =
            (0..replicas).map(|_| Duration::from_millis(self.random.random_range(LAG_MILLIS)));
        let lags: Vec<Duration> = lags.collect();
        deployment.store.set_replicas(&lags);
        format!("Replicas({lags:?})")
    }

    async fn let_leaf_leave(&mut self, deployment: &mut Deployment) -> io::Result<Option<String>> {
        let index = self.random.random::<u32>() as usize % deployment.leafs.len();
        let is_announced = !self.random.random_bool(UNANNOUNCED_SHARE);
        let serves_on = Duration::from_millis(self.random.random_range(SERVES_ON_MILLIS));
        let leaf = &deployment.leafs[index];
        if leaf.leaf.is_none() || leaf.control.is_retired() {
            return Ok(None);
        }
        let plan = leaf.plan.clone();
        let added =
            deployment.add_leaf_of(&plan.service, &plan.zone, plan.work, plan.version.clone());
        added.await?;
        let leaving = deployment.leafs.swap_remove(index);
        if is_announced {
            leaving.control.drain();
        } else {
            leaving.control.unregister();
        }
        self.serving_on.spawn(async move {
            let end = Instant::now() + serves_on;
            while Instant::now() < end {
                tokio::time::sleep(HEARTBEAT).await;
                leaving.control.send_heartbeat();
            }
            leaving.control.unregister();
        });
        let id = plan.id;
        Ok(Some(format!(
            "LeafDeparts({id}, announced {is_announced}, serves on {serves_on:?})"
        )))
    }

    async fn restart_daemons(&mut self, deployment: &mut Deployment) -> io::Result<String> {
        let pause = Duration::from_millis(self.random.random_range(PAUSE_MILLIS));
        tokio::time::sleep(pause).await;
        let all = deployment.daemons.len();
        let first = self.random.random::<u32>() as usize % all;
        let count = match self.random.random_bool(0.5) {
            true => all,
            false => 1 + self.random.random::<u32>() as usize % all,
        };
        deployment.oracle.begin_fault(true);
        let restarted: Vec<usize> = (0..count).map(|offset| (first + offset) % all).collect();
        for index in &restarted {
            deployment.daemons[*index].daemon.kill();
        }
        for index in &restarted {
            deployment.daemons[*index].daemon.restart()?;
        }
        deployment.oracle.end_fault(true);
        Ok(format!("DaemonsStartAgain({restarted:?})"))
    }
}
