//! Where requests to a service go while it is rolled out, and after.

mod common;

use common::versions::{
    BEFORE, Behaviour, ENDED, FakeLeaf, ORDERED, STARTED, entry_of, grant, judge, order, orders,
    request, service,
};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_gateway::execution::{Call, CallEnd, GatherQuery, LeafAccess, Outcome, gather};
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, GatewaySettings, HeaderNames};
use tansylead_route::{
    DirectoryDelta, HomeRegions, LeafEntry, OrderId, Policy, Revision, RollOutEvidence,
    RollOutState, Route, ShardSet, Stage, Target,
};
use tansylead_types::ServiceName;
use tokio::task::LocalSet;

const OBJECTIVE: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(4);
const BAD: Behaviour = Behaviour::Answer(500, Duration::ZERO);

fn settings() -> GatewaySettings {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let settings = GatewaySettings::load(&root.join("settings.toml"));
    let mut settings = settings.expect("settings");
    // A daemon that has just started takes a small part of the slack; there are hedges all the same.
    settings.bounds.retry_slack = 100.0;
    settings
}

fn gateway_with(settings: GatewaySettings, entries: Vec<LeafEntry>) -> Rc<Gateway> {
    let gateway = Gateway::new(settings, HeaderNames::default());
    gateway.apply_roll_outs(orders([], BEFORE));
    gateway.apply_directory(DirectoryDelta::Everything {
        at: STARTED,
        entries,
    });
    Rc::new(gateway)
}

/// A service with one leaf of each version.
struct Fleet {
    gateway: Rc<Gateway>,
    old: FakeLeaf,
    new: FakeLeaf,
}

impl Fleet {
    /// Nothing is ordered yet.
    async fn new() -> Self {
        Self::with_settings(settings()).await
    }

    async fn with_settings(settings: GatewaySettings) -> Self {
        let (old, new) = (FakeLeaf::good().await, FakeLeaf::good().await);
        let entries = vec![
            entry_of("i-old", &service(), old.address, "old", BEFORE),
            entry_of("i-new", &service(), new.address, "new", STARTED),
        ];
        let gateway = gateway_with(settings, entries);
        Self { gateway, old, new }
    }

    /// The order stands, and nothing is granted yet.
    async fn ordered() -> Self {
        let fleet = Self::new().await;
        fleet.set_state(RollOutState::Running, STARTED);
        fleet
    }

    async fn granted(stage: Stage, limit: u64) -> Self {
        let fleet = Self::ordered().await;
        grant_to(&fleet.gateway, &service(), stage, limit);
        fleet
    }

    fn set_state(&self, state: RollOutState, at: Revision) {
        let order = order(&service(), state, at);
        self.gateway.apply_roll_outs(orders([order], at));
    }

    /// Where so many requests in turn went: to the old leaf, and to the new one.
    async fn send(&self, requests: u32) -> (u32, u32) {
        for _ in 0..requests {
            assert_eq!(self.ask(true).await, Some(200));
        }
        self.served()
    }

    /// The status of the answer to one request; none if there was no answer.
    async fn ask(&self, repeatable: bool) -> Option<u16> {
        let call = call(&self.gateway, repeatable);
        match LocalSet::new().run_until(call.run()).await {
            CallEnd::Answered(reply) => Some(reply.status.as_u16()),
            CallEnd::Failed(failure) => failure.reply.map(|reply| reply.status.as_u16()),
        }
    }

    fn served(&self) -> (u32, u32) {
        (self.old.served(), self.new.served())
    }

    fn evidence(&self) -> RollOutEvidence {
        let service = self.gateway.service(&service());
        service.versions().evidence().expect("an order").1
    }
}

fn grant_to(gateway: &Gateway, service: &ServiceName, stage: Stage, limit: u64) {
    let service = gateway.service(service);
    let grant = grant(stage, limit);
    service
        .versions()
        .on_grant(Clock.now(), OrderId(1), judge(), grant);
}

