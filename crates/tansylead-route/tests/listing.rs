//! How a leaf may be used whose entry is missing.

use std::time::Duration;
use tansylead_route::{Listing, Standing};
use tansylead_types::Moment;

const GRACE: Duration = Duration::from_millis(1_200);
const SINCE: Moment = Moment(10_000_000);

fn missing(source_was_away: bool) -> Listing {
    Listing::Missing {
        since: SINCE,
        source_was_away,
    }
}

fn standing(listing: Listing, millis: u64) -> Standing {
    listing.standing(SINCE + Duration::from_millis(millis), GRACE)
}

#[test]
fn an_entry_that_expired_while_the_source_was_away_counts_as_listed_until_it_is_due_back() {
    let expired = missing(true);
    assert_eq!(standing(expired, 0), Standing::Regular);
    assert_eq!(standing(expired, 2_000), Standing::Regular);
    assert_eq!(standing(expired, 2_500), Standing::Gone);
}

#[test]
fn a_leaf_whose_entry_disappears_unannounced_is_a_last_resort() {
    let gone = missing(false);
    assert_eq!(standing(gone, 0), Standing::LastResort);
    assert_eq!(standing(gone, 1_199), Standing::LastResort);
    assert_eq!(standing(gone, 1_200), Standing::Gone);
}

#[test]
fn an_entry_that_is_back_counts_as_listed() {
    assert_eq!(missing(true).after_present(), Listing::Listed);
    assert_eq!(missing(false).after_present(), Listing::Listed);
}

#[test]
fn a_leaf_whose_address_belongs_to_another_run_never_comes_back() {
    let replaced = Listing::Replaced.after_present();
    assert_eq!(standing(replaced, 0), Standing::Gone);
}
