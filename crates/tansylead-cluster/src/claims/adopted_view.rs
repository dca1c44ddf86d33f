//! The view that a claim member has adopted, its progress in it, and the requests it sends to the
//! other members.

use super::lease::QuorumLease;
use super::message::{ClaimKey, ClaimRequest, ClaimRequestBody};
use super::transfer::Transfer;
use std::collections::BTreeSet;
use tansylead_types::{ClaimView, InstanceId, Moment};

/// A view the member has adopted and its progress in it.
#[derive(Debug, Clone)]
pub(super) struct AdoptedView {
    pub(super) view: ClaimView,
    pub(super) lease: QuorumLease,
    pub(super) transfer: Transfer,
    pub(super) next_heartbeat: Moment,
    pub(super) next_copy: Moment,
    /// Members of this view that have copied every claim they need from this daemon.
    pub(super) handed_over: BTreeSet<InstanceId>,
}

impl AdoptedView {
    /// A view adopted now; heartbeats and copies are due at once.
    pub(super) fn new(
        view: ClaimView,
        transfer: Transfer,
        now: Moment,
        handed_over: BTreeSet<InstanceId>,
    ) -> Self {
        Self {
            view,
            lease: QuorumLease::default(),
            transfer,
            next_heartbeat: now,
            next_copy: now,
            handed_over,
        }
    }

    /// Whether this run of a daemon is among the view's members.
    pub(super) fn has_member(&self, instance: InstanceId) -> bool {
        self.view
            .members
            .iter()
            .any(|member| member.instance == instance)
    }

    /// Heartbeats to the other members.
    pub(super) fn heartbeats(&self, own_instance: InstanceId, now: Moment) -> Vec<ClaimRequest> {
        let members = self.view.members.iter();
        let others = members.filter(|member| member.instance != own_instance);
        others
            .map(|member| ClaimRequest {
                epoch: self.view.epoch,
                from: own_instance,
                to: member.instance,
                body: ClaimRequestBody::Heartbeat { sent: now },
            })
            .collect()
    }

    /// Requests for the next page of each source that is not fully copied.
    pub(super) fn copy_requests(&self, own_instance: InstanceId) -> Vec<ClaimRequest> {
        let pending = self.transfer.pending_sources().into_iter();
        pending
            .map(|(source, after)| copy_request(own_instance, &self.view, source, after))
            .collect()
    }
}

/// Handovers for a view that this daemon has not learned yet: its members often ask for claims
/// before that.
#[derive(Debug, Clone, Default)]
pub(super) struct EarlyHandover {
    epoch: u64,
    handed_over: BTreeSet<InstanceId>,
}

impl EarlyHandover {
    /// Records that a member of a view has copied every claim it needs.
    pub(super) fn record(&mut self, epoch: u64, requester: InstanceId) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.handed_over.clear();
        }
        if epoch == self.epoch {
            self.handed_over.insert(requester);
        }
    }

    /// Removes and returns the members of a view that have copied everything.
    pub(super) fn take(&mut self, epoch: u64) -> BTreeSet<InstanceId> {
        if epoch == self.epoch {
            std::mem::take(&mut self.handed_over)
        } else {
            BTreeSet::new()
        }
    }
}

/// Builds the request for a page of a source's claims.
pub(super) fn copy_request(
    own_instance: InstanceId,
    view: &ClaimView,
    source: InstanceId,
    after: Option<ClaimKey>,
) -> ClaimRequest {
    let body = ClaimRequestBody::Copy {
        view: view.clone(),
        after,
    };
    ClaimRequest {
        epoch: view.epoch,
        from: own_instance,
        to: source,
        body,
    }
}
