//! One stand-in leaf: admission, slots, running a request, and its end.
//!
//! Invariants: a refused request has not run; a request that runs holds a slot and has a log entry;
//! dropping the future of [`StandInLeaf::search`] stops the work and logs it as cancelled.

use super::counters::LeafCounters;
use super::execution_log::{ExecutionEnd, ExecutionLog, ExecutionStart};
use super::faults::{DrainMode, LeafFaults};
use super::health::HealthHistory;
use super::latency::LatencySampler;
use super::result::result_json;
use super::spec::{Holding, LeafSpec};
use crate::wall_clock;
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::leaf::{LeafAnswer, LeafHealth, LeafLoad, LeafRefusal, LeafRequest};
use tansylead_types::leaf::{RefusalReason, RefusalReason as Reason};
use tansylead_types::{ShardId, SnapshotVersion, WallTime};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;

/// When an overloaded leaf suggests to come back, in milliseconds.
const OVERLOADED_RETRY_MILLIS: u64 = 20;

/// How a search ended.
#[derive(Debug)]
pub enum SearchOutcome {
    /// It ran.
    Answered(LeafAnswer),
    /// It was refused before running.
    Refused(LeafRefusal),
    /// It ran until its deadline passed.
    DeadlinePassed,
    /// It ran, and the answer is to be withheld.
    Cut,
}

/// One leaf.
pub struct StandInLeaf {
    /// Description, with the address it listens on.
    pub spec: LeafSpec,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Faults in force.
    pub faults: watch::Sender<LeafFaults>,
    slots: Arc<Semaphore>,
    log: Arc<ExecutionLog>,
    state: Mutex<LeafState>,
}

struct LeafState {
    holdings: BTreeMap<SnapshotVersion, BTreeSet<ShardId>>,
    sampler: LatencySampler,
    started_at: Instant,
    running: u32,
    queued: u32,
    connections: u32,
    counters: LeafCounters,
    last_answer: Option<LeafAnswer>,
    health: HealthHistory,
}

impl StandInLeaf {
    /// A leaf that listens on an address.
    pub fn new(spec: LeafSpec, address: SocketAddr, seed: u64, log: Arc<ExecutionLog>) -> Self {
        let behaviour = &spec.behaviour;
        let sampler = LatencySampler::new(
            seed,
            behaviour.latency.clone(),
            behaviour.cold_start.clone(),
        );
        let state = LeafState {
            holdings: index_holdings(&spec.holdings),
            sampler,
            started_at: Instant::now(),
            running: 0,
            queued: 0,
            connections: 0,
            counters: LeafCounters::default(),
            last_answer: None,
            health: HealthHistory::default(),
        };
        Self {
            address,
            faults: watch::Sender::new(LeafFaults::default()),
            slots: Arc::new(Semaphore::new(spec.slots as usize)),
            log,
            state: Mutex::new(state),
            spec,
        }
    }

    /// Replaces the faults in force. A leaf that was stopped starts cold.
    pub fn set_faults(&self, faults: LeafFaults) {
        self.record_health();
        let was_stopped = self.faults.borrow().stopped;
        if was_stopped && !faults.stopped {
            self.state.lock().started_at = Instant::now();
        }
        self.faults.send_replace(faults);
    }

    /// Replaces what the leaf holds. Requests that run go on.
    pub fn set_holdings(&self, holdings: &[Holding]) {
        self.record_health();
        self.state.lock().holdings = index_holdings(holdings);
    }

    /// Counters so far.
    pub fn counters(&self) -> LeafCounters {
        self.state.lock().counters
    }

    /// True load, with the draining mark.
    pub fn load(&self) -> LeafLoad {
        let draining = self.faults.borrow().drain != DrainMode::None;
        let state = self.state.lock();
        LeafLoad {
            running: state.running,
            queued: state.queued,
            slots: self.spec.slots,
            draining,
        }
    }

