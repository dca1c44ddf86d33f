//! Which leafs of a service may be used, by their versions.

use proptest::prelude::*;
use std::time::Duration;
use tansylead_route::{
    Grant, OrderId, Revision, RollOut, RollOutState, Stage, VersionGate, VersionUse,
};
use tansylead_types::{Moment, ServiceName, SoftwareVersion};

const NOW: Moment = Moment(1_000_000);
const VALID: Duration = Duration::from_secs(1);
/// Revision of the first update of orders, and of the leafs that ran before.
const BEFORE: Revision = Revision::first_era(10);
const ORDERED: Revision = Revision::first_era(20);
const ENDED: Revision = Revision::first_era(30);
const LATER: Revision = Revision::first_era(40);

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

fn grant(stage: Stage, limit: u64) -> Grant {
    Grant {
        stage,
        limit,
        valid: VALID,
    }
}

/// A service with leafs of `old` and no order.
fn gate() -> VersionGate {
    let mut gate = VersionGate::default();
    gate.on_version_entry(&version("old"), BEFORE);
    gate.apply(None, BEFORE);
    gate
}

/// The same service with an order to roll out `new`.
fn gate_under_trial() -> VersionGate {
    let mut gate = gate();
    gate.on_version_entry(&version("new"), LATER);
    gate.apply(
        Some(&order(1, "new", RollOutState::Running, ORDERED)),
        ORDERED,
    );
    gate
}

fn use_of(gate: &VersionGate, name: &str, changed_at: Revision) -> VersionUse {
    gate.use_of(NOW, Some(&version(name)), changed_at, false)
}

fn use_of_old(gate: &VersionGate) -> VersionUse {
    use_of(gate, "old", BEFORE)
}

fn use_of_new(gate: &VersionGate) -> VersionUse {
    use_of(gate, "new", LATER)
}

#[test]
fn without_an_order_every_leaf_is_unrestricted() {
    let gate = gate();
    assert_eq!(use_of_old(&gate), VersionUse::Unrestricted);
    assert_eq!(use_of(&gate, "another", BEFORE), VersionUse::Unrestricted);
    let unversioned = gate.use_of(NOW, None, LATER, true);
    assert_eq!(unversioned, VersionUse::Unrestricted);
}

#[test]
fn nothing_goes_to_a_version_under_trial_without_a_grant() {
    for state in [RollOutState::Ordered, RollOutState::Running] {
        let mut gate = gate();
        gate.apply(Some(&order(1, "new", state, ORDERED)), ORDERED);
        assert_eq!(use_of_new(&gate), VersionUse::NotGranted);
        assert_eq!(use_of_old(&gate), VersionUse::Unrestricted);
    }
}

#[test]
fn sends_end_with_the_grant() {
    for stage in [Stage::Trial, Stage::Shift] {
        let mut gate = gate_under_trial();
        gate.on_grant(NOW, OrderId(1), grant(stage, 2));
        for _ in 0..2 {
            assert_eq!(use_of_new(&gate), VersionUse::Granted(stage));
            assert_eq!(gate.on_sent(Some(&version("new"))), Some(stage));
        }
        assert_eq!(use_of_new(&gate), VersionUse::NotGranted);
        assert_eq!(use_of_old(&gate), VersionUse::Unrestricted);
    }
}

#[test]
fn a_grant_is_a_total_and_replaces_the_one_before() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 2));
    gate.on_sent(Some(&version("new")));
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 2));
    assert_eq!(gate.sends_left(NOW), 1, "a grant that comes twice");
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 1));
    assert_eq!(gate.sends_left(NOW), 0, "one that allows less");
}

#[test]
fn sends_to_other_versions_use_up_nothing() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 1));
    assert_eq!(gate.on_sent(Some(&version("old"))), None);
    assert_eq!(gate.on_sent(None), None);
    assert_eq!(gate.sends_left(NOW), 1);
}

