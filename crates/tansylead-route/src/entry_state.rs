//! State of a leaf's directory entry, and whether a leaf whose entry is missing may still get requests.
//!
//! A leaf that shuts down in an orderly way first announces that it leaves. An entry that disappears without that
//! does not prove that the leaf is dead: it disappears when the leaf has crashed, when it leaves without an
//! announcement, and also when the source was unreachable for so long that the entry expired. In that last case
//! the entry is back soon after the source returns, if the leaf is alive. Until then the leaf's own answers are
//! better evidence than the directory.
//!
//! A source that is restored from an older copy has lost what leafs wrote since, and lists leafs that were gone.
//! Lost entries are treated like expired ones. Entries that reappear are doubtful until they have existed for
//! longer than those of dead leafs do.

use std::time::Duration;
use tansylead_types::Moment;

/// Entries that expired while the source was unreachable are back within two seconds of its return, if the
/// leaf lives and reaches it; half a second more allows for propagation to each daemon.
const EXPIRED_RETURN_TIME: Duration = Duration::from_millis(2_500);

/// An entry that reappeared with an older copy of the source expires within this time if no leaf renews it:
/// three heartbeats of the longest period that deployments use, and the propagation delay.
const DOUBT_TIME: Duration = Duration::from_secs(12);

/// State of a leaf's entry in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EntryState {
    /// The entry exists.
    #[default]
    Listed,
    /// The entry is missing.
    Missing {
        /// When this state began.
        since: Moment,
        /// Whether the source had been unreachable for long before.
        source_was_away: bool,
    },
    /// The entry was gone, and has reappeared because the source was restored from an older copy.
    Doubtful {
        /// When this state began.
        since: Moment,
    },
    /// Another run of a leaf has the address, so this one has ended.
    Replaced,
}

/// Whether a leaf may get requests; the most eligible sorts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// Like any other leaf.
    Regular,
    /// Only if the service has no regular leaf.
    LastResort,
    /// Not at all.
    Ineligible,
}

impl EntryState {
    /// Eligibility of a leaf that never announced that it leaves. A missing leaf is a last resort for `grace`,
    /// then ineligible.
    pub fn eligibility(self, now: Moment, grace: Duration) -> Eligibility {
        match self {
            Self::Listed => Eligibility::Regular,
            Self::Replaced => Eligibility::Ineligible,
            Self::Doubtful { since } if now.since(since) < DOUBT_TIME => Eligibility::LastResort,
            Self::Doubtful { .. } => Eligibility::Regular,
            Self::Missing {
                since,
                source_was_away,
            } => {
                let missing_for = now.since(since);
                if source_was_away && missing_for < EXPIRED_RETURN_TIME {
                    Eligibility::Regular
                } else if missing_for < grace {
                    Eligibility::LastResort
                } else {
                    Eligibility::Ineligible
                }
            }
        }
    }

    /// The state after the entry has been received again.
    pub fn after_received(self) -> Self {
        match self {
            Self::Listed | Self::Missing { .. } | Self::Doubtful { .. } => Self::Listed,
            // The run has ended, and its entry has only not been removed yet.
            Self::Replaced => Self::Replaced,
        }
    }
}
