//! One run after the other: start all together, hold still, change the table, kill members.

use super::cluster::{ClusterOptions, ScaleCluster};
use super::configuration;
use super::figures::{PerDaemon, RealDaemon, SizeFigures, Spread, StoreFigures};
use super::fleet::FleetReport;
use super::message::{HollowReport, InForce};
use super::real::{RealProcess, RealReading};
use super::{report, topology};
use crate::experiment::usage::{self, MachineTime};
use crate::store::ReadCounts;
use crate::wall_clock;
use std::time::{Duration, Instant};
use tansylead_types::{ChangeId, ConfigObject, NodeId, ObjectKey};

/// Longest wait until every daemon knows every member.
const JOIN_LIMIT: Duration = Duration::from_secs(60);
/// Pause between two looks while waiting.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Pause after joining, until what joining left behind has been said.
const SETTLE: Duration = Duration::from_secs(3);
/// Window without changes and faults.
const STEADY: Duration = Duration::from_secs(10);
/// Table changes.
const CHANGES: u32 = 3;
/// Time between table changes.
const CHANGE_PERIOD: Duration = Duration::from_secs(2);
/// Longest wait until the last change is everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// Members killed one after the other.
const KILLS: usize = 2;
/// Longest wait until a loss is noted everywhere.
const KILL_LIMIT: Duration = Duration::from_secs(20);
/// Memory that all daemons may take: half of the machine for which the run is made.
const MEMORY_LIMIT_MEGABYTES: f64 = 16_000.0;

/// Runs all sizes and prints the report.
pub async fn run_sizes(sizes: &[usize], options: &ClusterOptions) -> eyre::Result<()> {
    let mut measured: Vec<SizeFigures> = Vec::new();
    for &size in sizes {
        if let Some(last) = measured.last()
            && last.resident_megabytes * size as f64 > MEMORY_LIMIT_MEGABYTES
        {
            println!("{size} daemons not run: more than half of the machine's memory");
            continue;
        }
        let figures = run_size(size, options).await?;
        report::print_progress(&figures)?;
        measured.push(figures);
    }
    report::print(&measured)
}

async fn run_size(size: usize, options: &ClusterOptions) -> eyre::Result<SizeFigures> {
    let cluster = ScaleCluster::prepare(size, options).await?;
    let mut run = Run {
        cluster,
        real: Vec::new(),
        figures: SizeFigures {
            daemons: size,
            ..SizeFigures::default()
        },
    };
    run.join().await?;
    tokio::time::sleep(SETTLE).await;
    run.hold_still().await?;
    run.change_table().await?;
    run.kill_members().await?;
    Ok(run.figures)
}

/// A run of one size.
struct Run {
    cluster: ScaleCluster,
    real: Vec<RealProcess>,
    figures: SizeFigures,
}

/// All counters at one moment.
struct Reading {
    at: Instant,
    fleet: FleetReport,
    store: ReadCounts,
    machine: MachineTime,
}

impl Run {
    async fn join(&mut self) -> eyre::Result<()> {
        let before = self.read().await?;
        let started = wall_clock::unix_micros();
        self.real = self.cluster.start_daemons().await?;
        let hollow = self.cluster.hollow_count;
        self.wait(JOIN_LIMIT, |report| {
            report.whole_at_micros.len() >= hollow && report.ready_at_micros.len() >= hollow
        })
        .await?;
        let after = self.read().await?;
        let report = &after.fleet.report;
        self.figures.hollow = hollow;
        self.figures.hollow_processes = self.cluster.hollow.process_count();
        self.figures.ready = Spread::of(started, &report.ready_at_micros, hollow);
        self.figures.whole = Spread::of(started, &report.whole_at_micros, hollow);
        self.figures.joining = self.between(&before, &after);
        self.figures.store.reads_while_joining = reads(&after.store) - reads(&before.store);
        Ok(())
    }

    async fn hold_still(&mut self) -> eyre::Result<()> {
        let before = self.read().await?;
        let real_before = self.read_real().await?;
        tokio::time::sleep(STEADY).await;
        let after = self.read().await?;
        let window = after.at - before.at;
        self.figures.steady = self.between(&before, &after);
        self.figures.root_slots = after.fleet.report.root_slots;
        let resident = after.fleet.resident_bytes as f64 / self.cluster.hollow_count as f64;
        self.figures.resident_megabytes = resident / super::real::MEGABYTE;
        self.figures.store = StoreFigures {
            reads_per_second: (reads(&after.store) - reads(&before.store)) as f64
                / window.as_secs_f64(),
            readers: after.store.recent_readers,
            readers_ever: after.store.distinct_readers,
            ..self.figures.store
        };
        self.figures.real = self.real_since(&real_before, window).await?;
        Ok(())
    }

