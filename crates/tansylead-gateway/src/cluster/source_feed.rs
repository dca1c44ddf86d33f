//! Reads and watches the source for one topic, while this daemon is responsible for that.
//!
//! It is responsible if it ranks as a watcher, or if its data has grown stale. Invariants: at most one
//! call is open for each topic; failures are retried with exponential, jittered backoff.

use super::view::ClusterView;
use crate::clock::Clock;
use crate::metrics::BadInput;
use crate::source::{Freshness, Source, SourceContent, SourceError, SourceUpdate, Topic};
use crate::state::Gateway;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{FirstReadBackoff, Revision};
use tansylead_types::Moment;

/// Changes that come within this time are read together.
const BATCH_WAIT: Duration = Duration::from_millis(400);
/// The first reads of daemons that start together are spread over this time.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(20);
/// Longest duration of a watch of a topic that need not be fresh. Calls cost money; a source that has silently
/// lost a watch is asked again after this time.
const RELAXED_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Mean time between checks whether this daemon is responsible.
const RESPONSIBILITY_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff after a failure.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the backoff.
const MAXIMUM_DOUBLINGS: u32 = 4;
/// Shortest time between reads of the orders to roll out that are caused by leafs of new versions: the first
/// leafs of an order appear together, and calls cost money.
const NEEDED_READ_PERIOD: Duration = Duration::from_millis(200);

/// The feed of one topic.
#[derive(Debug)]
pub struct SourceFeed<S> {
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    source: Rc<S>,
    topic: Topic,
    /// Position that the last answer led to.
    position: Option<Revision>,
    /// Position after which the source has lost its history: a watch from there, or from an earlier one, has no answer.
    history_gone: Option<Revision>,
    failures: u32,
    /// When the orders to roll out were last read because new leafs needed them.
    last_needed_read: Option<Moment>,
}

/// An answer of the source, and the moment at which it was current.
type Answer = (Result<SourceUpdate, SourceError>, Moment);

impl<S: Source> SourceFeed<S> {
    /// A feed that has read nothing.
    pub fn new(gateway: Rc<Gateway>, view: Rc<ClusterView>, source: Rc<S>, topic: Topic) -> Self {
        Self {
            gateway,
            view,
            source,
            topic,
            position: None,
            history_gone: None,
            failures: 0,
            last_needed_read: None,
        }
    }

    /// Runs until its task is ended.
    pub async fn run(mut self) {
        self.read_cached().await;
        loop {
            self.wait_until_responsible().await;
            let asked_at = Clock.now();
            let wait = self.watch_wait();
            let (result, current) = self.ask(wait).await;
            self.count(&result);
            match result {
                Ok(update) if self.is_late(&update) => self.discard_late(update).await,
                Ok(update) => {
                    let waited = Clock.now().since(asked_at);
                    self.on_update(update, current);
                    if waited < wait {
                        self.wait_for_batch().await;
                    }
                }
                Err(error) => self.on_error(error).await,
            }
        }
    }

    /// Applies what the source has cached, so that callers can be served at once. It may be some seconds old
    /// and confirms nothing.
    ///
    /// If the source does not answer, more reads are started in addition to the open ones, until one is
    /// answered or other daemons provide the data: a call that a silent source has lost is never answered, and
    /// nothing can be served before. No read is added while the calls of an open one are being answered.
    async fn read_cached(&mut self) {
        tokio::time::sleep(FIRST_READ_SPREAD.mul_f64(rand::random())).await;
        let source = Rc::clone(&self.source);
        let mut backoff = FirstReadBackoff::default();
        let mut reads = FuturesUnordered::new();
        let mut last_wait = Clock.now();
        while !self.gateway.knows(self.topic) {
            let is_answering = source
                .last_answer()
                .is_some_and(|answer| answer > last_wait);
            if reads.is_empty() || !is_answering {
                reads.push(source.read(self.topic, Freshness::Cached));
            }
            last_wait = Clock.now();
            let wait = backoff.next_wait(rand::random());
            if let Ok(update) = tokio::time::timeout(wait, first_answer(&mut reads)).await {
                self.position = Some(update.at);
                return self.apply(update);
            }
        }
    }

    async fn wait_until_responsible(&mut self) {
        while !self.view.is_watcher() && !self.is_stale() {
            tokio::time::sleep(jittered(RESPONSIBILITY_CHECK_PERIOD)).await;
        }
    }

    fn is_stale(&self) -> bool {
        let gateway = &self.gateway;
        let bounds = &gateway.settings.bounds;
        gateway.must_be_fresh(self.topic)
            && bounds.is_stale(gateway.age(self.topic), gateway.uptime())
    }

    fn watch_wait(&self) -> Duration {
        if !self.gateway.must_be_fresh(self.topic) {
            return RELAXED_WATCH_WAIT;
        }
        let age = self.gateway.age(self.topic);
        self.gateway.settings.bounds.watch_wait(age)
    }

