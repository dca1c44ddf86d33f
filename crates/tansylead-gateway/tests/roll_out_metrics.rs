//! The metrics of versions under trial.

mod common;

use common::fleet::settings;
use common::terms;
use common::trial::{LIMIT, attempt_within, leaf_of};
use common::versions::{BEFORE, FakeLeaf, ORDERED, STARTED, grant, judge, order, service};
use prometheus::{Registry, TextEncoder};
use std::rc::Rc;
use tansylead_gateway::Clock;
use tansylead_gateway::roll_out::{RollOutContext, RollOutMetrics, ServiceVersions};
use tansylead_route::{Grant, OrderId, RollOutState, Stage};

fn grant_of(sends: u64) -> Grant {
    grant(Stage::Trial, sends)
}

fn text(registry: &Registry) -> String {
    let families = registry.gather();
    let text = TextEncoder::new().encode_to_string(&families);
    text.expect("can be written")
}

#[tokio::test]
async fn sends_and_the_rest_of_the_grant_are_exported_while_the_trial_lasts() {
    let registry = Registry::new();
    let metrics = RollOutMetrics::new(&registry);
    let context = RollOutContext::new(&settings().bounds, Clock.now(), metrics);
    let versions = Rc::new(ServiceVersions::new(Rc::new(context)));
    let fake = FakeLeaf::good().await;
    let leaf = leaf_of(&versions, "i-new", &fake, "new", STARTED);
    let running = order(&service(), RollOutState::Running, ORDERED);
    versions.apply(Clock.now(), None, BEFORE);
    versions.apply(Clock.now(), Some(&running), ORDERED);
    versions.on_grant(Clock.now(), OrderId(1), judge(), grant_of(3));
    leaf.begin().set_sent(Clock.now(), &terms(LIMIT));
    let exported = text(&registry);
    let lines = [
        "tansylead_roll_out_sends_total{stage=\"trial\"} 1",
        "tansylead_roll_out_sends_left{service=\"search\"} 2",
        "tansylead_roll_out_grant_gone_total 0",
    ];
    for line in lines {
        assert!(exported.contains(line), "{line} in {exported}");
    }
    versions.on_grant(Clock.now(), OrderId(1), judge(), grant_of(1));
    attempt_within(&leaf, terms(LIMIT)).await;
    let exported = text(&registry);
    assert!(
        exported.contains("tansylead_roll_out_grant_gone_total 1"),
        "{exported}"
    );
    let ended = order(&service(), RollOutState::RolledBack, STARTED);
    versions.apply(Clock.now(), Some(&ended), STARTED);
    let exported = text(&registry);
    assert!(
        !exported.contains("tansylead_roll_out_sends_left{"),
        "{exported}"
    );
}
