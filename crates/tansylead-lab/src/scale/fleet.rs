//! The processes of hollow daemons, taken together.

use super::message::{
    Done, HollowReport, KILL_PATH, MemberRequest, REPORT_PATH, START_PATH, StartRequest, Totals,
    WATCH_PATH,
};
use super::topology;
use crate::deployment::RunDirectory;
use crate::experiment::usage;
use crate::http::JsonClient;
use crate::process::{ChildProcess, Programs};
use futures_util::future::try_join_all;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tansylead_types::{NodeId, Settings, StepError};

/// Hollow daemons of one process at most.
pub const DAEMONS_PER_PROCESS: usize = 200;

/// One process of hollow daemons.
struct HollowProcess {
    process: ChildProcess,
    control: JsonClient,
    daemons: Range<usize>,
}

/// All processes of hollow daemons.
pub struct HollowFleet {
    processes: Vec<HollowProcess>,
    store: SocketAddr,
}

/// Observations and counters of all hollow daemons.
#[derive(Debug, Clone, Default)]
pub struct FleetReport {
    /// As if one process had made it.
    pub report: HollowReport,
    /// Processor time used so far.
    pub cpu: Duration,
    /// Resident memory now.
    pub resident_bytes: u64,
}

impl HollowFleet {
    /// Starts the processes, still without daemons.
    pub fn start(
        daemons: usize,
        store: SocketAddr,
        programs: &Programs,
        directory: &RunDirectory,
    ) -> eyre::Result<Self> {
        let mut processes = Vec::new();
        for first in (0..daemons).step_by(DAEMONS_PER_PROCESS) {
            let name = format!("hollow-{first}");
            let log = directory.file(&format!("{name}.log"));
            let command = programs.lab_command("hollow");
            let (process, address) = ChildProcess::start_standin(&name, command, &log)?;
            processes.push(HollowProcess {
                process,
                control: JsonClient::new(address),
                daemons: first..daemons.min(first + DAEMONS_PER_PROCESS),
            });
        }
        Ok(Self { processes, store })
    }

    /// Number of processes.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Starts all daemons at once.
    pub async fn start_daemons(&self, expected_members: usize) -> eyre::Result<()> {
        let mut starts = Vec::new();
        for process in &self.processes {
            let settings = process.daemons.clone().map(|daemon| {
                let caller_address = topology::peer_address(daemon);
                topology::settings(daemon, caller_address, self.store)
            });
            let daemons: Vec<Settings> = settings.collect::<Result<_, _>>()?;
            let request = StartRequest {
                daemons,
                expected_members,
            };
            starts.push(async move { process.control.post::<Done>(START_PATH, &request).await });
        }
        try_join_all(starts).await?;
        Ok(())
    }

    /// Asks all processes to note the loss of a member.
    pub async fn watch(&self, node: NodeId) -> Result<(), StepError> {
        let request = MemberRequest { node };
        let asked = self
            .processes
            .iter()
            .map(|process| process.control.post::<Done>(WATCH_PATH, &request));
        try_join_all(asked).await.map(drop)
    }

    /// Ends the n-th daemon without goodbye.
    pub async fn kill(&self, daemon: usize) -> Result<(), StepError> {
        let node = NodeId(topology::peer_address(daemon));
        for process in &self.processes {
            if process.daemons.contains(&daemon) {
                let request = MemberRequest { node };
                process.control.post::<Done>(KILL_PATH, &request).await?;
            }
        }
        Ok(())
    }

    /// What all have seen and spent.
    pub async fn report(&self) -> eyre::Result<FleetReport> {
        let mut fleet = FleetReport::default();
        for process in &self.processes {
            let id = process.process.id();
            fleet.cpu += usage::process_cpu(id)?;
            fleet.resident_bytes += usage::resident_bytes(id)?;
        }
        let asked = self
            .processes
            .iter()
            .map(|process| process.control.get::<HollowReport>(REPORT_PATH));
        for one in try_join_all(asked).await? {
            add(&mut fleet.report, one);
        }
        Ok(fleet)
    }
}

fn add(all: &mut HollowReport, one: HollowReport) {
    all.running += one.running;
    all.totals = Totals::plus(all.totals, one.totals);
    all.whole_at_micros.extend(one.whole_at_micros);
    all.ready_at_micros.extend(one.ready_at_micros);
    all.in_force.extend(one.in_force);
    all.losses.extend(one.losses);
    all.root_slots = all.root_slots.max(one.root_slots);
}
