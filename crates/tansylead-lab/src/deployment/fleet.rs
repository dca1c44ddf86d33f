//! The processes of a deployment: leafs and daemons.

use super::directory::RunDirectory;
use super::readiness;
use crate::leaf::{LeafControl, LeafProcessSpec, LeafSpec};
use crate::process::{ChildProcess, Programs, free_address};
use eyre::WrapErr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tansylead_types::settings::{Settings, TimingSettings};
use tansylead_types::{LeafId, PlaceName, ZoneName};

/// Tokio threads of one daemon.
const DAEMON_WORKER_THREADS: usize = 2;

/// A process of stand-in leafs.
#[derive(Debug)]
pub struct LeafProcess {
    /// Process.
    pub process: ChildProcess,
    /// Control interface.
    pub control: LeafControl,
    /// Leafs it runs.
    pub leafs: Vec<LeafId>,
}

impl LeafProcess {
    /// Starts leafs in a process of their own.
    pub fn start(
        name: &str,
        programs: &Programs,
        directory: &RunDirectory,
        spec: &LeafProcessSpec,
    ) -> eyre::Result<Self> {
        let spec_file = directory.file(&format!("{name}.json"));
        let text = serde_json::to_string(spec).wrap_err("write a leaf description")?;
        std::fs::write(&spec_file, text)
            .wrap_err_with(|| format!("write {}", spec_file.display()))?;
        let mut command = programs.lab_command("leaf");
        command.arg(&spec_file);
        let log_file = directory.file(&format!("{name}.log"));
        let (process, address) = ChildProcess::start_standin(name, command, &log_file)?;
        Ok(Self {
            process,
            control: LeafControl::new(address),
            leafs: spec.leafs.iter().map(leaf_of).collect(),
        })
    }
}

fn leaf_of(spec: &LeafSpec) -> LeafId {
    spec.leaf.clone()
}

/// Where the platform's stand-ins listen.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// Store.
    pub store: SocketAddr,
    /// Machine list.
    pub machines: SocketAddr,
}

/// One daemon. It keeps its addresses over restarts.
#[derive(Debug)]
pub struct RunningDaemon {
    /// Process.
    pub process: ChildProcess,
    /// Name in logs and reports.
    pub name: String,
    /// Settings it runs with.
    pub settings: Settings,
    settings_file: PathBuf,
    log_file: PathBuf,
}

/// Chooses settings for a daemon.
pub fn daemon_settings(
    cluster: &str,
    place: &PlaceName,
    zone: &ZoneName,
    platform: PlatformAddresses,
    timing: TimingSettings,
) -> eyre::Result<Settings> {
    Ok(Settings {
        cluster: cluster.to_owned(),
        place: place.clone(),
        zone: zone.clone(),
        caller_address: free_address()?,
        peer_address: free_address()?,
        seeds: Vec::new(),
        store_address: platform.store,
        machine_list_address: Some(platform.machines),
        log_level: "info".to_owned(),
        log_file: None,
        worker_threads: DAEMON_WORKER_THREADS,
        timing,
    })
}

impl RunningDaemon {
    /// Starts a daemon.
    pub fn start(
        name: &str,
        programs: &Programs,
        directory: &RunDirectory,
        settings: Settings,
    ) -> eyre::Result<Self> {
        let settings_file = directory.file(&format!("{name}.toml"));
        let text = toml::to_string(&settings).wrap_err("write daemon settings")?;
        std::fs::write(&settings_file, text)
            .wrap_err_with(|| format!("write {}", settings_file.display()))?;
        let log_file = directory.file(&format!("{name}.log"));
        let command = programs.daemon_command(&settings_file);
        let process = ChildProcess::start(name, command, &log_file)?;
        Ok(Self {
            process,
            name: name.to_owned(),
            settings,
            settings_file,
            log_file,
        })
    }

    /// Starts it again with the same settings, after it has ended.
    pub fn start_again(&mut self, programs: &Programs) -> eyre::Result<()> {
        let has_ended = self.process.exited()?.is_some();
        eyre::ensure!(has_ended, "daemon {} still runs", self.name);
        let command = programs.daemon_command(&self.settings_file);
        self.process = ChildProcess::start(&self.name, command, &self.log_file)?;
        Ok(())
    }

    /// Where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.settings.caller_address
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self, client: &readiness::ProbeClient) -> bool {
        client.is_ok(self.caller_address(), "/readyz").await
    }

    /// Waits until it says that it is ready; an error if it ends or takes too long.
    pub async fn wait_ready(
        &mut self,
        client: &readiness::ProbeClient,
        limit: Duration,
    ) -> eyre::Result<()> {
        let give_up = tokio::time::Instant::now() + limit;
        while !self.is_ready(client).await {
            let log_file = self.log_file.display();
            if let Some(status) = self.process.exited()? {
                eyre::bail!("daemon {} ended with {status}, see {log_file}", self.name);
            }
            if tokio::time::Instant::now() >= give_up {
                eyre::bail!(
                    "daemon {} is not ready after {limit:?}, see {log_file}",
                    self.name
                );
            }
            tokio::time::sleep(readiness::PROBE_PERIOD).await;
        }
        Ok(())
    }
}
