//! The packet codec on valid, damaged and arbitrary bytes.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tansylead_cluster::codec::{GossipCodec, MAXIMUM_PACKET_BYTES, PROTOCOL_VERSION, PacketError};
use tansylead_cluster::membership::*;
use tansylead_types::{InstanceId, NodeId, PlaceName, ZoneName};

const CLUSTER: &str = "registry";

fn record(address: &str) -> MemberRecord {
    let address = address.parse().unwrap();
    MemberRecord {
        instance: InstanceId {
            node: NodeId(address),
            boot: 1_796_000_000_000_000,
        },
        incarnation: 3,
        place: PlaceName::new("bangkok").unwrap(),
        zone: ZoneName::new("bangkok-1").unwrap(),
        caller_address: address,
        capacity: Capacity::CORE,
        state: MemberState::Suspect,
    }
}

fn packet(message: GossipMessage) -> GossipPacket {
    GossipPacket {
        sender: record("10.0.0.1:7000"),
        config: ConfigDigest {
            revision: 12,
            hash: u64::MAX,
        },
        members_hash: u64::MAX,
        message,
        updates: vec![record("10.0.0.2:7000"), record("[fd00::3]:7000")],
    }
}

fn messages() -> Vec<GossipMessage> {
    let place = PlaceName::new("bangkok").unwrap();
    let node = record("10.0.0.9:7000").node();
    let sequence = Sequence(7);
    vec![
        GossipMessage::Ping(sequence),
        GossipMessage::Ack(sequence),
        GossipMessage::PingRequest {
            sequence,
            target: node,
        },
        GossipMessage::SummaryRequest,
        GossipMessage::Summary {
            joined: true,
            places: vec![PlaceSummary {
                place: place.clone(),
                hash: 5,
            }],
        },
        GossipMessage::PageRequest {
            place: place.clone(),
            after: Some(node),
        },
        GossipMessage::Page(MemberPage {
            place,
            zones: vec![ZoneName::new("bangkok-1").unwrap()],
            members: Vec::new(),
            next: None,
        }),
        GossipMessage::Gossip,
        GossipMessage::Announce,
        GossipMessage::RevisionQuery(sequence),
        GossipMessage::RevisionReply(sequence),
    ]
}

#[test]
fn every_message_survives_a_round_trip() {
    let codec = GossipCodec::new(CLUSTER);
    for message in messages() {
        let packet = packet(message);
        let bytes = codec.encode(&packet).unwrap();
        assert_eq!(codec.decode(&bytes), Ok(packet));
    }
}

#[test]
fn every_truncation_is_refused() {
    let codec = GossipCodec::new(CLUSTER);
    for message in messages() {
        let bytes = codec.encode(&packet(message)).unwrap();
        for length in 0..bytes.len() {
            assert!(codec.decode(&bytes[..length]).is_err(), "{length} bytes");
        }
    }
}

#[test]
fn foreign_and_oversized_packets_are_refused_by_kind() {
    let codec = GossipCodec::new(CLUSTER);
    let mut bytes = codec.encode(&packet(GossipMessage::Gossip)).unwrap();
    let other = GossipCodec::new("cooperative");
    assert_eq!(other.decode(&bytes), Err(PacketError::ForeignCluster));
    bytes.push(0);
    assert_eq!(
        codec.decode(&bytes),
        Err(PacketError::TrailingBytes { bytes: 1 })
    );
    bytes[0] = PROTOCOL_VERSION + 1;
    let version = PROTOCOL_VERSION + 1;
    assert_eq!(
        codec.decode(&bytes),
        Err(PacketError::ForeignVersion { version })
    );
    let bytes = MAXIMUM_PACKET_BYTES + 1;
    assert_eq!(
        codec.decode(&vec![0; bytes]),
        Err(PacketError::TooLong { bytes })
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_contents_never_panic(contents in proptest::collection::vec(any::<u8>(), 0..400)) {
        let codec = GossipCodec::new(CLUSTER);
        let _ = codec.decode(&contents);
        let mut framed = codec.encode(&packet(GossipMessage::Gossip)).unwrap();
        framed.truncate(tansylead_cluster::codec::FRAME_HEADER_BYTES);
        framed.extend(contents);
        let _ = codec.decode(&framed);
    }

    #[test]
    fn damaged_packets_never_panic(position in 0_usize..120, value in any::<u8>()) {
        let codec = GossipCodec::new(CLUSTER);
        for message in messages() {
            let mut bytes = codec.encode(&packet(message)).unwrap();
            let position = position % bytes.len();
            bytes[position] = value;
            let _ = codec.decode(&bytes);
        }
    }
}
