//! Results of the leaf adapter: which attempts count as not sent, and which connections are reused.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::leaf::{ScriptedLeaf, Step};
use tansylead_cluster::claims::ClaimSettings;
use tansylead_daemon::clock::Clock;
use tansylead_daemon::leaf::attempt::{AttemptEnd, LeafTarget, QueryContext, run_attempt};
use tansylead_http::HttpConnection;
use tansylead_query::{AttemptResult, SendAttempt};
use tansylead_types::leaf::RefusalReason;
use tansylead_types::{AttemptId, QueryId, QueryRequest, Repeatability, SnapshotVersion, WallTime};
use tokio::sync::Semaphore;

const TIMEOUT: Duration = Duration::from_secs(10);
const IMMEDIATE_ANSWER: Step = Step::Answer(Duration::ZERO);

fn context(repeatability: Repeatability) -> Arc<QueryContext> {
    let request = QueryRequest {
        request: "r".parse().expect("name"),
        service: "s".parse().expect("name"),
        body: "{}".to_owned(),
        routing_key: None,
        time_left: TIMEOUT,
        repeatability,
    };
    Arc::new(QueryContext {
        request,
        root: "root/1".to_owned(),
    })
}

fn attempt(number: u32, time: Duration) -> SendAttempt {
    SendAttempt {
        query: QueryId(1),
        attempt: AttemptId(number),
        leaf: "leaf".parse().expect("name"),
        shard: "shard".parse().expect("name"),
        snapshot: SnapshotVersion(1),
        deadline: Clock.now() + time,
    }
}

fn target(address: SocketAddr, connections: usize) -> LeafTarget {
    LeafTarget {
        address,
        permits: Arc::new(Semaphore::new(connections)),
        connect_limit: TIMEOUT,
        maximum_answer_bytes: 1_000,
        clock: Clock,
        claim_settings: Arc::new(ClaimSettings::default()),
    }
}

async fn run(number: u32, idle: Option<HttpConnection>, target: &LeafTarget) -> AttemptEnd {
    let context = context(Repeatability::Repeatable);
    run_attempt(context, attempt(number, TIMEOUT), idle, target.clone()).await
}

async fn run_against(step: Step) -> (AttemptEnd, ScriptedLeaf) {
    let leaf = ScriptedLeaf::start(move |_, _| step.clone()).await;
    let end = run(1, None, &target(leaf.address, 4)).await;
    (end, leaf)
}

#[tokio::test]
async fn connection_refused_is_not_sent() {
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    let address = leaf.address;
    drop(leaf);
    tokio::task::yield_now().await;
    let end = run(1, None, &target(address, 4)).await;
    assert_eq!(end.result, AttemptResult::NotSent);
}

#[tokio::test]
async fn proper_answer_keeps_the_connection() {
    let (end, leaf) = run_against(IMMEDIATE_ANSWER).await;
    assert!(matches!(end.result, AttemptResult::Answered(_)));
    let end = run(2, end.connection, &target(leaf.address, 4)).await;
    assert!(matches!(end.result, AttemptResult::Answered(_)));
    assert_eq!(leaf.connection_count(), 1);
}

#[tokio::test]
async fn connection_closed_while_idle_is_replaced_and_the_request_sent_once() {
    let leaf = ScriptedLeaf::start(|number, _| match number {
        0 => Step::AnswerAndClose,
        _ => IMMEDIATE_ANSWER,
    })
    .await;
    let target = target(leaf.address, 4);
    let first = run(1, None, &target).await;
    let connection = first.connection.expect("read whole");
    while !connection.is_closed() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let second = run(2, Some(connection), &target).await;
    assert!(matches!(second.result, AttemptResult::Answered(_)));
    assert_eq!(leaf.request_count(), 2);
    assert_eq!(leaf.connection_count(), 2);
}

#[tokio::test]
async fn closed_after_the_request_is_failed() {
    let (end, leaf) = run_against(Step::Close).await;
    assert_eq!(end.result, AttemptResult::Failed);
    assert!(end.connection.is_none());
    assert_eq!(leaf.request_count(), 1);
}

#[tokio::test]
async fn half_an_answer_is_failed() {
    let (end, _leaf) = run_against(Step::HalfAnswer).await;
    assert_eq!(end.result, AttemptResult::Failed);
    assert!(end.connection.is_none());
}

