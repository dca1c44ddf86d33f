//! Which leafs get the requests to a service when a roll-out of it ends, and while little is known of it.

mod common;

use common::fleet::{BAD, Fleet, grant_to, has_leafs, settings, with_old_draining};
use common::versions::{ENDED, STARTED, orders, service};
use std::time::Duration;
use tansylead_route::{Revision, RollOutState, Stage};

#[tokio::test]
async fn after_the_commitment_nothing_goes_to_old_leafs_though_their_entries_stand() {
    let fleet = Fleet::granted(Stage::Commit, 0).await;
    assert_eq!(fleet.send(3).await, (0, 3));
    fleet.new.set(BAD);
    assert_eq!(fleet.ask(true).await, Some(500));
    assert_eq!(fleet.served().0, 0);
}

#[tokio::test]
async fn a_completion_leaves_old_leafs_alone_though_their_entries_stand() {
    let fleet = Fleet::granted(Stage::Shift, 0).await;
    assert_eq!(fleet.send(2).await, (2, 0));
    fleet.set_state(RollOutState::Completed, ENDED);
    assert_eq!(fleet.send(3).await, (2, 3));
    fleet.new.set(BAD);
    assert_eq!(fleet.ask(true).await, Some(500));
    assert_eq!(fleet.served().0, 2);
}

#[tokio::test]
async fn a_version_that_was_rolled_back_gets_nothing_also_when_it_is_alone() {
    let fleet = Fleet::granted(Stage::Trial, 2).await;
    assert_eq!(fleet.send(1).await, (0, 1));
    grant_to(&fleet.gateway, &service(), Stage::RollBack, 0);
    assert_eq!(fleet.send(2).await, (2, 1));
    fleet.set_state(RollOutState::RolledBack, ENDED);
    fleet
        .gateway
        .apply_roll_outs(orders([], Revision::first_era(ENDED.number + 1)));
    assert_eq!(fleet.send(2).await, (4, 1));
    fleet.gateway.apply_directory(with_old_draining(&fleet));
    assert!(!has_leafs(&fleet.gateway));
}

#[tokio::test]
async fn where_no_old_leaf_lives_the_target_is_used_within_the_grant() {
    let fleet = Fleet::ordered().await;
    fleet.gateway.apply_directory(with_old_draining(&fleet));
    assert!(!has_leafs(&fleet.gateway));
    assert_eq!(fleet.ask(true).await, None);
    grant_to(&fleet.gateway, &service(), Stage::Trial, 2);
    assert_eq!(fleet.send(2).await, (0, 2));
    assert_eq!(fleet.ask(true).await, None);
}

#[tokio::test]
async fn if_the_orders_are_stale_the_target_is_the_last_resort() {
    let mut settings_with_stale_orders = settings();
    settings_with_stale_orders.bounds.configuration_limit_millis = f64::MIN_POSITIVE;
    let fleet = Fleet::with_settings(settings_with_stale_orders).await;
    fleet.set_state(RollOutState::Running, STARTED);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.send(2).await, (2, 0));
    fleet.gateway.apply_directory(with_old_draining(&fleet));
    assert_eq!(fleet.send(2).await, (2, 2));
}

#[tokio::test]
async fn leafs_of_an_unknown_version_wait_until_the_orders_are_known() {
    let fleet = Fleet::new().await;
    assert_eq!(fleet.send(3).await, (3, 0));
    fleet.gateway.apply_directory(with_old_draining(&fleet));
    assert_eq!(fleet.send(1).await, (3, 1), "it is the last resort");
    fleet.set_state(RollOutState::Ordered, STARTED);
    assert_eq!(fleet.ask(true).await, None);
}

#[tokio::test]
async fn where_roll_outs_are_not_followed_versions_are_ignored() {
    let mut unfollowed = settings();
    unfollowed.bounds.follow_roll_outs = false;
    let fleet = Fleet::with_settings(unfollowed).await;
    fleet.gateway.apply_directory(with_old_draining(&fleet));
    assert_eq!(fleet.send(2).await, (0, 2));
}