    /// Watches the topic. Reads it instead if there is no position to watch from, or if new leafs need the orders to
    /// roll out at once.
    async fn ask(&mut self, wait: Duration) -> Answer {
        let Some(position) = self.known_position() else {
            return self.read().await;
        };
        let source = Rc::clone(&self.source);
        let watched = tokio::select! {
            biased;
            () = self.until_orders_needed() => None,
            result = source.watch(self.topic, position, wait) => Some(result),
        };
        match watched {
            Some(result) => (result, Clock.now()),
            None => {
                self.last_needed_read = Some(Clock.now());
                self.read().await
            }
        }
    }

    async fn read(&self) -> Answer {
        let asked_at = Clock.now();
        let result = self.source.read(self.topic, Freshness::Current).await;
        (result, asked_at)
    }

    /// Waits for further changes, so that they are read together in the next call.
    async fn wait_for_batch(&self) {
        tokio::select! {
            () = self.until_orders_needed() => {}
            () = tokio::time::sleep(jittered(BATCH_WAIT)) => {}
        }
    }

    /// Waits until new leafs need the orders to roll out, and until the shortest time since the last such read
    /// has passed. For other topics it never returns.
    async fn until_orders_needed(&self) {
        if self.topic != Topic::RollOuts {
            return std::future::pending().await;
        }
        let mut changes = self.gateway.changes();
        let is_needed = |_: &u64| self.gateway.needed_roll_outs().is_some();
        while changes.wait_for(is_needed).await.is_ok() {
            let next = self.last_needed_read.map(|last| last + NEEDED_READ_PERIOD);
            let wait = next.map_or(Duration::ZERO, |next| Clock.time_left(next));
            if wait.is_zero() {
                return;
            }
            tokio::time::sleep(wait).await;
        }
        std::future::pending().await
    }

    fn count(&self, result: &Result<SourceUpdate, SourceError>) {
        let label = match result {
            Ok(_) => "answered",
            Err(SourceError::HistoryGone) => "history_gone",
            Err(SourceError::Refused(_)) => "refused",
            Err(SourceError::Failed(_)) => "failed",
        };
        self.gateway.metrics.on_source_call(self.topic, label);
    }

    /// Revision after which the next watch starts: peers may have provided later ones than the last watch. None if
    /// nothing is known, or if the source no longer has the history from there on.
    fn known_position(&self) -> Option<Revision> {
        let position = match self.topic {
            Topic::Configuration | Topic::Evacuations => self.position,
            Topic::Leafs => self.gateway.directory().revision(),
            Topic::RollOuts => {
                let held = self.gateway.roll_outs_mark().map(|held| held.at);
                self.position.max(held)
            }
        };
        let gone = self.history_gone;
        position.filter(|position| gone.is_none_or(|gone| gone < *position))
    }

    /// Whether an answer is from before the source was restored from a copy.
    fn is_late(&self, update: &SourceUpdate) -> bool {
        self.gateway.is_from_earlier_era(update.at.era)
    }

    /// Ignores a late answer, and waits, so that a source which repeats such answers is not asked in a tight loop.
    async fn discard_late(&self, update: SourceUpdate) {
        log::info!(topic = self.topic.label(), era = update.at.era.0; "late answer of the source passed over");
        tokio::time::sleep(jittered(INITIAL_BACKOFF)).await;
    }

    fn on_update(&mut self, update: SourceUpdate, current: Moment) {
        if self.failures > 0 {
            log::info!(topic = self.topic.label(), failures = self.failures; "source regained");
        }
        self.failures = 0;
        self.history_gone = None;
        self.position = Some(update.at);
        self.apply(update);
        self.gateway.confirm(self.topic, current);
        self.gateway.announce_confirmation();
    }

    fn apply(&self, update: SourceUpdate) {
        let metrics = &self.gateway.metrics;
        metrics.add_bad_input(BadInput::SourceEntry, update.skipped);
        match update.content {
            SourceContent::Configuration(Some(configuration)) => {
                self.gateway.apply_configuration(*configuration);
            }
            SourceContent::Configuration(None) => {}
            SourceContent::Leafs(delta) => self.gateway.apply_directory(delta),
            SourceContent::Evacuations(Some(zones)) => self.gateway.apply_evacuations(zones),
            SourceContent::Evacuations(None) => {}
            SourceContent::RollOuts(Some(roll_outs)) => self.gateway.apply_roll_outs(roll_outs),
            SourceContent::RollOuts(None) => self.gateway.advance_roll_outs_to(update.at),
        }
    }

    async fn on_error(&mut self, error: SourceError) {
        if error == SourceError::HistoryGone
            && let Some(position) = self.known_position()
        {
            log::info!(topic = self.topic.label(), after = position.number; "history of the source is gone; reading anew");
            self.history_gone = Some(position);
            return;
        }
        if self.failures == 0 {
            log::warn!(topic = self.topic.label(), error:% = error; "source lost");
        }
        let doublings = self.failures.min(MAXIMUM_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAXIMUM_BACKOFF);
        tokio::time::sleep(jittered(backoff)).await;
    }
}

/// The first update that any of the reads returns; never returns if all of them fail.
async fn first_answer(
    reads: &mut FuturesUnordered<impl Future<Output = Result<SourceUpdate, SourceError>>>,
) -> SourceUpdate {
    while let Some(read) = reads.next().await {
        if let Ok(update) = read {
            return update;
        }
    }
    std::future::pending().await
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::random_range(0.5..1.5))
}
