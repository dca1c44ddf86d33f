//! Positions in the history of the source.

use serde::{Deserialize, Serialize};

/// One history of the source. It rises each time the source comes back from an older copy of itself: what was
/// written after the copy is lost then, and its numbers are given out again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// Position in the history of the source: within an era one counter for all of its changes. All positions of
/// an earlier era come before those of a later one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// The history that the number belongs to.
    pub era: Era,
    /// Number of the change.
    pub number: u64,
}

impl Revision {
    /// A position in a source that has never come back from a copy.
    pub const fn first_era(number: u64) -> Self {
        Self::new(Era(0), number)
    }

    /// A position in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}
