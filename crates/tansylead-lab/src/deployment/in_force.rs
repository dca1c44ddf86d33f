//! Waits until a change of the configuration is in force on the daemons that run.

use super::fleet::RunningDaemon;
use super::readiness::PROBE_PERIOD;
use super::running::RunningDeployment;
use crate::http::JsonClient;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{PlaceName, ServiceName, SnapshotVersion};

/// Path of a daemon's status.
const STATUS_PATH: &str = "/v1/status";

/// The part of a daemon's status that is needed here.
#[derive(Debug, Clone, Deserialize)]
pub struct ConfigurationStatus {
    /// Highest store revision in force.
    pub revision: u64,
    /// Members of the claim view in force.
    pub claim_view_members: usize,
    /// Services.
    pub services: BTreeMap<ServiceName, ServicePart>,
}

/// The part of a service's status that is needed here.
#[derive(Debug, Clone, Deserialize)]
pub struct ServicePart {
    /// Places that have leafs of it.
    pub places: BTreeMap<PlaceName, PlacePart>,
}

/// The part of a place's status that is needed here.
#[derive(Debug, Clone, Deserialize)]
pub struct PlacePart {
    /// State of the daemon's own root, if it is one.
    pub root: Option<RootPart>,
}

/// The part of a root's status that is needed here.
#[derive(Debug, Clone, Deserialize)]
pub struct RootPart {
    /// The snapshot that a query would be pinned to now.
    pub snapshot_in_use: Option<SnapshotVersion>,
    /// Whether every shard of it has a live replica.
    pub every_shard_has_a_replica: bool,
}

impl ConfigurationStatus {
    /// Whether all roots of a service on this daemon use a snapshot that is whole.
    fn uses_whole(&self, service: &ServiceName, version: SnapshotVersion) -> bool {
        let places = self.services.get(service).map(|service| &service.places);
        let mut roots = places
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter_map(|place| place.root.as_ref());
        roots.all(|root| root.snapshot_in_use == Some(version) && root.every_shard_has_a_replica)
    }
}

impl RunningDaemon {
    /// What configuration it has in force.
    pub async fn configuration_status(&self) -> eyre::Result<ConfigurationStatus> {
        let client = JsonClient::new(self.caller_address());
        Ok(client.get(STATUS_PATH).await?)
    }
}

impl RunningDeployment {
    /// Waits until all daemons hold a claim view with that many members.
    pub async fn wait_claim_view(&self, members: usize, limit: Duration) -> eyre::Result<()> {
        self.wait_for_status(limit, |status| status.claim_view_members >= members)
            .await
    }

    /// Waits until all roots of a service use a snapshot and believe all its shards to be held.
    pub async fn wait_snapshot_in_use(
        &self,
        service: &ServiceName,
        version: SnapshotVersion,
        limit: Duration,
    ) -> eyre::Result<()> {
        self.wait_for_status(limit, |status| status.uses_whole(service, version))
            .await
    }

    async fn wait_for_status(
        &self,
        limit: Duration,
        is_reached: impl Fn(&ConfigurationStatus) -> bool,
    ) -> eyre::Result<()> {
        let give_up = tokio::time::Instant::now() + limit;
        for daemon in &self.daemons {
            loop {
                let status = daemon.configuration_status().await;
                if status.as_ref().is_ok_and(&is_reached) {
                    break;
                }
                if tokio::time::Instant::now() >= give_up {
                    eyre::bail!("{} after {limit:?}: {status:?}", daemon.name);
                }
                tokio::time::sleep(PROBE_PERIOD).await;
            }
        }
        Ok(())
    }
}
