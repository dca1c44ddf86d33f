//! This daemon's evidence on the old and the new version since it learned of an order.

use super::version_send::{SendEnd, SendResult};
use tansylead_route::{OrderId, RollOutEvidence, RouteEvidence, VersionCounts};

/// Bound of the routes in the evidence on one service, [`OTHER_ROUTES`] included: few routes lead to a service, and a
/// report has to fit into a datagram.
const MAXIMUM_ROUTES: usize = 8;
/// The route under which the evidence of all further routes is counted.
const OTHER_ROUTES: u32 = 0;

/// Running totals under one order.
#[derive(Debug)]
pub(super) struct EvidenceLog {
    order: OrderId,
    totals: RollOutEvidence,
}

impl EvidenceLog {
    /// No evidence yet.
    pub(super) fn new(order: OrderId) -> Self {
        Self {
            order,
            totals: RollOutEvidence::default(),
        }
    }

    /// The order.
    pub(super) fn order(&self) -> OrderId {
        self.order
    }

    /// The totals, without the attempts that are running.
    pub(super) fn totals(&self) -> &RollOutEvidence {
        &self.totals
    }

    /// Counts a request of which the first attempt is sent.
    pub(super) fn on_request(&mut self) {
        self.totals.requests += 1;
    }

    /// Counts a send to the target version.
    pub(super) fn on_new_send(&mut self) {
        self.totals.new_sends += 1;
    }

    /// Counts the end of an attempt.
    pub(super) fn on_end(&mut self, result: &SendResult) {
        let counts = self.counts(result.route, result.is_new);
        match result.end {
            SendEnd::Good => counts.good = counts.good.saturating_add(1),
            SendEnd::Failed => counts.failed = counts.failed.saturating_add(1),
            SendEnd::NotRun | SendEnd::Abandoned => {}
        }
        if let Some(latency) = result.latency {
            counts.latencies.add(latency);
        }
    }

    fn counts(&mut self, route: u32, is_new: bool) -> &mut VersionCounts {
        let routes = &mut self.totals.routes;
        let is_known = routes.iter().any(|known| known.route == route);
        let route = match is_known || routes.len() + 1 < MAXIMUM_ROUTES {
            true => route,
            false => OTHER_ROUTES,
        };
        let index = routes.iter().position(|known| known.route == route);
        let index = index.unwrap_or_else(|| {
            routes.push(RouteEvidence {
                route,
                ..RouteEvidence::default()
            });
            routes.len() - 1
        });
        match is_new {
            true => &mut routes[index].new,
            false => &mut routes[index].old,
        }
    }
}
