//! The task of one root.
//!
//! This file owns the task's state and its event loop: it handles commands, the reports of the
//! root's own tasks and due timers one at a time. Each of the modules below has one part:
//!
//! - `commands`: the commands from handles: queries, configuration, status;
//! - `attempts`: feeds the engine and performs its actions: attempts at leafs and answers;
//! - `polls`: health polls of the leafs and connections opened ahead of need.
//!
//! Invariants: only this task touches the engine; nothing in the loop waits on the network except
//! for the next event; each spawned attempt or poll that is not cancelled reports one
//! [`Completion`]; the task ends once all handles are gone and the last query is answered.

mod attempts;
mod commands;
mod polls;

use super::handle::{CoverageCounts, RootCommand, RootHandle};
use super::leafs::RootLeafs;
use super::metrics::RootMetrics;
use super::queries::ActiveQueries;
use super::shares::RootShares;
use crate::clock::Clock;
use crate::configuration::PlacementKey;
use crate::leaf::attempt::AttemptEnd;
use crate::leaf::health::HealthPoll;
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::tuning::Tuning;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tansylead_cluster::claims::ClaimSettings;
use tansylead_http::HttpConnection;
use tansylead_query::{RootEngine, RootEvent};
use tansylead_types::{AttemptId, InstanceId, LeafId, Moment, QueryId};
use tokio::sync::mpsc;

/// Maximum number of messages handled before timers are checked again.
const MESSAGES_PER_TURN: usize = 64;

/// Which root this is.
#[derive(Debug, Clone)]
pub struct RootIdentity {
    /// The daemon.
    pub instance: InstanceId,
    /// The service and the place.
    pub key: PlacementKey,
    /// Seed of random choices.
    pub seed: u64,
}

/// What all roots of a daemon share.
#[derive(Debug, Clone)]
pub struct RootContext {
    /// Period of health polls.
    pub health_period: Duration,
    /// A leaf that reports that it is leaving gets no new work after this time.
    pub leaving_grace: Duration,
    /// Internal limits.
    pub tuning: Arc<Tuning>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// For messages to other roots.
    pub peers: Arc<PeerClient>,
    /// Limits of non-repeatable requests.
    pub claim_settings: Arc<ClaimSettings>,
}

/// What the root's own tasks report back.
#[derive(Debug)]
enum Completion {
    /// An attempt at a leaf has ended.
    Attempt(AttemptCompletion),
    /// A health poll has ended.
    Health { leaf: LeafId, poll: HealthPoll },
    /// A connection opened ahead of need; `None` if it could not be opened.
    Warmed {
        leaf: LeafId,
        connection: Option<HttpConnection>,
    },
}

/// The end of an attempt at a leaf.
#[derive(Debug)]
struct AttemptCompletion {
    query: QueryId,
    attempt: AttemptId,
    leaf: LeafId,
    started: Moment,
    end: AttemptEnd,
}

/// Starts a root. It ends when its last handle is dropped and its last query is answered.
pub fn spawn_root(identity: RootIdentity, context: RootContext) -> RootHandle {
    let (command_sender, commands) = mpsc::unbounded_channel();
    let (completion_sender, completions) = mpsc::unbounded_channel();
    let waiting_starts = Arc::new(AtomicU64::new(0));
    let maximum_waiting = context.tuning.maximum_waiting_commands as u64;
    let now = Clock.now();
    let shares = RootShares::new(
        now,
        identity.key.clone(),
        identity.instance,
        Arc::clone(&context.peers),
        context.tuning.share_timing,
        context.tuning.admission_burst,
    );
    let root_name = format!("{}/{}", identity.instance.node, identity.instance.boot);
    let mut engine = RootEngine::with_tuning(identity.seed, context.tuning.engine.clone());
    engine.set_root_name(root_name.clone());
    let root = Root {
        engine,
        random: SmallRng::seed_from_u64(identity.seed),
        metrics: RootMetrics::new(&context.metrics, &identity.key.service),
        root_name,
        context,
        clock: Clock,
        shares,
        leafs: RootLeafs::default(),
        queries: ActiveQueries::default(),
        completions: completion_sender,
        waiting_starts: Arc::clone(&waiting_starts),
        connections_per_leaf: 0,
        coverage: CoverageCounts::default(),
    };
    tokio::spawn(root.run(commands, completions));
    RootHandle::new(command_sender, waiting_starts, maximum_waiting)
}

/// The state of the task.
struct Root {
    engine: RootEngine,
    random: SmallRng,
    metrics: RootMetrics,
    root_name: String,
    context: RootContext,
    clock: Clock,
    shares: RootShares,
    leafs: RootLeafs,
    queries: ActiveQueries,
    completions: mpsc::UnboundedSender<Completion>,
    /// Number of submitted queries that this task has not handled yet; shared with the handles.
    waiting_starts: Arc<AtomicU64>,
    connections_per_leaf: usize,
    coverage: CoverageCounts,
}

impl Root {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<RootCommand>,
        mut completions: mpsc::UnboundedReceiver<Completion>,
    ) {
        let mut handles_gone = false;
        while !(handles_gone && self.queries.is_empty()) {
            let wakeup = self
                .next_wakeup()
                .map(|moment| self.clock.instant_at(moment));
            tokio::select! {
                command = commands.recv(), if !handles_gone => match command {
                    Some(command) => self.on_command(command),
                    None => handles_gone = true,
                },
                Some(completion) = completions.recv() => self.on_completion(completion),
                () = sleep_until(wakeup) => {}
            }
            self.handle_waiting(&mut commands, &mut completions);
            self.on_timers();
        }
        self.metrics.connections.set(0);
    }

    /// Handles the messages that have already arrived, up to the limit of one turn.
    fn handle_waiting(
        &mut self,
        commands: &mut mpsc::UnboundedReceiver<RootCommand>,
        completions: &mut mpsc::UnboundedReceiver<Completion>,
    ) {
        for _ in 0..MESSAGES_PER_TURN {
            let command = commands.try_recv().ok();
            let completion = completions.try_recv().ok();
            if command.is_none() && completion.is_none() {
                return;
            }
            if let Some(command) = command {
                self.on_command(command);
            }
            if let Some(completion) = completion {
                self.on_completion(completion);
            }
        }
    }

    fn on_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Attempt(ended) => self.on_attempt_ended(ended),
            Completion::Health { leaf, poll } => self.on_health(leaf, poll),
            Completion::Warmed { leaf, connection } => {
                if let Some(state) = self.leafs.get_mut(&leaf) {
                    state.pool.on_warmed(connection);
                }
            }
        }
    }

    fn next_wakeup(&self) -> Option<Moment> {
        let wakeups = [
            self.engine.next_wakeup(),
            self.leafs.next_poll(),
            self.shares.next_wakeup(),
        ];
        wakeups.into_iter().flatten().min()
    }

    fn on_timers(&mut self) {
        let now = self.clock.now();
        self.shares.on_timers(now);
        let is_due = |wakeup: Option<Moment>| wakeup.is_some_and(|wakeup| wakeup <= now);
        if is_due(self.engine.next_wakeup()) {
            self.feed(RootEvent::Wakeup);
        }
        if is_due(self.leafs.next_poll()) {
            self.poll_due_leafs(now);
        }
    }
}

async fn sleep_until(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
