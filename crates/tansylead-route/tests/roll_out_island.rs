//! A judge that is partitioned off from most daemons, together with a few that follow it.

#[allow(dead_code, reason = "other test files use the rest")]
mod roll_out_fleet;

use roll_out_fleet::{DEADLINE, Fleet, node};
use tansylead_route::Stage;

/// Longer than a daemon's last report counts, in milliseconds.
const REPORT_EXPIRY: u64 = 2_000;
/// Longer than members count after they were last listed, in milliseconds.
const MEMBER_EXPIRY: u64 = 6_000;

/// Five daemons, of which two, including the judge, are partitioned off at this time.
fn partitioned_fleet(at_millis: u64) -> Fleet {
    let mut fleet = Fleet::new(5);
    fleet.run_until(at_millis);
    fleet.reachable = 2;
    fleet
}

/// Number of sends that the reachable daemons still may make.
fn sends_left(fleet: &mut Fleet) -> u64 {
    let left = (0..fleet.reachable).map(|daemon| {
        let limit = fleet.trial.grant(fleet.now(), node(daemon)).limit;
        limit.saturating_sub(fleet.sent(daemon))
    });
    left.sum()
}

/// Number of sends that the reachable daemons make within two seconds.
fn sends_within_two_seconds(fleet: &mut Fleet) -> u64 {
    let sent = |fleet: &Fleet| {
        (0..fleet.reachable)
            .map(|daemon| fleet.sent(daemon))
            .sum::<u64>()
    };
    let before = sent(fleet);
    fleet.run(2_000);
    sent(fleet) - before
}

#[test]
fn a_judge_that_hears_few_members_grants_and_concludes_nothing() {
    // Regression: the judge led, since all daemons that it heard followed it, and spent the allowance that
    // the others spent as well.
    for fails_new in [false, true] {
        let mut fleet = partitioned_fleet(6_000);
        fleet.run_until(6_000 + REPORT_EXPIRY);
        fleet.fails_new = fails_new;
        fleet.sends_anyway = true;
        while fleet.now() < roll_out_fleet::at(DEADLINE + 4_000) {
            fleet.run(250);
            assert_eq!(sends_left(&mut fleet), 0, "{:?}", fleet.now());
            assert_eq!(fleet.verdict().write, None, "{:?}", fleet.now());
            assert_eq!(fleet.verdict().stage, Stage::Trial, "{:?}", fleet.now());
        }
    }
}

#[test]
fn members_count_for_some_seconds_after_they_were_listed() {
    // Regression: as above, once the membership had removed the other daemons.
    let mut fleet = partitioned_fleet(1_000);
    fleet.run(REPORT_EXPIRY);
    fleet.listed = 2;
    for _ in 0..16 {
        fleet.run(250);
        assert_eq!(sends_left(&mut fleet), 0, "{:?}", fleet.now());
    }
    fleet.run(MEMBER_EXPIRY - 4_000);
    assert!(sends_left(&mut fleet) > 0, "the others are considered lost");
}

#[test]
fn a_judge_that_hears_most_members_leads() {
    let mut fleet = partitioned_fleet(2_000);
    fleet.reachable = 3;
    fleet.run(2_000);
    assert!(sends_within_two_seconds(&mut fleet) > 0);
}
