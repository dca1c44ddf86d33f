//! Queries end to end through daemons in this process, with a leaf that follows a script.

mod support;

use std::time::Duration;
use support::daemon::{define_service, query, settings, start_ready, start_with};
use support::http::Reply;
use support::leaf::{ScriptedLeaf, Step};
use support::store::TestStore;
use tansylead_daemon::http::AnswerBody;
use tansylead_daemon::{Daemon, DrainResult};
use tansylead_types::{Outcome, ServicePolicy};

const IMMEDIATE_ANSWER: Step = Step::Answer(Duration::ZERO);
const QUERY: &str = r#"{"query": {"tenant": "T-1"}}"#;
const TIMEOUT: Duration = Duration::from_secs(20);

fn answer(reply: &Reply) -> AnswerBody {
    serde_json::from_str(&reply.body).unwrap_or_else(|error| panic!("{error}: {}", reply.body))
}

#[tokio::test]
async fn a_query_reaches_every_shard_of_the_snapshot() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    define_service(&store, leaf.address, 3, ServicePolicy::default());
    let daemon = start_ready(&store).await;
    let reply = query(&daemon, &["tansylead-request-id: mine"], QUERY).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let answer = answer(&reply);
    assert_eq!(answer.request.as_str(), "mine");
    assert_eq!(answer.outcome, Outcome::Complete);
    assert_eq!(answer.snapshot.expect("pinned").0, 7);
    assert_eq!((answer.coverage.total, answer.coverage.answered), (3, 3));
    assert_eq!(answer.results[2].result.get(), "\"found\"");
    let requests = leaf.requests.lock();
    assert!(
        requests
            .iter()
            .all(|request| request.body == r#"{"tenant": "T-1"}"#)
    );
}

#[tokio::test]
async fn a_silent_shard_is_named_and_the_status_differs() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, request| match request.shard.as_str() {
        "shard-1" => Step::Silence,
        _ => IMMEDIATE_ANSWER,
    })
    .await;
    define_service(&store, leaf.address, 3, ServicePolicy::default());
    let daemon = start_ready(&store).await;
    let reply = query(&daemon, &["tansylead-deadline-ms: 150"], QUERY).await;
    assert_eq!(reply.status, 207, "{}", reply.body);
    let answer = answer(&reply);
    assert_eq!(answer.outcome, Outcome::Partial);
    assert_eq!(answer.coverage.missing[0].shard.as_str(), "shard-1");
    assert_eq!(answer.coverage.missing.len(), 1);
}

#[tokio::test]
async fn a_post_is_sent_once_and_unknown_if_its_answer_is_lost() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Close).await;
    let policy = ServicePolicy {
        repeatable: false,
        ..ServicePolicy::default()
    };
    define_service(&store, leaf.address, 1, policy);
    let daemon = start_ready(&store).await;
    let mut reply = query(&daemon, &[], QUERY).await;
    // Until there are claim members the request is refused, and not sent.
    while answer(&reply).outcome == Outcome::NotRun {
        assert_eq!(leaf.request_count(), 0);
        tokio::time::sleep(Duration::from_millis(100)).await;
        reply = query(&daemon, &[], QUERY).await;
    }
    assert_eq!(reply.status, 504, "{}", reply.body);
    assert_eq!(answer(&reply).outcome, Outcome::Unknown);
    assert_eq!(leaf.request_count(), 1);
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_query() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Silence).await;
    define_service(&store, leaf.address, 1, ServicePolicy::default());
    let daemon = start_ready(&store).await;
    let metrics = || daemon.state().metrics();
    let calling = query(&daemon, &["tansylead-deadline-ms: 30000"], QUERY);
    let impatient = tokio::time::timeout(Duration::from_millis(100), calling).await;
    assert!(impatient.is_err());
    let gone = async {
        while metrics().callers_gone.get() == 0 || daemon.state().queries_in_progress() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, gone)
        .await
        .expect("cancelled");
}

/// Three daemons of one place; the last is not a root.
async fn start_three(store: &TestStore) -> (Vec<Daemon>, Daemon) {
    let first = start_with(settings(store)).await;
    let mut others = Vec::new();
    for zone in ["bangkok-b", "bangkok-c"] {
        let mut settings = settings(store);
        settings.zone = zone.parse().expect("name");
        settings.seeds = vec![first.peer_address()];
        others.push(start_with(settings).await);
    }
    let mut all = vec![first];
    all.append(&mut others);
    let mut frontend = None;
    for daemon in &all {
        wait_for_roots(daemon).await;
    }
    for (position, daemon) in all.iter().enumerate() {
        if own_root(daemon).await.is_none() {
            frontend = Some(position);
        }
    }
    let frontend = all.remove(frontend.expect("two roots of three"));
    (all, frontend)
}

async fn own_root(daemon: &Daemon) -> Option<tansylead_daemon::root::RootStatus> {
    let status = daemon.state().status().await;
    let place = status
        .services
        .values()
        .next()?
        .places
        .values()
        .next()?
        .clone();
    place.root
}

/// Waits until a daemon sees three members and its own root, if any, has its share.
async fn wait_for_roots(daemon: &Daemon) {
    let converged = async {
        loop {
            let status = daemon.state().status().await;
            let root = own_root(daemon).await;
            let is_usable = root.is_none_or(|root| root.share_in_force && root.usable_rate > 0.0);
            if status.members == 3 && is_usable {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, converged)
        .await
        .expect("converged");
}

#[tokio::test]
async fn a_frontend_forwards_whole_queries_to_roots() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    define_service(&store, leaf.address, 3, ServicePolicy::default());
    let (roots, frontend) = start_three(&store).await;
    for _ in 0..20 {
        let reply = query(&frontend, &["tansylead-deadline-ms: 5000"], QUERY).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    let forwards = &frontend.state().metrics().forwards;
    let answered = forwards.with_label_values(&["screening", "answered"]).get();
    assert_eq!(answered, 20);
    assert_eq!(roots.len(), 2);
}

#[tokio::test]
async fn a_planned_stop_of_a_root_loses_no_query() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Answer(Duration::from_millis(5))).await;
    define_service(&store, leaf.address, 2, ServicePolicy::default());
    let (mut roots, frontend) = start_three(&store).await;
    let leaving = roots.remove(0);
    let stopping = tokio::spawn(leaving.drain(std::future::pending()));
    for number in 0..100 {
        let reply = query(&frontend, &["tansylead-deadline-ms: 5000"], QUERY).await;
        assert_eq!(reply.status, 200, "query {number}: {}", reply.body);
    }
    let stopped = tokio::time::timeout(TIMEOUT, stopping).await.expect("ends");
    assert_eq!(stopped.expect("no panic"), DrainResult::Clean);
}

#[tokio::test]
async fn a_daemon_that_starts_while_the_store_is_down_learns_from_peers() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    define_service(&store, leaf.address, 1, ServicePolicy::default());
    let first = start_ready(&store).await;
    let mut settings = settings(&store);
    settings.seeds = vec![first.peer_address()];
    drop(store);
    let second = tokio::time::timeout(TIMEOUT, start_with(settings))
        .await
        .expect("ready");
    let (of_first, of_second) = (first.state().status().await, second.state().status().await);
    assert_eq!(of_first.revision, of_second.revision);
    assert_eq!(of_first.services.len(), of_second.services.len());
}
