//! Routes, services and leafs in a file of the product's own form: the gateway without a platform.
//!
//! The file is looked at every half second; a greater version is taken in, anything that cannot be
//! used is refused with its reason and changes nothing.

use crate::checked_file::{self, FileError};
use crate::source::{Freshness, Source, SourceContent, SourceError, SourceUpdate, Topic, WriteEnd};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tansylead_route::{
    CallerLimits, Configuration, DirectoryDelta, EvacuatedZones, HomeRegions, LeafEntry, LeafPhase,
    Policy, Revision, RollOut, RollOutState, RollOuts, Route, Service, ShardSet, Target,
    WeightedService,
};
use tansylead_types::{LeafId, PlaceName, ServiceName, StepError, ZoneName};
use tokio::time::Instant;

/// Period at which the file is looked at.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// A routes file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RoutesFileError {
    /// The file cannot be read, or is no routes file.
    #[error(transparent)]
    File(#[from] FileError),
    /// A route states neither services nor shards, or both.
    #[error("{path}: route {route} must state either `services` or `shards`")]
    NoTarget {
        /// File.
        path: String,
        /// Route.
        route: String,
    },
    /// A route names a service that is not listed.
    #[error("{path}: route {route} names service {service}, which is not listed")]
    UnknownService {
        /// File.
        path: String,
        /// Route.
        route: String,
        /// Service.
        service: ServiceName,
    },
    /// The bound on requests to cold leafs is not above zero.
    #[error(
        "{path}: cold_requests_per_second of service {service} must be above zero, but is {value}"
    )]
    ColdBound {
        /// File.
        path: String,
        /// Service.
        service: ServiceName,
        /// What it is.
        value: f64,
    },
    /// Two routes take the same requests.
    #[error("{path}: routes {first} and {second} have the same host and prefix")]
    SameRequests {
        /// File.
        path: String,
        /// One route.
        first: String,
        /// The other route.
        second: String,
    },
}

/// A whole routes file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RoutesDocument {
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
}

/// What a routes file says.
#[derive(Debug, Clone)]
pub struct RoutesFile {
    /// Configuration.
    pub configuration: Configuration,
    /// Leafs.
    pub leafs: Vec<LeafEntry>,
    /// Zones that are being emptied.
    pub evacuated_zones: BTreeSet<ZoneName>,
}

impl RoutesFile {
    /// Reads and checks a routes file.
    pub fn load(path: &Path) -> Result<Self, RoutesFileError> {
        let document: RoutesDocument = checked_file::read(path)?;
        document.check(&path.display().to_string())?;
        Ok(document.into_file())
    }
}

impl RoutesDocument {
    fn check(&self, path: &str) -> Result<(), RoutesFileError> {
        self.check_services(path)?;
        self.check_routes(path)
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

    fn check_routes(&self, path: &str) -> Result<(), RoutesFileError> {
        let listed: BTreeSet<&ServiceName> =
            self.services.iter().map(|service| &service.name).collect();
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

    fn into_file(self) -> RoutesFile {
        let services = self.services.into_iter().map(|service| {
            let configured = Service {
                maximum_connections: service.maximum_connections,
                cold_requests_per_second: service.cold_requests_per_second,
            };
            (service.name, configured)
        });
        let routes = self.routes.into_iter().map(RouteDocument::into_route);
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
            version: None,
            changed_at: Revision::default(),
        }
    }
}

/// A routes file as a source. Its version is the position of all topics.
#[derive(Debug)]
pub struct RoutesFileSource {
    path: PathBuf,
}

impl RoutesFileSource {
    /// A source over the file at this path.
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }

    fn update(&self, topic: Topic) -> Result<SourceUpdate, SourceError> {
        let file = RoutesFile::load(&self.path).map_err(|cause| {
            let path = self.path.display();
            SourceError::Failed(StepError::new("read routes file", path, cause))
        })?;
        let at = Revision(file.configuration.version);
        let content = match topic {
            Topic::Configuration => {
                SourceContent::Configuration(Some(Box::new(file.configuration)))
            }
            Topic::Leafs => SourceContent::Leafs(DirectoryDelta::Everything {
                at,
                entries: file.leafs,
            }),
            Topic::Evacuations => SourceContent::Evacuations(Some(EvacuatedZones {
                at,
                zones: file.evacuated_zones,
            })),
            Topic::RollOuts => SourceContent::RollOuts(Some(RollOuts {
                at,
                orders: BTreeMap::new(),
            })),
        };
        Ok(SourceUpdate {
            at,
            content,
            passed_over: 0,
        })
    }
}

impl Source for RoutesFileSource {
    async fn read(&self, topic: Topic, _: Freshness) -> Result<SourceUpdate, SourceError> {
        self.update(topic)
    }

    async fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> Result<SourceUpdate, SourceError> {
        let deadline = Instant::now() + wait;
        loop {
            let update = self.update(topic)?;
            if update.at > after || Instant::now() >= deadline {
                return Ok(update);
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// A file is its operator's to write.
    async fn write_roll_out_state(
        &self,
        _: &RollOut,
        _: RollOutState,
    ) -> Result<WriteEnd, SourceError> {
        let path = self.path.display();
        let cause = "a routes file is written by its operator only";
        let error = StepError::new("write state of roll-out", path, cause);
        Err(SourceError::Refused(error))
    }

    async fn read_roll_out(&self, _: &ServiceName) -> Result<Option<RollOut>, SourceError> {
        Ok(None)
    }

    /// A file registers nobody: the seeds must do.
    async fn register(&self, _: SocketAddr) -> Result<(), SourceError> {
        Ok(())
    }

    async fn registered(&self) -> Result<Vec<SocketAddr>, SourceError> {
        Ok(Vec::new())
    }
}
