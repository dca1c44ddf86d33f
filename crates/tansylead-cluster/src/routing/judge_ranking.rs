//! Which daemons judge the roll-outs of a service: the first few members by rendezvous hashing,
//! spread over places. There is no election: while daemons see different members, there may be a
//! judge too many or too few, which does no harm.
//!
//! Invariants: equal members, in any order, give equal judges; adding or removing one member
//! changes at most one judge; no place has two judges while another place with members has none.

use crate::membership::MemberRecord;
use std::collections::BTreeMap;
use tansylead_types::{NodeId, PlaceName, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// Number of judges of a service: one that decides and two standbys, so that two machines may be
/// lost at once.
pub const JUDGE_COUNT: usize = 3;

/// Sort key of a member; the lowest is the first judge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JudgeRank {
    /// Number of members of the same place with a better score.
    better_in_place: usize,
    score: u64,
    node: NodeId,
}

/// The judges of a service among the members that take work, in order of rank.
pub fn judges<'a>(
    service: &ServiceName,
    members: impl IntoIterator<Item = &'a MemberRecord>,
) -> Vec<NodeId> {
    let mut places: BTreeMap<&PlaceName, Vec<(u64, NodeId)>> = BTreeMap::new();
    let members = members.into_iter();
    for member in members.filter(|member| member.state.takes_work()) {
        let node = member.node();
        let score = xxh3_64(format!("roll-out-judge/{service}/{node}").as_bytes());
        places.entry(&member.place).or_default().push((score, node));
    }
    let mut ranks: Vec<JudgeRank> = places.into_values().flat_map(ranks_in_place).collect();
    ranks.sort_unstable();
    ranks.truncate(JUDGE_COUNT);
    ranks.into_iter().map(|rank| rank.node).collect()
}

fn ranks_in_place(mut members: Vec<(u64, NodeId)>) -> impl Iterator<Item = JudgeRank> {
    members.sort_unstable();
    let ranks = members.into_iter().take(JUDGE_COUNT).enumerate();
    ranks.map(|(better_in_place, (score, node))| JudgeRank {
        better_in_place,
        score,
        node,
    })
}
