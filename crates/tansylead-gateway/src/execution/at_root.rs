//! A query over shards that a root of the region runs for this daemon.
//!
//! Invariants: only what may be repeated is handed on, and nothing that the regions of its route keep
//! away from here; a query that a root may have run is not run here as well, since its attempts count
//! against the route's.

use super::outcome::{Outcome, Refusal, RefusalReason};
use crate::clock::Clock;
use crate::cluster::{ForwardError, ForwardedQuery, ForwardedReply, RootPeer};
use crate::leaf::OutgoingRequest;
use crate::metrics::ForwardedResult;
use crate::request_trace::RequestTrace;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{Route, Target};
use tansylead_types::Moment;

/// Part of the objective within which a connection to a root must come up.
const CONNECT_SHARE: f64 = 0.15;
/// A root that has answered nothing for this many objectives is not waited for any longer: the caller
/// can still ask again.
const SILENCE_OBJECTIVES: u32 = 2;

/// A query that could be run at a root.
#[derive(Debug)]
pub struct QueryAtRoot<'a> {
    /// Shared state.
    pub gateway: &'a Rc<Gateway>,
    /// Route of the query.
    pub route: &'a Route,
    /// Version of the configuration that the route is of.
    pub version: u64,
    /// The query.
    pub request: &'a OutgoingRequest,
    /// When it arrived.
    pub arrived: Moment,
    /// How long the caller waits, from its arrival.
    pub time_left: Duration,
    /// Its decisions.
    pub trace: &'a RequestTrace,
}

impl QueryAtRoot<'_> {
    /// Has a root run the query. None if nothing has run: then this daemon runs it.
    pub async fn run(&self) -> Option<Outcome> {
        let root = self.choose()?;
        self.trace.set_root(root.address());
        let objective = self.route.policy.objective;
        let sent = Clock.now();
        let held = sent.since(self.arrived);
        let cluster = &self.gateway.settings.cluster;
        let host = &self.route.host;
        let query = ForwardedQuery::new(
            cluster,
            self.version,
            host,
            self.request,
            held,
            self.time_left,
        );
        let asking = root.forward(query, objective.mul_f64(CONNECT_SHARE));
        let waited = self.wait(&root, sent, asking).await;
        self.finish(&root, sent, waited)
    }

    fn choose(&self) -> Option<Rc<RootPeer>> {
        let gateway = self.gateway;
        let policy = &self.route.policy;
        let is_eligible = gateway.settings.queries_at_roots
            && policy.repeatable
            && matches!(self.route.target, Target::Shards(_))
            && policy.homes.allow(gateway.own_region());
        if !is_eligible {
            return None;
        }
        gateway.roots.choose(Clock.now(), &gateway.settings.zone)
    }

    /// Waits for the reply, at most until the end of the query, and not for a root that is silent.
    async fn wait(
        &self,
        root: &RootPeer,
        sent: Moment,
        asking: impl Future<Output = Result<ForwardedReply, ForwardError>>,
    ) -> Waited {
        let policy = &self.route.policy;
        let objective = policy.objective;
        let end = self.arrived + policy.timeout.min(self.time_left);
        let overdue = Clock.sleep_until(self.arrived + objective);
        let silence = self.arrived + objective * SILENCE_OBJECTIVES;
        let silence = Clock.sleep_until(silence);
        let end = Clock.sleep_until(end);
        tokio::pin!(asking, overdue, silence, end);
        let (mut is_overdue, mut is_past_silence) = (false, false);
        loop {
            tokio::select! {
                biased;
                reply = &mut asking => return Waited::Replied { reply, is_overdue },
                () = &mut overdue, if !is_overdue => {
                    is_overdue = true;
                    root.on_overdue(sent, objective);
                }
                () = &mut silence, if !is_past_silence => {
                    is_past_silence = true;
                    if root.is_silent_since(sent) {
                        return Waited::Silent;
                    }
                }
                () = &mut end => return Waited::TimedOut,
            }
        }
    }

    fn finish(&self, root: &RootPeer, sent: Moment, waited: Waited) -> Option<Outcome> {
        let refused = |reason| Some(Outcome::Refused(Refusal::new(reason)));
        let (result, outcome) = match waited {
            Waited::Replied {
                reply: Ok(reply),
                is_overdue,
            } => {
                root.on_answer(sent, !is_overdue);
                if reply == ForwardedReply::Busy {
                    root.on_busy();
                }
                match reply.into_outcome() {
                    Some(outcome) => (ForwardedResult::Answered, Some(outcome)),
                    None => (ForwardedResult::Declined, None),
                }
            }
            Waited::Replied {
                reply: Err(ForwardError::NotSent(error)),
                ..
            } => {
                log::debug!(error:% = error; "query not sent to root");
                root.on_unreachable(self.route.policy.objective);
                (ForwardedResult::NotSent, None)
            }
            Waited::Replied {
                reply: Err(ForwardError::MaybeRun(error)),
                ..
            } => {
                log::info!(error:% = error; "root lost with a query");
                root.on_unreachable(self.route.policy.objective);
                (ForwardedResult::Failed, refused(RefusalReason::Failed))
            }
            Waited::Silent => (ForwardedResult::Silent, refused(RefusalReason::Failed)),
            Waited::TimedOut => (ForwardedResult::TimedOut, refused(RefusalReason::TimedOut)),
        };
        self.gateway.metrics.on_forwarded(result);
        if outcome.is_none() {
            self.trace.clear_root();
        }
        outcome
    }
}

/// How waiting for a root ended.
enum Waited {
    /// With a reply, or a connection that ended.
    Replied {
        reply: Result<ForwardedReply, ForwardError>,
        is_overdue: bool,
    },
    /// The root answers nobody.
    Silent,
    /// The time is up.
    TimedOut,
}
