//! The task of one root: feeds the engine, performs its actions.

use super::handle::{
    CoverageCounts, RootAnswer, RootCommand, RootConfiguration, RootHandle, RootStatus,
};
use super::leafs::RootLeafs;
use super::metrics::RootMetrics;
use super::queries::ActiveQueries;
use super::shares::RootShares;
use crate::clock::Clock;
use crate::configuration::PlacementKey;
use crate::leaf::attempt::{AttemptEnd, LeafTarget, QueryContext, run_attempt};
use crate::leaf::connection::LeafConnection;
use crate::leaf::health::{HealthPoll, poll_health};
use crate::leaf::pool::LeafPool;
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::tuning::Tuning;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tansylead_cluster::claims::ClaimSettings;
use tansylead_query::{
    AttemptResult, LeafStatus, RootAction, RootEngine, RootEvent, SendAttempt, StartQuery,
};
use tansylead_types::{AttemptId, InstanceId, LeafId, Moment, Outcome, QueryAnswer, QueryId};
use tokio::sync::{mpsc, oneshot};

/// Roots among which the engine divides the slots of a leaf.
const UNDIVIDED_SLOTS: u32 = 1;
/// Polls are spread over the period by up to this share of it.
const POLL_JITTER_SHARE: f64 = 0.2;
/// Messages taken in one go before actions and timers are looked at again.
const MESSAGES_PER_TURN: usize = 64;

/// Which root this is.
#[derive(Debug, Clone)]
pub struct RootIdentity {
    /// The daemon.
    pub instance: InstanceId,
    /// The service and the place.
    pub key: PlacementKey,
    /// Feeds random choices.
    pub seed: u64,
}

/// What all roots of a daemon share.
#[derive(Debug, Clone)]
pub struct RootContext {
    /// Period of health polls.
    pub health_period: Duration,
    /// A leaf that says that it is leaving gets no new work after this.
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
    Attempt {
        query: QueryId,
        attempt: AttemptId,
        leaf: LeafId,
        started: Moment,
        end: AttemptEnd,
    },
    Health {
        leaf: LeafId,
        poll: HealthPoll,
    },
    Warmed {
        leaf: LeafId,
        connection: Option<LeafConnection>,
    },
}

