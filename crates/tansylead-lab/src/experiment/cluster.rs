//! The processes of one run: store, machine list, leafs and daemons, started fresh and ended by
//! their handles.

use crate::experiment::file::{Scenario, ServiceShape, Shape, Variant};
use crate::experiment::shape::{self, LeafAddresses};
use crate::experiment::usage;
use crate::leaf::{
    HoldingsRequest, LeafControl, LeafCounters, LeafFaults, LeafFaultsRequest, LeafProcessSpec,
};
use crate::load::driver::wait_until_ready;
use crate::machines::MachinesControl;
use crate::process::{ChildProcess, Programs, free_address};
use crate::store::{StoreControl, StoreFaults, seed_objects};
use eyre::WrapErr;
use futures_util::future::try_join_all;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tansylead_types::settings::TimingSettings;
use tansylead_types::store::{Machine, MachineList, MachineState};
use tansylead_types::{ConfigObject, ObjectKey, PlaceName, Settings, SnapshotVersion};

/// Time allowed for a daemon to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time allowed for a daemon to end after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Worker threads of each daemon.
const DAEMON_WORKER_THREADS: usize = 2;

/// One daemon process.
pub struct Daemon {
    place: PlaceName,
    caller_address: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
    process: ChildProcess,
}

impl Daemon {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }
}

/// Everything that runs during one run.
pub struct Cluster {
    programs: Programs,
    variant: Variant,
    directory: PathBuf,
    /// Control of the store.
    pub store: StoreControl,
    leaf_controls: Vec<LeafControl>,
    leaf_addresses: LeafAddresses,
    /// Daemons, place by place.
    pub daemons: Vec<Daemon>,
    retired_cpu: Duration,
    // Held so that the stand-ins end with the run.
    standins: Vec<ChildProcess>,
}

impl Cluster {
    /// Starts everything and returns once all daemons are ready.
    pub async fn start(
        shape: &Shape,
        scenario: &Scenario,
        variant: Variant,
        seed: u64,
        directory: &Path,
    ) -> eyre::Result<Self> {
        std::fs::create_dir_all(directory)
            .wrap_err_with(|| format!("create {}", directory.display()))?;
        let programs = Programs::beside_current()?;
        let (store_process, store_address) = start_standin(&programs, "store", directory)?;
        let (machines_process, machines_address) = start_standin(&programs, "machines", directory)?;
        let mut cluster = Self {
            programs,
            variant,
            directory: directory.to_owned(),
            store: StoreControl::new(store_address),
            leaf_controls: Vec::new(),
            leaf_addresses: LeafAddresses::new(),
            daemons: Vec::new(),
            retired_cpu: Duration::ZERO,
            standins: vec![store_process, machines_process],
        };
        cluster.start_leafs(shape, scenario, seed).await?;
        cluster
            .write_all(shape::store_objects(
                shape,
                scenario,
                &cluster.leaf_addresses,
            ))
            .await?;
        cluster
            .start_daemons(shape, store_address, machines_address)
            .await?;
        Ok(cluster)
    }

    /// One process of leafs for each place.
    async fn start_leafs(
        &mut self,
        shape: &Shape,
        scenario: &Scenario,
        seed: u64,
    ) -> eyre::Result<()> {
        let specs = shape::leaf_specs(shape, scenario);
        for place in &shape.places {
            let spec = LeafProcessSpec {
                seed,
                execution_log: false,
                leafs: specs
                    .iter()
                    .filter(|leaf| leaf.place == *place)
                    .cloned()
                    .collect(),
            };
            let file = self.directory.join(format!("leafs-{place}.json"));
            std::fs::write(&file, serde_json::to_vec(&spec)?)
                .wrap_err_with(|| format!("write {}", file.display()))?;
            let mut command = self.programs.lab_command("leaf");
            command.arg(&file);
            let log_file = self.directory.join(format!("leafs-{place}.log"));
            let name = format!("leafs of {place}");
            let (process, address) = ChildProcess::start_standin(&name, command, &log_file)?;
            self.standins.push(process);
            let control = LeafControl::new(address);
            let leafs = control.leafs().await?;
            self.leaf_addresses
                .extend(leafs.into_iter().map(|leaf| (leaf.leaf, leaf.address)));
            self.leaf_controls.push(control);
        }
        Ok(())
    }

