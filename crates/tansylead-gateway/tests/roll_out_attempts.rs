//! Single attempts at leafs of a version under trial: what a grant allows when the request is handed
//! over, and what their ends show.

mod common;

use common::terms;
use common::versions::{
    BEFORE, Behaviour, FakeLeaf, ORDERED, STARTED, entry_of, grant, judge, order, request, service,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::leaf::{AttemptEnd, LeafState, run_attempt};
use tansylead_gateway::roll_out::{SendTerms, ServiceVersions};
use tansylead_gateway::{Clock, HeaderNames};
use tansylead_route::{
    ConnectionShare, Distance, Grant, HomeRegions, LeafLocation, OrderId, Revision,
    RollOutEvidence, RollOutState, Stage, Standing,
};
use tansylead_types::Moment;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

const LIMIT: Duration = Duration::from_secs(5);
/// Time after which an answer is overdue, where that matters.
const OVERDUE: Duration = Duration::from_millis(200);
const AT_ONCE: Duration = Duration::ZERO;
const GOOD: Behaviour = Behaviour::Answer(200, AT_ONCE);

/// A leaf of this version, with one connection.
fn leaf_of(
    versions: &Rc<ServiceVersions>,
    name: &str,
    fake: &FakeLeaf,
    software: &str,
    changed_at: Revision,
) -> Rc<LeafState> {
    let share = ConnectionShare {
        connections: 1,
        is_reserve: false,
    };
    let location = LeafLocation {
        distance: Distance::Zone,
        region: None,
    };
    let entry = entry_of(name, &service(), fake.address, software, changed_at);
    Rc::new(LeafState::new(entry, location, share, Rc::clone(versions)))
}

/// A service with an order, and one connection to a leaf of each version.
struct Trial {
    versions: Rc<ServiceVersions>,
    old: Rc<LeafState>,
    new: Rc<LeafState>,
}

impl Trial {
    fn new(old: &FakeLeaf, new: &FakeLeaf) -> Self {
        let versions: Rc<ServiceVersions> = Rc::default();
        let old = leaf_of(&versions, "i-old", old, "old", BEFORE);
        let new = leaf_of(&versions, "i-new", new, "new", STARTED);
        let ordered = order(&service(), RollOutState::Running, ORDERED);
        versions.apply(Clock.now(), None, BEFORE);
        versions.apply(Clock.now(), Some(&ordered), ORDERED);
        Self { versions, old, new }
    }

    fn grant(&self, grant: Grant) {
        let now = Clock.now();
        self.versions.on_grant(now, OrderId(1), judge(), grant);
    }

    fn evidence(&self) -> RollOutEvidence {
        self.versions.evidence().expect("an order").1
    }
}

async fn attempt_within(leaf: &Rc<LeafState>, terms: SendTerms) -> AttemptEnd {
    let names = Rc::new(HeaderNames::default());
    let sent = Rc::new(Cell::new(None));
    let homes = HomeRegions::default();
    let may_use =
        move |leaf: &LeafState| leaf.standing_for(&homes, Clock.now(), LIMIT) < Standing::Gone;
    run_attempt(Rc::clone(leaf), request(true), names, may_use, terms, sent).await
}

fn start(leaf: &Rc<LeafState>) -> JoinHandle<AttemptEnd> {
    let leaf = Rc::clone(leaf);
    spawn_local(async move { attempt_within(&leaf, terms(LIMIT)).await })
}

/// Waits until the leaf has so many requests.
async fn wait_for(leaf: &FakeLeaf, requests: u32) {
    while leaf.served() < requests {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn is_answered(attempt: JoinHandle<AttemptEnd>) -> bool {
    match attempt.await.expect("no panic") {
        AttemptEnd::Answered(_) => true,
        AttemptEnd::NotSent(_) => false,
        end => panic!("{end:?}"),
    }
}

/// A leaf that works until it is told to answer.
async fn working() -> FakeLeaf {
    FakeLeaf::start(Behaviour::Work).await
}

#[tokio::test]
async fn what_is_granted_is_used_once_by_attempts_that_wait_for_a_connection() {
    let (old, new) = (FakeLeaf::good().await, working().await);
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
        (grant(Stage::Back, 100), false),
        (expired, false),
    ];
    for (last, is_sent) in cases {
        let (old, new) = (FakeLeaf::good().await, working().await);
        let trial = Trial::new(&old, &new);
        trial.grant(grant(Stage::Trial, 100));
        let was_sent = is_sent_after(&trial, &trial.new, &new, last).await;
        assert_eq!(was_sent, is_sent, "{last:?}");
    }
}

#[tokio::test]
async fn nothing_is_sent_to_old_leafs_after_the_commitment() {
    for (stage, is_sent) in [(Stage::Commit, false), (Stage::Shift, true)] {
        let (old, new) = (working().await, FakeLeaf::good().await);
        let trial = Trial::new(&old, &new);
        let was_sent = is_sent_after(&trial, &trial.old, &old, grant(stage, 0)).await;
        assert_eq!(was_sent, is_sent, "{stage:?}");
    }
}

#[tokio::test]
async fn answers_are_evidence_on_their_side_and_refusals_are_not() {
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

/// Evidence on a leaf that says nothing, after its caller has left. The answer was overdue after
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
async fn the_end_of_the_last_attempt_on_old_leafs_is_told_in_the_shift() {
    let (old, new) = (working().await, FakeLeaf::good().await);
    let trial = Trial::new(&old, &new);
    let attempts = async {
        let attempt = start(&trial.old);
        wait_for(&old, 1).await;
        trial.grant(grant(Stage::Shift, 100));
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
    let old = working().await;
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
