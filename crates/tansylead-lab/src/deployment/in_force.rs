//! Waits until a change of the configuration is in force on the daemons that run.

use super::fleet::RunningDaemon;
use super::readiness::PROBE_PERIOD;
use super::running::RunningDeployment;
use crate::http::JsonClient;
use serde::Deserialize;
use std::time::Duration;

/// Path of a daemon's status.
const STATUS_PATH: &str = "/v1/status";

/// The part of a daemon's status that is needed here.
#[derive(Debug, Clone, Deserialize)]
pub struct ConfigurationStatus {
    /// Highest store revision in force.
    pub revision: u64,
    /// Members of the claim view in force.
    pub claim_view_members: usize,
}

impl RunningDaemon {
    /// What configuration it has in force.
    pub async fn configuration_status(&self) -> eyre::Result<ConfigurationStatus> {
        let client = JsonClient::new(self.caller_address());
        Ok(client.get(STATUS_PATH).await?)
    }
}

impl RunningDeployment {
    /// Waits until all daemons have a store revision in force.
    pub async fn wait_in_force(&self, revision: u64, limit: Duration) -> eyre::Result<()> {
        self.wait_for_status(limit, |status| status.revision >= revision)
            .await
    }

    /// Waits until all daemons hold a claim view with that many members.
    pub async fn wait_claim_view(&self, members: usize, limit: Duration) -> eyre::Result<()> {
        self.wait_for_status(limit, |status| status.claim_view_members >= members)
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
