//! Sends queries to daemons.
//!
//! A daemon that answers with `Connection: close` is stopping: as docs/API.md asks of callers, others
//! are asked first for a while.
//!
//! Invariant: a request is sent again by this module only where the caller may do so: when nothing
//! was sent, when the request is repeatable, or with the same idempotency key.

use super::answer::{CallerReply, parse_body};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansylead_types::ids::InvalidName;
use tansylead_types::{
    IdempotencyKey, Outcome, PeerAddress, RequestId, ServiceName, StepError, WallTime,
    text_with_sources,
};

/// Header: time for the whole query, in milliseconds.
const DEADLINE_HEADER: &str = "tansylead-deadline-ms";
/// Header: the caller's id of the request.
const REQUEST_ID_HEADER: &str = "tansylead-request-id";
/// Header: makes the request non-repeatable and names it.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header: unix milliseconds after which the request must not run any more.
const EXPIRES_HEADER: &str = "tansylead-expires";
/// How long a caller waits beyond its deadline before it looks whether the daemon goes on without it.
const PATIENCE_BEYOND_DEADLINE: Duration = Duration::from_secs(1);
/// A reply counts as missing once its daemon has answered so many later requests. A clock would not
/// do: beside busy processes a daemon may wait seconds for a processor.
const LATER_ANSWERS: u32 = 20;
/// Pause between those requests.
const LATER_REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// What is asked then: any daemon that runs answers it.
const LATER_REQUEST_PATH: &str = "/healthz";
/// Callers close idle connections after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time allowed for connecting to a daemon.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// A daemon that closes its connections is about to stop; callers ask others first for this long.
const AVOID_CLOSING: Duration = Duration::from_secs(30);
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

/// One query of a caller, as it is sent once. Sent again, it gets another request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Request id.
    pub request: RequestId,
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
    /// The same query under a request id of its own: that of this one, a dot and the label.
    pub fn sending(&self, label: &str) -> Result<Self, InvalidName> {
        Ok(Self {
            request: RequestId::new(format!("{}.{label}", self.request))?,
            ..self.clone()
        })
    }

    /// Whether a request id is that of another sending of the same query.
    pub fn has_sibling(&self, request: &RequestId) -> bool {
        let query_of = |id: &str| id.rsplit_once('.').map(|(query, _)| query.to_owned());
        let own = query_of(self.request.as_str());
        own.is_some() && own == query_of(request.as_str())
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
    /// No reply came although the deadline is past and the daemon has answered later requests.
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
    /// Daemons that said they are stopping, and until when others are asked first.
    avoided: Arc<Mutex<BTreeMap<SocketAddr, Instant>>>,
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
            avoided: Arc::default(),
        }
    }

    /// Daemons that are not avoided first; otherwise in the given order.
    fn in_order_of_preference(&self, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut avoided = self.avoided.lock();
        avoided.retain(|_, until| *until > now);
        let mut ordered = daemons.to_vec();
        ordered.sort_by_key(|daemon| avoided.contains_key(daemon));
        ordered
    }

    fn heed(&self, daemon: SocketAddr, reply: &CallerReply) {
        if reply.closes_connection {
            let until = Instant::now() + AVOID_CLOSING;
            self.avoided.lock().insert(daemon, until);
        }
    }

    /// Sends a query to one daemon, once.
    pub async fn send(
        &self,
        daemon: SocketAddr,
        request: &CallerRequest,
    ) -> Result<CallerReply, ExchangeFailure> {
        let began = Instant::now();
        let http_request = build_request(daemon, request).map_err(ExchangeFailure::NotSent)?;
        let patience = request.deadline + PATIENCE_BEYOND_DEADLINE;
        tokio::time::sleep(self.one_way_delay).await;
        let exchange = self.exchange(daemon, http_request, began);
        tokio::pin!(exchange);
        let reply = match tokio::time::timeout(patience, exchange.as_mut()).await {
            Ok(reply) => reply?,
            Err(_) => tokio::select! {
                biased;
                reply = exchange => reply?,
                () = self.later_answers(daemon) => {
                    let cause = format!("none after {LATER_ANSWERS} later answers");
                    let error = StepError::new("wait for a reply", daemon, cause);
                    return Err(ExchangeFailure::NoReply(error));
                }
            },
        };
        tokio::time::sleep(self.one_way_delay).await;
        Ok(CallerReply {
            latency: began.elapsed(),
            ..reply
        })
    }

    /// Ends once the daemon has answered [`LATER_ANSWERS`] requests from now on.
    async fn later_answers(&self, daemon: SocketAddr) {
        let uri = format!("http://{daemon}{LATER_REQUEST_PATH}");
        let mut answers = 0;
        while answers < LATER_ANSWERS {
            tokio::time::sleep(LATER_REQUEST_PAUSE).await;
            let request = Request::get(&uri).body(Full::default());
            let request = request.expect("an address and a constant path make a valid request");
            // A daemon that cannot be asked shows no progress; its connections end if it has ended.
            if self.client.request(request).await.is_ok() {
                answers += 1;
            }
        }
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
        let daemons = self.in_order_of_preference(daemons);
        for (index, daemon) in daemons.iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            let sending = request.sending(&format!("{label}{index}"))?;
            let result = self.send(*daemon, &sending).await;
            if let Ok(reply) = &result {
                self.heed(*daemon, reply);
            }
            let is_final = result
                .as_ref()
                .is_ok_and(|reply| reply.outcome() != Outcome::NotRun);
            sendings.push(Sending {
                request: sending.request,
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
            let failure = StepError::new("send a query", daemon, text_with_sources(&error));
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
            .map_err(|error| cut(text_with_sources(&error)))?
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
    .header(REQUEST_ID_HEADER, request.request.as_str())
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