fn route(target: Target, repeatable: bool) -> Arc<Route> {
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

fn call(gateway: &Rc<Gateway>, repeatable: bool) -> Call {
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

#[tokio::test]
async fn under_trial_first_attempts_use_what_is_granted_and_the_rest_goes_to_old_leafs() {
    let fleet = Fleet::granted(Stage::Trial, 3).await;
    assert_eq!(fleet.send(8).await, (5, 3));
    let evidence = fleet.evidence();
    assert_eq!((evidence.requests, evidence.new_sends), (8, 3));
    assert_eq!(evidence.routes[0].new.good, 3);
    assert_eq!(evidence.routes[0].old.good, 5);
}

#[tokio::test]
async fn without_a_grant_nothing_goes_to_the_target() {
    let fleet = Fleet::ordered().await;
    assert_eq!(fleet.send(4).await, (4, 0));
}

#[tokio::test]
async fn under_trial_a_failure_of_the_target_is_retried_at_an_old_leaf() {
    let fleet = Fleet::granted(Stage::Trial, 100).await;
    fleet.new.set(BAD);
    assert_eq!(fleet.ask(true).await, Some(200));
    assert_eq!(fleet.served(), (1, 1));
    let evidence = fleet.evidence();
    assert_eq!((evidence.requests, evidence.new_sends), (1, 1));
    assert_eq!(evidence.routes[0].new.failed, 1);
}

#[tokio::test]
async fn under_trial_a_failure_of_an_old_leaf_is_not_retried_at_the_target() {
    let fleet = Fleet::ordered().await;
    fleet.old.set(BAD);
    let call = call(&fleet.gateway, true);
    let service = fleet.gateway.service(&service());
    let asking = async {
        let running = tokio::task::spawn_local(call.run());
        // The first attempt is chosen before anything is granted.
        tokio::task::yield_now().await;
        let grant = grant(Stage::Trial, 100);
        let versions = service.versions();
        versions.on_grant(Clock.now(), OrderId(1), judge(), grant);
        running.await.expect("no panic")
    };
    LocalSet::new().run_until(asking).await;
    assert_eq!(fleet.served(), (1, 0));
}

#[tokio::test]
async fn under_trial_a_hedge_goes_to_an_old_leaf() {
    let fleet = Fleet::granted(Stage::Trial, 100).await;
    fleet.new.set(Behaviour::Silent);
    assert_eq!(fleet.ask(true).await, Some(200));
    assert_eq!(fleet.served(), (1, 1));
}

#[tokio::test]
async fn what_may_not_be_repeated_is_not_run_again_elsewhere() {
    let fleet = Fleet::granted(Stage::Trial, 100).await;
    fleet.new.set(BAD);
    assert_eq!(fleet.ask(false).await, Some(500));
    assert_eq!(fleet.served(), (0, 1));
    fleet.new.set(Behaviour::Refuse);
    assert_eq!(fleet.ask(false).await, Some(200), "it provably did not run");
    assert_eq!(fleet.served(), (1, 2));
}

#[tokio::test]
async fn attempts_that_find_the_grant_used_up_go_to_old_leafs_at_no_cost() {
    let fleet = Fleet::granted(Stage::Trial, 1).await;
    let calls = [call(&fleet.gateway, false), call(&fleet.gateway, false)];
    let [first, second] = calls;
    let asking = async { tokio::join!(first.run(), second.run()) };
    let (first, second) = LocalSet::new().run_until(asking).await;
    for end in [first, second] {
        assert!(matches!(end, CallEnd::Answered(reply) if reply.status == 200));
    }
    assert_eq!(fleet.served(), (1, 1));
    assert_eq!(fleet.evidence().new_sends, 1);
}

#[tokio::test]
async fn in_the_shift_all_attempts_go_to_the_target_as_far_as_granted() {
    let fleet = Fleet::granted(Stage::Shift, 4).await;
    assert_eq!(fleet.send(4).await, (0, 4));
    assert_eq!(fleet.send(2).await, (2, 4));
}

#[tokio::test]
async fn after_the_commitment_nothing_goes_to_old_leafs_though_their_entries_stand() {
    let fleet = Fleet::granted(Stage::Commit, 0).await;
    assert_eq!(fleet.send(3).await, (0, 3));
    fleet.new.set(BAD);
    assert_eq!(fleet.ask(true).await, Some(500));
    assert_eq!(fleet.served().0, 0);
}

#[tokio::test]
async fn a_completion_leaves_old_leafs_alone_though_their_entries_stand() {
    let fleet = Fleet::granted(Stage::Shift, 0).await;
    assert_eq!(fleet.send(2).await, (2, 0));
    fleet.set_state(RollOutState::Completed, ENDED);
    assert_eq!(fleet.send(3).await, (2, 3));
    fleet.new.set(BAD);
    assert_eq!(fleet.ask(true).await, Some(500));
    assert_eq!(fleet.served().0, 2);
}

#[tokio::test]
async fn a_version_that_was_rolled_back_gets_nothing_also_when_it_is_alone() {
    let fleet = Fleet::granted(Stage::Trial, 2).await;
    assert_eq!(fleet.send(1).await, (0, 1));
    grant_to(&fleet.gateway, &service(), Stage::Back, 0);
    assert_eq!(fleet.send(2).await, (2, 1));
    fleet.set_state(RollOutState::RolledBack, ENDED);
    fleet
        .gateway
        .apply_roll_outs(orders([], Revision(ENDED.0 + 1)));
    assert_eq!(fleet.send(2).await, (4, 1));
    fleet.gateway.apply_directory(without_old(&fleet));
    assert!(!has_leafs(&fleet.gateway));
}

/// The directory with the new leaf alone.
fn without_old(fleet: &Fleet) -> DirectoryDelta {
    let mut leaving = entry_of("i-old", &service(), fleet.old.address, "old", BEFORE);
    leaving.phase = tansylead_route::LeafPhase::Draining;
    let new = entry_of("i-new", &service(), fleet.new.address, "new", STARTED);
    DirectoryDelta::Everything {
        at: Revision(STARTED.0 + 1),
        entries: vec![leaving, new],
    }
}

fn has_leafs(gateway: &Gateway) -> bool {
    let service = gateway.service(&service());
    service.has_leafs(&HomeRegions::default())
}

#[tokio::test]
async fn where_no_old_leaf_lives_the_target_is_used_within_the_grant() {
    let fleet = Fleet::ordered().await;
    fleet.gateway.apply_directory(without_old(&fleet));
    assert!(!has_leafs(&fleet.gateway));
    assert_eq!(fleet.ask(true).await, None);
    grant_to(&fleet.gateway, &service(), Stage::Trial, 2);
    assert_eq!(fleet.send(2).await, (0, 2));
    assert_eq!(fleet.ask(true).await, None);
}

#[tokio::test]
async fn if_the_word_on_orders_is_old_the_target_is_the_last_resort() {
    let mut old_word = settings();
    old_word.bounds.configuration_limit_millis = f64::MIN_POSITIVE;
    let fleet = Fleet::with_settings(old_word).await;
    fleet.set_state(RollOutState::Running, STARTED);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.send(2).await, (2, 0));
    fleet.gateway.apply_directory(without_old(&fleet));
    assert_eq!(fleet.send(2).await, (2, 2));
}

#[tokio::test]
async fn leafs_of_an_unknown_version_wait_until_the_orders_are_known() {
    let fleet = Fleet::new().await;
    assert_eq!(fleet.send(3).await, (3, 0));
    fleet.gateway.apply_directory(without_old(&fleet));
    assert_eq!(fleet.send(1).await, (3, 1), "it is the last resort");
    fleet.set_state(RollOutState::Ordered, STARTED);
    assert_eq!(fleet.ask(true).await, None);
}

#[tokio::test]
async fn where_roll_outs_are_not_followed_versions_mean_nothing() {
    let mut unfollowed = settings();
    unfollowed.bounds.follow_roll_outs = false;
    let fleet = Fleet::with_settings(unfollowed).await;
    fleet.gateway.apply_directory(without_old(&fleet));
    assert_eq!(fleet.send(2).await, (0, 2));
}

#[tokio::test]
async fn each_shard_has_a_trial_of_its_own() {
    let shards = ["shard-1", "shard-2"].map(|name| ServiceName::new(name).expect("valid name"));
    let (mut leafs, mut entries) = (Vec::new(), Vec::new());
    for shard in &shards {
        for (software, changed_at) in [("old", BEFORE), ("new", STARTED)] {
            let leaf = FakeLeaf::good().await;
            let name = format!("i-{shard}-{software}");
            entries.push(entry_of(&name, shard, leaf.address, software, changed_at));
            leafs.push(leaf);
        }
    }
    let gateway = gateway_with(settings(), entries);
    let running = shards
        .each_ref()
        .map(|shard| order(shard, RollOutState::Running, ORDERED));
    gateway.apply_roll_outs(orders(running, STARTED));
    grant_to(&gateway, &shards[0], Stage::Trial, 1);
    let set = ShardSet {
        shards: shards.to_vec(),
        top: 1,
        minimum_coverage: 0.5,
    };
    let route = route(Target::Shards(set.clone()), true);
    for _ in 0..2 {
        let query = GatherQuery {
            gateway: Rc::clone(&gateway),
            route: Arc::clone(&route),
            access: LeafAccess::new(Rc::clone(&gateway), Arc::clone(&route), 1),
            request: request(true),
            arrived: Clock.now(),
            time_left: TIMEOUT,
            trace: Rc::default(),
        };
        let outcome = LocalSet::new().run_until(gather(query, &set)).await;
        assert!(matches!(outcome, Outcome::Merged { .. }), "{outcome:?}");
    }
    let served: Vec<u32> = leafs.iter().map(FakeLeaf::served).collect();
    assert_eq!(served, [1, 1, 2, 0]);
}
