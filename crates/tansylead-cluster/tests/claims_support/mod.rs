//! Identifiers shared by the tests of claims.

use tansylead_cluster::claims::ClaimKey;
use tansylead_types::{ClaimViewMember, InstanceId, NodeId};

pub fn instance(node: u16, boot: u64) -> InstanceId {
    InstanceId {
        node: NodeId(([10, 0, 0, 1], 7_000 + node).into()),
        boot,
    }
}

pub fn member(node: u16, boot: u64, place: u16, zone: u16) -> ClaimViewMember {
    ClaimViewMember {
        instance: instance(node, boot),
        place: format!("place-{place}").parse().expect("valid"),
        zone: format!("zone-{zone}").parse().expect("valid"),
    }
}

pub fn key(name: &str) -> ClaimKey {
    ClaimKey {
        service: "payments".parse().expect("valid"),
        key: name.parse().expect("valid"),
    }
}
