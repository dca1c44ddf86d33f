//! What one daemon of a large fleet holds and computes, measured by counts instead of time.

mod common;

use std::path::Path;
use std::time::Duration;
use tansylead_gateway::cluster::PublishThrottle;
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{GatewaySettings, HeaderNames};
use tansylead_route::{DaemonCounts, DirectoryDelta, LeafEntry, Revision};
use tansylead_types::{Moment, PlaceName, ServiceName};

const SHARDS: usize = 225;

fn gateway(follow_roll_outs: bool) -> Gateway {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let mut settings = GatewaySettings::load(&root.join("settings.toml")).expect("settings");
    settings.bounds.follow_roll_outs = follow_roll_outs;
    Gateway::new(settings, HeaderNames::default())
}

fn shard(number: usize) -> ServiceName {
    ServiceName::new(format!("shard-{number}")).expect("valid name")
}

/// Entries of as many leafs, spread over all shards.
fn entries(leafs: usize) -> Vec<LeafEntry> {
    let entry = |number: usize| {
        let address = ([127, 0, (number / 250) as u8, (number % 250) as u8], 1).into();
        common::entry(&format!("leaf-{number}"), &shard(number % SHARDS), address)
    };
    (0..leafs).map(entry).collect()
}

fn everything(leafs: usize) -> DirectoryDelta {
    DirectoryDelta::Everything {
        at: Revision::first_era(1).into(),
        entries: entries(leafs),
    }
}

fn daemons(count: usize) -> DaemonCounts {
    let place = PlaceName::new("bangkok").expect("valid name");
    DaemonCounts::new(std::iter::repeat_n(place, count), 0)
}

#[test]
fn a_daemon_holds_the_state_of_those_leafs_only_that_it_sends_to() {
    for leafs in [10_000, 20_000] {
        let gateway = gateway(false);
        gateway.apply_directory(everything(leafs));
        assert_eq!(gateway.used_leafs(), 0);
        let service = gateway.service(&shard(0));
        let own = leafs.div_ceil(SHARDS);
        assert_eq!(service.regular().len(), own);
        assert_eq!(gateway.used_leafs(), own);
    }
}

#[test]
fn where_services_are_rolled_out_all_leafs_are_known_from_the_start() {
    let gateway = gateway(true);
    gateway.apply_directory(everything(1_000));
    assert_eq!(gateway.used_leafs(), 1_000);
    assert_eq!(gateway.service(&shard(0)).regular().len(), 5);
}

#[test]
fn leafs_that_change_before_a_service_is_used_are_as_in_the_directory() {
    let gateway = gateway(false);
    gateway.apply_directory(everything(450));
    let mut kept = entries(450);
    kept.retain(|entry| entry.leaf.as_str() != "leaf-0");
    gateway.apply_directory(DirectoryDelta::Everything {
        at: Revision::first_era(2).into(),
        entries: kept,
    });
    assert_eq!(gateway.service(&shard(0)).regular().len(), 1);
}

#[test]
fn parts_are_computed_at_use_and_not_at_each_change_of_the_daemons() {
    let gateway = gateway(false);
    gateway.apply_directory(everything(10_000));
    let service = gateway.service(&shard(0));
    let before = service.shares_version();
    for count in 100..1_100 {
        gateway.set_daemons(daemons(count));
        assert_eq!(service.shares_version(), before, "nothing is computed");
    }
    gateway.service(&shard(0));
    assert_ne!(
        service.shares_version(),
        before,
        "the parts are those of the current daemons"
    );
}

#[test]
fn changes_that_come_together_are_evaluated_together() {
    let at = |millis: u64| Moment::default() + Duration::from_millis(1_000_000 + millis);
    for (members, maximum) in [(9, 600), (1_000, 7), (2_000, 4)] {
        let mut throttle = PublishThrottle::default();
        let mut evaluated = 0;
        // One change in each millisecond of a second.
        for millis in 0..1_000 {
            throttle.on_change();
            if throttle.due().is_some_and(|due| due <= at(millis)) {
                throttle.on_published(at(millis), members);
                evaluated += 1;
            }
        }
        assert!(evaluated <= maximum, "{evaluated} with {members} members");
        // The last change is evaluated soon, too.
        throttle.on_change();
        let due = throttle.due().expect("a change waits");
        assert!(due <= at(1_000) + Duration::from_micros(200) * members as u32);
    }
}

#[test]
fn a_daemon_that_has_joined_does_not_wait() {
    let now = Moment::default() + Duration::from_secs(1);
    let mut throttle = PublishThrottle::default();
    throttle.on_published(now, 2_000);
    throttle.on_joined();
    assert!(throttle.due().is_some_and(|due| due <= now));
}
