//! Errors of requests that are refused before they become a query.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_types::{Outcome, ServiceName};

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApiError {
    /// No such path.
    #[error("there is nothing at {path}")]
    UnknownPath {
        /// The requested path.
        path: String,
    },
    /// The path does not take this method.
    #[error("{path} takes {allowed} only")]
    MethodNotAllowed {
        /// The requested path.
        path: String,
        /// The method it takes.
        allowed: &'static str,
    },
    /// No such service in the configuration in force.
    #[error("there is no service `{service}`")]
    UnknownService {
        /// The requested name.
        service: String,
    },
    /// The body is not of the documented form.
    #[error("the body is not a query: {cause}")]
    MalformedBody {
        /// Error of the JSON library.
        cause: String,
    },
    /// The body arrived incomplete.
    #[error("the body did not arrive whole: {cause}")]
    BodyIncomplete {
        /// Error of the HTTP library.
        cause: String,
    },
    /// The body is too large.
    #[error("the body is larger than the {limit} bytes that `{service}` takes")]
    BodyTooLarge {
        /// The service.
        service: ServiceName,
        /// Its limit.
        limit: usize,
    },
    /// A header has a value that cannot be used.
    #[error("header {header}: {cause}")]
    MalformedHeader {
        /// The header.
        header: &'static str,
        /// What is wrong with it.
        cause: String,
    },
    /// The deadline is out of range.
    #[error("header {header}: {value} ms is not between 1 and the {limit} ms `{service}` allows")]
    DeadlineOutOfRange {
        /// The header.
        header: &'static str,
        /// The value given.
        value: u64,
        /// The service.
        service: ServiceName,
        /// Its limit.
        limit: u64,
    },
    /// A request with a key states no expiry.
    #[error("{key_header} needs {expires_header}: unix milliseconds, the same on each repetition")]
    ExpiresMissing {
        /// Header of the key.
        key_header: &'static str,
        /// Header of the expiry.
        expires_header: &'static str,
    },
    /// The expiry lies too far ahead.
    #[error("header {header}: more than {limit} ms ahead")]
    ExpiresTooLate {
        /// The header.
        header: &'static str,
        /// Maximum allowed, in milliseconds from now.
        limit: u64,
    },
    /// The expiry has passed. Nothing runs now; an earlier request with the key may have run.
    #[error("header {header}: has passed; an earlier request with this key may have run")]
    Expired {
        /// The header.
        header: &'static str,
    },
    /// This daemon has no configuration yet.
    #[error("this daemon has no configuration yet")]
    NotConfigured {
        /// When to retry.
        retry_after: Duration,
    },
    /// A parameter of the path's query has a value that cannot be used.
    #[error("parameter {parameter}: {cause}")]
    MalformedParameter {
        /// The parameter.
        parameter: &'static str,
        /// What is wrong with it.
        cause: String,
    },
    /// This daemon has been stopping for long and refuses new queries.
    #[error("this daemon is stopping; ask another one")]
    Stopping {
        /// When to retry; by then, another daemon may run at this address.
        retry_after: Duration,
    },
    /// An internal error, possibly after the query has begun.
    #[error("{cause}")]
    Internal {
        /// Cause of the error.
        cause: String,
    },
}

/// Body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: ErrorDetail,
    /// `not_run`, or `unknown` where this request or an earlier one with the same key may have run.
    pub outcome: Outcome,
    /// Time after which to retry, in milliseconds; absent if the same request can never succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Error code for programs, from a closed set.
    pub code: String,
    /// Explanation for people.
    pub message: String,
}

impl ApiError {
    /// Code for programs and for metrics.
    pub fn code(&self) -> &'static str {
        match self {
            ApiError::UnknownPath { .. } => "unknown_path",
            ApiError::MethodNotAllowed { .. } => "method_not_allowed",
            ApiError::UnknownService { .. } => "unknown_service",
            ApiError::MalformedBody { .. } => "malformed_body",
            ApiError::BodyIncomplete { .. } => "body_incomplete",
            ApiError::BodyTooLarge { .. } => "body_too_large",
            ApiError::MalformedHeader { .. } => "malformed_header",
            ApiError::DeadlineOutOfRange { .. } => "deadline_out_of_range",
            ApiError::ExpiresMissing { .. } => "expires_missing",
            ApiError::ExpiresTooLate { .. } => "expires_too_late",
            ApiError::Expired { .. } => "expired",
            ApiError::NotConfigured { .. } => "not_configured",
            ApiError::Stopping { .. } => "stopping",
            ApiError::MalformedParameter { .. } => "malformed_parameter",
            ApiError::Internal { .. } => "internal",
        }
    }

    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            ApiError::UnknownPath { .. } | ApiError::UnknownService { .. } => StatusCode::NOT_FOUND,
            ApiError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            ApiError::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ApiError::Expired { .. } => StatusCode::GONE,
            ApiError::NotConfigured { .. } | ApiError::Stopping { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            ApiError::Internal { .. } => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    fn outcome(&self) -> Outcome {
        match self {
            ApiError::Expired { .. } | ApiError::Internal { .. } => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            ApiError::NotConfigured { retry_after } | ApiError::Stopping { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }

    /// The refusal as an HTTP response.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.code().to_owned(),
                message: self.to_string(),
            },
            outcome: self.outcome(),
            retry_after_ms: self.retry_after().map(round_up_millis),
        };
        let mut builder = Response::builder()
            .status(self.status())
            .header(CONTENT_TYPE, "application/json");
        if let Some(retry_after) = self.retry_after() {
            builder = builder.header(RETRY_AFTER, round_up_seconds(retry_after));
        }
        if let ApiError::MethodNotAllowed { allowed, .. } = self {
            builder = builder.header(ALLOW, *allowed);
        }
        let text = serde_json::to_vec(&body).unwrap_or_default();
        builder
            .body(Full::new(Bytes::from(text)))
            .unwrap_or_default()
    }
}

/// Milliseconds, rounded up, at least 1.
pub(super) fn round_up_millis(duration: Duration) -> u64 {
    let millis = duration.as_micros().div_ceil(1_000).max(1);
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Seconds for `Retry-After`, rounded up, at least 1.
pub(super) fn round_up_seconds(duration: Duration) -> u64 {
    let seconds = duration.as_millis().div_ceil(1_000).max(1);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}