    /// The health report that the endpoint gives now; none if it hangs.
    pub fn reported_health(&self) -> Option<LeafHealth> {
        self.record_health();
        let faults = self.faults.borrow().clone();
        self.state.lock().health.reported(Instant::now(), &faults)
    }

    /// Takes a connection into account; false if the limit is reached.
    pub fn connection_opened(&self) -> bool {
        let mut state = self.state.lock();
        if state.connections >= self.spec.maximum_connections {
            state.counters.connections_refused += 1;
            return false;
        }
        state.connections += 1;
        state.counters.connections_accepted += 1;
        let open = u64::from(state.connections);
        state.counters.connections_peak = state.counters.connections_peak.max(open);
        true
    }

    /// A connection that was taken into account is closed.
    pub fn connection_closed(&self) {
        self.state.lock().connections -= 1;
    }

    /// Handles one request that has just arrived.
    pub async fn search(self: &Arc<Self>, request: LeafRequest) -> SearchOutcome {
        let deadline = Instant::now() + Duration::from_millis(request.time_left_millis);
        if let Some(reason) = self.reason_to_refuse(&request) {
            return self.refuse(&request, reason);
        }
        let slot = match self.acquire_slot(deadline).await {
            Ok(slot) => slot,
            Err(reason) => return self.refuse(&request, reason),
        };
        if is_expired(&request) {
            drop(slot);
            return self.refuse(&request, Reason::Expired);
        }
        let execution = Execution::start(Arc::clone(self), &request, slot);
        if !self.work(deadline).await {
            execution.end(ExecutionEnd::DeadlinePassed);
            return SearchOutcome::DeadlinePassed;
        }
        execution.end(ExecutionEnd::Finished);
        self.outcome_of_finished(&request)
    }

    fn reason_to_refuse(&self, request: &LeafRequest) -> Option<RefusalReason> {
        let faults = self.faults.borrow().clone();
        if request.time_left_millis == 0 || is_expired(request) {
            return Some(Reason::Expired);
        }
        if faults.drain == DrainMode::Refusing {
            return Some(Reason::Draining);
        }
        let mut state = self.state.lock();
        let Some(shards) = state.holdings.get(&request.snapshot) else {
            return Some(Reason::SnapshotNotHeld);
        };
        if !shards.contains(&request.shard) {
            return Some(Reason::ShardNotHeld);
        }
        state
            .sampler
            .happens(faults.shed_share)
            .then_some(Reason::Overloaded)
    }

    fn refuse(&self, request: &LeafRequest, reason: RefusalReason) -> SearchOutcome {
        self.state.lock().counters.refused(reason);
        let retry_after_millis = (reason == Reason::Overloaded).then_some(OVERLOADED_RETRY_MILLIS);
        SearchOutcome::Refused(LeafRefusal {
            root: request.root.clone(),
            query: request.query,
            attempt: request.attempt,
            reason,
            retry_after_millis,
            load: self.load(),
        })
    }

