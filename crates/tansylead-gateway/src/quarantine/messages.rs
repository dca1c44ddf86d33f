//! What daemons send one another about requests under which leafs end.

use crate::cluster::{DatagramCodec, DatagramMessage};
use serde::{Deserialize, Serialize};
use tansylead_route::{QuarantineRecord, RequestFingerprint};

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// What the sender holds of one request.
    Record(QuarantineRecord),
    /// The sender begins to try a suspect, named by its path.
    Trial(RequestFingerprint),
    /// What the sender holds of all, as a hash. One that holds something else answers with its records.
    Digest(TableDigest),
}

/// What a daemon holds, as a hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// The hash.
    pub hash: u64,
    /// Whether the sender knows what was quarantined before it started.
    pub is_complete: bool,
    /// Whether this answers another digest; then none comes back.
    pub is_reply: bool,
}

impl DatagramMessage for QuarantineMessage {
    const VERSION: u8 = 0x83;
}

/// Encodes and decodes messages about requests under which leafs end.
pub type QuarantineCodec = DatagramCodec<QuarantineMessage>;
