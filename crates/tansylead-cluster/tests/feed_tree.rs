//! The tree by which changes spread within a place.

use std::collections::{BTreeMap, BTreeSet};
use tansylead_cluster::membership::{Capacity, MemberRecord, MemberState};
use tansylead_cluster::spread::{FeedTree, ReaderRanking};
use tansylead_types::{InstanceId, NodeId, PlaceName, ZoneName};

const FAN_OUT: usize = 8;

fn member(number: u16) -> MemberRecord {
    let address = ([10, 0, (number / 200) as u8, 1], 1_000 + number % 200).into();
    MemberRecord {
        instance: InstanceId {
            node: NodeId(address),
            boot: 1,
        },
        incarnation: 1,
        place: PlaceName::new("north").expect("valid name"),
        zone: ZoneName::new("north").expect("valid name"),
        caller_address: address,
        capacity: Capacity::CORE,
        state: MemberState::Alive,
    }
}

fn tree(members: &[MemberRecord], readers: usize) -> FeedTree {
    let mut ranking = ReaderRanking::new(PlaceName::new("north").expect("valid name"));
    for member in members {
        ranking.update(member);
    }
    FeedTree::new(&ranking, readers, FAN_OUT)
}

fn members(count: u16) -> Vec<MemberRecord> {
    (0..count).map(member).collect()
}

/// Steps from a member to a reader; panics if there are more than the tree has members.
fn depth(tree: &FeedTree, member: NodeId, count: usize) -> usize {
    let mut current = member;
    for steps in 0..=count {
        match tree.sources(current).parent {
            None => return steps,
            Some(parent) => current = parent,
        }
    }
    panic!("parents of {member} form a cycle");
}

#[test]
fn every_member_reaches_a_reader_and_none_has_more_children_than_the_fan_out() {
    for (count, readers) in [
        (1, 1),
        (2, 1),
        (9, 3),
        (24, 2),
        (100, 1),
        (400, 1),
        (2_000, 3),
    ] {
        let members = members(count);
        let tree = tree(&members, readers);
        let expected_readers: BTreeSet<NodeId> = tree.readers().collect();
        assert_eq!(expected_readers.len(), readers.min(count.into()));
        let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
        for member in &members {
            let sources = tree.sources(member.node());
            assert_eq!(
                sources.parent.is_none(),
                expected_readers.contains(&member.node())
            );
            if let Some(parent) = sources.parent {
                *children.entry(parent).or_default() += 1;
                assert!(sources.upstream.contains(&parent));
            }
            assert!(!sources.upstream.contains(&member.node()));
        }
        assert!(children.values().all(|count| *count <= FAN_OUT));
    }
}

#[test]
fn the_depth_grows_with_the_logarithm_of_the_size() {
    for (count, expected_depth) in [(9, 1), (73, 2), (585, 3), (2_000, 4)] {
        let members = members(count);
        let tree = tree(&members, 1);
        let depths = members.iter();
        let deepest = depths.map(|member| depth(&tree, member.node(), members.len()));
        assert_eq!(deepest.max(), Some(expected_depth), "{count} members");
    }
}

#[test]
fn whoever_is_upstream_is_nearer_to_the_store() {
    let members = members(300);
    let tree = tree(&members, 2);
    for member in members.iter().step_by(7) {
        let own = depth(&tree, member.node(), members.len());
        let sources = tree.sources(member.node());
        for upstream in &sources.upstream {
            let other = depth(&tree, *upstream, members.len());
            assert!(other < own || (own == 0 && other == 0));
        }
        let nearer = members.iter().map(MemberRecord::node);
        let nearer = nearer.filter(|node| depth(&tree, *node, members.len()) < own);
        assert!(nearer.count() <= sources.upstream.len());
    }
}

#[test]
fn a_node_outside_the_tree_has_no_sources() {
    let tree = tree(&members(10), 1);
    let sources = tree.sources(member(1_000).node());
    assert_eq!(sources.parent, None);
    assert!(sources.upstream.is_empty());
}
