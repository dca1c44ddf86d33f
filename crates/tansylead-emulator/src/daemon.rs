//! A real daemon as a separate process.

use crate::addresses::next_ip;
use crate::disruptions::Disruptions;
use crate::roll_out_rules::{EXPOSURE_SHARE, EXPOSURE_SLACK, ROLL_BACK_LIMIT};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Instant;

/// Ports that a daemon listens on.
const CALLER_PORT: u16 = 20_101;
const READY_PORT: u16 = 20_102;
const PEER_PORT: u16 = 20_103;
const METRICS_PORT: u16 = 20_104;

/// Where a daemon listens.
#[derive(Debug, Clone, Copy)]
pub struct DaemonAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For load balancers.
    pub ready: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

impl DaemonAddresses {
    /// Returns unused addresses.
    pub fn next() -> Self {
        let ip = next_ip();
        Self {
            caller: SocketAddr::new(ip, CALLER_PORT),
            ready: SocketAddr::new(ip, READY_PORT),
            peer: SocketAddr::new(ip, PEER_PORT),
            metrics: SocketAddr::new(ip, METRICS_PORT),
        }
    }
}

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Name of its settings and log files.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// All zones with their regions.
    pub regions: Vec<(String, String)>,
    /// Addresses.
    pub addresses: DaemonAddresses,
    /// Address of the store.
    pub store: SocketAddr,
    /// Peer addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// Folder of its settings and logs.
    pub folder: PathBuf,
    /// Executable.
    pub program: PathBuf,
    /// Processor cores stated in the settings.
    pub processor_cores: f64,
    /// Memory and descriptors stated in the settings.
    pub machine: MachineSize,
}

/// Memory and descriptors of a daemon's machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineSize {
    /// Memory, in megabytes.
    pub memory_megabytes: u32,
    /// File descriptors.
    pub descriptors: u32,
}

impl Default for MachineSize {
    /// As most machines of the platform are.
    fn default() -> Self {
        Self {
            memory_megabytes: 260,
            descriptors: 4_100,
        }
    }
}

impl MachineSize {
    /// Memory, in bytes.
    pub fn memory_bytes(self) -> u64 {
        u64::from(self.memory_megabytes) * 1_000_000
    }
}

/// A daemon's process. It is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    plan: DaemonPlan,
    process: Option<Child>,
    starts: u32,
    disturbance: Disturbance,
    disruptions: Disruptions,
}

/// When a daemon's process was last killed or suspended; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Disturbance {
    state: Arc<Mutex<DisturbanceState>>,
}

#[derive(Debug, Default)]
struct DisturbanceState {
    is_frozen: bool,
    /// When it was last resumed.
    thawed: Option<Instant>,
    /// When it had last been killed.
    killed: Option<Instant>,
}

impl Disturbance {
    /// Whether the process has been killed since a moment.
    pub fn was_killed_since(&self, moment: Instant) -> bool {
        let killed = self.state.lock().killed;
        killed.is_some_and(|killed| killed >= moment)
    }

    /// Whether the process has been suspended at any time since a moment.
    pub fn was_frozen_since(&self, moment: Instant) -> bool {
        let state = self.state.lock();
        state.is_frozen || state.thawed.is_some_and(|thawed| thawed >= moment)
    }

    fn record_frozen(&self) {
        self.state.lock().is_frozen = true;
    }

    fn record_thawed(&self) {
        let mut state = self.state.lock();
        state.is_frozen = false;
        state.thawed = Some(Instant::now());
    }

    fn record_killed(&self) {
        let mut state = self.state.lock();
        state.is_frozen = false;
        state.killed = Some(Instant::now());
    }
}

impl Daemon {
    /// Writes the settings and starts the process.
    pub fn start(plan: DaemonPlan) -> io::Result<Self> {
        let mut daemon = Self {
            plan,
            process: None,
            starts: 0,
            disturbance: Disturbance::default(),
            disruptions: Disruptions::default(),
        };
        daemon.write_settings()?;
        daemon.restart()?;
        Ok(daemon)
    }

    /// Its settings.
    pub fn plan(&self) -> &DaemonPlan {
        &self.plan
    }

