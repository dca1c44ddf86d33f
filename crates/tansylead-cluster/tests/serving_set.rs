//! Serving sets: connection limits, zones, determinism, and few slots moved when a member leaves.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use tansylead_cluster::routing::{Candidate, ServingSet, serving_plan, serving_set};
use tansylead_types::{
    LeafDescriptor, NodeId, PlaceName, ServiceName, ServicePlacement, ShardReplicas, Snapshot,
    SnapshotVersion, ZoneName,
};

const OWN_PLACE: &str = "bangkok";
const RESERVED_CONNECTIONS: u32 = 4;
const MEMBERSHIP_VIEWS: u32 = 2;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn placement(shards: usize, slots: u32, connections: &[u32]) -> ServicePlacement {
    let leaf = |(number, &maximum_connections): (usize, &u32)| LeafDescriptor {
        leaf: format!("leaf-{number}").parse().expect("name"),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: ZoneName::new("a").expect("name"),
        slots,
        maximum_connections,
    };
    let shard = |number: usize| ShardReplicas {
        shard: format!("shard-{number}").parse().expect("name"),
        replicas: Vec::new(),
    };
    ServicePlacement {
        service: ServiceName::new("screening").expect("name"),
        place: PlaceName::new(OWN_PLACE).expect("name"),
        leafs: connections.iter().enumerate().map(leaf).collect(),
        snapshots: vec![Snapshot {
            version: SnapshotVersion(1),
            shards: (0..shards).map(shard).collect(),
        }],
    }
}

fn member(number: u16, place: &str, zone: u8) -> Candidate {
    Candidate {
        node: NodeId(([10, 0, 0, 1], number).into()),
        place: PlaceName::new(place).expect("name"),
        zone: ZoneName::new(format!("zone-{zone}")).expect("name"),
    }
}

fn set_of(
    service: usize,
    placement: &ServicePlacement,
    limit: u32,
    members: &[Candidate],
) -> ServingSet {
    let service = ServiceName::new(format!("service-{service}")).expect("name");
    let place = PlaceName::new(OWN_PLACE).expect("name");
    serving_set(&service, &place, placement, limit, members)
}

fn zones_of(nodes: &BTreeSet<NodeId>, members: &[Candidate]) -> usize {
    let chosen = members.iter().filter(|member| nodes.contains(&member.node));
    chosen
        .map(|member| &member.zone)
        .collect::<BTreeSet<_>>()
        .len()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_for_any_members_and_leafs(
        zones in proptest::collection::vec((0u8..4, any::<bool>()), 0..30),
        connections in proptest::collection::vec(0u32..130, 1..6),
        (shards, slots, limit) in (1usize..60, 1u32..6, 0u32..5_000),
        seed in any::<u64>(),
    ) {
        let place = |own: bool| if own { OWN_PLACE } else { "phuket" };
        let members: Vec<Candidate> = (1u16..)
            .zip(&zones)
            .map(|(number, &(zone, own))| member(number, place(own), zone))
            .collect();
        let local: Vec<Candidate> =
            members.iter().filter(|member| member.place.as_str() == OWN_PLACE).cloned().collect();
        let placement = placement(shards, slots, &connections);
        let plan = serving_plan(&placement, limit);
        let set = set_of(1, &placement, limit, &members);
        let roots = set.distinct_roots();

        for &maximum in &connections {
            let opened = plan.root_count * set.connections_per_root * MEMBERSHIP_VIEWS;
            prop_assert!(opened <= maximum.saturating_sub(RESERVED_CONNECTIONS));
        }
        if connections.iter().all(|&maximum| maximum >= 65) {
            prop_assert!(plan.root_count >= 2 && plan.connections_per_root >= slots);
        }
        let expected = if local.is_empty() { 0 } else { plan.root_count as usize };
        prop_assert_eq!(set.roots.len(), expected);
        prop_assert_eq!(roots.len(), expected.min(local.len()));
        prop_assert!(roots.iter().all(|node| local.iter().any(|member| member.node == *node)));
        let all: BTreeSet<NodeId> = local.iter().map(|member| member.node).collect();
        let zones_available = zones_of(&all, &local);
        prop_assert!(zones_of(&roots, &local) >= zones_available.min(2).min(expected));

        let mut shuffled = members.clone();
        shuffled.sort_by_key(|member| u64::from(member.node.0.port()).wrapping_mul(seed | 1));
        prop_assert_eq!(set_of(1, &placement, limit, &shuffled), set);
    }
}

