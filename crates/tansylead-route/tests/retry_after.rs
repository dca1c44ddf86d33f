//! When refused callers should retry.

use std::time::Duration;
use tansylead_route::{retry_after_outage, retry_after_refusal};

#[test]
fn in_an_outage_each_caller_retries_in_proportion_to_its_own_time_left() {
    let short = retry_after_outage(Duration::from_millis(1_500));
    let long = retry_after_outage(Duration::from_secs(12));
    assert_eq!(short, Duration::from_millis(500));
    assert_eq!(long, Duration::from_secs(4));
}

#[test]
fn after_a_refusal_by_full_leafs_the_retry_comes_well_within_the_objective() {
    let objective = Duration::from_millis(200);
    assert!(retry_after_refusal(objective) <= objective / 2);
}
