//! Outcomes of whole roll-outs, simulated in virtual time with fixed seeds.

mod roll_out_world;

use proptest::prelude::*;
use roll_out_world::{BOUNDS, Defect, Outcome, Scenario, Service, UnrelatedFault, simulate};
use std::time::Duration;
use tansylead_route::{Conclusion, ConclusionReason};

/// Requests a second and the median latency in milliseconds.
const SERVICES: [(f64, f64); 3] = [(36.0, 4.0), (63.0, 11.0), (99.0, 11.0)];
/// Duration of the roll-outs.
const SECONDS: u64 = 12;
/// Roll-outs simulated for each service.
const SEEDS: u64 = 14;
/// A service with few requests, and the number of its roll-outs that are simulated.
const FEW_REQUESTS: (f64, f64) = (21.0, 90.0);
const SEEDS_OF_FEW_REQUESTS: u64 = 60;

fn scenario((rate, median_millis): (f64, f64)) -> Scenario {
    Scenario {
        daemons: 65,
        duration: Duration::from_secs(SECONDS),
        service: Service {
            rate,
            routes: 2,
            median_millis,
            spread: 0.4,
            usual_failures: 0.01,
            starts_after: 1_000,
            defect: Defect::default(),
            unrelated_fault: None,
        },
        loss: 0.01,
        are_stages_pushed: true,
        judge_killed_at: None,
        judge_partition: None,
        source_outage: None,
    }
}

fn simulate_all(change: impl Fn(&mut Scenario)) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for service in SERVICES {
        let mut scenario = scenario(service);
        change(&mut scenario);
        outcomes.extend((0..SEEDS).map(|seed| simulate(&scenario, seed)));
    }
    assert_within_bound(&outcomes);
    outcomes
}

/// Simulates a service with few requests, with a duration in which its roll-out gets some answers.
fn simulate_few_requests(seconds: u64, change: impl Fn(&mut Scenario)) -> Vec<Outcome> {
    let mut scenario = scenario(FEW_REQUESTS);
    scenario.duration = Duration::from_secs(seconds);
    change(&mut scenario);
    let seeds = 0..SEEDS_OF_FEW_REQUESTS;
    let outcomes: Vec<Outcome> = seeds.map(|seed| simulate(&scenario, seed)).collect();
    assert_within_bound(&outcomes);
    outcomes
}

fn assert_within_bound(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.beyond_bound <= 0.0, "{outcome:?}");
        let bound = BOUNDS.share * outcome.requests as f64 + BOUNDS.slack;
        assert!(outcome.sends as f64 <= bound, "{outcome:?}");
    }
}

fn share_completed_in_time(outcomes: &[Outcome], seconds: u64) -> f64 {
    let in_time = outcomes.iter().filter(|outcome| {
        let is_in_time = outcome
            .ended
            .is_some_and(|(_, _, at)| at <= seconds * 1_000);
        is_in_time && outcome.is(Conclusion::Complete)
    });
    in_time.count() as f64 / outcomes.len() as f64
}

fn share(outcomes: &[Outcome], conclusion: Conclusion) -> f64 {
    let ended = outcomes.iter().filter(|outcome| outcome.is(conclusion));
    ended.count() as f64 / outcomes.len() as f64
}

#[test]
fn good_versions_are_completed_in_time() {
    let outcomes = simulate_all(|_| {});
    assert!(share_completed_in_time(&outcomes, SECONDS) >= 0.95);
}

#[test]
fn good_versions_of_services_with_few_requests_are_completed_in_time() {
    for seconds in [12, 30] {
        let outcomes = simulate_few_requests(seconds, |_| {});
        let in_time = share_completed_in_time(&outcomes, seconds);
        let completed = share(&outcomes, Conclusion::Complete);
        assert!(
            in_time >= 0.95,
            "{seconds} s: {in_time} in time, {completed} completed"
        );
    }
}

#[test]
fn versions_bad_in_three_answers_of_ten_are_rolled_back() {
    let outcomes = simulate_all(|scenario| scenario.service.defect.failing = 0.3);
    assert!(share(&outcomes, Conclusion::RollBack) >= 0.99);
    for outcome in outcomes {
        let reason = outcome.ended.map(|(_, reason, _)| reason);
        assert_eq!(reason, Some(ConclusionReason::Failing));
        assert!(outcome.bad < 30, "{outcome:?}");
    }
}

#[test]
fn versions_that_turn_bad_late_are_rolled_back() {
    let outcomes = simulate_all(|scenario| {
        scenario.service.defect.failing = 0.6;
        scenario.service.defect.starts_at = 0.8;
    });
    assert!(share(&outcomes, Conclusion::RollBack) >= 0.99);
}

