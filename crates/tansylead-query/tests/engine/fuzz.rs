//! Stateful fuzz of the engine. `FUZZ_SEED` and `FUZZ_CASES` run other and longer series.

use crate::builders::{descriptor, snapshot};
use crate::transitions::{LEAFS, Script, Step, apply};
use crate::world::{Tampering, World};
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tansylead_query::EngineTuning;
use tansylead_types::{ServicePolicy, WaitPolicy};

const DEFAULT_SEED: u64 = 7;
const DEFAULT_CASES: u32 = 150;
/// Small, so that the budget is often empty.
const SMALL_BURST: u32 = 2;
const STEPS: std::ops::Range<usize> = 1..150;
/// After the steps every query must end within this time.
const LONGEST_QUERY: Duration = Duration::from_secs(1);

/// One series of random cases.
#[derive(Debug, Clone)]
pub struct Series {
    pub tuning: EngineTuning,
    pub policy: ServicePolicy,
    pub tampering: Tampering,
    /// Only violations that contain this text count.
    pub wanted: &'static str,
    /// Shrink iterations after a failure.
    pub shrinks: u32,
}

impl Series {
    /// The engine as it is, with these mechanisms and this policy.
    pub fn honest(tuning: EngineTuning, policy: ServicePolicy) -> Self {
        let retry_budget_burst = SMALL_BURST;
        Self {
            tuning: EngineTuning {
                retry_budget_burst,
                ..tuning
            },
            policy,
            tampering: Tampering::none(),
            wanted: "",
            shrinks: 2_000,
        }
    }

    /// Runs the series; the error names the first violation and the shrunk steps.
    pub fn run(&self) -> Result<(), String> {
        let config = Config {
            cases: from_environment("FUZZ_CASES").unwrap_or(DEFAULT_CASES),
            rng_seed: RngSeed::Fixed(from_environment("FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
            failure_persistence: None,
            max_shrink_iters: self.shrinks,
            ..Config::default()
        };
        let strategy = Script::sequential_strategy(STEPS);
        let outcome = TestRunner::new(config).run(&strategy, |(_, steps, seen)| {
            // The counter serves shrinking only, and must not move when nothing shrinks.
            let seen = seen.filter(|_| self.shrinks > 0);
            let outcome = self.run_steps(&steps, seen.as_deref());
            outcome.map_err(TestCaseError::fail)
        });
        outcome.map_err(|error| error.to_string())
    }

    fn run_steps(&self, steps: &[Step], seen: Option<&AtomicUsize>) -> Result<(), String> {
        let mut world = self.world();
        for step in steps {
            if let Some(seen) = seen {
                seen.fetch_add(1, Ordering::SeqCst);
            }
            apply(&mut world, step);
            self.first_violation(&world)?;
        }
        world.advance(LONGEST_QUERY);
        self.first_violation(&world)?;
        nothing_left_behind(&world)
    }

    fn world(&self) -> World {
        let leafs = (0..LEAFS).map(|number| descriptor(number, 2)).collect();
        let snapshots = vec![snapshot(1, 6, LEAFS), snapshot(2, 4, LEAFS)];
        let (tuning, policy) = (self.tuning.clone(), self.policy.clone());
        World::tampered(tuning, policy, leafs, snapshots, self.tampering)
    }

    fn first_violation(&self, world: &World) -> Result<(), String> {
        let mut violations = world.oracle.violations.iter();
        let violation = violations.find(|violation| violation.contains(self.wanted));
        violation.map_or(Ok(()), |violation| Err(violation.clone()))
    }
}

fn nothing_left_behind(world: &World) -> Result<(), String> {
    let status = world.engine.status(world.now);
    let left = (
        status.queries_in_progress,
        status.waiting_shards + status.backing_off_shards,
    );
    let busy = status.leafs.iter().any(|leaf| leaf.in_flight > 0);
    if left == (0, 0) && !busy {
        return Ok(());
    }
    Err(format!("left behind after all queries ended: {status:?}"))
}

fn from_environment<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn fuzz_default_engine() {
    let series = Series::honest(EngineTuning::default(), ServicePolicy::default());
    assert_eq!(series.run(), Ok(()));
}

#[test]
fn fuzz_early_partial_with_a_large_budget() {
    let policy = ServicePolicy {
        wait: WaitPolicy::EarlyPartial { after_millis: 20 },
        retry_budget_percent: 100.0,
        ..ServicePolicy::default()
    };
    let series = Series::honest(EngineTuning::default(), policy);
    assert_eq!(series.run(), Ok(()));
}

#[test]
fn fuzz_baseline_engine() {
    let series = Series::honest(EngineTuning::baseline(), ServicePolicy::default());
    assert_eq!(series.run(), Ok(()));
}