/// Share of (service, slot) assignments that move when one of N members leaves, as a multiple of
/// 1/N.
fn share_moved(select: impl Fn(usize, &[Candidate]) -> Vec<NodeId>, size: u16, zones: u8) -> f64 {
    const SERVICES: usize = 60;
    let members: Vec<Candidate> = (0..size)
        .map(|number| member(number + 1, OWN_PLACE, (number % u16::from(zones)) as u8))
        .collect();
    let (mut moved, mut total) = (0, 0);
    for removed in 0..members.len() {
        let mut remaining = members.clone();
        remaining.remove(removed);
        for service in 0..SERVICES {
            let before = select(service, &members);
            let after = select(service, &remaining);
            let differs = |(old, new): &(&NodeId, &NodeId)| old != new;
            moved += before.iter().zip(&after).filter(differs).count();
            total += before.len();
        }
    }
    f64::from(size) * moved as f64 / total as f64
}

#[test]
fn about_one_in_n_assignments_moves_when_one_of_n_leaves() {
    for (size, zones, limit) in [(12, 3, 100), (40, 3, 100), (40, 1, 100), (40, 3, 2_000)] {
        let placement = placement(26, 4, &[75]);
        let select = |service: usize, members: &[Candidate]| {
            set_of(service, &placement, limit, members).roots
        };
        let moved = share_moved(select, size, zones);
        println!("members {size}, zones {zones}, limit {limit}: moved {moved:.2} / N");
        // One in N must move, plus a few slots in the same zone.
        assert!((0.9..1.3).contains(&moved), "{moved:.2} / N");
    }
}

#[test]
fn the_measure_finds_a_choice_that_moves_too_much() {
    let by_remainder = |service: usize, members: &[Candidate]| {
        let owner = |slot: usize| members[(service * 7 + slot) % members.len()].node;
        (0..2).map(owner).collect()
    };
    assert!(share_moved(by_remainder, 40, 3) > 10.0);
}

/// Members of three zones: 12 in each of the first two and `in_last` in the last.
fn three_zones(in_last: u16) -> Vec<Candidate> {
    let full = (0..24).map(|number| member(number + 1, OWN_PLACE, (number % 2) as u8));
    let last = (0..in_last).map(|number| member(number + 101, OWN_PLACE, 2));
    full.chain(last).collect()
}

#[test]
fn a_lost_member_or_zone_moves_no_slot_of_another_zone() {
    let mut placement = placement(26, 4, &[75, 75, 75]);
    for (zone, leaf) in placement.leafs.iter_mut().enumerate() {
        leaf.zone = ZoneName::new(format!("zone-{zone}")).expect("name");
    }
    let members = three_zones(12);
    let zone_of = |node: &NodeId| {
        members
            .iter()
            .find(|member| member.node == *node)
            .map(|member| &member.zone)
    };
    let mut moved_elsewhere = 0;
    for service in 0..100 {
        let before = set_of(service, &placement, 100, &members).roots;
        let without_one = members.iter().map(|removed| {
            let remaining = members.iter().filter(|member| *member != removed);
            (&removed.zone, remaining.cloned().collect::<Vec<_>>())
        });
        let last_zone = &members[members.len() - 1].zone;
        let without_zone = members
            .iter()
            .filter(|member| member.zone != *last_zone)
            .cloned()
            .collect();
        for (zone, remaining) in without_one.chain([(last_zone, without_zone)]) {
            let after = set_of(service, &placement, 100, &remaining).roots;
            let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
            moved_elsewhere += moved.filter(|(old, _)| zone_of(old) != Some(zone)).count();
        }
    }
    assert_eq!(moved_elsewhere, 0);
}

#[test]
fn the_first_member_of_a_zone_that_is_back_is_root_of_few_services() {
    const SERVICES: usize = 400;
    let placement = placement(26, 4, &[75]);
    let slots_of_last = |members: &[Candidate]| {
        let last = members[members.len() - 1].node;
        let sets = (0..SERVICES).map(|service| set_of(service, &placement, 100, members));
        sets.filter(|set| set.contains(last)).count()
    };
    let first_back = slots_of_last(&three_zones(1));
    let all_back = slots_of_last(&three_zones(12));
    println!(
        "of {SERVICES} services: {first_back} when alone in its zone, {all_back} when all are back"
    );
    assert!(
        first_back < 4 * all_back.max(SERVICES / 36),
        "{first_back} of {SERVICES}, {all_back}"
    );
}
