//! How leaf entries and reports on leafs determine which leafs a daemon uses, and with how many connections.

mod common;

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::source::Topic;
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, GatewaySettings, HeaderNames};
use tansylead_route::{
    BreakerVerdict, CallerLimits, Configuration, DaemonCounts, DirectoryChange, DirectoryDelta,
    HomeRegions, LeafPhase, LeafReport, Revision, Service,
};
use tansylead_types::{LeafId, PlaceName, ServiceName};

const MAXIMUM_CONNECTIONS: u32 = 40;
/// Requests per second that a cold leaf can take.
const COLD_LIMIT: f64 = 20.0;

fn gateway() -> Gateway {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    gateway_with(GatewaySettings::load(&root.join("settings.toml")).expect("settings"))
}

/// A daemon whose data expires at once, so that it knows from the start that no other daemon is running.
fn lone_gateway() -> Gateway {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let settings = GatewaySettings::load(&root.join("settings.toml"));
    let mut settings = settings.expect("settings");
    settings.bounds.configuration_limit_millis = f64::MIN_POSITIVE;
    let gateway = gateway_with(settings);
    gateway.set_daemons(daemons(1));
    gateway
}

fn gateway_with(settings: GatewaySettings) -> Gateway {
    let gateway = Gateway::new(settings, HeaderNames::default());
    let service = ServiceName::new("disputes").expect("valid name");
    let configured = Service {
        maximum_connections: MAXIMUM_CONNECTIONS,
        cold_requests_per_second: Some(COLD_LIMIT),
    };
    gateway.apply_configuration(Configuration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(service.clone(), configured)]),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    });
    gateway.apply_directory(DirectoryDelta::Everything {
        at: Revision::first_era(1).into(),
        entries: vec![common::entry("leaf", &service, ([127, 0, 0, 1], 1).into())],
    });
    gateway
}

/// This many daemons, all in the region of the leaf.
fn daemons(count: usize) -> DaemonCounts {
    let region = PlaceName::new("bangkok").expect("valid name");
    DaemonCounts::new(vec![region; count], 0)
}

fn limit(gateway: &Gateway) -> u32 {
    let service = gateway.service(&ServiceName::new("disputes").expect("valid name"));
    let leaf = service.choose(&HomeRegions::default(), &[], Duration::from_millis(10));
    leaf.expect("a leaf").candidate(Clock.now()).limit
}

#[test]
fn a_daemon_that_has_just_started_takes_a_small_share_of_connections() {
    // Regression: each daemon assumed that it was the only one, and took all connections of a leaf for itself.
    let gateway = gateway();
    assert!(
        limit(&gateway) <= MAXIMUM_CONNECTIONS / 8,
        "{}",
        limit(&gateway)
    );
    gateway.set_daemons(daemons(1));
    assert!(
        limit(&gateway) <= MAXIMUM_CONNECTIONS / 8,
        "{}",
        limit(&gateway)
    );
}

#[test]
fn many_daemons_share_the_maximum_of_connections() {
    let gateway = gateway();
    gateway.set_daemons(daemons(20));
    assert!(limit(&gateway) * 20 <= MAXIMUM_CONNECTIONS);
    gateway.set_daemons(daemons(1_000));
    assert_eq!(limit(&gateway), 1);
}

fn apply(gateway: &Gateway, at: u64, changes: Vec<DirectoryChange>) {
    gateway.apply_directory(DirectoryDelta::Changes {
        after: Revision::first_era(at - 1),
        at: Revision::first_era(at),
        changes,
    });
}

fn has_leafs(gateway: &Gateway) -> bool {
    let service = ServiceName::new("disputes").expect("valid name");
    gateway.service(&service).has_leafs(&HomeRegions::default())
}

#[test]
fn a_leaf_whose_entry_expired_is_used_until_it_is_listed_again() {
    // Regression: entries expire while the store is down, and afterwards all requests were refused.
    let gateway = gateway();
    let leaf = LeafId::new("leaf").expect("valid name");
    apply(&gateway, 2, vec![DirectoryChange::Gone(leaf)]);
    assert!(has_leafs(&gateway));
    let service = ServiceName::new("disputes").expect("valid name");
    let chosen =
        gateway
            .service(&service)
            .choose(&HomeRegions::default(), &[], Duration::from_millis(10));
    assert!(chosen.is_some());
}

#[test]
fn a_leaf_that_said_it_was_leaving_is_not_used_once_its_entry_is_gone() {
    let gateway = gateway();
    let entry = gateway.directory().entries().next().cloned();
    let mut leaving = entry.expect("a leaf");
    let leaf = leaving.leaf.clone();
    leaving.phase = LeafPhase::Draining;
    apply(&gateway, 2, vec![DirectoryChange::Present(leaving)]);
    apply(&gateway, 3, vec![DirectoryChange::Gone(leaf)]);
    assert!(!has_leafs(&gateway));
}

/// Adds a second leaf that stays listed.
fn add_second_leaf(gateway: &Gateway, at: u64) {
    let first = gateway.directory().entries().next().cloned();
    let mut second = first.expect("a leaf");
    second.leaf = LeafId::new("leaf-2").expect("valid name");
    second.address = ([127, 0, 0, 1], 2).into();
    apply(gateway, at, vec![DirectoryChange::Present(second)]);
}

fn regular_leafs(gateway: &Gateway) -> usize {
    let service = ServiceName::new("disputes").expect("valid name");
    gateway.service(&service).regular().len()
}

