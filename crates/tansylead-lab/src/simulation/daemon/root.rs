//! The roots of a simulated daemon: one engine for each placement, queries in progress, answers.

use super::configuration::PlacementKey;
use super::frontend::answer_without_results;
use super::{Outbox, Purpose, ReplyTo, RootQuery, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::message::{CallId, CallResult, Endpoint, Request, Response};
use crate::simulation::sabotage::Sabotage;
use crate::simulation::topology::{daemon_index, leaf_index};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_cluster::claims::ClaimGrant;
use tansylead_cluster::routing::{LeavingNotice, LeavingNotices};
use tansylead_query::{RootAction, RootEngine, RootEvent, SendAttempt, StartQuery};
use tansylead_types::leaf::LeafAnswer;
use tansylead_types::{
    AttemptId, ConfigObject, InstanceId, LeafDescriptor, LeafId, Moment, ObjectKey, Outcome,
    PlaceName, QueryAnswer, QueryId, QueryRequest, Repeatability, SnapshotVersion,
};

/// Period of telling other roots which leafs are leaving.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);
/// Period of health polls, and longest time that one may take.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// One leaf of a root.
#[derive(Debug)]
pub(super) struct RootLeaf {
    pub(super) endpoint: Endpoint,
    next_poll: Moment,
    polling: bool,
}

/// A query that the engine works on.
#[derive(Debug)]
pub(super) struct RunningQuery {
    pub(super) request: QueryRequest,
    reply: ReplyTo,
    grant: Option<ClaimGrant>,
    pub(super) in_flight: BTreeMap<AttemptId, CallId>,
    /// Version of the last attempt; for sabotage only.
    pub(super) pinned: Option<SnapshotVersion>,
}

/// An attempt that waits for its connection.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) placement: PlacementKey,
    pub(super) attempt: SendAttempt,
}

/// The root of one placement.
#[derive(Debug)]
pub(super) struct Root {
    pub(super) engine: RootEngine,
    pub(super) name: String,
    pub(super) leafs: BTreeMap<LeafId, RootLeaf>,
    pub(super) queries: BTreeMap<QueryId, RunningQuery>,
    notices: LeavingNotices,
    next_notices: Moment,
    /// The serving set is without this daemon: open queries are finished, then it is dropped.
    pub(super) retired: bool,
    /// Sabotage: the answer that a cancelled attempt left on the connection to a leaf.
    pub(super) leftover: BTreeMap<LeafId, LeafAnswer>,
    /// Sabotage: cancelled attempts whose bytes are still to come.
    pub(super) cancelled: BTreeSet<CallId>,
}

impl Root {
    pub(super) fn new(instance: InstanceId, seed: u64) -> Self {
        let name = format!("{}/{}", instance.node, instance.boot);
        let mut engine = RootEngine::new(seed);
        engine.set_root_name(name.clone());
        Self {
            engine,
            name,
            leafs: BTreeMap::new(),
            queries: BTreeMap::new(),
            notices: LeavingNotices::default(),
            next_notices: Moment::default(),
            retired: false,
            leftover: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        }
    }

    pub(super) fn has_work(&self) -> bool {
        !self.queries.is_empty()
    }

    pub(super) fn set_leafs(&mut self, now: Moment, descriptors: &[LeafDescriptor]) {
        let mut known = std::mem::take(&mut self.leafs);
        for descriptor in descriptors {
            let Some(index) = leaf_index(descriptor.address) else {
                continue;
            };
            let fresh = RootLeaf {
                endpoint: Endpoint::Leaf(index),
                next_poll: now,
                polling: false,
            };
            let leaf = known.remove(&descriptor.leaf).unwrap_or(fresh);
            self.leafs.insert(descriptor.leaf.clone(), leaf);
        }
    }

    fn next_poll(&self) -> Option<Moment> {
        let waiting = self.leafs.values().filter(|leaf| !leaf.polling);
        waiting.map(|leaf| leaf.next_poll).min()
    }
}

