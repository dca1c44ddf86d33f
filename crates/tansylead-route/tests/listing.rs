//! How a leaf may be used whose entry is missing.

use std::time::Duration;
use tansylead_route::{Eligibility, EntryState};
use tansylead_types::Moment;

const GRACE: Duration = Duration::from_millis(1_200);
const SINCE: Moment = Moment(10_000_000);

fn missing(source_was_away: bool) -> EntryState {
    EntryState::Missing {
        since: SINCE,
        source_was_away,
    }
}

fn eligibility(entry_state: EntryState, millis: u64) -> Eligibility {
    entry_state.eligibility(SINCE + Duration::from_millis(millis), GRACE)
}

#[test]
fn an_entry_that_expired_while_the_source_was_away_counts_as_listed_until_it_is_due_back() {
    let expired = missing(true);
    assert_eq!(eligibility(expired, 0), Eligibility::Regular);
    assert_eq!(eligibility(expired, 2_000), Eligibility::Regular);
    assert_eq!(eligibility(expired, 2_500), Eligibility::Ineligible);
}

#[test]
fn a_leaf_whose_entry_disappears_unannounced_is_a_last_resort() {
    let gone = missing(false);
    assert_eq!(eligibility(gone, 0), Eligibility::LastResort);
    assert_eq!(eligibility(gone, 1_199), Eligibility::LastResort);
    assert_eq!(eligibility(gone, 1_200), Eligibility::Ineligible);
}

#[test]
fn an_entry_that_is_back_counts_as_listed() {
    assert_eq!(missing(true).after_received(), EntryState::Listed);
    assert_eq!(missing(false).after_received(), EntryState::Listed);
}

#[test]
fn a_leaf_whose_address_belongs_to_another_run_never_comes_back() {
    let replaced = EntryState::Replaced.after_received();
    assert_eq!(eligibility(replaced, 0), Eligibility::Ineligible);
}
