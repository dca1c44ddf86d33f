//! Datagrams with reports on leafs, on the membership's socket: membership's frame, under a version
//! of their own, around postcard-encoded reports.
//!
//! Invariants: encoding yields no more than a datagram holds; decoding arbitrary bytes never panics.

use tansylead_cluster::codec::{FRAME_HEADER_BYTES, MAXIMUM_PACKET_BYTES, PacketFrame};
use tansylead_route::LeafReport;

/// Version of such datagrams; membership's own have another.
const VERSION: u8 = 0x81;

/// Encodes and decodes reports of one cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportCodec {
    frame: PacketFrame,
}

impl ReportCodec {
    /// Codec for the cluster of this name.
    pub fn new(cluster: &str) -> Self {
        Self {
            frame: PacketFrame::new(VERSION, cluster),
        }
    }

    /// Datagrams that hold the reports; those that fit into none are left out.
    pub fn encode(&self, reports: &[LeafReport]) -> Vec<Vec<u8>> {
        let mut datagrams: Vec<Vec<u8>> = Vec::new();
        for report in reports {
            let Ok(bytes) = postcard::to_allocvec(report) else {
                continue;
            };
            if FRAME_HEADER_BYTES + bytes.len() > MAXIMUM_PACKET_BYTES {
                continue;
            }
            let has_room =
                |datagram: &Vec<u8>| datagram.len() + bytes.len() <= MAXIMUM_PACKET_BYTES;
            match datagrams.last_mut().filter(|datagram| has_room(datagram)) {
                Some(datagram) => datagram.extend_from_slice(&bytes),
                None => {
                    let mut datagram = self.frame.begin();
                    datagram.extend_from_slice(&bytes);
                    datagrams.push(datagram);
                }
            }
        }
        datagrams
    }

    /// The reports of a datagram; none if it is of another kind or cluster. What cannot be read
    /// ends the reports.
    pub fn decode(&self, bytes: &[u8]) -> Option<Vec<LeafReport>> {
        let mut rest = self.frame.contents(bytes).ok()?;
        let mut reports = Vec::new();
        while let Ok((report, after)) = postcard::take_from_bytes(rest) {
            reports.push(report);
            rest = after;
        }
        Some(reports)
    }
}
