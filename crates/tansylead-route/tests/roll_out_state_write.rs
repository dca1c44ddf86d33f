//! The state of a roll-out is written to the source, whichever answers are lost or late.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use tansylead_route::{
    OrderId, Revision, RollOut, RollOutState, StateWrite, StateWriteEnd, WriteEnd, WriteFailure,
    WriteStep,
};
use tansylead_types::{Moment, ServiceName, SoftwareVersion};

/// A random number that gives a jitter factor of one.
const NO_JITTER: f64 = 0.5;

fn order(made: &str, state: RollOutState, changed_at: u64) -> RollOut {
    let service = ServiceName::new("service").expect("valid name");
    let target = SoftwareVersion::new("v2").expect("valid name");
    let duration = Duration::from_secs(20);
    RollOut {
        order: OrderId::new(&service, &target, duration, made),
        service,
        target,
        duration,
        state,
        changed_at: Revision::first_era(changed_at),
    }
}

fn running() -> RollOut {
    order("first", RollOutState::Running, 7)
}

fn completion() -> StateWrite {
    StateWrite::new(running(), RollOutState::Completed)
}

fn now() -> Moment {
    Moment::from_millis(1_000)
}

/// The backoff before the next call, zero if there is none.
fn backoff(write: &StateWrite, now: Moment) -> Duration {
    match write.next(now) {
        WriteStep::WaitUntil(moment) => moment.since(now),
        _ => Duration::ZERO,
    }
}

#[test]
fn a_write_that_is_applied_ends_the_task() {
    let mut write = completion();
    let step = write.next(now());
    assert_eq!(
        step,
        WriteStep::Write {
            roll_out: running()
        }
    );
    write.on_write(
        now(),
        Ok(WriteEnd::Written(Revision::first_era(9))),
        NO_JITTER,
    );
    let end = StateWriteEnd::Confirmed(Revision::first_era(9));
    assert_eq!(write.next(now()), WriteStep::Ended(end));
}

#[test]
fn nothing_is_written_if_the_source_has_the_state_or_the_roll_out_has_ended() {
    for (state, end) in [
        (
            RollOutState::Completed,
            StateWriteEnd::Confirmed(Revision::first_era(7)),
        ),
        (
            RollOutState::RolledBack,
            StateWriteEnd::EndedAs(RollOutState::RolledBack),
        ),
    ] {
        let write = StateWrite::new(order("first", state, 7), RollOutState::Completed);
        assert_eq!(write.next(now()), WriteStep::Ended(end));
    }
}

#[test]
fn a_lost_answer_is_read_back_before_anything_else_is_written() {
    let mut write = completion();
    write.on_write(now(), Err(WriteFailure::Unknown), NO_JITTER);
    assert_eq!(write.next(now()), WriteStep::Read);
    write.on_read(now(), Err(WriteFailure::Refused), NO_JITTER);
    let waited = now() + backoff(&write, now());
    assert!(waited > now());
    assert_eq!(write.next(waited), WriteStep::Read, "still unknown");
    let done = order("first", RollOutState::Completed, 8);
    write.on_read(waited, Ok(Some(&done)), NO_JITTER);
    let end = StateWriteEnd::Confirmed(Revision::first_era(8));
    assert_eq!(write.next(waited), WriteStep::Ended(end));
}

#[test]
fn a_lost_write_that_was_not_applied_is_retried_after_a_backoff() {
    let mut write = completion();
    write.on_write(now(), Err(WriteFailure::Unknown), NO_JITTER);
    write.on_read(now(), Ok(Some(&running())), NO_JITTER);
    let waited = now() + backoff(&write, now());
    assert!(waited > now());
    let again = WriteStep::Write {
        roll_out: running(),
    };
    assert_eq!(write.next(waited), again);
}

#[test]
fn a_write_that_is_applied_seconds_later_is_confirmed_by_a_conflict() {
    let mut write = completion();
    write.on_write(now(), Err(WriteFailure::Unknown), NO_JITTER);
    write.on_read(now(), Ok(Some(&running())), NO_JITTER);
    // The first write is applied only now, so that the condition of the second one no longer holds.
    let done = order("first", RollOutState::Completed, 8);
    let conflict = WriteEnd::Conflict(Some(Box::new(done)));
    write.on_write(now(), Ok(conflict), NO_JITTER);
    let end = StateWriteEnd::Confirmed(Revision::first_era(8));
    assert_eq!(write.next(now()), WriteStep::Ended(end));
}

#[test]
fn after_a_conflict_with_an_open_state_the_write_is_retried_at_once_with_the_new_revision() {
    let ordered = order("first", RollOutState::Ordered, 5);
    let mut write = StateWrite::new(ordered, RollOutState::RolledBack);
    let conflict = WriteEnd::Conflict(Some(Box::new(running())));
    write.on_write(now(), Ok(conflict), NO_JITTER);
    let again = WriteStep::Write {
        roll_out: running(),
    };
    assert_eq!(write.next(now()), again);
}

#[test]
fn nothing_is_written_if_the_order_ended_otherwise_was_replaced_or_is_gone() {
    let otherwise = order("first", RollOutState::RolledBack, 8);
    let other = order("second", RollOutState::Ordered, 8);
    for (found, end) in [
        (
            Some(otherwise),
            StateWriteEnd::EndedAs(RollOutState::RolledBack),
        ),
        (Some(other), StateWriteEnd::Replaced),
        (None, StateWriteEnd::Gone),
    ] {
        let mut by_read = completion();
        by_read.on_write(now(), Err(WriteFailure::Unknown), NO_JITTER);
        by_read.on_read(now(), Ok(found.as_ref()), NO_JITTER);
        assert_eq!(by_read.next(now()), WriteStep::Ended(end));
        let mut by_write = completion();
        by_write.on_write(
            now(),
            Ok(WriteEnd::Conflict(found.map(Box::new))),
            NO_JITTER,
        );
        assert_eq!(by_write.next(now()), WriteStep::Ended(end));
    }
}

