//! Converts an HTTP request into a [`QueryRequest`].

use super::error::ApiError;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::str::FromStr;
use std::time::Duration;
use tansylead_types::settings::TimingSettings;
use tansylead_types::{
    IdempotencyKey, QueryRequest, Repeatability, RequestId, ServiceDefinition, WallTime,
};

/// Header: time for the whole query, in milliseconds.
pub const DEADLINE_HEADER: &str = "tansylead-deadline-ms";
/// Header: the caller's id of the request, echoed in the answer.
pub const REQUEST_ID_HEADER: &str = "tansylead-request-id";
/// Header: makes the request non-repeatable and identifies it.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header: time in Unix milliseconds after which the request must not run.
pub const EXPIRES_HEADER: &str = "tansylead-expires";

/// Body of a query.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryBody {
    /// Passed to leafs unchanged.
    pub query: Box<RawValue>,
    /// If present, only the shard that owns this key is queried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing_key: Option<String>,
}

/// The validated headers of a request.
#[derive(Debug)]
pub(super) struct QueryHeaders {
    request: RequestId,
    time_left: Duration,
    repeatability: Repeatability,
}

impl QueryHeaders {
    pub(super) fn read(
        headers: &HeaderMap,
        definition: &ServiceDefinition,
        timing: &TimingSettings,
        now: WallTime,
    ) -> Result<Self, ApiError> {
        let request = match parse_header::<RequestId>(headers, REQUEST_ID_HEADER)? {
            Some(request) => request,
            None => generate_name(REQUEST_ID_HEADER)?,
        };
        let time_left = parse_deadline(headers, definition)?;
        let repeatability = parse_repeatability(headers, definition, timing, now, time_left)?;
        Ok(Self {
            request,
            time_left,
            repeatability,
        })
    }

    pub(super) fn time_left(&self) -> Duration {
        self.time_left
    }

    pub(super) fn into_request(
        self,
        definition: &ServiceDefinition,
        body: QueryBody,
    ) -> QueryRequest {
        QueryRequest {
            request: self.request,
            service: definition.service.clone(),
            body: Box::<str>::from(body.query).into_string(),
            routing_key: body.routing_key,
            time_left: self.time_left,
            repeatability: self.repeatability,
        }
    }
}

/// Reads and validates the body.
pub(super) async fn read_body(
    body: Incoming,
    definition: &ServiceDefinition,
) -> Result<QueryBody, ApiError> {
    let limit = definition.policy.maximum_body_bytes;
    let too_large = || ApiError::BodyTooLarge {
        service: definition.service.clone(),
        limit,
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let collected = Limited::new(body, limit).collect().await;
    let bytes = match collected {
        Ok(collected) => collected.to_bytes(),
        Err(cause) if cause.is::<LengthLimitError>() => return Err(too_large()),
        Err(cause) => {
            return Err(ApiError::BodyIncomplete {
                cause: cause.to_string(),
            });
        }
    };
    serde_json::from_slice(&bytes).map_err(|cause| ApiError::MalformedBody {
        cause: cause.to_string(),
    })
}

fn parse_deadline(
    headers: &HeaderMap,
    definition: &ServiceDefinition,
) -> Result<Duration, ApiError> {
    let policy = &definition.policy;
    let Some(millis) = parse_header::<u64>(headers, DEADLINE_HEADER)? else {
        return Ok(Duration::from_millis(policy.default_deadline_millis));
    };
    if (1..=policy.maximum_deadline_millis).contains(&millis) {
        return Ok(Duration::from_millis(millis));
    }
    Err(ApiError::DeadlineOutOfRange {
        header: DEADLINE_HEADER,
        value: millis,
        service: definition.service.clone(),
        limit: policy.maximum_deadline_millis,
    })
}

fn parse_repeatability(
    headers: &HeaderMap,
    definition: &ServiceDefinition,
    timing: &TimingSettings,
    now: WallTime,
    time_left: Duration,
) -> Result<Repeatability, ApiError> {
    let expires = parse_header::<u64>(headers, EXPIRES_HEADER)?.map(WallTime);
    let key = parse_header::<IdempotencyKey>(headers, IDEMPOTENCY_KEY_HEADER)?;
    match (key, expires) {
        (None, _) if definition.policy.repeatable => Ok(Repeatability::Repeatable),
        // Nobody else knows this key, so it need not outlive the query.
        (None, _) => Ok(Repeatability::NonRepeatable {
            key: generate_name(IDEMPOTENCY_KEY_HEADER)?,
            expires: add_duration(
                now,
                time_left + Duration::from_millis(timing.clock_skew_millis),
            ),
        }),
        (Some(_), None) => Err(ApiError::ExpiresMissing {
            key_header: IDEMPOTENCY_KEY_HEADER,
            expires_header: EXPIRES_HEADER,
        }),
        (Some(key), Some(expires)) => {
            check_expires(expires, timing, now)?;
            Ok(Repeatability::NonRepeatable { key, expires })
        }
    }
}

fn check_expires(
    expires: WallTime,
    timing: &TimingSettings,
    now: WallTime,
) -> Result<(), ApiError> {
    let maximum = Duration::from_millis(timing.longest_expiry_millis + timing.clock_skew_millis);
    if expires <= now {
        return Err(ApiError::Expired {
            header: EXPIRES_HEADER,
        });
    }
    if expires > add_duration(now, maximum) {
        return Err(ApiError::ExpiresTooLate {
            header: EXPIRES_HEADER,
            limit: timing.longest_expiry_millis,
        });
    }
    Ok(())
}

fn add_duration(now: WallTime, duration: Duration) -> WallTime {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    WallTime(now.0.saturating_add(millis))
}

fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    header: &'static str,
) -> Result<Option<T>, ApiError>
where
    T::Err: std::fmt::Display,
{
    let malformed = |cause: String| ApiError::MalformedHeader { header, cause };
    let mut values = headers.get_all(HeaderName::from_static(header)).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed("given more than once".to_owned()));
    }
    let text = value
        .to_str()
        .map_err(|cause| malformed(cause.to_string()))?;
    let parsed = text.trim().parse();
    parsed
        .map(Some)
        .map_err(|cause: T::Err| malformed(cause.to_string()))
}

/// A random 128-bit name.
fn generate_name<T: FromStr>(header: &'static str) -> Result<T, ApiError>
where
    T::Err: std::fmt::Display,
{
    let number: u128 = rand::rng().random();
    let text = format!("{number:032x}");
    text.parse()
        .map_err(|cause: T::Err| ApiError::MalformedHeader {
            header,
            cause: cause.to_string(),
        })
}
