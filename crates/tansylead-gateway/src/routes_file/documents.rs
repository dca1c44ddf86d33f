//! The format of a routes file, and its checks.

use super::roll_outs::{RollOutDocument, check_roll_outs};
use super::{RoutesFile, RoutesFileError};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_route::{
    CallerLimits, Configuration, HomeRegions, LeafEntry, LeafPhase, Policy, Revision, Route,
    Service, ShardSet, Target, WeightedService,
};
use tansylead_types::{LeafId, PlaceName, ServiceName, SoftwareVersion, ZoneName};

/// A whole routes file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RoutesDocument {
    version: u64,
    limits: LimitsDocument,
    #[serde(default)]
    services: Vec<ServiceDocument>,
    #[serde(default)]
    routes: Vec<RouteDocument>,
    #[serde(default)]
    leafs: Vec<LeafDocument>,
    /// Zones that are being emptied: their leafs get nothing new.
    #[serde(default)]
    evacuated_zones: BTreeSet<ZoneName>,
    /// Services that are being rolled out to another version, or were.
    #[serde(default)]
    roll_outs: Vec<RollOutDocument>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsDocument {
    header_bytes: usize,
    body_bytes: usize,
    header_timeout_millis: u64,
    idle_timeout_millis: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceDocument {
    name: ServiceName,
    maximum_connections: u32,
    #[serde(default)]
    cold_requests_per_second: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteDocument {
    name: String,
    host: String,
    path_prefix: String,
    repeatable: bool,
    maximum_attempts: u32,
    timeout_millis: u64,
    objective_millis: u64,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    homes: Vec<PlaceName>,
    #[serde(default)]
    services: Vec<PartDocument>,
    #[serde(default)]
    shards: Vec<ServiceName>,
    #[serde(default)]
    top: usize,
    #[serde(default)]
    minimum_coverage: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct PartDocument {
    service: ServiceName,
    weight: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeafDocument {
    leaf: LeafId,
    service: ServiceName,
    address: SocketAddr,
    zone: ZoneName,
    slots: u32,
    #[serde(default)]
    draining: bool,
    /// Version of its software.
    #[serde(default)]
    version: Option<SoftwareVersion>,
}

impl RoutesDocument {
    /// Checks what the format of the file does not enforce.
    pub(super) fn check(&self, path: &str) -> Result<(), RoutesFileError> {
        self.check_services(path)?;
        self.check_routes(path)?;
        check_roll_outs(&self.roll_outs, &self.listed_services(), path)
    }

    fn check_services(&self, path: &str) -> Result<(), RoutesFileError> {
        for service in &self.services {
            let Some(value) = service.cold_requests_per_second else {
                continue;
            };
            if !(value.is_finite() && value > 0.0) {
                return Err(RoutesFileError::ColdBound {
                    path: path.to_owned(),
                    service: service.name.clone(),
                    value,
                });
            }
        }
        Ok(())
    }

    fn listed_services(&self) -> BTreeSet<&ServiceName> {
        self.services.iter().map(|service| &service.name).collect()
    }

    fn check_routes(&self, path: &str) -> Result<(), RoutesFileError> {
        let listed = self.listed_services();
        for (index, route) in self.routes.iter().enumerate() {
            if route.services.is_empty() == route.shards.is_empty() {
                return Err(RoutesFileError::NoTarget {
                    path: path.to_owned(),
                    route: route.name.clone(),
                });
            }
            let parts = route.services.iter().map(|part| &part.service);
            let unlisted = parts
                .chain(&route.shards)
                .find(|service| !listed.contains(service));
            if let Some(service) = unlisted {
                return Err(RoutesFileError::UnknownService {
                    path: path.to_owned(),
                    route: route.name.clone(),
                    service: service.clone(),
                });
            }
            let same = self.routes[..index]
                .iter()
                .find(|other| other.host == route.host && other.path_prefix == route.path_prefix);
            if let Some(other) = same {
                return Err(RoutesFileError::SameRequests {
                    path: path.to_owned(),
                    first: other.name.clone(),
                    second: route.name.clone(),
                });
            }
        }
        Ok(())
    }

    /// Contents of the file.
    pub(super) fn into_file(self) -> RoutesFile {
        let services = self.services.into_iter().map(|service| {
            let configured = Service {
                maximum_connections: service.maximum_connections,
                cold_requests_per_second: service.cold_requests_per_second,
            };
            (service.name, configured)
        });
        let routes = self.routes.into_iter().map(RouteDocument::into_route);
        let at = Revision::first_era(self.version);
        let roll_outs = self.roll_outs.into_iter();
        let roll_outs = roll_outs.filter_map(|roll_out| roll_out.into_order(at));
        RoutesFile {
            configuration: Configuration {
                version: self.version,
                services: services.collect(),
                routes: routes.map(Arc::new).collect(),
                limits: CallerLimits {
                    header_bytes: self.limits.header_bytes,
                    body_bytes: self.limits.body_bytes,
                    header_timeout: Duration::from_millis(self.limits.header_timeout_millis),
                    idle_timeout: Duration::from_millis(self.limits.idle_timeout_millis),
                },
            },
            leafs: self
                .leafs
                .into_iter()
                .map(LeafDocument::into_entry)
                .collect(),
            evacuated_zones: self.evacuated_zones,
            roll_outs: roll_outs
                .map(|order| (order.service.clone(), order))
                .collect(),
        }
    }
}

impl RouteDocument {
    fn into_route(self) -> Route {
        let target = if self.shards.is_empty() {
            let parts = self.services.into_iter().map(|part| WeightedService {
                service: part.service,
                weight: part.weight,
            });
            Target::Services(parts.collect())
        } else {
            Target::Shards(ShardSet {
                shards: self.shards,
                top: self.top,
                minimum_coverage: self.minimum_coverage,
            })
        };
        Route {
            name: self.name,
            host: self.host.to_ascii_lowercase(),
            path_prefix: self.path_prefix,
            target,
            policy: Policy {
                repeatable: self.repeatable,
                maximum_attempts: self.maximum_attempts.max(1),
                timeout: Duration::from_millis(self.timeout_millis),
                objective: Duration::from_millis(self.objective_millis),
                priority: self.priority,
                homes: HomeRegions::new(self.homes),
            },
        }
    }
}

impl LeafDocument {
    fn into_entry(self) -> LeafEntry {
        LeafEntry {
            leaf: self.leaf,
            started: None,
            service: self.service,
            address: self.address,
            zone: self.zone,
            slots: self.slots.max(1),
            phase: if self.draining {
                LeafPhase::Draining
            } else {
                LeafPhase::Ready
            },
            warmup_left: Duration::ZERO,
            version: self.version,
            changed_at: Revision::default(),
        }
    }
}
