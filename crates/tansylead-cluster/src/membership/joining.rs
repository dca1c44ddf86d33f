//! Joining, and comparison of member tables with peers.

use super::event::MembershipAction;
use super::machine::{Membership, Timer};
use super::member::MemberRecord;
use super::packet::{GossipMessage, MemberPage, PlaceSummary};
use super::pages::{build_page, page_records};
use super::sizes::{name_bytes, packet_budget};
use super::sync::{SyncStep, Walk};
use super::table::Comparison;
use rand::RngExt;
use std::time::Duration;
use tansylead_types::{Moment, NodeId, PlaceName};

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

/// Every so many attempts to join ask a machine of the list, where members or seeds are known.
const HINT_PERIOD: u32 = 4;

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

    /// Seeds first; later also members already heard of.
    ///
    /// The machine list names many more leafs than daemons, and leafs never answer. It is asked
    /// while nothing else is known, and now and then in case nobody known answers either.
    fn join_candidate(&mut self) -> Option<NodeId> {
        let later = self.sync.join_attempts >= SEED_ONLY_ATTEMPTS;
        let mut candidates = self.seeds.clone();
        if candidates.is_empty() || later {
            candidates.extend(self.table.running().as_slice());
        }
        let local = self.local.node();
        candidates.retain(|node| *node != local);
        let hint_is_due = later && self.sync.join_attempts.is_multiple_of(HINT_PERIOD);
        if candidates.is_empty() || (hint_is_due && !self.hints.is_empty()) {
            candidates.clone_from(&self.hints);
        }
        self.choose(&candidates)
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
            return;
        }
        let since = *mismatches.entry(sender.place.clone()).or_insert(now);
        let idle = self.sync.step == SyncStep::Idle;
        if idle && self.sync.joined && now.since(since) > self.settings.mismatch_tolerance {
            self.sync.mismatch_since.insert(sender.place.clone(), now);
            self.ask_summary(now, Some(sender.node()), actions);
            self.schedule_sync(now + self.settings.join_period);
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
        let limit = self.settings.pages_served_per_second;
        if !self.page_limit.admit(now, limit) {
            self.counters.sync_refused += 1;
            return;
        }
        let page = build_page(&self.table, &self.local, place, after);
        self.send_with(peer, GossipMessage::Page(page), Vec::new(), actions);
    }
}