#[test]
fn an_expired_grant_allows_nothing() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 5));
    let new = version("new");
    let at = |moment| gate.use_of(moment, Some(&new), LATER, false);
    let last = NOW + VALID - Duration::from_micros(1);
    assert_eq!(at(last), VersionUse::Granted(Stage::Trial));
    assert_eq!(at(NOW + VALID), VersionUse::NotGranted);
}

#[test]
fn a_grant_for_another_order_allows_nothing() {
    let mut gate = gate_under_trial();
    assert_eq!(gate.on_grant(NOW, OrderId(2), grant(Stage::Trial, 5)), None);
    assert_eq!(use_of_new(&gate), VersionUse::NotGranted);
}

#[test]
fn in_commit_everything_goes_to_the_target_also_when_the_grant_has_expired() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::Commit, 0));
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 1));
    let later = NOW + VALID * 10;
    let target = gate.use_of(later, Some(&version("new")), LATER, false);
    let other = gate.use_of(later, Some(&version("old")), BEFORE, false);
    assert_eq!(
        (target, other),
        (VersionUse::Unrestricted, VersionUse::Excluded)
    );
    assert_eq!(gate.stage(), Some(Stage::Commit));
}

#[test]
fn a_roll_back_holds_until_the_source_has_another_outcome() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::RollBack, 0));
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 100));
    let new = version("new");
    for are_orders_stale in [false, true] {
        let target = gate.use_of(NOW, Some(&new), LATER, are_orders_stale);
        assert_eq!(target, VersionUse::Excluded);
    }
    let running = order(1, "new", RollOutState::Running, Revision::first_era(25));
    gate.apply(Some(&running), Revision::first_era(25));
    assert_eq!(use_of_new(&gate), VersionUse::Excluded);
    let completed = order(1, "new", RollOutState::Completed, ENDED);
    gate.apply(Some(&completed), ENDED);
    assert_eq!(use_of_new(&gate), VersionUse::Unrestricted);
}

#[test]
fn a_completion_stops_the_old_leafs_and_spares_later_ones() {
    let mut gate = gate_under_trial();
    let completed = order(1, "new", RollOutState::Completed, ENDED);
    gate.apply(Some(&completed), ENDED);
    assert_eq!(use_of_old(&gate), VersionUse::Excluded);
    assert_eq!(gate.use_of(NOW, None, BEFORE, false), VersionUse::Excluded);
    assert_eq!(use_of(&gate, "new", BEFORE), VersionUse::Unrestricted);
    assert_eq!(use_of_new(&gate), VersionUse::Unrestricted);
    gate.on_version_entry(&version("newest"), LATER);
    gate.apply(Some(&completed), LATER);
    assert_eq!(use_of(&gate, "newest", LATER), VersionUse::Unrestricted);
}

#[test]
fn old_leafs_stay_stopped_when_the_order_is_gone_or_followed_by_another() {
    let mut gate = gate_under_trial();
    let completed = order(1, "new", RollOutState::Completed, ENDED);
    gate.apply(Some(&completed), ENDED);
    gate.apply(None, Revision::first_era(31));
    assert_eq!(use_of_old(&gate), VersionUse::Excluded);
    assert_eq!(use_of_new(&gate), VersionUse::Unrestricted);
    gate.apply(
        Some(&order(2, "newest", RollOutState::Ordered, LATER)),
        LATER,
    );
    assert_eq!(use_of_old(&gate), VersionUse::Excluded);
    assert_eq!(use_of_new(&gate), VersionUse::Unrestricted);
}

#[test]
fn a_later_change_of_a_completed_order_stops_no_more_leafs() {
    let mut gate = gate_under_trial();
    let completed = |at| order(1, "new", RollOutState::Completed, at);
    gate.apply(Some(&completed(ENDED)), ENDED);
    gate.on_version_entry(&version("newest"), Revision::first_era(35));
    gate.apply(Some(&completed(LATER)), LATER);
    assert_eq!(
        use_of(&gate, "newest", Revision::first_era(35)),
        VersionUse::Unrestricted
    );
}

