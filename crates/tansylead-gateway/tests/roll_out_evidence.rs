//! The evidence that the ends of attempts give on the versions of their leafs.

mod common;

use common::terms;
use common::trial::{
    AT_ONCE, GOOD, LIMIT, OVERDUE, Trial, attempt_within, is_answered, leaf_of, start, wait_for,
    working_leaf,
};
use common::versions::{BEFORE, Behaviour, FakeLeaf, ORDERED, STARTED, grant, order, service};
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::Clock;
use tansylead_gateway::roll_out::{SendTerms, ServiceVersions};
use tansylead_route::{OrderId, RollOutEvidence, RollOutState, Stage};
use tansylead_types::Moment;
use tokio::task::{LocalSet, spawn_local};

#[tokio::test]
async fn answers_are_evidence_on_the_version_of_their_leaf_and_refusals_are_not() {
    let (old, new) = (FakeLeaf::good().await, FakeLeaf::good().await);
    let trial = Trial::new(&old, &new);
    trial.grant(grant(Stage::Trial, 100));
    for status in [200, 404, 500, 429] {
        new.set(Behaviour::Answer(status, AT_ONCE));
        attempt_within(&trial.new, terms(LIMIT)).await;
    }
    new.set(Behaviour::Refuse);
    attempt_within(&trial.new, terms(LIMIT)).await;
    attempt_within(&trial.old, terms(LIMIT)).await;
    let evidence = trial.evidence();
    assert_eq!((evidence.requests, evidence.new_sends), (6, 5));
    let [route] = &evidence.routes[..] else {
        panic!("{:?}", evidence.routes);
    };
    assert_eq!((route.new.good, route.new.failed), (2, 1));
    assert_eq!(route.new.latencies.total(), 2);
    assert_eq!((route.old.good, route.old.failed), (1, 0));
}

#[tokio::test]
async fn attempts_of_one_request_count_as_one_request() {
    let (old, new) = (FakeLeaf::good().await, FakeLeaf::good().await);
    let trial = Trial::new(&old, &new);
    trial.grant(grant(Stage::Trial, 100));
    let both = terms(LIMIT);
    attempt_within(&trial.new, both.clone()).await;
    attempt_within(&trial.old, both).await;
    let evidence = trial.evidence();
    assert_eq!((evidence.requests, evidence.new_sends), (1, 1));
}

/// Evidence on a leaf that does not answer, after its caller has left. The answer was overdue after
/// `overdue_delay`.
async fn evidence_of_silence(overdue_delay: Duration, end: Moment) -> RollOutEvidence {
    let old = FakeLeaf::good().await;
    let new = FakeLeaf::start(Behaviour::Silent).await;
    let trial = Trial::new(&old, &new);
    trial.grant(grant(Stage::Trial, 100));
    let terms = SendTerms {
        overdue_delay,
        end,
        ..terms(LIMIT)
    };
    let attempts = async {
        let leaf = Rc::clone(&trial.new);
        let attempt = spawn_local(async move { attempt_within(&leaf, terms).await });
        wait_for(&new, 1).await;
        assert_eq!(trial.evidence().running_on_new, 1);
        tokio::time::sleep(OVERDUE + OVERDUE / 4).await;
        attempt.abort();
        assert!(attempt.await.is_err(), "it was cut");
    };
    LocalSet::new().run_until(attempts).await;
    let evidence = trial.evidence();
    assert_eq!(evidence.running_on_new, 0);
    evidence
}

#[tokio::test]
async fn an_attempt_that_is_abandoned_before_it_is_overdue_shows_nothing() {
    let evidence = evidence_of_silence(LIMIT, Clock.now() + LIMIT).await;
    assert_eq!(evidence.new_sends, 1);
    assert!(evidence.routes.is_empty(), "{:?}", evidence.routes);
}

#[tokio::test]
async fn an_attempt_that_is_abandoned_when_overdue_shows_how_slow_it_is_at_least() {
    // The connection comes up within the delay, and the caller waits longer.
    let evidence = evidence_of_silence(OVERDUE, Clock.now() + LIMIT).await;
    let new = &evidence.routes[0].new;
    assert_eq!((new.good, new.failed), (0, 0));
    assert_eq!(new.latencies.total(), 1);
    let shortest = new.latencies.counts.iter().position(|count| *count > 0);
    assert!(shortest.is_some_and(|bucket| bucket > 10), "{shortest:?}");
}

#[tokio::test]
async fn an_attempt_without_an_answer_when_its_time_is_up_has_failed() {
    let evidence = evidence_of_silence(OVERDUE, Clock.now() + OVERDUE).await;
    let new = &evidence.routes[0].new;
    assert_eq!((new.good, new.failed), (0, 1));
    assert_eq!(new.latencies.total(), 0);
}

#[tokio::test]
async fn totals_begin_anew_with_another_order() {
    let (old, new) = (FakeLeaf::good().await, FakeLeaf::good().await);
    let trial = Trial::new(&old, &new);
    trial.grant(grant(Stage::Trial, 100));
    attempt_within(&trial.new, terms(LIMIT)).await;
    let mut another = order(&service(), RollOutState::Ordered, STARTED);
    another.order = OrderId(2);
    trial.versions.apply(Clock.now(), Some(&another), STARTED);
    assert_eq!(trial.evidence(), RollOutEvidence::default());
    trial.versions.apply(Clock.now(), None, STARTED);
    assert!(trial.versions.evidence().is_none());
}

#[tokio::test]
async fn the_end_of_the_last_attempt_on_old_leafs_is_signalled_when_requests_move() {
    for stage in [Stage::Shift, Stage::Commit] {
        the_end_is_signalled_in(stage).await;
    }
}

async fn the_end_is_signalled_in(stage: Stage) {
    let (old, new) = (working_leaf().await, FakeLeaf::good().await);
    let trial = Trial::new(&old, &new);
    let attempts = async {
        let attempt = start(&trial.old);
        wait_for(&old, 1).await;
        trial.grant(grant(stage, 100));
        trial.versions.changed().notified().await;
        assert_eq!(trial.evidence().running_on_old, 1);
        old.set(GOOD);
        trial.versions.changed().notified().await;
        assert_eq!(trial.evidence().running_on_old, 0);
        assert!(is_answered(attempt).await);
    };
    LocalSet::new().run_until(attempts).await;
}

#[tokio::test]
async fn attempts_that_were_sent_before_the_order_count_as_running() {
    let old = working_leaf().await;
    let versions: Rc<ServiceVersions> = Rc::default();
    let leaf = leaf_of(&versions, "i-old", &old, "old", BEFORE);
    versions.apply(Clock.now(), None, BEFORE);
    let attempts = async {
        let attempt = start(&leaf);
        wait_for(&old, 1).await;
        let ordered = order(&service(), RollOutState::Running, ORDERED);
        versions.apply(Clock.now(), Some(&ordered), ORDERED);
        let running = || versions.evidence().expect("an order").1.running_on_old;
        assert_eq!(running(), 1);
        old.set(GOOD);
        assert!(is_answered(attempt).await);
        assert_eq!(running(), 0);
    };
    LocalSet::new().run_until(attempts).await;
}
