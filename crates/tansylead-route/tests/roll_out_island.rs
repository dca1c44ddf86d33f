//! A judge that is cut off from most of the others, together with a few that follow it.

#[allow(dead_code, reason = "other test files use the rest")]
mod roll_out_fleet;

use roll_out_fleet::{DEADLINE, Fleet, node};
use tansylead_route::Stage;

/// Longer than what was last heard of a daemon counts, in milliseconds.
const UNHEARD: u64 = 2_000;
/// Longer than members are remembered after they were listed, in milliseconds.
const FORGOTTEN: u64 = 6_000;

/// Five daemons, of which two are cut off after some time, the judge among them.
fn cut_off(at_millis: u64) -> Fleet {
    let mut fleet = Fleet::new(5);
    fleet.play_until(at_millis);
    fleet.reachable = 2;
    fleet
}

/// What the daemons that can be reached may send beyond what they sent.
fn left_to_send(fleet: &mut Fleet) -> u64 {
    let left = (0..fleet.reachable).map(|daemon| {
        let limit = fleet.trial.grant(fleet.now(), node(daemon)).limit;
        limit.saturating_sub(fleet.sent(daemon))
    });
    left.sum()
}

/// Sends of the daemons that can be reached within two seconds.
fn sent_within_two_seconds(fleet: &mut Fleet) -> u64 {
    let sent = |fleet: &Fleet| {
        (0..fleet.reachable)
            .map(|daemon| fleet.sent(daemon))
            .sum::<u64>()
    };
    let before = sent(fleet);
    fleet.play(2_000);
    sent(fleet) - before
}

#[test]
fn a_judge_that_hears_few_members_grants_and_concludes_nothing() {
    // Regression: it led, since all that it heard followed it, and spent what the others spent as well.
    for fails_new in [false, true] {
        let mut fleet = cut_off(6_000);
        fleet.play_until(6_000 + UNHEARD);
        fleet.fails_new = fails_new;
        fleet.sends_anyway = true;
        while fleet.now() < roll_out_fleet::at(DEADLINE + 4_000) {
            fleet.play(250);
            assert_eq!(left_to_send(&mut fleet), 0, "{:?}", fleet.now());
            assert_eq!(fleet.verdict().write, None, "{:?}", fleet.now());
            assert_eq!(fleet.verdict().stage, Stage::Trial, "{:?}", fleet.now());
        }
    }
}

#[test]
fn members_count_for_some_seconds_after_they_were_listed() {
    // Regression: as above, once the membership had noticed the loss.
    let mut fleet = cut_off(1_000);
    fleet.play(UNHEARD);
    fleet.listed = 2;
    for _ in 0..16 {
        fleet.play(250);
        assert_eq!(left_to_send(&mut fleet), 0, "{:?}", fleet.now());
    }
    fleet.play(FORGOTTEN - 4_000);
    assert!(
        left_to_send(&mut fleet) > 0,
        "the others are taken for lost"
    );
}

#[test]
fn a_judge_that_hears_most_members_leads() {
    let mut fleet = cut_off(2_000);
    fleet.reachable = 3;
    fleet.play(2_000);
    assert!(sent_within_two_seconds(&mut fleet) > 0);
}
