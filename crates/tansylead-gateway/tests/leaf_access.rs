//! Which leafs a request may use when the configuration changes under it.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_gateway::execution::LeafAccess;
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{GatewaySettings, HeaderNames};
use tansylead_route::{CallerLimits, Configuration, HomeRegions, Policy, Route, Target};
use tansylead_types::PlaceName;

fn homes(region: &str) -> HomeRegions {
    HomeRegions::new(vec![PlaceName::new(region).expect("valid name")])
}

fn route(name: &str, homes: HomeRegions) -> Arc<Route> {
    Arc::new(Route {
        name: name.to_owned(),
        host: "search.example".to_owned(),
        path_prefix: "/".to_owned(),
        target: Target::Services(Vec::new()),
        policy: Policy {
            repeatable: true,
            maximum_attempts: 2,
            timeout: Duration::from_secs(4),
            objective: Duration::from_millis(250),
            priority: 1,
            homes,
        },
    })
}

fn apply(gateway: &Gateway, version: u64, routes: Vec<Arc<Route>>) {
    gateway.apply_configuration(Configuration {
        version,
        routes,
        services: BTreeMap::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    });
}

fn gateway() -> Rc<Gateway> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let settings = GatewaySettings::load(&root.join("settings.toml")).expect("settings");
    Rc::new(Gateway::new(settings, HeaderNames::default()))
}

#[test]
fn a_change_of_homes_binds_requests_that_are_under_way() {
    // Regression: a version applied between the route's look-up and the first attempt was mistaken for
    // the one that the route came from, and its home regions were ignored.
    let gateway = gateway();
    let found = route("search", homes("bangkok"));
    apply(&gateway, 1, vec![Arc::clone(&found)]);
    apply(&gateway, 2, vec![route("search", homes("chiang-mai"))]);
    let access = LeafAccess::new(Rc::clone(&gateway), found, 1);
    assert_eq!(access.route_in_force().policy.homes, homes("chiang-mai"));
    apply(&gateway, 3, vec![route("search", homes("phuket"))]);
    assert_eq!(access.route_in_force().policy.homes, homes("phuket"));
}

#[test]
fn a_request_keeps_its_route_if_that_was_removed_or_replaced_by_another() {
    let gateway = gateway();
    let found = route("search", homes("bangkok"));
    apply(&gateway, 1, vec![Arc::clone(&found)]);
    let access = LeafAccess::new(Rc::clone(&gateway), Arc::clone(&found), 1);
    assert!(Arc::ptr_eq(&access.route_in_force(), &found));
    apply(&gateway, 2, vec![route("another", homes("phuket"))]);
    assert_eq!(access.route_in_force().policy.homes, homes("bangkok"));
}
