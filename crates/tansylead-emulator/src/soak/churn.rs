//! Series of signals, restarts and changes that overlap, unlike the other faults of a soak, which come one by one.

use super::inject::STOP_LIMIT;
use crate::deployment::Deployment;
use crate::proxy::LinkFault;
use crate::store::StoreFault;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::io;
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::time::Instant;

/// Separates these draws from those of the other faults, so that a seed keeps giving the same faults.
const SEED_OFFSET: u64 = 0x6368_7572_6e00;
/// Share of a soak's faults that are followed by a series.
const SHARE: f64 = 0.3;
/// Number of overlapping spans of a series.
const SPANS: RangeInclusive<u32> = 3..=7;
/// Time within which the spans of a series begin, in milliseconds.
const BEGIN_MILLIS: u64 = 4_000;
/// Length of a span, in milliseconds.
const SPAN_MILLIS: RangeInclusive<u64> = 200..=3_000;
/// Time between the stops of two daemons that are restarted in turn, in milliseconds.
const TURN_MILLIS: RangeInclusive<u64> = 100..=1_500;
/// Period at which daemons that have exited are restarted.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// One step of a series.
#[derive(Debug, Clone, Copy)]
enum Step {
    HangUp(usize),
    /// Begins a planned stop. The daemon is restarted once it has exited.
    Terminate(usize),
    Kill(usize),
    Freeze(usize),
    Thaw(usize),
    Configure,
    /// Evacuates the zone of a leaf.
    Evacuate(usize),
    EndEvacuation(usize),
    Store(StoreFault),
    StoreLink(usize, LinkFault),
    LeafCrash(usize),
    LeafRestart(usize),
    DiscardHistory,
}

/// Draws and runs the series of a soak.
#[derive(Debug)]
pub(crate) struct Churn {
    random: StdRng,
}

