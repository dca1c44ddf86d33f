//! Serving sets: the few daemons of a place that are roots of a service there.
//!
//! Owns the number of roots (from configuration alone) and their selection (rendezvous hashing
//! over the live members of the place). Invariants:
//! - the number of slots never depends on membership, so each slot stands for a fixed part of the
//!   table's limit;
//! - slots x connections per root x [`MEMBERSHIP_VIEWS`] stays under every leaf's connection limit;
//! - with at least two slots and two zones the roots are never all in one zone;
//! - equal inputs, in any order, give equal sets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use tansylead_types::{LeafDescriptor, NodeId, PlaceName, ServiceName, ServicePlacement, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Views of membership that may be in use at once while a change spreads.
pub const MEMBERSHIP_VIEWS: u32 = 2;
/// Connections of each leaf left to health polls and people.
pub const RESERVED_CONNECTIONS: u32 = 4;
/// Fewest roots of a service in a place, where the leafs' connection limits allow it.
pub const MINIMUM_ROOTS: u32 = 2;
/// Most roots of a service in a place; sharing a limit among more costs more than it carries.
pub const MAXIMUM_ROOTS: u32 = 15;
/// Leaf attempts per second that one root is planned to carry for one service.
pub const ROOT_ATTEMPTS_PER_SECOND: u64 = 10_000;

/// A daemon that may become a root.
///
/// The caller passes members that are alive **or suspected**: a suspicion is often refuted, and
/// removing a root for it would move its slot twice. Members that are leaving are left out at
/// once, dead ones when their death is confirmed.
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
    /// Owner of each slot. Its length is the plan's `root_count`, or 0 without any member. A node
    /// owns more than one slot only if the place has fewer members than slots.
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

/// Number of roots and connections from configuration alone. `table_limit` is the largest limit
/// of any hour for this service and place, so that the plan does not change with the hour.
pub fn serving_plan(placement: &ServicePlacement, table_limit: u32) -> ServingPlan {
    let usable = usable_connections(placement);
    let slots = placement.leafs.iter().map(|leaf| leaf.slots).max();
    let slots = slots.unwrap_or(1).max(1);
    let demanded = demanded_roots(placement, table_limit);
    let affordable_for_demand = usable / slots;
    let root_count = demanded
        .min(affordable_for_demand)
        .max(MINIMUM_ROOTS)
        .min(usable);
    let affordable_each = usable.checked_div(root_count).unwrap_or(0);
    ServingPlan {
        root_count,
        connections_per_root: affordable_each.min(slots.saturating_mul(2)),
    }
}

/// The roots of `service` in `place`: see the module's invariants and [`Candidate`].
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
        roots: select_roots(service, place, plan.root_count, &members),
        connections_per_root: plan.connections_per_root,
    }
}

/// Connections that all roots of one view may open to the leaf with the fewest.
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

/// Roots that the attempts of `table_limit` queries per second need.
fn demanded_roots(placement: &ServicePlacement, table_limit: u32) -> u32 {
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

fn members_of_place<'a>(
    place: &PlaceName,
    members: &'a [Candidate],
) -> BTreeMap<NodeId, &'a ZoneName> {
    members
        .iter()
        .filter(|member| member.place == *place)
        .map(|member| (member.node, &member.zone))
        .collect()
}

/// Fills the slots in order. Each slot ranks all members by its own hash and takes the first one
/// that owns no slot yet and whose zone is below its quota; where there is none, the quota is
/// dropped, and then the rule of one slot for each member.
fn select_roots(
    service: &ServiceName,
    place: &PlaceName,
    root_count: u32,
    members: &BTreeMap<NodeId, &ZoneName>,
) -> Vec<NodeId> {
    let zones: BTreeSet<&ZoneName> = members.values().copied().collect();
    let zone_quota = root_count.div_ceil(zones.len().max(1) as u32);
    let mut roots = Vec::new();
    let mut used_by_zone: BTreeMap<&ZoneName, u32> = BTreeMap::new();
    for slot in 0..root_count {
        let ranking = rank(slot_seed(service, place, slot), members);
        let is_free = |node: &NodeId| !roots.contains(node);
        let has_quota = |node: &NodeId| {
            let used = used_by_zone.get(members[node]).copied();
            used.unwrap_or(0) < zone_quota
        };
        let preferred = ranking
            .iter()
            .find(|node| is_free(node) && has_quota(node))
            .or_else(|| ranking.iter().find(|node| is_free(node)))
            .or_else(|| ranking.first());
        if let Some(&node) = preferred {
            roots.push(node);
            *used_by_zone.entry(members[&node]).or_default() += 1;
        }
    }
    roots
}

fn rank(seed: u64, members: &BTreeMap<NodeId, &ZoneName>) -> Vec<NodeId> {
    let mut scored: Vec<(u64, NodeId)> = members
        .keys()
        .map(|&node| (xxh3_64_with_seed(&node_bytes(node), seed), node))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().map(|(_, node)| node).collect()
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
