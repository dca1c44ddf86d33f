//! Quorum lease of one member in one epoch: recent heartbeat acknowledgements from a majority of
//! the view. A member that has seen a higher epoch acknowledges no lower one, so once a majority
//! has, nobody can hold a lease in the lower epoch for longer than one lease time.

use super::group::majority;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{ClaimViewMember, InstanceId, Moment};

/// The time at which the last acknowledged heartbeat to each member was sent.
#[derive(Debug, Clone, Default)]
pub(super) struct QuorumLease {
    acknowledged: BTreeMap<InstanceId, Moment>,
}

impl QuorumLease {
    /// Records an acknowledgement of a heartbeat sent at `sent`.
    pub(super) fn acknowledge(&mut self, member: InstanceId, sent: Moment) {
        let latest = self.acknowledged.entry(member).or_insert(sent);
        *latest = (*latest).max(sent);
    }

    /// Whether a majority, including `own_instance`, acknowledged within the lease time before
    /// `now`.
    pub(super) fn is_valid(
        &self,
        own_instance: InstanceId,
        members: &[ClaimViewMember],
        now: Moment,
        lease: Duration,
    ) -> bool {
        let is_recent = |instance: InstanceId| {
            let sent = self.acknowledged.get(&instance);
            instance == own_instance || sent.is_some_and(|sent| now < *sent + lease)
        };
        let recent = members
            .iter()
            .filter(|member| is_recent(member.instance))
            .count();
        recent >= majority(members.len())
    }
}
