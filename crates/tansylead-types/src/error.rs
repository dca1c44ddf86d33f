//! Errors that carry the failed step and the peer.

use std::fmt;

/// The other side of a failed step, in a form that operators can look up: an address or a file.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerAddress(pub String);

impl fmt::Display for PeerAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A failure of one step with one peer. Converts into `eyre::Report`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step} ({peer}): {cause}")]
pub struct StepError {
    /// What was being done, for example `connect to leaf`.
    pub step: &'static str,
    /// The peer involved.
    pub peer: PeerAddress,
    /// The cause, as reported by the library or the peer.
    pub cause: String,
}

impl StepError {
    /// Builds the error from any printable peer and cause.
    pub fn new(step: &'static str, peer: impl fmt::Display, cause: impl fmt::Display) -> Self {
        Self {
            step,
            peer: PeerAddress(peer.to_string()),
            cause: cause.to_string(),
        }
    }
}

/// The text of an error and of all its sources, on one line. Libraries such as hyper put the cause
/// into the sources and not into the error's own text.
pub fn text_with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
