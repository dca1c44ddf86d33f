//! A whole deployment on loopback: store, leafs, real daemons, and proxies between them.

use crate::addresses::next_address;
use crate::caller::{Caller, CallerRequest};
use crate::configuration::{RoutePlan, RouteTarget, document};
use crate::daemon::{Daemon, DaemonAddresses, DaemonPlan};
use crate::leaf::{Leaf, LeafPlan};
use crate::oracle::{CallerEnd, Oracle};
use crate::proxy::Proxy;
use crate::store::StoreServer;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::Instant;

/// Page of the store's lists: small, so that lists have several.
const STORE_PAGE: usize = 5;
/// What the settings say of large and of other machines, in cores; all run on the same one.
const LARGE_CORES: f64 = 0.5;
const SMALL_CORES: f64 = 0.12;
/// Connections a leaf accepts.
const LEAF_CONNECTIONS: u32 = 41;
/// Period at which a condition is looked at.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Size of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Daemons, dealt out over the zones.
    pub daemons: usize,
    /// Zones; each is a region of its own.
    pub zones: Vec<String>,
    /// Shards of the query routes.
    pub shards: usize,
    /// Program of the daemons.
    pub program: PathBuf,
    /// The seeds name daemons that are gone.
    pub stale_seeds: bool,
    /// Daemons, from the first on, whose machines are larger than the others'.
    pub large_daemons: usize,
}

/// Routes of a deployment.
#[derive(Debug, Clone)]
pub struct Routes {
    /// Query over all shards.
    pub query: RoutePlan,
    /// Lookup at one leaf; may be repeated.
    pub lookup: RoutePlan,
    /// Post to one leaf; may not be repeated.
    pub post: RoutePlan,
}

impl Routes {
    /// Routes over this many shards.
    pub fn new(shards: usize) -> Self {
        let shard_names = (0..shards).map(|shard| format!("shard-{shard}"));
        Self {
            query: RoutePlan {
                name: "query".to_owned(),
                target: RouteTarget::Shards {
                    shards: shard_names.collect(),
                    top: 20,
                    minimum_coverage: 0.74,
                },
                safe: true,
                timeout_millis: 3_000,
                objective_millis: 400,
                maximum_attempts: 2,
                homes: Vec::new(),
            },
            lookup: single_route("lookup", "files", true),
            post: single_route("post", "payments", false),
        }
    }

    /// All routes.
    pub fn all(&self) -> Vec<RoutePlan> {
        vec![self.query.clone(), self.lookup.clone(), self.post.clone()]
    }
}

fn single_route(name: &str, service: &str, safe: bool) -> RoutePlan {
    RoutePlan {
        name: name.to_owned(),
        target: RouteTarget::Services(vec![(service.to_owned(), 1.0)]),
        safe,
        timeout_millis: 3_000,
        objective_millis: 500,
        maximum_attempts: if safe { 2 } else { 1 },
        homes: Vec::new(),
    }
}

/// A leaf with the proxy through which daemons reach it.
#[derive(Debug)]
pub struct ProxiedLeaf {
    /// Leaf; none after a crash.
    pub leaf: Option<Leaf>,
    /// Proxy.
    pub proxy: Proxy,
    /// What the leaf is or was.
    pub plan: LeafPlan,
}

/// A daemon with the proxy through which it reaches the store.
#[derive(Debug)]
pub struct ProxiedDaemon {
    /// Daemon.
    pub daemon: Daemon,
    /// Proxy.
    pub store_link: Proxy,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Store.
    pub store: StoreServer,
    /// Oracle.
    pub oracle: Oracle,
    /// Leafs.
    pub leafs: Vec<ProxiedLeaf>,
    /// Daemons.
    pub daemons: Vec<ProxiedDaemon>,
    /// Routes of the first configuration.
    pub routes: Routes,
    version: u64,
    next_leaf: u32,
    folder: TempDir,
}

impl Deployment {
    /// Starts everything; daemons may not be ready yet.
    pub async fn start(plan: &DeploymentPlan) -> io::Result<Self> {
        let store = StoreServer::start(next_address(), STORE_PAGE).await?;
        let mut deployment = Self {
            store,
            oracle: Oracle::default(),
            leafs: Vec::new(),
            daemons: Vec::new(),
            routes: Routes::new(plan.shards),
            version: 0,
            next_leaf: 1,
            folder: tempfile::tempdir()?,
        };
        deployment.configure(&deployment.routes.all());
        for zone in &plan.zones {
            for shard in 0..plan.shards {
                let service = format!("shard-{shard}");
                deployment
                    .add_leaf(&service, zone, Duration::from_millis(8))
                    .await?;
            }
            for service in ["files", "payments"] {
                let work = Duration::from_millis(20);
                deployment.add_leaf(service, zone, work).await?;
            }
        }
        deployment.start_daemons(plan).await?;
        Ok(deployment)
    }

