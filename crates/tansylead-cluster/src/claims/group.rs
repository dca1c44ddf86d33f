//! Which members of a view decide about a key: a group of three chosen by rendezvous hashing, in
//! different places or zones as far as the view has them.

use super::message::ClaimKey;
use std::net::SocketAddr;
use tansylead_types::{ClaimViewMember, InstanceId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of members that decide about one key.
pub const GROUP_SIZE: usize = 3;

/// Grants needed among `members` members.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Number of sealed members of a group that make a majority of grants impossible. Any such set
/// intersects every majority, so together they know every claim that a majority granted.
pub fn seal_quorum(members: usize) -> usize {
    members + 1 - majority(members)
}

/// The group of a key, the same on every daemon that holds the same view.
pub fn claim_group<'a>(members: &'a [ClaimViewMember], key: &ClaimKey) -> Vec<&'a ClaimViewMember> {
    let key_hash = hash_key(key);
    let mut ranked: Vec<(u64, &ClaimViewMember)> = members
        .iter()
        .map(|member| (hash_instance(member.instance, key_hash), member))
        .collect();
    ranked.sort_by(|left, right| right.cmp(left));
    let mut group: Vec<&ClaimViewMember> = Vec::with_capacity(GROUP_SIZE);
    while group.len() < GROUP_SIZE && !ranked.is_empty() {
        let position = next_position(&ranked, &group);
        group.push(ranked.remove(position).1);
    }
    group
}

/// Position of the highest ranked candidate in an unused place, else in an unused zone, else of
/// the highest ranked of all.
fn next_position(ranked: &[(u64, &ClaimViewMember)], group: &[&ClaimViewMember]) -> usize {
    let is_in_new_place =
        |member: &ClaimViewMember| group.iter().all(|chosen| chosen.place != member.place);
    let is_in_new_zone = |member: &ClaimViewMember| {
        group
            .iter()
            .all(|chosen| chosen.place != member.place || chosen.zone != member.zone)
    };
    ranked
        .iter()
        .position(|(_, member)| is_in_new_place(member))
        .or_else(|| ranked.iter().position(|(_, member)| is_in_new_zone(member)))
        .unwrap_or(0)
}

fn hash_key(key: &ClaimKey) -> u64 {
    xxh3_64_with_seed(
        key.key.as_str().as_bytes(),
        xxh3_64(key.service.as_str().as_bytes()),
    )
}

/// Hash of an instance under a seed.
pub(super) fn hash_instance(instance: InstanceId, seed: u64) -> u64 {
    let mut bytes = [0_u8; 26];
    match instance.node.0 {
        SocketAddr::V4(address) => bytes[..4].copy_from_slice(&address.ip().octets()),
        SocketAddr::V6(address) => bytes[..16].copy_from_slice(&address.ip().octets()),
    }
    bytes[16..18].copy_from_slice(&instance.node.0.port().to_le_bytes());
    bytes[18..].copy_from_slice(&instance.boot.to_le_bytes());
    xxh3_64_with_seed(&bytes, seed)
}
