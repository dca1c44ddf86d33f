//! Encoding of the UDP packets between daemons: a frame header (protocol version and cluster hash)
//! followed by a postcard-encoded [`GossipPacket`].
//!
//! Invariants: encoding never yields more than [`MAXIMUM_PACKET_BYTES`]; decoding arbitrary bytes
//! never panics; a packet of another cluster or protocol version is refused before its contents
//! are decoded.

use crate::membership::GossipPacket;
use xxhash_rust::xxh3::xxh3_64;

/// Largest UDP payload sent or accepted, in bytes: fits any path without IP fragmentation.
pub const MAXIMUM_PACKET_BYTES: usize = 1_200;

/// Version of the packet format; daemons of different versions do not exchange packets.
pub const PROTOCOL_VERSION: u8 = 1;

const VERSION_BYTES: usize = 1;
const CLUSTER_HASH_BYTES: usize = 8;

/// Size of the frame header in front of the packet contents.
pub const FRAME_HEADER_BYTES: usize = VERSION_BYTES + CLUSTER_HASH_BYTES;

/// The header in front of the contents of every packet: protocol version and cluster hash. Several
/// kinds of packet share a socket and are told apart by their versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketFrame {
    version: u8,
    cluster_hash: u64,
}

impl PacketFrame {
    /// Header for packets of this version in the cluster of this name.
    pub fn new(version: u8, cluster: &str) -> Self {
        Self {
            version,
            cluster_hash: xxh3_64(cluster.as_bytes()),
        }
    }

    /// A buffer that holds the header, with capacity for the largest packet.
    pub fn begin(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAXIMUM_PACKET_BYTES);
        bytes.push(self.version);
        bytes.extend_from_slice(&self.cluster_hash.to_le_bytes());
        bytes
    }

    /// Checks the header of a packet and returns the contents after it.
    pub fn contents<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], PacketError> {
        let truncated = PacketError::Truncated { bytes: bytes.len() };
        let (version, rest) = bytes.split_first().ok_or_else(|| truncated.clone())?;
        if *version != self.version {
            return Err(PacketError::ForeignVersion { version: *version });
        }
        let (cluster_hash, contents) = rest
            .split_first_chunk::<CLUSTER_HASH_BYTES>()
            .ok_or(truncated)?;
        if u64::from_le_bytes(*cluster_hash) != self.cluster_hash {
            return Err(PacketError::ForeignCluster);
        }
        Ok(contents)
    }
}

/// Why bytes were not accepted as a packet, or a packet could not be encoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// More bytes than a packet may have.
    #[error("packet of {bytes} bytes exceeds {MAXIMUM_PACKET_BYTES}")]
    TooLong {
        /// Size of the packet.
        bytes: usize,
    },
    /// Fewer bytes than the frame header.
    #[error("packet of {bytes} bytes is shorter than its frame header")]
    Truncated {
        /// Size of the packet.
        bytes: usize,
    },
    /// Another protocol version.
    #[error("packet has protocol version {version}, expected {PROTOCOL_VERSION}")]
    ForeignVersion {
        /// Version found.
        version: u8,
    },
    /// The sender belongs to a cluster of another name.
    #[error("packet belongs to another cluster")]
    ForeignCluster,
    /// The contents are not a packet.
    #[error("packet contents are malformed: {cause}")]
    Malformed {
        /// What the codec reported.
        cause: String,
    },
    /// Bytes remain after the packet.
    #[error("packet has {bytes} bytes after its contents")]
    TrailingBytes {
        /// Number of surplus bytes.
        bytes: usize,
    },
}

impl PacketError {
    /// Short constant name for the label of a metric.
    pub fn label(&self) -> &'static str {
        match self {
            PacketError::TooLong { .. } => "too_long",
            PacketError::Truncated { .. } => "truncated",
            PacketError::ForeignVersion { .. } => "foreign_version",
            PacketError::ForeignCluster => "foreign_cluster",
            PacketError::Malformed { .. } => "malformed",
            PacketError::TrailingBytes { .. } => "trailing_bytes",
        }
    }
}

/// Encodes and decodes the packets of one cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipCodec {
    frame: PacketFrame,
}

impl GossipCodec {
    /// Codec for the cluster of this name.
    pub fn new(cluster: &str) -> Self {
        Self {
            frame: PacketFrame::new(PROTOCOL_VERSION, cluster),
        }
    }

    /// Bytes of a packet, frame included.
    pub fn encode(&self, packet: &GossipPacket) -> Result<Vec<u8>, PacketError> {
        let bytes = postcard::to_extend(packet, self.frame.begin()).map_err(|error| {
            PacketError::Malformed {
                cause: error.to_string(),
            }
        })?;
        if bytes.len() > MAXIMUM_PACKET_BYTES {
            return Err(PacketError::TooLong { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// The packet in these bytes.
    pub fn decode(&self, bytes: &[u8]) -> Result<GossipPacket, PacketError> {
        if bytes.len() > MAXIMUM_PACKET_BYTES {
            return Err(PacketError::TooLong { bytes: bytes.len() });
        }
        let contents = self.frame.contents(bytes)?;
        let (packet, rest) =
            postcard::take_from_bytes(contents).map_err(|error| PacketError::Malformed {
                cause: error.to_string(),
            })?;
        if !rest.is_empty() {
            return Err(PacketError::TrailingBytes { bytes: rest.len() });
        }
        Ok(packet)
    }
}
