//! What a daemon learns from a leaf's answers and connections: failures, resets, slowness, and idle times
//! after which connections are dropped.

use std::time::Duration;
use tansylead_route::{ConnectBackoff, FailureRate, IdlePolicy, Slowness};
use tansylead_types::Moment;

fn at(millis: u64) -> Moment {
    Moment(1_000_000) + Duration::from_millis(millis)
}

#[test]
fn failures_raise_the_rate_and_time_lowers_it() {
    let mut failures = FailureRate::default();
    for request in 0..10 {
        failures.record(at(request * 10), true);
    }
    let rate = failures.rate(at(100));
    assert!((0.5..1.0).contains(&rate), "{rate}");
    assert!(failures.rate(at(10_100)) < rate / 16.0);
}

#[test]
fn a_single_failure_among_many_answers_is_soon_forgotten() {
    let mut failures = FailureRate::default();
    failures.record(at(0), true);
    for request in 1..=30 {
        failures.record(at(request), false);
    }
    assert!(failures.rate(at(31)) < 0.01);
}

#[test]
fn waits_between_new_connections_grow_until_one_is_answered() {
    let mut backoff = ConnectBackoff::default();
    assert!(!backoff.is_waiting(at(0)));
    assert!(backoff.on_reset(at(0), 0.5));
    assert!(backoff.is_waiting(at(50)));
    assert!(!backoff.is_waiting(at(150)));
    assert!(!backoff.on_reset(at(150), 0.5));
    assert!(backoff.is_waiting(at(300)));
    backoff.on_answer();
    assert!(!backoff.is_waiting(at(301)));
}

#[test]
fn connections_that_are_reset_together_lengthen_the_wait_once() {
    let mut one = ConnectBackoff::default();
    one.on_reset(at(0), 0.5);
    let mut many = one;
    for _ in 0..20 {
        many.on_reset(at(1), 0.5);
    }
    assert!(!many.is_waiting(at(110)));
}

#[test]
fn waits_between_new_connections_are_bounded() {
    let mut backoff = ConnectBackoff::default();
    let mut now = 0;
    for _ in 0..50 {
        backoff.on_reset(at(now), 1.0);
        now += 5_000;
    }
    assert!(!backoff.is_waiting(at(now)));
}

fn used_every(gap_millis: u64) -> IdlePolicy {
    let mut policy = IdlePolicy::default();
    for request in 0..50 {
        policy.on_use(at(request * gap_millis));
    }
    policy
}

#[test]
fn connections_are_kept_for_a_few_gaps_between_requests() {
    let now = at(60_000);
    assert_eq!(used_every(10).limit(now, false), Duration::from_secs(1));
    let limit = used_every(700).limit(now, false);
    assert!(limit > Duration::from_millis(1_500), "{limit:?}");
    // The next request would come after the longest time that a connection is kept.
    assert_eq!(used_every(9_000).limit(now, false), Duration::from_secs(1));
}

#[test]
fn connections_are_kept_where_new_ones_are_reset() {
    let mut backoff = ConnectBackoff::default();
    backoff.on_reset(at(0), 0.5);
    assert!(backoff.is_scarce(at(1_000)));
    let limit = used_every(10).limit(at(1_000), backoff.is_scarce(at(1_000)));
    assert!(limit > Duration::from_secs(1));
    assert!(!backoff.is_scarce(at(20_000)));
}

#[test]
fn connections_are_closed_before_a_leaf_drops_them() {
    let mut policy = used_every(700);
    policy.on_idle_reset(at(0), Duration::from_millis(400));
    assert!(policy.limit(at(10), false) < Duration::from_millis(400));
    assert!(policy.limit(at(10), true) < Duration::from_millis(400));
    assert!(policy.limit(at(20_000), false) > Duration::from_secs(1));
}

#[test]
fn an_answer_lost_on_a_connection_that_was_hardly_idle_does_not_shorten_the_idle_time() {
    // Regression: each lost or corrupted answer kept the leaf's connections from being reused.
    let mut policy = used_every(700);
    policy.on_idle_reset(at(0), Duration::from_millis(20));
    assert!(policy.limit(at(10), false) > Duration::from_secs(1));
}

/// Usual gap between requests to a leaf.
const GAP: Duration = Duration::from_millis(700);

#[test]
fn answers_made_late_by_one_pause_do_not_make_a_leaf_slow() {
    // Regression: two overdue answers of one pause sent all requests to other regions for 5 s.
    let mut slowness = Slowness::default();
    slowness.on_late(at(300), at(0), 10.0);
    slowness.on_late(at(301), at(160), 5.0);
    assert!(slowness.factor(at(310), GAP) < 1.5);
}

#[test]
fn a_late_answer_to_a_request_sent_after_a_late_one_shows_a_slow_leaf() {
    let mut slowness = Slowness::default();
    slowness.on_late(at(200), at(0), 7.0);
    slowness.on_late(at(900), at(700), 7.0);
    assert!(slowness.factor(at(910), GAP) > 6.0);
    assert!(
        slowness.factor(at(7_000), GAP) < 1.5,
        "expires without answers"
    );
}

#[test]
fn timely_answers_make_a_slow_leaf_average_again() {
    let mut slowness = Slowness::default();
    slowness.on_late(at(200), at(0), 7.0);
    slowness.on_timely(at(210), 1.0);
    slowness.on_late(at(900), at(700), 7.0);
    assert!(slowness.factor(at(910), GAP) < 1.5, "a single late answer");
    slowness.on_late(at(1_900), at(1_700), 7.0);
    for request in 0..30 {
        slowness.on_timely(at(2_000 + request), 1.0);
    }
    assert!(slowness.factor(at(2_100), GAP) < 1.1);
}

#[test]
fn a_leaf_that_others_found_slow_is_avoided_without_trying() {
    let mut slowness = Slowness::default();
    slowness.on_reported(at(1_000), 7.0);
    assert!(slowness.factor(at(1_100), GAP) > 6.0);
    assert!(slowness.factor(at(8_000), GAP) < 1.5, "expires");
}

#[test]
fn a_timely_answer_overrides_reports_of_other_daemons() {
    let mut slowness = Slowness::default();
    slowness.on_reported(at(1_000), 7.0);
    assert!(slowness.on_timely(at(1_100), 1.0), "should be reported");
    assert!(slowness.factor(at(1_110), GAP) < 2.3);
    assert!(!slowness.on_timely(at(1_200), 1.0));
}

#[test]
fn slowness_is_reported_once_it_is_known() {
    let mut slowness = Slowness::default();
    assert!(!slowness.on_late(at(200), at(0), 7.0), "may be a pause");
    assert!(slowness.on_late(at(900), at(700), 7.0));
}

#[test]
fn reports_of_other_daemons_do_not_count_as_answers_of_the_leaf() {
    // A leaf that has not answered since a request was sent counts as stopped, whatever is reported.
    let mut slowness = Slowness::default();
    slowness.on_reported(at(1_000), 7.0);
    assert_eq!(slowness.answered_at(), Moment::default());
}

#[test]
fn a_wrong_report_makes_a_leaf_neither_attractive_nor_hopeless() {
    for factor in [0.0, 1e9] {
        let mut slowness = Slowness::default();
        slowness.on_reported(at(1_000), factor);
        let believed = slowness.factor(at(1_001), GAP);
        assert!((1.0..=20.0).contains(&believed), "{believed}");
    }
}
