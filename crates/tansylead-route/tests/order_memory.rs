//! Orders to roll out and their outcomes, when the source comes back from an older copy.

use std::time::Duration;
use tansylead_route::{Era, OrderId, OrderMemory, Revision, RollOut, RollOutState, RollOuts};
use tansylead_types::{Moment, ServiceName, SoftwareVersion};

fn at(seconds: u64) -> Moment {
    Moment::default() + Duration::from_secs(1_000 + seconds)
}

fn service() -> ServiceName {
    ServiceName::new("service").expect("valid name")
}

/// Orders at a position, with one that was made as told, if any.
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

fn state(standing: &RollOuts) -> Option<RollOutState> {
    standing.get(&service()).map(|order| order.state)
}

#[test]
fn an_outcome_that_the_source_lost_holds_and_is_written_again() {
    let mut memory = OrderMemory::default();
    let ended = orders(1, 500, Some(("v2", "7", RollOutState::RolledBack)));
    let told = orders(2, 400, Some(("v2", "7", RollOutState::Running)));
    let standing = memory.reconcile(at(0), &ended, &told, true);
    assert_eq!(state(&standing), Some(RollOutState::RolledBack));
    let lost: Vec<_> = memory.lost_outcomes(&told).collect();
    assert_eq!(lost.len(), 1);
    assert_eq!(
        lost[0].0.changed_at, told.at,
        "the condition is of the new era"
    );
    assert_eq!(lost[0].1, RollOutState::RolledBack);
    // However long that takes.
    let standing = memory.reconcile(at(60), &standing, &told, false);
    assert_eq!(state(&standing), Some(RollOutState::RolledBack));
    let written = orders(2, 410, Some(("v2", "7", RollOutState::RolledBack)));
    let standing = memory.reconcile(at(61), &standing, &written, false);
    assert_eq!(standing, written);
    assert_eq!(memory.lost_outcomes(&written).count(), 0);
}

#[test]
fn an_order_that_the_source_lost_stands_until_it_is_given_again() {
    let mut memory = OrderMemory::default();
    let running = orders(1, 500, Some(("v2", "7", RollOutState::Running)));
    let standing = memory.reconcile(at(0), &running, &orders(2, 400, None), true);
    assert_eq!(state(&standing), Some(RollOutState::Running));
    let again = orders(2, 420, Some(("v2", "9", RollOutState::Ordered)));
    assert_eq!(memory.reconcile(at(2), &standing, &again, false), again);
}

#[test]
fn an_ended_order_that_is_given_again_has_ended() {
    let mut memory = OrderMemory::default();
    let ended = orders(1, 500, Some(("v2", "7", RollOutState::RolledBack)));
    let standing = memory.reconcile(at(0), &ended, &orders(2, 400, None), true);
    let again = orders(2, 420, Some(("v2", "9", RollOutState::Ordered)));
    let standing = memory.reconcile(at(2), &standing, &again, false);
    assert_eq!(state(&standing), Some(RollOutState::RolledBack));
    assert_eq!(memory.lost_outcomes(&again).count(), 1);
    // A later one for the same version is another try.
    let later = orders(2, 900, Some(("v2", "11", RollOutState::Ordered)));
    assert_eq!(memory.reconcile(at(40), &standing, &later, false), later);
}

#[test]
fn an_order_that_is_not_given_again_is_taken_back() {
    let mut memory = OrderMemory::default();
    let running = orders(1, 500, Some(("v2", "7", RollOutState::Running)));
    let none = orders(2, 400, None);
    let standing = memory.reconcile(at(0), &running, &none, true);
    let standing = memory.reconcile(at(9), &standing, &none, false);
    assert!(state(&standing).is_some());
    assert_eq!(memory.reconcile(at(11), &standing, &none, false), none);
}

#[test]
fn another_order_of_the_operator_replaces_a_lost_one_when_that_is_not_given_again() {
    let mut memory = OrderMemory::default();
    let running = orders(1, 500, Some(("v3", "8", RollOutState::Running)));
    let older = orders(2, 400, Some(("v2", "7", RollOutState::Completed)));
    let standing = memory.reconcile(at(0), &running, &older, true);
    assert_eq!(standing.get(&service()).expect("one").target.as_str(), "v3");
    assert_eq!(memory.reconcile(at(11), &standing, &older, false), older);
}
