//! The frontend of a simulated daemon: place and root choice, forwarding, and what is answered
//! when forwarding fails.

use super::configuration::PlacementKey;
use super::{Outbox, Purpose, ReplyTo, RootQuery, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::message::{CallFailure, CallId, CallResult, Endpoint, Request, Response};
use crate::simulation::sabotage::Sabotage;
use crate::simulation::topology::daemon_index;
use std::time::Duration;
use tansylead_cluster::routing::{PlaceChoice, choose_place, choose_root};
use tansylead_types::{
    Moment, NodeId, Outcome, PlaceName, QueryAnswer, QueryId, QueryRequest, RequestId, WallTime,
};

/// A forwarded query is given up this long after its deadline: the root answers at the deadline.
const FORWARD_ALLOWANCE: Duration = Duration::from_millis(60);
/// Roots asked for one query, at most.
const MAXIMUM_ROOTS_ASKED: u32 = 4;
/// With less time left a query is not sent to another root.
const MINIMUM_TIME_LEFT: Duration = Duration::from_millis(5);
const RETRY_AFTER: Duration = Duration::from_millis(500);
const MILLIS_PER_HOUR: u64 = 3_600_000;
const HOURS_PER_DAY: u64 = 24;

/// A query of a caller of this daemon.
#[derive(Debug)]
pub(super) struct FrontendQuery {
    call: CallId,
    request: QueryRequest,
    deadline: Moment,
    roots_asked: u32,
    /// Some root may have run it and not told.
    may_have_run: bool,
    forwarded: Option<CallId>,
}

impl SimulatedDaemon {
    pub(super) fn on_caller_query(
        &mut self,
        clocks: Clocks,
        call: CallId,
        request: QueryRequest,
        outbox: &mut Outbox<'_>,
    ) {
        let query = self.next_query();
        let entry = FrontendQuery {
            call,
            deadline: clocks.now + request.time_left,
            request,
            roots_asked: 0,
            may_have_run: false,
            forwarded: None,
        };
        self.frontend_queries.insert(query, entry);
        self.route(clocks, query, outbox);
    }

    pub(super) fn has_frontend_queries(&self) -> bool {
        !self.frontend_queries.is_empty()
    }

    /// Sends the query to a root, or gives it up.
    fn route(&mut self, clocks: Clocks, query: QueryId, outbox: &mut Outbox<'_>) {
        let Some(entry) = self.frontend_queries.get_mut(&query) else {
            return;
        };
        let time_left = entry.deadline.since(clocks.now);
        if time_left < MINIMUM_TIME_LEFT || entry.roots_asked >= MAXIMUM_ROOTS_ASKED {
            return self.give_up(query, "no root could be reached in time", outbox);
        }
        entry.roots_asked += 1;
        let request = QueryRequest {
            time_left,
            ..entry.request.clone()
        };
        let deadline = entry.deadline;
        let Some((place, root)) = self.choose(clocks, &request) else {
            return self.give_up(query, "no root is known", outbox);
        };
        if root != self.instance.node {
            return self.forward(query, request, place, root, outbox);
        }
        let placement = PlacementKey {
            service: request.service.clone(),
            place,
        };
        let root_query = RootQuery {
            placement,
            request,
            deadline,
            reply: ReplyTo::Frontend(query),
        };
        if !self.start_at_root(clocks, root_query, outbox) {
            self.give_up(query, "this daemon is no root yet", outbox);
        }
    }

    fn choose(&mut self, clocks: Clocks, request: &QueryRequest) -> Option<(PlaceName, NodeId)> {
        let places = self.places.get(&request.service)?;
        let choice = choose_place(
            clocks.now,
            &request.service,
            hour_of_day(clocks.wall),
            &self.place,
            self.configuration.table()?,
            places,
            &mut self.random,
        );
        let PlaceChoice::Place { place, .. } = choice else {
            return None;
        };
        let node = self.instance.node;
        let root = choose_root(clocks.now, node, &place, places, &mut self.random)?;
        Some((place, root))
    }

    fn forward(
        &mut self,
        query: QueryId,
        request: QueryRequest,
        place: PlaceName,
        root: NodeId,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(index) = daemon_index(root) else {
            return self.give_up(query, "root is unknown", outbox);
        };
        let limit = if self.is_sabotaged(Sabotage::NoForwardLimit) {
            Duration::from_secs(60)
        } else {
            request.time_left + FORWARD_ALLOWANCE
        };
        let message = Request::Forward {
            place: place.clone(),
            request,
        };
        let call = outbox.open(Endpoint::Daemon(index), message, limit);
        self.calls
            .insert(call, Purpose::Forward { query, root, place });
        if let Some(entry) = self.frontend_queries.get_mut(&query) {
            entry.forwarded = Some(call);
        }
    }

    pub(super) fn on_forward_ended(
        &mut self,
        clocks: Clocks,
        query: QueryId,
        root: NodeId,
        place: PlaceName,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(entry) = self.frontend_queries.get_mut(&query) else {
            return;
        };
        entry.forwarded = None;
        if let Ok(Response::Answer(answer)) = result {
            return self.answer_caller(query, *answer, outbox);
        }
        let nothing_done = matches!(result, Ok(Response::NotRoot) | Err(CallFailure::NotSent));
        entry.may_have_run |= !nothing_done;
        let may_ask_again = nothing_done || entry.request.is_repeatable();
        if let Some(places) = self.places.get_mut(&entry.request.service) {
            places.on_unreachable(clocks.now, &place, root);
        }
        if may_ask_again {
            self.route(clocks, query, outbox);
        } else {
            self.give_up(query, "the connection to the root broke", outbox);
        }
    }

    /// Answers truthfully without any root's answer.
    fn give_up(&mut self, query: QueryId, reason: &str, outbox: &mut Outbox<'_>) {
        let Some(entry) = self.frontend_queries.get(&query) else {
            return;
        };
        let outcome = if entry.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let answer = answer_without_results(entry.request.request.clone(), outcome, reason);
        self.answer_caller(query, answer, outbox);
    }

    pub(super) fn answer_caller(
        &mut self,
        query: QueryId,
        answer: QueryAnswer,
        outbox: &mut Outbox<'_>,
    ) {
        if let Some(entry) = self.frontend_queries.remove(&query) {
            outbox.respond(entry.call, Response::Answer(Box::new(answer)));
        }
    }

    /// The caller's connection is gone.
    pub(super) fn on_caller_gone(&mut self, clocks: Clocks, call: CallId, outbox: &mut Outbox<'_>) {
        let found = self
            .frontend_queries
            .iter()
            .find(|(_, entry)| entry.call == call);
        let Some(query) = found.map(|(query, _)| *query) else {
            return;
        };
        let Some(entry) = self.frontend_queries.remove(&query) else {
            return;
        };
        if let Some(forwarded) = entry.forwarded {
            self.calls.remove(&forwarded);
            outbox.cancel(forwarded);
        }
        self.reply_is_unwanted(clocks, ReplyTo::Frontend(query), outbox);
    }
}

/// An answer that no leaf had a part in.
pub(super) fn answer_without_results(
    request: RequestId,
    outcome: Outcome,
    reason: &str,
) -> QueryAnswer {
    let retry_after = (outcome == Outcome::NotRun).then_some(RETRY_AFTER);
    QueryAnswer::without_results(request, outcome, reason.to_owned(), retry_after)
}

fn hour_of_day(wall: WallTime) -> u8 {
    u8::try_from(wall.0 / MILLIS_PER_HOUR % HOURS_PER_DAY).unwrap_or_default()
}
