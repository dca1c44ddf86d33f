//! The state of a proposal according to the table in the store.

use crate::proposal::{Proposal, STARTING_GENERATION};
use tansylead_types::{ChangeId, ConfigObject, StoredObject, TableChange};

/// State of a proposal, as proven by one version of the stored table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProposalState {
    /// The store holds the base: the change has not taken effect yet.
    AtBase,
    /// The change created the generation after the base.
    Accepted { generation: u64, revision: u64 },
    /// Another change created the generation after the base, so this one can never take effect.
    Conflict,
    /// The store holds an older generation than the base or than daemons have in force.
    StoreBehind { store: u64, known: u64 },
    /// The store holds another change at the base's generation: it was restored to an older state
    /// and written again.
    StoreReplaced { generation: u64 },
    /// The generation after the base is no longer recorded.
    Pruned { generation: u64 },
}

/// Determines the state from the object that the store holds.
pub(super) fn determine_state(
    proposal: &Proposal,
    known_generation: u64,
    current: Option<&StoredObject>,
) -> ProposalState {
    let base = &proposal.base;
    let generation = current.map_or(STARTING_GENERATION, |stored| stored.generation);
    let known = known_generation.max(base.generation);
    if generation < known {
        return ProposalState::StoreBehind {
            store: generation,
            known,
        };
    }
    let holds_base = change_at(current, base.generation)
        .is_none_or(|change| Some(change) == base.change.as_ref());
    if !holds_base {
        return ProposalState::StoreReplaced { generation };
    }
    if generation == base.generation {
        return ProposalState::AtBase;
    }
    match change_at(current, base.generation + 1) {
        Some(change) if *change == proposal.change => ProposalState::Accepted {
            generation: base.generation + 1,
            revision: current.map_or(0, |stored| stored.revision),
        },
        Some(_) => ProposalState::Conflict,
        None => ProposalState::Pruned { generation },
    }
}

/// The change that created a generation, if the store's table records it.
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