#[test]
fn a_leaf_whose_entry_lapsed_while_the_source_was_away_is_used_like_any_other() {
    // Regression: when the source comes back, its list lacks live leafs; they were dropped at once, and
    // all requests went to the few that were listed.
    let gateway = gateway();
    add_second_leaf(&gateway, 2);
    let long_ago = Clock.now() - Duration::from_secs(10);
    gateway.confirm(Topic::Leafs, long_ago);
    let leaf = LeafId::new("leaf").expect("valid name");
    apply(&gateway, 3, vec![DirectoryChange::Gone(leaf)]);
    assert_eq!(regular_leafs(&gateway), 2);
}

#[test]
fn a_leaf_whose_entry_disappears_while_the_source_is_available_is_not_used_beside_others() {
    let gateway = gateway();
    add_second_leaf(&gateway, 2);
    gateway.confirm(Topic::Leafs, Clock.now());
    let leaf = LeafId::new("leaf").expect("valid name");
    apply(&gateway, 3, vec![DirectoryChange::Gone(leaf)]);
    assert_eq!(regular_leafs(&gateway), 1);
}

#[test]
fn the_state_of_a_leaf_survives_while_its_entry_is_missing() {
    let gateway = gateway();
    let service = ServiceName::new("disputes").expect("valid name");
    let entry = gateway.directory().entries().next().cloned();
    let known = gateway.service(&service).regular().remove(0);
    let leaf = LeafId::new("leaf").expect("valid name");
    apply(&gateway, 2, vec![DirectoryChange::Gone(leaf)]);
    let entry = entry.expect("a leaf");
    apply(&gateway, 3, vec![DirectoryChange::Present(entry)]);
    let back = gateway.service(&service).regular().remove(0);
    assert!(Rc::ptr_eq(&known, &back));
}

#[test]
fn a_leaf_that_said_it_was_leaving_is_never_taken_back() {
    let gateway = gateway();
    let entry = gateway.directory().entries().next().cloned();
    let ready = entry.expect("a leaf");
    let mut leaving = ready.clone();
    leaving.phase = LeafPhase::Draining;
    apply(&gateway, 2, vec![DirectoryChange::Present(leaving)]);
    apply(&gateway, 3, vec![DirectoryChange::Present(ready)]);
    assert!(!has_leafs(&gateway));
}

fn verdict(gateway: &Gateway) -> BreakerVerdict {
    let service = ServiceName::new("disputes").expect("valid name");
    let leaf = gateway.service(&service).regular().remove(0);
    leaf.verdict(Clock.now())
}

#[test]
fn a_leaf_that_another_daemon_says_is_silent_is_avoided_until_it_answers() {
    let gateway = gateway();
    let leaf = LeafId::new("leaf").expect("valid name");
    gateway.apply_reports(&[LeafReport::Silent {
        leaf: leaf.clone().into(),
        for_millis: 60,
    }]);
    assert_eq!(verdict(&gateway), BreakerVerdict::Avoid);
    gateway.apply_reports(&[LeafReport::Answering { leaf: leaf.into() }]);
    assert_eq!(verdict(&gateway), BreakerVerdict::Healthy);
}

#[test]
fn reports_on_unknown_leafs_change_nothing() {
    let gateway = gateway();
    let leaf = LeafId::new("another").expect("valid name");
    gateway.apply_reports(&[LeafReport::Answering { leaf: leaf.into() }]);
    assert_eq!(verdict(&gateway), BreakerVerdict::Healthy);
}

/// Applies an entry that states how much longer the leaf is cold.
fn set_cold(gateway: &Gateway, at: u64, left: Duration) {
    let first = gateway.directory().entries().next().cloned();
    let mut cold = first.expect("a leaf");
    cold.warmup_left = left;
    apply(gateway, at, vec![DirectoryChange::Present(cold)]);
}

/// Number of requests that may be sent to the leaf in immediate succession, up to a limit.
fn requests_accepted(gateway: &Gateway, limit: u32) -> u32 {
    let service = ServiceName::new("disputes").expect("valid name");
    let leaf = gateway.service(&service).regular().remove(0);
    let mut sent = 0;
    while sent < limit && has_leafs(gateway) {
        let limit = Duration::from_secs(1);
        leaf.begin().set_sent(Clock.now(), &common::terms(limit));
        sent += 1;
    }
    sent
}

#[test]
fn a_cold_leaf_gets_no_more_requests_than_its_limit() {
    // Regression: a cold leaf got as many requests as any other.
    let gateway = lone_gateway();
    set_cold(&gateway, 2, Duration::from_secs(60));
    let sent = requests_accepted(&gateway, 100);
    assert!(f64::from(sent) <= COLD_LIMIT, "{sent}");
    assert!(f64::from(sent) >= COLD_LIMIT / 2.0, "{sent}");
}

#[test]
fn a_leaf_that_becomes_cold_again_is_limited_again_until_it_is_warm() {
    let gateway = lone_gateway();
    for round in 0..2 {
        set_cold(&gateway, 2 + 2 * round, Duration::from_secs(60));
        assert!(requests_accepted(&gateway, 100) < 100);
        set_cold(&gateway, 3 + 2 * round, Duration::ZERO);
        assert_eq!(requests_accepted(&gateway, 100), 100);
    }
}

#[test]
fn a_daemon_that_does_not_know_the_others_yet_leaves_cold_leafs_to_them() {
    let gateway = gateway();
    gateway.set_daemons(daemons(1));
    set_cold(&gateway, 2, Duration::from_secs(60));
    assert_eq!(requests_accepted(&gateway, 100), 0);
}
