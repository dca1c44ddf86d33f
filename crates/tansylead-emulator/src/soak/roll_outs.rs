//! Roll-outs of a soak: drawn from the seed at the start, ordered when they are due.

use crate::deployment::Deployment;
use crate::roll_out_plan::{RollOutPlan, TargetLeafs};
use crate::version::{FIRST_VERSION, VersionDefect};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

/// Separates the draws of roll-outs from those of faults.
const SEED_OFFSET: u64 = 0x5eed_0f00_0000_0000;
/// Durations of roll-outs, in milliseconds.
const MINIMUM_DURATION_MILLIS: u64 = 5_000;
const MAXIMUM_DURATION_MILLIS: u64 = 9_000;
/// Pause between two roll-outs, in milliseconds: one is in progress for a third to half of the time.
const PAUSE_MILLIS: std::ops::Range<u64> = 4_000..16_000;
/// Share of roll-outs whose order is replaced by another one midway.
const REPLACED_SHARE: f64 = 0.15;
/// Share of roll-outs whose order is withdrawn midway.
const WITHDRAWN_SHARE: f64 = 0.1;
/// Share of roll-outs to the version that the deployment started with.
const FIRST_VERSION_SHARE: f64 = 0.1;
/// Time after its deadline within which a roll-out may still end, because the store may have been unavailable.
const LATE_END_LIMIT: Duration = Duration::from_secs(12);

#[derive(Debug, Clone)]
enum Step {
    Order(RollOutPlan),
    Withdraw(String),
}

/// The remaining roll-outs of a soak.
#[derive(Debug)]
pub(crate) struct RollOutSchedule {
    started: Instant,
    steps: VecDeque<(Duration, Step)>,
}

impl RollOutSchedule {
    /// Draws the roll-outs of a soak of this duration.
    pub(crate) fn draw(seed: u64, duration: Duration, services: &[String]) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ SEED_OFFSET);
        let mut steps = VecDeque::new();
        let mut at = Duration::from_secs(1);
        let mut number = 2;
        while at < duration {
            let Some(service) = services.choose(&mut random) else {
                break;
            };
            let plan = draw_roll_out(&mut random, service, &format!("v{number}"));
            let (middle, end) = (at + plan.duration / 2, at + plan.duration);
            steps.push_back((at, Step::Order(plan.clone())));
            if random.random_bool(REPLACED_SHARE) {
                // A repeated order has the same version with the same defect.
                let other = if random.random_bool(0.5) {
                    plan
                } else {
                    draw_roll_out(&mut random, service, &format!("v{}", number + 1))
                };
                steps.push_back((middle, Step::Order(other)));
            } else if random.random_bool(WITHDRAWN_SHARE) {
                steps.push_back((middle, Step::Withdraw(service.clone())));
            }
            at = end + Duration::from_millis(random.random_range(PAUSE_MILLIS));
            number += 2;
        }
        Self {
            started: Instant::now(),
            steps,
        }
    }

    /// Runs the steps that are due.
    pub(crate) async fn run_due(&mut self, deployment: &mut Deployment) -> io::Result<()> {
        let now = self.started.elapsed();
        while self.steps.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, step)) = self.steps.pop_front() else {
                break;
            };
            match step {
                Step::Order(plan) if deployment.runs_version(&plan.service, &plan.target) => {}
                Step::Order(plan) => {
                    deployment.roll_out(&plan).await?;
                }
                Step::Withdraw(service) => deployment.withdraw_roll_out(&service),
            }
        }
        Ok(())
    }
}

fn draw_roll_out(random: &mut StdRng, service: &str, target: &str) -> RollOutPlan {
    let duration = random.random_range(MINIMUM_DURATION_MILLIS..MAXIMUM_DURATION_MILLIS);
    let duration = Duration::from_millis(duration);
    if random.random_bool(FIRST_VERSION_SHARE) {
        return RollOutPlan::good(service, FIRST_VERSION, duration);
    }
    draw_defect(random, RollOutPlan::good(service, target, duration))
}

/// Gives half of the roll-outs a random defect.
pub(crate) fn draw_defect(random: &mut StdRng, good: RollOutPlan) -> RollOutPlan {
    if random.random_bool(0.5) {
        return good;
    }
    let share = random.random_range(0.1..0.5);
    let delay = good.duration.mul_f64(random.random_range(0.2..0.7));
    let mut leafs = TargetLeafs::Start;
    let defect = match random.random_range(0..8) {
        0 | 1 => VersionDefect::Fails(share),
        2 => VersionDefect::FailsLater(delay, share),
        3 => VersionDefect::FailsUnderLoad(random.random_range(4..8), share),
        4 => VersionDefect::FailsOnPath(read_path(&good.service), share),
        5 => VersionDefect::Slow(random.random_range(3.0..8.0)),
        6 => {
            leafs = TargetLeafs::Never;
            VersionDefect::None
        }
        _ => {
            leafs = TargetLeafs::Crash(delay);
            VersionDefect::None
        }
    };
    RollOutPlan {
        defect,
        leafs,
        ..good
    }
}

/// Path prefix of one of the two routes of a further service; other services have a single route.
fn read_path(service: &str) -> String {
    if service.starts_with("further-") {
        format!("/{service}-read/")
    } else {
        "/".to_owned()
    }
}

/// Waits until all roll-outs have ended or their deadlines are long past.
pub(crate) async fn wait_for_ends(deployment: &Deployment) {
    const PERIOD: Duration = Duration::from_millis(100);
    let limit = Duration::from_millis(MAXIMUM_DURATION_MILLIS) + LATE_END_LIMIT;
    let started = Instant::now();
    let is_open = |service: &String| deployment.is_rolling_out(service);
    while deployment.services().iter().any(is_open) && started.elapsed() < limit {
        tokio::time::sleep(PERIOD).await;
    }
}
