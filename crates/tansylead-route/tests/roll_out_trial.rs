//! One judge of a roll-out, and how it responds to reports.

mod roll_out_fleet;
#[path = "roll_out_fleet/slow.rs"]
mod slow;

use proptest::prelude::*;
use roll_out_fleet::{DEADLINE, DURATION, Fleet, at, bounds, judge, node, roll_out};
use std::time::Duration;
use tansylead_route::{Conclusion, ConclusionReason, RollOutState, RollOutTrial, Stage};

#[test]
fn a_judge_that_most_do_not_follow_grants_nothing() {
    let mut fleet = Fleet::new(5);
    fleet.follow(Some(node(9)));
    for _ in 0..20 {
        fleet.run(250);
        for daemon in 0..5 {
            let sent = fleet.sent(daemon);
            assert_eq!(fleet.trial.grant(fleet.now(), node(daemon)).limit, sent);
        }
    }
    fleet.follow(Some(judge()));
    fleet.run(250);
    let grants = (0..5).map(|daemon| fleet.trial.grant(fleet.now(), node(daemon)).limit);
    assert!(grants.into_iter().sum::<u64>() > 0);
}

#[test]
fn a_daemon_that_never_reported_gets_nothing() {
    let mut fleet = Fleet::new(3);
    fleet.run(500);
    let grant = fleet.trial.grant(fleet.now(), node(77));
    assert_eq!((grant.limit, grant.valid), (0, Duration::ZERO));
}

#[test]
fn after_a_freeze_nothing_is_granted_until_reports_come_anew() {
    let mut fleet = Fleet::new(3);
    fleet.run_until(4_000);
    fleet.skip(5_000);
    let sent = fleet.sent(0);
    assert_eq!(fleet.trial.grant(fleet.now(), node(0)).limit, sent);
    fleet.evaluate();
    assert_eq!(fleet.trial.grant(fleet.now(), node(0)).limit, sent);
}

#[test]
fn without_evidence_the_judge_rolls_back_just_early_enough_to_write_by_the_deadline() {
    let mut fleet = Fleet::new(3);
    fleet.answers_new = false;
    fleet.run_until(DEADLINE - 1_250);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
    fleet.run(250);
    let expected = Some((Conclusion::RollBack, ConclusionReason::NoEvidence));
    assert_eq!(fleet.verdict().write, expected);
    assert_eq!(fleet.verdict().stage, Stage::RollBack);
}

#[test]
fn a_good_version_is_completed_and_stays_so() {
    let mut fleet = Fleet::new(3);
    fleet.run_until(DEADLINE);
    let expected = Some((Conclusion::Complete, ConclusionReason::AsGood));
    assert_eq!(fleet.verdict().write, expected);
    fleet.fails_new = true;
    for _ in 0..40 {
        fleet.run(250);
        assert_eq!(fleet.verdict().stage, Stage::Commit);
        assert_eq!(fleet.verdict().write, expected);
    }
}

#[test]
fn a_roll_back_is_final() {
    let mut fleet = Fleet::new(3);
    fleet.fails_new = true;
    fleet.run_until(8_000);
    let expected = Some((Conclusion::RollBack, ConclusionReason::Failing));
    assert_eq!(fleet.verdict().write, expected);
    fleet.fails_new = false;
    for _ in 0..60 {
        fleet.run(250);
        assert_eq!(fleet.verdict().stage, Stage::RollBack);
        assert_eq!(fleet.verdict().write, expected);
    }
}

#[test]
fn back_is_held_while_the_source_is_away_and_written_after() {
    let mut fleet = Fleet::new(3);
    fleet.fails_new = true;
    fleet.is_source_fresh = false;
    fleet.run_until(20_000);
    assert_eq!(fleet.verdict().stage, Stage::RollBack);
    assert_eq!(fleet.verdict().write, None);
    fleet.is_source_fresh = true;
    fleet.run(250);
    assert!(fleet.verdict().write.is_some());
}

#[test]
fn a_shift_goes_back_to_trial_when_the_source_goes_away() {
    let mut fleet = Fleet::new(3);
    fleet.runs_on_old = true;
    fleet.run_until(10_000);
    assert_eq!(fleet.verdict().stage, Stage::Shift);
    fleet.is_source_fresh = false;
    fleet.run(250);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
    fleet.run_until(DEADLINE + 3_000);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
    fleet.is_source_fresh = true;
    fleet.runs_on_old = false;
    fleet.run(2_000);
    assert_eq!(fleet.verdict().stage, Stage::Commit);
}

