//! Messages of the long poll between daemons: postcard in length-delimited frames over TCP.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_route::{Configuration, DirectoryDelta, Revision};
use tansylead_types::StepError;
use tokio_util::bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes.
const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// What the asking daemon holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct FeedRequest {
    /// Name of the deployment; requests of others are not answered.
    pub(super) cluster: String,
    /// Version of the configuration.
    pub(super) version: Option<u64>,
    /// Revision of the leaf directory.
    pub(super) revision: Option<Revision>,
    /// Whether a whole directory is wanted where changes do not reach back far enough.
    pub(super) wants_whole_directory: bool,
    /// The answer may wait this long for news.
    pub(super) wait_millis: u32,
}

/// What is newer, and how old the word is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct FeedReply {
    /// A newer configuration.
    pub(super) configuration: Option<Configuration>,
    /// What the asking daemon's directory lacks.
    pub(super) directory: Option<DirectoryDelta>,
    /// Version held by the answering daemon.
    pub(super) version: Option<u64>,
    /// Revision held by the answering daemon.
    pub(super) revision: Option<Revision>,
    /// Time since the answering daemon's configuration was known to be current.
    pub(super) configuration_age_millis: Option<u32>,
    /// Time since the answering daemon's directory was known to be current.
    pub(super) leafs_age_millis: Option<u32>,
}

/// Framing of the connection.
pub(super) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAXIMUM_FRAME_BYTES)
        .new_codec()
}

/// Bytes of a message.
pub(super) fn encode<T: Serialize>(message: &T, peer: &str) -> Result<Bytes, StepError> {
    let encoded = postcard::to_stdvec(message);
    let bytes = encoded.map_err(|cause| StepError::new("encode feed message", peer, cause))?;
    Ok(Bytes::from(bytes))
}

/// The message in these bytes.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8], peer: &str) -> Result<T, StepError> {
    postcard::from_bytes(bytes).map_err(|cause| StepError::new("decode feed message", peer, cause))
}

/// Milliseconds of an age, for a message.
pub(super) fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
