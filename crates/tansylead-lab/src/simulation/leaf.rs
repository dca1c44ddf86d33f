//! A simulated leaf: slots, a short queue, latency with stragglers, versions, and all the ways in
//! which it can fail or mislead.

use super::clock::Clocks;
use super::history::Execution;
use super::message::{CallId, Response};
use super::topology::{FIRST_VERSION, Placement, SLOTS_PER_LEAF, placement_of_leaf};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tansylead_types::leaf::{
    LeafAnswer, LeafHealth, LeafLoad, LeafRefusal, LeafRequest, RefusalReason,
};
use tansylead_types::{Moment, SnapshotVersion};

/// Requests that wait for a slot, at most.
const MAXIMUM_QUEUED: usize = 10;
const USUAL_LATENCY_MILLIS: std::ops::Range<u64> = 2..12;
const STRAGGLER_LATENCY_MILLIS: std::ops::Range<u64> = 100..400;
const STRAGGLER_SHARE: f64 = 0.01;
const STRAGGLING_FACTOR: u32 = 25;
const COLD_FACTOR: u32 = 4;
const COLD_TIME: Duration = Duration::from_secs(3);
const SHED_RETRY_AFTER_MILLIS: u64 = 50;

/// How a leaf that is leaving behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainStyle {
    /// It refuses new work and says so everywhere.
    Refuses,
    /// It takes new work; its answers carry the mark, its health does not.
    MarksAnswers,
    /// It takes new work and shows nothing.
    Silent,
}

/// Names one execution within a leaf's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExecutionId(pub u64);

/// What the world does for a leaf.
#[derive(Debug)]
pub enum LeafAction {
    /// Answer a call.
    Respond(CallId, Response),
    /// Call [`SimulatedLeaf::finish`] then.
    FinishAt(Moment, ExecutionId),
}

/// Ways in which a leaf fails or misleads; each counted, because faults may overlap.
#[derive(Debug, Clone, Default)]
pub struct LeafFaults {
    /// Refuses all work.
    pub sheds: u32,
    /// Takes much longer.
    pub straggles: u32,
    /// Takes work and never answers.
    pub hangs: u32,
    /// Leaving.
    pub drains: Option<DrainStyle>,
    /// Lists the version it has lost.
    pub lies_about_versions: bool,
    /// Runs what has expired; only for showing that the oracle sees it.
    pub ignores_expiry: bool,
}

#[derive(Debug)]
struct Running {
    call: CallId,
    request: LeafRequest,
    log_position: usize,
}

#[derive(Debug)]
struct Queued {
    call: CallId,
    request: LeafRequest,
    give_up: Moment,
}

/// One run of one leaf.
#[derive(Debug)]
pub struct SimulatedLeaf {
    index: usize,
    placement: Placement,
    cold_until: Moment,
    /// Faults.
    pub faults: LeafFaults,
    versions: BTreeSet<SnapshotVersion>,
    lost: BTreeSet<SnapshotVersion>,
    running: BTreeMap<ExecutionId, Running>,
    queue: VecDeque<Queued>,
    next_execution: u64,
}

