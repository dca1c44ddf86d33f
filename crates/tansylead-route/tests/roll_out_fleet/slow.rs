//! How much slower than the old leafs a target version may be if all answers of the old ones have the same latency.

use crate::roll_out_fleet::{DEADLINE, Fleet, LATENCY};
use tansylead_route::{Conclusion, ConclusionReason};

fn conclusion_of_slower(factor: f64) -> Option<(Conclusion, ConclusionReason)> {
    let mut fleet = Fleet::new(3);
    fleet.new_latency = LATENCY.mul_f64(factor);
    fleet.run_until(DEADLINE);
    fleet.verdict().write
}

#[test]
fn a_version_a_little_slower_is_completed() {
    let expected = Some((Conclusion::Complete, ConclusionReason::AsGood));
    assert_eq!(conclusion_of_slower(1.2), expected);
}

#[test]
fn a_version_twice_as_slow_is_rolled_back() {
    let expected = Some((Conclusion::RollBack, ConclusionReason::Slow));
    assert_eq!(conclusion_of_slower(2.0), expected);
}