    async fn start_daemons(
        &mut self,
        shape: &Shape,
        store_address: SocketAddr,
        machines_address: SocketAddr,
    ) -> eyre::Result<()> {
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for place in &shape.places {
            for index in 0..usize::from(shape.daemons_per_place) {
                let settings = Settings {
                    cluster: "experiment".to_owned(),
                    place: place.clone(),
                    zone: shape::zone_name(place, index),
                    caller_address: free_address()?,
                    peer_address: free_address()?,
                    seeds: seeds.clone(),
                    store_address,
                    machine_list_address: Some(machines_address),
                    log_level: "info".to_owned(),
                    log_file: None,
                    worker_threads: DAEMON_WORKER_THREADS,
                    timing: TimingSettings::default(),
                };
                seeds.push(settings.peer_address);
                let daemon = self.start_daemon(settings, index)?;
                self.daemons.push(daemon);
            }
        }
        self.publish_machine_list(machines_address, &seeds).await?;
        try_join_all(self.daemons.iter().map(await_ready)).await?;
        Ok(())
    }

    async fn publish_machine_list(
        &self,
        machines_address: SocketAddr,
        daemons: &[SocketAddr],
    ) -> eyre::Result<()> {
        let addresses = daemons.iter().chain(self.leaf_addresses.values());
        let machines = addresses
            .map(|address| Machine {
                address: *address,
                state: MachineState::Live,
            })
            .collect();
        let control = MachinesControl::new(machines_address);
        control.set_list(&MachineList { machines }).await?;
        Ok(())
    }

    fn start_daemon(&self, settings: Settings, index: usize) -> eyre::Result<Daemon> {
        let name = format!("daemon-{}-{index}", settings.place);
        let settings_file = self.directory.join(format!("{name}.toml"));
        std::fs::write(&settings_file, toml::to_string(&settings)?)
            .wrap_err_with(|| format!("write {}", settings_file.display()))?;
        let log_file = self.directory.join(format!("{name}.log"));
        let process = self.spawn_daemon(&name, &settings_file, &log_file)?;
        Ok(Daemon {
            place: settings.place,
            caller_address: settings.caller_address,
            settings_file,
            log_file,
            process,
        })
    }

    fn spawn_daemon(
        &self,
        name: &str,
        settings_file: &Path,
        log_file: &Path,
    ) -> eyre::Result<ChildProcess> {
        let mut command = self.programs.lab_command("daemon");
        command.arg("--settings").arg(settings_file);
        command.arg("--variant").arg(self.variant.name());
        ChildProcess::start(name, command, log_file)
    }

    /// Addresses for callers, by place.
    pub fn caller_addresses(&self) -> BTreeMap<PlaceName, Vec<SocketAddr>> {
        let mut addresses: BTreeMap<PlaceName, Vec<SocketAddr>> = BTreeMap::new();
        for daemon in &self.daemons {
            let of_place = addresses.entry(daemon.place.clone()).or_default();
            of_place.push(daemon.caller_address);
        }
        addresses
    }

    /// Writes configuration objects to the store.
    pub async fn write_all(&self, objects: Vec<ConfigObject>) -> eyre::Result<()> {
        let keyed: Vec<(ObjectKey, ConfigObject)> = objects
            .into_iter()
            .map(|object| (key_of(&object), object))
            .collect();
        seed_objects(&self.store, &keyed).await?;
        Ok(())
    }

    /// Takes the store down until the end of the run.
    pub async fn take_store_down(&self, faults: &StoreFaults) -> eyre::Result<()> {
        self.store.set_faults(faults).await?;
        Ok(())
    }

    /// Puts faults on one leaf of the first place.
    pub async fn break_leaf(
        &self,
        shape: &Shape,
        service: &ServiceShape,
        index: u32,
        faults: LeafFaults,
    ) -> eyre::Result<()> {
        let leaf = shape::leaf_name(service, &shape.places[0], index);
        let request = LeafFaultsRequest {
            leafs: vec![leaf],
            faults,
        };
        self.leaf_controls[0].set_faults(&request).await?;
        Ok(())
    }

