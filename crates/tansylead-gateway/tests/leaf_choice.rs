//! Which leafs of a zone get requests when their connections differ.

mod common;

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::leaf::{LeafState, ServiceState};
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, GatewaySettings, HeaderNames};
use tansylead_route::{ConnectionShare, DirectoryDelta, HomeRegions, Revision};
use tansylead_types::ServiceName;

const TYPICAL: Duration = Duration::from_millis(20);
/// Time in which a connection is usually established.
const ROUND_TRIP: Duration = Duration::from_micros(100);
const REQUESTS: usize = 200;
const LEAFS: [&str; 2] = ["i-connected", "i-other"];

/// A gateway with two idle leafs of one zone, and a connection made to the first.
fn gateway(service: &ServiceName) -> Gateway {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let settings = GatewaySettings::load(&root.join("settings.toml")).expect("settings");
    let gateway = Gateway::new(settings, HeaderNames::default());
    let address = ([127, 0, 0, 1], 1).into();
    gateway.apply_directory(DirectoryDelta::Everything {
        at: Revision::first_era(1).into(),
        entries: LEAFS
            .map(|name| common::entry(name, service, address))
            .to_vec(),
    });
    record_connection(&gateway.service(service), LEAFS[0], ROUND_TRIP);
    gateway
}

fn leaf(service: &ServiceState, name: &str) -> Rc<LeafState> {
    let mut leafs = service.regular().into_iter();
    let named = leafs.find(|leaf| leaf.entry().leaf.as_str() == name);
    named.expect("a leaf")
}

fn record_connection(service: &ServiceState, name: &str, took: Duration) {
    leaf(service, name).on_connected(took);
}

/// Number of requests for which the leaf without a connection is chosen.
fn count_other(service: &ServiceState) -> usize {
    let choose = || service.choose(&HomeRegions::default(), &[], TYPICAL);
    let chosen = (0..REQUESTS).map(|_| choose().expect("a leaf"));
    chosen
        .filter(|leaf| leaf.entry().leaf.as_str() == LEAFS[1])
        .count()
}

/// Guards against leafs that are added and get no requests beside one that is connected.
#[test]
fn a_leaf_that_was_never_connected_is_chosen_as_often_as_others_of_its_zone() {
    let service = ServiceName::new("files").expect("valid name");
    let gateway = gateway(&service);
    let other = count_other(&gateway.service(&service));
    assert!(
        (REQUESTS / 4..=REQUESTS * 3 / 4).contains(&other),
        "{other}"
    );
}

/// Guards against a leaf that gets no more requests because its first connection was delayed.
#[test]
fn a_leaf_whose_only_connection_took_long_is_chosen_as_often_as_others_of_its_zone() {
    let service = ServiceName::new("files").expect("valid name");
    let gateway = gateway(&service);
    record_connection(&gateway.service(&service), LEAFS[1], ROUND_TRIP * 100);
    let other = count_other(&gateway.service(&service));
    assert!(
        (REQUESTS / 4..=REQUESTS * 3 / 4).contains(&other),
        "{other}"
    );
}

/// Guards against a leaf that gets no requests because one that has answered counts as faster than typical.
#[test]
fn a_leaf_that_has_not_answered_yet_is_chosen_while_the_other_is_in_use() {
    /// Answers of the first leaf, in the usual time, which is less than the upper quartile.
    const ANSWERS: usize = 20;
    const USUAL_SHARE: f64 = 0.9;
    /// Connections to each leaf: one request in progress is a small part of them.
    const CONNECTIONS: u32 = 40;
    let name = ServiceName::new("files").expect("valid name");
    let gateway = gateway(&name);
    let service = gateway.service(&name);
    for leaf in service.regular() {
        leaf.set_share(ConnectionShare {
            connections: CONNECTIONS,
            is_reserve: false,
        });
    }
    let answering = leaf(&service, LEAFS[0]);
    for _ in 0..ANSWERS {
        answering.on_answer(Clock.now(), true, TYPICAL.mul_f64(USUAL_SHARE), TYPICAL);
    }
    let _in_use = answering.begin();
    assert_eq!(count_other(&service), REQUESTS);
}