#[test]
fn a_version_that_was_rolled_back_gets_nothing_without_a_new_order() {
    let mut gate = gate_under_trial();
    let rolled_back = order(1, "new", RollOutState::RolledBack, ENDED);
    gate.apply(Some(&rolled_back), ENDED);
    assert_eq!(use_of_new(&gate), VersionUse::Excluded);
    assert_eq!(use_of_old(&gate), VersionUse::Unrestricted);
    gate.apply(None, LATER);
    assert_eq!(
        use_of_new(&gate),
        VersionUse::Excluded,
        "the object is gone"
    );
    let other = order(2, "newest", RollOutState::Running, Revision::first_era(50));
    gate.apply(Some(&other), Revision::first_era(50));
    assert_eq!(
        use_of_new(&gate),
        VersionUse::Excluded,
        "another version's order"
    );
    let again = order(3, "new", RollOutState::Ordered, Revision::first_era(60));
    gate.apply(Some(&again), Revision::first_era(60));
    assert_eq!(use_of_new(&gate), VersionUse::NotGranted, "a new order");
}

#[test]
fn an_order_given_again_that_cannot_be_told_from_the_first_begins_anew() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 9));
    gate.on_sent(Some(&version("new")));
    let rolled_back = order(1, "new", RollOutState::RolledBack, ENDED);
    assert!(!gate.apply(Some(&rolled_back), ENDED));
    let again = order(1, "new", RollOutState::Ordered, LATER);
    assert!(gate.apply(Some(&again), LATER));
    assert_eq!(use_of_new(&gate), VersionUse::NotGranted);
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 1));
    assert_eq!(gate.sends_left(NOW), 1, "totals start over");
}

#[test]
fn the_version_of_a_withdrawn_order_is_a_last_resort() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 9));
    gate.apply(None, LATER);
    assert_eq!(use_of_new(&gate), VersionUse::LastResort);
    assert_eq!(use_of_old(&gate), VersionUse::Unrestricted);
    let again = order(2, "new", RollOutState::Ordered, Revision::first_era(50));
    gate.apply(Some(&again), Revision::first_era(50));
    assert_eq!(use_of_new(&gate), VersionUse::NotGranted);
}

#[test]
fn another_order_replaces_one_that_has_not_ended() {
    let mut gate = gate_under_trial();
    gate.on_grant(NOW, OrderId(1), grant(Stage::Shift, 9));
    let other = order(2, "newest", RollOutState::Ordered, LATER);
    assert!(gate.apply(Some(&other), LATER));
    assert_eq!(use_of_new(&gate), VersionUse::LastResort);
    assert_eq!(use_of(&gate, "newest", LATER), VersionUse::NotGranted);
    assert_eq!(gate.stage(), None);
}

#[test]
fn an_unknown_version_is_a_last_resort_until_the_orders_are_known() {
    let mut gate = gate();
    gate.on_version_entry(&version("new"), ENDED);
    assert_eq!(use_of(&gate, "new", ENDED), VersionUse::LastResort);
    assert_eq!(
        use_of(&gate, "old", ENDED),
        VersionUse::Unrestricted,
        "known"
    );
    gate.apply(None, ORDERED);
    assert_eq!(use_of(&gate, "new", ENDED), VersionUse::LastResort);
    gate.apply(None, ENDED);
    assert_eq!(use_of(&gate, "new", ENDED), VersionUse::Unrestricted);
    assert_eq!(
        use_of(&gate, "new", LATER),
        VersionUse::Unrestricted,
        "known now"
    );
}

#[test]
fn before_the_first_update_of_the_orders_versions_are_a_last_resort() {
    let mut gate = VersionGate::default();
    gate.on_version_entry(&version("old"), BEFORE);
    assert_eq!(use_of_old(&gate), VersionUse::LastResort);
    let unversioned = gate.use_of(NOW, None, BEFORE, false);
    assert_eq!(unversioned, VersionUse::Unrestricted);
}

