//! A query over shards that a root of the region runs for this daemon.
//!
//! Invariants: only queries that may be repeated are forwarded, and none whose route is restricted to other
//! regions; a query that a root may have run is not run here as well, since the root's attempts count
//! against the limit of the route.

use super::outcome::{Outcome, Refusal, RefusalReason};
use crate::clock::Clock;
use crate::cluster::{ForwardError, ForwardedQuery, ForwardedReply, RootPeer};
use crate::leaf::OutgoingRequest;
use crate::memory::Charge;
use crate::metrics::ForwardedResult;
use crate::request_trace::RequestTrace;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::NoMemory;
use tansylead_route::{MemoryUse, Route, Target};
use tansylead_types::Moment;

/// Share of the objective within which a connection to a root must be established.
const CONNECT_SHARE: f64 = 0.15;
/// After this many objectives without any answer from a root, it is given up: the caller still has time to
/// retry.
const SILENCE_OBJECTIVES: u32 = 2;

/// A query that could be run at a root.
#[derive(Debug)]
pub struct QueryAtRoot<'a> {
    /// Shared state.
    pub gateway: &'a Rc<Gateway>,
    /// Route of the query.
    pub route: &'a Route,
    /// Version of the configuration that the route was found in.
    pub version: u64,
    /// The query.
    pub request: &'a OutgoingRequest,
    /// When it arrived.
    pub arrived: Moment,
    /// How long the caller waits, from its arrival.
    pub time_left: Duration,
    /// Trace of the decisions for the query.
    pub trace: &'a RequestTrace,
}

impl QueryAtRoot<'_> {
    /// Lets a root run the query. None if none has run it: then this daemon does.
    pub async fn run(&self) -> Option<Outcome> {
        let root = self.choose()?;
        let Ok(_copies) = self.charge_copies() else {
            self.gateway.metrics.on_forwarded(ForwardedResult::NoMemory);
            return None;
        };
        self.trace.set_root(root.address());
        let objective = self.route.policy.objective;
        let sent = Clock.now();
        let elapsed = sent.since(self.arrived);
        let cluster = &self.gateway.settings.cluster;
        let host = &self.route.host;
        let query = ForwardedQuery::new(
            cluster,
            self.version,
            host,
            self.request,
            elapsed,
            self.time_left,
        );
        let exchange = root.forward(query, objective.mul_f64(CONNECT_SHARE));
        let wait_end = self.wait(&root, sent, exchange).await;
        self.finish(&root, sent, wait_end)
    }

    /// Charges the message to the root, of which there are two more copies while it is encoded and sent.
    fn charge_copies(&self) -> Result<Charge, NoMemory> {
        const COPIES: usize = 3;
        let mut charge = self.gateway.memory.charge(&self.request.held);
        let bytes = self.request.body.len() * COPIES;
        charge.set(bytes, MemoryUse::for_size(bytes, MemoryUse::Body))?;
        Ok(charge)
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

    /// Waits for the reply until the end of the query, or until the root is found silent.
    async fn wait(
        &self,
        root: &RootPeer,
        sent: Moment,
        exchange: impl Future<Output = Result<ForwardedReply, ForwardError>>,
    ) -> WaitEnd {
        let policy = &self.route.policy;
        let objective = policy.objective;
        let end = self.arrived + policy.timeout.min(self.time_left);
        let overdue = Clock.sleep_until(self.arrived + objective);
        let silence = self.arrived + objective * SILENCE_OBJECTIVES;
        let silence = Clock.sleep_until(silence);
        let end = Clock.sleep_until(end);
        tokio::pin!(exchange, overdue, silence, end);
        let (mut is_overdue, mut is_past_silence) = (false, false);
        loop {
            tokio::select! {
                biased;
                reply = &mut exchange => return WaitEnd::Replied { reply, is_overdue },
                () = &mut overdue, if !is_overdue => {
                    is_overdue = true;
                    root.on_overdue(sent, objective);
                }
                () = &mut silence, if !is_past_silence => {
                    is_past_silence = true;
                    if root.is_silent_since(sent) {
                        return WaitEnd::Silent;
                    }
                }
                () = &mut end => return WaitEnd::TimedOut,
            }
        }
    }

    fn finish(&self, root: &RootPeer, sent: Moment, wait_end: WaitEnd) -> Option<Outcome> {
        let refused = |reason| Some(Outcome::Refused(Refusal::new(reason)));
        let (result, outcome) = match wait_end {
            WaitEnd::Replied {
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
            WaitEnd::Replied {
                reply: Err(ForwardError::NotSent(error)),
                ..
            } => {
                log::debug!(error:% = error; "query not sent to root");
                root.on_unreachable(self.route.policy.objective);
                (ForwardedResult::NotSent, None)
            }
            WaitEnd::Replied {
                reply: Err(ForwardError::MaybeRun(error)),
                ..
            } => {
                log::info!(error:% = error; "root lost with a query");
                root.on_unreachable(self.route.policy.objective);
                (ForwardedResult::Failed, refused(RefusalReason::Failed))
            }
            WaitEnd::Silent => (ForwardedResult::Silent, refused(RefusalReason::Failed)),
            WaitEnd::TimedOut => (ForwardedResult::TimedOut, refused(RefusalReason::TimedOut)),
        };
        self.gateway.metrics.on_forwarded(result);
        if outcome.is_none() {
            self.trace.clear_root();
        }
        outcome
    }
}

/// How the wait for a root ended.
enum WaitEnd {
    /// A reply arrived or the connection ended.
    Replied {
        reply: Result<ForwardedReply, ForwardError>,
        is_overdue: bool,
    },
    /// The root has answered no query since this one was sent.
    Silent,
    /// The end of the query was reached.
    TimedOut,
}
