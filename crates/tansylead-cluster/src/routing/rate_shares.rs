//! How much of the table's limit one root of a (service, place) may use now.
//!
//! Owns the base share of each slot this daemon holds and the loans to and from the other roots.
//! With K slots, each slot stands for 1/K of the limit, whoever holds it.
//!
//! **Guaranteed**: the usable parts of all roots sum to at most the whole limit at every moment,
//! under loss, delay, duplication and reordering of messages, silence, restarts and pauses of
//! roots, if
//! (a) no two running roots hold different owners or numbers of slots for longer than
//! [`ShareTiming::longest_view_lag`] in a row, pauses of at most `longest_pause` included;
//! (b) clocks, which must count suspended time, differ in rate by less than `margin / lease`;
//! (c) [`RateShares::usable`] is asked right before each admission, or its result is not used past
//! [`RateShares::valid_until`].
//! Nothing is assumed about messages: without any, loans lapse and every root is at its base share.
//! Roots that apply a changed limit or hour at different times admit at most the larger limit.
//!
//! **Not guaranteed**: while views differ for longer than that (a place cut in two, each half
//! with its own roots, or a slot that goes to and fro so that each holder misses the other's
//! turns), each side admits up to one limit, so two views admit at most twice the limit. If
//! within one takeover time several changes follow each other, and each moves a right of a root
//! that missed the one before, the lag allowed is the takeover time divided by their number plus
//! one.

use super::share_lease::{BorrowedParts, LentParts};
use super::share_message::{ShareMessage, ShareParts};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, NodeId};

/// Share of its demand that a root keeps unlent beyond the demand itself.
const DEMAND_HEADROOM: f64 = 1.25;
/// Smallest loan worth a message.
const MINIMUM_LOAN: ShareParts = ShareParts(10_000);

/// Time limits of the shares. The defaults satisfy the conditions named in the module.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareTiming {
    /// How long a borrower uses a loan, from the moment it sent the ask.
    pub lease: Duration,
    /// How much longer than `lease` the lender holds the parts back, on its own clock.
    pub margin: Duration,
    /// How long the new holder of a slot waits before it uses the slot's base share.
    pub takeover: Duration,
    /// A root that was not woken for longer than this treats its slots as newly taken over.
    pub longest_pause: Duration,
    /// Period of reports and asks.
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
    /// How long two roots may hold different owners without the limit being exceeded: until the
    /// loans of a former holder have lapsed, and twice within the takeover time, because a root
    /// that missed a change may still move its right at the next one.
    pub fn longest_view_lag(&self) -> Duration {
        let held = self.lease + self.margin;
        let until_lapsed = self.takeover.saturating_sub(held);
        until_lapsed.min(self.takeover / 2)
    }
}

/// What the driver must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareAction {
    /// Send a message to another root of the same service and place; loss is harmless.
    Send {
        /// To whom.
        to: NodeId,
        /// What.
        message: ShareMessage,
    },
}

/// The right to use one slot's base share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SlotRight {
    /// Parts in use now.
    active: ShareParts,
    /// Parts in use from `rises_at` on; never less than `active`.
    target: ShareParts,
    rises_at: Moment,
}

