//! The TOML description of a deployment. Unknown keys are refused.

use crate::leaf::{ColdStartSpec, LatencySpec, LeafBehaviour};
use eyre::WrapErr;
use serde::{Deserialize, Serialize};
use std::path::Path;
use tansylead_types::{PlaceName, ServiceName, ServicePolicy, ZoneName};

/// Name of the description inside a deployment's directory.
pub const DESCRIPTION_FILE: &str = "deployment.toml";

/// One place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceDescription {
    /// Name.
    pub name: PlaceName,
    /// Its zones.
    pub zones: Vec<ZoneName>,
    /// Daemons in each zone.
    pub daemons_per_zone: u32,
}

/// Delays, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayDescription {
    /// One way between zones of a place; every leaf adds it in both directions.
    pub between_zones_millis: f64,
    /// One way between a client and a daemon; callers of the lab add it in both directions.
    pub to_clients_millis: f64,
    /// Cost of a new connection to a leaf.
    pub connection_setup_millis: f64,
}

/// Services that are alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// Their names.
    pub names: Vec<ServiceName>,
    /// Leafs of each service in each place.
    pub leafs_per_place: u32,
    /// Requests a leaf runs at once.
    pub slots: u32,
    /// Requests that may wait at a leaf.
    pub queue: u32,
    /// Connections a leaf accepts.
    pub maximum_connections: u32,
    /// Shards of the index.
    pub shards: u32,
    /// Leafs of a place that hold each shard.
    pub replicas: u32,
    /// Records each shard finds.
    pub records_per_shard: u32,
    /// Latency of one request at a leaf.
    pub latency: LatencySpec,
    /// Cold start of a leaf.
    #[serde(default)]
    pub cold_start: ColdStartSpec,
    /// Policy.
    #[serde(default)]
    pub policy: ServicePolicy,
}

/// What callers of a group do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerKind {
    /// Asks all shards; may be repeated.
    Lookup,
    /// Asks the shard that owns a key; may be repeated.
    KeyedLookup,
    /// Posts once with an idempotency key to the shard that owns a key.
    Post,
}

/// Callers that are alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerGroup {
    /// Name, for reports.
    pub name: String,
    /// Services they ask, in turn.
    pub services: Vec<ServiceName>,
    /// What they do.
    pub kind: CallerKind,
    /// Queries per second of the whole group over all places.
    pub queries_per_second: f64,
    /// Deadline, in milliseconds.
    pub deadline_millis: u64,
    /// JSON text of a query; `{number}` stands for the number of the query.
    pub query: String,
}

/// A whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentDescription {
    /// Cluster name of its daemons.
    pub cluster: String,
    /// Seed of the stand-ins' random choices.
    pub seed: u64,
    /// Delays.
    pub delays: DelayDescription,
    /// Places.
    pub places: Vec<PlaceDescription>,
    /// Services.
    pub services: Vec<ServiceGroup>,
    /// Callers of the demo.
    pub callers: Vec<CallerGroup>,
}

impl DeploymentDescription {
    /// Reads the description in a deployment's directory.
    pub fn load(directory: &Path) -> eyre::Result<Self> {
        let file = directory.join(DESCRIPTION_FILE);
        let text =
            std::fs::read_to_string(&file).wrap_err_with(|| format!("read {}", file.display()))?;
        let description: Self =
            toml::from_str(&text).wrap_err_with(|| format!("read {}", file.display()))?;
        description
            .check()
            .wrap_err_with(|| format!("check {}", file.display()))?;
        Ok(description)
    }

    /// Checks what the schema cannot express.
    pub fn check(&self) -> eyre::Result<()> {
        eyre::ensure!(!self.places.is_empty(), "places: at least one is needed");
        for place in &self.places {
            eyre::ensure!(
                !place.zones.is_empty() && place.daemons_per_zone > 0,
                "place {}: at least one zone with one daemon is needed",
                place.name
            );
        }
        self.services.iter().try_for_each(ServiceGroup::check)?;
        self.callers
            .iter()
            .try_for_each(|group| self.check_callers(group))
    }

    fn check_callers(&self, group: &CallerGroup) -> eyre::Result<()> {
        let name = &group.name;
        eyre::ensure!(!group.services.is_empty(), "callers {name}: no services");
        for service in &group.services {
            eyre::ensure!(
                self.group_of(service).is_some(),
                "callers {name}: there is no service `{service}`"
            );
        }
        let is_rate = group.queries_per_second.is_finite() && group.queries_per_second > 0.0;
        eyre::ensure!(
            is_rate,
            "callers {name}: queries_per_second must be positive"
        );
        serde_json::from_str::<serde_json::Value>(&group.query_text(0))
            .wrap_err_with(|| format!("callers {name}: query is not JSON"))?;
        Ok(())
    }

    /// Daemons in all places.
    pub fn daemon_count(&self) -> usize {
        let of_place =
            |place: &PlaceDescription| place.zones.len() * place.daemons_per_zone as usize;
        self.places.iter().map(of_place).sum()
    }

    /// Leafs in all places.
    pub fn leaf_count(&self) -> usize {
        let of_group = |group: &ServiceGroup| group.names.len() * group.leafs_per_place as usize;
        let in_one_place: usize = self.services.iter().map(of_group).sum();
        in_one_place * self.places.len()
    }

    /// The group a service belongs to.
    pub fn group_of(&self, service: &ServiceName) -> Option<&ServiceGroup> {
        self.services
            .iter()
            .find(|group| group.names.contains(service))
    }

    /// How leafs of a group behave.
    pub fn behaviour(&self, group: &ServiceGroup) -> LeafBehaviour {
        LeafBehaviour {
            queue: group.queue,
            latency: group.latency.clone(),
            cold_start: group.cold_start.clone(),
            one_way_delay_millis: self.delays.between_zones_millis,
            connection_setup_millis: self.delays.connection_setup_millis,
            records_per_shard: group.records_per_shard,
        }
    }
}

impl ServiceGroup {
    fn check(&self) -> eyre::Result<()> {
        let name = self.names.first().map_or("(unnamed)", ServiceName::as_str);
        eyre::ensure!(!self.names.is_empty(), "services: a group has no names");
        eyre::ensure!(
            (1..=self.leafs_per_place).contains(&self.replicas),
            "services {name}: replicas must be between 1 and leafs_per_place"
        );
        eyre::ensure!(
            self.slots > 0 && self.shards > 0 && self.records_per_shard > 0,
            "services {name}: slots, shards and records_per_shard must be positive"
        );
        Ok(())
    }
}

impl CallerGroup {
    /// JSON text of the query with a number.
    pub fn query_text(&self, number: u64) -> String {
        self.query.replace("{number}", &number.to_string())
    }
}
