//! Sends a validated query to a root and returns its answer.
//!
//! A query that provably ran nowhere is sent to the next root, up to a few times. One that may have
//! run is sent to another root only if it is repeatable, and at most once.

use crate::answers::not_run;
use crate::clock::Clock;
use crate::configuration::PlacementKey;
use crate::metrics::Metrics;
use crate::peers::{
    CallError, ForwardAllowance, ForwardedQuery, PeerClient, PeerRequest, PeerResponse,
};
use crate::root::RootAnswer;
use crate::root_service::{RootError, RootService};
use crate::routing::{RouteChoice, Routes};
use crate::tuning::Tuning;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{Moment, NodeId, Outcome, PlaceName, QueryAnswer, QueryRequest};

/// How long a root that gave no answer is skipped.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(1);

/// Serves the callers of one daemon.
#[derive(Debug)]
pub struct Frontend {
    parts: FrontendParts,
    clock: Clock,
}

/// Dependencies of a frontend.
#[derive(Debug)]
pub struct FrontendParts {
    /// Routes of queries.
    pub routes: Arc<Routes>,
    /// Roots of this daemon.
    pub roots: Arc<RootService>,
    /// Other daemons.
    pub peers: Arc<PeerClient>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Internal limits.
    pub tuning: Arc<Tuning>,
}

/// A root and its place.
#[derive(Debug, Clone)]
struct Target {
    place: PlaceName,
    root: NodeId,
}

/// Result of sending a query to one root.
#[derive(Debug)]
enum ForwardResult {
    /// It answered.
    Answered(RootAnswer),
    /// Nothing ran there; the earliest retry is after this time.
    NotRun { retry_after: Duration },
    /// It could not be reached; nothing ran.
    Unreachable,
    /// The query may have run there.
    MayHaveRun { reason: String },
}

impl Frontend {
    /// A frontend with these dependencies.
    pub fn new(parts: FrontendParts) -> Self {
        Self {
            parts,
            clock: Clock,
        }
    }

    /// Routes of queries.
    pub fn routes(&self) -> &Routes {
        &self.parts.routes
    }

    /// When callers that are refused for lack of configuration should retry.
    pub fn retry_after(&self) -> Duration {
        self.parts.tuning.default_retry_after
    }

    /// Runs a query. Dropping the future cancels it.
    pub async fn execute(&self, request: QueryRequest, deadline: Moment) -> QueryAnswer {
        let mut last_refusal = None;
        let mut may_have_run = false;
        for _ in 0..self.parts.tuning.maximum_roots_tried {
            let target = match self.choose_root(&request) {
                Ok(target) => target,
                Err(refusal) => {
                    last_refusal = last_refusal.or(Some(*refusal));
                    break;
                }
            };
            match self.query_root(&target, &request, deadline).await {
                ForwardResult::Answered(answered) => {
                    if !self.record_answer(&target, &request, &answered) {
                        return mark_earlier_run(answered.answer, may_have_run);
                    }
                    last_refusal = Some(answered.answer);
                }
                ForwardResult::NotRun { retry_after } => {
                    self.parts.routes.on_refusal(
                        &request.service,
                        &target.place,
                        target.root,
                        retry_after,
                    );
                }
                ForwardResult::Unreachable => self.record_unreachable(&target, &request),
                ForwardResult::MayHaveRun { reason } => {
                    self.record_unresponsive(&target, &request);
                    if may_have_run || !request.is_repeatable() {
                        return self.unknown_answer(&request, reason);
                    }
                    may_have_run = true;
                }
            }
            if self.clock.time_left(deadline).is_zero() {
                break;
            }
        }
        let refusal = last_refusal.unwrap_or_else(|| {
            let reason = "no root could be reached".to_owned();
            not_run(request.request.clone(), reason, self.retry_after())
        });
        mark_earlier_run(refusal, may_have_run)
    }

    fn choose_root(&self, request: &QueryRequest) -> Result<Target, Box<QueryAnswer>> {
        let routes = &self.parts.routes;
        match routes.choose(&request.service) {
            RouteChoice::Root { place, root } => Ok(Target { place, root }),
            RouteChoice::Refuse {
                reason,
                retry_after,
            } => {
                // The only root serves on until the end of its planned stop.
                if routes.is_leaving() && self.parts.roots.has_root(&self.own_key(request)) {
                    return Ok(Target {
                        place: routes.own_place().clone(),
                        root: routes.own_node(),
                    });
                }
                let refusal = not_run(request.request.clone(), reason, retry_after);
                Err(Box::new(refusal))
            }
        }
    }

    fn own_key(&self, request: &QueryRequest) -> PlacementKey {
        PlacementKey {
            service: request.service.clone(),
            place: self.parts.routes.own_place().clone(),
        }
    }

