//! Which roots are to be told that a leaf is leaving.
//!
//! A root learns that a leaf is leaving from the leaf's answers, its health or the machine list;
//! the other roots of the same service and place may see none of these. So each of them, including
//! later roots, is sent a notice, repeated every [`RENEWAL_PERIOD`] while the leaf is leaving,
//! because roots let notices expire. Only first-hand knowledge may be sent: roots that forwarded
//! notices would keep renewing one another's for ever.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{LeafId, Moment, NodeId};

/// Interval at which a notice is repeated.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(2);

/// One notice to send.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingNotice {
    /// The root to tell.
    pub to: NodeId,
    /// The leaf that is leaving.
    pub leaf: LeafId,
}

/// Tracks the notices that one daemon has sent about the leafs of one service in one place.
#[derive(Debug, Clone, Default)]
pub struct LeavingNotices {
    last_sent: BTreeMap<LeafId, BTreeMap<NodeId, Moment>>,
}

impl LeavingNotices {
    /// Notices to send now, recorded as sent. `leaving` are the leafs that this daemon knows
    /// first-hand to be leaving; `roots` are the current roots, with or without this daemon. To be
    /// called about once a second.
    pub fn due(
        &mut self,
        now: Moment,
        own: NodeId,
        leaving: &BTreeSet<LeafId>,
        roots: &BTreeSet<NodeId>,
    ) -> Vec<LeavingNotice> {
        self.last_sent.retain(|leaf, _| leaving.contains(leaf));
        let mut notices = Vec::new();
        for leaf in leaving {
            let last_sent = self.last_sent.entry(leaf.clone()).or_default();
            last_sent.retain(|node, _| roots.contains(node));
            for &to in roots.iter().filter(|node| **node != own) {
                let is_fresh = |at: &Moment| now < *at + RENEWAL_PERIOD;
                if !last_sent.get(&to).is_some_and(is_fresh) {
                    last_sent.insert(to, now);
                    let leaf = leaf.clone();
                    notices.push(LeavingNotice { to, leaf });
                }
            }
        }
        notices
    }

    /// Delivery failed or is uncertain: the notice is due again at once.
    pub fn on_delivery_failed(&mut self, notice: &LeavingNotice) {
        if let Some(last_sent) = self.last_sent.get_mut(&notice.leaf) {
            last_sent.remove(&notice.to);
        }
    }
}
