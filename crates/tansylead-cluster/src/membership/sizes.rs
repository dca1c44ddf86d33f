//! Encoded sizes of records, so that packets can be filled up to the size limit without encoding
//! them twice.

use super::member::MemberRecord;
use super::packet::PageMember;
use crate::codec::{FRAME_HEADER_BYTES, MAXIMUM_PACKET_BYTES};
use std::net::SocketAddr;

const VARIANT_BYTES: usize = 1;
const IPV4_BYTES: usize = 4;
const IPV6_BYTES: usize = 16;
const LONGEST_NUMBER_BYTES: usize = 10;
const LONGEST_ADDRESS_BYTES: usize = VARIANT_BYTES + IPV6_BYTES + 3;
const LENGTH_BYTES: usize = 2;

/// Upper bound of everything in a packet except the sender, names in the message and records: three
/// hashes or revisions, a message with two addresses, and lengths.
const FIXED_PACKET_BYTES: usize =
    3 * LONGEST_NUMBER_BYTES + VARIANT_BYTES + 2 * LONGEST_ADDRESS_BYTES + 3 * LENGTH_BYTES;

/// Bytes of a varint-encoded number.
fn number_bytes(number: u64) -> usize {
    const BITS_PER_BYTE: u32 = 7;
    let bits = u64::BITS - number.leading_zeros();
    bits.div_ceil(BITS_PER_BYTE).max(1) as usize
}

fn address_bytes(address: SocketAddr) -> usize {
    let ip_bytes = if address.is_ipv4() {
        IPV4_BYTES
    } else {
        IPV6_BYTES
    };
    VARIANT_BYTES + ip_bytes + number_bytes(u64::from(address.port()))
}

/// Bytes of an encoded name.
pub(super) fn name_bytes(name: &str) -> usize {
    number_bytes(name.len() as u64) + name.len()
}

/// Bytes of an encoded record.
pub(super) fn record_bytes(record: &MemberRecord) -> usize {
    address_bytes(record.instance.node.0)
        + number_bytes(record.instance.boot)
        + number_bytes(record.incarnation)
        + name_bytes(record.place.as_str())
        + name_bytes(record.zone.as_str())
        + address_bytes(record.caller_address)
        + number_bytes(u64::from(record.capacity.0))
        + VARIANT_BYTES
}

/// Bytes of an encoded member of a page.
pub(super) fn page_member_bytes(member: &PageMember) -> usize {
    address_bytes(member.instance.node.0)
        + number_bytes(member.instance.boot)
        + number_bytes(member.incarnation)
        + number_bytes(u64::from(member.zone))
        + address_bytes(member.caller_address)
        + number_bytes(u64::from(member.capacity.0))
        + VARIANT_BYTES
}

/// Bytes left for names and records in a packet of this sender.
pub(super) fn packet_budget(sender: &MemberRecord) -> usize {
    let used = FRAME_HEADER_BYTES + FIXED_PACKET_BYTES + record_bytes(sender);
    MAXIMUM_PACKET_BYTES.saturating_sub(used)
}
