//! One attempt: one request to one leaf, over one connection.
//!
//! Invariants: a request is reported as not run only if it was not handed to a connection or the leaf itself
//! said so. A connection is reused only after a complete answer that carries the request's id.

use super::idle_connections::LeafConnection;
use super::leaf_state::LeafState;
use crate::clock::Clock;
use crate::headers::{AnswerKind, HeaderNames};
use crate::memory::{AccountedBody, HeldBytes};
use crate::roll_out::{SendEnd, SendTerms};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::{ConnectOptions, ExchangeError, HttpConnection, Reply};
use tansylead_route::{RequestFingerprints, SHORTEST_IDLE_RESET};
use tansylead_types::{Moment, StepError};

/// Largest answer accepted from a leaf, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// How long to wait for an answer beyond the deadline sent to the leaf.
const ANSWER_SLACK: Duration = Duration::from_millis(100);
/// A connection to a leaf that has gone silent is closed after this time.
const LEAF_SILENCE: Duration = Duration::from_secs(8);
/// Size of a connection's read buffer: a small answer with its headers.
const READ_BUFFER_BYTES: usize = 2 * 1024;

/// A caller's request as it is sent to leafs.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The caller's id of the request.
    pub id: Option<HeaderValue>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Fingerprints that identify repetitions of the request.
    pub fingerprints: RequestFingerprints,
    /// Bytes held for its caller.
    pub held: HeldBytes,
}

/// When and on which kind of connection a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendRecord {
    /// When it was handed to the connection.
    pub at: Moment,
    /// Whether the connection had been kept from an earlier request.
    pub is_kept_connection: bool,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The leaf answered this request.
    Answered(Reply),
    /// The leaf reports that it did not run the request.
    Refused(Reply),
    /// Nothing was handed to a connection.
    NotSent(StepError),
    /// The leaf may have run the request; there is no answer to forward.
    Failed(StepError),
    /// As `Failed`: the connection ended before a complete answer; the leaf may have ended or not.
    Lost(StepError),
    /// As `Failed`: the answer belongs to another request.
    Mismatched(StepError),
    /// The leaf answered, but this daemon has no memory for the answer.
    NoMemory(StepError),
}

/// Runs one attempt to its end. `may_use` decides, right before the request is handed over, whether
/// it may still go to the leaf; `sent` is set when it is handed to a connection. A connection must be
/// established within the time after which an answer is overdue.
pub async fn run_attempt(
    leaf: Rc<LeafState>,
    request: Rc<OutgoingRequest>,
    names: Rc<HeaderNames>,
    may_use: impl Fn(&LeafState) -> bool,
    terms: SendTerms,
    sent: Rc<Cell<Option<SendRecord>>>,
    memory: AccountedBody,
) -> AttemptEnd {
    let open = leaf.begin();
    let Ok(_permit) = leaf.connections().permits().acquire_owned().await else {
        return not_sent(&leaf, "no permit");
    };
    let LeafConnection {
        mut connection,
        idle_time,
    } = match connect(&leaf, &request, terms.overdue_delay).await {
        Ok(connected) => connected,
        Err(error) => return AttemptEnd::NotSent(error),
    };
    if !may_use(&leaf) {
        leaf.on_withheld(Clock.now());
        return not_sent(&leaf, "leaf may not be used any more");
    }
    let now = Clock.now();
    let time_left = terms.end.since(now);
    if time_left.as_millis() == 0 {
        return not_sent(&leaf, "no time left");
    }
    let outgoing = match build(&leaf, &request, &names, time_left) {
        Ok(outgoing) => outgoing,
        Err(error) => return AttemptEnd::NotSent(error),
    };
    open.set_sent(now, &terms);
    sent.set(Some(SendRecord {
        at: now,
        is_kept_connection: idle_time.is_some(),
    }));
    let exchange = connection.exchange_accounted(outgoing, MAXIMUM_ANSWER_BYTES, memory);
    let ended = match Clock.timeout_at(terms.end + ANSWER_SLACK, exchange).await {
        Ok(Ok(reply)) => {
            leaf.connections().on_answer(idle_time);
            finish(&leaf, &request, &names, connection, reply)
        }
        Ok(Err(ExchangeError::NoMemory(error))) => AttemptEnd::NoMemory(error),
        Ok(Err(error)) => {
            leaf.on_connection_lost(idle_time);
            match error {
                ExchangeError::NotWritten(error) => {
                    sent.set(None);
                    AttemptEnd::NotSent(error)
                }
                ExchangeError::MaybeReceived(error) | ExchangeError::NoMemory(error) => {
                    AttemptEnd::Lost(error)
                }
            }
        }
        Err(_) => AttemptEnd::Failed(step_error(&leaf, "no answer in time")),
    };
    open.set_end(as_evidence(&ended));
    ended
}

