//! Sends queries to daemons.
//!
//! Invariant: a request is sent again by this module only where the caller may do so: when nothing
//! was sent, when the request is repeatable, or with the same idempotency key.

use super::answer::{CallerReply, parse_body};
use crate::http::chain;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tansylead_types::ids::InvalidName;
use tansylead_types::{
    IdempotencyKey, Outcome, PeerAddress, RequestId, ServiceName, StepError, WallTime,
};

/// Header: time for the whole query, in milliseconds.
const DEADLINE_HEADER: &str = "tansylead-deadline-ms";
/// Header: the caller's id of the request.
const REQUEST_ID_HEADER: &str = "tansylead-request-id";
/// Header: makes the request non-repeatable and names it.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header: unix milliseconds after which the request must not run any more.
const EXPIRES_HEADER: &str = "tansylead-expires";
/// How long a caller waits beyond its deadline before it gives up on a daemon.
const PATIENCE_BEYOND_DEADLINE: Duration = Duration::from_secs(1);
/// Callers close idle connections after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time allowed for connecting to a daemon.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Pause before the next daemon is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Key and expiry of a non-repeatable request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NonRepeatableKey {
    /// Key.
    pub key: IdempotencyKey,
    /// Expiry.
    pub expires: WallTime,
}

/// One query of a caller. Each time it is sent it gets a request id of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Name of the query; the request ids of its sendings begin with it.
    pub name: RequestId,
    /// Service asked.
    pub service: ServiceName,
    /// JSON text of the query.
    pub query: String,
    /// Asks only the shard that owns this key.
    pub routing_key: Option<String>,
    /// Deadline.
    pub deadline: Duration,
    /// Present on non-repeatable requests.
    pub key: Option<NonRepeatableKey>,
}

impl CallerRequest {
    /// Request id of one sending.
    pub fn sending_id(&self, label: &str) -> Result<RequestId, InvalidName> {
        RequestId::new(format!("{}.{label}", self.name))
    }

    /// Whether a request id is that of a sending of this query.
    pub fn is_sending_id(&self, request: &RequestId) -> bool {
        let rest = request.as_str().strip_prefix(self.name.as_str());
        rest.is_some_and(|label| label.starts_with('.'))
    }
}

#[derive(Serialize)]
struct WireBody<'a> {
    query: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    routing_key: Option<&'a str>,
}

/// An exchange with one daemon that brought no reply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeFailure {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(StepError),
    /// The connection broke after the request may have left.
    #[error("cut: {0}")]
    Cut(StepError),
    /// No reply came although the deadline is long past.
    #[error("no reply: {0}")]
    NoReply(StepError),
}

impl ExchangeFailure {
    /// Whether nothing was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

/// A caller's HTTP client.
#[derive(Debug, Clone)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    one_way_delay: Duration,
}

/// One sending of a query to one daemon.
#[derive(Debug, Clone)]
pub struct Sending {
    /// Its request id.
    pub request: RequestId,
    /// Where it was sent.
    pub daemon: SocketAddr,
    /// What came of it.
    pub result: Result<CallerReply, ExchangeFailure>,
}

/// How asking went, over all daemons tried.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Sendings in their order.
    pub sendings: Vec<Sending>,
    /// Time from first sending to the last reply.
    pub latency: Duration,
}

impl Asked {
    /// The last reply; none if no daemon gave one.
    pub fn reply(&self) -> Option<&CallerReply> {
        self.replies().last()
    }

    /// All replies.
    pub fn replies(&self) -> impl Iterator<Item = &CallerReply> {
        self.sendings
            .iter()
            .filter_map(|sending| sending.result.as_ref().ok())
    }

    /// All failures.
    pub fn failures(&self) -> impl Iterator<Item = &ExchangeFailure> {
        self.sendings
            .iter()
            .filter_map(|sending| sending.result.as_ref().err())
    }
}

