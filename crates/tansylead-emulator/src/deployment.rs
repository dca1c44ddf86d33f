//! A complete deployment on loopback: store, leafs, real daemons, and proxies between them.

use crate::addresses::next_address;
use crate::caller::{Caller, CallerRequest};
use crate::configuration::{RoutePlan, document};
use crate::daemon::{Daemon, MachineSize};
use crate::leaf::{Leaf, LeafControl, LeafPlan};
use crate::leaf_registry::LeafRegistry;
use crate::oracle::{CallerEnd, Oracle};
use crate::proxy::Proxy;
use crate::restored_store::SharedOperatorState;
use crate::roll_out::RollOutTasks;
use crate::routes::{Routes, further_service};
use crate::store::StoreServer;
use crate::version::LeafVersion;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::Instant;

/// Objects per page of the store's lists: few, so that lists have several pages.
const STORE_PAGE: usize = 5;
/// Maximum number of connections that a leaf accepts.
const LEAF_CONNECTIONS: u32 = 41;
/// Default maximum time for a request that goes to a single leaf.
pub const SINGLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Default processing time of a request that goes to a single leaf.
pub const SINGLE_WORK: Duration = Duration::from_millis(20);
/// Delay before a leaf that a request has crashed is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
/// Polling period.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Size of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Number of daemons, distributed over the zones.
    pub daemons: usize,
    /// Zones; each is a region of its own.
    pub zones: Vec<String>,
    /// Shards of the query routes.
    pub shards: usize,
    /// Services beside those of the query, lookup and post routes; each has two routes.
    pub further_services: usize,
    /// Processing time of a request at their leafs.
    pub further_work: Duration,
    /// Executable of the daemons.
    pub program: PathBuf,
    /// Whether all seeds are addresses of daemons that no longer run.
    pub stale_seeds: bool,
    /// Number of daemons, counted from the first, whose machines are larger than the others'.
    pub large_daemons: usize,
    /// Memory and descriptors of all machines.
    pub machine: MachineSize,
    /// Maximum size of a request's body that the configuration states.
    pub body_bytes: usize,
    /// Maximum time for a request to a single leaf.
    pub single_timeout: Duration,
}

/// A leaf with the proxy through which daemons reach it.
#[derive(Debug)]
pub struct ProxiedLeaf {
    /// Leaf; none after a crash.
    pub leaf: Option<Leaf>,
    /// Proxy.
    pub proxy: Proxy,
    /// Settings of its last run.
    pub plan: LeafPlan,
    /// Control of its last run.
    pub control: LeafControl,
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
    pub(crate) registry: LeafRegistry,
    pub(crate) roll_outs: RollOutTasks,
    pub(crate) operator_state: SharedOperatorState,
    version: u64,
    body_bytes: usize,
    next_leaf: u32,
    pub(crate) folder: TempDir,
}

impl Deployment {
    /// Starts everything; does not wait until the daemons are ready.
    pub async fn start(plan: &DeploymentPlan) -> io::Result<Self> {
        let store = StoreServer::start(next_address(), STORE_PAGE).await?;
        let mut deployment = Self {
            store,
            oracle: Oracle::default(),
            leafs: Vec::new(),
            daemons: Vec::new(),
            routes: Routes::new(plan.shards, plan.further_services, plan.single_timeout),
            registry: LeafRegistry::default(),
            roll_outs: RollOutTasks::default(),
            operator_state: SharedOperatorState::default(),
            version: 0,
            body_bytes: plan.body_bytes,
            next_leaf: 1,
            folder: tempfile::tempdir()?,
        };
        let disruptions = deployment.store.disruptions();
        deployment.oracle.add_store(disruptions);
        deployment.configure(&deployment.routes.all());
        for zone in &plan.zones {
            for shard in 0..plan.shards {
                let service = format!("shard-{shard}");
                deployment
                    .add_leaf(&service, zone, Duration::from_millis(8))
                    .await?;
            }
            for service in ["files", "payments"] {
                deployment.add_leaf(service, zone, SINGLE_WORK).await?;
            }
            for service in (0..plan.further_services).map(further_service) {
                deployment
                    .add_leaf(&service, zone, plan.further_work)
                    .await?;
            }
        }
        deployment.start_daemons(plan).await?;
        Ok(deployment)
    }

