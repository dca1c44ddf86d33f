//! Headers between callers, daemons and leafs. Their names are configurable; their meaning is fixed.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use std::time::Duration;
use tansylead_types::LeafId;

/// Names of the headers that this protocol adds to the callers' own data.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; every answer to it echoes it.
    pub request: HeaderName,
    /// Milliseconds for which the sender will wait.
    pub time_left: HeaderName,
    /// Run of the leaf that the request is meant for; any other leaf refuses it.
    pub leaf: HeaderName,
    /// A leaf's proof that it ran the request.
    pub signature: HeaderName,
    /// Statement of a leaf that it did not run the request.
    pub not_run: HeaderName,
    /// Signatures of the parts of a merged answer.
    pub parts: HeaderName,
    /// Number of shards missing from a merged answer.
    pub missing: HeaderName,
}

impl Default for HeaderNames {
    /// The product's own names.
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request: name("tansylead-request-id"),
            time_left: name("tansylead-time-left-ms"),
            leaf: name("tansylead-leaf"),
            signature: name("tansylead-signature"),
            not_run: name("tansylead-not-run"),
            parts: name("tansylead-parts"),
            missing: name("tansylead-missing"),
        }
    }
}

/// The time for which a caller says that it will wait is not a number of milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller's time is no number of milliseconds")]
pub struct BadTimeLeft;

/// What a leaf's answer says about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The leaf answered this request.
    Answered,
    /// The leaf did not run it.
    NotRun,
    /// A different run of a leaf listens at the address; it did not run the request.
    OtherLeaf,
    /// The answer belongs to another request, or to none.
    Mismatched,
    /// Its status is none of a final answer: the leaf may have run the request, but this says nothing.
    NoAnswer,
}

impl HeaderNames {
    /// The caller's time left; none if the header is absent.
    pub fn time_left(&self, headers: &HeaderMap) -> Result<Option<Duration>, BadTimeLeft> {
        let Some(value) = headers.get(&self.time_left) else {
            return Ok(None);
        };
        let text = value.to_str().map_err(|_| BadTimeLeft)?;
        let millis: u64 = text.trim().parse().map_err(|_| BadTimeLeft)?;
        Ok(Some(Duration::from_millis(millis)))
    }

    /// Sets the headers of one attempt at a leaf.
    pub fn set_attempt(&self, headers: &mut HeaderMap, leaf: &LeafId, time_left: Duration) {
        let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(&self.time_left, HeaderValue::from(millis));
        if let Ok(value) = HeaderValue::from_str(leaf.as_str()) {
            headers.insert(&self.leaf, value);
        }
    }

    /// Classifies a leaf's answer to `request`.
    pub fn classify_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request: Option<&HeaderValue>,
    ) -> AnswerKind {
        if !is_final(status) {
            return AnswerKind::NoAnswer;
        }
        let echoed = headers.get(&self.request);
        // Every answer echoes the id, refusals too: one without it may have come late from an earlier request.
        if echoed != request {
            return AnswerKind::Mismatched;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return AnswerKind::OtherLeaf;
        }
        if headers.contains_key(&self.not_run) {
            return AnswerKind::NotRun;
        }
        AnswerKind::Answered
    }

    /// Sets the headers that describe the parts of a merged answer.
    pub fn set_parts(&self, headers: &mut HeaderMap, signatures: &[HeaderValue], missing: usize) {
        let mut joined = Vec::new();
        for signature in signatures {
            if !joined.is_empty() {
                joined.extend_from_slice(b", ");
            }
            joined.extend_from_slice(signature.as_bytes());
        }
        if let Ok(value) = HeaderValue::from_bytes(&joined) {
            headers.insert(&self.parts, value);
        }
        headers.insert(&self.missing, HeaderValue::from(missing));
    }
}

/// Whether an answer may have this status. Interim ones precede an answer, and above 599 none is defined.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sets the header that says when the caller should retry.
pub fn set_retry_after(headers: &mut HeaderMap, wait: Duration) {
    let text = format!("{:.3}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(RETRY_AFTER, value);
    }
}

/// Removes the headers that concern one connection only, and those that the sender's `Connection`
/// header names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    const OTHERS: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in OTHERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}
