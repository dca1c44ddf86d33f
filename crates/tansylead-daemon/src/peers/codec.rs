//! Encoding of the frames between daemons.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame before the handshake is done.
pub(super) const MAXIMUM_HELLO_BYTES: usize = 4 * 1024;
/// Largest frame after it.
pub(super) const MAXIMUM_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The contents are malformed.
    #[error("malformed frame: {cause}")]
    Malformed {
        /// Error of the codec library.
        cause: String,
    },
    /// Bytes remain after the message.
    #[error("{bytes} bytes after the message")]
    TrailingBytes {
        /// How many.
        bytes: usize,
    },
}

/// Encodes a message as the contents of a frame.
pub fn encode_message<T: Serialize>(message: &T) -> Result<Bytes, FrameError> {
    let encoded = postcard::to_stdvec(message).map(Bytes::from);
    encoded.map_err(|cause| FrameError::Malformed {
        cause: cause.to_string(),
    })
}

/// Decodes the message in the contents of a frame.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let decoded = postcard::take_from_bytes(bytes);
    let (message, rest) = decoded.map_err(|cause| FrameError::Malformed {
        cause: cause.to_string(),
    })?;
    if rest.is_empty() {
        return Ok(message);
    }
    Err(FrameError::TrailingBytes { bytes: rest.len() })
}

/// The framing of a connection whose handshake is not done.
pub(super) fn hello_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAXIMUM_HELLO_BYTES)
        .new_codec()
}
