//! A whole deployment that runs: store, machine list, leafs and daemons, all child processes of
//! this one. Dropping it ends them all.

use super::description::DeploymentDescription;
use super::directory::RunDirectory;
use super::fleet::{LeafProcess, PlatformAddresses, RunningDaemon, daemon_settings};
use super::plan::{DeploymentPlan, LeafAddresses};
use super::readiness::ProbeClient;
use super::traffic_table;
use crate::caller::ShardLists;
use crate::leaf::{
    ExecutionEntry, LeafFaults, LeafFaultsRequest, LeafProcessSpec, LeafSpec, LeafStatus,
};
use crate::machines::MachinesControl;
use crate::process::{ChildProcess, Programs};
use crate::store::{StoreControl, seed_objects};
use eyre::WrapErr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tansylead_types::settings::TimingSettings;
use tansylead_types::store::{Machine, MachineList, MachineState};
use tansylead_types::{ConfigObject, LeafId, ObjectKey, PlaceName};

/// Time in which a daemon must become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How a deployment is started.
#[derive(Debug, Clone)]
pub struct StartOptions {
    /// Programs.
    pub programs: Programs,
    /// Leafs that get a process of their own, so that they can be killed or frozen.
    pub separate_leafs: Vec<LeafId>,
    /// Whether leafs log executions entry by entry.
    pub execution_log: bool,
    /// Time limits of all daemons.
    pub timing: TimingSettings,
}

impl StartOptions {
    /// Usual options.
    pub fn new(programs: Programs) -> Self {
        Self {
            programs,
            separate_leafs: Vec::new(),
            execution_log: true,
            timing: TimingSettings::default(),
        }
    }
}

/// A deployment that runs.
#[derive(Debug)]
pub struct RunningDeployment {
    /// What it was started from.
    pub plan: DeploymentPlan,
    /// Configuration objects written at the start.
    pub objects: Vec<(ObjectKey, ConfigObject)>,
    /// Shard lists of the snapshots written so far, for checks.
    pub shard_lists: ShardLists,
    /// Daemons, place by place and zone by zone.
    pub daemons: Vec<RunningDaemon>,
    /// Leaf processes: one for each place, then one for each separate leaf.
    pub leaf_processes: Vec<LeafProcess>,
    /// Control of the store.
    pub store: StoreControl,
    /// Control of the machine list.
    pub machines: MachinesControl,
    /// Probes daemons.
    pub probe: ProbeClient,
    /// Programs that were started.
    pub programs: Programs,
    store_process: ChildProcess,
    machines_process: ChildProcess,
    directory: RunDirectory,
}

/// Reads a deployment's directory.
pub fn load_plan(directory: &Path) -> eyre::Result<DeploymentPlan> {
    Ok(DeploymentPlan {
        description: DeploymentDescription::load(directory)?,
        table: traffic_table::load(directory)?,
    })
}

impl RunningDeployment {
    /// Starts everything and waits until all daemons are ready.
    pub async fn start(plan: DeploymentPlan, options: StartOptions) -> eyre::Result<Self> {
        let directory = RunDirectory::create()?;
        let programs = options.programs.clone();
        let (store_process, store_address) = start_platform("store", &programs, &directory)?;
        let (machines_process, machines_address) =
            start_platform("machines", &programs, &directory)?;
        let leaf_processes = start_leafs(&plan, &options, &directory)?;
        let addresses = leaf_addresses(&leaf_processes).await?;
        let objects = plan.objects(&addresses)?;
        let store = StoreControl::new(store_address);
        seed_objects(&store, &objects).await?;
        let platform = PlatformAddresses {
            store: store_address,
            machines: machines_address,
        };
        let daemons = start_daemons(&plan, &options, &directory, platform)?;
        let mut deployment = Self {
            shard_lists: ShardLists::from_objects(objects.iter().map(|(_, object)| object)),
            plan,
            objects,
            daemons,
            leaf_processes,
            store,
            machines: MachinesControl::new(machines_address),
            probe: ProbeClient::default(),
            programs,
            store_process,
            machines_process,
            directory,
        };
        deployment.publish_machines(&addresses).await?;
        deployment.wait_all_ready().await?;
        Ok(deployment)
    }

    async fn publish_machines(&self, addresses: &LeafAddresses) -> eyre::Result<()> {
        let daemons = self
            .daemons
            .iter()
            .map(|daemon| daemon.settings.peer_address);
        let machines = daemons
            .chain(addresses.values().copied())
            .map(|address| Machine {
                address,
                state: MachineState::Live,
            })
            .collect();
        self.machines.set_list(&MachineList { machines }).await?;
        Ok(())
    }

    /// Waits until all daemons are ready.
    pub async fn wait_all_ready(&mut self) -> eyre::Result<()> {
        for daemon in &mut self.daemons {
            if let Err(error) = daemon.wait_ready(&self.probe, READY_LIMIT).await {
                self.directory.keep();
                return Err(error);
            }
        }
        Ok(())
    }

    /// Starts a daemon that has ended again and waits until it is ready.
    pub async fn start_daemon_again(&mut self, index: usize) -> eyre::Result<()> {
        let daemon = &mut self.daemons[index];
        daemon.start_again(&self.programs)?;
        daemon.wait_ready(&self.probe, READY_LIMIT).await
    }

    /// Caller addresses of all daemons, those of a place first.
    pub fn caller_addresses(&self, first: &PlaceName) -> Vec<SocketAddr> {
        let is_near = |daemon: &&RunningDaemon| daemon.settings.place == *first;
        let near = self.daemons.iter().filter(is_near);
        let far = self.daemons.iter().filter(|daemon| !is_near(daemon));
        near.chain(far).map(RunningDaemon::caller_address).collect()
    }

