//! Which peer a daemon polls, and how long a watch of the source lasts.

use std::time::Duration;
use tansylead_gateway::cluster::PeerTurn;
use tansylead_gateway::settings::GatewayBounds;

/// Polls until the turn is over.
fn polls(mut turn: PeerTurn, is_best: bool) -> u32 {
    let mut polls = 1;
    while !turn.on_answer(is_best) {
        polls += 1;
    }
    polls
}

#[test]
fn a_substitute_is_left_soon_once_a_better_peer_is_known() {
    // Regression: a daemon that had met failures kept to a peer that was no watcher for 30 polls,
    // found its word old, and asked the store itself every few seconds.
    let turn = PeerTurn::new(true);
    assert!((2..=5).contains(&polls(turn, false)));
}

#[test]
fn the_best_peer_is_kept_and_any_other_left_at_once() {
    assert!(polls(PeerTurn::new(false), true) >= 30);
    assert_eq!(polls(PeerTurn::new(false), false), 1);
}

#[test]
fn a_watcher_confirms_its_word_before_it_is_too_old_for_others() {
    // Regression: a fixed wait after a pause between watches let words grow older than the limit.
    for limit_millis in [3_000.0, 5_000.0, 60_000.0] {
        let bounds = GatewayBounds {
            configuration_limit_millis: limit_millis,
            leaving_limit_millis: limit_millis,
            ..GatewayBounds::default()
        };
        for age_millis in [0, 100, 600] {
            let age = Duration::from_millis(age_millis);
            let confirmed_after = age + bounds.watch_wait(Some(age));
            assert!(confirmed_after < bounds.word_limit());
        }
    }
}

#[test]
fn a_word_that_is_too_old_is_confirmed_at_once() {
    let bounds = GatewayBounds::default();
    assert!(bounds.watch_wait(None) <= Duration::from_millis(200));
    let old = Duration::from_secs(60);
    assert!(bounds.watch_wait(Some(old)) <= Duration::from_millis(200));
}