#[test]
fn if_the_orders_are_stale_the_target_is_a_last_resort() {
    let mut gate = gate_under_trial();
    let new = version("new");
    let at = |gate: &VersionGate| gate.use_of(NOW, Some(&new), LATER, true);
    assert_eq!(at(&gate), VersionUse::LastResort);
    gate.on_grant(NOW, OrderId(1), grant(Stage::Trial, 1));
    assert_eq!(at(&gate), VersionUse::Granted(Stage::Trial));
    let old = gate.use_of(NOW, Some(&version("old")), BEFORE, true);
    assert_eq!(old, VersionUse::Unrestricted);
}

#[test]
fn an_update_of_the_orders_that_arrives_late_changes_nothing() {
    let mut gate = gate_under_trial();
    let rolled_back = order(1, "new", RollOutState::RolledBack, ENDED);
    gate.apply(Some(&rolled_back), ENDED);
    let running = order(1, "new", RollOutState::Running, ORDERED);
    assert!(!gate.apply(Some(&running), ORDERED));
    assert_eq!(use_of_new(&gate), VersionUse::Excluded);
}

#[test]
fn a_stage_is_returned_only_when_it_changes() {
    let mut gate = gate_under_trial();
    let mut apply_grant = |stage| gate.on_grant(NOW, OrderId(1), grant(stage, 1));
    assert_eq!(apply_grant(Stage::Trial), Some(Stage::Trial));
    assert_eq!(apply_grant(Stage::Trial), None);
    assert_eq!(apply_grant(Stage::Shift), Some(Stage::Shift));
    assert_eq!(apply_grant(Stage::RollBack), Some(Stage::RollBack));
    assert_eq!(apply_grant(Stage::Shift), None);
    assert_eq!(apply_grant(Stage::Commit), None);
}

