//! Kept connections that have gone silent are told from leafs that pause or are slow.

use std::time::Duration;
use tansylead_route::{ConnectionSilence, SilenceLimit};
use tansylead_types::Moment;

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(millis)
}

#[test]
fn connections_that_answer_nothing_for_longer_than_a_pause_are_given_up() {
    let mut silence = ConnectionSilence::new(SilenceLimit::ONE_PEER);
    silence.on_sent();
    assert!(!silence.on_overdue(at(100), at(0)), "may be a pause");
    silence.on_sent();
    assert!(
        silence.on_overdue(at(600), at(500)),
        "no pause lasts so long"
    );
}

#[test]
fn an_answer_shows_that_the_connections_live() {
    let mut silence = ConnectionSilence::new(SilenceLimit::ONE_PEER);
    silence.on_sent();
    assert!(!silence.on_overdue(at(100), at(0)));
    silence.on_answer(at(200));
    silence.on_sent();
    assert!(
        !silence.on_overdue(at(700), at(600)),
        "silent for 100 ms only"
    );
    assert!(
        !silence.on_overdue(at(800), at(100)),
        "sent before the answer"
    );
}

#[test]
fn a_daemon_gives_up_all_connections_only_if_no_leaf_answers_on_any() {
    let mut silence = ConnectionSilence::new(SilenceLimit::ALL_PEERS);
    for _ in 0..36 {
        silence.on_sent();
    }
    // One leaf of many pauses.
    silence.on_answer(at(20));
    assert!(!silence.on_overdue(at(400), at(0)));
    // Nothing answers any more.
    silence.on_sent();
    silence.on_sent();
    assert!(!silence.on_overdue(at(500), at(400)));
    assert!(
        !silence.on_overdue(at(750), at(650)),
        "two requests prove nothing"
    );
    silence.on_sent();
    assert!(silence.on_overdue(at(800), at(700)));
    assert!(!silence.on_overdue(at(850), at(700)), "counted anew");
}