impl SlotRight {
    fn parts(&self, now: Moment) -> ShareParts {
        if now >= self.rises_at {
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
    last_woken: Moment,
    next_exchange: Moment,
    slots: BTreeMap<usize, SlotRight>,
    peers: BTreeSet<NodeId>,
    spare_of_peers: BTreeMap<NodeId, ShareParts>,
    lent: LentParts,
    borrowed: BorrowedParts,
}

impl RateShares {
    /// A root that holds no slot yet. Asks are numbered from the instance's boot time, so that a
    /// grant meant for an earlier run at the same address answers no ask of this one.
    pub fn new(now: Moment, own: InstanceId, timing: ShareTiming) -> Self {
        Self {
            own_node: own.node,
            timing,
            limit: 0,
            demand: 0.0,
            last_woken: now,
            next_exchange: now,
            slots: BTreeMap::new(),
            peers: BTreeSet::new(),
            spare_of_peers: BTreeMap::new(),
            lent: LentParts::default(),
            borrowed: BorrowedParts::new(own.boot),
        }
    }

    /// Puts the owners of the slots in force ([`super::ServingSet::roots`]). A slot that is lost,
    /// or whose part of the limit shrinks, takes effect at once; a slot that is won, or whose part
    /// grows, after the takeover time. A right moves with its owner from slot to slot: at any time
    /// each of the rights in use stands for another slot, so their sum stays within the limit.
    pub fn set_roots(&mut self, now: Moment, roots: &[NodeId]) {
        self.note_pause(now);
        let target = ShareParts(ShareParts::WHOLE.0 / (roots.len().max(1) as u32));
        let owned = roots.iter().enumerate();
        let owned = owned.filter(|(_, owner)| **owner == self.own_node);
        let slots: BTreeSet<usize> = owned.map(|(slot, _)| slot).collect();
        // A right moves from a slot that is lost to one that is won in the same change.
        let lost = self.slots.iter().filter(|(slot, _)| !slots.contains(slot));
        let mut moving: Vec<SlotRight> = lost.map(|(_, right)| *right).collect();
        let mut rights = BTreeMap::new();
        for slot in slots {
            let known = self.slots.get(&slot).copied().or_else(|| moving.pop());
            rights.insert(slot, self.right_for(now, known, target));
        }
        self.slots = rights;
        self.peers = roots.iter().copied().collect();
        self.peers.remove(&self.own_node);
        let peers = &self.peers;
        self.spare_of_peers.retain(|node, _| peers.contains(node));
        if self.slots.is_empty() {
            self.borrowed.drop_all();
        }
    }

    /// Sets the table's limit at this hour, in queries per second for the whole place.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Reports the rate of queries that arrive here, admitted or not, in queries per second.
    pub fn set_demand(&mut self, demand: f64) {
        self.demand = demand;
    }

    /// Takes a message of another root.
    pub fn on_message(
        &mut self,
        now: Moment,
        from: NodeId,
        message: ShareMessage,
    ) -> Vec<ShareAction> {
        self.note_pause(now);
        if !self.peers.contains(&from) || self.slots.is_empty() {
            return Vec::new();
        }
        match message {
            ShareMessage::Report { spare } => {
                self.spare_of_peers.insert(from, spare);
                Vec::new()
            }
            ShareMessage::Ask { ask, wanted } => self.on_ask(now, from, ask, wanted),
            ShareMessage::Grant { ask, lent } => {
                self.borrowed.on_grant(now, from, ask, lent);
                Vec::new()
            }
        }
    }

    /// To be called at the moment of [`RateShares::next_wakeup`], or earlier.
    pub fn on_wakeup(&mut self, now: Moment) -> Vec<ShareAction> {
        self.note_pause(now);
        self.lent.forget_lapsed(now);
        self.borrowed.forget_lapsed(now);
        if now < self.next_exchange || self.slots.is_empty() {
            return Vec::new();
        }
        self.next_exchange = now + self.timing.exchange_period;
        let mut actions = self.reports(now);
        actions.extend(self.asks(now));
        actions
    }

    /// When [`RateShares::on_wakeup`] is wanted at the latest; none without a slot.
    pub fn next_wakeup(&self) -> Option<Moment> {
        (!self.slots.is_empty()).then_some(self.next_exchange)
    }

    /// Parts of the limit that may be used now: base shares, less what is lent, plus what is
    /// borrowed. Zero after a pause that the machine has not been woken from.
    pub fn usable(&self, now: Moment) -> ShareParts {
        if self.has_paused(now) {
            return ShareParts::default();
        }
        let own = self.base(now).minus(self.lent.total(now));
        own.plus(self.borrowed.total(now))
    }

    /// Queries per second that may be admitted now.
    pub fn usable_rate(&self, now: Moment) -> f64 {
        self.usable(now).rate(self.limit)
    }

    /// Until when the result of [`RateShares::usable`] at `now` stands if nothing else happens: the
    /// next lapse of a loan, or the longest pause.
    pub fn valid_until(&self, now: Moment) -> Moment {
        let pause = self.last_woken + self.timing.longest_pause;
        let rises = self.slots.values().map(|slot| slot.rises_at);
        let changes = rises
            .chain(self.lent.next_lapse())
            .chain(self.borrowed.next_lapse());
        changes.filter(|at| *at > now).fold(pause, Moment::min)
    }

    /// From when every slot held now has its full base share; the past once all have.
    pub fn full_at(&self) -> Moment {
        let rises = self.slots.values().map(|slot| slot.rises_at);
        rises.max().unwrap_or_default()
    }

    fn base(&self, now: Moment) -> ShareParts {
        let parts = self.slots.values().map(|slot| slot.parts(now));
        parts.fold(ShareParts::default(), ShareParts::plus)
    }

    fn has_paused(&self, now: Moment) -> bool {
        now.since(self.last_woken) > self.timing.longest_pause
    }

    /// After a pause others may hold the slots: wait as if they were won just now.
    fn note_pause(&mut self, now: Moment) {
        if self.has_paused(now) {
            for slot in self.slots.values_mut() {
                slot.active = ShareParts::default();
                slot.rises_at = now + self.timing.takeover;
            }
        }
        self.last_woken = self.last_woken.max(now);
    }

    fn right_for(&self, now: Moment, known: Option<SlotRight>, target: ShareParts) -> SlotRight {
        let active = known.map(|right| right.parts(now)).unwrap_or_default();
        match known {
            Some(right) if right.target == target => right,
            _ if target <= active => SlotRight {
                active: target,
                target,
                rises_at: now,
            },
            _ => SlotRight {
                active,
                target,
                rises_at: now + self.timing.takeover,
            },
        }
    }

    fn needed(&self) -> ShareParts {
        ShareParts::of_rate(self.demand * DEMAND_HEADROOM, self.limit)
    }

    /// Own parts neither lent nor needed.
    fn spare(&self, now: Moment) -> ShareParts {
        let own = self.base(now).minus(self.lent.total(now));
        own.minus(self.needed())
    }

    fn on_ask(
        &mut self,
        now: Moment,
        borrower: NodeId,
        ask: u64,
        wanted: ShareParts,
    ) -> Vec<ShareAction> {
        // A renewal replaces the borrower's earlier loan, so only loans to others are in the way.
        let lent_to_borrower = self.lent.held_for(now, borrower);
        let lent_to_others = self.lent.total(now).minus(lent_to_borrower);
        let available = self.base(now).minus(lent_to_others).minus(self.needed());
        let lent = wanted.min(available);
        if lent < MINIMUM_LOAN {
            return Vec::new();
        }
        let until = now + self.timing.lease + self.timing.margin;
        self.lent.lend(borrower, lent, until);
        let message = ShareMessage::Grant { ask, lent };
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

    /// Asks for the parts that own base shares do not cover, first from peers with most to spare.
    fn asks(&mut self, now: Moment) -> Vec<ShareAction> {
        let own = self.base(now).minus(self.lent.total(now));
        let mut shortfall = self.needed().minus(own);
        let mut peers: Vec<(ShareParts, NodeId)> = Vec::new();
        for (&node, &spare) in &self.spare_of_peers {
            peers.push((spare.plus(self.borrowed.from(now, node)), node));
        }
        peers.sort_unstable_by(|left, right| right.cmp(left));
        let mut actions = Vec::new();
        for (spare, to) in peers {
            let wanted = shortfall.min(spare);
            if wanted < MINIMUM_LOAN {
                continue;
            }
            let ask = self.borrowed.open_ask(now, to, self.timing.lease);
            let message = ShareMessage::Ask { ask, wanted };
            actions.push(ShareAction::Send { to, message });
            shortfall = shortfall.minus(wanted);
        }
        actions
    }
}