#[test]
fn refused_writes_are_retried_with_growing_bounded_jittered_backoff() {
    let mut write = completion();
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        write.on_write(now(), Err(WriteFailure::Refused), NO_JITTER);
        backoffs.push(backoff(&write, now()));
    }
    assert!(backoffs.is_sorted());
    assert!(backoffs[0] > Duration::ZERO && backoffs[0] < backoffs[1]);
    assert_eq!(backoffs[6], backoffs[7]);
    let spread: Vec<Duration> = [0.0, 1.0]
        .map(|random| {
            let mut write = completion();
            write.on_write(now(), Err(WriteFailure::Refused), random);
            backoff(&write, now())
        })
        .to_vec();
    assert!(spread[0] < backoffs[0] && backoffs[0] < spread[1]);
}

#[test]
fn a_newer_state_from_a_watch_ends_the_write_but_an_older_one_does_not() {
    let mut write = completion();
    write.on_write(now(), Err(WriteFailure::Unknown), NO_JITTER);
    write.on_update(&order("first", RollOutState::Completed, 6));
    assert_eq!(write.next(now()), WriteStep::Read);
    write.on_update(&order("first", RollOutState::Completed, 8));
    let end = StateWriteEnd::Confirmed(Revision::first_era(8));
    assert_eq!(write.next(now()), WriteStep::Ended(end));
}

/// A source that loses answers, refuses calls and delays writes.
#[derive(Debug)]
struct Source {
    current: RollOut,
    late: Vec<(Revision, RollOutState)>,
}

impl Source {
    fn write(&mut self, condition: Revision, state: RollOutState) -> WriteEnd {
        if self.current.changed_at != condition {
            return WriteEnd::Conflict(Some(Box::new(self.current.clone())));
        }
        self.current.state = state;
        self.current.changed_at.number += 1;
        WriteEnd::Written(self.current.changed_at)
    }

    fn apply_late_writes(&mut self) {
        for (condition, state) in std::mem::take(&mut self.late) {
            self.write(condition, state);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Answered,
    Refused,
    Lost,
    Late,
    LateWritesApplied,
}

fn call_outcomes() -> impl Strategy<Value = Vec<CallOutcome>> {
    let call_outcome = prop_oneof![
        Just(CallOutcome::Answered),
        Just(CallOutcome::Refused),
        Just(CallOutcome::Lost),
        Just(CallOutcome::Late),
        Just(CallOutcome::LateWritesApplied),
    ];
    proptest::collection::vec(call_outcome, 0..40)
}

fn step(write: &mut StateWrite, source: &mut Source, now: Moment, call_outcome: CallOutcome) {
    if matches!(call_outcome, CallOutcome::LateWritesApplied) {
        return source.apply_late_writes();
    }
    match write.next(now) {
        WriteStep::Write { roll_out } => {
            let condition = roll_out.changed_at;
            let result = match call_outcome {
                CallOutcome::Refused => Err(WriteFailure::Refused),
                CallOutcome::Answered => Ok(source.write(condition, write.wanted())),
                CallOutcome::Lost => {
                    source.write(condition, write.wanted());
                    Err(WriteFailure::Unknown)
                }
                _ => {
                    source.late.push((condition, write.wanted()));
                    Err(WriteFailure::Unknown)
                }
            };
            write.on_write(now, result, NO_JITTER);
        }
        WriteStep::Read => {
            let result = match call_outcome {
                CallOutcome::Answered => Ok(Some(&source.current)),
                CallOutcome::Refused => Err(WriteFailure::Refused),
                _ => Err(WriteFailure::Unknown),
            };
            write.on_read(now, result, NO_JITTER);
        }
        WriteStep::WaitUntil(_) | WriteStep::Ended(_) => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Of two judges that disagree, one writes its outcome, which never changes again, and both learn of it.
    #[test]
    fn whatever_is_lost_or_late_one_end_stands_and_each_writer_learns_it(
        turns in proptest::collection::vec(any::<bool>(), 60),
        call_outcomes in call_outcomes(),
    ) {
        let mut source = Source { current: running(), late: Vec::new() };
        let mut writers = [
            completion(),
            StateWrite::new(running(), RollOutState::RolledBack),
        ];
        let mut ended_as = None;
        let mut now = now();
        let undisturbed = std::iter::repeat_n(CallOutcome::Answered, 20);
        for (turn, call_outcome) in turns.iter().zip(call_outcomes.into_iter().chain(undisturbed)) {
            now = now + Duration::from_secs(2);
            step(&mut writers[usize::from(*turn)], &mut source, now, call_outcome);
            if let Some(state) = ended_as {
                prop_assert_eq!(source.current.state, state, "an ended roll-out is left alone");
            } else if source.current.state.is_final() {
                ended_as = Some(source.current.state);
            }
        }
        for write in &mut writers {
            for _ in 0..4 {
                now = now + Duration::from_secs(2);
                step(write, &mut source, now, CallOutcome::Answered);
            }
            let is_wanted = source.current.state == write.wanted();
            let end = match write.next(now) {
                WriteStep::Ended(end) => end,
                other => return Err(TestCaseError::fail(format!("{other:?}"))),
            };
            prop_assert_eq!(matches!(end, StateWriteEnd::Confirmed(_)), is_wanted);
        }
    }
}