    /// Folder of settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps settings and logs after the end and returns their folder.
    pub fn keep_folder(mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// Writes the next version with these routes; returns its number.
    pub fn configure(&mut self, routes: &[RoutePlan]) -> u64 {
        self.version += 3;
        let spec = document(self.version, routes, LEAF_CONNECTIONS, self.body_bytes);
        self.operator_state.lock().configuration = Some(spec.clone());
        self.store.put("config", "main", spec);
        self.version
    }

    /// Starts another leaf of the version that its service runs, behind its own proxy.
    pub async fn add_leaf(&mut self, service: &str, zone: &str, work: Duration) -> io::Result<()> {
        let version = self.registry.version(service);
        self.add_leaf_of(service, zone, work, version).await
    }

    /// Starts another leaf of a given version.
    pub async fn add_leaf_of(
        &mut self,
        service: &str,
        zone: &str,
        work: Duration,
        version: LeafVersion,
    ) -> io::Result<()> {
        const SLOTS: usize = 5;
        let address = next_address();
        let proxy = Proxy::start(next_address(), address).await?;
        let plan = LeafPlan {
            id: self.next_leaf_id(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            advertised: proxy.address(),
            slots: SLOTS,
            work,
            version,
        };
        let oracle = &self.oracle;
        oracle.add_leaf_link(&plan.id, proxy.disruptions());
        let leaf = self.start_leaf(&plan).await?;
        let control = leaf.control();
        close_at_crash(&control, &proxy);
        self.leafs.push(ProxiedLeaf {
            leaf: Some(leaf),
            proxy,
            plan,
            control,
        });
        Ok(())
    }

    /// Restarts a crashed leaf as a new run at the same address, unless it is retired.
    pub async fn restart_leaf(&mut self, index: usize) -> io::Result<()> {
        if self.leafs[index].control.is_retired() {
            return Ok(());
        }
        self.leafs[index].control.unregister();
        let id = self.next_leaf_id();
        self.start_run(index, id).await
    }

    /// Restarts a crashed leaf under the same id, whose entry was kept meanwhile, unless it is retired.
    pub async fn restart_leaf_under_its_id(&mut self, index: usize) -> io::Result<()> {
        if self.leafs[index].control.is_retired() {
            return Ok(());
        }
        let id = self.leafs[index].plan.id.clone();
        self.start_run(index, id).await
    }

    async fn start_run(&mut self, index: usize, id: String) -> io::Result<()> {
        let leaf = &mut self.leafs[index];
        leaf.leaf = None;
        leaf.plan.id = id;
        let plan = leaf.plan.clone();
        let link = leaf.proxy.disruptions();
        self.oracle.add_leaf_link(&plan.id, link);
        let started = self.start_leaf(&plan).await?;
        let leaf = &mut self.leafs[index];
        leaf.control = started.control();
        leaf.proxy.closed().send_replace(false);
        close_at_crash(&leaf.control, &leaf.proxy);
        leaf.leaf = Some(started);
        Ok(())
    }

    /// Restarts the leafs whose crash by a request is longer ago than the restart delay.
    pub async fn restart_crashed_leafs(&mut self) -> io::Result<()> {
        for index in 0..self.leafs.len() {
            let crashed = self.leafs[index].control.crashed_at();
            if crashed.is_some_and(|at| at.elapsed() > RESTART_DELAY) {
                self.restart_leaf(index).await?;
            }
        }
        Ok(())
    }

    /// Waits until requests that were sent before crash no more leafs, then restarts the crashed ones.
    pub async fn wait_and_restart_crashed_leafs(&mut self) -> io::Result<()> {
        tokio::time::sleep(RESTART_DELAY * 2).await;
        self.restart_crashed_leafs().await
    }

    fn next_leaf_id(&mut self) -> String {
        let id = format!("i-{:04}", self.next_leaf);
        self.next_leaf += 1;
        id
    }

    async fn start_leaf(&self, plan: &LeafPlan) -> io::Result<Leaf> {
        self.oracle.record_leaf_start(&plan.id);
        let started = Leaf::start(plan.clone(), self.store.clone(), self.oracle.clone());
        let leaf = started.await?;
        self.registry.add(leaf.control());
        Ok(leaf)
    }

    /// Orders the evacuation of a zone: its leafs must get nothing more.
    pub fn evacuate(&self, zone: &str) {
        let state = &self.operator_state;
        state.lock().evacuations.insert(zone.to_owned());
        self.store.put("evacuations", zone, json!({}));
        self.oracle.record_evacuation(zone);
    }

    /// Withdraws the evacuation of a zone.
    pub fn end_evacuation(&self, zone: &str) {
        self.operator_state.lock().evacuations.remove(zone);
        self.oracle.record_evacuation_end(zone);
        self.store.delete("evacuations", zone);
    }

    /// Maximum size of a request's body that the configuration states.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Addresses of all daemons for callers.
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

    /// Makes one call to a daemon on a new connection.
    pub async fn call(&self, daemon: usize, route: &RoutePlan) -> CallerEnd {
        let address = self.daemons[daemon].daemon.plan().addresses.caller;
        let deadline = Duration::from_millis(route.timeout_millis);
        let request = CallerRequest::new(route, deadline);
        Caller::new(self.oracle.clone())
            .call(address, &request)
            .await
    }
}

/// Makes a leaf's address refuse connections as soon as a request crashes the leaf.
fn close_at_crash(leaf: &LeafControl, proxy: &Proxy) {
    let (leaf, closed) = (leaf.clone(), proxy.closed());
    tokio::spawn(async move {
        leaf.wait_for_crash().await;
        closed.send_replace(true);
    });
}

/// Region of a zone; each zone is its own region.
pub fn region_of(zone: &str) -> String {
    format!("region-{zone}")
}

/// Whether a daemon reports itself ready.
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