#[tokio::test]
async fn an_answer_beyond_the_size_limit_is_failed() {
    let (end, _leaf) = run_against(Step::AnswerWith(format!("\"{}\"", "x".repeat(2_000)))).await;
    assert_eq!(end.result, AttemptResult::Failed);
    assert!(end.connection.is_none());
}

#[tokio::test]
async fn a_result_that_is_not_json_is_failed() {
    let (end, _leaf) = run_against(Step::AnswerWith("{".to_owned())).await;
    assert_eq!(end.result, AttemptResult::Failed);
}

#[tokio::test]
async fn an_answer_to_another_root_is_failed_and_its_connection_closed() {
    let (end, _leaf) = run_against(Step::AnswerOtherRoot).await;
    assert_eq!(end.result, AttemptResult::Failed);
    assert!(end.connection.is_none());
}

#[tokio::test]
async fn a_proper_refusal_is_a_refusal() {
    let (end, _leaf) = run_against(Step::Refuse(RefusalReason::Draining)).await;
    assert!(matches!(end.result, AttemptResult::Refused(_)));
    assert!(end.connection.is_some());
}

#[tokio::test]
async fn a_refusal_of_another_attempt_is_failed() {
    let (end, _leaf) = run_against(Step::RefuseOtherAttempt).await;
    assert_eq!(end.result, AttemptResult::Failed);
}

#[tokio::test]
async fn a_refusal_without_the_leafs_statement_is_failed() {
    let (end, _leaf) = run_against(Step::Raw(503, "busy".to_owned())).await;
    assert_eq!(end.result, AttemptResult::Failed);
}

#[tokio::test]
async fn silence_until_the_deadline_is_failed() {
    let leaf = ScriptedLeaf::start(|_, _| Step::Silence).await;
    let context = context(Repeatability::Repeatable);
    let attempt = attempt(1, Duration::from_millis(50));
    let end = run_attempt(context, attempt, None, target(leaf.address, 4)).await;
    assert_eq!(end.result, AttemptResult::Failed);
    assert!(end.connection.is_none());
}

#[tokio::test]
async fn nothing_is_sent_after_the_deadline() {
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    let idle = run(1, None, &target(leaf.address, 4)).await.connection;
    let context = context(Repeatability::Repeatable);
    let late = attempt(2, Duration::ZERO);
    let end = run_attempt(context, late, idle, target(leaf.address, 4)).await;
    assert_eq!(end.result, AttemptResult::Expired);
    assert_eq!(leaf.request_count(), 1);
}

#[tokio::test]
async fn nothing_is_sent_after_the_expiry() {
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    let expired = Repeatability::NonRepeatable {
        key: "k".parse().expect("name"),
        expires: WallTime(Clock.wall().0 - 1),
    };
    let attempt = attempt(1, TIMEOUT);
    let end = run_attempt(context(expired), attempt, None, target(leaf.address, 4)).await;
    assert_eq!(end.result, AttemptResult::Expired);
    assert_eq!(leaf.request_count(), 0);
}

#[tokio::test]
async fn no_connection_beyond_the_bound() {
    let leaf = ScriptedLeaf::start(|_, _| IMMEDIATE_ANSWER).await;
    let target = target(leaf.address, 1);
    let held = run(1, None, &target).await;
    let refused = run(2, None, &target).await;
    assert_eq!(refused.result, AttemptResult::NotSent);
    assert_eq!(leaf.request_count(), 1);
    drop(held);
    while target.permits.available_permits() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let end = run(3, None, &target).await;
    assert!(matches!(end.result, AttemptResult::Answered(_)));
}

#[tokio::test]
async fn a_cancelled_attempts_answer_reaches_nobody() {
    let leaf = ScriptedLeaf::start(|number, _| match number {
        1 => Step::Answer(Duration::from_millis(30)),
        _ => IMMEDIATE_ANSWER,
    })
    .await;
    let target = target(leaf.address, 1);
    let idle = run(1, None, &target).await.connection;
    let slow = tokio::spawn({
        let target = target.clone();
        async move { run(2, idle, &target).await }
    });
    while leaf.request_count() < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    slow.abort();
    assert!(slow.await.expect_err("cancelled").is_cancelled());
    while target.permits.available_permits() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let next = run(3, None, &target).await;
    let AttemptResult::Answered(answer) = next.result else {
        panic!("not answered: {:?}", next.result);
    };
    assert_eq!(answer.attempt, AttemptId(3));
    assert_eq!(leaf.connection_count(), 2);
}
