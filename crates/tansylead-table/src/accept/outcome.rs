//! The outcomes of an acceptance and their texts for the operator.

use super::proposal_state::recent_changes;
use crate::difference::{RowKey, TableDifference};
use crate::proposal::{Base, Proposal};
use std::fmt;
use tansylead_types::table::RECENT_CHANGES;
use tansylead_types::{StoredObject, TableChange};

/// How an acceptance ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The store holds the change.
    Accepted {
        /// Generation that the change created.
        generation: u64,
        /// Store revision that contains the change; daemons that have this revision in force have
        /// the change in force.
        revision: u64,
    },
    /// Another change was written first. This one is not applied and never will be.
    Conflict {
        /// Generation the store holds.
        generation: u64,
        /// Recorded changes since the base, oldest first.
        changes: Vec<TableChange>,
        /// What they changed.
        difference: TableDifference,
        /// Rows that this proposal changes too.
        overlapping: Vec<RowKey>,
    },
    /// This acceptance has written nothing, and none of its writes is in flight. An earlier one of
    /// the same proposal may have written.
    NotWritten {
        /// Why.
        cause: String,
    },
    /// The change may have been applied or may still be. Accepting the same proposal again resolves
    /// this and is safe.
    StillUnknown {
        /// Why the result is unknown.
        cause: String,
    },
    /// So many changes have followed the base that the store's record no longer covers this one. It
    /// will not be applied any more; whether it was applied is unknown.
    NoLongerRecorded {
        /// Generation the store holds.
        generation: u64,
    },
    /// The store holds an older generation than is known to exist, so it was restored to an older
    /// state. Daemons would ignore new writes; nothing was written on top of it.
    StoreBehind {
        /// Generation the store holds.
        store_generation: u64,
        /// Highest known generation.
        known_generation: u64,
        /// Whether a write was sent whose answer is missing.
        may_have_been_written: bool,
    },
    /// The store was restored to an older state and holds another change at the base's generation.
    StoreReplaced {
        /// Generation the store holds.
        generation: u64,
        /// Whether a write was sent whose answer is missing.
        may_have_been_written: bool,
    },
}

/// Builds the conflict outcome from the object that the store holds.
pub(super) fn conflict(proposal: &Proposal, current: Option<&StoredObject>) -> AcceptOutcome {
    let stored = Base::of(current);
    let base = &proposal.base;
    let difference = TableDifference::between(&base.rows, &stored.rows);
    let proposed = TableDifference::between(&base.rows, &proposal.rows);
    let recorded = recent_changes(current).iter();
    let since_base = recorded.filter(|change| change.generation > base.generation);
    AcceptOutcome::Conflict {
        generation: stored.generation,
        changes: since_base.cloned().collect(),
        overlapping: proposed.rows_changed_by_both(&difference),
        difference,
    }
}

impl fmt::Display for AcceptOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AcceptOutcome::Accepted { generation, .. } => {
                writeln!(formatter, "accepted as generation {generation}")
            }
            AcceptOutcome::Conflict {
                generation,
                changes,
                difference,
                overlapping,
            } => {
                writeln!(
                    formatter,
                    "not accepted: the table has changed since the base, to generation {generation}"
                )?;
                for change in changes {
                    let TableChange {
                        generation,
                        author,
                        comment,
                        ..
                    } = change;
                    writeln!(formatter, "generation {generation} by {author}: {comment}")?;
                }
                write!(formatter, "{difference}")?;
                write_overlap(formatter, overlapping)
            }
            AcceptOutcome::NotWritten { cause } => {
                writeln!(
                    formatter,
                    "nothing was written by this run: {cause}\n\
                     if the same proposal was accepted by an earlier run, that still stands"
                )
            }
            AcceptOutcome::StillUnknown { cause } => writeln!(
                formatter,
                "not known whether it was accepted: {cause}\n\
                 accept the same proposal again to find out: it is applied at most once"
            ),
            AcceptOutcome::NoLongerRecorded { generation } => writeln!(
                formatter,
                "cannot be told whether it was accepted: the store is at generation {generation}, \
                 more than {RECENT_CHANGES} changes after the base, which is further than its \
                 record reaches back\n\
                 it will not be applied from now on; look at the table's rows"
            ),
            AcceptOutcome::StoreBehind {
                store_generation,
                known_generation,
                may_have_been_written,
            } => {
                writeln!(
                    formatter,
                    "refused: the store holds generation {store_generation}, but generation \
                     {known_generation} is known; the store was put back to an older state, and \
                     daemons ignore older generations"
                )?;
                write_unresolved_write(formatter, *may_have_been_written)
            }
            AcceptOutcome::StoreReplaced {
                generation,
                may_have_been_written,
            } => {
                writeln!(
                    formatter,
                    "refused: the store, at generation {generation}, does not hold the change that \
                     this proposal is based on; it was put back to an older state and written anew"
                )?;
                write_unresolved_write(formatter, *may_have_been_written)
            }
        }
    }
}

fn write_overlap(formatter: &mut fmt::Formatter<'_>, overlapping: &[RowKey]) -> fmt::Result {
    if overlapping.is_empty() {
        return writeln!(formatter, "no row of this proposal is among them");
    }
    writeln!(formatter, "rows that this proposal changes too:")?;
    for key in overlapping {
        writeln!(formatter, "  {key}")?;
    }
    Ok(())
}

fn write_unresolved_write(formatter: &mut fmt::Formatter<'_>, is_unresolved: bool) -> fmt::Result {
    if is_unresolved {
        writeln!(
            formatter,
            "a write was sent before that and its answer is missing"
        )
    } else {
        writeln!(formatter, "nothing was written")
    }
}
