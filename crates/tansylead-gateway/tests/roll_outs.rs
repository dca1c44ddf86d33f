//! Which leafs get the requests to a service while a version of it is under trial.

mod common;

use common::fleet::{BAD, Fleet, TIMEOUT, call, gateway_with, grant_to, route, settings};
use common::versions::{
    BEFORE, Behaviour, FakeLeaf, ORDERED, STARTED, entry_of, grant, judge, order, orders, request,
    service,
};
use std::rc::Rc;
use std::sync::Arc;
use tansylead_gateway::Clock;
use tansylead_gateway::execution::{CallEnd, GatherQuery, LeafAccess, Outcome, gather};
use tansylead_gateway::request_trace::Decision;
use tansylead_route::{OrderId, RollOutState, ShardSet, Stage, Target};
use tansylead_types::ServiceName;
use tokio::task::LocalSet;

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

#[tokio::test]
async fn the_trace_of_a_request_shows_the_trial() {
    let fleet = Fleet::granted(Stage::Trial, 1).await;
    for expected in [Some(Stage::Trial), None] {
        let call = call(&fleet.gateway, true);
        let trace = Rc::clone(&call.trace);
        LocalSet::new().run_until(call.run()).await;
        let mut trials = Vec::new();
        trace.for_each(|traced| {
            if let Decision::Started { trial, .. } = traced.decision {
                trials.push(trial);
            }
        });
        assert_eq!(trials, [expected]);
    }
}