/// Event at a gate.
#[derive(Debug, Clone, Copy)]
enum Event {
    Granted(Stage, u64),
    /// A send to the target, if the gate allows one.
    Sent,
    TimePassed(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let stages = prop_oneof![
        4 => Just(Stage::Trial),
        4 => Just(Stage::Shift),
        1 => Just(Stage::RollBack),
    ];
    let event = prop_oneof![
        (stages, 0..20_u64).prop_map(|(stage, limit)| Event::Granted(stage, limit)),
        Just(Event::Sent),
        Just(Event::Sent),
        (0..1_500_u64).prop_map(Event::TimePassed),
    ];
    proptest::collection::vec(event, 0..80)
}

proptest! {
    #[test]
    fn sends_stay_within_the_grant_that_holds(events in events()) {
        let mut gate = gate_under_trial();
        let new = version("new");
        let (mut now, mut sends) = (NOW, 0);
        let mut held: Option<(u64, Moment)> = None;
        let mut is_rolled_back = false;
        for event in events {
            match event {
                Event::Granted(stage, limit) => {
                    gate.on_grant(now, OrderId(1), grant(stage, limit));
                    held = Some((limit, now + VALID));
                    is_rolled_back |= stage == Stage::RollBack;
                }
                Event::Sent => {
                    let allowed = gate.use_of(now, Some(&new), LATER, false);
                    if matches!(allowed, VersionUse::Granted(_)) {
                        gate.on_sent(Some(&new));
                        sends += 1;
                        let (limit, until) = held.expect("a grant");
                        prop_assert!(sends <= limit && now < until && !is_rolled_back);
                    } else {
                        let room = held.is_some_and(|(limit, until)| sends < limit && now < until);
                        prop_assert!(is_rolled_back || !room, "a grant with room is used");
                        prop_assert!(matches!(allowed, VersionUse::NotGranted | VersionUse::Excluded));
                    }
                }
                Event::TimePassed(millis) => now = now + Duration::from_millis(millis),
            }
        }
    }

    #[test]
    fn old_leafs_are_usable_as_long_as_nothing_was_committed(events in events()) {
        let mut gate = gate_under_trial();
        for event in events {
            if let Event::Granted(stage, limit) = event {
                gate.on_grant(NOW, OrderId(1), grant(stage, limit));
            }
            prop_assert_eq!(use_of_old(&gate), VersionUse::Unrestricted);
        }
    }

    #[test]
    fn what_was_rolled_back_stays_so_whatever_follows(
        states in proptest::collection::vec((0..3_usize, any::<bool>()), 0..10),
    ) {
        let mut gate = gate_under_trial();
        let rolled_back = order(1, "new", RollOutState::RolledBack, ENDED);
        gate.apply(Some(&rolled_back), ENDED);
        let targets = ["a", "b", "c"];
        for (step, (target, has_order)) in states.into_iter().enumerate() {
            let at = Revision::first_era(50 + step as u64);
            let next = order(10 + step as u64, targets[target], RollOutState::Running, at);
            gate.apply(has_order.then_some(&next), at);
            prop_assert_eq!(use_of_new(&gate), VersionUse::Excluded);
        }
    }
}

#[test]
fn an_order_for_the_version_that_runs_alone_changes_nothing() {
    let mut gate = gate();
    gate.apply(
        Some(&order(1, "old", RollOutState::Ordered, ORDERED)),
        ORDERED,
    );
    assert!(gate.is_settled());
    assert_eq!(gate.trial(), None);
    assert_eq!(use_of(&gate, "old", BEFORE), VersionUse::Unrestricted);
    assert_eq!(use_of(&gate, "old", LATER), VersionUse::Unrestricted);
    let completed = order(1, "old", RollOutState::Completed, ENDED);
    gate.apply(Some(&completed), ENDED);
    assert_eq!(use_of(&gate, "old", BEFORE), VersionUse::Unrestricted);
}

/// Guards against requests that are refused while sound leafs are free, as their version is under trial.
#[test]
fn a_version_under_trial_that_runs_alone_is_the_last_resort() {
    const SOON: Duration = Duration::from_secs(1);
    const LATE: Duration = Duration::from_secs(10);
    let mut gate = gate_under_trial();
    let use_at = |gate: &VersionGate, now| gate.use_of(now, Some(&version("new")), LATER, false);
    gate.note_alone(NOW, true);
    // The other leafs may have crashed and start again.
    assert_eq!(use_at(&gate, NOW + SOON), VersionUse::NotGranted);
    gate.note_alone(NOW + SOON, true);
    assert_eq!(use_at(&gate, NOW + LATE), VersionUse::LastResort);
    gate.note_alone(NOW + LATE, false);
    assert_eq!(use_at(&gate, NOW + LATE * 2), VersionUse::NotGranted);
    gate.note_alone(NOW, true);
    gate.on_grant(NOW, OrderId(1), grant(Stage::RollBack, 0));
    assert_eq!(use_at(&gate, NOW + LATE), VersionUse::Excluded);
}

/// Guards against a later order that begins as if its version had run alone for long.
#[test]
fn another_order_forgets_that_a_version_ran_alone() {
    const LATE: Duration = Duration::from_secs(10);
    let mut gate = gate_under_trial();
    gate.note_alone(NOW, true);
    assert!(gate.is_alone(NOW + LATE));
    let other = order(2, "newer", RollOutState::Running, ENDED);
    gate.apply(Some(&other), ENDED);
    assert!(!gate.is_alone(NOW + LATE));
}

#[test]
fn an_order_back_to_an_older_version_is_a_trial() {
    let mut gate = gate_under_trial();
    gate.apply(
        Some(&order(1, "new", RollOutState::Completed, ENDED)),
        ENDED,
    );
    gate.apply(Some(&order(2, "old", RollOutState::Ordered, LATER)), LATER);
    assert!(!gate.is_settled());
    assert!(gate.trial().is_some());
}
