//! Kinds of datagrams on the membership's socket.

use std::collections::BTreeSet;
use tansylead_gateway::cluster::DatagramMessage;
use tansylead_gateway::quarantine::QuarantineMessage;
use tansylead_gateway::roll_out::RollOutMessage;
use tansylead_route::LeafReport;

/// Guards against messages that are decoded as another kind and lost.
#[test]
fn each_kind_of_datagram_has_a_version_of_its_own() {
    let versions = [
        QuarantineMessage::VERSION,
        RollOutMessage::VERSION,
        LeafReport::VERSION,
    ];
    let distinct: BTreeSet<u8> = versions.into_iter().collect();
    assert_eq!(distinct.len(), versions.len(), "{versions:?}");
}
