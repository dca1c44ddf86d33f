//! Serving sets: the few daemons of a place that are roots of a service there.
//!
//! The number of roots follows from configuration alone; rendezvous hashing over the live members
//! of the place selects them. Invariants:
//! - the number of slots never depends on membership, so each slot carries a fixed part of the
//!   table's limit;
//! - slots x connections per root x [`MEMBERSHIP_VIEWS`] stays under every leaf's connection limit;
//! - with at least two slots and two zones the roots are never all in one zone;
//! - losing a member or a zone moves no slot held by a member of another zone, except a slot that
//!   the member holds in place of a zone without members;
//! - equal inputs, in any order, give equal sets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use tansylead_types::{LeafDescriptor, NodeId, PlaceName, ServiceName, ServicePlacement, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of different membership views that may be in use at once while a change spreads.
pub const MEMBERSHIP_VIEWS: u32 = 2;
/// Connections of each leaf reserved for health polls and operators.
pub const RESERVED_CONNECTIONS: u32 = 4;
/// Fewest roots of a service in a place, where the leafs' connection limits allow it.
pub const MINIMUM_ROOTS: u32 = 2;
/// Most roots of a service in a place; sharing a limit among more costs more than the extra roots
/// carry.
pub const MAXIMUM_ROOTS: u32 = 15;
/// A zone with fewer members than the mean divided by this is small.
pub const SMALL_ZONE_DIVISOR: usize = 4;
/// Leaf attempts per second that one root is sized for, per service.
pub const ROOT_ATTEMPTS_PER_SECOND: u64 = 10_000;

/// A daemon that may become a root.
///
/// The caller passes members that are alive **or suspected**: a suspicion is often refuted, and
/// removing a root for it would move its slot twice. Leaving members are left out at once, failed
/// ones when the failure is confirmed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Candidate {
    /// The daemon.
    pub node: NodeId,
    /// Its place.
    pub place: PlaceName,
    /// Its zone.
    pub zone: ZoneName,
}

/// How many roots a service has in a place, and how many connections each may open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServingPlan {
    /// Slots of the serving set; 0 if a leaf's connection limit leaves no room for any root.
    pub root_count: u32,
    /// Most connections one root opens to any one leaf.
    pub connections_per_root: u32,
}

/// The roots of a service in a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingSet {
    /// Owner of each slot; `root_count` entries, or 0 if the place has no members. A node owns more
    /// than one slot only if the place has fewer members than slots.
    pub roots: Vec<NodeId>,
    /// Most connections one root opens to any one leaf, whatever number of slots it owns.
    pub connections_per_root: u32,
}

impl ServingSet {
    /// Whether the node is a root.
    pub fn contains(&self, node: NodeId) -> bool {
        self.roots.contains(&node)
    }

    /// The roots without repetition, ordered by address.
    pub fn distinct_roots(&self) -> BTreeSet<NodeId> {
        self.roots.iter().copied().collect()
    }
}

/// Number of roots and connections, from configuration alone. `table_limit` is the largest limit
/// of any hour for this service and place, so that the plan does not change with the hour.
pub fn serving_plan(placement: &ServicePlacement, table_limit: u32) -> ServingPlan {
    let usable = usable_connections(placement);
    let slots = placement.leafs.iter().map(|leaf| leaf.slots).max();
    let slots = slots.unwrap_or(1).max(1);
    let required = required_roots(placement, table_limit);
    let affordable_roots = usable / slots;
    let root_count = required
        .min(affordable_roots)
        .max(MINIMUM_ROOTS)
        .min(usable);
    let connections_each = usable.checked_div(root_count).unwrap_or(0);
    ServingPlan {
        root_count,
        connections_per_root: connections_each.min(slots.saturating_mul(2)),
    }
}

/// The roots of `service` in `place`: see the module's invariants and [`Candidate`]. The placement
/// is that of the same service and place.
pub fn serving_set(
    service: &ServiceName,
    place: &PlaceName,
    placement: &ServicePlacement,
    table_limit: u32,
    members: &[Candidate],
) -> ServingSet {
    let plan = serving_plan(placement, table_limit);
    let members = members_of_place(place, members);
    ServingSet {
        roots: select_roots(service, place, placement, plan.root_count, &members),
        connections_per_root: plan.connections_per_root,
    }
}

/// Connections that all roots of one membership view together may open to the leaf with the
/// lowest limit.
fn usable_connections(placement: &ServicePlacement) -> u32 {
    let usable = |leaf: &LeafDescriptor| {
        let unreserved = leaf
            .maximum_connections
            .saturating_sub(RESERVED_CONNECTIONS);
        unreserved / MEMBERSHIP_VIEWS
    };
    placement
        .leafs
        .iter()
        .map(usable)
        .min()
        .unwrap_or(MAXIMUM_ROOTS)
}

