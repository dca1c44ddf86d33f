//! Sends the planned queries over HTTP/1.1 keep-alive connections and records their answers.
//!
//! Each query is its own task that wakes at its planned arrival, so no query waits for another.
//! Callers use the daemons of their place in turn. A caller whose connection is refused (nothing
//! was sent) tries the next daemon of its place, as any caller with two addresses does.

use crate::load::check::judge;
use crate::load::recorder::{QueryResult, Recorder, Sample};
use crate::load::schedule::{Arrival, Stream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{PlaceName, RequestId};
use tokio::time::Instant;

/// Header that carries the caller's request id.
const REQUEST_ID_HEADER: &str = "tansylead-request-id";
/// Header that carries the caller's deadline in milliseconds.
const DEADLINE_HEADER: &str = "tansylead-deadline-ms";
/// Idle keep-alive connections kept to each daemon.
const IDLE_CONNECTIONS_PER_DAEMON: usize = 64;
/// How long a caller waits beyond its deadline before it counts the query as lost.
const PATIENCE_BEYOND_DEADLINE: Duration = Duration::from_secs(5);
/// Idle connections are closed by the caller before the daemon may close them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What to send where.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Callers.
    pub streams: Vec<Stream>,
    /// Planned queries, sorted by time.
    pub arrivals: Vec<Arrival>,
    /// Callers' addresses of the daemons of each place.
    pub daemons: BTreeMap<PlaceName, Vec<SocketAddr>>,
    /// Deadline of the queries of each stream.
    pub deadlines: Vec<Duration>,
    /// Queries planned before this are left out of the totals.
    pub warm_up: Duration,
    /// Tells the request ids of one run from those of another.
    pub run_name: String,
}

/// One caller's HTTP client, shared by all tasks.
type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Shared {
    plan: LoadPlan,
    client: HttpClient,
    started: Instant,
    recorder: Mutex<Recorder>,
}

/// Runs the whole plan, counted from `started`, and returns what was recorded.
pub async fn run_load(plan: LoadPlan, started: Instant) -> Recorder {
    let recorder = Mutex::new(Recorder::new(plan.warm_up));
    let shared = Arc::new(Shared {
        plan,
        client: build_client(),
        started,
        recorder,
    });
    let mut tasks = tokio::task::JoinSet::new();
    for arrival in shared.plan.arrivals.clone() {
        tokio::time::sleep_until(started + arrival.at).await;
        tasks.spawn(send_planned(Arc::clone(&shared), arrival));
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let recorder = shared.recorder.lock();
    recorder.clone()
}

fn build_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(IDLE_CONNECTIONS_PER_DAEMON)
        .build(connector)
}

async fn send_planned(shared: Arc<Shared>, arrival: Arrival) {
    let planned = shared.started + arrival.at;
    let generator_lag = planned.elapsed();
    let result = send_with_failover(&shared, arrival).await;
    let sample = Sample {
        stream: arrival.stream,
        planned: arrival.at,
        latency: planned.elapsed(),
        generator_lag,
        result,
    };
    shared.recorder.lock().record(&sample);
}

async fn send_with_failover(shared: &Shared, arrival: Arrival) -> QueryResult {
    let stream = &shared.plan.streams[arrival.stream];
    let Some(daemons) = shared.plan.daemons.get(&stream.place) else {
        return QueryResult::Lost(format!("no daemon in place {}", stream.place));
    };
    let first = arrival.number as usize;
    let mut refused =
        QueryResult::Lost(format!("no daemon accepts connections in {}", stream.place));
    for turn in 0..daemons.len() {
        let daemon = daemons[(first + turn) % daemons.len()];
        match send_once(shared, arrival, daemon).await {
            Err(SendError::NotConnected(text)) => refused = QueryResult::Lost(text),
            Err(SendError::Failed(text)) => return QueryResult::Lost(text),
            Ok(result) => return result,
        }
    }
    refused
}

/// How sending failed.
enum SendError {
    /// Nothing was sent.
    NotConnected(String),
    /// Something may have been sent.
    Failed(String),
}

async fn send_once(
    shared: &Shared,
    arrival: Arrival,
    daemon: SocketAddr,
) -> Result<QueryResult, SendError> {
    let request_id = request_id(&shared.plan.run_name, arrival);
    let request = build_request(&shared.plan, arrival, &request_id, daemon);
    let patience = shared.plan.deadlines[arrival.stream] + PATIENCE_BEYOND_DEADLINE;
    let exchange = exchange(&shared.client, request, daemon);
    let received = tokio::time::timeout(patience, exchange)
        .await
        .map_err(|_| SendError::Failed(format!("{daemon}: no answer within {patience:?}")))??;
    let has_retry_after = received.headers().contains_key(header::RETRY_AFTER);
    let status = received.status().as_u16();
    Ok(judge(&request_id, status, has_retry_after, received.body()))
}

async fn exchange(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    daemon: SocketAddr,
) -> Result<Response<Bytes>, SendError> {
    let response = client.request(request).await.map_err(|error| {
        let text = format!("{daemon}: {}", error_chain(&error));
        if error.is_connect() {
            SendError::NotConnected(text)
        } else {
            SendError::Failed(text)
        }
    })?;
    let (parts, body) = response.into_parts();
    let collected = body
        .collect()
        .await
        .map_err(|error| SendError::Failed(format!("{daemon}: {}", error_chain(&error))))?;
    Ok(Response::from_parts(parts, collected.to_bytes()))
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

fn request_id(run_name: &str, arrival: Arrival) -> RequestId {
    let text = format!("{run_name}-{}-{}", arrival.stream, arrival.number);
    RequestId::new(text).expect("run names are short and made of allowed characters")
}

fn build_request(
    plan: &LoadPlan,
    arrival: Arrival,
    request_id: &RequestId,
    daemon: SocketAddr,
) -> Request<Full<Bytes>> {
    let service = &plan.streams[arrival.stream].service;
    let body = format!(r#"{{"query":{{"subject":"{request_id}"}}}}"#);
    Request::post(format!("http://{daemon}/v1/services/{service}/query"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID_HEADER, request_id.as_str())
        .header(
            DEADLINE_HEADER,
            plan.deadlines[arrival.stream].as_millis().to_string(),
        )
        .body(Full::new(Bytes::from(body)))
        .expect("names and addresses are valid in a URI")
}

/// Waits until the daemon says it is ready, or `limit` passes.
pub async fn wait_until_ready(daemon: SocketAddr, limit: Duration) -> bool {
    let client = build_client();
    let started = Instant::now();
    while started.elapsed() < limit {
        let request = Request::get(format!("http://{daemon}/readyz"))
            .body(Full::new(Bytes::new()))
            .expect("an address is valid in a URI");
        if let Ok(response) = exchange(&client, request, daemon).await
            && response.status() == StatusCode::OK
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}
