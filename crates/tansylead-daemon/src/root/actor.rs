//! The task of one root: feeds the engine, performs its actions.

use super::handle::{RootCommand, RootHandle, RootStatus};
use super::leafs::RootLeafs;
use super::metrics::RootMetrics;
use super::queries::ActiveQueries;
use crate::clock::Clock;
use crate::leaf::attempt::{AttemptEnd, LeafTarget, QueryContext, run_attempt};
use crate::leaf::connection::LeafConnection;
use crate::leaf::health::{HealthPoll, poll_health};
use crate::metrics::Metrics;
use crate::tuning::Tuning;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tansylead_query::{RootAction, RootEngine, RootEvent, SendAttempt, StartQuery};
use tansylead_types::{
    AttemptId, InstanceId, LeafId, Moment, PlaceName, QueryAnswer, QueryId, ServiceDefinition,
    ServiceName, ServicePlacement,
};
use tokio::sync::{mpsc, oneshot};

/// Polls are spread over the period by up to this share of it.
const POLL_JITTER_SHARE: f64 = 0.2;
/// Messages taken in one go before actions and timers are looked at again.
const MESSAGES_PER_TURN: usize = 64;

/// Which root this is.
#[derive(Debug, Clone)]
pub struct RootIdentity {
    /// The daemon.
    pub instance: InstanceId,
    /// The service.
    pub service: ServiceName,
    /// The place.
    pub place: PlaceName,
    /// Feeds random choices.
    pub seed: u64,
}

/// Limits of a root.
#[derive(Debug, Clone)]
pub struct RootLimits {
    /// Period of health polls.
    pub health_period: Duration,
    /// Internal limits.
    pub tuning: Arc<Tuning>,
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
pub fn spawn_root(
    identity: RootIdentity,
    limits: RootLimits,
    clock: Clock,
    metrics: &Metrics,
) -> RootHandle {
    let (command_sender, commands) = mpsc::unbounded_channel();
    let (completion_sender, completions) = mpsc::unbounded_channel();
    let waiting = Arc::new(AtomicU64::new(0));
    let maximum_waiting = limits.tuning.maximum_waiting_commands as u64;
    let root = Root {
        engine: RootEngine::new(identity.seed),
        random: SmallRng::seed_from_u64(identity.seed),
        metrics: RootMetrics::new(metrics, &identity.service),
        root_name: format!("{}/{}", identity.instance.node, identity.instance.boot),
        limits,
        clock,
        leafs: RootLeafs::default(),
        queries: ActiveQueries::default(),
        completions: completion_sender,
        waiting: Arc::clone(&waiting),
        snapshots: Vec::new(),
    };
    tokio::spawn(root.run(commands, completions));
    RootHandle::new(command_sender, waiting, maximum_waiting)
}

struct Root {
    engine: RootEngine,
    random: SmallRng,
    metrics: RootMetrics,
    root_name: String,
    limits: RootLimits,
    clock: Clock,
    leafs: RootLeafs,
    queries: ActiveQueries,
    completions: mpsc::UnboundedSender<Completion>,
    waiting: Arc<AtomicU64>,
    snapshots: Vec<tansylead_types::SnapshotVersion>,
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
        [self.engine.next_wakeup(), self.leafs.next_poll()]
            .into_iter()
            .flatten()
            .min()
    }

    fn on_timers(&mut self) {
        let now = self.clock.now();
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
            RootCommand::Configure {
                definition,
                placement,
                roots,
            } => self.configure(&definition, &placement, roots),
            RootCommand::SetRateShare(share) => {
                self.engine.set_rate_share(self.clock.now(), share);
            }
            RootCommand::LeafLeaving(leaf) => {
                if let Some(state) = self.leafs.get_mut(&leaf) {
                    state.draining = true;
                }
                self.feed(RootEvent::LeafLeaving(leaf));
            }
            RootCommand::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn start(&mut self, start: Box<StartQuery>, reply: oneshot::Sender<QueryAnswer>) {
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
        self.feed(RootEvent::Start(start));
    }

    fn configure(
        &mut self,
        definition: &ServiceDefinition,
        placement: &ServicePlacement,
        roots: usize,
    ) {
        let now = self.clock.now();
        self.leafs.configure(now, &placement.leafs, roots);
        self.snapshots = placement
            .snapshots
            .iter()
            .map(|snapshot| snapshot.version)
            .collect();
        self.snapshots.sort_by(|left, right| right.cmp(left));
        let actions = self.engine.configure(now, definition, placement);
        self.perform(actions);
    }

    fn status(&self) -> RootStatus {
        RootStatus {
            snapshots: self.snapshots.clone(),
            leafs: self.leafs.len(),
            draining: self.leafs.draining(),
            unreachable: self.leafs.unreachable(),
            queries_in_progress: self.queries.len(),
            leaf_connections: self.leafs.open_connections(),
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
                if let (Some(connection), Some(state)) = (end.connection, self.leafs.get_mut(&leaf))
                {
                    state.pool.give_back(connection);
                }
                if let tansylead_query::AttemptResult::Answered(_) = end.result {
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
        state.note_report(poll.report.as_ref());
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
                RootAction::Finish { query, answer } => {
                    if let Some(reply) = self.queries.remove(query) {
                        let _ = reply.send(answer);
                    }
                }
            }
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
        Some(leaf_target(pool, &self.limits.tuning, self.clock))
    }

    fn poll_due_leafs(&mut self, now: Moment) {
        let period = self.limits.health_period;
        let tuning = &self.limits.tuning;
        let mut open = 0;
        for (name, state) in self.leafs.iter_mut() {
            open += state.pool.open_connections();
            if state.polling || state.next_poll > now {
                continue;
            }
            let jitter = self.random.random_range(0.0..POLL_JITTER_SHARE);
            state.next_poll = now + period.mul_f64(1.0 - jitter);
            state.polling = true;
            let target = leaf_target(&state.pool, tuning, self.clock);
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
    }
}

fn leaf_target(pool: &crate::leaf::pool::LeafPool, tuning: &Tuning, clock: Clock) -> LeafTarget {
    LeafTarget {
        address: pool.address(),
        permits: pool.permits(),
        connect_limit: tuning.leaf_connect_limit,
        maximum_answer_bytes: tuning.maximum_leaf_answer_bytes,
        clock,
    }
}

async fn sleep_until(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
