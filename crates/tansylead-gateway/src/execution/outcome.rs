//! How a request ended, independent of the caller's protocol.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// A leaf's answer, to be forwarded unchanged.
    Leaf {
        /// Status code.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// An answer merged from parts.
    Merged {
        /// Signatures of the parts.
        signatures: Vec<HeaderValue>,
        /// Number of shards without a part.
        missing: usize,
        /// Records, greatest first.
        body: Vec<u8>,
    },
    /// No answer.
    Refused(Refusal),
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// When the caller should retry; only if the request has not run.
    pub retry_after: Option<Duration>,
}

/// Reasons for a refusal. All but `Failed` and `TimedOut` guarantee that the request has not run and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No configuration yet.
    NoConfiguration,
    /// No leaf can take the request; it has not run.
    NotRun,
    /// Leafs are short of capacity, and this query was not admitted; it has not run.
    Overloaded,
    /// Leafs end whenever they run this request; this time it was sent to none.
    EndsLeafs,
    /// No route takes the request.
    NoRoute,
    /// The request has no id, so no answer could be matched to it.
    NoRequestId,
    /// Body over the limit.
    BodyTooLarge,
    /// Headers over the limit.
    HeadersTooLarge,
    /// The body was truncated or malformed.
    BadBody,
    /// The body was not complete before the caller's deadline; the request has not run.
    BodyTooLate,
    /// Leafs failed; the request may have run.
    Failed,
    /// The deadline was reached; the request may have run.
    TimedOut,
    /// This daemon has no memory for the request; it has not run.
    NoMemory,
    /// Memory is short, and the body makes no progress; the request has not run.
    BodyStalled,
}

impl RefusalReason {
    /// Status code sent to the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::NotRun
            | Self::Overloaded
            | Self::EndsLeafs
            | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooLate | Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BadBody | Self::NoRequestId => StatusCode::BAD_REQUEST,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name for logs, metrics and the body of the answer.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NotRun => "not_run",
            Self::Overloaded => "overloaded",
            Self::EndsLeafs => "ends_leafs",
            Self::NoRoute => "no_route",
            Self::NoRequestId => "no_request_id",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadersTooLarge => "headers_too_large",
            Self::BadBody => "bad_body",
            Self::BodyTooLate => "body_too_late",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::NoMemory => "no_memory",
            Self::BodyStalled => "body_stalled",
        }
    }
}

impl Refusal {
    /// A refusal without a time to retry.
    pub fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request that has not run.
    pub fn not_run(retry_after: Duration) -> Self {
        Self {
            reason: RefusalReason::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// A refusal of a query that was not admitted, and has not run.
    pub fn overloaded(retry_after: Duration) -> Self {
        Self {
            reason: RefusalReason::Overloaded,
            retry_after: Some(retry_after),
        }
    }
}
