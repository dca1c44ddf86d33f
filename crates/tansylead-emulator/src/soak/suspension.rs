//! Machines that are suspended for seconds: the daemon's process is stopped, and nothing is forwarded on its link to
//! the store.
//!
//! On a suspended machine the monotonic clock stops too. That cannot be emulated here, because all processes share one
//! machine; the gateway has a separate test for waits across such a suspension.

use crate::deployment::Deployment;
use crate::proxy::LinkFault;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Separates these draws from those of the faults, so that a seed keeps giving the same faults.
const SEED_OFFSET: u64 = 0x7375_7370_656e;
/// Share of a soak's faults after which a machine is suspended.
const SHARE: f64 = 0.1;

/// Draws and runs the suspensions of a soak.
#[derive(Debug)]
pub(crate) struct Suspensions {
    random: StdRng,
}

impl Suspensions {
    /// Prepares the suspensions of a seed.
    pub(crate) fn draw(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
        }
    }

    /// Suspends a machine if one is drawn now. Returns a description.
    pub(crate) async fn run_due(&mut self, deployment: &mut Deployment) -> Option<String> {
        if !self.random.random_bool(SHARE) {
            return None;
        }
        let index = self.random.random::<u32>() as usize % deployment.daemons.len();
        let time = Duration::from_millis(self.random.random_range(1_000..5_000));
        deployment.oracle.begin_fault(true);
        let machine = &mut deployment.daemons[index];
        machine.store_link.set_fault(LinkFault::Silent);
        machine.daemon.freeze();
        tokio::time::sleep(time).await;
        machine.daemon.thaw();
        machine.store_link.set_fault(LinkFault::None);
        deployment.oracle.end_fault(true);
        Some(format!("DaemonSuspended({index}, {time:?})"))
    }
}