    /// Replaces the faults of one leaf.
    pub async fn set_leaf_faults(&self, leaf: &LeafId, faults: LeafFaults) -> eyre::Result<()> {
        let process = self.process_of(leaf)?;
        let request = LeafFaultsRequest {
            leafs: vec![leaf.clone()],
            faults,
        };
        process.control.set_faults(&request).await?;
        Ok(())
    }

    /// The process that runs a leaf.
    pub fn process_of(&self, leaf: &LeafId) -> eyre::Result<&LeafProcess> {
        self.leaf_processes
            .iter()
            .find(|process| process.leafs.contains(leaf))
            .ok_or_else(|| eyre::eyre!("no process runs leaf {leaf}"))
    }

    /// The process that runs a leaf, to be signalled.
    pub fn process_of_mut(&mut self, leaf: &LeafId) -> eyre::Result<&mut ChildProcess> {
        self.leaf_processes
            .iter_mut()
            .find(|process| process.leafs.contains(leaf))
            .map(|process| &mut process.process)
            .ok_or_else(|| eyre::eyre!("no process runs leaf {leaf}"))
    }

    /// Addresses of all leafs; an error if a process of leafs does not run.
    pub async fn leaf_addresses(&self) -> eyre::Result<LeafAddresses> {
        leaf_addresses(&self.leaf_processes).await
    }

    /// All leafs of processes that still run, with their counters.
    pub async fn leaf_statuses(&mut self) -> eyre::Result<Vec<LeafStatus>> {
        let mut statuses = Vec::new();
        for process in &mut self.leaf_processes {
            if process.process.exited()?.is_none() {
                statuses.extend(process.control.leafs().await?);
            }
        }
        Ok(statuses)
    }

    /// Everything that leafs of processes that still run have executed.
    pub async fn executions(&mut self) -> eyre::Result<Vec<ExecutionEntry>> {
        let mut entries = Vec::new();
        for process in &mut self.leaf_processes {
            if process.process.exited()?.is_none() {
                entries.extend(process.control.executions(0).await?.entries);
            }
        }
        Ok(entries)
    }

    /// Keeps settings files and logs after the end, and says where they are.
    pub fn keep_directory(&mut self) -> &Path {
        self.directory.keep();
        self.directory.path()
    }

    /// Ends everything. Daemons get a planned stop first, then whatever is left is killed.
    pub async fn stop(mut self, limit: Duration) -> eyre::Result<()> {
        for daemon in &mut self.daemons {
            daemon.process.terminate()?;
        }
        for daemon in &mut self.daemons {
            if daemon.process.wait(limit).await?.is_none() {
                log::warn!("daemon {} had to be killed", daemon.name);
                daemon.process.kill()?;
            }
        }
        for process in &mut self.leaf_processes {
            process.process.kill()?;
        }
        self.store_process.kill()?;
        self.machines_process.kill()?;
        Ok(())
    }
}

fn start_platform(
    name: &str,
    programs: &Programs,
    directory: &RunDirectory,
) -> eyre::Result<(ChildProcess, SocketAddr)> {
    let log_file = directory.file(&format!("{name}.log"));
    ChildProcess::start_standin(name, programs.lab_command(name), &log_file)
}

fn start_leafs(
    plan: &DeploymentPlan,
    options: &StartOptions,
    directory: &RunDirectory,
) -> eyre::Result<Vec<LeafProcess>> {
    let is_separate = |spec: &LeafSpec| options.separate_leafs.contains(&spec.leaf);
    let (separate, shared): (Vec<LeafSpec>, Vec<LeafSpec>) =
        plan.leaf_specs()?.into_iter().partition(is_separate);
    let mut groups: Vec<(String, Vec<LeafSpec>)> = Vec::new();
    for place in &plan.description.places {
        let of_place = shared.iter().filter(|spec| spec.place == place.name);
        groups.push((format!("leafs-{}", place.name), of_place.cloned().collect()));
    }
    for spec in separate {
        groups.push((format!("leaf-{}", spec.leaf), vec![spec]));
    }
    groups
        .into_iter()
        .map(|(name, leafs)| {
            let spec = LeafProcessSpec {
                seed: plan.description.seed,
                execution_log: options.execution_log,
                leafs,
            };
            LeafProcess::start(&name, &options.programs, directory, &spec)
        })
        .collect()
}

async fn leaf_addresses(processes: &[LeafProcess]) -> eyre::Result<LeafAddresses> {
    let mut addresses = LeafAddresses::new();
    for process in processes {
        let statuses = process.control.leafs().await.wrap_err("list leafs")?;
        addresses.extend(statuses.into_iter().map(|leaf| (leaf.leaf, leaf.address)));
    }
    Ok(addresses)
}

fn start_daemons(
    plan: &DeploymentPlan,
    options: &StartOptions,
    directory: &RunDirectory,
    platform: PlatformAddresses,
) -> eyre::Result<Vec<RunningDaemon>> {
    let cluster = &plan.description.cluster;
    let mut settings = Vec::new();
    for place in &plan.description.places {
        for zone in &place.zones {
            for number in 0..place.daemons_per_zone {
                let timing = options.timing.clone();
                let chosen = daemon_settings(cluster, &place.name, zone, platform, timing)?;
                settings.push((format!("daemon-{zone}-{number}"), chosen));
            }
        }
    }
    let seeds: Vec<SocketAddr> = settings
        .iter()
        .map(|(_, chosen)| chosen.peer_address)
        .collect();
    settings
        .into_iter()
        .map(|(name, mut chosen)| {
            chosen.seeds.clone_from(&seeds);
            RunningDaemon::start(&name, &options.programs, directory, chosen)
        })
        .collect()
}
