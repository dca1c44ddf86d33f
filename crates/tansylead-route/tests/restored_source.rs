//! Evacuation orders and removed leafs that daemons remember when the source is restored from an older copy.

use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_route::{
    Eligibility, EntryState, Era, EvacuatedZones, EvacuationOrders, LeafRun, RemovedLeafs,
    Revision, RunStart,
};
use tansylead_types::{LeafId, Moment, ZoneName};

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(1_000_000 + millis)
}

fn zones(era: u64, number: u64, names: &[&str]) -> EvacuatedZones {
    let zones = names
        .iter()
        .map(|name| ZoneName::new(*name).expect("valid name"));
    EvacuatedZones {
        at: Revision::new(Era(era), number),
        zones: zones.collect::<BTreeSet<_>>(),
    }
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("valid name")
}

#[test]
fn an_order_that_the_source_lost_holds_until_it_is_given_again() {
    let mut orders = EvacuationOrders::default();
    orders.apply(at(0), zones(1, 500, &["north"]));
    assert!(
        !orders.apply(at(10), zones(2, 300, &[])),
        "nothing changes for leafs"
    );
    assert!(orders.contains(&zone("north")));
    orders.apply(at(2_000), zones(2, 310, &["north"]));
    // The order is revoked in the new era.
    assert!(orders.apply(at(3_000), zones(2, 320, &[])));
    assert!(!orders.contains(&zone("north")));
}

#[test]
fn an_order_that_is_not_repeated_expires() {
    let mut orders = EvacuationOrders::default();
    orders.apply(at(0), zones(1, 500, &["north"]));
    orders.apply(at(10), zones(2, 300, &[]));
    orders.apply(at(9_000), zones(2, 300, &[]));
    assert!(orders.contains(&zone("north")));
    assert!(orders.apply(at(10_020), zones(2, 300, &[])));
    assert!(!orders.contains(&zone("north")));
}

#[test]
fn an_order_that_is_revoked_within_an_era_ends_at_once() {
    let mut orders = EvacuationOrders::default();
    orders.apply(at(0), zones(1, 500, &["north"]));
    assert!(orders.apply(at(10), zones(1, 501, &[])));
    assert!(!orders.contains(&zone("north")));
}

#[test]
fn a_set_of_an_earlier_era_brings_nothing_back() {
    let mut orders = EvacuationOrders::default();
    orders.apply(at(0), zones(2, 300, &[]));
    assert!(!orders.apply(at(10), zones(1, 900, &["north"])));
    assert!(!orders.contains(&zone("north")));
}

#[test]
fn only_the_removed_run_is_remembered_and_only_for_a_while() {
    let run = |started| LeafRun {
        leaf: LeafId::new("leaf").expect("valid name"),
        started: Some(RunStart(started)),
    };
    let mut removed = RemovedLeafs::default();
    removed.add(at(0), run(1));
    assert!(removed.contains(at(30_000), &run(1)));
    assert!(!removed.contains(at(30_000), &run(2)));
    assert!(!removed.contains(at(60_000), &run(1)));
    removed.add(at(61_000), run(2));
    removed.remove(&run(2));
    assert!(!removed.contains(at(61_000), &run(2)));
}

#[test]
fn an_entry_that_only_an_older_copy_lists_is_a_last_resort_until_it_has_existed_for_long() {
    let entry_state = EntryState::Doubtful { since: at(0) };
    assert_eq!(
        entry_state.eligibility(at(5_000), Duration::ZERO),
        Eligibility::LastResort
    );
    assert_eq!(
        entry_state.eligibility(at(12_000), Duration::ZERO),
        Eligibility::Regular
    );
    assert_eq!(entry_state.after_received(), EntryState::Listed);
}
