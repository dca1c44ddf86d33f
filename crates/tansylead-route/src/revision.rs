//! Positions in the history of the source.

use serde::{Deserialize, Serialize};

/// Number of one history of the source. It increases each time the source is restored from an older copy:
/// what was written after the copy is lost, and its revision numbers are assigned again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// Position in the history of the source: a counter of all changes within an era. All positions of an earlier
/// era come before those of a later one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era that the number belongs to.
    pub era: Era,
    /// Number of the change within the era.
    pub number: u64,
}

impl Revision {
    /// A position in the first era: the source has never been restored from a copy.
    pub const fn first_era(number: u64) -> Self {
        Self::new(Era(0), number)
    }

    /// A position in the given era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}
