//! Datagrams with reports on leafs.

use super::datagram_codec::{DatagramCodec, DatagramMessage};
use tansylead_route::LeafReport;

impl DatagramMessage for LeafReport {
    const VERSION: u8 = 0x84;
}

/// Encodes and decodes reports on leafs.
pub type ReportCodec = DatagramCodec<LeafReport>;