    /// Makes the leafs of the given numbers hold exactly these versions, in every place.
    pub async fn set_holdings(
        &self,
        shape: &Shape,
        versions: &[SnapshotVersion],
        is_chosen: impl Fn(u32) -> bool,
    ) -> eyre::Result<()> {
        for (place, control) in shape.places.iter().zip(&self.leaf_controls) {
            for service in &shape.services {
                for index in (0..service.leafs).filter(|index| is_chosen(*index)) {
                    let request = HoldingsRequest {
                        leaf: shape::leaf_name(service, place, index),
                        holdings: shape::holdings(service, index, versions),
                    };
                    control.set_holdings(&request).await?;
                }
            }
        }
        Ok(())
    }

    /// Offers the given versions in every placement.
    pub async fn publish_versions(
        &self,
        shape: &Shape,
        versions: &[SnapshotVersion],
    ) -> eyre::Result<()> {
        self.write_all(shape::placements(shape, &self.leaf_addresses, versions))
            .await
    }

    /// Stops and restarts all daemons, one of each place at a time.
    pub async fn restart_in_turn(&mut self, daemons_per_place: usize) -> eyre::Result<()> {
        for turn in 0..daemons_per_place {
            let chosen: Vec<usize> = (0..self.daemons.len())
                .filter(|index| index % daemons_per_place == turn)
                .collect();
            for index in &chosen {
                let daemon = &mut self.daemons[*index];
                self.retired_cpu += usage::process_cpu(daemon.id())?;
                daemon.process.terminate()?;
            }
            for index in &chosen {
                let process = &mut self.daemons[*index].process;
                if process.wait(STOP_LIMIT).await?.is_none() {
                    eyre::bail!("{} still runs {STOP_LIMIT:?} after SIGTERM", process.name());
                }
                let daemon = &self.daemons[*index];
                let name = daemon.process.name().to_owned();
                let process = self.spawn_daemon(&name, &daemon.settings_file, &daemon.log_file)?;
                self.daemons[*index].process = process;
            }
            try_join_all(
                chosen
                    .iter()
                    .map(|index| await_ready(&self.daemons[*index])),
            )
            .await?;
        }
        Ok(())
    }

    /// Counters of all leafs together.
    pub async fn leaf_counters(&self) -> eyre::Result<LeafCounters> {
        let mut sum = LeafCounters::default();
        for control in &self.leaf_controls {
            for leaf in control.leafs().await? {
                sum.add(&leaf.counters);
            }
        }
        Ok(sum)
    }

    /// Processor time of all daemons so far, also of those that were restarted, up to their stop.
    pub fn daemon_cpu(&self) -> eyre::Result<Duration> {
        let mut sum = self.retired_cpu;
        for daemon in &self.daemons {
            sum += usage::process_cpu(daemon.id())?;
        }
        Ok(sum)
    }

    /// Addresses of all leafs.
    pub fn leaf_addresses(&self) -> &LeafAddresses {
        &self.leaf_addresses
    }
}

fn start_standin(
    programs: &Programs,
    subcommand: &str,
    directory: &Path,
) -> eyre::Result<(ChildProcess, SocketAddr)> {
    let log_file = directory.join(format!("{subcommand}.log"));
    ChildProcess::start_standin(subcommand, programs.lab_command(subcommand), &log_file)
}

async fn await_ready(daemon: &Daemon) -> eyre::Result<()> {
    if wait_until_ready(daemon.caller_address, READY_LIMIT).await {
        return Ok(());
    }
    let (name, log) = (daemon.process.name(), daemon.log_file.display());
    eyre::bail!("{name} is not ready after {READY_LIMIT:?}, see {log}")
}

fn key_of(object: &ConfigObject) -> ObjectKey {
    match object {
        ConfigObject::Service(definition) => ObjectKey::Service(definition.service.clone()),
        ConfigObject::Placement(placement) => {
            ObjectKey::Placement(placement.service.clone(), placement.place.clone())
        }
        ConfigObject::Table(_) => ObjectKey::Table,
        ConfigObject::ClaimView(_) => ObjectKey::ClaimView,
    }
}
