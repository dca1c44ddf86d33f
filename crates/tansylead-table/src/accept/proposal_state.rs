//! What the store's table says about one proposal.

use crate::proposal::{Proposal, STARTING_GENERATION};
use tansylead_types::{ChangeId, ConfigObject, StoredObject, TableChange};

/// What one look at the store proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Judgement {
    /// The store holds the base: the change has not taken effect so far.
    AtBase,
    /// The change made the generation after the base.
    Accepted { generation: u64, revision: u64 },
    /// Another change made the generation after the base, so this one never will.
    Overtaken,
    /// The store holds an older generation than the base or than daemons have in force.
    Behind { store: u64, known: u64 },
    /// The store holds another change at the base's generation: it was put back and written anew.
    Replaced { generation: u64 },
    /// The generation after the base is no longer recorded.
    Untraceable { generation: u64 },
}

/// Judges what the store holds.
pub(super) fn judge(
    proposal: &Proposal,
    known_generation: u64,
    current: Option<&StoredObject>,
) -> Judgement {
    let base = &proposal.base;
    let generation = current.map_or(STARTING_GENERATION, |stored| stored.generation);
    let known = known_generation.max(base.generation);
    if generation < known {
        return Judgement::Behind {
            store: generation,
            known,
        };
    }
    let base_is_there = change_at(current, base.generation)
        .is_none_or(|change| Some(change) == base.change.as_ref());
    if !base_is_there {
        return Judgement::Replaced { generation };
    }
    if generation == base.generation {
        return Judgement::AtBase;
    }
    match change_at(current, base.generation + 1) {
        Some(change) if *change == proposal.change => Judgement::Accepted {
            generation: base.generation + 1,
            revision: current.map_or(0, |stored| stored.revision),
        },
        Some(_) => Judgement::Overtaken,
        None => Judgement::Untraceable { generation },
    }
}

/// The change that made a generation, as far as the store's table records it.
fn change_at(current: Option<&StoredObject>, generation: u64) -> Option<&ChangeId> {
    let stored = current?;
    if stored.generation == generation {
        return Some(&stored.change);
    }
    let recorded = recent_changes(current).iter();
    let mut matching = recorded.filter(|recorded| recorded.generation == generation);
    matching.next().map(|recorded| &recorded.change)
}

/// The changes that the store's table records.
pub(super) fn recent_changes(current: Option<&StoredObject>) -> &[TableChange] {
    match current.and_then(|stored| stored.object.as_ref()) {
        Some(ConfigObject::Table(table)) => &table.recent_changes,
        _ => &[],
    }
}
