//! Observations that callers and leafs report to the oracle.

use std::time::Instant;

/// One request run by a leaf.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Service of the leaf.
    pub service: String,
    /// Id of the leaf.
    pub leaf: String,
    /// Software version of the leaf.
    pub version: String,
    /// Zone of the leaf.
    pub zone: String,
    /// Status the leaf answered with.
    pub status: u16,
    /// Body the leaf answered with.
    pub body: Vec<u8>,
    /// When it ran.
    pub at: Instant,
}

/// An answer as its caller sees it.
#[derive(Debug, Clone)]
pub struct SeenAnswer {
    /// Status.
    pub status: u16,
    /// The leaf's signature.
    pub signature: Option<String>,
    /// Signatures of the parts of a merged answer.
    pub parts: Option<Vec<String>>,
    /// Number of shards that the answer reports as missing.
    pub missing: usize,
    /// Body.
    pub body: Vec<u8>,
}

/// How a caller's request ended.
#[derive(Debug, Clone)]
pub enum CallerEnd {
    /// With an answer.
    Answer(SeenAnswer),
    /// Without an answer: the connection ended or the caller timed out.
    NoAnswer,
}
