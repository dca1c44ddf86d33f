//! Whether a leaf's entry stands in the directory, and what a missing entry says of the leaf.
//!
//! A leaf that ends well says first that it leaves. An entry that goes without a word is no proof of
//! death: it goes when the leaf has crashed, when it leaves without saying so, and also when the
//! source was away for so long that it lapsed. In that last case the entry is back soon after the
//! source's return, if the leaf lives, and until then its own answers tell more than the directory.
//!
//! A source that comes back from an older copy of itself has lost what leafs wrote since, and lists leafs that
//! were gone. The first are treated like lapsed entries; the second are in doubt until their entries have been
//! there for longer than those of dead leafs stand.

use std::time::Duration;
use tansylead_types::Moment;

/// Entries that lapsed while the source was away are back within two seconds of its return, if the
/// leaf lives and reaches it; half a second more is for the way of the news to each daemon.
const LAPSED_RETURN: Duration = Duration::from_millis(2_500);

/// An entry that an older copy of the source has brought back lapses within this time if no leaf writes it:
/// three heartbeats of the longest period that deployments have, and the way of the news.
const DOUBT: Duration = Duration::from_secs(12);

/// What the directory says of a leaf's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Listing {
    /// The entry is there.
    #[default]
    Listed,
    /// The entry is missing.
    Missing {
        /// Since when.
        since: Moment,
        /// Whether nothing had been heard from the source for long before.
        source_was_away: bool,
    },
    /// The entry was gone, and an older copy of the source has brought it back.
    Doubtful {
        /// Since when.
        since: Moment,
    },
    /// Another run of a leaf has the address: this one has ended.
    Replaced,
}

/// How a leaf may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Like any other leaf.
    Regular,
    /// Only if the service has no regular leaf.
    LastResort,
    /// Not at all.
    Gone,
}

impl Listing {
    /// How a leaf that never said it was leaving may be used. A missing leaf is the last resort for
    /// `grace`.
    pub fn standing(self, now: Moment, grace: Duration) -> Standing {
        match self {
            Self::Listed => Standing::Regular,
            Self::Replaced => Standing::Gone,
            Self::Doubtful { since } if now.since(since) < DOUBT => Standing::LastResort,
            Self::Doubtful { .. } => Standing::Regular,
            Self::Missing {
                since,
                source_was_away,
            } => {
                let missing_for = now.since(since);
                if source_was_away && missing_for < LAPSED_RETURN {
                    Standing::Regular
                } else if missing_for < grace {
                    Standing::LastResort
                } else {
                    Standing::Gone
                }
            }
        }
    }

    /// After the entry has come (again).
    pub fn after_present(self) -> Self {
        match self {
            Self::Listed | Self::Missing { .. } | Self::Doubtful { .. } => Self::Listed,
            // An entry that is only not yet removed brings no leaf back.
            Self::Replaced => Self::Replaced,
        }
    }
}