impl SimulatedDaemon {
    pub(super) fn on_forwarded(
        &mut self,
        clocks: Clocks,
        call: CallId,
        place: PlaceName,
        request: QueryRequest,
        outbox: &mut Outbox<'_>,
    ) {
        let query = RootQuery {
            placement: PlacementKey {
                service: request.service.clone(),
                place,
            },
            deadline: clocks.now + request.time_left,
            request,
            reply: ReplyTo::Peer(call),
        };
        if !self.start_at_root(clocks, query, outbox) {
            outbox.respond(call, Response::NotRoot);
        }
    }

    /// Starts a query here; false if this daemon is no root for it. A root that has been retired
    /// lately still takes queries of frontends that do not know.
    pub(super) fn start_at_root(
        &mut self,
        clocks: Clocks,
        query: RootQuery,
        outbox: &mut Outbox<'_>,
    ) -> bool {
        if !self.roots.contains_key(&query.placement) {
            return false;
        }
        if query.request.is_repeatable() || self.is_sabotaged(Sabotage::NoClaim) {
            self.start_engine(clocks, query, None, outbox);
        } else {
            self.begin_claim(clocks, query, outbox);
        }
        true
    }

    /// Hands a query to its engine; false if there is none any more.
    pub(super) fn start_engine(
        &mut self,
        clocks: Clocks,
        root_query: RootQuery,
        grant: Option<ClaimGrant>,
        outbox: &mut Outbox<'_>,
    ) -> bool {
        let query = self.next_query();
        let Some(root) = self.roots.get_mut(&root_query.placement) else {
            return false;
        };
        let running = RunningQuery {
            request: root_query.request.clone(),
            reply: root_query.reply,
            grant,
            in_flight: BTreeMap::new(),
            pinned: None,
        };
        root.queries.insert(query, running);
        let start = StartQuery {
            query,
            request: root_query.request,
            deadline: root_query.deadline,
        };
        let event = RootEvent::Start(Box::new(start));
        self.feed_engine(clocks, &root_query.placement, event, outbox);
        true
    }

    pub(super) fn feed_engine(
        &mut self,
        clocks: Clocks,
        placement: &PlacementKey,
        event: RootEvent,
        outbox: &mut Outbox<'_>,
    ) {
        if let Some(root) = self.roots.get_mut(placement) {
            let actions = root.engine.on_event(clocks.now, event);
            self.perform(clocks, placement, actions, outbox);
        }
    }

    pub(super) fn perform(
        &mut self,
        clocks: Clocks,
        placement: &PlacementKey,
        actions: Vec<RootAction>,
        outbox: &mut Outbox<'_>,
    ) {
        for action in actions {
            match action {
                RootAction::Send(attempt) => self.queue_write(clocks, placement, attempt),
                RootAction::Cancel { query, attempt } => {
                    self.cancel_attempt(placement, query, attempt, outbox);
                }
                RootAction::Finish { query, answer } => {
                    self.finish_query(placement, query, answer, outbox);
                }
            }
        }
    }

    fn finish_query(
        &mut self,
        placement: &PlacementKey,
        query: QueryId,
        mut answer: QueryAnswer,
        outbox: &mut Outbox<'_>,
    ) {
        self.sabotage_answer(placement, &mut answer);
        let Some(root) = self.roots.get_mut(placement) else {
            return;
        };
        let Some(running) = root.queries.remove(&query) else {
            return;
        };
        for call in running.in_flight.into_values() {
            self.calls.remove(&call);
            outbox.cancel(call);
        }
        if let Some(grant) = running.grant {
            self.settle_claim(&grant, &answer, outbox);
        }
        self.reply(running.reply, answer, outbox);
    }

