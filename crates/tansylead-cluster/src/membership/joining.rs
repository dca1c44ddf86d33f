//! Joining, and comparison of member tables with peers.

use super::event::MembershipAction;
use super::machine::{Membership, Timer};
use super::member::MemberRecord;
use super::packet::{GossipMessage, MemberPage, PlaceSummary};
use super::pages::{build_page, page_records};
use super::probes::{Probe, ProbeKind};
use super::sizes::{name_bytes, packet_budget};
use super::sync::{SyncStep, Walk};
use super::table::Comparison;
use crate::codec::MAXIMUM_PACKET_BYTES;
use rand::RngExt;
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, NodeId, PlaceName};

/// Walks with peers that have not joined themselves after which this daemon counts as joined.
const WALKS_WITH_UNJOINED: u32 = 3;

/// Requests for one page before the walk is given up.
const PAGE_ATTEMPTS: u32 = 6;

/// Join attempts after which the period is at its longest.
const JOIN_BACKOFF_STEPS: u32 = 4;

/// Period of reminders to seeds that are not members, as a multiple of the join period.
const REMINDER_FACTOR: u32 = 10;

/// First attempts to join that ask only seeds.
const SEED_ONLY_ATTEMPTS: u32 = 2;

/// Share of later attempts that still ask seeds.
const SEED_SHARE: f64 = 0.25;

/// Packets in a row that show the same table, after which queued statements are known widely
/// enough.
const AGREEING_PACKETS: u32 = 8;

/// Usual size of a summary packet.
const SUMMARY_BYTES: usize = 250;

/// Machines of the list pinged per attempt to join.
const HINTS_PER_ATTEMPT: usize = 8;

impl Membership {
    pub(super) fn run_sync(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if now < self.sync_due {
            return;
        }
        let delay = match std::mem::replace(&mut self.sync.step, SyncStep::Idle) {
            SyncStep::Idle => self.begin_sync(now, actions),
            SyncStep::Summary { peer, asked } => {
                let waited = now.since(asked);
                if waited < self.settings.join_period {
                    self.sync.step = SyncStep::Summary { peer, asked };
                    self.settings.join_period - waited
                } else {
                    self.begin_sync(now, actions)
                }
            }
            SyncStep::Pages(walk) => self.continue_walk(now, walk, actions),
        };
        self.schedule_sync(now + delay);
    }

    fn schedule_sync(&mut self, due: Moment) {
        self.sync_due = due;
        self.timers.schedule(due, Timer::Sync);
    }

    /// Asks for a summary if there is a reason to; returns the time to the next step.
    fn begin_sync(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) -> Duration {
        let alone = self.table.running().len() <= 1;
        if self.sync.joined && !alone {
            let seed = self.missing_seed();
            self.ask_summary(now, seed, actions);
            return self.jittered(self.settings.join_period * REMINDER_FACTOR);
        }
        if alone {
            self.ping_hints(now, actions);
        }
        let peer = self.join_candidate();
        self.ask_summary(now, peer, actions);
        let step = self.sync.join_attempts.min(JOIN_BACKOFF_STEPS);
        self.sync.join_attempts += 1;
        self.jittered(self.settings.join_period * 2_u32.pow(step))
    }

    fn ask_summary(
        &mut self,
        now: Moment,
        peer: Option<NodeId>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(peer) = peer else {
            return;
        };
        self.sync.step = SyncStep::Summary { peer, asked: now };
        self.send(now, peer, GossipMessage::SummaryRequest, actions);
    }