    /// Folder of settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps settings and logs after the end, and tells where.
    pub fn keep_folder(mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// Writes the next version with these routes; returns its number.
    pub fn configure(&mut self, routes: &[RoutePlan]) -> u64 {
        self.version += 3;
        let spec = document(self.version, routes, LEAF_CONNECTIONS);
        self.store.put("config", "main", spec);
        self.version
    }

    /// Starts one more leaf behind a proxy of its own.
    pub async fn add_leaf(&mut self, service: &str, zone: &str, work: Duration) -> io::Result<()> {
        const SLOTS: usize = 5;
        let address = next_address();
        let proxy = Proxy::start(next_address(), address).await?;
        let plan = LeafPlan {
            id: format!("i-{:04}", self.next_leaf),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            advertised: proxy.address(),
            slots: SLOTS,
            work,
        };
        self.next_leaf += 1;
        let leaf = Leaf::start(plan.clone(), self.store.clone(), self.oracle.clone()).await?;
        self.leafs.push(ProxiedLeaf {
            leaf: Some(leaf),
            proxy,
            plan,
        });
        Ok(())
    }

    /// Starts a leaf again after a crash, as a new run at the old address.
    pub async fn restart_leaf(&mut self, index: usize) -> io::Result<()> {
        let id = format!("i-{:04}", self.next_leaf);
        self.next_leaf += 1;
        let leaf = &mut self.leafs[index];
        if let Some(old) = leaf.leaf.take() {
            old.unregister();
        } else {
            self.store.delete("servers", &leaf.plan.id);
        }
        leaf.plan.id = id;
        let started = Leaf::start(leaf.plan.clone(), self.store.clone(), self.oracle.clone());
        leaf.leaf = Some(started.await?);
        Ok(())
    }

    /// Orders that nothing more be sent to the leafs of a zone.
    pub fn evacuate(&self, zone: &str) {
        self.store.put("evacuations", zone, json!({}));
        self.oracle.evacuate(zone);
    }

    /// Takes the order back.
    pub fn end_evacuation(&self, zone: &str) {
        self.oracle.end_evacuation(zone);
        self.store.delete("evacuations", zone);
    }

    /// Callers' addresses of all daemons.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons
            .map(|proxied| proxied.daemon.plan().addresses.caller)
            .collect()
    }

    /// Waits until all daemons are ready; false if that takes longer than `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        for proxied in &self.daemons {
            while !is_ready(proxied.daemon.plan().addresses.ready, &self.oracle).await {
                if Instant::now() > deadline {
                    return false;
                }
                tokio::time::sleep(CHECK_PERIOD).await;
            }
        }
        true
    }

    /// One call to one daemon on a connection of its own.
    pub async fn call(&self, daemon: usize, route: &RoutePlan) -> CallerEnd {
        let address = self.daemons[daemon].daemon.plan().addresses.caller;
        let deadline = Duration::from_millis(route.timeout_millis);
        let request = CallerRequest::new(route, deadline);
        Caller::new(self.oracle.clone())
            .call(address, &request)
            .await
    }

    async fn start_daemons(&mut self, plan: &DeploymentPlan) -> io::Result<()> {
        let regions: Vec<(String, String)> = plan
            .zones
            .iter()
            .map(|zone| (zone.clone(), region_of(zone)))
            .collect();
        let addresses: Vec<DaemonAddresses> =
            (0..plan.daemons).map(|_| DaemonAddresses::next()).collect();
        const SEEDS: usize = 3;
        let seeds: Vec<SocketAddr> = if plan.stale_seeds {
            (0..SEEDS).map(|_| next_address()).collect()
        } else {
            addresses.iter().take(SEEDS).map(|own| own.peer).collect()
        };
        for (index, own) in addresses.into_iter().enumerate() {
            let store_link = Proxy::start(next_address(), self.store.address()).await?;
            let daemon = Daemon::start(DaemonPlan {
                name: format!("daemon-{index}"),
                zone: plan.zones[index % plan.zones.len()].clone(),
                regions: regions.clone(),
                addresses: own,
                store: store_link.address(),
                seeds: seeds.clone(),
                folder: self.folder.path().to_owned(),
                program: plan.program.clone(),
                processor_cores: if index < plan.large_daemons {
                    LARGE_CORES
                } else {
                    SMALL_CORES
                },
            })?;
            self.daemons.push(ProxiedDaemon { daemon, store_link });
        }
        Ok(())
    }
}

/// Region of a zone: each zone is a region of its own.
pub fn region_of(zone: &str) -> String {
    format!("region-{zone}")
}

/// Whether a daemon calls itself ready.
pub async fn is_ready(address: SocketAddr, oracle: &Oracle) -> bool {
    let request = hyper::Request::builder()
        .uri("/ready")
        .header("Host", "ready")
        .body(http_body_util::Full::default());
    let Ok(request) = request else {
        return false;
    };
    let mut caller = Caller::new(oracle.clone());
    let answer = caller.send(address, request).await;
    answer.is_some_and(|answer| answer.status == 200)
}