    /// Restarts the process; kills it first if it still runs.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.starts += 1;
        let log = File::create(self.log_path(self.starts))?;
        let errors = log.try_clone()?;
        let process = Command::new(&self.plan.program)
            .arg("gateway")
            .env("TANSYLEAD_NODE_FILE", self.settings_path())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()?;
        self.process = Some(process);
        self.disruptions.set_ongoing(false);
        Ok(())
    }

    /// Log files of all of its runs, oldest first.
    pub fn logs(&self) -> Vec<PathBuf> {
        (1..=self.starts)
            .map(|start| self.log_path(start))
            .collect()
    }

    /// Writes settings for a machine of another size; the process reads them again on SIGHUP.
    pub fn set_machine(&mut self, machine: MachineSize) -> io::Result<()> {
        self.plan.machine = machine;
        self.write_settings()
    }

    /// When the process was last killed or suspended.
    pub fn disturbance(&self) -> Disturbance {
        self.disturbance.clone()
    }

    /// Starts, stops, kills and suspensions of the process.
    pub fn disruptions(&self) -> Disruptions {
        self.disruptions.clone()
    }

    /// Whether the process is suspended.
    pub fn is_frozen(&self) -> bool {
        self.disturbance.state.lock().is_frozen
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.disruptions.record();
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.disturbance.record_frozen();
        self.disruptions.set_ongoing(true);
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
        self.disturbance.record_thawed();
        self.disruptions.set_ongoing(false);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.disruptions.set_ongoing(true);
        if let Some(mut process) = self.process.take() {
            // A process that has exited by itself was not disturbed.
            let is_running = !matches!(process.try_wait(), Ok(Some(_)));
            if is_running {
                // Callers may notice before this process does.
                self.disturbance.record_killed();
            }
            // Fails if the process has already exited.
            let _ = process.kill();
            let _ = process.wait();
            if is_running {
                // Covers connections that were opened meanwhile.
                self.disturbance.record_killed();
            }
        }
    }

    /// The exit status, once the process has exited by itself.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.process.as_mut()?.try_wait().ok().flatten()
    }

    /// Id of the process; none if it was killed.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        let process = self.process_id();
        let pid = process.and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            // Fails if the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.plan.folder.join(format!("{}.toml", self.plan.name))
    }

    fn log_path(&self, start: u32) -> PathBuf {
        let name = format!("{}-{start}.log", self.plan.name);
        self.plan.folder.join(name)
    }

    fn write_settings(&self) -> io::Result<()> {
        let plan = &self.plan;
        let seeds: Vec<String> = plan
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let regions = plan.regions.iter();
        let regions: Vec<String> = regions
            .map(|(zone, region)| format!("\"{zone}\" = \"{region}\""))
            .collect();
        let text = format!(
            "cluster = \"emulated\"\n\
             zone = \"{}\"\n\
             caller_address = \"{}\"\n\
             ready_address = \"{}\"\n\
             peer_address = \"{}\"\n\
             metrics_address = \"{}\"\n\
             store_address = \"{}\"\n\
             processor_cores = {}\n\
             seeds = [{}]\n\
             [regions]\n{}\n\
             [resources]\n\
             memory_megabytes = {}.0\n\
             descriptors = {}\n\
             [bounds]\n\
             exposure_share = {EXPOSURE_SHARE:?}\n\
             exposure_slack = {EXPOSURE_SLACK:?}\n\
             roll_back_limit_millis = {}\n",
            plan.zone,
            plan.addresses.caller,
            plan.addresses.ready,
            plan.addresses.peer,
            plan.addresses.metrics,
            plan.store,
            plan.processor_cores,
            seeds.join(", "),
            regions.join("\n"),
            plan.machine.memory_megabytes,
            plan.machine.descriptors,
            ROLL_BACK_LIMIT.as_millis(),
        );
        std::fs::write(self.settings_path(), text)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The lines of a log that contain a text.
pub fn lines_with(path: &Path, text: &str) -> Vec<String> {
    let content = std::fs::read_to_string(path).unwrap_or_default();
    let lines = content.lines().filter(|line| line.contains(text));
    lines.map(str::to_owned).collect()
}
