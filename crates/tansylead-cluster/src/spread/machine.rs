//! The spread state machine: reading of the store, announcements and pulls between peers.
//!
//! Invariants: the replica decides what is applied, so no order of reads, pulls and announcements
//! can revert a change; at most one store read and one pull are open.

use super::event::{SpreadAction, SpreadEvent};
use super::puller::{Pull, Puller};
use super::readers::ReaderRanking;
use super::replica::{ApplyOutcome, ConfigReplica};
use super::settings::SpreadSettings;
use super::state::{NotReadyReason, Readiness, StoreState};
use super::store_reader::StoreReader;
use crate::membership::{ConfigDigest, LocalMember, MemberRecord};
use crate::node_set::NodeSet;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use tansylead_types::store::ObjectList;
use tansylead_types::{Moment, NodeId, PlaceName, StepError};

/// Counters for metrics; all of them only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SpreadCounters {
    /// Reads of the store started.
    pub store_reads: u64,
    /// Reads of the store that failed.
    pub store_failures: u64,
    /// Pulls from peers started.
    pub pulls: u64,
    /// Pulls from peers that failed or timed out.
    pub pull_failures: u64,
    /// Announcements sent.
    pub announcements: u64,
    /// Objects applied.
    pub objects_applied: u64,
    /// Objects received that were older than the ones held.
    pub objects_older: u64,
}

/// Error of a daemon that cannot serve a pull because it holds no complete configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no configuration to serve yet")]
pub struct NothingToServe;

/// One daemon's part in spreading the configuration.
#[derive(Debug)]
pub struct SpreadMachine {
    settings: SpreadSettings,
    node: NodeId,
    place: PlaceName,
    joined: bool,
    join_deadline: Moment,
    local_peers: NodeSet,
    remote_peers: NodeSet,
    ranking: ReaderRanking,
    store: StoreReader,
    puller: Puller,
    replica: ConfigReplica,
    random: Xoshiro256PlusPlus,
    counters: SpreadCounters,
}