    async fn acquire_slot(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> Result<OwnedSemaphorePermit, RefusalReason> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Ok(slot);
        }
        let _place_in_queue = QueuePlace::take(Arc::clone(self)).ok_or(Reason::Overloaded)?;
        let acquired = Arc::clone(&self.slots).acquire_owned();
        match tokio::time::timeout_at(deadline, acquired).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(Reason::Overloaded),
            Err(_) => Err(Reason::Expired),
        }
    }

    /// Runs one request; false if the deadline passed first.
    async fn work(&self, deadline: Instant) -> bool {
        let slowdown_factor = self.faults.borrow().slowdown_factor;
        let duration = {
            let mut state = self.state.lock();
            let since_start = state.started_at.elapsed();
            state.sampler.sample(since_start, slowdown_factor)
        };
        let work = async {
            tokio::time::sleep(duration).await;
            let mut faults = self.faults.subscribe();
            let _ = faults.wait_for(|faults| !faults.hanging).await;
        };
        tokio::time::timeout_at(deadline, work).await.is_ok()
    }

    fn outcome_of_finished(&self, request: &LeafRequest) -> SearchOutcome {
        let result = result_json(
            &request.request,
            &request.shard,
            request.snapshot,
            &request.body,
            self.spec.behaviour.records_per_shard,
        );
        let answer = LeafAnswer {
            request: request.request.clone(),
            root: request.root.clone(),
            query: request.query,
            attempt: request.attempt,
            shard: request.shard.clone(),
            snapshot: request.snapshot,
            result: result.unwrap_or_default(),
            load: self.load(),
        };
        let (cut_share, crossed_share) = {
            let faults = self.faults.borrow();
            (faults.cut_share, faults.crossed_share)
        };
        let mut state = self.state.lock();
        if state.sampler.happens(cut_share) {
            state.counters.cut += 1;
            return SearchOutcome::Cut;
        }
        let crosses = state.sampler.happens(crossed_share);
        match state.last_answer.replace(answer.clone()) {
            Some(earlier) if crosses => {
                state.counters.crossed += 1;
                SearchOutcome::Answered(earlier)
            }
            _ => SearchOutcome::Answered(answer),
        }
    }

    fn record_health(&self) {
        let load = self.load();
        let mut state = self.state.lock();
        let report = LeafHealth {
            healthy: true,
            load,
            snapshots: state.holdings.keys().copied().collect(),
        };
        state.health.record(Instant::now(), report);
    }
}

fn index_holdings(holdings: &[Holding]) -> BTreeMap<SnapshotVersion, BTreeSet<ShardId>> {
    holdings
        .iter()
        .map(|holding| (holding.snapshot, holding.shards.iter().cloned().collect()))
        .collect()
}

fn is_expired(request: &LeafRequest) -> bool {
    let now_millis = wall_clock::since_epoch().as_millis();
    let now = WallTime(u64::try_from(now_millis).unwrap_or(u64::MAX));
    request.expires.is_some_and(|expires| now >= expires)
}

/// A place in the queue for a slot, given up when dropped.
struct QueuePlace {
    leaf: Arc<StandInLeaf>,
}

impl QueuePlace {
    fn take(leaf: Arc<StandInLeaf>) -> Option<Self> {
        {
            let mut state = leaf.state.lock();
            if state.queued >= leaf.spec.behaviour.queue {
                return None;
            }
            state.queued += 1;
        }
        Some(Self { leaf })
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.leaf.state.lock().queued -= 1;
    }
}

/// A request that runs. Dropped before its end, it counts as cancelled.
struct Execution {
    leaf: Arc<StandInLeaf>,
    log_sequence: u64,
    began: Instant,
    end: ExecutionEnd,
    _slot: OwnedSemaphorePermit,
}

impl Execution {
    fn start(leaf: Arc<StandInLeaf>, request: &LeafRequest, slot: OwnedSemaphorePermit) -> Self {
        let log_sequence = leaf.log.started(ExecutionStart {
            leaf: leaf.spec.leaf.clone(),
            service: request.service.clone(),
            request: request.request.clone(),
            root: request.root.clone(),
            query: request.query,
            attempt: request.attempt,
            shard: request.shard.clone(),
            snapshot: request.snapshot,
            idempotency_key: request.idempotency_key.clone(),
        });
        {
            let mut state = leaf.state.lock();
            state.running += 1;
            state.counters.started += 1;
        }
        Self {
            leaf,
            log_sequence,
            began: Instant::now(),
            end: ExecutionEnd::Cancelled,
            _slot: slot,
        }
    }

    fn end(mut self, end: ExecutionEnd) {
        self.end = end;
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.leaf.log.ended(self.log_sequence, self.end);
        let mut state = self.leaf.state.lock();
        state.running -= 1;
        state.counters.ended(self.end, self.began.elapsed());
    }
}
