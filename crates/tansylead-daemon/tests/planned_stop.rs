//! A planned stop interrupts no request: each one that a caller writes is answered completely.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use support::daemon::{SERVICE, define_service, settings, start_ready, start_with};
use support::http::read_message;
use support::leaf::{ScriptedLeaf, Step};
use support::store::TestStore;
use tansylead_daemon::DrainResult;
use tansylead_types::ServicePolicy;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const CALLERS: usize = 8;
const BODY: &str = r#"{"query": 1}"#;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Results of one caller.
#[derive(Debug, Default)]
struct CallerResults {
    answered: usize,
    problems: Vec<String>,
}

/// Sends queries over connections that it keeps until the daemon closes them, until a query is
/// refused with a retry time or connecting is refused.
async fn call_until_refused(address: SocketAddr) -> CallerResults {
    let mut results = CallerResults::default();
    while let Ok(mut stream) = TcpStream::connect(address).await {
        loop {
            let length = BODY.len();
            let path = format!("/v1/services/{SERVICE}/query");
            let head = format!("POST {path} HTTP/1.1\r\nhost: t\r\ncontent-length: {length}");
            let text = format!("{head}\r\n\r\n{BODY}");
            if let Err(error) = stream.write_all(text.as_bytes()).await {
                results.problems.push(error.to_string());
                break;
            }
            let Some((head, _)) = read_message(&mut stream).await else {
                results.problems.push("closed without an answer".to_owned());
                break;
            };
            if head.starts_with("HTTP/1.1 503") && head.contains("retry-after") {
                return results;
            }
            if !head.starts_with("HTTP/1.1 200") {
                results.problems.push(head.clone());
            }
            results.answered += 1;
            if head.to_ascii_lowercase().contains("connection: close") {
                break;
            }
        }
    }
    results
}

#[tokio::test]
async fn a_planned_stop_under_load_answers_every_request() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Answer(Duration::from_millis(10))).await;
    define_service(&store, leaf.address, 2, ServicePolicy::default());
    let daemon = start_ready(&store).await;
    let address = daemon.caller_address();
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(call_until_refused(address));
    }
    while leaf.request_count() < 20 * CALLERS {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let stopping = daemon.drain(std::future::pending());
    let result = tokio::time::timeout(TIMEOUT, stopping).await;
    assert_eq!(result, Ok(DrainResult::Clean));
    for results in callers.join_all().await {
        assert!(results.problems.is_empty(), "{results:?}");
        assert!(results.answered > 0);
    }
}

#[tokio::test]
async fn a_second_request_to_stop_ends_it_and_says_what_was_open() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Silence).await;
    define_service(&store, leaf.address, 1, ServicePolicy::default());
    let daemon = start_ready(&store).await;
    let address = daemon.caller_address();
    let calling = tokio::spawn(call_until_refused(address));
    while leaf.request_count() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let result = daemon.drain(async {}).await;
    assert_eq!(result, DrainResult::Cut { open_queries: 1 });
    assert_eq!(calling.await.expect("no panic").problems.len(), 1);
}

#[tokio::test]
async fn the_drain_limit_ends_a_planned_stop_and_says_what_was_open() {
    let store = TestStore::start().await;
    let leaf = ScriptedLeaf::start(|_, _| Step::Silence).await;
    define_service(&store, leaf.address, 1, ServicePolicy::default());
    let mut settings = settings(&store);
    settings.timing.drain_limit_millis = 100;
    let daemon = start_with(settings).await;
    let calling = tokio::spawn(call_until_refused(daemon.caller_address()));
    while leaf.request_count() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let stopping = daemon.drain(std::future::pending());
    let result = tokio::time::timeout(TIMEOUT, stopping).await;
    assert_eq!(result, Ok(DrainResult::Cut { open_queries: 1 }));
    assert_eq!(calling.await.expect("no panic").problems.len(), 1);
}
