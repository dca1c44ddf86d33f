//! Runs queries over shards that other daemons forward to this one.

use super::forwarded_query::{ForwardedQuery, ForwardedReply};
use crate::clock::Clock;
use crate::execution::{GatherQuery, LeafAccess, Outcome, Refusal, RefusalReason, gather};
use crate::memory::{HeldBytes, request_bytes};
use crate::metrics::ForwardedResult;
use crate::request_log::RequestLog;
use crate::state::{Gateway, StopPhase};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_route::{MemoryUse, Route, ShardSet, Target, is_too_busy};
use tansylead_types::StepError;

/// Time reserved for the merged answer to return through the daemon that forwarded the query: a few
/// milliseconds on a small machine and a one-way delay between zones (up to 1.4 ms at users' sites).
const RETURN_TIME: Duration = Duration::from_millis(6);

/// Runs a query for another daemon. Dropping the future ends its attempts.
pub(super) async fn run_forwarded(
    gateway: &Rc<Gateway>,
    query: ForwardedQuery,
    peer: &str,
) -> Result<ForwardedReply, StepError> {
    let Some(route) = find_route(gateway, &query) else {
        gateway.metrics.on_forwarded(ForwardedResult::DeclinedHere);
        return Ok(ForwardedReply::Declined);
    };
    let Target::Shards(set) = &route.target else {
        return Ok(ForwardedReply::Declined);
    };
    if is_too_busy(gateway.processor_lag().get(), route.policy.objective) {
        gateway.metrics.on_forwarded(ForwardedResult::BusyHere);
        return Ok(ForwardedReply::Busy);
    }
    // Beside the message that it came in, which is charged until the query ends.
    let data = query.data_bytes();
    let held = HeldBytes::default();
    let mut charge = gateway.memory.charge(&held);
    let memory_use = MemoryUse::for_size(data, MemoryUse::Body);
    if charge
        .set(data + request_bytes(&route.target), memory_use)
        .is_err()
    {
        gateway.metrics.on_forwarded(ForwardedResult::NoMemoryHere);
        return Ok(ForwardedReply::Busy);
    }
    gateway.metrics.on_forwarded(ForwardedResult::RunHere);
    let _running = RunningForPeer::new(Rc::clone(gateway));
    run(gateway, &route, set, query, held, peer).await
}

/// The route of a query if this daemon may run it: the same version, repeatable, over shards.
fn find_route(gateway: &Gateway, query: &ForwardedQuery) -> Option<Arc<Route>> {
    let active = gateway.active()?;
    let may_run = query.cluster == gateway.settings.cluster
        && active.configuration.version == query.version
        && gateway.knows_all_topics()
        && gateway.stop_phase() < StopPhase::Closing;
    let route = active.routes.find(&query.host, query.path())?;
    let is_over_shards = matches!(route.target, Target::Shards(_));
    let fits = may_run && is_over_shards && route.policy.repeatable;
    fits.then(|| Arc::clone(route))
}

async fn run(
    gateway: &Rc<Gateway>,
    route: &Arc<Route>,
    set: &ShardSet,
    query: ForwardedQuery,
    held: HeldBytes,
    peer: &str,
) -> Result<ForwardedReply, StepError> {
    let arrived = Clock.now() - query.elapsed() - RETURN_TIME;
    let time_left = query.time_left();
    let version = query.version;
    let request = Rc::new(query.into_request(held)?);
    let mut log = RequestLog::for_peer(Rc::clone(gateway), request.id.clone(), arrived, peer);
    log.version = Some(version);
    log.route = Some(Arc::clone(route));
    log.fingerprints = Some(request.fingerprints);
    let execution = GatherQuery {
        gateway: Rc::clone(gateway),
        access: LeafAccess::new(Rc::clone(gateway), Arc::clone(route), version),
        route: Arc::clone(route),
        request,
        arrived,
        time_left,
        trace: Rc::clone(&log.trace),
    };
    let mut stop = gateway.stop_phases();
    let outcome = tokio::select! {
        outcome = gather(execution, set) => outcome,
        _ = stop.wait_for(|phase| *phase >= StopPhase::Ending) => {
            Outcome::Refused(Refusal::new(RefusalReason::Failed))
        }
    };
    log.finish(&outcome);
    Ok(ForwardedReply::new(outcome))
}

/// Counts a query of another daemon while it runs: a planned stop waits for it.
struct RunningForPeer {
    gateway: Rc<Gateway>,
}

impl RunningForPeer {
    fn new(gateway: Rc<Gateway>) -> Self {
        let running = gateway.running_for_peers();
        running.set(running.get() + 1);
        Self { gateway }
    }
}

impl Drop for RunningForPeer {
    fn drop(&mut self) {
        let running = self.gateway.running_for_peers();
        running.set(running.get().saturating_sub(1));
    }
}
