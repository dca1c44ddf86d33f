//! Datagrams with reports on leafs, on the membership's socket: a frame of format and cluster hash
//! around postcard-encoded reports.
//!
//! Invariants: encoding yields no more than a datagram holds; decoding arbitrary bytes never panics.

use tansylead_cluster::codec::MAXIMUM_PACKET_BYTES;
use tansylead_route::LeafReport;
use xxhash_rust::xxh3::xxh3_64;

/// First byte of such a datagram; membership's own begin with its protocol version.
const FORMAT: u8 = 0x81;
const HASH_BYTES: usize = 8;
const HEADER_BYTES: usize = 1 + HASH_BYTES;

/// Encodes and decodes reports of one cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportCodec {
    cluster_hash: u64,
}

impl ReportCodec {
    /// Codec for the cluster of this name.
    pub fn new(cluster: &str) -> Self {
        Self {
            cluster_hash: xxh3_64(cluster.as_bytes()),
        }
    }

    /// Datagrams that hold the reports; those that fit into none are left out.
    pub fn encode(&self, reports: &[LeafReport]) -> Vec<Vec<u8>> {
        let mut datagrams: Vec<Vec<u8>> = Vec::new();
        for report in reports {
            let Ok(bytes) = postcard::to_allocvec(report) else {
                continue;
            };
            let has_room =
                |datagram: &&mut Vec<u8>| datagram.len() + bytes.len() <= MAXIMUM_PACKET_BYTES;
            match datagrams.last_mut().filter(has_room) {
                Some(datagram) => datagram.extend_from_slice(&bytes),
                None if HEADER_BYTES + bytes.len() <= MAXIMUM_PACKET_BYTES => {
                    let mut datagram = self.header();
                    datagram.extend_from_slice(&bytes);
                    datagrams.push(datagram);
                }
                None => {}
            }
        }
        datagrams
    }

    /// The reports of a datagram; none if it is of another format or cluster. What cannot be read ends
    /// the reports.
    pub fn decode(&self, bytes: &[u8]) -> Option<Vec<LeafReport>> {
        let mut rest = bytes.strip_prefix(self.header().as_slice())?;
        let mut reports = Vec::new();
        while let Ok((report, after)) = postcard::take_from_bytes(rest) {
            reports.push(report);
            rest = after;
        }
        Some(reports)
    }

    fn header(&self) -> Vec<u8> {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        header.push(FORMAT);
        header.extend_from_slice(&self.cluster_hash.to_le_bytes());
        header
    }
}
