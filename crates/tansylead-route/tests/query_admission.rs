//! Which queries over shards are refused while leafs are overloaded.

use std::time::Duration;
use tansylead_route::{AdmissionChange, QueryAdmission};
use tansylead_types::Moment;

const TIME_LEFT: Duration = Duration::from_secs(4);
/// Number of callers, each with a random number of its own.
const CALLERS: u32 = 100;

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(10_000 + millis)
}

/// How many of a hundred callers are admitted.
fn admitted(admission: &mut QueryAdmission, now: Moment, time_left: Duration) -> u32 {
    let randoms = (0..CALLERS).map(|caller| f64::from(caller) / f64::from(CALLERS));
    let admitted = randoms.filter(|random| admission.admits(now, time_left, *random));
    admitted.count() as u32
}

#[test]
fn everything_is_admitted_while_queries_are_in_time() {
    let mut admission = QueryAdmission::default();
    for query in 0..50 {
        assert_eq!(admitted(&mut admission, at(query * 10), TIME_LEFT), CALLERS);
        admission.on_timely(at(query * 10));
    }
}

#[test]
fn fewer_are_admitted_while_leafs_refuse_parts_and_queries_are_late() {
    let mut admission = QueryAdmission::default();
    admission.on_overload(at(0));
    let after_one = admitted(&mut admission, at(0), TIME_LEFT);
    admission.on_overload(at(1));
    let after_two = admitted(&mut admission, at(1), TIME_LEFT);
    assert!(after_one < CALLERS);
    assert!(after_two < after_one);
}

#[test]
fn some_are_always_admitted_so_that_success_is_noticed() {
    let mut admission = QueryAdmission::default();
    for query in 0..1_000 {
        admission.on_overload(at(query));
    }
    let least = admitted(&mut admission, at(1_000), TIME_LEFT);
    assert!(least >= CALLERS / 5, "{least}");
    for query in 0..10 {
        admission.on_timely(at(1_001 + query));
    }
    assert_eq!(admitted(&mut admission, at(1_011), TIME_LEFT), CALLERS);
}

#[test]
fn a_caller_that_retries_is_admitted() {
    let mut admission = QueryAdmission::default();
    assert_eq!(admitted(&mut admission, at(0), TIME_LEFT), CALLERS);
    for query in 0..20 {
        admission.on_overload(at(query));
    }
    let retry_time_left = TIME_LEFT.mul_f64(2.0 / 3.0);
    assert_eq!(admitted(&mut admission, at(20), retry_time_left), CALLERS);
    assert!(admitted(&mut admission, at(20), TIME_LEFT) < CALLERS);
}

#[test]
fn without_evidence_everything_is_admitted_again() {
    let mut admission = QueryAdmission::default();
    for query in 0..20 {
        admission.on_overload(at(query));
    }
    assert_eq!(admitted(&mut admission, at(20_000), TIME_LEFT), CALLERS);
}

#[test]
fn shorter_timeouts_of_all_callers_are_learned() {
    let mut admission = QueryAdmission::default();
    assert!(admission.admits(at(0), TIME_LEFT * 10, 0.0));
    let much_later = at(3_600_000);
    for query in 0..20 {
        admission.on_overload(much_later + Duration::from_millis(query));
    }
    let now = much_later + Duration::from_millis(20);
    assert!(admitted(&mut admission, now, TIME_LEFT) < CALLERS);
}

#[test]
fn a_change_is_reported_when_refusing_begins_and_ends() {
    let mut admission = QueryAdmission::default();
    assert_eq!(admission.on_timely(at(0)), None);
    assert_eq!(admission.on_overload(at(1)), Some(AdmissionChange::Lowered));
    assert_eq!(admission.on_overload(at(2)), None);
    let changes: Vec<AdmissionChange> = (0..10)
        .filter_map(|query| admission.on_timely(at(3 + query)))
        .collect();
    assert_eq!(changes, [AdmissionChange::Restored]);
}