#[test]
fn a_shift_waits_for_attempts_on_old_leafs_but_not_for_silent_daemons() {
    let mut fleet = Fleet::new(4);
    fleet.runs_on_old = true;
    fleet.run_until(11_500);
    assert_eq!(fleet.verdict().stage, Stage::Shift);
    fleet.runs_on_old = false;
    fleet.silent = Some(3);
    fleet.run(1_000);
    assert_eq!(fleet.verdict().stage, Stage::Shift);
    fleet.run(1_750);
    assert_eq!(fleet.verdict().stage, Stage::Commit);
}

/// A fleet whose judge has just committed, with attempts that have been sent to old leafs since.
fn committed_with_late_attempts() -> Fleet {
    let mut fleet = Fleet::new(3);
    while fleet.verdict().stage != Stage::Commit {
        fleet.run(250);
    }
    fleet.runs_on_old = true;
    fleet.run(250);
    fleet
}

#[test]
fn a_completion_is_written_once_late_attempts_at_old_leafs_have_ended() {
    let mut fleet = committed_with_late_attempts();
    assert_eq!(fleet.verdict().write, None);
    fleet.runs_on_old = false;
    fleet.run(500);
    let completed = Some((Conclusion::Complete, ConclusionReason::AsGood));
    assert_eq!(fleet.verdict().write, completed);
}

#[test]
fn a_completion_does_not_wait_for_ever_for_attempts_at_old_leafs() {
    let mut fleet = committed_with_late_attempts();
    fleet.run(1_250);
    let completed = Some((Conclusion::Complete, ConclusionReason::AsGood));
    assert_eq!(fleet.verdict().write, completed);
}

#[test]
fn without_allowance_for_the_shift_the_judge_rolls_back_early_enough_to_write_by_the_deadline() {
    let mut fleet = Fleet::new(3);
    fleet.set_bounds(0.02, 12.0);
    fleet.run_until(DEADLINE - 1_250);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
    fleet.run(250);
    let expected = Some((Conclusion::RollBack, ConclusionReason::NoRoom));
    assert_eq!(fleet.verdict().write, expected);
}

/// Guards against a roll-back that takes away the only version that runs, for lack of allowance.
#[test]
fn a_version_that_runs_alone_is_completed_although_its_sends_exceed_the_allowance() {
    let mut fleet = Fleet::new(3);
    fleet.set_state(RollOutState::Running);
    fleet.is_alone = true;
    fleet.run_until(DEADLINE);
    let expected = Some((Conclusion::Complete, ConclusionReason::AsGood));
    assert_eq!(fleet.verdict().write, expected);
}

/// Guards against a roll-back that takes away the only version that runs, for lack of answers.
#[test]
fn a_version_that_runs_alone_is_not_rolled_back_while_nothing_is_known_of_it() {
    let mut fleet = Fleet::new(3);
    fleet.is_alone = true;
    fleet.answers_new = false;
    fleet.run_until(DEADLINE * 2);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
    fleet.answers_new = true;
    fleet.run(5_000);
    assert_eq!(fleet.verdict().stage, Stage::Commit);
}

/// A version that runs alone and fails is still rejected.
#[test]
fn a_version_that_runs_alone_and_fails_is_rolled_back() {
    let mut fleet = Fleet::new(3);
    fleet.is_alone = true;
    fleet.fails_new = true;
    fleet.run_until(DEADLINE);
    assert_eq!(fleet.verdict().stage, Stage::RollBack);
}

#[test]
fn the_deadline_counts_from_when_the_first_daemon_knew_of_the_order() {
    let mut fleet = Fleet::new(3);
    fleet.answers_new = false;
    fleet.known_before = 9_000;
    fleet.run_until(1_750);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
    fleet.run(250);
    assert_eq!(fleet.verdict().stage, Stage::RollBack);
}

#[test]
fn a_conclusion_of_another_judge_is_taken_over_in_the_order_of_ranks() {
    let back = (Stage::RollBack, Conclusion::RollBack);
    for (stage, conclusion) in [back, (Stage::Commit, Conclusion::Complete)] {
        let mut fleet = Fleet::new(3);
        fleet.rank = 2;
        fleet.follow(Some(node(9)));
        fleet.run_until(1_000);
        fleet.reported_stage = Some(stage);
        fleet.run(250);
        assert_eq!(fleet.verdict().stage, stage);
        fleet.run(2_500);
        assert_eq!(fleet.verdict().write, None);
        fleet.run(750);
        let expected = Some((conclusion, ConclusionReason::TakenOver));
        assert_eq!(fleet.verdict().write, expected);
    }
}

