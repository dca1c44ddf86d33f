//! Messages between daemons about requests under which leafs end.

use crate::cluster::{DatagramCodec, DatagramMessage};
use serde::{Deserialize, Serialize};
use tansylead_route::{QuarantineRecord, RequestFingerprint};

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// The sender's record of one request.
    Record(QuarantineRecord),
    /// The sender begins a trial of a suspect, identified by the fingerprint of its path.
    Trial(RequestFingerprint),
    /// Hash of all the sender's records. A daemon with other records answers with its own.
    Digest(TableDigest),
}

/// Hash of a daemon's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// The hash.
    pub hash: u64,
    /// Whether the sender knows what was quarantined before it started.
    pub is_complete: bool,
    /// Whether this answers another digest; a reply is not answered with a digest.
    pub is_reply: bool,
}

impl DatagramMessage for QuarantineMessage {
    const VERSION: u8 = 0x85;
}

/// Encodes and decodes messages about requests under which leafs end.
pub type QuarantineCodec = DatagramCodec<QuarantineMessage>;