    fn missing_seed(&mut self) -> Option<NodeId> {
        let running = self.table.running();
        let missing: Vec<NodeId> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !running.contains(*seed))
            .collect();
        self.choose(&missing)
    }

    /// A seed at first; later a seed or a member already heard of.
    fn join_candidate(&mut self) -> Option<NodeId> {
        let seeds_only = self.sync.join_attempts < SEED_ONLY_ATTEMPTS;
        let prefer_seed = seeds_only || self.random.random_bool(SEED_SHARE);
        if prefer_seed && !self.seeds.is_empty() {
            let seeds = self.seeds.clone();
            return self.choose(&seeds);
        }
        let local = [self.local.node()];
        let running = self.table.running();
        let member = running.sample(&mut self.random, 1, &local).pop();
        let seeds = self.seeds.clone();
        member.or_else(|| self.choose(&seeds))
    }

    /// Pings machines of the list while nobody else is known. Most of them may not be daemons;
    /// one that answers becomes a member and can be joined through.
    fn ping_hints(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        for _ in 0..HINTS_PER_ATTEMPT.min(self.hints.len()) {
            let node = self.hints[self.random.random_range(0..self.hints.len())];
            let probe = Probe {
                target: InstanceId { node, boot: 0 },
                kind: ProbeKind::Failed,
            };
            self.start_probe(now, probe, actions);
        }
    }

    fn choose(&mut self, nodes: &[NodeId]) -> Option<NodeId> {
        if nodes.is_empty() {
            return None;
        }
        Some(nodes[self.random.random_range(0..nodes.len())])
    }

    /// Notices that the tables of a place's members have differed for long, and then compares.
    pub(super) fn compare_tables(
        &mut self,
        now: Moment,
        sender: &MemberRecord,
        hash: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mismatches = &mut self.sync.mismatch_since;
        if hash == self.table.hash() {
            mismatches.remove(&sender.place);
            self.stop_gossip_once_known();
            return;
        }
        self.agreeing_packets = 0;
        let since = *mismatches.entry(sender.place.clone()).or_insert(now);
        let idle = self.is_idle(now);
        if idle && self.sync.joined && now.since(since) > self.settings.mismatch_tolerance {
            self.sync.mismatch_since.insert(sender.place.clone(), now);
            self.ask_summary(now, Some(sender.node()), actions);
            self.schedule_sync(now + self.settings.join_period);
        }
    }

    /// Whether a comparison may begin. A summary that is overdue does not count as under way: a
    /// seed that is gone for good is asked again and again.
    fn is_idle(&self, now: Moment) -> bool {
        match &self.sync.step {
            SyncStep::Idle => true,
            SyncStep::Summary { asked, .. } => now.since(*asked) > self.settings.join_period,
            SyncStep::Pages(_) => false,
        }
    }

    /// Peers with the same table know every queued statement.
    fn stop_gossip_once_known(&mut self) {
        self.agreeing_packets = self.agreeing_packets.saturating_add(1);
        if self.agreeing_packets >= AGREEING_PACKETS {
            self.updates.clear();
        }
    }

    pub(super) fn receive_summary(
        &mut self,
        now: Moment,
        peer: NodeId,
        peer_joined: bool,
        places: Vec<PlaceSummary>,
        actions: &mut Vec<MembershipAction>,
    ) {
        match self.sync.step {
            SyncStep::Summary { peer: asked, .. } if asked == peer => {}
            _ => return,
        }
        self.counters.walks_started += 1;
        let differs =
            |summary: &PlaceSummary| self.table.place_hash(&summary.place) != summary.hash;
        let walk = Walk::new(peer, peer_joined, places, &self.local.place, differs);
        let delay = self.continue_walk(now, walk, actions);
        self.schedule_sync(now + delay);
    }

    /// Takes a page in. Statements of the peer that are out of date are answered by gossip.
    pub(super) fn receive_page(
        &mut self,
        now: Moment,
        peer: NodeId,
        page: &MemberPage,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in page_records(page) {
            if self.adopt(now, &record, actions) == Comparison::Older {
                self.pass_on(now, record.node());
            }
        }
        if let SyncStep::Pages(walk) = &mut self.sync.step
            && walk.peer == peer
        {
            walk.advance(&page.place, page.next);
        }
    }

    /// Asks for the next page, or ends the walk; returns the time to the next step.
    fn continue_walk(
        &mut self,
        now: Moment,
        mut walk: Walk,
        actions: &mut Vec<MembershipAction>,
    ) -> Duration {
        let Some(place) = walk.places.front().cloned() else {
            return self.complete_walk(now, &walk, actions);
        };
        if walk.attempts >= PAGE_ATTEMPTS {
            return self.jittered(self.settings.join_period);
        }
        walk.attempts += 1;
        walk.waiting = true;
        let peer = walk.peer;
        let after = walk.after;
        self.sync.step = SyncStep::Pages(walk);
        self.send(
            now,
            peer,
            GossipMessage::PageRequest { place, after },
            actions,
        );
        self.settings.page_interval
    }

    fn complete_walk(
        &mut self,
        now: Moment,
        walk: &Walk,
        actions: &mut Vec<MembershipAction>,
    ) -> Duration {
        self.sync.step = SyncStep::Idle;
        if !walk.peer_joined {
            self.sync.walks_with_unjoined += 1;
        }
        let enough = walk.peer_joined || self.sync.walks_with_unjoined >= WALKS_WITH_UNJOINED;
        if enough && !self.sync.joined {
            self.sync.joined = true;
            self.pass_on(now, self.local.node());
            actions.push(MembershipAction::Joined);
        }
        if self.sync.joined {
            self.jittered(self.settings.join_period * REMINDER_FACTOR)
        } else {
            self.jittered(self.settings.join_period / 2)
        }
    }

    pub(super) fn serve_summary(
        &mut self,
        now: Moment,
        peer: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let limit = self.settings.summaries_served_per_second;
        if !self.summary_limit.admit(now, limit) {
            self.counters.sync_refused += 1;
            return;
        }
        self.bulk_limit.spend(SUMMARY_BYTES);
        let message = GossipMessage::Summary {
            joined: self.sync.joined,
            places: self.fitting_summaries(),
        };
        self.send_with(peer, message, Vec::new(), actions);
    }

    fn fitting_summaries(&self) -> Vec<PlaceSummary> {
        const HASH_BYTES: usize = 10;
        let mut budget = packet_budget(&self.local);
        let mut fitting = Vec::new();
        for summary in self.table.summaries() {
            let bytes = name_bytes(summary.place.as_str()) + HASH_BYTES;
            if bytes > budget {
                break;
            }
            budget -= bytes;
            fitting.push(summary);
        }
        fitting
    }

    pub(super) fn serve_page(
        &mut self,
        now: Moment,
        peer: NodeId,
        place: PlaceName,
        after: Option<NodeId>,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.bulk_limit.available(now) < MAXIMUM_PACKET_BYTES {
            self.counters.sync_refused += 1;
            return;
        }
        self.bulk_limit.spend(MAXIMUM_PACKET_BYTES);
        let page = build_page(&self.table, &self.local, place, after);
        self.send_with(peer, GossipMessage::Page(page), Vec::new(), actions);
    }
}