    /// Gives an answer to whoever waits for it.
    pub(super) fn reply(&mut self, reply: ReplyTo, answer: QueryAnswer, outbox: &mut Outbox<'_>) {
        match reply {
            ReplyTo::Frontend(query) => self.answer_caller(query, answer, outbox),
            ReplyTo::Peer(call) => outbox.respond(call, Response::Answer(Box::new(answer))),
            ReplyTo::Nobody => {}
        }
    }

    /// Refuses a query of which no leaf was sent anything.
    pub(super) fn refuse(&mut self, query: &RootQuery, reason: &str, outbox: &mut Outbox<'_>) {
        let request = query.request.request.clone();
        let answer = answer_without_results(request, Outcome::NotRun, reason);
        self.reply(query.reply, answer, outbox);
    }

    pub(super) fn on_peer_gone(&mut self, clocks: Clocks, call: CallId, outbox: &mut Outbox<'_>) {
        self.reply_is_unwanted(clocks, ReplyTo::Peer(call), outbox);
    }

    /// Nobody waits for an answer any more. A request that must not be repeated goes on, so that
    /// its answer can be given when its key is sent again.
    pub(super) fn reply_is_unwanted(
        &mut self,
        clocks: Clocks,
        reply: ReplyTo,
        outbox: &mut Outbox<'_>,
    ) {
        self.abandon_claim(clocks, reply, outbox);
        let mut gone = Vec::new();
        for (placement, root) in &mut self.roots {
            for (query, running) in &mut root.queries {
                if running.reply != reply {
                    continue;
                }
                running.reply = ReplyTo::Nobody;
                if running.request.is_repeatable() {
                    gone.push((placement.clone(), *query));
                }
            }
        }
        for (placement, query) in gone {
            self.feed_engine(clocks, &placement, RootEvent::CallerGone(query), outbox);
            if let Some(root) = self.roots.get_mut(&placement)
                && let Some(running) = root.queries.remove(&query)
            {
                for call in running.in_flight.into_values() {
                    self.calls.remove(&call);
                    outbox.cancel(call);
                }
            }
        }
    }

    pub(super) fn root_timers(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        self.write_due(clocks, outbox);
        let placements: Vec<PlacementKey> = self.roots.keys().cloned().collect();
        for placement in &placements {
            let wakeup = self
                .roots
                .get(placement)
                .and_then(|root| root.engine.next_wakeup());
            if wakeup.is_some_and(|wakeup| wakeup <= clocks.now) {
                self.feed_engine(clocks, placement, RootEvent::Wakeup, outbox);
            }
            self.poll_due_leafs(clocks, placement, outbox);
            self.notice_timer(clocks, placement, outbox);
        }
    }

    pub(super) fn root_wakeup(&self) -> Option<Moment> {
        let roots = self.roots.values();
        let wakeups = roots.flat_map(|root| {
            [
                root.engine.next_wakeup(),
                root.next_poll(),
                Some(root.next_notices),
            ]
        });
        let write = self.writes.first_key_value().map(|((due, _), _)| *due);
        wakeups.chain([write]).flatten().min()
    }

    fn notice_timer(&mut self, clocks: Clocks, placement: &PlacementKey, outbox: &mut Outbox<'_>) {
        if let Some(root) = self.roots.get_mut(placement)
            && root.next_notices <= clocks.now
        {
            root.next_notices = clocks.now + NOTICE_PERIOD;
            self.send_leaving_notices(clocks, placement, outbox);
        }
    }

    fn poll_due_leafs(
        &mut self,
        clocks: Clocks,
        placement: &PlacementKey,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(root) = self.roots.get_mut(placement) else {
            return;
        };
        for (name, leaf) in &mut root.leafs {
            if leaf.polling || leaf.next_poll > clocks.now {
                continue;
            }
            leaf.polling = true;
            leaf.next_poll = clocks.now + HEALTH_PERIOD;
            let call = outbox.open(leaf.endpoint, Request::Health, HEALTH_PERIOD);
            let purpose = Purpose::Health {
                placement: placement.clone(),
                leaf: name.clone(),
            };
            self.calls.insert(call, purpose);
        }
    }