#[test]
fn a_judge_that_does_not_lead_concludes_nothing_but_keeps_its_judgement() {
    let mut fleet = Fleet::new(3);
    fleet.run_until(2_000);
    fleet.fails_new = true;
    fleet.follow(Some(node(9)));
    fleet.sends_anyway = true;
    fleet.run_until(5_000);
    assert_eq!(fleet.verdict().write, None);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
    fleet.follow(Some(judge()));
    fleet.run(250);
    let expected = Some((Conclusion::RollBack, ConclusionReason::Failing));
    assert_eq!(fleet.verdict().write, expected);
}

#[test]
fn bad_answers_of_a_single_moment_do_not_reject_a_version() {
    let mut fleet = Fleet::new(3);
    fleet.run_until(2_000);
    fleet.fails_new = true;
    fleet.run(250);
    fleet.fails_new = false;
    fleet.run(250);
    assert_eq!(fleet.verdict().stage, Stage::Trial);
}

#[test]
fn the_slack_is_left_out_if_all_daemons_were_lost() {
    let granted = |known_before: u64| {
        let mut fleet = Fleet::new(3);
        fleet.set_bounds(0.01, 200.0);
        fleet.set_state(RollOutState::Running);
        fleet.known_before = known_before;
        fleet.run_until(4_000);
        fleet.counts().new_sends
    };
    // Without the slack, the share of 12 s of requests does not cover a shift.
    assert_eq!(granted(0), 0);
    assert!(granted(2_000) > 0);
}

#[test]
fn a_restart_keeps_the_totals_of_the_earlier_run() {
    let mut fleet = Fleet::new(2);
    fleet.run_until(6_000);
    let before = fleet.counts();
    fleet.restart(0);
    fleet.run(500);
    let after = fleet.counts();
    assert!(after.requests > before.requests);
    assert!(after.new_sends >= before.new_sends);
    assert!(after.old_good >= before.old_good && after.new_good >= before.new_good);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Duplicate and late reports change neither the verdict nor any grant.
    #[test]
    fn doubled_and_late_reports_change_nothing(
        duplicates in proptest::collection::vec((0_usize..60, 0_usize..200), 0..120),
        fails in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(4);
        fleet.fails_new = fails;
        let mut other = RollOutTrial::new(roll_out(DURATION), bounds(), judge(), at(0));
        let mut reports = Vec::new();
        for step in 0..60 {
            let sent = fleet.report_all();
            for report in &sent {
                other.on_report(fleet.now(), report);
            }
            reports.extend(sent);
            let due = duplicates.iter().filter(|(when, _)| *when == step);
            for (_, which) in due {
                other.on_report(fleet.now(), &reports[which % reports.len()]);
            }
            let verdict = fleet.evaluate();
            prop_assert_eq!(other.evaluate(fleet.now(), fleet.context()), verdict);
            let grants = fleet.grant_all();
            let others = (0..4).map(|daemon| other.grant(fleet.now(), node(daemon)));
            prop_assert_eq!(others.collect::<Vec<_>>(), grants);
            prop_assert_eq!(other.counts(), fleet.counts());
            fleet.advance(250);
        }
    }

    /// The sends allowed by all grants together stay within the part of the bound that is handed out, also between
    /// evaluations, in whatever order daemons report.
    #[test]
    fn grants_stay_within_the_allowance(turns in proptest::collection::vec(0_usize..5, 400)) {
        let mut fleet = Fleet::new(5);
        for (step, daemon) in turns.iter().enumerate() {
            fleet.skip(50);
            for _ in 0..5 {
                fleet.request(*daemon);
            }
            fleet.report(*daemon);
            fleet.grant(*daemon);
            if step % 5 == 0 {
                fleet.evaluate();
            }
            let allowance = 0.85 * (bounds().share * fleet.requests() as f64 + bounds().slack);
            prop_assert!(fleet.granted() as f64 <= allowance, "{} > {allowance}", fleet.granted());
        }
    }

    /// The order of the reports between two evaluations does not matter.
    #[test]
    fn the_order_of_daemons_does_not_matter(order in Just((0..6).collect::<Vec<usize>>()).prop_shuffle()) {
        let mut fleet = Fleet::new(6);
        let mut other = RollOutTrial::new(roll_out(DURATION), bounds(), judge(), at(0));
        for _ in 0..50 {
            let sent = fleet.report_all();
            for daemon in &order {
                other.on_report(fleet.now(), &sent[*daemon]);
            }
            let verdict = fleet.evaluate();
            prop_assert_eq!(other.evaluate(fleet.now(), fleet.context()), verdict);
            let grants = fleet.grant_all();
            let others = (0..6).map(|daemon| other.grant(fleet.now(), node(daemon)));
            prop_assert_eq!(others.collect::<Vec<_>>(), grants);
            fleet.advance(250);
        }
    }
}
