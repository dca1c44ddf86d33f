//! AcceptanceTest: no wrong outcome and no change applied twice, whichever answers are lost.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::time::Duration;
use tansylead_table::{
    AcceptAction, AcceptEvent, AcceptOutcome, AcceptSettings, Acceptance, Base, Proposal,
};
use tansylead_types::{
    ChangeId, ConfigObject, Moment, ObjectKey, StoredObject, TableChange, TableRow, TrafficTable,
    WallTime,
};
use world::{Flaw, Operation, World, operation};

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

/// [`config`], with seed and cases from `FUZZ_SEED` and `FUZZ_CASES` for longer runs by hand.
fn fuzz_config(default_cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let cases = number("FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    let config = config(cases.unwrap_or(default_cases));
    let rng_seed = number("FUZZ_SEED").map_or(config.rng_seed, RngSeed::Fixed);
    Config { rng_seed, ..config }
}

/// Reference without state: the world checks against the store's log.
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

struct AcceptanceTest;

impl StateMachineTest for AcceptanceTest {
    type SystemUnderTest = World;
    type Reference = AnyOperations;

    fn init_test((): &()) -> World {
        World::new(Flaw::None)
    }

    fn apply(mut world: World, (): &(), operation: Operation) -> World {
        world.apply(&operation).expect("as the store's log has it");
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle().expect("a definite answer once faults stop");
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(400))]

    #[test]
    fn outcomes_agree_with_the_log_of_the_store(sequential 1..120 => AcceptanceTest);
}

fn finds_violation(flaw: Flaw) -> bool {
    let operations = proptest::collection::vec(operation(), 1..120);
    let run = |operations: Vec<Operation>| {
        let mut world = World::new(flaw);
        let outcome = operations
            .iter()
            .try_for_each(|operation| world.apply(operation))
            .and_then(|()| world.settle());
        outcome.map_err(TestCaseError::fail)
    };
    let without_shrinking = Config {
        max_shrink_iters: 0,
        ..config(400)
    };
    let outcome = TestRunner::new(without_shrinking).run(&operations, run);
    matches!(outcome, Err(TestError::Fail(..)))
}

#[test]
fn the_oracle_accepts_the_machine_and_finds_each_flaw() {
    assert!(!finds_violation(Flaw::None));
    assert!(finds_violation(Flaw::LostAnswerTakenForRefusal));
    assert!(finds_violation(Flaw::StoreWithoutCompareAndSet));
}

fn change(text: &str) -> ChangeId {
    ChangeId::new(text).expect("name")
}

fn row(place: &str, limit: u32) -> TableRow {
    TableRow {
        service: "screening-1".parse().expect("name"),
        place: place.parse().expect("name"),
        hours: "6-18".parse().expect("hours"),
        weight: 10,
        limit,
    }
}

/// The table after `generation` changes, each named after its generation, the last 64 recorded.
fn stored(generation: u64, rows: Vec<TableRow>) -> StoredObject {
    let recorded = |generation: u64| TableChange {
        generation,
        change: change(&format!("change-{generation}")),
        proposed_at: WallTime(0),
        author: "fatma".to_owned(),
        comment: format!("reason {generation}"),
    };
    let first = generation.saturating_sub(63).max(1);
    StoredObject {
        key: ObjectKey::Table,
        revision: generation,
        generation,
        change: change(&format!("change-{generation}")),
        object: Some(ConfigObject::Table(TrafficTable {
            rows,
            recent_changes: (first..=generation).map(recorded).collect(),
        })),
    }
}

fn proposal(change_id: &str) -> Proposal {
    Proposal {
        change: change(change_id),
        author: "somchai".to_owned(),
        comment: "more in Bangkok".to_owned(),
        proposed_at: WallTime(0),
        base: Base::of(Some(&stored(
            7,
            vec![row("bangkok", 200), row("phuket", 100)],
        ))),
        rows: vec![row("bangkok", 250), row("phuket", 100)],
    }
}

fn start(change_id: &str, known_generation: u64) -> Acceptance {
    let settings = AcceptSettings::default();
    let (accept, actions) =
        Acceptance::start(Moment(0), proposal(change_id), known_generation, settings);
    assert_eq!(actions, [AcceptAction::Read]);
    accept
}

fn read(accept: &mut Acceptance, stored: StoredObject) -> Vec<AcceptAction> {
    accept.on_event(Moment(0), AcceptEvent::Read(Some(Box::new(stored))))
}

fn finished(actions: Vec<AcceptAction>) -> AcceptOutcome {
    match actions.as_slice() {
        [AcceptAction::Finish(outcome)] => (**outcome).clone(),
        other => panic!("not finished: {other:?}"),
    }
}

#[test]
fn a_conflict_shows_what_the_others_changed() {
    let current = stored(
        9,
        vec![row("bangkok", 220), row("phuket", 100), row("krabi", 10)],
    );
    let outcome = finished(read(&mut start("mine", 0), current));
    insta::assert_snapshot!(outcome);
}

#[test]
fn an_own_change_is_found_after_others_have_overwritten_it() {
    // The proposal's change made generation 8; 3 others have followed, or 70.
    let outcome = finished(read(&mut start("change-8", 0), stored(11, vec![])));
    assert_eq!(
        outcome,
        AcceptOutcome::Accepted {
            generation: 8,
            revision: 11
        }
    );
    let outcome = finished(read(&mut start("change-8", 0), stored(78, vec![])));
    insta::assert_snapshot!(outcome);
}

#[test]
fn a_store_restored_to_an_older_state_is_refused() {
    let end = Moment(0) + AcceptSettings::default().time_limit;
    let mut behind_base = start("mine", 0);
    assert_eq!(read(&mut behind_base, stored(5, vec![])), []);
    insta::assert_snapshot!(finished(behind_base.on_event(end, AcceptEvent::Wakeup)));
    let mut behind_daemons = start("mine", 12);
    assert_eq!(read(&mut behind_daemons, stored(7, vec![])), []);
    insta::assert_snapshot!(finished(behind_daemons.on_event(end, AcceptEvent::Wakeup)));
    let mut written_anew = stored(7, vec![]);
    written_anew.change = change("another");
    insta::assert_snapshot!(finished(read(&mut start("mine", 0), written_anew)));
}

#[test]
fn a_store_that_is_down_gives_a_true_outcome() {
    let end = Moment(0) + AcceptSettings::default().time_limit;
    let mut never_reached = start("mine", 0);
    let down = AcceptEvent::ReadFailed("read store object (10.0.0.1:80): refused".to_owned());
    assert_eq!(never_reached.on_event(Moment(0), down), []);
    insta::assert_snapshot!(finished(never_reached.on_event(end, AcceptEvent::Wakeup)));
    let mut answer_lost = start("mine", 0);
    let write = read(&mut answer_lost, stored(7, vec![row("bangkok", 200)]));
    assert!(matches!(write.as_slice(), [AcceptAction::Write(_)]));
    let lost = AcceptEvent::WriteUnknown("no answer within 5000 ms".to_owned());
    assert_eq!(
        answer_lost.on_event(Moment(0) + Duration::from_secs(5), lost),
        []
    );
    insta::assert_snapshot!(finished(answer_lost.on_event(end, AcceptEvent::Wakeup)));
}
