//! Backoff between the reads of a daemon that has no data from the source yet.

use std::time::Duration;
use tansylead_route::FirstReadBackoff;

/// The random number that gives no jitter.
const NO_JITTER: f64 = 0.5;

#[test]
fn the_end_of_a_short_outage_is_noticed_within_a_fraction_of_it() {
    let mut backoff = FirstReadBackoff::default();
    let mut elapsed = Duration::ZERO;
    for _ in 0..30 {
        let wait = backoff.next_wait(NO_JITTER);
        let bound = Duration::from_millis(200) + elapsed / 5;
        assert!(wait <= bound, "{wait:?} after {elapsed:?}");
        elapsed += wait;
    }
}

#[test]
fn a_long_outage_is_met_with_one_read_a_second() {
    let mut backoff = FirstReadBackoff::default();
    let waits: Vec<Duration> = (0..40).map(|_| backoff.next_wait(NO_JITTER)).collect();
    assert!(waits.is_sorted());
    assert_eq!(waits.last(), Some(&Duration::from_secs(1)));
}

#[test]
fn daemons_that_start_together_spread_out() {
    let early = FirstReadBackoff::default().next_wait(0.0);
    let late = FirstReadBackoff::default().next_wait(1.0);
    assert!(late > early.mul_f64(1.5));
}
