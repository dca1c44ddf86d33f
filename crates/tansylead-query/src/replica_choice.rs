//! Choice of one leaf among those that may serve a shard now.

use crate::leaf_table::{LeafIndex, LeafTable};
use crate::tuning::ReplicaChoice;
use rand::RngExt;
use rand::rngs::StdRng;
use tansylead_types::Moment;

/// Picks one of the candidates; none if there are none.
pub(crate) fn choose_replica(
    choice: ReplicaChoice,
    now: Moment,
    leafs: &LeafTable,
    candidates: &[LeafIndex],
    random: &mut StdRng,
) -> Option<LeafIndex> {
    match candidates {
        [] => None,
        [only] => Some(*only),
        _ => {
            let first = random.random_range(0..candidates.len());
            if choice == ReplicaChoice::Random {
                return Some(candidates[first]);
            }
            let offset = random.random_range(1..candidates.len());
            let second = (first + offset) % candidates.len();
            cheaper(now, leafs, candidates[first], candidates[second])
        }
    }
}

fn cheaper(
    now: Moment,
    leafs: &LeafTable,
    first: LeafIndex,
    second: LeafIndex,
) -> Option<LeafIndex> {
    let typical = leafs.typical_latency();
    let first_cost = leafs.get(first)?.cost(now, typical);
    let second_cost = leafs.get(second)?.cost(now, typical);
    let cheaper = if second_cost < first_cost {
        second
    } else {
        first
    };
    Some(cheaper)
}
