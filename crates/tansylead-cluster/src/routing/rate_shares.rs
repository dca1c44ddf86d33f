//! The share of the table's limit that one root of a (service, place) may use now.
//!
//! Owns the base share of each slot that this daemon holds and the loans to and from other roots.
//! With K slots, each slot is worth 1/K of the limit, whichever root holds it.
//!
//! **Guaranteed**: the usable parts of all roots sum to at most the whole limit at every moment,
//! under loss, delay, duplication and reordering of messages, silence, restarts and pauses of
//! roots, if
//! (a) no two running roots have different views of the owners or the number of slots for longer
//! than [`ShareTiming::longest_view_lag`] in a row, including pauses of at most `longest_pause`;
//! (b) clocks, which must count suspended time, differ in rate by less than `margin / lease`;
//! (c) [`RateShares::usable`] is called right before each admission, or its result is not used
//! after [`RateShares::valid_until`].
//!
//! Nothing is assumed about messages: without any, loans expire and every root has its base share.
//! Roots that apply a changed limit or hour at different times admit at most the larger limit.
//!
//! **Not guaranteed**: while views differ for longer than that (a partitioned place, each half with
//! its own roots, or a slot that alternates between two holders so that each misses the other's
//! turns), each side admits up to one limit, so two views admit at most twice the limit. If several
//! changes occur within one takeover time, and each moves an allocation of a root that missed the
//! previous one, the allowed lag is the takeover time divided by their number plus one.

use super::share_lease::{BorrowedParts, LentParts};
use super::share_message::{ShareMessage, ShareParts};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, NodeId};

/// Multiple of its demand that a root keeps for itself and does not lend.
const DEMAND_HEADROOM: f64 = 1.25;
/// Smallest loan worth a message.
const MINIMUM_LOAN: ShareParts = ShareParts(10_000);

/// Time limits of the shares. The defaults satisfy the conditions in the module documentation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareTiming {
    /// How long a borrower uses a loan, from the moment it sent the request.
    pub lease: Duration,
    /// How much longer than `lease` the lender reserves the parts, on its own clock.
    pub margin: Duration,
    /// How long the new holder of a slot waits before it uses the slot's base share.
    pub takeover: Duration,
    /// A root that handled no event for longer than this treats its slots as newly taken over.
    pub longest_pause: Duration,
    /// Period of reports and loan requests.
    pub exchange_period: Duration,
}

impl Default for ShareTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2_000),
            margin: Duration::from_millis(200),
            takeover: Duration::from_millis(6_000),
            longest_pause: Duration::from_millis(2_000),
            exchange_period: Duration::from_millis(500),
        }
    }
}

impl ShareTiming {
    /// How long two roots may have different views of the owners without exceeding the limit: the
    /// loans of a former holder must have expired, and the lag must fit twice into the takeover
    /// time, because a root that missed a change may still move its allocation at the next one.
    pub fn longest_view_lag(&self) -> Duration {
        let held = self.lease + self.margin;
        let until_expired = self.takeover.saturating_sub(held);
        until_expired.min(self.takeover / 2)
    }
}

/// What the driver must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareAction {
    /// Send a message to another root of the same service and place; loss is harmless.
    Send {
        /// Receiver.
        to: NodeId,
        /// Message.
        message: ShareMessage,
    },
}

/// The base share of one slot that this root holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SlotAllocation {
    /// Parts in use now.
    active: ShareParts,
    /// Parts in use from `target_at` on; never less than `active`.
    target: ShareParts,
    target_at: Moment,
}

impl SlotAllocation {
    fn parts(&self, now: Moment) -> ShareParts {
        if now >= self.target_at {
            self.target
        } else {
            self.active
        }
    }
}

/// State machine of one root for one (service, place).
#[derive(Debug, Clone)]
pub struct RateShares {
    own_node: NodeId,
    timing: ShareTiming,
    limit: u32,
    demand: f64,
    last_event_at: Moment,
    next_exchange: Moment,
    slots: BTreeMap<usize, SlotAllocation>,
    peers: BTreeSet<NodeId>,
    peer_spare: BTreeMap<NodeId, ShareParts>,
    lent: LentParts,
    borrowed: BorrowedParts,
}