/// Starts a root. It ends when its last handle is dropped and its last query is answered.
pub fn spawn_root(identity: RootIdentity, context: RootContext) -> RootHandle {
    let (command_sender, commands) = mpsc::unbounded_channel();
    let (completion_sender, completions) = mpsc::unbounded_channel();
    let waiting = Arc::new(AtomicU64::new(0));
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
        waiting: Arc::clone(&waiting),
        connections_per_leaf: 0,
        coverage: CoverageCounts::default(),
    };
    tokio::spawn(root.run(commands, completions));
    RootHandle::new(command_sender, waiting, maximum_waiting)
}

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
    waiting: Arc<AtomicU64>,
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
            for _ in 0..MESSAGES_PER_TURN {
                let command = commands.try_recv().ok();
                let completion = completions.try_recv().ok();
                let idle = command.is_none() && completion.is_none();
                command
                    .into_iter()
                    .for_each(|command| self.on_command(command));
                completion
                    .into_iter()
                    .for_each(|completion| self.on_completion(completion));
                if idle {
                    break;
                }
            }
            self.on_timers();
        }
        self.metrics.connections.set(0);
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
        if self
            .engine
            .next_wakeup()
            .is_some_and(|wakeup| wakeup <= now)
        {
            self.feed(RootEvent::Wakeup);
        }
        if self
            .leafs
            .next_poll()
            .is_some_and(|next_poll| next_poll <= now)
        {
            self.poll_due_leafs(now);
        }
    }

    fn on_command(&mut self, command: RootCommand) {
        match command {
            RootCommand::Start { start, reply } => self.start(start, reply),
            RootCommand::CallerGone(query) => {
                if self.queries.remove(query).is_some() {
                    self.metrics.callers_gone.inc();
                    self.feed(RootEvent::CallerGone(query));
                }
            }
            RootCommand::Configure(configuration) => self.configure(&configuration),
            RootCommand::Share { from, message } => {
                self.shares.on_message(self.clock.now(), from, message);
            }
            RootCommand::LeafLeaving(leaf) => {
                self.feed(RootEvent::LeafLeaving(leaf));
            }
            RootCommand::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn start(&mut self, start: Box<StartQuery>, reply: oneshot::Sender<RootAnswer>) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        if reply.is_closed() {
            self.metrics.callers_gone.inc();
            return;
        }
        let context = QueryContext {
            request: start.request.clone(),
            root: self.root_name.clone(),
        };
        self.queries.insert(start.query, Arc::new(context), reply);
        self.shares.count_arrival();
        let now = self.clock.now();
        if let Some(share) = self.shares.changed_share(now) {
            self.engine.set_rate_share(now, share);
        }
        self.feed(RootEvent::Start(start));
    }

    fn configure(&mut self, configuration: &RootConfiguration) {
        let now = self.clock.now();
        let placement = &configuration.placement;
        let set = &configuration.serving_set;
        self.connections_per_leaf = set.connections_per_root as usize;
        self.leafs
            .configure(now, &placement.leafs, self.connections_per_leaf);
        self.shares.configure(now, set, configuration.limit);
        let actions = self
            .engine
            .configure(now, &configuration.definition, placement);
        self.perform(actions);
        // Each root may use all slots of a leaf, whose own queue settles meetings: equal shares of
        // 3 to 5 slots leave a third of them unused.
        let actions = self.engine.set_leaf_share(now, UNDIVIDED_SLOTS);
        self.perform(actions);
    }

    fn status(&mut self) -> RootStatus {
        let now = self.clock.now();
        let report = self.shares.report(now);
        let engine = self.engine.status(now);
        let names = |keep: fn(&LeafStatus) -> bool| {
            let kept = engine.leafs.iter().filter(|leaf| keep(leaf));
            kept.map(|leaf| leaf.leaf.clone()).collect()
        };
        RootStatus {
            snapshot_in_use: engine.snapshot_in_use,
            every_shard_has_a_replica: engine.whole,
            leafs: engine.leafs.len(),
            draining: names(|leaf| leaf.leaving),
            unreachable: names(|leaf| leaf.unreachable),
            ejected: names(|leaf| leaf.ejected),
            snapshots: engine.snapshots,
            queries_in_progress: engine.queries_in_progress,
            waiting_shards: engine.waiting_shards,
            leaf_connections: self.leafs.open_connections(),
            connections_per_leaf: self.connections_per_leaf,
            usable_rate: report.usable_rate,
            admitted_rate: self.shares.admitted_rate(now),
            coverage: self.coverage,
            share_in_force: self.shares.is_full(now),
        }
    }

    fn on_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Attempt {
                query,
                attempt,
                leaf,
                started,
                end,
            } => {
                self.metrics.count_end(&end.result);
                self.queries.attempt_over(query, attempt);
                if let Some(state) = self.leafs.get_mut(&leaf) {
                    if matches!(
                        end.result,
                        AttemptResult::Answered(_) | AttemptResult::Refused(_)
                    ) {
                        state.last_heard = self.clock.now();
                    }
                    if let Some(connection) = end.connection {
                        state.pool.give_back(connection);
                    }
                }
                if let AttemptResult::Answered(_) = end.result {
                    let elapsed = self.clock.now().since(started);
                    self.metrics.attempt_seconds.observe(elapsed.as_secs_f64());
                }
                self.feed(RootEvent::AttemptEnded {
                    query,
                    attempt,
                    result: end.result,
                });
            }
            Completion::Health { leaf, poll } => self.on_health(leaf, poll),
            Completion::Warmed { leaf, connection } => {
                if let Some(state) = self.leafs.get_mut(&leaf) {
                    state.pool.warmed(connection);
                }
            }
        }
    }

    fn on_health(&mut self, leaf: LeafId, poll: HealthPoll) {
        let Some(state) = self.leafs.get_mut(&leaf) else {
            return;
        };
        state.polling = false;
        if let Some(connection) = poll.connection {
            state.pool.give_back(connection);
        }
        self.feed(RootEvent::LeafHealth {
            leaf,
            report: poll.report,
        });
    }

    fn feed(&mut self, event: RootEvent) {
        let actions = self.engine.on_event(self.clock.now(), event);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<RootAction>) {
        for action in actions {
            match action {
                RootAction::Send(attempt) => self.send(attempt),
                RootAction::Cancel { query, attempt } => {
                    self.metrics.cancels.inc();
                    self.queries.attempt_over(query, attempt);
                }
                RootAction::Finish { query, answer } => self.finish(query, answer),
            }
        }
    }

    fn finish(&mut self, query: QueryId, answer: QueryAnswer) {
        if answer.outcome != Outcome::NotRun {
            self.shares.count_admission();
        }
        self.coverage.count(&answer);
        if let Some(reply) = self.queries.remove(query) {
            let report = Some(self.shares.report(self.clock.now()));
            let _ = reply.send(RootAnswer { answer, report });
        }
    }

    fn send(&mut self, attempt: SendAttempt) {
        self.metrics.attempts.inc();
        let started = self.clock.now();
        let (query, attempt_id, leaf) = (attempt.query, attempt.attempt, attempt.leaf.clone());
        let completions = self.completions.clone();
        let target = self.target(&leaf);
        let (Some(target), Some(context)) = (target, self.queries.context(query)) else {
            let _ = completions.send(Completion::Attempt {
                query,
                attempt: attempt_id,
                leaf,
                started,
                end: AttemptEnd::not_sent(),
            });
            return;
        };
        let idle = self
            .leafs
            .get_mut(&leaf)
            .and_then(|state| state.pool.take_idle());
        let task = tokio::spawn(async move {
            let end = run_attempt(context, attempt, idle, target).await;
            let _ = completions.send(Completion::Attempt {
                query,
                attempt: attempt_id,
                leaf,
                started,
                end,
            });
        });
        self.queries
            .attempt_started(query, attempt_id, task.abort_handle());
    }

    fn target(&mut self, leaf: &LeafId) -> Option<LeafTarget> {
        let pool = &self.leafs.get_mut(leaf)?.pool;
        Some(leaf_target(pool, &self.context))
    }

    fn poll_due_leafs(&mut self, now: Moment) {
        let period = self.context.health_period;
        let grace = self.context.leaving_grace;
        let tuning = &self.context.tuning;
        let mut open = 0;
        for (name, state) in self.leafs.iter_mut() {
            open += state.pool.open_connections();
            if state.polling || state.next_poll > now {
                continue;
            }
            let jitter = self.random.random_range(0.0..POLL_JITTER_SHARE);
            state.next_poll = now + period.mul_f64(1.0 - jitter);
            if state.may_skip_poll(now, period, grace) {
                continue;
            }
            state.polling = true;
            state.last_poll = now;
            let target = leaf_target(&state.pool, &self.context);
            for permit in state.pool.permits_to_warm(tuning.warm_connections_per_leaf) {
                let (leaf, completions) = (name.clone(), self.completions.clone());
                let (address, limit) = (target.address, target.connect_limit);
                tokio::spawn(async move {
                    let connection = LeafConnection::open(address, limit, permit).await.ok();
                    let _ = completions.send(Completion::Warmed { leaf, connection });
                });
            }
            let idle = state.pool.take_idle();
            let (leaf, completions) = (name.clone(), self.completions.clone());
            tokio::spawn(async move {
                let poll = poll_health(idle, target, period).await;
                let _ = completions.send(Completion::Health { leaf, poll });
            });
        }
        self.metrics
            .connections
            .set(i64::try_from(open).unwrap_or(i64::MAX));
        self.metrics.count_engine(self.engine.counters());
    }
}

fn leaf_target(pool: &LeafPool, context: &RootContext) -> LeafTarget {
    LeafTarget {
        address: pool.address(),
        permits: pool.permits(),
        connect_limit: context.tuning.leaf_connect_limit,
        maximum_answer_bytes: context.tuning.maximum_leaf_answer_bytes,
        clock: Clock,
        claim_settings: Arc::clone(&context.claim_settings),
    }
}

async fn sleep_until(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
