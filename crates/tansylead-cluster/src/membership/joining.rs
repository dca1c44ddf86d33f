//! Joining the cluster, and comparison of member tables with peers.

use super::event::MembershipAction;
use super::machine::{Membership, Timer};
use super::member::MemberRecord;
use super::packet::{GossipMessage, MemberPage, PlaceSummary};
use super::pages::{build_page, page_records};
use super::probes::{Probe, ProbeKind};
use super::sizes::{name_bytes, packet_budget};
use super::sync::{PageProgress, SyncStep};
use super::table::RecordAge;
use crate::codec::MAXIMUM_PACKET_BYTES;
use rand::RngExt;
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, NodeId, PlaceName};

/// This daemon counts as joined after this many comparisons with peers that have not joined
/// themselves.
const UNJOINED_COMPARISONS_TO_JOIN: u32 = 3;

/// Requests for one page before the comparison is given up.
const PAGE_ATTEMPTS: u32 = 6;

/// Join attempts after which the backoff stops growing.
const JOIN_BACKOFF_STEPS: u32 = 4;

/// Period of contacts with seeds that are not members, as a multiple of the join period.
const REMINDER_FACTOR: u32 = 10;

/// Number of first join attempts that ask only seeds.
const SEED_ONLY_ATTEMPTS: u32 = 2;

/// Share of later attempts that still ask seeds.
const SEED_SHARE: f64 = 0.25;

/// Number of consecutive packets from peers with the same table after which queued updates are
/// taken to be known.
const MATCHING_PACKETS_LIMIT: u32 = 8;

/// Typical size of a summary packet.
const SUMMARY_BYTES: usize = 250;

/// Machines of the machine list pinged per join attempt.
const PINGS_PER_ATTEMPT: usize = 8;

impl Membership {
    pub(super) fn run_sync(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if now < self.sync_due {
            return;
        }
        let delay = match std::mem::replace(&mut self.sync.step, SyncStep::Idle) {
            SyncStep::Idle => self.begin_sync(now, actions),
            SyncStep::Summary { peer, asked_at } => {
                let waited = now.since(asked_at);
                if waited < self.settings.join_period {
                    self.sync.step = SyncStep::Summary { peer, asked_at };
                    self.settings.join_period - waited
                } else {
                    self.begin_sync(now, actions)
                }
            }
            SyncStep::Pages(progress) => self.request_next_page(now, progress, actions),
        };
        self.schedule_sync(now + delay);
    }

    fn schedule_sync(&mut self, due: Moment) {
        self.sync_due = due;
        self.timers.schedule(due, Timer::Sync);
    }

    /// Requests a summary if one is needed; returns the time to the next step.
    fn begin_sync(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) -> Duration {
        let is_alone = self.table.running().len() <= 1;
        if self.sync.joined && !is_alone {
            let seed = self.choose_missing_seed();
            self.request_summary(now, seed, actions);
            return self.jittered(self.settings.join_period * REMINDER_FACTOR);
        }
        if is_alone {
            self.ping_listed_nodes(now, actions);
        }
        let peer = self.choose_join_peer();
        self.request_summary(now, peer, actions);
        let step = self.sync.join_attempts.min(JOIN_BACKOFF_STEPS);
        self.sync.join_attempts += 1;
        self.jittered(self.settings.join_period * 2_u32.pow(step))
    }

    fn request_summary(
        &mut self,
        now: Moment,
        peer: Option<NodeId>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(peer) = peer else {
            return;
        };
        self.sync.step = SyncStep::Summary {
            peer,
            asked_at: now,
        };
        self.send(now, peer, GossipMessage::SummaryRequest, actions);
    }