impl RateShares {
    /// A root that holds no slot yet. Requests are numbered from the instance's boot time, so that
    /// a grant to an earlier run at the same address answers no request of this one.
    pub fn new(now: Moment, own: InstanceId, timing: ShareTiming) -> Self {
        Self {
            own_node: own.node,
            timing,
            limit: 0,
            demand: 0.0,
            last_event_at: now,
            next_exchange: now,
            slots: BTreeMap::new(),
            peers: BTreeSet::new(),
            peer_spare: BTreeMap::new(),
            lent: LentParts::default(),
            borrowed: BorrowedParts::new(own.boot),
        }
    }

    /// Sets the owners of the slots ([`super::ServingSet::roots`]). Losing a slot, or a smaller
    /// part of the limit for it, takes effect at once; a new slot, or a larger part, takes effect
    /// after the takeover time. An allocation moves with its owner from slot to slot: at any time
    /// each allocation in use belongs to a different slot, so their sum stays within the limit.
    pub fn set_roots(&mut self, now: Moment, roots: &[NodeId]) {
        self.handle_pause(now);
        let target = ShareParts(ShareParts::WHOLE.0 / (roots.len().max(1) as u32));
        let owned = roots.iter().enumerate();
        let owned = owned.filter(|(_, owner)| **owner == self.own_node);
        let slots: BTreeSet<usize> = owned.map(|(slot, _)| slot).collect();
        // An allocation moves from a lost slot to one that is won in the same change.
        let lost = self.slots.iter().filter(|(slot, _)| !slots.contains(slot));
        let mut moving: Vec<SlotAllocation> = lost.map(|(_, allocation)| *allocation).collect();
        let mut allocations = BTreeMap::new();
        for slot in slots {
            let known = self.slots.get(&slot).copied().or_else(|| moving.pop());
            allocations.insert(slot, self.allocation_for(now, known, target));
        }
        self.slots = allocations;
        self.peers = roots.iter().copied().collect();
        self.peers.remove(&self.own_node);
        let peers = &self.peers;
        self.peer_spare.retain(|node, _| peers.contains(node));
        if self.slots.is_empty() {
            self.borrowed.drop_all();
        }
    }

    /// Sets the table's limit for this hour, in queries per second for the whole place.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Sets the rate of queries that arrive here, admitted or not, in queries per second.
    pub fn set_demand(&mut self, demand: f64) {
        self.demand = demand;
    }

    /// Handles a message from another root.
    pub fn on_message(
        &mut self,
        now: Moment,
        from: NodeId,
        message: ShareMessage,
    ) -> Vec<ShareAction> {
        self.handle_pause(now);
        if !self.peers.contains(&from) || self.slots.is_empty() {
            return Vec::new();
        }
        match message {
            ShareMessage::Report { spare } => {
                self.peer_spare.insert(from, spare);
                Vec::new()
            }
            ShareMessage::Request { id, wanted } => self.lend(now, from, id, wanted),
            ShareMessage::Grant { id, lent } => {
                self.borrowed.on_grant(now, from, id, lent);
                Vec::new()
            }
        }
    }

    /// Must be called no later than [`RateShares::next_wakeup`].
    pub fn on_wakeup(&mut self, now: Moment) -> Vec<ShareAction> {
        self.handle_pause(now);
        self.lent.drop_expired(now);
        self.borrowed.drop_expired(now);
        if now < self.next_exchange || self.slots.is_empty() {
            return Vec::new();
        }
        self.next_exchange = now + self.timing.exchange_period;
        let mut actions = self.reports(now);
        actions.extend(self.loan_requests(now));
        actions
    }

    /// The latest time for the next [`RateShares::on_wakeup`]; none without a slot.
    pub fn next_wakeup(&self) -> Option<Moment> {
        (!self.slots.is_empty()).then_some(self.next_exchange)
    }

    /// Parts of the limit that may be used now: base shares, minus what is lent, plus what is
    /// borrowed. Zero after too long a pause, until the next event is handled.
    pub fn usable(&self, now: Moment) -> ShareParts {
        if self.has_paused(now) {
            return ShareParts::default();
        }
        let own = self.base_share(now).minus(self.lent.total(now));
        own.plus(self.borrowed.total(now))
    }

    /// Queries per second that may be admitted now.
    pub fn usable_rate(&self, now: Moment) -> f64 {
        self.usable(now).rate(self.limit)
    }