impl SimulatedLeaf {
    /// A leaf that has just started with the first version.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            placement: placement_of_leaf(index),
            cold_until: Moment::default(),
            faults: LeafFaults::default(),
            versions: BTreeSet::from([FIRST_VERSION]),
            lost: BTreeSet::new(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            next_execution: 0,
        }
    }

    /// A later run of the same leaf: same versions, cold.
    pub fn restarted(&self, now: Moment) -> Self {
        let mut leaf = Self::new(self.index);
        leaf.versions = self.versions.clone();
        leaf.cold_until = now + COLD_TIME;
        leaf.faults.ignores_expiry = self.faults.ignores_expiry;
        leaf
    }

    /// Begins to hold a version.
    pub fn load_version(&mut self, version: SnapshotVersion) {
        self.versions.insert(version);
        self.lost.remove(&version);
    }

    /// Ends holding a version.
    pub fn drop_version(&mut self, version: SnapshotVersion) {
        self.versions.remove(&version);
    }

    /// Loses the newest version, and says nothing.
    pub fn lose_newest_version(&mut self) {
        if let Some(version) = self.newest_version() {
            self.lost.insert(version);
            self.faults.lies_about_versions = true;
        }
    }

    /// Has all versions again.
    pub fn find_lost_versions(&mut self) {
        self.lost.clear();
        self.faults.lies_about_versions = false;
    }

    /// The newest version it holds.
    pub fn newest_version(&self) -> Option<SnapshotVersion> {
        self.versions
            .iter()
            .rev()
            .find(|v| !self.lost.contains(v))
            .copied()
    }

    /// An attempt arrives.
    pub fn on_search(
        &mut self,
        clocks: Clocks,
        call: CallId,
        request: LeafRequest,
        random: &mut SmallRng,
        log: &mut Vec<Execution>,
    ) -> Vec<LeafAction> {
        if let Some(reason) = self.reason_to_refuse(clocks, &request) {
            return vec![self.refuse(call, &request, reason)];
        }
        if self.running.len() >= SLOTS_PER_LEAF as usize {
            let give_up = clocks.now + Duration::from_millis(request.time_left_millis);
            self.queue.push_back(Queued {
                call,
                request,
                give_up,
            });
            return Vec::new();
        }
        self.start(clocks.now, call, request, random, log)
    }

    /// An execution runs to its end.
    pub fn finish(
        &mut self,
        clocks: Clocks,
        execution: ExecutionId,
        random: &mut SmallRng,
        log: &mut Vec<Execution>,
    ) -> Vec<LeafAction> {
        let Some(running) = self.running.remove(&execution) else {
            return Vec::new();
        };
        log[running.log_position].finished = Some(clocks.now);
        let mut actions = vec![self.answer(&running)];
        actions.extend(self.start_queued(clocks, random, log));
        actions
    }

    /// The root has gone away.
    pub fn on_abandoned(
        &mut self,
        clocks: Clocks,
        call: CallId,
        random: &mut SmallRng,
        log: &mut Vec<Execution>,
    ) -> Vec<LeafAction> {
        self.queue.retain(|queued| queued.call != call);
        self.running.retain(|_, running| running.call != call);
        self.start_queued(clocks, random, log)
    }

    /// What the health endpoint says.
    pub fn health(&self) -> LeafHealth {
        let mut load = self.load();
        load.draining = self.faults.drains == Some(DrainStyle::Refuses);
        let lies = self.faults.lies_about_versions;
        let shown = |version: &&SnapshotVersion| lies || !self.lost.contains(version);
        LeafHealth {
            healthy: true,
            load,
            snapshots: self.versions.iter().filter(shown).copied().collect(),
        }
    }

    fn load(&self) -> LeafLoad {
        let marks = matches!(
            self.faults.drains,
            Some(DrainStyle::Refuses | DrainStyle::MarksAnswers)
        );
        LeafLoad {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: SLOTS_PER_LEAF,
            draining: marks,
        }
    }

    fn reason_to_refuse(&self, clocks: Clocks, request: &LeafRequest) -> Option<RefusalReason> {
        let has_version =
            self.versions.contains(&request.snapshot) && !self.lost.contains(&request.snapshot);
        let holds = self
            .placement
            .holds(self.index, &request.shard, request.snapshot);
        let is_full = self.queue.len() >= MAXIMUM_QUEUED;
        if self.faults.drains == Some(DrainStyle::Refuses) {
            Some(RefusalReason::Draining)
        } else if !has_version {
            Some(RefusalReason::SnapshotNotHeld)
        } else if !holds {
            Some(RefusalReason::ShardNotHeld)
        } else if self.is_expired(clocks, request) {
            Some(RefusalReason::Expired)
        } else if self.faults.sheds > 0 || is_full {
            Some(RefusalReason::Overloaded)
        } else {
            None
        }
    }

    fn is_expired(&self, clocks: Clocks, request: &LeafRequest) -> bool {
        let has_passed = request
            .expires
            .is_some_and(|expires| clocks.wall >= expires);
        has_passed && !self.faults.ignores_expiry
    }

    fn start(
        &mut self,
        now: Moment,
        call: CallId,
        request: LeafRequest,
        random: &mut SmallRng,
        log: &mut Vec<Execution>,
    ) -> Vec<LeafAction> {
        let execution = ExecutionId(self.next_execution);
        self.next_execution += 1;
        log.push(Execution {
            leaf: self.index,
            started: now,
            request: request.request.clone(),
            shard: request.shard.clone(),
            snapshot: request.snapshot,
            key: request.idempotency_key.as_ref().map(|key| key.to_string()),
            finished: None,
        });
        let running = Running {
            call,
            request,
            log_position: log.len() - 1,
        };
        self.running.insert(execution, running);
        if self.faults.hangs > 0 {
            return Vec::new();
        }
        vec![LeafAction::FinishAt(
            now + self.latency(now, random),
            execution,
        )]
    }

    fn start_queued(
        &mut self,
        clocks: Clocks,
        random: &mut SmallRng,
        log: &mut Vec<Execution>,
    ) -> Vec<LeafAction> {
        let mut actions = Vec::new();
        while self.running.len() < SLOTS_PER_LEAF as usize {
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            let is_late = clocks.now >= queued.give_up || self.is_expired(clocks, &queued.request);
            if is_late && !self.faults.ignores_expiry {
                actions.push(self.refuse(queued.call, &queued.request, RefusalReason::Expired));
            } else {
                actions.extend(self.start(clocks.now, queued.call, queued.request, random, log));
            }
        }
        actions
    }

    fn latency(&self, now: Moment, random: &mut SmallRng) -> Duration {
        let range = if random.random_bool(STRAGGLER_SHARE) {
            STRAGGLER_LATENCY_MILLIS
        } else {
            USUAL_LATENCY_MILLIS
        };
        let mut latency = Duration::from_millis(random.random_range(range));
        if self.faults.straggles > 0 {
            latency *= STRAGGLING_FACTOR;
        }
        if now < self.cold_until {
            latency *= COLD_FACTOR;
        }
        latency
    }

    fn answer(&self, running: &Running) -> LeafAction {
        let request = &running.request;
        let answer = LeafAnswer {
            request: request.request.clone(),
            root: request.root.clone(),
            query: request.query,
            attempt: request.attempt,
            shard: request.shard.clone(),
            snapshot: request.snapshot,
            result: super::oracle::expected_result(&request.shard, request.snapshot, &request.body),
            load: self.load(),
        };
        LeafAction::Respond(running.call, Response::Found(answer))
    }

    fn refuse(&self, call: CallId, request: &LeafRequest, reason: RefusalReason) -> LeafAction {
        let sheds = reason == RefusalReason::Overloaded;
        let refusal = LeafRefusal {
            root: request.root.clone(),
            query: request.query,
            attempt: request.attempt,
            reason,
            retry_after_millis: sheds.then_some(SHED_RETRY_AFTER_MILLIS),
            load: self.load(),
        };
        LeafAction::Respond(call, Response::Refused(refusal))
    }
}
