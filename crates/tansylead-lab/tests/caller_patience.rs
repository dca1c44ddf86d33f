//! When a caller takes a reply for missing: by the daemon's progress, not by a clock.

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_lab::caller::{CallerClient, CallerRequest, ExchangeFailure};
use tansylead_types::{RequestId, ServiceName};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// A refusal, as daemons write it.
const REPLY: &str = r#"{"error":{"code":"busy","message":"busy"},"outcome":"not_run"}"#;

/// What a stand-in for a daemon does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// It answers everything but the query.
    LosesQuery,
    /// It has had no processor: it answers the query as soon as anything else arrives, and that
    /// other request never.
    StandsStill,
}

async fn start(behaviour: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    let moves_on = Arc::new(Notify::new());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let moves_on = Arc::clone(&moves_on);
            let service = service_fn(move |request| {
                let moves_on = Arc::clone(&moves_on);
                async move { Ok::<_, Infallible>(answer(behaviour, &moves_on, request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

async fn answer(
    behaviour: Behaviour,
    moves_on: &Notify,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let is_query = request.uri().path().starts_with("/v1/services/");
    match (behaviour, is_query) {
        (Behaviour::LosesQuery, true) => std::future::pending().await,
        (Behaviour::StandsStill, true) => moves_on.notified().await,
        (Behaviour::LosesQuery, false) => {}
        (Behaviour::StandsStill, false) => {
            moves_on.notify_one();
            std::future::pending().await
        }
    }
    let mut response = Response::new(Full::from(REPLY));
    *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn request() -> CallerRequest {
    CallerRequest {
        request: RequestId::new("query").expect("valid id"),
        service: ServiceName::new("lookup").expect("valid name"),
        query: "{}".to_owned(),
        routing_key: None,
        deadline: Duration::from_millis(50),
        key: None,
    }
}

#[tokio::test]
async fn a_reply_that_its_daemon_owes_while_it_answers_others_is_missing() {
    let daemon = start(Behaviour::LosesQuery).await;
    let client = CallerClient::new(Duration::ZERO);
    let result = client.send(daemon, &request()).await;
    assert!(
        matches!(result, Err(ExchangeFailure::NoReply(_))),
        "{result:?}"
    );
}

#[tokio::test]
async fn a_reply_of_a_daemon_that_stood_still_is_waited_for() {
    // Regression: beside busy processes daemons waited up to 6.8 s for a processor, and 119 replies that
    // came later than a second after the deadline were taken for missing.
    let daemon = start(Behaviour::StandsStill).await;
    let client = CallerClient::new(Duration::ZERO);
    let reply = client.send(daemon, &request()).await;
    assert_eq!(reply.expect("a reply").status, 503);
}