/// Roots needed to carry the attempts of `table_limit` queries per second.
fn required_roots(placement: &ServicePlacement, table_limit: u32) -> u32 {
    let shards = placement
        .snapshots
        .iter()
        .map(|snapshot| snapshot.shards.len());
    let shards = shards.max().unwrap_or(0) as u64;
    let attempts = u64::from(table_limit).saturating_mul(shards);
    let roots = attempts.div_ceil(ROOT_ATTEMPTS_PER_SECOND);
    u32::try_from(roots)
        .unwrap_or(MAXIMUM_ROOTS)
        .min(MAXIMUM_ROOTS)
}

/// Members of one place with their zones.
type Members<'a> = BTreeMap<NodeId, &'a ZoneName>;

fn members_of_place<'a>(place: &PlaceName, members: &'a [Candidate]) -> Members<'a> {
    members
        .iter()
        .filter(|member| member.place == *place)
        .map(|member| (member.node, &member.zone))
        .collect()
}

/// Zones in the order in which slots are bound to them. The zones of leafs come from configuration,
/// so the order does not change when a zone loses all its members.
fn zones_in_order<'a>(
    service: &ServiceName,
    place: &PlaceName,
    placement: &'a ServicePlacement,
    members: &Members<'a>,
) -> Vec<&'a ZoneName> {
    let leaf_zones = placement.leafs.iter().map(|leaf| &leaf.zone);
    let zones: BTreeSet<&ZoneName> = leaf_zones.chain(members.values().copied()).collect();
    let mut zones: Vec<&ZoneName> = zones.into_iter().collect();
    zones.sort_by_key(|zone| xxh3_64(format!("{service}/{place}/{zone}").as_bytes()));
    zones
}

/// Fills the slots. First the slots are bound to zones in turn, and each takes a member of its
/// zone, so the loss of a member or a zone moves no slot of another zone. Slots whose zone has no
/// members, or far fewer than others, then take any member, preferring unused zones.
fn select_roots(
    service: &ServiceName,
    place: &PlaceName,
    placement: &ServicePlacement,
    root_count: u32,
    members: &Members<'_>,
) -> Vec<NodeId> {
    let zones = zones_in_order(service, place, placement, members);
    let large_zones = large_zones(members);
    let mut slots: Vec<Option<NodeId>> = Vec::new();
    for (slot, zone) in (0..root_count).zip(zones.iter().cycle()) {
        let in_zone = |node: &NodeId| large_zones.contains(zone) && members[node] == *zone;
        let seed = slot_seed(service, place, slot);
        let is_free = |node: &NodeId| !slots.contains(&Some(*node));
        let chosen = highest_scoring(seed, members, |node| in_zone(node) && is_free(node));
        slots.push(chosen);
    }
    for slot in 0..slots.len() {
        if slots[slot].is_some() {
            continue;
        }
        let seed = slot_seed(service, place, slot as u32);
        let is_free = |node: &NodeId| !slots.contains(&Some(*node));
        let used: BTreeSet<&ZoneName> = slots.iter().flatten().map(|node| members[node]).collect();
        let in_unused_zone = |node: &NodeId| !used.contains(members[node]);
        slots[slot] = highest_scoring(seed, members, in_unused_zone)
            .or_else(|| highest_scoring(seed, members, is_free))
            .or_else(|| highest_scoring(seed, members, |_| true));
    }
    slots.into_iter().flatten().collect()
}

/// Zones with enough members to fill all slots of a zone. After the loss of a zone, the first
/// member to return must not become root of all the zone's services.
fn large_zones<'a>(members: &Members<'a>) -> BTreeSet<&'a ZoneName> {
    let mut sizes: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    for zone in members.values() {
        *sizes.entry(zone).or_default() += 1;
    }
    let zones = sizes.len();
    let is_large = |size: usize| size * zones * SMALL_ZONE_DIVISOR >= members.len();
    let large = sizes.into_iter().filter(|(_, size)| is_large(*size));
    large.map(|(zone, _)| zone).collect()
}

/// The eligible member with the highest hash.
fn highest_scoring(
    seed: u64,
    members: &Members<'_>,
    is_eligible: impl Fn(&NodeId) -> bool,
) -> Option<NodeId> {
    let eligible = members.keys().copied().filter(is_eligible);
    eligible.max_by_key(|&node| (xxh3_64_with_seed(&node_bytes(node), seed), node))
}

fn slot_seed(service: &ServiceName, place: &PlaceName, slot: u32) -> u64 {
    // A name holds no `/`, so the text is unambiguous.
    xxh3_64(format!("{service}/{place}/{slot}").as_bytes())
}

fn node_bytes(node: NodeId) -> [u8; 18] {
    let address = match node.0.ip() {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    };
    let mut bytes = [0; 18];
    bytes[..16].copy_from_slice(&address.octets());
    bytes[16..].copy_from_slice(&node.0.port().to_be_bytes());
    bytes
}
