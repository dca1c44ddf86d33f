//! This root's share of the table's limit: drives the state machine of shares and exchanges
//! messages with other roots.

use super::rate::RateMeter;
use crate::configuration::PlacementKey;
use crate::peers::{PeerClient, PeerNotice, ShareNotice};
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::routing::{
    RateShares, RootReport, ServingSet, ShareAction, ShareMessage, ShareTiming,
};
use tansylead_query::RateShare;
use tansylead_types::{InstanceId, Moment, NodeId};

/// Minimum room that a root reports, as a share of its usable rate.
const MINIMUM_ROOM_SHARE: f64 = 0.02;

/// The share of one root.
#[derive(Debug)]
pub(super) struct RootShares {
    key: PlacementKey,
    peers: Arc<PeerClient>,
    shares: RateShares,
    burst: Duration,
    arrivals: RateMeter,
    admissions: RateMeter,
    in_force: Option<RateShare>,
}

impl RootShares {
    pub(super) fn new(
        now: Moment,
        key: PlacementKey,
        own_instance: InstanceId,
        peers: Arc<PeerClient>,
        timing: ShareTiming,
        burst: Duration,
    ) -> Self {
        Self {
            key,
            peers,
            shares: RateShares::new(now, own_instance, timing),
            burst,
            arrivals: RateMeter::new(now),
            admissions: RateMeter::new(now),
            in_force: None,
        }
    }

    pub(super) fn configure(&mut self, now: Moment, set: &ServingSet, limit: u32) {
        self.shares.set_roots(now, &set.roots);
        self.shares.set_limit(limit);
    }

    pub(super) fn on_message(&mut self, now: Moment, from: NodeId, message: ShareMessage) {
        let actions = self.shares.on_message(now, from, message);
        self.perform(actions);
    }

    /// Handles the timers that are due.
    pub(super) fn on_timers(&mut self, now: Moment) {
        if self.next_wakeup().is_some_and(|wakeup| wakeup <= now) {
            self.shares.set_demand(self.arrivals.per_second(now));
            let actions = self.shares.on_wakeup(now);
            self.perform(actions);
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        self.shares.next_wakeup()
    }

    pub(super) fn count_arrival(&mut self) {
        self.arrivals.count();
    }

    pub(super) fn count_admission(&mut self) {
        self.admissions.count();
    }

    /// The share to put in force before the next admission; `None` if it has not changed.
    pub(super) fn changed_share(&mut self, now: Moment) -> Option<RateShare> {
        let share = RateShare {
            queries_per_second: self.shares.usable_rate(now),
            burst: self.burst,
        };
        if self.in_force == Some(share) {
            return None;
        }
        self.in_force = Some(share);
        Some(share)
    }

    /// The report for frontends. A root that has reached its share still reports a little room: the
    /// token bucket, not the averages of the report, decides what it refuses, and its refusals say
    /// for how long. Otherwise frontends would skip a root that is only just full for the lifetime
    /// of the report.
    pub(super) fn report(&mut self, now: Moment) -> RootReport {
        let usable_rate = self.shares.usable_rate(now);
        let admitted_rate = self.admissions.per_second(now);
        RootReport {
            admitted_rate: admitted_rate.min(usable_rate * (1.0 - MINIMUM_ROOM_SHARE)),
            usable_rate,
        }
    }

    /// Queries per second admitted recently.
    pub(super) fn admitted_rate(&mut self, now: Moment) -> f64 {
        self.admissions.per_second(now)
    }

    /// Whether this root may use its whole base share.
    pub(super) fn is_whole_share_usable(&self, now: Moment) -> bool {
        self.shares.full_at() <= now
    }

    fn perform(&self, actions: Vec<ShareAction>) {
        for action in actions {
            let ShareAction::Send { to, message } = action;
            let notice = ShareNotice {
                service: self.key.service.clone(),
                place: self.key.place.clone(),
                message,
            };
            self.peers.notify(to, PeerNotice::Share(notice));
        }
    }
}
