//! The reporters of this daemon: one for each current order that has not ended.

use super::judge_metrics::{JudgeMetrics, MessageKind, MessageOutcome};
use super::message::GrantMessage;
use super::ranked_judges::RankedJudges;
use super::reporter::{AnswerEnd, Fleet, Reporter};
use crate::cluster::fit_report;
use crate::state::Gateway;
use std::collections::BTreeMap;
use std::rc::Rc;
use tansylead_route::{RollOutReport, RollOuts};
use tansylead_types::{Moment, NodeId, ServiceName};

/// The reporters.
#[derive(Debug)]
pub struct Reporters {
    gateway: Rc<Gateway>,
    metrics: Rc<JudgeMetrics>,
    node: NodeId,
    reporters: BTreeMap<ServiceName, Reporter>,
}

impl Reporters {
    /// No reporters, as no order is known yet.
    pub fn new(gateway: Rc<Gateway>, metrics: Rc<JudgeMetrics>) -> Self {
        let node = NodeId(gateway.settings.peer_address);
        Self {
            gateway,
            metrics,
            node,
            reporters: BTreeMap::new(),
        }
    }

    /// Applies the current orders: reporters of other orders are removed, and missing ones are added.
    pub fn set_orders(&mut self, now: Moment, orders: &RollOuts) {
        let node = self.node;
        let running = |service: &ServiceName| {
            let order = orders.get(service);
            order.filter(|order| !order.state.is_final())
        };
        self.reporters.retain(|service, reporter| {
            running(service).is_some_and(|order| order.order == reporter.order())
        });
        for order in orders
            .orders
            .values()
            .filter(|order| !order.state.is_final())
        {
            let reporter = self.reporters.entry(order.service.clone());
            reporter.or_insert_with(|| Reporter::new(order, node, now));
        }
    }

    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    /// The reports that are due now. Also applies new grants.
    pub fn due_reports(
        &mut self,
        now: Moment,
        ranked: &mut RankedJudges,
        boot: u64,
    ) -> Vec<RollOutReport> {
        let daemons = ranked.members().len();
        let services: Vec<ServiceName> = self.reporters.keys().cloned().collect();
        let mut reports = Vec::new();
        for service in services {
            let judges = ranked.judges(&service);
            self.follow(now, &service, &judges);
            let fleet = Fleet {
                judges: &judges,
                daemons,
                boot,
            };
            reports.extend(self.report(now, &service, fleet));
        }
        reports
    }

    /// Processes the answer of a judge.
    pub fn on_answer(&mut self, now: Moment, message: &GrantMessage, ranked: &mut RankedJudges) {
        let Some(reporter) = self.reporters.get_mut(&message.service) else {
            let outcome = MessageOutcome::UnknownOrder;
            return self.metrics.on_message(MessageKind::Grant, outcome);
        };
        let outcome = match reporter.on_answer(now, message) {
            AnswerEnd::Accepted => MessageOutcome::Received,
            AnswerEnd::Late => MessageOutcome::Late,
            AnswerEnd::Superseded => MessageOutcome::Superseded,
        };
        self.metrics.on_message(MessageKind::Grant, outcome);
        let judges = ranked.judges(&message.service);
        self.follow(now, &message.service, &judges);
    }

    /// Chooses the judge to follow, and applies its grant if it is new.
    fn follow(&mut self, now: Moment, service: &ServiceName, judges: &[NodeId]) {
        let Some(reporter) = self.reporters.get_mut(service) else {
            return;
        };
        if reporter.choose_judge(now, judges) {
            self.metrics.on_judge_change();
            let judge = reporter.followed();
            let judge = judge.map_or("none".to_owned(), |judge| judge.to_string());
            log::info!(service = service.as_str(), judge:% = judge; "another judge is followed");
        }
        let order = reporter.order();
        let Some(followed) = reporter.take_grant(now) else {
            return;
        };
        let service = self.gateway.service(service);
        let versions = service.versions();
        versions.on_grant(now, order, followed.judge, followed.grant);
    }

    fn report(
        &mut self,
        now: Moment,
        service: &ServiceName,
        fleet: Fleet<'_>,
    ) -> Option<RollOutReport> {
        let reporter = self.reporters.get_mut(service)?;
        let state = self.gateway.service(service);
        let (roll_out, evidence) = state.versions().evidence()?;
        if roll_out.order != reporter.order() {
            return None;
        }
        let mut report = reporter.report(now, &evidence, fleet)?;
        self.metrics.on_routes_left_out(fit_report(&mut report));
        Some(report)
    }
}
