//! A non-repeatable request runs at most once for its key, whichever daemons it is sent to.

mod support;

use std::time::Duration;
use support::daemon::{define_service, query, settings, start_with};
use support::http::Reply;
use support::leaf::{ScriptedLeaf, Step};
use support::store::TestStore;
use tansylead_daemon::Daemon;
use tansylead_daemon::clock::Clock;
use tansylead_daemon::http::AnswerBody;
use tansylead_types::{
    ClaimView, ClaimViewMember, ConfigObject, InstanceId, NodeId, ObjectKey, Outcome, ServicePolicy,
};

const IMMEDIATE_ANSWER: Step = Step::Answer(Duration::ZERO);
const POST: &str = r#"{"query": {"amount": 12}, "routing_key": "77"}"#;
const TIMEOUT: Duration = Duration::from_secs(30);
const DEADLINE: &str = "tansylead-deadline-ms: 5000";

fn answer(reply: &Reply) -> AnswerBody {
    serde_json::from_str(&reply.body).unwrap_or_else(|error| panic!("{error}: {}", reply.body))
}

fn expires() -> String {
    format!("tansylead-expires: {}", Clock.wall().0 + 60_000)
}

async fn post(daemon: &Daemon, key: &str, expires: &str) -> Reply {
    let key = format!("idempotency-key: {key}");
    query(daemon, &[DEADLINE, &key, expires], POST).await
}

/// Three daemons in three zones whose claim view is in force.
async fn start_three(store: &TestStore) -> Vec<Daemon> {
    let first = start_with(settings(store)).await;
    let mut all = vec![first];
    for zone in ["bangkok-b", "bangkok-c"] {
        let mut settings = settings(store);
        settings.zone = zone.parse().expect("name");
        settings.seeds = vec![all[0].peer_address()];
        all.push(start_with(settings).await);
    }
    let converged = async {
        let mut probe = 0;
        for daemon in &all {
            loop {
                probe += 1;
                let reply = post(daemon, &format!("probe-{probe}"), &expires()).await;
                if reply.status == 200 && daemon.state().status().await.claim_view_members == 3 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, converged)
        .await
        .expect("converged");
    all
}

#[tokio::test]
async fn a_key_runs_once_and_repetitions_get_its_answer() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    define_service(&store, leaf.address, 2, ServicePolicy::default());
    let daemons = start_three(&store).await;
    let sent_before = leaf.request_count();
    let expires = expires();
    for daemon in daemons.iter().chain(&daemons) {
        let reply = post(daemon, "payment-1", &expires).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(answer(&reply).coverage.answered, 1);
    }
    assert_eq!(leaf.request_count(), sent_before + 1);
}

#[tokio::test]
async fn the_same_key_sent_to_all_daemons_at_once_runs_once() {
    let store = TestStore::start().await;
    let slow = Step::Answer(Duration::from_millis(30));
    let leaf = ScriptedLeaf::start(move |_, _| slow.clone()).await;
    define_service(&store, leaf.address, 2, ServicePolicy::default());
    let daemons = start_three(&store).await;
    for round in 0..10 {
        let sent_before = leaf.request_count();
        let (key, expires) = (format!("race-{round}"), expires());
        let racing = daemons.iter().map(|daemon| post(daemon, &key, &expires));
        let replies = futures_util::future::join_all(racing).await;
        let sent = leaf.request_count() - sent_before;
        assert!(sent <= 1, "sent {sent} times");
        for reply in &replies {
            let outcome = answer(reply).outcome;
            let is_truthful = sent == 1 || outcome == Outcome::NotRun;
            assert!(is_truthful, "{} without a run", reply.body);
            let is_denied = outcome == Outcome::NotRun && sent == 1;
            assert!(!is_denied, "not_run though it ran: {}", reply.body);
        }
    }
}

#[tokio::test]
async fn a_lost_answer_stays_unknown_and_is_not_sent_again() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, request| match &request.idempotency_key {
        Some(key) if key.as_str() == "lost" => Step::Close,
        _ => IMMEDIATE_ANSWER,
    })
    .await;
    define_service(&store, leaf.address, 2, ServicePolicy::default());
    let daemons = start_three(&store).await;
    let expires = expires();
    let sent_before = leaf.request_count();
    for daemon in daemons.iter().chain(&daemons) {
        let reply = post(daemon, "lost", &expires).await;
        assert_eq!(reply.status, 504, "{}", reply.body);
        assert_eq!(answer(&reply).outcome, Outcome::Unknown);
    }
    assert_eq!(leaf.request_count(), sent_before + 1);
}

#[tokio::test]
async fn without_a_majority_it_is_not_run_at_once() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    define_service(&store, leaf.address, 2, ServicePolicy::default());
    let mut daemons = start_three(&store).await;
    let last = daemons.pop().expect("three");
    drop(daemons);
    let sent_before = leaf.request_count();
    let reply = post(&last, "payment-2", &expires()).await;
    assert_ne!(reply.status, 200, "{}", reply.body);
    let answer = answer(&reply);
    assert_eq!(answer.outcome, Outcome::NotRun, "{}", reply.body);
    assert!(answer.retry_after_ms.is_some());
    assert_eq!(leaf.request_count(), sent_before);
}

/// A claim view of daemons that do not run.
fn view_of_absent_members() -> ClaimView {
    let members = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
    let member = |address: &str| ClaimViewMember {
        instance: InstanceId {
            node: NodeId(address.parse().expect("an address")),
            boot: 1,
        },
        place: "bangkok".parse().expect("name"),
        zone: "bangkok-a".parse().expect("name"),
    };
    ClaimView {
        epoch: 1,
        members: members.into_iter().map(member).collect(),
        earlier: Vec::new(),
    }
}

#[tokio::test]
async fn a_post_refused_for_lack_of_claims_leaves_lookups_alone() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    define_service(&store, leaf.address, 2, ServicePolicy::default());
    let view = ConfigObject::ClaimView(view_of_absent_members());
    store.set(ObjectKey::ClaimView, view);
    let daemon = start_with(settings(&store)).await;
    for number in 0..10 {
        let refused = post(&daemon, &format!("payment-{number}"), &expires()).await;
        assert_eq!(
            answer(&refused).outcome,
            Outcome::NotRun,
            "{}",
            refused.body
        );
        let lookup = query(&daemon, &[DEADLINE], POST).await;
        assert_eq!(lookup.status, 200, "{}", lookup.body);
    }
}