    /// Until when the result of [`RateShares::usable`] at `now` is valid if no event is handled:
    /// the next change of a base share, expiry of a loan, or the longest pause.
    pub fn valid_until(&self, now: Moment) -> Moment {
        let pause = self.last_event_at + self.timing.longest_pause;
        let target_times = self.slots.values().map(|slot| slot.target_at);
        let changes = target_times
            .chain(self.lent.next_expiry())
            .chain(self.borrowed.next_expiry());
        changes.filter(|at| *at > now).fold(pause, Moment::min)
    }

    /// When every slot held now has its full base share; in the past once all have.
    pub fn full_at(&self) -> Moment {
        let target_times = self.slots.values().map(|slot| slot.target_at);
        target_times.max().unwrap_or_default()
    }

    fn base_share(&self, now: Moment) -> ShareParts {
        let parts = self.slots.values().map(|slot| slot.parts(now));
        parts.fold(ShareParts::default(), ShareParts::plus)
    }

    fn has_paused(&self, now: Moment) -> bool {
        now.since(self.last_event_at) > self.timing.longest_pause
    }

    /// After too long a pause other roots may hold the slots: wait as if they were won just now.
    fn handle_pause(&mut self, now: Moment) {
        if self.has_paused(now) {
            for slot in self.slots.values_mut() {
                slot.active = ShareParts::default();
                slot.target_at = now + self.timing.takeover;
            }
        }
        self.last_event_at = self.last_event_at.max(now);
    }

    fn allocation_for(
        &self,
        now: Moment,
        known: Option<SlotAllocation>,
        target: ShareParts,
    ) -> SlotAllocation {
        let active = known
            .map(|allocation| allocation.parts(now))
            .unwrap_or_default();
        match known {
            Some(allocation) if allocation.target == target => allocation,
            _ if target <= active => SlotAllocation {
                active: target,
                target,
                target_at: now,
            },
            _ => SlotAllocation {
                active,
                target,
                target_at: now + self.timing.takeover,
            },
        }
    }

    fn needed(&self) -> ShareParts {
        ShareParts::of_rate(self.demand * DEMAND_HEADROOM, self.limit)
    }

    /// Own parts that are neither lent nor needed.
    fn spare(&self, now: Moment) -> ShareParts {
        let own = self.base_share(now).minus(self.lent.total(now));
        own.minus(self.needed())
    }

    fn lend(
        &mut self,
        now: Moment,
        borrower: NodeId,
        id: u64,
        wanted: ShareParts,
    ) -> Vec<ShareAction> {
        // A renewal replaces the borrower's earlier loan, so only loans to others reduce what is
        // available.
        let lent_to_borrower = self.lent.reserved_for(now, borrower);
        let lent_to_others = self.lent.total(now).minus(lent_to_borrower);
        let available = self
            .base_share(now)
            .minus(lent_to_others)
            .minus(self.needed());
        let lent = wanted.min(available);
        if lent < MINIMUM_LOAN {
            return Vec::new();
        }
        let until = now + self.timing.lease + self.timing.margin;
        self.lent.lend(borrower, lent, until);
        let message = ShareMessage::Grant { id, lent };
        vec![ShareAction::Send {
            to: borrower,
            message,
        }]
    }

    fn reports(&self, now: Moment) -> Vec<ShareAction> {
        let spare = self.spare(now);
        let message = ShareMessage::Report { spare };
        let send = |&to: &NodeId| ShareAction::Send { to, message };
        self.peers.iter().map(send).collect()
    }

    /// Requests the parts that own base shares do not cover, first from the peers that can lend
    /// most.
    fn loan_requests(&mut self, now: Moment) -> Vec<ShareAction> {
        let own = self.base_share(now).minus(self.lent.total(now));
        let mut shortfall = self.needed().minus(own);
        let mut peers: Vec<(ShareParts, NodeId)> = Vec::new();
        for (&node, &spare) in &self.peer_spare {
            peers.push((spare.plus(self.borrowed.from(now, node)), node));
        }
        peers.sort_unstable_by(|left, right| right.cmp(left));
        let mut actions = Vec::new();
        for (spare, to) in peers {
            let wanted = shortfall.min(spare);
            if wanted < MINIMUM_LOAN {
                continue;
            }
            let id = self.borrowed.open_request(now, to, self.timing.lease);
            let message = ShareMessage::Request { id, wanted };
            actions.push(ShareAction::Send { to, message });
            shortfall = shortfall.minus(wanted);
        }
        actions
    }
}