    pub(super) fn on_health(
        &mut self,
        clocks: Clocks,
        placement: &PlacementKey,
        leaf: LeafId,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(root) = self.roots.get_mut(placement) else {
            return;
        };
        if let Some(state) = root.leafs.get_mut(&leaf) {
            state.polling = false;
        }
        let mut report = match result {
            Ok(Response::Health(report)) => Some(report),
            _ => None,
        };
        if self.is_sabotaged(Sabotage::NoLeavingSigns)
            && let Some(report) = &mut report
        {
            report.load.draining = false;
        }
        let event = RootEvent::LeafHealth { leaf, report };
        self.feed_engine(clocks, placement, event, outbox);
    }

    /// The machine list or another root says that a leaf is leaving.
    pub(super) fn leaf_is_leaving(
        &mut self,
        clocks: Clocks,
        placement: &PlacementKey,
        leaf: LeafId,
        outbox: &mut Outbox<'_>,
    ) {
        if !self.is_sabotaged(Sabotage::NoLeavingSigns) {
            self.feed_engine(clocks, placement, RootEvent::LeafLeaving(leaf), outbox);
        }
    }

    /// Tells other roots which leafs said that they are leaving.
    pub(super) fn send_leaving_notices(
        &mut self,
        clocks: Clocks,
        placement: &PlacementKey,
        outbox: &mut Outbox<'_>,
    ) {
        let roots = self.serving.get(placement).cloned().unwrap_or_default();
        let Some(root) = self.roots.get_mut(placement) else {
            return;
        };
        let leafs = root.engine.status(clocks.now).leafs.into_iter();
        let leaving = leafs
            .filter(|leaf| leaf.leaving_self_reported)
            .map(|leaf| leaf.leaf);
        let leaving: BTreeSet<LeafId> = leaving.collect();
        for notice in root
            .notices
            .due(clocks.now, self.instance.node, &leaving, &roots)
        {
            let Some(index) = daemon_index(notice.to) else {
                continue;
            };
            let request = Request::LeafLeaving {
                service: placement.service.clone(),
                place: placement.place.clone(),
                leaf: notice.leaf.clone(),
            };
            let call = outbox.open(Endpoint::Daemon(index), request, HEALTH_PERIOD);
            let purpose = Purpose::Notice {
                placement: placement.clone(),
                notice,
            };
            self.calls.insert(call, purpose);
        }
    }

    pub(super) fn on_notice_ended(
        &mut self,
        placement: &PlacementKey,
        notice: &LeavingNotice,
        result: &CallResult,
    ) {
        if result.is_err()
            && let Some(root) = self.roots.get_mut(placement)
        {
            root.notices.on_delivery_failed(notice);
        }
    }

    fn sabotage_answer(&self, placement: &PlacementKey, answer: &mut QueryAnswer) {
        if self.is_sabotaged(Sabotage::DoubledResults)
            && let Some(first) = answer.results.first().cloned()
        {
            answer.results.push(first);
            answer.coverage.answered += 1;
        }
        if !self.is_sabotaged(Sabotage::NewestShardList) || answer.snapshot.is_none() {
            return;
        }
        let key = ObjectKey::Placement(placement.service.clone(), placement.place.clone());
        let stored = self.configuration.stored(&key);
        if let Some(ConfigObject::Placement(placement)) = stored.and_then(|s| s.object.as_ref())
            && let Some(newest) = placement.snapshots.iter().max_by_key(|s| s.version)
        {
            answer.coverage.total = newest.shards.len() as u32;
        }
    }
}

/// Expiry of a request that must not be repeated.
pub(super) fn expiry_of(request: &QueryRequest) -> Option<tansylead_types::WallTime> {
    match &request.repeatability {
        Repeatability::Repeatable => None,
        Repeatability::NonRepeatable { expires, .. } => Some(*expires),
    }
}
