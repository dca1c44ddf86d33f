//! Replication of the set of orders: whole, and in the order of the source's revisions.

use std::time::Duration;
use tansylead_route::{OrderId, Revision, RollOut, RollOutState, RollOuts, RollOutsMark};
use tansylead_types::{ServiceName, SoftwareVersion};

fn orders(at: u64, state: Option<RollOutState>) -> RollOuts {
    let service = ServiceName::new("service").expect("valid name");
    let target = SoftwareVersion::new("v2").expect("valid name");
    let duration = Duration::from_secs(20);
    let order = state.map(|state| RollOut {
        order: OrderId::new(&service, &target, duration, "made"),
        service: service.clone(),
        target,
        duration,
        state,
        changed_at: Revision::first_era(2),
    });
    RollOuts {
        at: Revision::first_era(at),
        orders: order
            .into_iter()
            .map(|order| (service.clone(), order))
            .collect(),
    }
}

#[test]
fn a_set_that_arrives_late_changes_nothing() {
    let mut held = orders(9, Some(RollOutState::RolledBack));
    let before = held.clone();
    assert!(!held.apply(orders(5, Some(RollOutState::Running))));
    assert!(!held.apply(orders(8, None)));
    assert_eq!(held, before);
    assert!(!held.is_update_for(Some(before.mark())));
}

#[test]
fn a_change_is_an_update_for_a_replica_at_an_earlier_revision() {
    let running = orders(5, Some(RollOutState::Running));
    let back = orders(9, Some(RollOutState::RolledBack));
    assert!(back.is_update_for(Some(running.mark())));
    assert!(back.is_update_for(None));
    assert!(!running.is_update_for(Some(back.mark())));
    assert!(!orders(9, Some(RollOutState::Running)).is_update_for(Some(running.mark())));
}

#[test]
fn a_replica_with_the_same_orders_advances_to_the_revision_of_the_other() {
    let mut held = orders(5, Some(RollOutState::Running));
    assert!(!held.advance(orders(9, None).mark()), "other orders");
    assert!(!held.advance(orders(9, Some(RollOutState::RolledBack)).mark()));
    assert!(!held.advance(orders(4, Some(RollOutState::Running)).mark()));
    assert_eq!(held.at, Revision::first_era(5));
    assert!(held.advance(orders(9, Some(RollOutState::Running)).mark()));
    assert_eq!(held.at, Revision::first_era(9));
}

#[test]
fn the_digest_of_no_orders_is_zero() {
    assert_eq!(
        orders(9, None).mark(),
        RollOutsMark {
            at: Revision::first_era(9),
            digest: 0
        }
    );
}
