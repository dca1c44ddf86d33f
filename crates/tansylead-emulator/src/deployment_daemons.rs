//! The daemons of a deployment and their links to the store and to leafs.

use crate::addresses::next_address;
use crate::daemon::{Daemon, DaemonAddresses, DaemonPlan};
use crate::deployment::{Deployment, DeploymentPlan, ProxiedDaemon, region_of};
use crate::proxy::Proxy;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Processor cores that the settings state for large and for other machines; all daemons run on the
/// same machine.
const LARGE_CORES: f64 = 0.5;
const SMALL_CORES: f64 = 0.12;

impl Deployment {
    /// Starts all daemons.
    pub(crate) async fn start_daemons(&mut self, plan: &DeploymentPlan) -> io::Result<()> {
        let regions: Vec<(String, String)> = plan
            .zones
            .iter()
            .map(|zone| (zone.clone(), region_of(zone)))
            .collect();
        let addresses: Vec<DaemonAddresses> =
            (0..plan.daemons).map(|_| DaemonAddresses::next()).collect();
        const SEEDS: usize = 3;
        let seeds: Vec<SocketAddr> = if plan.stale_seeds {
            (0..SEEDS).map(|_| next_address()).collect()
        } else {
            addresses
                .iter()
                .take(SEEDS)
                .map(|daemon| daemon.peer)
                .collect()
        };
        for (index, own_addresses) in addresses.into_iter().enumerate() {
            let store_link = Proxy::start(next_address(), self.store.address()).await?;
            let daemon = Daemon::start(DaemonPlan {
                name: format!("daemon-{index}"),
                zone: plan.zones[index % plan.zones.len()].clone(),
                regions: regions.clone(),
                addresses: own_addresses,
                store: store_link.address(),
                seeds: seeds.clone(),
                folder: self.folder.path().to_owned(),
                program: plan.program.clone(),
                processor_cores: if index < plan.large_daemons {
                    LARGE_CORES
                } else {
                    SMALL_CORES
                },
                machine: plan.machine,
            })?;
            let disruptions = [daemon.disruptions(), store_link.disruptions()];
            self.oracle
                .add_daemon(daemon.plan().addresses.caller, disruptions);
            self.daemons.push(ProxiedDaemon { daemon, store_link });
        }
        Ok(())
    }

    /// The daemon that wrote to the store last, and when.
    pub fn last_writer(&self) -> Option<(usize, Instant)> {
        let daemons = self.daemons.iter().enumerate();
        let writers = daemons.filter_map(|(index, daemon)| {
            let at = daemon.store_link.last_write()?;
            Some((index, at))
        });
        writers.max_by_key(|(_, at)| *at)
    }

    /// Waits for the next write of a daemon to the store and returns the daemon's index.
    pub async fn wait_for_writer(&self, limit: Duration) -> Option<usize> {
        /// Short compared with the store's response time.
        const PERIOD: Duration = Duration::from_millis(1);
        let from = Instant::now();
        while from.elapsed() < limit {
            if let Some((writer, at)) = self.last_writer()
                && at >= from
            {
                return Some(writer);
            }
            tokio::time::sleep(PERIOD).await;
        }
        None
    }

    /// Permanently silences all open connections from daemons to the store; new ones work.
    pub fn silence_store_links(&self) {
        for daemon in &self.daemons {
            daemon.store_link.silence_established();
        }
    }

    /// Permanently silences all open connections from daemons to leafs; new ones work.
    pub fn silence_leaf_links(&self) {
        for leaf in &self.leafs {
            leaf.proxy.silence_established();
        }
    }
}
