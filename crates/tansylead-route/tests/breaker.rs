//! Circuit breaker: short pauses, lasting silence, probes.

use std::time::Duration;
use tansylead_route::{Breaker, BreakerVerdict};
use tansylead_types::Moment;

const DELAY: Duration = Duration::from_millis(50);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn an_overdue_answer_opens_it_at_once() {
    let mut breaker = Breaker::default();
    assert_eq!(breaker.verdict(at(0)), BreakerVerdict::Healthy);
    assert!(breaker.on_overdue(at(50), at(0), DELAY));
    assert_eq!(breaker.verdict(at(50)), BreakerVerdict::Avoid);
}

#[test]
fn any_answer_after_a_first_failure_allows_a_probe() {
    let mut breaker = Breaker::default();
    breaker.on_overdue(at(50), at(0), DELAY);
    breaker.on_answer(at(60), at(0), false);
    assert_eq!(breaker.verdict(at(60)), BreakerVerdict::Probe);
}

#[test]
fn only_one_probe_is_in_flight_at_a_time() {
    let mut breaker = Breaker::default();
    breaker.on_overdue(at(50), at(0), DELAY);
    assert_eq!(breaker.verdict(at(150)), BreakerVerdict::Probe);
    breaker.on_sent(at(150));
    assert_eq!(breaker.verdict(at(151)), BreakerVerdict::Avoid);
}

#[test]
fn a_timely_probe_closes_it() {
    let mut breaker = Breaker::default();
    breaker.on_overdue(at(50), at(0), DELAY);
    breaker.on_sent(at(150));
    assert!(breaker.on_answer(at(160), at(150), true));
    assert_eq!(breaker.verdict(at(160)), BreakerVerdict::Healthy);
}

#[test]
fn answers_to_requests_from_before_it_opened_do_not_close_it() {
    let mut breaker = Breaker::default();
    breaker.on_overdue(at(50), at(0), DELAY);
    assert!(!breaker.on_answer(at(60), at(10), true));
    assert_ne!(breaker.verdict(at(60)), BreakerVerdict::Healthy);
}

#[test]
fn waits_grow_while_probes_stay_unanswered() {
    let mut breaker = Breaker::default();
    let mut now = at(50);
    breaker.on_overdue(now, at(0), DELAY);
    let mut last = Duration::ZERO;
    for _ in 0..4 {
        let waited_from = now;
        while breaker.verdict(now) != BreakerVerdict::Probe {
            now = now + Duration::from_millis(1);
        }
        let wait = now.since(waited_from);
        assert!(wait >= last, "{wait:?} after {last:?}");
        last = wait;
        breaker.on_sent(now);
        let sent = now;
        now = now + DELAY;
        breaker.on_overdue(now, sent, DELAY);
    }
}

#[test]
fn several_overdue_requests_of_one_pause_count_once() {
    let mut breaker = Breaker::default();
    breaker.on_overdue(at(50), at(0), DELAY);
    for sent in 1..20 {
        assert!(!breaker.on_overdue(at(50 + sent), at(sent), DELAY));
    }
    breaker.on_answer(at(80), at(0), false);
    assert_eq!(breaker.verdict(at(80)), BreakerVerdict::Probe);
}

#[test]
fn an_abandoned_probe_allows_another() {
    let mut breaker = Breaker::default();
    breaker.on_overdue(at(50), at(0), DELAY);
    breaker.on_sent(at(150));
    breaker.on_abandoned(at(150));
    assert_eq!(breaker.verdict(at(151)), BreakerVerdict::Probe);
}
