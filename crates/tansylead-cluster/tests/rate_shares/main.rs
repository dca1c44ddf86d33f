//! Shares of a limit never sum above it, follow demand, and return to base shares without messages.

#[path = "../common/fuzz.rs"]
mod fuzz;
mod world;

use fuzz::fuzz_config;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tansylead_cluster::routing::{RateShares, ShareAction, ShareMessage, ShareParts, ShareTiming};
use tansylead_types::{InstanceId, Moment, NodeId};
use world::{Flaw, Operation, World, operation};

/// Configuration that finds the flaws, whatever `FUZZ_SEED` and `FUZZ_CASES` say.
fn fixed_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Reference without state: the world itself checks the sum at every event.
struct AnyOperations;

impl ReferenceStateMachine for AnyOperations {
    type State = ();
    type Transition = Operation;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Operation> {
        operation().boxed()
    }

    fn apply((): (), _: &Operation) {}
}

struct Shares;

impl StateMachineTest for Shares {
    type SystemUnderTest = World;
    type Reference = AnyOperations;

    fn init_test((): &()) -> World {
        World::new(Flaw::None)
    }

    fn apply(mut world: World, (): &(), operation: Operation) -> World {
        world.apply(&operation).expect("within the limit");
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(200))]

    #[test]
    fn usable_parts_never_sum_above_the_limit(sequential 1..80 => Shares);
}

proptest! {
    #![proptest_config(fuzz_config(200))]

    #[test]
    fn late_views_alone_do_not_break_the_limit(
        operations in proptest::collection::vec(operation(), 1..80),
    ) {
        let mut world = World::without_pauses();
        for operation in &operations {
            world.apply(operation).map_err(TestCaseError::fail)?;
        }
    }
}

/// Whether the same kind of operations finds a sum above the limit.
fn finds_violation(flaw: Flaw) -> bool {
    let operations = proptest::collection::vec(operation(), 1..80);
    let run = |operations: Vec<Operation>| {
        let mut world = World::new(flaw);
        let outcome = operations
            .iter()
            .try_for_each(|operation| world.apply(operation));
        outcome.map_err(TestCaseError::fail)
    };
    let without_shrinking = Config {
        max_shrink_iters: 0,
        ..fixed_config(400)
    };
    let outcome = TestRunner::new(without_shrinking).run(&operations, run);
    matches!(outcome, Err(TestError::Fail(..)))
}

#[test]
fn the_oracle_accepts_the_machine_and_finds_each_flaw() {
    assert!(!finds_violation(Flaw::None));
    assert!(finds_violation(Flaw::NoTakeoverWait), "no takeover wait");
    assert!(finds_violation(Flaw::NoPauseLimit), "no pause limit");
    assert!(finds_violation(Flaw::LenderClockRunsFast), "fast clock");
    assert!(finds_violation(Flaw::ViewsLagTooLong), "late views");
}

fn run(world: &mut World, millis: u64) {
    world
        .apply(&Operation::Advance { millis })
        .expect("within the limit");
}

#[test]
fn shares_follow_demand_and_lapse_when_peers_are_silent() {
    let half = ShareParts(500_000);
    let mut world = World::new(Flaw::None);
    run(&mut world, 9_000);
    assert_eq!((world.usable(0), world.usable(1)), (half, half));
    world
        .apply(&Operation::Demand { node: 0, rate: 700 })
        .expect("set");
    run(&mut world, 2_000);
    // 700 queries per second plus a quarter of headroom, of a limit of 1,000.
    assert_eq!(
        (world.usable(0), world.usable(1)),
        (ShareParts(875_000), ShareParts(125_000))
    );
    run(&mut world, 10_000);
    assert_eq!(
        world.usable(0),
        ShareParts(875_000),
        "renewed while it is needed"
    );
    let silence = Operation::Network {
        loss: 100,
        duplicates: 0,
        delay_millis: 1,
    };
    world.apply(&silence).expect("set");
    run(&mut world, 2_500);
    assert_eq!((world.usable(0), world.usable(1)), (half, half));
}

#[test]
fn a_root_whose_slot_moves_keeps_its_share() {
    let half = ShareParts(500_000);
    let mut world = World::new(Flaw::None);
    run(&mut world, 9_000);
    // Root 0 leaves, root 1 moves to its slot, root 2 joins.
    world.apply(&Operation::Rotate { node: 2 }).expect("set");
    for _ in 0..40 {
        run(&mut world, 100);
        assert_eq!(world.usable(1), half);
    }
}

#[test]
fn a_root_that_paused_too_long_uses_nothing_until_the_takeover_time_has_passed() {
    let mut world = World::new(Flaw::None);
    run(&mut world, 9_000);
    world
        .apply(&Operation::Pause {
            node: 1,
            millis: 3_000,
        })
        .expect("set");
    run(&mut world, 3_000);
    assert_eq!(
        world.usable(1),
        ShareParts(0),
        "on waking, before any event"
    );
    run(&mut world, 5_500);
    assert_eq!(world.usable(1), ShareParts(0));
    run(&mut world, 1_000);
    assert_eq!(world.usable(1), ShareParts(500_000));
}

/// Starts a borrower whose peer can lend all its parts; returns the id of its first loan request.
fn borrower_with_request(boot: u64) -> (RateShares, u64) {
    let [own, lender] = [1, 2].map(|port| NodeId(([127, 0, 0, 1], port).into()));
    let mut shares = RateShares::new(
        Moment(0),
        InstanceId { node: own, boot },
        ShareTiming::default(),
    );
    shares.set_limit(1_000);
    shares.set_demand(900.0);
    shares.set_roots(Moment(0), &[own, lender]);
    let spare = ShareParts(500_000);
    shares.on_message(Moment(0), lender, ShareMessage::Report { spare });
    let mut requests = shares.on_wakeup(Moment(0)).into_iter();
    let id = requests.find_map(|ShareAction::Send { message, .. }| match message {
        ShareMessage::Request { id, .. } => Some(id),
        _ => None,
    });
    (shares, id.expect("asks the lender"))
}

#[test]
fn a_grant_for_an_earlier_run_answers_no_ask_of_this_one() {
    let lender = NodeId(([127, 0, 0, 1], 2).into());
    let (_, earlier_request_id) = borrower_with_request(1_000_000);
    let late = ShareMessage::Grant {
        id: earlier_request_id,
        lent: ShareParts(400_000),
    };
    let (mut restarted, _) = borrower_with_request(2_000_000);
    restarted.on_message(Moment(1), lender, late);
    assert_eq!(restarted.usable(Moment(1)), ShareParts(0));
    // The fault: request numbers repeat after a restart.
    let (mut broken, _) = borrower_with_request(1_000_000);
    broken.on_message(Moment(1), lender, late);
    assert_eq!(broken.usable(Moment(1)), ShareParts(400_000));
}

#[test]
fn messages_survive_the_codec_and_stay_small() {
    let message = ShareMessage::Grant {
        id: u64::MAX,
        lent: ShareParts::WHOLE,
    };
    let bytes = postcard::to_stdvec(&message).expect("encodes");
    assert_eq!(
        postcard::from_bytes::<ShareMessage>(&bytes).expect("decodes"),
        message
    );
    assert!(bytes.len() <= 16, "{} bytes", bytes.len());
}
