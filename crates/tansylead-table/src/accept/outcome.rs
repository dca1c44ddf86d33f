//! How an acceptance ends, in words for the operator.

use super::judgement::recent_changes;
use crate::difference::{RowKey, TableDifference};
use crate::proposal::{Base, Proposal};
use std::fmt;
use tansylead_types::table::RECENT_CHANGES;
use tansylead_types::{StoredObject, TableChange};

/// How an acceptance ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The store has the change, as this generation.
    Accepted {
        /// Generation that the change made.
        generation: u64,
        /// Store revision at which the change is in the store; daemons that have this revision in
        /// force have the change in force.
        revision: u64,
    },
    /// Another change came first. This one is not applied and never will be.
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
    /// Nothing was written by this acceptance, and nothing of it is on its way. An earlier one of
    /// the same proposal may have written.
    NotWritten {
        /// Why.
        cause: String,
    },
    /// The change may have been applied or may still be. Accepting the same proposal again finds
    /// out and is safe.
    StillUnknown {
        /// What is missing.
        cause: String,
    },
    /// So many changes have followed the base that the store's record no longer reaches back to
    /// this one. It is not applied from now on; whether it was cannot be told.
    NoLongerRecorded {
        /// Generation the store holds.
        generation: u64,
    },
    /// The store holds an older generation than is known to exist, so it was put back. Daemons
    /// would ignore what is written now; nothing was written on top of it.
    StoreBehind {
        /// Generation the store holds.
        store_generation: u64,
        /// Highest generation known.
        known_generation: u64,
        /// Whether a write was sent whose answer is missing.
        may_have_been_written: bool,
    },
    /// The store was put back and holds another change at the base's generation.
    StoreReplaced {
        /// Generation the store holds.
        generation: u64,
        /// Whether a write was sent whose answer is missing.
        may_have_been_written: bool,
    },
}

/// The conflict with what the store holds.
pub(super) fn conflict(proposal: &Proposal, current: Option<&StoredObject>) -> AcceptOutcome {
    let now_held = Base::of(current);
    let base = &proposal.base;
    let difference = TableDifference::between(&base.rows, &now_held.rows);
    let proposed = TableDifference::between(&base.rows, &proposal.rows);
    let recorded = recent_changes(current).iter();
    let since_base = recorded.filter(|change| change.generation > base.generation);
    AcceptOutcome::Conflict {
        generation: now_held.generation,
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
                write_open_write(formatter, *may_have_been_written)
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
                write_open_write(formatter, *may_have_been_written)
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

fn write_open_write(formatter: &mut fmt::Formatter<'_>, is_open: bool) -> fmt::Result {
    if is_open {
        writeln!(
            formatter,
            "a write was sent before that and its answer is missing"
        )
    } else {
        writeln!(formatter, "nothing was written")
    }
}
