//! Stateful fuzz test of the engine. `FUZZ_SEED` and `FUZZ_CASES` set the seed and the number of
//! cases.

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
/// Small, so that the retry budget is often empty.
const SMALL_BURST: u32 = 2;
const STEPS: std::ops::Range<usize> = 1..150;
/// Every query must end within this time after the last step.
const MAX_QUERY_DURATION: Duration = Duration::from_secs(1);

/// One series of random cases.
#[derive(Debug, Clone)]
pub struct Series {
    pub tuning: EngineTuning,
    pub policy: ServicePolicy,
    pub tampering: Tampering,
    /// Only violations that contain this text count; all if empty.
    pub expected_violation: &'static str,
    /// Shrink iterations after a failure.
    pub shrink_iterations: u32,
}

impl Series {
    /// A series without tampering, with these mechanisms and this policy.
    pub fn untampered(tuning: EngineTuning, policy: ServicePolicy) -> Self {
        let retry_budget_burst = SMALL_BURST;
        Self {
            tuning: EngineTuning {
                retry_budget_burst,
                ..tuning
            },
            policy,
            tampering: Tampering::none(),
            expected_violation: "",
            shrink_iterations: 2_000,
        }
    }

    /// Runs the series; the error names the first violation and the shrunk steps.
    pub fn run(&self) -> Result<(), String> {
        let config = Config {
            cases: from_environment("FUZZ_CASES").unwrap_or(DEFAULT_CASES),
            rng_seed: RngSeed::Fixed(from_environment("FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
            failure_persistence: None,
            max_shrink_iters: self.shrink_iterations,
            ..Config::default()
        };
        let strategy = Script::sequential_strategy(STEPS);
        let outcome = TestRunner::new(config).run(&strategy, |(_, steps, seen)| {
            // The counter is used for shrinking only, and must stay unused when shrinking is off.
            let seen = seen.filter(|_| self.shrink_iterations > 0);
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
        world.advance(MAX_QUERY_DURATION);
        self.first_violation(&world)?;
        check_nothing_left(&world)
    }

    fn world(&self) -> World {
        let leafs = (0..LEAFS).map(|number| descriptor(number, 2)).collect();
        let snapshots = vec![snapshot(1, 6, LEAFS), snapshot(2, 4, LEAFS)];
        let (tuning, policy) = (self.tuning.clone(), self.policy.clone());
        World::tampered(tuning, policy, leafs, snapshots, self.tampering)
    }

    fn first_violation(&self, world: &World) -> Result<(), String> {
        let mut violations = world.oracle.violations.iter();
        let violation = violations.find(|violation| violation.contains(self.expected_violation));
        violation.map_or(Ok(()), |violation| Err(violation.clone()))
    }
}

fn check_nothing_left(world: &World) -> Result<(), String> {
    let status = world.engine.status(world.now);
    let open = (
        status.queries_in_progress,
        status.waiting_shards + status.backing_off_shards,
    );
    let busy = status.leafs.iter().any(|leaf| leaf.in_flight > 0);
    if open == (0, 0) && !busy {
        return Ok(());
    }
    Err(format!("still in use after all queries ended: {status:?}"))
}

fn from_environment<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn fuzz_default_engine() {
    let series = Series::untampered(EngineTuning::default(), ServicePolicy::default());
    assert_eq!(series.run(), Ok(()));
}

#[test]
fn fuzz_early_partial_with_a_large_budget() {
    let policy = ServicePolicy {
        wait: WaitPolicy::EarlyPartial { after_millis: 20 },
        retry_budget_percent: 100.0,
        ..ServicePolicy::default()
    };
    let series = Series::untampered(EngineTuning::default(), policy);
    assert_eq!(series.run(), Ok(()));
}

#[test]
fn fuzz_baseline_engine() {
    let series = Series::untampered(EngineTuning::baseline(), ServicePolicy::default());
    assert_eq!(series.run(), Ok(()));
}
