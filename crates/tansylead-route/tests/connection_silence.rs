//! Dead kept connections are distinguished from leafs that pause or are slow.

use std::time::Duration;
use tansylead_route::{ConnectionSilence, SilenceLimit};
use tansylead_types::Moment;

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(millis)
}

#[test]
fn connections_that_answer_nothing_for_longer_than_a_pause_are_given_up() {
    let mut silence = ConnectionSilence::default();
    let limit = SilenceLimit::ONE_LEAF;
    assert!(
        !silence.on_overdue(at(200), at(100), limit),
        "may be a pause"
    );
    assert!(
        silence.on_overdue(at(700), at(600), limit),
        "longer than any pause"
    );
}

#[test]
fn an_answer_shows_that_the_connections_live() {
    let mut silence = ConnectionSilence::default();
    let limit = SilenceLimit::ONE_LEAF;
    assert!(!silence.on_overdue(at(200), at(100), limit));
    silence.on_answer(at(300));
    assert!(
        !silence.on_overdue(at(800), at(700), limit),
        "silent for 100 ms only"
    );
    assert!(
        !silence.on_overdue(at(900), at(200), limit),
        "sent before the answer"
    );
}

#[test]
fn a_daemon_gives_up_all_connections_only_if_no_leaf_answers_on_any() {
    let mut silence = ConnectionSilence::default();
    let limit = SilenceLimit::ALL_LEAFS;
    // One leaf of many pauses.
    silence.on_answer(at(120));
    assert!(!silence.on_overdue(at(500), at(100), limit));
    // No leaf answers any more.
    assert!(!silence.on_overdue(at(600), at(500), limit));
    assert!(
        !silence.on_overdue(at(850), at(750), limit),
        "two requests prove nothing"
    );
    assert!(silence.on_overdue(at(900), at(800), limit));
    assert!(
        !silence.on_overdue(at(950), at(850), limit),
        "counting starts over"
    );
}