impl SpreadMachine {
    /// A daemon without configuration. `joined` is the current `Membership::is_joined`; `seed`
    /// initializes the random generator.
    pub fn new(
        now: Moment,
        local: LocalMember,
        joined: bool,
        settings: SpreadSettings,
        seed: u64,
    ) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let grace = settings.join_grace.mul_f64(random.random_range(1.0..2.0));
        let local = local.record();
        let mut ranking = ReaderRanking::new(local.place.clone());
        ranking.update(&local);
        Self {
            node: local.node(),
            place: local.place,
            joined,
            join_deadline: now + grace,
            local_peers: NodeSet::default(),
            remote_peers: NodeSet::default(),
            ranking,
            store: StoreReader::new(now),
            puller: Puller::new(now),
            replica: ConfigReplica::new(),
            random,
            counters: SpreadCounters::default(),
            settings,
        }
    }

    /// Handles one event.
    pub fn on_event(&mut self, now: Moment, event: SpreadEvent) -> Vec<SpreadAction> {
        let mut actions = Vec::new();
        match event {
            SpreadEvent::PeerConfig { peer, digest } => self.puller.record_digest(peer, digest),
            SpreadEvent::PullFinished {
                peer,
                after,
                result,
            } => self.finish_pull(Pull { peer, after }, result, &mut actions),
            SpreadEvent::StoreRead { after, result } => {
                self.finish_read(now, after, result, &mut actions);
            }
            SpreadEvent::Member(record) => self.update_member(&record),
            SpreadEvent::MemberForgotten(node) => self.remove_member(node),
            SpreadEvent::Joined => self.joined = true,
            SpreadEvent::Wakeup => {}
        }
        self.update_reader_role(now, &mut actions);
        self.read_store(now, &mut actions);
        self.pull(now, &mut actions);
        actions
    }

    /// Time at which `Wakeup` is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let join = self.awaits_join().then_some(self.join_deadline);
        [join, self.store.next_wakeup(), self.puller.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// The configuration that this daemon holds.
    pub fn replica(&self) -> &ConfigReplica {
        &self.replica
    }

    /// The changes for a peer that holds everything up to `after`. The driver must serve at most
    /// [`SpreadSettings::pulls_served`] pulls at once.
    pub fn serve(&self, after: u64) -> Result<ObjectList, NothingToServe> {
        if !self.replica.is_complete() {
            return Err(NothingToServe);
        }
        Ok(self.replica.delta_after(after))
    }

    /// Whether this daemon holds a configuration, and if not, why.
    pub fn readiness(&self) -> Readiness {
        if self.replica.is_complete() {
            return Readiness::Ready;
        }
        Readiness::NotReady(NotReadyReason {
            store: self.store.state().to_string(),
            peers: self.peers_reason(),
        })
    }

    /// What is known of the store.
    pub fn store_state(&self) -> &StoreState {
        self.store.state()
    }

    /// Whether this daemon reads the store.
    pub fn is_reader(&self) -> bool {
        self.store.is_active()
    }

    /// Counters for metrics.
    pub fn counters(&self) -> SpreadCounters {
        self.counters
    }

    fn awaits_join(&self) -> bool {
        !self.joined && !self.store.is_active() && self.ranks_as_reader()
    }

    fn ranks_as_reader(&self) -> bool {
        self.ranking
            .is_reader(self.node, self.settings.readers_per_place)
    }

    fn peers_reason(&self) -> String {
        let peers = self.local_peers.len() + self.remote_peers.len();
        match self.puller.last_error() {
            Some(error) => error.to_owned(),
            None if !self.joined => format!("not joined yet, {peers} known"),
            None => format!("none of {peers} holds a configuration"),
        }
    }

    fn update_member(&mut self, record: &MemberRecord) {
        let node = record.node();
        self.ranking.update(record);
        if node == self.node {
            return;
        }
        if !record.state.is_running() {
            self.remove_member(node);
        } else if record.place == self.place {
            self.local_peers.insert(node);
        } else {
            self.remote_peers.insert(node);
        }
    }

    fn remove_member(&mut self, node: NodeId) {
        self.ranking.remove(node);
        self.local_peers.remove(node);
        self.remote_peers.remove(node);
        self.puller.forget(node);
    }

    fn update_reader_role(&mut self, now: Moment, actions: &mut Vec<SpreadAction>) {
        let may_read = self.joined || now >= self.join_deadline;
        let is_reader = self.ranks_as_reader() && may_read;
        if is_reader && !self.store.is_active() {
            let delay = self.settings.read_interval.mul_f64(self.random.random());
            self.store.start(now, delay);
        } else if !is_reader && self.store.is_active() && self.store.stop() {
            actions.push(SpreadAction::StopReading);
        }
    }

    fn read_store(&mut self, now: Moment, actions: &mut Vec<SpreadAction>) {
        let read = self.store.take_due(now, &self.settings, &mut self.random);
        if let Some(read) = read {
            self.counters.store_reads += 1;
            actions.push(SpreadAction::ReadStore {
                after: read.after,
                hold: read.hold,
            });
        }
    }

    fn finish_read(
        &mut self,
        now: Moment,
        after: u64,
        result: Result<ObjectList, StepError>,
        actions: &mut Vec<SpreadAction>,
    ) {
        if !self.store.finish(after) {
            return;
        }
        match result {
            Ok(list) => {
                let store_revision = list.revision;
                // A store behind `after` was restored from a backup: its list is not a delta.
                if store_revision >= after {
                    self.apply(after, list, None, actions);
                }
                let held = self.replica.revision();
                let random = &mut self.random;
                self.store
                    .on_success(now, store_revision, held, &self.settings, random);
            }
            Err(error) => {
                self.counters.store_failures += 1;
                let error = error.to_string();
                self.store
                    .on_failure(now, error, &self.settings, &mut self.random);
            }
        }
    }

    fn pull(&mut self, now: Moment, actions: &mut Vec<SpreadAction>) {
        self.puller.expire(now);
        let held = self.replica.digest();
        let pull = self
            .puller
            .next(now, held, &self.settings, &mut self.random);
        if let Some(pull) = pull {
            self.counters.pulls += 1;
            actions.push(SpreadAction::Pull {
                peer: pull.peer,
                after: pull.after,
            });
        }
    }

    fn finish_pull(
        &mut self,
        pull: Pull,
        result: Result<ObjectList, StepError>,
        actions: &mut Vec<SpreadAction>,
    ) {
        match result {
            Ok(list) => {
                self.puller.finish(pull, None);
                self.apply(pull.after, list, Some(pull.peer), actions);
            }
            Err(error) => {
                self.counters.pull_failures += 1;
                self.puller.finish(pull, Some(error.to_string()));
            }
        }
    }

    fn apply(
        &mut self,
        after: u64,
        list: ObjectList,
        source: Option<NodeId>,
        actions: &mut Vec<SpreadAction>,
    ) {
        // A gap cannot occur: reads and pulls start at or below the revision held when they start,
        // and that revision never decreases. A list with a gap would be dropped all the same.
        let Ok(outcome) = self.replica.apply(after, list) else {
            return;
        };
        self.counters.objects_older += outcome.older as u64;
        self.counters.objects_applied += outcome.applied.len() as u64;
        if outcome.changed {
            self.announce(outcome, source, actions);
        }
    }

    fn announce(
        &mut self,
        outcome: ApplyOutcome,
        source: Option<NodeId>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let digest: ConfigDigest = self.replica.digest();
        actions.push(SpreadAction::Applied {
            keys: outcome.applied,
            digest,
        });
        let excluded: Vec<NodeId> = source.into_iter().collect();
        let random = &mut self.random;
        let mut to = self
            .local_peers
            .sample(random, self.settings.local_fan_out, &excluded);
        to.extend(
            self.remote_peers
                .sample(random, self.settings.remote_fan_out, &excluded),
        );
        self.counters.announcements += to.len() as u64;
        if !to.is_empty() {
            actions.push(SpreadAction::Announce { to });
        }
    }
}
