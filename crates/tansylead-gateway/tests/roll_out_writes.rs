//! Writes of roll-out states to a source that refuses, stays silent, loses answers or was written by another judge.

mod roll_out_world;

use roll_out_world::faulty_source::{Fault, FaultySource, service};
use roll_out_world::gateway;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::roll_out::SourceCalls;
use tansylead_route::{RollOut, RollOutState, StateWriteEnd};

/// Ends a test that would hang.
const HANG_LIMIT: Duration = Duration::from_secs(60);
const DURATION: Duration = Duration::from_secs(20);

fn calls(source: &Rc<FaultySource>) -> SourceCalls<FaultySource> {
    let gateway = gateway(([127, 0, 0, 1], 1).into(), Vec::new());
    SourceCalls::new(gateway, Rc::clone(source))
}

async fn write(source: &Rc<FaultySource>, held: &RollOut, wanted: RollOutState) -> StateWriteEnd {
    let calls = calls(source);
    let end = calls.write_until_confirmed(held.clone(), wanted);
    let end = tokio::time::timeout(HANG_LIMIT, end).await;
    end.expect("the writing ends")
}

/// Writes a completion while the first writes fail with `faults`. Returns the number of writes.
async fn writes_with(faults: &[Fault]) -> usize {
    let source = Rc::new(FaultySource::new());
    let held = source.add_order(1, DURATION);
    source.write_faults.borrow_mut().extend(faults);
    let end = write(&source, &held, RollOutState::Completed).await;
    let current = source.current().expect("ordered");
    assert_eq!(current.state, RollOutState::Completed);
    assert_eq!(end, StateWriteEnd::Confirmed(current.changed_at));
    assert!(
        current.changed_at.number <= held.changed_at.number + 1,
        "done once"
    );
    source.writes.borrow().len()
}

#[tokio::test]
async fn a_state_is_written_once_if_nothing_fails() {
    assert_eq!(writes_with(&[]).await, 1);
}

#[tokio::test]
async fn a_refused_write_is_repeated() {
    assert_eq!(writes_with(&[Fault::Refused, Fault::Refused]).await, 3);
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_read_back_and_not_repeated() {
    assert_eq!(writes_with(&[Fault::AnswerLost]).await, 1);
}

#[tokio::test]
async fn a_write_that_was_lost_is_repeated() {
    assert_eq!(writes_with(&[Fault::NotDone]).await, 2);
}

#[tokio::test]
async fn a_write_that_is_done_after_it_was_read_back_counts_once() {
    assert_eq!(writes_with(&[Fault::DoneAfterRead]).await, 2);
}

#[tokio::test]
async fn a_silent_call_is_given_up() {
    assert_eq!(writes_with(&[Fault::Silent]).await, 2);
}

#[tokio::test]
async fn an_order_is_read_back_until_the_source_answers() {
    let source = Rc::new(FaultySource::new());
    let held = source.add_order(1, DURATION);
    source
        .write_faults
        .borrow_mut()
        .push_back(Fault::AnswerLost);
    let faults = [Fault::Refused, Fault::NotDone];
    source.read_faults.borrow_mut().extend(faults);
    let end = write(&source, &held, RollOutState::RolledBack).await;
    assert!(matches!(end, StateWriteEnd::Confirmed(_)));
    assert_eq!((source.writes.borrow().len(), source.reads.get()), (1, 3));
}

#[tokio::test]
async fn what_another_judge_concluded_is_never_overwritten() {
    let ends = [RollOutState::Completed, RollOutState::RolledBack];
    for (wanted, other) in [(ends[0], ends[1]), (ends[1], ends[0])] {
        for fault in [None, Some(Fault::NotDone), Some(Fault::DoneAfterRead)] {
            let source = Rc::new(FaultySource::new());
            let held = source.add_order(1, DURATION);
            source.set_state(other);
            source.write_faults.borrow_mut().extend(fault);
            let end = write(&source, &held, wanted).await;
            assert_eq!(end, StateWriteEnd::EndedAs(other));
            assert_eq!(source.current().map(|order| order.state), Some(other));
        }
    }
}

#[tokio::test]
async fn a_conclusion_is_written_under_the_revision_that_another_judge_left() {
    let source = Rc::new(FaultySource::new());
    let held = source.add_order(1, DURATION);
    source.set_state(RollOutState::Running);
    let end = write(&source, &held, RollOutState::Completed).await;
    assert!(matches!(end, StateWriteEnd::Confirmed(_)));
    assert_eq!(source.writes.borrow().len(), 2);
}

#[tokio::test]
async fn nothing_is_written_to_an_order_that_is_gone_or_another_one() {
    let source = Rc::new(FaultySource::new());
    let held = source.add_order(1, DURATION);
    source.remove_order();
    let end = write(&source, &held, RollOutState::Completed).await;
    assert_eq!(end, StateWriteEnd::Gone);
    let other = source.add_order(2, DURATION);
    let end = write(&source, &held, RollOutState::Completed).await;
    assert_eq!(end, StateWriteEnd::Replaced);
    assert_eq!(source.current(), Some(other));
}

#[tokio::test]
async fn of_two_judges_at_once_one_writes_and_both_learn_the_written_state() {
    for faults in [
        vec![],
        vec![Fault::AnswerLost],
        vec![Fault::DoneAfterRead, Fault::AnswerLost],
        vec![Fault::NotDone, Fault::Refused],
    ] {
        let source = Rc::new(FaultySource::new());
        let held = source.add_order(1, DURATION);
        source.write_faults.borrow_mut().extend(faults);
        let (first, second) = tokio::join!(
            write(&source, &held, RollOutState::Completed),
            write(&source, &held, RollOutState::RolledBack),
        );
        let current = source.current().expect("ordered");
        let ends = [
            (first, RollOutState::Completed),
            (second, RollOutState::RolledBack),
        ];
        for (end, wanted) in ends {
            let expected = if wanted == current.state {
                StateWriteEnd::Confirmed(current.changed_at)
            } else {
                StateWriteEnd::EndedAs(current.state)
            };
            assert_eq!(end, expected);
        }
    }
}

#[tokio::test]
async fn the_current_order_is_applied_here_once_the_source_returns_it() {
    let source = Rc::new(FaultySource::new());
    let held = source.add_order(1, DURATION);
    let gateway = gateway(([127, 0, 0, 1], 1).into(), Vec::new());
    gateway.apply_roll_outs(source.orders());
    let calls = SourceCalls::new(Rc::clone(&gateway), Rc::clone(&source));
    assert!(!calls.is_fresh());
    calls
        .write_until_confirmed(held, RollOutState::RolledBack)
        .await;
    assert!(calls.is_fresh());
    source.read_faults.borrow_mut().push_back(Fault::Refused);
    calls.read_and_apply_all().await;
    let known = gateway.roll_outs().expect("known");
    assert_eq!(known, source.orders());
    let state = known.get(&service()).map(|order| order.state);
    assert_eq!(state, Some(RollOutState::RolledBack));
}

/// Guards against a beginning that is written after a suspension, when the order has ended.
#[tokio::test]
async fn a_beginning_that_cannot_be_written_is_given_up() {
    let source = Rc::new(FaultySource::new());
    let held = source.add_order(1, DURATION);
    source.is_away.set(true);
    let end = write(&source, &held, RollOutState::Running).await;
    assert_eq!(end, StateWriteEnd::Expired);
}
