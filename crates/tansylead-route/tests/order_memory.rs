//! Roll-out orders and their outcomes after the source was restored from an older copy.

use std::time::Duration;
use tansylead_route::{Era, OrderId, OrderMemory, Revision, RollOut, RollOutState, RollOuts};
use tansylead_types::{Moment, ServiceName, SoftwareVersion};

fn at(seconds: u64) -> Moment {
    Moment::default() + Duration::from_secs(1_000 + seconds)
}

fn service() -> ServiceName {
    ServiceName::new("service").expect("valid name")
}

/// The set of orders at a revision, with at most one order of this target, creation text and state.
fn orders(era: u64, number: u64, order: Option<(&str, &str, RollOutState)>) -> RollOuts {
    let duration = Duration::from_secs(20);
    let at = Revision::new(Era(era), number);
    let order = order.map(|(target, made, state)| {
        let target = SoftwareVersion::new(target).expect("valid name");
        RollOut {
            order: OrderId::new(&service(), &target, duration, made),
            service: service(),
            target,
            duration,
            state,
            changed_at: at,
        }
    });
    RollOuts {
        at,
        orders: order.into_iter().map(|order| (service(), order)).collect(),
    }
}

fn state(current: &RollOuts) -> Option<RollOutState> {
    current.get(&service()).map(|order| order.state)
}

#[test]
fn an_outcome_that_the_source_lost_holds_and_is_written_again() {
    let mut memory = OrderMemory::default();
    let ended = orders(1, 500, Some(("v2", "7", RollOutState::RolledBack)));
    let source = orders(2, 400, Some(("v2", "7", RollOutState::Running)));
    let current = memory.reconcile(at(0), &ended, &source, true);
    assert_eq!(state(&current), Some(RollOutState::RolledBack));
    let lost_outcomes: Vec<_> = memory.lost_outcomes(&source).collect();
    assert_eq!(lost_outcomes.len(), 1);
    assert_eq!(
        lost_outcomes[0].0.changed_at, source.at,
        "the condition is of the new era"
    );
    assert_eq!(lost_outcomes[0].1, RollOutState::RolledBack);
    // The outcome holds however long the write takes.
    let current = memory.reconcile(at(60), &current, &source, false);
    assert_eq!(state(&current), Some(RollOutState::RolledBack));
    let written = orders(2, 410, Some(("v2", "7", RollOutState::RolledBack)));
    let current = memory.reconcile(at(61), &current, &written, false);
    assert_eq!(current, written);
    assert_eq!(memory.lost_outcomes(&written).count(), 0);
}

#[test]
fn an_order_that_the_source_lost_is_followed_until_it_is_given_again() {
    let mut memory = OrderMemory::default();
    let running = orders(1, 500, Some(("v2", "7", RollOutState::Running)));
    let current = memory.reconcile(at(0), &running, &orders(2, 400, None), true);
    assert_eq!(state(&current), Some(RollOutState::Running));
    let again = orders(2, 420, Some(("v2", "9", RollOutState::Ordered)));
    assert_eq!(memory.reconcile(at(2), &current, &again, false), again);
}

#[test]
fn an_ended_order_that_is_given_again_has_ended() {
    let mut memory = OrderMemory::default();
    let ended = orders(1, 500, Some(("v2", "7", RollOutState::RolledBack)));
    let current = memory.reconcile(at(0), &ended, &orders(2, 400, None), true);
    let again = orders(2, 420, Some(("v2", "9", RollOutState::Ordered)));
    let current = memory.reconcile(at(2), &current, &again, false);
    assert_eq!(state(&current), Some(RollOutState::RolledBack));
    assert_eq!(memory.lost_outcomes(&again).count(), 1);
    // A later order for the same version is a new roll-out.
    let later = orders(2, 900, Some(("v2", "11", RollOutState::Ordered)));
    assert_eq!(memory.reconcile(at(40), &current, &later, false), later);
}

#[test]
fn an_order_that_is_not_given_again_is_dropped() {
    let mut memory = OrderMemory::default();
    let running = orders(1, 500, Some(("v2", "7", RollOutState::Running)));
    let none = orders(2, 400, None);
    let current = memory.reconcile(at(0), &running, &none, true);
    let current = memory.reconcile(at(9), &current, &none, false);
    assert!(state(&current).is_some());
    assert_eq!(memory.reconcile(at(11), &current, &none, false), none);
}

#[test]
fn another_order_of_the_operator_replaces_a_lost_one_when_that_is_not_given_again() {
    let mut memory = OrderMemory::default();
    let running = orders(1, 500, Some(("v3", "8", RollOutState::Running)));
    let older = orders(2, 400, Some(("v2", "7", RollOutState::Completed)));
    let current = memory.reconcile(at(0), &running, &older, true);
    assert_eq!(current.get(&service()).expect("one").target.as_str(), "v3");
    assert_eq!(memory.reconcile(at(11), &current, &older, false), older);
}
