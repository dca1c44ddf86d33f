//! A gateway with one leaf of each version of a service, for roll-out tests.

use super::versions::{
    BEFORE, Behaviour, FakeLeaf, STARTED, entry_of, grant, judge, order, orders, request, service,
};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_gateway::execution::{Call, CallEnd, LeafAccess};
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, GatewaySettings, HeaderNames};
use tansylead_route::{
    DirectoryDelta, HomeRegions, LeafEntry, LeafPhase, OrderId, Policy, Revision, RollOutEvidence,
    RollOutState, Route, Stage, Target,
};
use tansylead_types::ServiceName;
use tokio::task::LocalSet;

/// Objective of the route: an answer within this time is timely.
pub const OBJECTIVE: Duration = Duration::from_millis(400);
/// Time after which a request ends.
pub const TIMEOUT: Duration = Duration::from_secs(4);
/// A leaf that fails every request.
pub const BAD: Behaviour = Behaviour::Answer(500, Duration::ZERO);

/// Settings of the example, with enough slack for hedges.
pub fn settings() -> GatewaySettings {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let settings = GatewaySettings::load(&root.join("settings.toml"));
    let mut settings = settings.expect("settings");
    // A daemon that has just started gets a small share of the slack; this is enough for hedges all the same.
    settings.bounds.retry_slack = 100.0;
    settings
}

/// A gateway that knows these leafs, and that there was no roll-out order before they started.
pub fn gateway_with(settings: GatewaySettings, entries: Vec<LeafEntry>) -> Rc<Gateway> {
    let gateway = Gateway::new(settings, HeaderNames::default());
    gateway.apply_roll_outs(orders([], BEFORE));
    gateway.apply_directory(DirectoryDelta::Everything {
        at: STARTED.into(),
        entries,
    });
    Rc::new(gateway)
}

/// A service with one leaf of each version.
pub struct Fleet {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// The leaf that ran before the order.
    pub old: FakeLeaf,
    /// The leaf of the target version.
    pub new: FakeLeaf,
}

impl Fleet {
    /// A fleet without a roll-out order.
    pub async fn new() -> Self {
        Self::with_settings(settings()).await
    }

    /// A fleet without a roll-out order, with these settings.
    pub async fn with_settings(settings: GatewaySettings) -> Self {
        let (old, new) = (FakeLeaf::good().await, FakeLeaf::good().await);
        let entries = vec![
            entry_of("i-old", &service(), old.address, "old", BEFORE),
            entry_of("i-new", &service(), new.address, "new", STARTED),
        ];
        let gateway = gateway_with(settings, entries);
        Self { gateway, old, new }
    }

    /// A fleet with a running order, and nothing granted yet.
    pub async fn ordered() -> Self {
        let fleet = Self::new().await;
        fleet.set_state(RollOutState::Running, STARTED);
        fleet
    }

    /// A fleet with a running order and this grant.
    pub async fn granted(stage: Stage, limit: u64) -> Self {
        let fleet = Self::ordered().await;
        grant_to(&fleet.gateway, &service(), stage, limit);
        fleet
    }

    /// Sets the state of the roll-out.
    pub fn set_state(&self, state: RollOutState, at: Revision) {
        let order = order(&service(), state, at);
        self.gateway.apply_roll_outs(orders([order], at));
    }

    /// Sends this many requests one by one. Returns how many requests reached the old leaf, and the new one.
    pub async fn send(&self, requests: u32) -> (u32, u32) {
        for _ in 0..requests {
            assert_eq!(self.ask(true).await, Some(200));
        }
        self.served()
    }

    /// The status of the answer to one request; none if there was no answer.
    pub async fn ask(&self, repeatable: bool) -> Option<u16> {
        let call = call(&self.gateway, repeatable);
        match LocalSet::new().run_until(call.run()).await {
            CallEnd::Answered(reply) => Some(reply.status.as_u16()),
            CallEnd::Failed(failure) => failure.reply.map(|reply| reply.status.as_u16()),
        }
    }

    /// Number of requests that reached the old leaf, and the new one.
    pub fn served(&self) -> (u32, u32) {
        (self.old.served(), self.new.served())
    }

    /// The evidence on both versions.
    pub fn evidence(&self) -> RollOutEvidence {
        let service = self.gateway.service(&service());
        service.versions().evidence().expect("an order").1
    }
}

/// Grants this many sends to the target version of a service.
pub fn grant_to(gateway: &Gateway, service: &ServiceName, stage: Stage, limit: u64) {
    let service = gateway.service(service);
    let grant = grant(stage, limit);
    service
        .versions()
        .on_grant(Clock.now(), OrderId(1), judge(), grant);
}

/// A route with the objective and timeout above.
pub fn route(target: Target, repeatable: bool) -> Arc<Route> {
    Arc::new(Route {
        name: "search".to_owned(),
        host: "search.example".to_owned(),
        path_prefix: "/".to_owned(),
        target,
        policy: Policy {
            repeatable,
            maximum_attempts: 2,
            timeout: TIMEOUT,
            objective: OBJECTIVE,
            priority: 1,
            homes: HomeRegions::default(),
        },
    })
}

/// A call of the service.
pub fn call(gateway: &Rc<Gateway>, repeatable: bool) -> Call {
    let route = route(Target::Services(Vec::new()), repeatable);
    Call {
        gateway: Rc::clone(gateway),
        service: gateway.service(&service()),
        route: Arc::clone(&route),
        access: LeafAccess::new(Rc::clone(gateway), route, 1),
        request: request(repeatable),
        end: Clock.now() + TIMEOUT,
        successes_only: false,
        shared: Rc::default(),
        trace: Rc::default(),
    }
}

/// The directory when the old leaf is draining and the new one serves.
pub fn with_old_draining(fleet: &Fleet) -> DirectoryDelta {
    let mut leaving = entry_of("i-old", &service(), fleet.old.address, "old", BEFORE);
    leaving.phase = LeafPhase::Draining;
    let new = entry_of("i-new", &service(), fleet.new.address, "new", STARTED);
    DirectoryDelta::Everything {
        at: Revision::first_era(STARTED.number + 1).into(),
        entries: vec![leaving, new],
    }
}

/// Whether the service has a leaf that may be used.
pub fn has_leafs(gateway: &Gateway) -> bool {
    let service = gateway.service(&service());
    service.has_leafs(&HomeRegions::default())
}
