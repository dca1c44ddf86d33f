//! When an order is settled without a trial, because its service already runs only the target version.

use std::time::Duration;
use tansylead_route::{OrderId, Revision, RollOut, RollOutState, VersionGate};
use tansylead_types::{ServiceName, SoftwareVersion};

/// Revision of the leafs that ran before.
const BEFORE: Revision = Revision::first_era(10);
/// Revision of the first order.
const FIRST: Revision = Revision::first_era(20);
/// Revision of the leafs that were started for it.
const STARTED: Revision = Revision::first_era(25);
/// Revision of the end of the first order.
const ENDED: Revision = Revision::first_era(30);
/// Revision of the second order.
const SECOND: Revision = Revision::first_era(40);
/// Revision after the second order.
const LATER: Revision = Revision::first_era(50);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name).expect("valid name")
}

fn order(id: u64, target: &str, state: RollOutState, changed_at: Revision) -> RollOut {
    RollOut {
        order: OrderId(id),
        service: ServiceName::new("search").expect("valid name"),
        target: version(target),
        duration: Duration::from_secs(12),
        state,
        changed_at,
    }
}

/// A service that was moved to `good`, and then had an order for `bad` that ended in this state or was withdrawn.
fn after_an_order_for_bad(end: Option<RollOutState>) -> VersionGate {
    let mut gate = VersionGate::default();
    gate.on_version_entry(&version("old"), Revision::first_era(5));
    gate.on_version_entry(&version("good"), Revision::first_era(8));
    let completed = order(1, "good", RollOutState::Completed, BEFORE);
    gate.apply(Some(&completed), BEFORE);
    let running = order(2, "bad", RollOutState::Running, FIRST);
    gate.apply(Some(&running), FIRST);
    gate.on_version_entry(&version("bad"), STARTED);
    let ended = end.map(|state| order(2, "bad", state, ENDED));
    gate.apply(ended.as_ref(), ENDED);
    gate
}

#[test]
fn a_version_that_is_ordered_again_after_it_failed_is_tried_again() {
    // Regression: the leafs of the last completed version were ignored, as they had started before its completion, and
    // the bad version was completed at once.
    for end in [Some(RollOutState::RolledBack), None] {
        let mut gate = after_an_order_for_bad(end);
        let again = order(3, "bad", RollOutState::Ordered, SECOND);
        gate.apply(Some(&again), SECOND);
        assert!(!gate.is_settled(), "{end:?}");
        assert!(gate.trial().is_some(), "{end:?}");
    }
}

#[test]
fn a_completed_version_is_the_only_one_until_another_is_seen() {
    let mut gate = VersionGate::default();
    gate.on_version_entry(&version("old"), Revision::first_era(5));
    gate.on_version_entry(&version("good"), Revision::first_era(8));
    let completed = order(1, "good", RollOutState::Completed, BEFORE);
    gate.apply(Some(&completed), BEFORE);
    let again = order(2, "good", RollOutState::Ordered, FIRST);
    gate.apply(Some(&again), FIRST);
    assert!(gate.is_settled());
}

#[test]
fn leafs_whose_entries_changed_after_the_order_count_as_leafs_of_another_version() {
    // Regression: a daemon that starts during a roll-out sees only the last change of each entry, which may be newer
    // than the order.
    let mut gate = VersionGate::default();
    gate.on_version_entry(&version("bad"), BEFORE);
    gate.on_version_entry(&version("good"), LATER);
    let ordered = order(1, "bad", RollOutState::Ordered, FIRST);
    gate.apply(Some(&ordered), LATER);
    assert!(!gate.is_settled());
}

#[test]
fn leafs_without_a_version_count_as_leafs_of_another_version() {
    // Regression: entries without a version were ignored.
    let mut gate = VersionGate::default();
    gate.on_entry_without_version(BEFORE);
    gate.on_version_entry(&version("bad"), BEFORE);
    let ordered = order(1, "bad", RollOutState::Ordered, FIRST);
    gate.apply(Some(&ordered), FIRST);
    assert!(!gate.is_settled());
    // A completion stops them.
    let completed = order(1, "bad", RollOutState::Completed, ENDED);
    gate.apply(Some(&completed), ENDED);
    let again = order(2, "bad", RollOutState::Ordered, SECOND);
    gate.apply(Some(&again), SECOND);
    assert!(gate.is_settled());
}

#[test]
fn a_version_that_reappeared_after_a_completion_counts_although_it_was_seen_before() {
    // Regression: only the oldest entry of a version was considered, which the completion had stopped.
    let mut gate = VersionGate::default();
    gate.on_version_entry(&version("old"), Revision::first_era(5));
    gate.on_version_entry(&version("new"), Revision::first_era(8));
    let completed = order(1, "new", RollOutState::Completed, BEFORE);
    gate.apply(Some(&completed), BEFORE);
    gate.on_version_entry(&version("old"), STARTED);
    let again = order(2, "new", RollOutState::Ordered, SECOND);
    gate.apply(Some(&again), SECOND);
    assert!(!gate.is_settled());
}

#[test]
fn a_version_is_the_only_one_if_the_other_was_rolled_back() {
    let mut gate = after_an_order_for_bad(Some(RollOutState::RolledBack));
    let again = order(3, "good", RollOutState::Ordered, SECOND);
    gate.apply(Some(&again), SECOND);
    assert!(gate.is_settled());
    let mut gate = after_an_order_for_bad(None);
    gate.apply(Some(&again), SECOND);
    assert!(!gate.is_settled(), "one that was withdrawn may run on");
}