    fn choose_missing_seed(&mut self) -> Option<NodeId> {
        let running = self.table.running();
        let missing: Vec<NodeId> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !running.contains(*seed))
            .collect();
        self.choose(&missing)
    }

    /// A seed at first, later a seed or a known member.
    fn choose_join_peer(&mut self) -> Option<NodeId> {
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

    /// Pings machines of the machine list while no other member is known. Most of them may not be
    /// daemons; one that answers becomes a member that this daemon can join through.
    fn ping_listed_nodes(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        for _ in 0..PINGS_PER_ATTEMPT.min(self.listed_nodes.len()) {
            let node = self.listed_nodes[self.random.random_range(0..self.listed_nodes.len())];
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

    /// Starts a comparison once the hashes sent by a place's members have differed from this
    /// daemon's for longer than the tolerance.
    pub(super) fn check_table_hash(
        &mut self,
        now: Moment,
        sender: &MemberRecord,
        hash: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mismatches = &mut self.sync.mismatch_since;
        if hash == self.table.hash() {
            mismatches.remove(&sender.place);
            self.stop_gossip_if_known();
            return;
        }
        self.matching_packets = 0;
        let since = *mismatches.entry(sender.place.clone()).or_insert(now);
        let idle = self.is_idle(now);
        if idle && self.sync.joined && now.since(since) > self.settings.mismatch_tolerance {
            self.sync.mismatch_since.insert(sender.place.clone(), now);
            self.request_summary(now, Some(sender.node()), actions);
            self.schedule_sync(now + self.settings.join_period);
        }
    }

    /// Whether a comparison may start. An overdue summary request does not count as in progress:
    /// otherwise repeated requests to a permanently lost seed would block comparisons.
    fn is_idle(&self, now: Moment) -> bool {
        match &self.sync.step {
            SyncStep::Idle => true,
            SyncStep::Summary { asked_at, .. } => now.since(*asked_at) > self.settings.join_period,
            SyncStep::Pages(_) => false,
        }
    }

    /// Peers with the same table know every queued update.
    fn stop_gossip_if_known(&mut self) {
        self.matching_packets = self.matching_packets.saturating_add(1);
        if self.matching_packets >= MATCHING_PACKETS_LIMIT {
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
            SyncStep::Summary {
                peer: requested, ..
            } if requested == peer => {}
            _ => return,
        }
        self.counters.comparisons_started += 1;
        let differs =
            |summary: &PlaceSummary| self.table.place_hash(&summary.place) != summary.hash;
        let progress = PageProgress::new(peer, peer_joined, places, &self.local.place, differs);
        let delay = self.request_next_page(now, progress, actions);
        self.schedule_sync(now + delay);
    }

    /// Applies a page. Records in which the peer is out of date are queued for gossip.
    pub(super) fn receive_page(
        &mut self,
        now: Moment,
        peer: NodeId,
        page: &MemberPage,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in page_records(page) {
            if self.apply_record(now, &record, actions) == RecordAge::Older {
                self.queue_update(now, record.node());
            }
        }
        if let SyncStep::Pages(progress) = &mut self.sync.step
            && progress.peer == peer
        {
            progress.advance(&page.place, page.next);
        }
    }

    /// Requests the next page or completes the comparison; returns the time to the next step.
    fn request_next_page(
        &mut self,
        now: Moment,
        mut progress: PageProgress,
        actions: &mut Vec<MembershipAction>,
    ) -> Duration {
        let Some(place) = progress.places.front().cloned() else {
            return self.complete_comparison(now, &progress, actions);
        };
        if progress.attempts >= PAGE_ATTEMPTS {
            return self.jittered(self.settings.join_period);
        }
        progress.attempts += 1;
        progress.awaiting_page = true;
        let peer = progress.peer;
        let after = progress.after;
        self.sync.step = SyncStep::Pages(progress);
        self.send(
            now,
            peer,
            GossipMessage::PageRequest { place, after },
            actions,
        );
        self.settings.page_interval
    }

    fn complete_comparison(
        &mut self,
        now: Moment,
        progress: &PageProgress,
        actions: &mut Vec<MembershipAction>,
    ) -> Duration {
        self.sync.step = SyncStep::Idle;
        if !progress.peer_joined {
            self.sync.unjoined_comparisons += 1;
        }
        let enough =
            progress.peer_joined || self.sync.unjoined_comparisons >= UNJOINED_COMPARISONS_TO_JOIN;
        if enough && !self.sync.joined {
            self.sync.joined = true;
            self.queue_update(now, self.local.node());
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
            places: self.summaries_within_budget(),
        };
        self.send_with(peer, message, Vec::new(), actions);
    }

    fn summaries_within_budget(&self) -> Vec<PlaceSummary> {
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