impl CallerClient {
    /// A client that is that far from the daemons, in each direction.
    pub fn new(one_way_delay: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            one_way_delay,
        }
    }

    /// Sends a query to one daemon, once, under a request id of its own.
    pub async fn send(
        &self,
        daemon: SocketAddr,
        request: &CallerRequest,
        id: &RequestId,
    ) -> Result<CallerReply, ExchangeFailure> {
        let began = Instant::now();
        let http_request = build_request(daemon, request, id).map_err(ExchangeFailure::NotSent)?;
        let patience = request.deadline + PATIENCE_BEYOND_DEADLINE;
        tokio::time::sleep(self.one_way_delay).await;
        let exchange = self.exchange(daemon, http_request, began);
        let reply = match tokio::time::timeout(patience, exchange).await {
            Ok(reply) => reply?,
            Err(_) => {
                let cause = format!("none within {patience:?}");
                return Err(ExchangeFailure::NoReply(StepError::new(
                    "wait for a reply",
                    daemon,
                    cause,
                )));
            }
        };
        tokio::time::sleep(self.one_way_delay).await;
        Ok(CallerReply {
            latency: began.elapsed(),
            ..reply
        })
    }

    /// Asks daemons in turn until one gives a reply that ends the matter.
    ///
    /// The next daemon is asked when nothing was sent, and after any other failure or refusal only
    /// if the request may be sent again. No daemon is asked twice.
    pub async fn ask(
        &self,
        daemons: &[SocketAddr],
        request: &CallerRequest,
        label: &str,
    ) -> Result<Asked, InvalidName> {
        let began = Instant::now();
        let mut sendings = Vec::new();
        for (index, daemon) in daemons.iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            let id = request.sending_id(&format!("{label}{index}"))?;
            let result = self.send(*daemon, request, &id).await;
            let is_final = result
                .as_ref()
                .is_ok_and(|reply| reply.outcome() != Outcome::NotRun);
            sendings.push(Sending {
                request: id,
                daemon: *daemon,
                result,
            });
            if is_final {
                break;
            }
        }
        Ok(Asked {
            sendings,
            latency: began.elapsed(),
        })
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        request: Request<Full<Bytes>>,
        began: Instant,
    ) -> Result<CallerReply, ExchangeFailure> {
        let response = self.client.request(request).await.map_err(|error| {
            let not_sent = error.is_connect();
            let failure = StepError::new("send a query", daemon, chain(error));
            if not_sent {
                ExchangeFailure::NotSent(failure)
            } else {
                ExchangeFailure::Cut(failure)
            }
        })?;
        let (parts, body) = response.into_parts();
        let cut = |cause: String| ExchangeFailure::Cut(read_failure(daemon, cause));
        let bytes = body
            .collect()
            .await
            .map_err(|error| cut(chain(error)))?
            .to_bytes();
        let body = parse_body(&bytes).map_err(|error| {
            let text = String::from_utf8_lossy(&bytes);
            cut(format!("status {}: {error}: `{text}`", parts.status))
        })?;
        let closes = parts.headers.get(header::CONNECTION);
        Ok(CallerReply {
            status: parts.status.as_u16(),
            has_retry_after: parts.headers.contains_key(header::RETRY_AFTER),
            closes_connection: closes.is_some_and(|value| value == "close"),
            latency: began.elapsed(),
            body,
        })
    }
}

fn read_failure(daemon: SocketAddr, cause: String) -> StepError {
    StepError {
        step: "read a reply",
        peer: PeerAddress(daemon.to_string()),
        cause,
    }
}

fn build_request(
    daemon: SocketAddr,
    request: &CallerRequest,
    id: &RequestId,
) -> Result<Request<Full<Bytes>>, StepError> {
    let step = "build a request";
    let query: &RawValue = serde_json::from_str(&request.query)
        .map_err(|cause| StepError::new(step, daemon, cause))?;
    let body = WireBody {
        query,
        routing_key: request.routing_key.as_deref(),
    };
    let text = serde_json::to_vec(&body).map_err(|cause| StepError::new(step, daemon, cause))?;
    let deadline_millis = request.deadline.as_millis().to_string();
    let mut builder = Request::post(format!(
        "http://{daemon}/v1/services/{}/query",
        request.service
    ))
    .header(header::CONTENT_TYPE, "application/json")
    .header(REQUEST_ID_HEADER, id.as_str())
    .header(DEADLINE_HEADER, deadline_millis);
    if let Some(key) = &request.key {
        builder = builder
            .header(IDEMPOTENCY_KEY_HEADER, key.key.as_str())
            .header(EXPIRES_HEADER, key.expires.0.to_string());
    }
    builder
        .body(Full::new(Bytes::from(text)))
        .map_err(|cause| StepError::new(step, daemon, cause))
}