    async fn query_root(
        &self,
        target: &Target,
        request: &QueryRequest,
        deadline: Moment,
    ) -> ForwardResult {
        if target.root == self.parts.routes.own_node() {
            return self.query_own_root(target, request, deadline).await;
        }
        let forwarded = self.forward(target, request, deadline).await;
        let result = match &forwarded {
            ForwardResult::Answered(_) => "answered",
            ForwardResult::NotRun { .. } => "not_run",
            ForwardResult::Unreachable => "unreachable",
            ForwardResult::MayHaveRun { .. } => "may_have_run",
        };
        let labels = [request.service.as_str(), result];
        self.parts.metrics.forwards.with_label_values(&labels).inc();
        forwarded
    }

    async fn query_own_root(
        &self,
        target: &Target,
        request: &QueryRequest,
        deadline: Moment,
    ) -> ForwardResult {
        let key = PlacementKey {
            service: request.service.clone(),
            place: target.place.clone(),
        };
        let executed = self.parts.roots.execute(&key, request.clone(), deadline);
        match executed.await {
            Ok(answered) => ForwardResult::Answered(answered),
            Err(RootError::NotRoot | RootError::Busy) => ForwardResult::NotRun {
                retry_after: self.retry_after(),
            },
            Err(error @ RootError::Lost) => ForwardResult::MayHaveRun {
                reason: error.to_string(),
            },
        }
    }

    async fn forward(
        &self,
        target: &Target,
        request: &QueryRequest,
        deadline: Moment,
    ) -> ForwardResult {
        let query = ForwardedQuery {
            place: target.place.clone(),
            request: request.clone(),
        };
        let tuning = &self.parts.tuning;
        let allowance = match target.place == *self.parts.routes.own_place() {
            true => tuning.forward_allowance_same_place,
            false => tuning.forward_allowance_other_place,
        };
        let peers = &self.parts.peers;
        let request = PeerRequest::Query(query);
        let allowance = ForwardAllowance(allowance);
        let called = peers.call_within(target.root, request, deadline, allowance);
        match called.await {
            Ok(PeerResponse::Answer(forwarded)) => ForwardResult::Answered(RootAnswer {
                answer: forwarded.answer,
                report: forwarded.report,
            }),
            Ok(PeerResponse::NotRoot | PeerResponse::Busy) => ForwardResult::NotRun {
                retry_after: self.retry_after(),
            },
            Ok(_) => ForwardResult::MayHaveRun {
                reason: format!("root {} ended without an answer", target.root),
            },
            Err(CallError::NotSent(_)) => ForwardResult::Unreachable,
            Err(CallError::MaybeReceived(error)) => ForwardResult::MayHaveRun {
                reason: error.to_string(),
            },
        }
    }

    /// Records what the answer says about the root. Returns true if the query should go to another
    /// root. A non-repeatable request may have been refused for lack of claims, which says nothing
    /// about the root's room for lookups.
    fn record_answer(
        &self,
        target: &Target,
        request: &QueryRequest,
        answered: &RootAnswer,
    ) -> bool {
        let routes = &self.parts.routes;
        let (service, place, root) = (&request.service, &target.place, target.root);
        if let Some(report) = answered.report {
            routes.on_report(service, place, root, report);
        }
        match (answered.answer.outcome, answered.answer.retry_after) {
            (Outcome::NotRun, Some(retry_after)) => {
                if request.is_repeatable() {
                    routes.on_refusal(service, place, root, retry_after);
                }
                true
            }
            _ => false,
        }
    }

    fn record_unreachable(&self, target: &Target, request: &QueryRequest) {
        let routes = &self.parts.routes;
        routes.on_unreachable(&request.service, &target.place, target.root);
    }

    /// A root that received a query and gave no answer may be frozen, so it is skipped for a while.
    fn record_unresponsive(&self, target: &Target, request: &QueryRequest) {
        let routes = &self.parts.routes;
        let (service, place) = (&request.service, &target.place);
        routes.on_refusal(service, place, target.root, UNRESPONSIVE_BACKOFF);
    }

    fn unknown_answer(&self, request: &QueryRequest, reason: String) -> QueryAnswer {
        QueryAnswer::without_results(request.request.clone(), Outcome::Unknown, reason, None)
    }
}

/// Turns "not run" into "unknown" if another root may have run the query before the refusal.
fn mark_earlier_run(mut answer: QueryAnswer, may_have_run: bool) -> QueryAnswer {
    if may_have_run && answer.outcome == Outcome::NotRun {
        answer.outcome = Outcome::Unknown;
    }
    answer
}