/// The end of a sent attempt, as evidence on the leaf's version.
fn as_evidence(ended: &AttemptEnd) -> SendEnd {
    match ended {
        AttemptEnd::Answered(reply) if reply.status.is_server_error() => SendEnd::Failed,
        AttemptEnd::Answered(reply) if reply.status == StatusCode::TOO_MANY_REQUESTS => {
            SendEnd::NotRun
        }
        AttemptEnd::Answered(_) => SendEnd::Good,
        AttemptEnd::Refused(_) | AttemptEnd::NotSent(_) => SendEnd::NotRun,
        AttemptEnd::NoMemory(_) => SendEnd::Abandoned,
        AttemptEnd::Failed(_) | AttemptEnd::Lost(_) | AttemptEnd::Mismatched(_) => SendEnd::Failed,
    }
}

/// A connection to the leaf: an idle one if there is any, or a new one.
async fn connect(
    leaf: &Rc<LeafState>,
    request: &OutgoingRequest,
    connect_limit: Duration,
) -> Result<LeafConnection, StepError> {
    // The peer may have dropped an idle connection, and a request that is lost on it may have run.
    let max_idle = if request.repeatable {
        Duration::MAX
    } else {
        SHORTEST_IDLE_RESET
    };
    let connections = leaf.connections();
    while let Some(mut idle) = connections.take_idle(Clock.now(), max_idle) {
        if idle.connection.is_ready() || idle.connection.is_usable().await {
            return Ok(idle);
        }
    }
    let address = leaf.entry().address;
    let started = Clock.now();
    let options = ConnectOptions {
        connect_limit,
        silence_limit: Some(LEAF_SILENCE),
        read_buffer_bytes: Some(READ_BUFFER_BYTES),
    };
    let opened = HttpConnection::open(address, options, ()).await;
    match &opened {
        Ok(_) => leaf.on_connected(Clock.now().since(started)),
        Err(_) => leaf.on_unreachable(connect_limit),
    }
    opened.map(|connection| LeafConnection {
        connection,
        idle_time: None,
    })
}

fn build(
    leaf: &LeafState,
    request: &OutgoingRequest,
    names: &HeaderNames,
    time_left: Duration,
) -> Result<Request<Full<Bytes>>, StepError> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let headers = outgoing.headers_mut();
    headers.clone_from(&request.headers);
    names.set_attempt(headers, &leaf.entry().leaf, time_left);
    Ok(outgoing)
}

fn finish(
    leaf: &Rc<LeafState>,
    request: &OutgoingRequest,
    names: &HeaderNames,
    connection: HttpConnection,
    reply: Reply,
) -> AttemptEnd {
    match names.classify_answer(reply.status, &reply.headers, request.id.as_ref()) {
        AnswerKind::Mismatched => {
            AttemptEnd::Mismatched(step_error(leaf, "answer to another request"))
        }
        AnswerKind::NoAnswer => {
            let cause = format!("status {} is none of an answer", reply.status.as_u16());
            AttemptEnd::Failed(step_error(leaf, &cause))
        }
        AnswerKind::OtherLeaf => {
            leaf.set_replaced();
            AttemptEnd::Refused(reply)
        }
        word => {
            if !has_connection_close(&reply.headers) {
                leaf.give_back(connection, idle_limit(&reply.headers));
            }
            match word {
                AnswerKind::NotRun => AttemptEnd::Refused(reply),
                _ => AttemptEnd::Answered(reply),
            }
        }
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION);
    values.iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    })
}

/// Time after which the leaf closes the idle connection, less a margin for network delay.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    const MARGIN: Duration = Duration::from_millis(500);
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let fields = text.split(',').map(str::trim);
    let mut seconds = fields.filter_map(|field| field.strip_prefix("timeout="));
    let seconds: u64 = seconds.next()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(MARGIN))
}

fn not_sent(leaf: &LeafState, cause: &str) -> AttemptEnd {
    AttemptEnd::NotSent(step_error(leaf, cause))
}

fn step_error(leaf: &LeafState, cause: &str) -> StepError {
    let entry = leaf.entry();
    StepError::new(
        "attempt",
        format!("{} {}", entry.leaf, entry.address),
        cause,
    )
}
