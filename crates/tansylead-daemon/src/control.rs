//! The part of a daemon that acts together with its peers, without callers and roots: membership,
//! configuration spread, claims, routing views and the server for peers. Scale runs hold many of
//! them in one process.
//!
//! Invariant: it runs the same tasks over the same sockets as [`crate::Daemon`].

use crate::assembly::{self, ControlAssembly};
use crate::cluster::{ClusterStatus, MemberView};
use crate::configuration::ConfigurationView;
use crate::metrics::Metrics;
use crate::routing::Routes;
use crate::tuning::Tuning;
use std::sync::Arc;
use tansylead_types::{NodeId, Settings};
use tokio::sync::watch;

/// A running control plane. Dropping it ends all its tasks at once, as a kill would.
pub struct ControlPlane {
    assembly: ControlAssembly,
}

impl ControlPlane {
    /// Binds the peer address and starts all tasks. The caller address is told to peers but not
    /// listened on.
    pub async fn start(settings: Settings, tuning: Tuning) -> eyre::Result<Self> {
        let assembly = assembly::assemble_control(settings, tuning).await?;
        Ok(Self { assembly })
    }

    /// Its address for peers.
    pub fn node(&self) -> NodeId {
        self.routes().own_node()
    }

    /// Configuration in force.
    pub fn configuration(&self) -> watch::Receiver<Arc<ConfigurationView>> {
        self.assembly.configuration.clone()
    }

    /// Members.
    pub fn members(&self) -> watch::Receiver<Arc<MemberView>> {
        self.assembly.members.clone()
    }

    /// State of membership and configuration spread.
    pub fn status(&self) -> watch::Receiver<Arc<ClusterStatus>> {
        self.assembly.status.clone()
    }

    /// Where queries would go.
    pub fn routes(&self) -> &Arc<Routes> {
        &self.assembly.shared.routes
    }

    /// Metrics.
    pub fn metrics(&self) -> &Metrics {
        self.assembly.shared.state.metrics()
    }

    /// Number of tasks.
    pub fn task_count(&self) -> usize {
        self.assembly.tasks.len()
    }
}
