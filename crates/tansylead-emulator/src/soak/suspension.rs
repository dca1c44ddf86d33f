//! Machines that are suspended for seconds: the process stands still, and nothing passes on its link to the
//! store.
//!
//! What cannot be emulated here is that the steady clock stands still too: all processes share one machine.
//! Waits over such a time have a test of their own in the gateway.

use crate::deployment::Deployment;
use crate::proxy::LinkTrouble;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Keeps the numbers drawn here apart from those of the faults: these stay what a seed has always meant.
const SEED_OFFSET: u64 = 0x7375_7370_656e;
/// Share of the faults of a soak after which a machine is suspended.
const SHARE: f64 = 0.1;

/// When machines are suspended, and for how long.
#[derive(Debug)]
pub(crate) struct Suspensions {
    random: StdRng,
}

impl Suspensions {
    /// The suspensions of a seed.
    pub(crate) fn draw(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
        }
    }

    /// Suspends a machine, or not. Returns what was done.
    pub(crate) async fn proceed(&mut self, deployment: &mut Deployment) -> Option<String> {
        if !self.random.random_bool(SHARE) {
            return None;
        }
        let index = self.random.random::<u32>() as usize % deployment.daemons.len();
        let time = Duration::from_millis(self.random.random_range(1_000..5_000));
        deployment.oracle.begin_fault(true);
        let machine = &mut deployment.daemons[index];
        machine.store_link.set_trouble(LinkTrouble::Silent);
        machine.daemon.freeze();
        tokio::time::sleep(time).await;
        machine.daemon.thaw();
        machine.store_link.set_trouble(LinkTrouble::None);
        deployment.oracle.end_fault(true);
        Some(format!("DaemonSuspended({index}, {time:?})"))
    }
}