    async fn change_table(&mut self) -> eyre::Result<()> {
        let before = self.read().await?;
        let mut written = Vec::new();
        for number in 1..=CHANGES {
            let table = configuration::table(self.cluster.configuration, number + 1)?;
            let table = ConfigObject::Table(table);
            self.figures.table_json_bytes = serde_json::to_vec(&table)?.len();
            let change = ChangeId::new(format!("scale-{number}"))?;
            let started = wall_clock::unix_micros();
            let store = &self.cluster.store;
            let object = store.put(&ObjectKey::Table, &change, &table).await?;
            written.push((object.revision, started));
            tokio::time::sleep(CHANGE_PERIOD).await;
        }
        let after = self.read().await?;
        self.figures.changing = self.between(&before, &after);
        let hollow = self.cluster.hollow_count;
        let last = written.last().map_or(0, |(revision, _)| *revision);
        let report = self
            .wait(CHANGE_LIMIT, |report| {
                moments_of_revision(report, last).len() >= hollow
            })
            .await?;
        for (revision, started) in written {
            let moments = moments_of_revision(&report, revision);
            self.figures
                .changes
                .push(Spread::of(started, &moments, hollow));
        }
        Ok(())
    }

    async fn kill_members(&mut self) -> eyre::Result<()> {
        let hollow = self.cluster.hollow_count;
        for number in 1..=KILLS.min(hollow.saturating_sub(1)) {
            let daemon = hollow - number;
            let node = NodeId(topology::peer_address(daemon));
            self.cluster.hollow.watch(node).await?;
            let started = wall_clock::unix_micros();
            self.cluster.hollow.kill(daemon).await?;
            let others = hollow - number;
            let report = self
                .wait(KILL_LIMIT, |report| {
                    moments_of_loss(report, node).len() >= others
                })
                .await?;
            let moments = moments_of_loss(&report, node);
            let spread = Spread::of(started, &moments, others);
            self.figures.detections.push(spread);
        }
        Ok(())
    }

    /// Waits until a condition holds or the time has passed; the last report either way.
    async fn wait(
        &self,
        limit: Duration,
        is_reached: impl Fn(&HollowReport) -> bool,
    ) -> eyre::Result<HollowReport> {
        let give_up = Instant::now() + limit;
        loop {
            let report = self.cluster.hollow.report().await?.report;
            if is_reached(&report) || Instant::now() >= give_up {
                return Ok(report);
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }

    async fn read(&self) -> eyre::Result<Reading> {
        Ok(Reading {
            at: Instant::now(),
            fleet: self.cluster.hollow.report().await?,
            store: self.cluster.store.read_counts().await?,
            machine: usage::machine_time()?,
        })
    }

    fn between(&self, before: &Reading, after: &Reading) -> PerDaemon {
        let window = after.at - before.at;
        let added = after.fleet.report.totals.since(before.fleet.report.totals);
        let cpu = after.fleet.cpu.saturating_sub(before.fleet.cpu);
        let busy = after.machine.busy_share_since(before.machine);
        PerDaemon {
            machine_busy_percent: busy * 100.0,
            ..PerDaemon::of(window, added, cpu, self.cluster.hollow_count)
        }
    }

    async fn read_real(&self) -> eyre::Result<Vec<RealReading>> {
        let mut readings = Vec::new();
        for process in &self.real {
            readings.push(process.read().await?);
        }
        Ok(readings)
    }

    async fn real_since(
        &self,
        before: &[RealReading],
        window: Duration,
    ) -> eyre::Result<Vec<RealDaemon>> {
        let mut figures = Vec::new();
        for (process, reading) in self.real.iter().zip(before) {
            figures.push(process.figures(*reading, window).await?);
        }
        Ok(figures)
    }
}

fn reads(counts: &ReadCounts) -> u64 {
    counts.reads + counts.watches
}

/// When daemons first had a revision in force, or a later one.
fn moments_of_revision(report: &HollowReport, revision: u64) -> Vec<u64> {
    let exact = |moment: &&InForce| moment.revision >= revision && moment.previous < revision;
    let moments = report.in_force.iter().filter(exact);
    moments.map(|moment| moment.at_micros).collect()
}

fn moments_of_loss(report: &HollowReport, node: NodeId) -> Vec<u64> {
    let losses = report.losses.iter().filter(|loss| loss.node == node);
    losses.map(|loss| loss.at_micros).collect()
}
