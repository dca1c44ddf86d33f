//! Which roots are to be told that a leaf is leaving.
//!
//! A root learns it from the leaf's answers, its health or the machine list; the other roots of the
//! same service and place may see none of these. Each of them is told, also one that becomes a root
//! later, and told again every [`RENEWAL_PERIOD`] for as long as it holds, because a root forgets
//! an announcement that is not repeated. Only first-hand knowledge may be passed on: roots that
//! passed on what they were told would keep one another's announcements alive for ever.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{LeafId, Moment, NodeId};

/// A notice is repeated after this time.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(2);

/// One message to send.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingNotice {
    /// The root to tell.
    pub to: NodeId,
    /// The leaf that is leaving.
    pub leaf: LeafId,
}

/// Notices sent by one daemon about the leafs of one service in one place.
#[derive(Debug, Clone, Default)]
pub struct LeavingNotices {
    told: BTreeMap<LeafId, BTreeMap<NodeId, Moment>>,
}

impl LeavingNotices {
    /// Notices to send now. `leaving` are the leafs that this daemon knows first-hand to be leaving;
    /// `roots` are the present roots, this daemon included or not. Call it about once a second.
    pub fn due(
        &mut self,
        now: Moment,
        own: NodeId,
        leaving: &BTreeSet<LeafId>,
        roots: &BTreeSet<NodeId>,
    ) -> Vec<LeavingNotice> {
        self.told.retain(|leaf, _| leaving.contains(leaf));
        let mut notices = Vec::new();
        for leaf in leaving {
            let told = self.told.entry(leaf.clone()).or_default();
            told.retain(|node, _| roots.contains(node));
            for &to in roots.iter().filter(|node| **node != own) {
                let is_fresh = |at: &Moment| now < *at + RENEWAL_PERIOD;
                if !told.get(&to).is_some_and(is_fresh) {
                    told.insert(to, now);
                    let leaf = leaf.clone();
                    notices.push(LeavingNotice { to, leaf });
                }
            }
        }
        notices
    }

    /// The notice could not be delivered, or it is not known whether it was.
    pub fn on_failed(&mut self, notice: &LeavingNotice) {
        if let Some(told) = self.told.get_mut(&notice.leaf) {
            told.remove(&notice.to);
        }
    }
}