#[test]
fn versions_bad_only_under_load_are_rolled_back() {
    let outcomes = simulate_all(|scenario| {
        scenario.service.defect.failing = 0.6;
        scenario.service.defect.only_under_load = true;
    });
    assert!(share(&outcomes, Conclusion::RollBack) >= 0.99);
}

#[test]
fn versions_bad_on_one_route_are_rolled_back() {
    let outcomes = simulate_all(|scenario| {
        scenario.service.defect.failing = 0.6;
        scenario.service.defect.only_one_route = true;
    });
    assert!(share(&outcomes, Conclusion::RollBack) >= 0.99);
}

#[test]
fn versions_four_times_as_slow_are_rolled_back() {
    let outcomes = simulate_all(|scenario| scenario.service.defect.slow = 4.0);
    assert!(share(&outcomes, Conclusion::RollBack) >= 0.99);
    let is_slow = |outcome: &Outcome| outcome.ended.map(|(_, reason, _)| reason);
    let slow = outcomes.iter().map(is_slow);
    assert!(
        slow.into_iter()
            .all(|reason| reason == Some(ConclusionReason::Slow))
    );
}

#[test]
fn trouble_that_strikes_both_versions_does_not_condemn() {
    let outcomes = simulate_all(|scenario| {
        scenario.service.unrelated_fault = Some(UnrelatedFault {
            from: 5_000,
            to: 8_000,
            old_failing: 0.3,
            new_failing: 0.3,
            slow: 5.0,
        });
    });
    assert!(share(&outcomes, Conclusion::Complete) >= 0.9);
}

#[test]
fn a_lost_judge_is_replaced() {
    let killed = |scenario: &mut Scenario| scenario.judge_killed_at = Some(6_000);
    let outcomes = simulate_all(killed);
    assert!(share(&outcomes, Conclusion::Complete) >= 0.95);
    let outcomes = simulate_all(|scenario| {
        killed(scenario);
        scenario.service.defect.failing = 0.3;
        scenario.service.defect.starts_at = 0.4;
    });
    assert!(share(&outcomes, Conclusion::RollBack) >= 0.99);
}

#[test]
fn completion_waits_for_the_source() {
    let available_at = SECONDS * 1_000 + 2_000;
    let outcomes = simulate_all(|scenario| scenario.source_outage = Some((8_000, available_at)));
    assert!(share(&outcomes, Conclusion::Complete) >= 0.9);
    let completed = outcomes
        .iter()
        .filter(|outcome| outcome.is(Conclusion::Complete));
    for outcome in completed {
        assert!(outcome.ended.is_some_and(|(_, _, at)| at >= available_at));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Sends stay within the bound at every moment, whatever messages are lost and whichever judge leads.
    #[test]
    fn sends_never_exceed_the_bound(
        daemons in 1_usize..40,
        rate in 1.0_f64..200.0,
        loss in 0.0_f64..0.4,
        partition_from in 500_u64..6_000,
        partition_millis in 200_u64..4_000,
        failing in 0.0_f64..0.6,
        seed in any::<u64>(),
    ) {
        let mut scenario = scenario((rate, 20.0));
        scenario.daemons = daemons;
        scenario.duration = Duration::from_secs(6);
        scenario.loss = loss;
        scenario.judge_partition = Some((partition_from, partition_from + partition_millis));
        scenario.service.defect.failing = failing;
        let outcome = simulate(&scenario, seed);
        prop_assert!(outcome.beyond_bound <= 0.0, "{:?}", outcome);
    }
}

/// Guards against good versions that are rolled back because the bound on sends is used up before the shift is judged.
#[test]
fn good_versions_whose_shift_uses_up_the_allowance_are_completed_in_time() {
    /// As many requests as three daemons get from ten callers, each of which takes a tenth of a second.
    const LONG_REQUESTS: (f64, f64) = (56.0, 100.0);
    const DAEMONS: usize = 3;
    const ROLL_OUTS: u64 = 60;
    let mut scenario = scenario(LONG_REQUESTS);
    scenario.daemons = DAEMONS;
    scenario.duration = Duration::from_secs(10);
    let outcomes: Vec<Outcome> = (0..ROLL_OUTS)
        .map(|seed| simulate(&scenario, seed))
        .collect();
    assert_within_bound(&outcomes);
    let in_time = share_completed_in_time(&outcomes, 10);
    let completed = share(&outcomes, Conclusion::Complete);
    assert!(in_time >= 0.95, "{in_time} in time, {completed} completed");
}
