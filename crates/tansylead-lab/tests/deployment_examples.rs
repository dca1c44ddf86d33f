//! The sample deployments: sizes of the users' brief, replicas spread, settings and table valid.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tansylead_lab::deployment::running::load_plan;
use tansylead_lab::deployment::{DeploymentDescription, DeploymentPlan};
use tansylead_types::{
    ConfigObject, LeafId, ObjectKey, ServiceName, ServicePlacement, Settings, ShardId,
};

const EXAMPLES: [&str; 2] = ["registry", "cooperative"];
const HOURS: u8 = 24;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn plan(name: &str) -> DeploymentPlan {
    load_plan(&example(name)).expect("the example is valid")
}

fn addresses(plan: &DeploymentPlan) -> BTreeMap<LeafId, SocketAddr> {
    let specs = plan.leaf_specs().expect("leafs can be named");
    let numbered = (1_u16..).zip(specs);
    numbered
        .map(|(port, spec)| (spec.leaf, SocketAddr::from(([127, 0, 0, 1], port))))
        .collect()
}

fn placements(plan: &DeploymentPlan) -> Vec<ServicePlacement> {
    let objects = plan.objects(&addresses(plan)).expect("objects can be made");
    let placement = |(_, object): (ObjectKey, ConfigObject)| match object {
        ConfigObject::Placement(placement) => Some(placement),
        _ => None,
    };
    objects.into_iter().filter_map(placement).collect()
}

#[test]
fn sizes_are_those_of_the_brief() {
    let sizes = |name: &str| -> BTreeMap<String, (u32, u32, u32)> {
        let description = plan(name).description;
        assert_eq!(description.places.len(), 3);
        let groups = description.services.iter();
        let one = |group: &tansylead_lab::deployment::description::ServiceGroup| {
            let size = (
                group.leafs_per_place,
                group.slots,
                group.maximum_connections,
            );
            let named = |service: &ServiceName| (service.to_string(), size);
            group.names.iter().map(named).collect::<Vec<_>>()
        };
        groups.flat_map(one).collect()
    };
    let registry = sizes("registry");
    assert_eq!(registry.len(), 12);
    assert_eq!(registry["screening-portal-4"], (4, 5, 75));
    assert_eq!(registry["officer-desk-6"], (4, 5, 75));
    assert_eq!(registry["dispute-appeals"], (25, 3, 110));
    assert_eq!(registry["court-notice-intake"], (15, 3, 110));
    let cooperative = sizes("cooperative");
    assert_eq!(cooperative.len(), 12);
    assert_eq!(cooperative["cashier-lookup-4"], (4, 5, 65));
    assert_eq!(cooperative["ledger-sync-6"], (4, 5, 65));
    assert_eq!(cooperative["dispute-tracing"], (20, 4, 95));
    assert_eq!(cooperative["reminder-letters"], (10, 4, 95));
}

#[test]
fn replicas_of_a_shard_are_distinct_leafs_in_more_than_one_zone_and_hold_it() {
    for name in EXAMPLES {
        let plan = plan(name);
        let specs = plan.leaf_specs().expect("leafs can be named");
        let holds = |leaf: &LeafId, shard: &ShardId| {
            let spec = specs.iter().find(|spec| spec.leaf == *leaf);
            spec.is_some_and(|spec| spec.holdings[0].shards.contains(shard))
        };
        for placement in placements(&plan) {
            let zone_of: BTreeMap<_, _> = placement
                .leafs
                .iter()
                .map(|leaf| (&leaf.leaf, &leaf.zone))
                .collect();
            for entry in &placement.snapshots[0].shards {
                let replicas: BTreeSet<_> = entry.replicas.iter().collect();
                let zones: BTreeSet<_> = replicas.iter().map(|leaf| zone_of[*leaf]).collect();
                assert_eq!(replicas.len(), entry.replicas.len());
                assert!(zones.len() > 1, "{}: {entry:?}", placement.service);
                assert!(replicas.iter().all(|leaf| holds(leaf, &entry.shard)));
            }
        }
    }
}

#[test]
fn the_table_has_exactly_one_row_for_each_service_place_and_hour() {
    for name in EXAMPLES {
        let plan = plan(name);
        for group in &plan.description.services {
            for (service, place) in group.names.iter().flat_map(|service| {
                plan.description
                    .places
                    .iter()
                    .map(move |place| (service, place))
            }) {
                for hour in 0..HOURS {
                    let rows = plan.table.rows.iter().filter(|row| {
                        row.service == *service
                            && row.place == place.name
                            && row.hours.contains(hour)
                    });
                    assert_eq!(rows.count(), 1, "{service} {} {hour}", place.name);
                }
            }
        }
    }
}

#[test]
fn daemon_settings_are_valid() {
    for name in EXAMPLES {
        let file = example(name).join("daemon.toml");
        let text = std::fs::read_to_string(file).expect("the file is there");
        let settings: Settings = toml::from_str(&text).expect("the settings are valid");
        assert_eq!(settings.cluster, plan(name).description.cluster);
    }
}

#[test]
fn an_unknown_key_and_an_impossible_value_are_refused() {
    let text = std::fs::read_to_string(example("registry").join("deployment.toml"))
        .expect("the file is there");
    let parse = |text: &str| -> eyre::Result<()> {
        let description: DeploymentDescription = toml::from_str(text)?;
        description.check()
    };
    assert!(parse(&text).is_ok());
    assert!(parse(&format!("colour = 1\n{text}")).is_err());
    assert!(parse(&text.replace("replicas = 2", "replicas = 9")).is_err());
    assert!(parse(&text.replace("[\"dispute-appeals\"]\nkind", "[\"nobody\"]\nkind")).is_err());
}
