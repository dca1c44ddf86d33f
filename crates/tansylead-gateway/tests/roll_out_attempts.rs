//! What a grant allows when a request is handed over to a leaf of a version under trial.

mod common;

use common::trial::{AT_ONCE, GOOD, Trial, is_answered, start, wait_for, working_leaf};
use common::versions::{FakeLeaf, grant};
use std::rc::Rc;
use tansylead_gateway::Clock;
use tansylead_gateway::leaf::LeafState;
use tansylead_route::{Grant, Stage};
use tokio::task::LocalSet;

#[tokio::test]
async fn what_is_granted_is_used_once_by_attempts_that_wait_for_a_connection() {
    let (old, new) = (FakeLeaf::good().await, working_leaf().await);
    let trial = Trial::new(&old, &new);
    trial.grant(grant(Stage::Trial, 2));
    let attempts = async {
        let attempts = [(); 4].map(|()| start(&trial.new));
        wait_for(&new, 1).await;
        new.set(GOOD);
        let mut answered = 0;
        for attempt in attempts {
            answered += u32::from(is_answered(attempt).await);
        }
        assert_eq!((answered, new.served()), (2, 2));
    };
    LocalSet::new().run_until(attempts).await;
    assert_eq!(trial.evidence().new_sends, 2);
}

/// Whether an attempt at `leaf` that waits while another one is at work there is sent after all.
async fn is_sent_after(trial: &Trial, leaf: &Rc<LeafState>, fake: &FakeLeaf, what: Grant) -> bool {
    let attempts = async {
        let first = start(leaf);
        wait_for(fake, 1).await;
        let waiting = start(leaf);
        tokio::task::yield_now().await;
        trial.grant(what);
        fake.set(GOOD);
        assert!(is_answered(first).await, "what runs goes on");
        is_answered(waiting).await
    };
    LocalSet::new().run_until(attempts).await
}

#[tokio::test]
async fn a_send_that_waits_for_a_connection_follows_the_last_grant() {
    let expired = Grant {
        valid: AT_ONCE,
        ..grant(Stage::Trial, 100)
    };
    let cases = [
        (grant(Stage::Trial, 2), true),
        (grant(Stage::Commit, 0), true),
        (grant(Stage::Trial, 1), false),
        (grant(Stage::RollBack, 100), false),
        (expired, false),
    ];
    for (last, is_sent) in cases {
        let (old, new) = (FakeLeaf::good().await, working_leaf().await);
        let trial = Trial::new(&old, &new);
        trial.grant(grant(Stage::Trial, 100));
        let was_sent = is_sent_after(&trial, &trial.new, &new, last).await;
        assert_eq!(was_sent, is_sent, "{last:?}");
    }
}

#[tokio::test]
async fn nothing_is_sent_to_old_leafs_after_the_commitment() {
    for (stage, is_sent) in [(Stage::Commit, false), (Stage::Shift, true)] {
        let (old, new) = (working_leaf().await, FakeLeaf::good().await);
        let trial = Trial::new(&old, &new);
        let was_sent = is_sent_after(&trial, &trial.old, &old, grant(stage, 0)).await;
        assert_eq!(was_sent, is_sent, "{stage:?}");
    }
}

#[tokio::test]
async fn attempts_that_wait_hold_back_others_until_they_end() {
    let (old, new) = (FakeLeaf::good().await, working_leaf().await);
    let trial = Trial::new(&old, &new);
    trial.grant(grant(Stage::Trial, 2));
    let preferred = || trial.versions.preferred_stage(Clock.now(), true);
    let attempts = async {
        let running = start(&trial.new);
        wait_for(&new, 1).await;
        assert_eq!(preferred(), Some(Stage::Trial));
        let waiting = start(&trial.new);
        tokio::task::yield_now().await;
        assert_eq!(preferred(), None);
        waiting.abort();
        assert!(waiting.await.is_err(), "its caller has left");
        assert_eq!(preferred(), Some(Stage::Trial));
        new.set(GOOD);
        assert!(is_answered(running).await);
    };
    LocalSet::new().run_until(attempts).await;
    assert_eq!(trial.evidence().new_sends, 1);
}
