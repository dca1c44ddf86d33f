//! A query over shards that one daemon forwards to another, and the reply: one message each way.

use crate::execution::{Outcome, Refusal, RefusalReason};
use crate::leaf::OutgoingRequest;
use crate::memory::HeldBytes;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_route::RequestFingerprints;
use tansylead_types::StepError;

/// One header.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedHeader {
    name: String,
    value: Vec<u8>,
}

/// A query as it goes to a root.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedQuery {
    /// Name of the deployment; queries of others are not run.
    pub cluster: String,
    /// Version of the configuration that contains the route. The root runs the query only if it holds the
    /// same one: a request must not be handled under another version than that of the daemon that accepted it.
    pub version: u64,
    /// Host of the route.
    pub host: String,
    method: String,
    target: String,
    headers: Vec<ForwardedHeader>,
    body: Vec<u8>,
    id: Option<Vec<u8>>,
    elapsed_micros: u64,
    time_left_micros: u64,
    /// Fingerprints that identify repetitions of the query; the root does not see its caller.
    fingerprints: RequestFingerprints,
}

/// Reply of a root to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedReply {
    /// The merged answer.
    Merged {
        /// Signatures of the parts.
        signatures: Vec<Vec<u8>>,
        /// Shards left out.
        missing: u32,
        /// Records, greatest first.
        body: Vec<u8>,
    },
    /// No answer.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// When the caller should retry, in microseconds.
        retry_after_micros: Option<u64>,
    },
    /// The root does not run it: it holds another version, or is stopping. Nothing has run.
    Declined,
    /// The root does not run it: its processor is too busy. Nothing has run.
    Busy,
}

impl ForwardedQuery {
    /// A query that arrived `elapsed` ago from a caller that waits for `time_left` in total.
    pub fn new(
        cluster: &str,
        version: u64,
        host: &str,
        request: &OutgoingRequest,
        elapsed: Duration,
        time_left: Duration,
    ) -> Self {
        let headers = request.headers.iter().map(|(name, value)| ForwardedHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        });
        Self {
            cluster: cluster.to_owned(),
            version,
            host: host.to_owned(),
            method: request.method.as_str().to_owned(),
            target: request.uri.to_string(),
            headers: headers.collect(),
            body: request.body.to_vec(),
            id: request.id.as_ref().map(|id| id.as_bytes().to_vec()),
            elapsed_micros: micros(elapsed),
            time_left_micros: micros(time_left),
            fingerprints: request.fingerprints,
        }
    }

    /// Path of the query, without the part after a question mark.
    pub fn path(&self) -> &str {
        let target = self.target.as_str();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Time from the arrival of the query at the first daemon until it was forwarded.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_micros)
    }

    /// How long its caller waits in total, from its arrival at the first daemon.
    pub fn time_left(&self) -> Duration {
        Duration::from_micros(self.time_left_micros)
    }

    /// Size of its data, in bytes.
    pub fn data_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len());
        self.body.len() + self.target.len() + headers.sum::<usize>()
    }

    /// The request as it goes to leafs.
    pub fn into_request(self, held: HeldBytes) -> Result<OutgoingRequest, StepError> {
        let failed = |cause: &dyn std::fmt::Display| {
            StepError::new("read forwarded query", "another daemon", cause)
        };
        let method = Method::from_bytes(self.method.as_bytes()).map_err(|cause| failed(&cause))?;
        let uri: Uri = self.target.parse().map_err(|cause| failed(&cause))?;
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for header in &self.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(&header.value);
            headers.append(
                name.map_err(|cause| failed(&cause))?,
                value.map_err(|cause| failed(&cause))?,
            );
        }
        let id = self.id.map(|id| HeaderValue::from_bytes(&id)).transpose();
        Ok(OutgoingRequest {
            method,
            uri,
            headers,
            body: Bytes::from(self.body),
            id: id.map_err(|cause| failed(&cause))?,
            repeatable: true,
            fingerprints: self.fingerprints,
            held,
        })
    }
}

impl ForwardedReply {
    /// The reply for an outcome at the root.
    pub fn new(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Merged {
                signatures,
                missing,
                body,
            } => Self::Merged {
                signatures: signatures
                    .iter()
                    .map(|signature| signature.as_bytes().to_vec())
                    .collect(),
                missing: u32::try_from(missing).unwrap_or(u32::MAX),
                body,
            },
            Outcome::Refused(refusal) => Self::Refused {
                reason: refusal.reason,
                retry_after_micros: refusal.retry_after.map(micros),
            },
            // Queries over shards never end with the answer of a single leaf.
            Outcome::Leaf { .. } => Self::Refused {
                reason: RefusalReason::Failed,
                retry_after_micros: None,
            },
        }
    }

    /// The outcome at the daemon that forwarded the query; none if the root declined it.
    pub fn into_outcome(self) -> Option<Outcome> {
        match self {
            Self::Merged {
                signatures,
                missing,
                body,
            } => {
                let values = signatures
                    .iter()
                    .map(|signature| HeaderValue::from_bytes(signature));
                let outcome = match values.collect::<Result<Vec<_>, _>>() {
                    Ok(signatures) => Outcome::Merged {
                        signatures,
                        missing: missing as usize,
                        body,
                    },
                    // A root sends only valid header values; anything else is not a usable answer.
                    Err(_) => Outcome::Refused(Refusal::new(RefusalReason::Failed)),
                };
                Some(outcome)
            }
            Self::Refused {
                reason,
                retry_after_micros,
            } => Some(Outcome::Refused(Refusal {
                reason,
                retry_after: retry_after_micros.map(Duration::from_micros),
            })),
            Self::Declined | Self::Busy => None,
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