impl Churn {
    /// Prepares the series of a seed.
    pub(crate) fn draw(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
        }
    }

    /// Runs a series if one is drawn now. Returns a description.
    pub(crate) async fn run_due(
        &mut self,
        deployment: &mut Deployment,
        violations: &mut Vec<String>,
    ) -> io::Result<Option<String>> {
        if !self.random.random_bool(SHARE) {
            return Ok(None);
        }
        let steps = self.draw_series(deployment);
        let description = format!("Churn({steps:?})");
        deployment.oracle.begin_fault(true);
        let result = run(deployment, &steps, violations).await;
        deployment.oracle.end_fault(true);
        result.map(|()| Some(description))
    }

    /// The steps of a series with the time of each, in their sequence.
    fn draw_series(&mut self, deployment: &Deployment) -> Vec<(Duration, Step)> {
        let daemons = deployment.daemons.len();
        let leafs = deployment.leafs.len();
        let mut steps = Vec::new();
        for _ in 0..self.random.random_range(SPANS) {
            let begin = Duration::from_millis(self.random.random_range(0..BEGIN_MILLIS));
            let length = Duration::from_millis(self.random.random_range(SPAN_MILLIS));
            // Draws full integers whatever the counts are, so that a seed always gives the same series.
            let daemon = self.random.random::<u32>() as usize % daemons;
            let leaf = self.random.random::<u32>() as usize % leafs;
            match self.random.random_range(0..14) {
                0..3 => steps.extend(self.draw_stop(daemon, begin, length)),
                3 => steps.extend(self.draw_restart_in_turn(daemons, begin)),
                4 => {
                    steps.push((begin, Step::Freeze(daemon)));
                    steps.push((begin + length, Step::Thaw(daemon)));
                }
                5 => steps.push((begin, Step::Kill(daemon))),
                6 => {
                    steps.extend([begin, begin + length / 2].map(|at| (at, Step::HangUp(daemon))));
                }
                7 | 8 => {
                    steps.extend([begin, begin + length].map(|at| (at, Step::Configure)));
                }
                9 => {
                    steps.push((begin, Step::Evacuate(leaf)));
                    steps.push((begin + length, Step::EndEvacuation(leaf)));
                }
                10 => {
                    let fault = match self.random.random_range(0..3) {
                        0 => StoreFault::Silent,
                        1 => StoreFault::Busy,
                        _ => StoreFault::Reset,
                    };
                    steps.push((begin, Step::Store(fault)));
                    steps.push((begin + length, Step::Store(StoreFault::None)));
                }
                11 => {
                    steps.push((begin, Step::StoreLink(daemon, LinkFault::Silent)));
                    steps.push((begin + length, Step::StoreLink(daemon, LinkFault::None)));
                }
                12 => {
                    steps.push((begin, Step::LeafCrash(leaf)));
                    steps.push((begin + length, Step::LeafRestart(leaf)));
                }
                _ => steps.push((begin, Step::DiscardHistory)),
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        steps
    }

    /// A planned stop with further signals during it.
    fn draw_stop(
        &mut self,
        daemon: usize,
        begin: Duration,
        length: Duration,
    ) -> Vec<(Duration, Step)> {
        let further = match self.random.random_range(0..4) {
            0 => Some(Step::Terminate(daemon)),
            1 => Some(Step::HangUp(daemon)),
            2 => Some(Step::Kill(daemon)),
            _ => None,
        };
        let further = further.map(|step| (begin + length, step));
        let stop = (begin, Step::Terminate(daemon));
        std::iter::once(stop).chain(further).collect()
    }

    /// Planned stops of all daemons, each before the one before has exited.
    fn draw_restart_in_turn(&mut self, daemons: usize, begin: Duration) -> Vec<(Duration, Step)> {
        let pause = Duration::from_millis(self.random.random_range(TURN_MILLIS));
        let stops = (0..daemons).map(|daemon| (begin + pause * daemon as u32, daemon));
        stops
            .map(|(at, daemon)| (at, Step::Terminate(daemon)))
            .collect()
    }
}

/// A daemon's planned stop in progress.
#[derive(Debug, Clone, Copy)]
struct PlannedStop {
    daemon: usize,
    deadline: Instant,
}

async fn run(
    deployment: &mut Deployment,
    steps: &[(Duration, Step)],
    violations: &mut Vec<String>,
) -> io::Result<()> {
    let began = Instant::now();
    let mut stops: Vec<PlannedStop> = Vec::new();
    for (at, step) in steps {
        while Instant::now() < began + *at {
            tokio::time::sleep(CHECK_PERIOD).await;
            restart_exited(deployment, &mut stops, violations)?;
        }
        apply(deployment, *step, &mut stops).await?;
    }
    while !stops.is_empty() {
        tokio::time::sleep(CHECK_PERIOD).await;
        restart_exited(deployment, &mut stops, violations)?;
    }
    Ok(())
}

async fn apply(
    deployment: &mut Deployment,
    step: Step,
    stops: &mut Vec<PlannedStop>,
) -> io::Result<()> {
    match step {
        Step::HangUp(daemon) => deployment.daemons[daemon].daemon.hang_up(),
        Step::Terminate(daemon) => {
            deployment.daemons[daemon].daemon.terminate();
            if !stops.iter().any(|stop| stop.daemon == daemon) {
                let deadline = Instant::now() + STOP_LIMIT;
                stops.push(PlannedStop { daemon, deadline });
            }
        }
        Step::Kill(daemon) => {
            stops.retain(|stop| stop.daemon != daemon);
            deployment.daemons[daemon].daemon.restart()?;
        }
        Step::Freeze(daemon) => deployment.daemons[daemon].daemon.freeze(),
        Step::Thaw(daemon) => {
            deployment.daemons[daemon].daemon.thaw();
            // A stop goes on where it was when the process was suspended.
            for stop in stops.iter_mut().filter(|stop| stop.daemon == daemon) {
                stop.deadline = Instant::now() + STOP_LIMIT;
            }
        }
        Step::Configure => {
            let routes = deployment.routes.all();
            deployment.configure(&routes);
        }
        Step::Evacuate(leaf) => deployment.evacuate(&deployment.leafs[leaf].plan.zone),
        Step::EndEvacuation(leaf) => deployment.end_evacuation(&deployment.leafs[leaf].plan.zone),
        Step::Store(fault) => deployment.store.set_fault(fault),
        Step::StoreLink(daemon, fault) => deployment.daemons[daemon].store_link.set_fault(fault),
        Step::LeafCrash(leaf) => {
            deployment.leafs[leaf].leaf = None;
            deployment.leafs[leaf].proxy.reset();
        }
        Step::LeafRestart(leaf) => deployment.restart_leaf(leaf).await?,
        Step::DiscardHistory => deployment.store.discard_history(),
    }
    Ok(())
}

/// Restarts daemons that have exited by themselves, and reports those that have not in time.
fn restart_exited(
    deployment: &mut Deployment,
    stops: &mut Vec<PlannedStop>,
    violations: &mut Vec<String>,
) -> io::Result<()> {
    let mut open = Vec::new();
    for stop in stops.drain(..) {
        let daemon = &mut deployment.daemons[stop.daemon].daemon;
        let has_exited = daemon.exit_status().is_some();
        let is_late = Instant::now() > stop.deadline && !daemon.is_frozen();
        if is_late && !has_exited {
            violations.push(format!(
                "STOP: {} did not end amid a series",
                daemon.plan().name
            ));
        }
        if has_exited || is_late {
            daemon.restart()?;
        } else {
            open.push(stop);
        }
    }
    *stops = open;
    Ok(())
}
