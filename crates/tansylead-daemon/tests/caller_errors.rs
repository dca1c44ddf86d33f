//! Each refused request has its own clear error, and nothing reaches a leaf.

mod support;

use std::time::Duration;
use support::daemon::{SERVICE, define_service, query, settings, start_ready, tuning};
use support::http::exchange;
use support::leaf::{ScriptedLeaf, Step};
use support::store::TestStore;
use tansylead_daemon::Daemon;
use tansylead_daemon::clock::Clock;
use tansylead_types::ServicePolicy;

const MAXIMUM_BODY_BYTES: usize = 64;

fn policy() -> ServicePolicy {
    ServicePolicy {
        maximum_body_bytes: MAXIMUM_BODY_BYTES,
        maximum_deadline_millis: 2_000,
        ..ServicePolicy::default()
    }
}

#[tokio::test]
async fn each_bad_request_has_its_own_error() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Close).await;
    define_service(&store, leaf.address, 2, policy());
    let daemon = start_ready(&store).await;
    let good_body = r#"{"query": 1}"#;
    let far_expiry = format!("tansylead-expires: {}", Clock.wall().0 + 3_600_000);
    let long_body = format!(r#"{{"query": "{}"}}"#, "x".repeat(MAXIMUM_BODY_BYTES));
    let cases: [(&[&str], &str); 12] = [
        (&[], "{"),
        (&[], r#"{"query": 1, "extra": 2}"#),
        (&[], r#"{"routing_key": "a"}"#),
        (&[], &long_body),
        (&["tansylead-deadline-ms: 0"], good_body),
        (&["tansylead-deadline-ms: 2001"], good_body),
        (&["tansylead-deadline-ms: soon"], good_body),
        (
            &["tansylead-deadline-ms: 5", "tansylead-deadline-ms: 6"],
            good_body,
        ),
        (&["tansylead-request-id: a b"], good_body),
        (&["idempotency-key: k"], good_body),
        (
            &["idempotency-key: k", "tansylead-expires: 1000"],
            good_body,
        ),
        (&["idempotency-key: k", &far_expiry], good_body),
    ];
    let mut lines = Vec::new();
    for (headers, body) in cases {
        let reply = query(&daemon, headers, body).await;
        lines.push(format!("{} {}", reply.status, reply.body));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(leaf.request_count(), 0);
}

#[tokio::test]
async fn unknown_paths_services_and_methods() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Close).await;
    define_service(&store, leaf.address, 2, policy());
    let daemon = start_ready(&store).await;
    let address = daemon.caller_address();
    let mut lines = Vec::new();
    for (method, path) in [
        ("POST", "/v1/services/nothing/query"),
        ("POST", "/v1/services/a%20b/query"),
        ("POST", "/v1/services//query"),
        ("GET", "/v1/services/screening/query"),
        ("POST", "/readyz"),
        ("GET", "/v2"),
    ] {
        let reply = exchange(address, method, path, &[], "{}").await;
        lines.push(format!("{} {}", reply.status, reply.body));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn a_daemon_without_configuration_is_not_ready_and_says_so() {
    let store = TestStore::start().await;
    let settings = settings(&store);
    drop(store);
    let daemon = Daemon::start(settings, tuning()).await.expect("start");
    let address = daemon.caller_address();
    let healthy = exchange(address, "GET", "/healthz", &[], "").await;
    assert_eq!(healthy.status, 200);
    let ready = exchange(address, "GET", "/readyz", &[], "").await;
    assert_eq!(ready.status, 503);
    assert!(ready.body.contains("no configuration"), "{}", ready.body);
    let refused = query(&daemon, &[], r#"{"query": 1}"#).await;
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: 1"), "{}", refused.head);
    assert!(
        refused.body.contains(r#""outcome":"not_run""#),
        "{}",
        refused.body
    );
}

#[tokio::test]
async fn metrics_and_status_are_served() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Close).await;
    define_service(&store, leaf.address, 2, policy());
    let daemon = start_ready(&store).await;
    let address = daemon.caller_address();
    query(&daemon, &[], "{").await;
    let metrics = exchange(address, "GET", "/metrics", &[], "").await;
    let counted = r#"tansylead_request_errors_total{code="malformed_body"} 1"#;
    assert!(metrics.body.contains(counted), "{}", metrics.body);
    let status = exchange(address, "GET", "/v1/status", &[], "").await;
    let parsed: tansylead_daemon::status::DaemonStatus =
        serde_json::from_str(&status.body).expect("status");
    let service = &parsed.services[&SERVICE.parse().expect("name")];
    let place = service.places.values().next().expect("place");
    assert_eq!(place.root.as_ref().expect("root").leafs, 1);
}

#[tokio::test]
async fn a_planned_stop_without_load_ends_clean() {
    let store = TestStore::start().await;
    let daemon = Daemon::start(settings(&store), tuning())
        .await
        .expect("start");
    let stopping = daemon.drain(std::future::pending());
    let result = tokio::time::timeout(Duration::from_secs(10), stopping).await;
    assert_eq!(result, Ok(tansylead_daemon::DrainResult::Clean));
}
