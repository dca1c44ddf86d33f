//! Assembles a daemon from its parts.

use crate::claims::{ClaimParts, Claims, PlannerParts, run_claim_member, run_claim_planner};
use crate::clock::Clock;
use crate::cluster::{
    ClusterDriver, ClusterHandle, ClusterIdentity, ClusterInput, ClusterParts, ClusterStatus,
    MachineListReader, MemberView,
};
use crate::configuration::ConfigurationView;
use crate::frontend::{Frontend, FrontendParts};
use crate::http::{CallerServer, Router, ServerLimits};
use crate::metrics::Metrics;
use crate::peer_service::PeerService;
use crate::peers::{self, Hello, PEER_PROTOCOL_VERSION, PeerClient, PeerServer, TrafficCounters};
use crate::platform::{MachineListClient, StoreClient};
use crate::root::{RootContext, RootDirectory, RootSupervisor, SupervisorParts};
use crate::root_service::RootService;
use crate::routing::{Routes, RoutesParts};
use crate::state::{DaemonState, StateParts};
use crate::tuning::Tuning;
use eyre::WrapErr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::claims::ClaimSettings;
use tansylead_cluster::membership::{Capacity, LocalMember, Membership, MembershipSettings};
use tansylead_cluster::spread::SpreadMachine;
use tansylead_types::{InstanceId, NodeId, Settings, StepError};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// An assembled daemon whose server for callers is not running yet.
#[derive(Debug)]
pub(crate) struct Assembly {
    pub(crate) state: Arc<DaemonState>,
    pub(crate) cluster: ClusterHandle,
    pub(crate) claims: Arc<Claims>,
    pub(crate) drain: CancellationToken,
    pub(crate) server: CallerServer,
    pub(crate) peer_address: SocketAddr,
    pub(crate) tasks: JoinSet<()>,
}

/// The sockets at the peer address.
#[derive(Debug)]
struct PeerSockets {
    listener: TcpListener,
    datagrams: UdpSocket,
    address: SocketAddr,
}

/// Builds the parts of a daemon from the values that they share.
struct DaemonBuilder {
    settings: Settings,
    tuning: Arc<Tuning>,
    metrics: Arc<Metrics>,
    instance: InstanceId,
    hello: Hello,
    peers: Arc<PeerClient>,
    claim_settings: Arc<ClaimSettings>,
    directory: RootDirectory,
    drain: CancellationToken,
}

/// Channels through which the cluster task publishes and receives.
struct Channels {
    configuration: watch::Sender<Arc<ConfigurationView>>,
    members: watch::Sender<Arc<MemberView>>,
    status: watch::Sender<Arc<ClusterStatus>>,
    cluster: ClusterHandle,
    inputs: mpsc::UnboundedReceiver<ClusterInput>,
}

/// Parts that the servers for callers and for peers share.
pub(crate) struct SharedParts {
    pub(crate) routes: Arc<Routes>,
    pub(crate) state: Arc<DaemonState>,
    pub(crate) claims: Arc<Claims>,
    roots: Arc<RootService>,
}

/// Binds the addresses and assembles a daemon.
pub(crate) async fn assemble(settings: Settings, tuning: Tuning) -> eyre::Result<Assembly> {
    let sockets = bind_peer_sockets(settings.peer_address).await?;
    let peer_address = sockets.address;
    let builder = DaemonBuilder::new(settings, tuning, peer_address)?;
    let channels = Channels::new();
    let shared = builder.build_shared(&channels);
    let server = builder
        .build_caller_server(&shared.state, &shared.routes, &shared.roots)
        .await?;
    let caller_address = server.local_address()?;

    let supervisor = builder.build_supervisor();
    let configuration = channels.configuration.subscribe();
    let members = channels.members.subscribe();
    let cluster = channels.cluster.clone();
    let mut tasks = builder.spawn_control(channels, sockets, &shared, caller_address);
    tasks.spawn(supervisor.run(configuration, members));
    Ok(Assembly {
        state: shared.state,
        cluster,
        claims: shared.claims,
        drain: builder.drain,
        server,
        peer_address,
        tasks,
    })
}

async fn bind_peer_sockets(address: SocketAddr) -> Result<PeerSockets, StepError> {
    const STEP: &str = "listen for peers";
    let listener = peers::bind(NodeId(address)).await?;
    let failed = |cause: std::io::Error| StepError::new(STEP, address, cause);
    let address = listener.local_addr().map_err(failed)?;
    let datagrams = UdpSocket::bind(address).await.map_err(failed)?;
    Ok(PeerSockets {
        listener,
        datagrams,
        address,
    })
}

impl Channels {
    fn new() -> Self {
        let (configuration, _) = watch::channel(Arc::default());
        let (members, _) = watch::channel(Arc::default());
        let (status, _) = watch::channel(Arc::default());
        let (cluster, inputs) = ClusterHandle::channel();
        Self {
            configuration,
            members,
            status,
            cluster,
            inputs,
        }
    }
}

impl DaemonBuilder {
    fn new(mut settings: Settings, tuning: Tuning, peer_address: SocketAddr) -> eyre::Result<Self> {
        settings.peer_address = peer_address;
        let instance = InstanceId {
            node: NodeId(peer_address),
            boot: Clock.wall_micros(),
        };
        let hello = Hello {
            protocol_version: PEER_PROTOCOL_VERSION,
            cluster: settings.cluster.clone(),
            from: instance,
        };
        let claim_settings = ClaimSettings::from_timing(&settings.timing);
        let metrics = Arc::new(Metrics::new().wrap_err("register metrics")?);
        let traffic = TrafficCounters::new(&metrics);
        let peers = PeerClient::new(hello.clone(), tuning.peer_client.clone(), traffic);
        Ok(Self {
            settings,
            tuning: Arc::new(tuning),
            metrics,
            instance,
            hello,
            peers: Arc::new(peers),
            claim_settings: Arc::new(claim_settings),
            directory: RootDirectory::default(),
            drain: CancellationToken::new(),
        })
    }

    fn build_shared(&self, channels: &Channels) -> SharedParts {
        let routes = self.build_routes(channels);
        let state = self.build_state(channels, &routes);
        let claims = self.build_claims(channels);
        let roots = RootService::new(
            self.directory.clone(),
            Arc::clone(&claims),
            Arc::clone(&state),
        );
        SharedParts {
            routes,
            state,
            claims,
            roots: Arc::new(roots),
        }
    }

    /// Starts membership, configuration spread, claims and the server for peers.
    fn spawn_control(
        &self,
        channels: Channels,
        sockets: PeerSockets,
        shared: &SharedParts,
        caller_address: SocketAddr,
    ) -> JoinSet<()> {
        let peer_service = PeerService {
            roots: Arc::clone(&shared.roots),
            directory: self.directory.clone(),
            cluster: channels.cluster.clone(),
            claims: Arc::clone(&shared.claims),
            state: Arc::clone(&shared.state),
        };
        let peer_server = self.build_peer_server(sockets.listener, peer_service);
        let machine_list = self.build_machine_list_reader(&channels, &shared.routes);
        let planner = self.build_planner(&channels, &shared.claims);
        let claims = Arc::clone(&shared.claims);
        let claim_configuration = channels.configuration.subscribe();
        let driver = self.build_cluster_driver(&channels, sockets.datagrams, caller_address);
        let mut tasks = JoinSet::new();
        tasks.spawn(driver.run(channels.inputs));
        tasks.spawn(peer_server.run());
        tasks.spawn(run_claim_member(claims, claim_configuration));
        tasks.spawn(run_claim_planner(planner));
        if let Some(reader) = machine_list {
            tasks.spawn(reader.run());
        }
        tasks
    }

    fn build_routes(&self, channels: &Channels) -> Arc<Routes> {
        Arc::new(Routes::new(RoutesParts {
            own_node: self.instance.node,
            place: self.settings.place.clone(),
            configuration: channels.configuration.subscribe(),
            members: channels.members.subscribe(),
            peers: Arc::clone(&self.peers),
            roots: self.directory.clone(),
            drain: self.drain.clone(),
        }))
    }

    fn build_state(&self, channels: &Channels, routes: &Arc<Routes>) -> Arc<DaemonState> {
        Arc::new(DaemonState::new(StateParts {
            settings: self.settings.clone(),
            metrics: Arc::clone(&self.metrics),
            configuration: channels.configuration.subscribe(),
            members: channels.members.subscribe(),
            cluster_status: channels.status.subscribe(),
            cluster: channels.cluster.clone(),
            roots: self.directory.clone(),
            routes: Arc::clone(routes),
        }))
    }

    async fn build_caller_server(
        &self,
        state: &Arc<DaemonState>,
        routes: &Arc<Routes>,
        roots: &Arc<RootService>,
    ) -> eyre::Result<CallerServer> {
        let frontend = Frontend::new(FrontendParts {
            routes: Arc::clone(routes),
            roots: Arc::clone(roots),
            peers: Arc::clone(&self.peers),
            metrics: Arc::clone(&self.metrics),
            tuning: Arc::clone(&self.tuning),
        });
        let timing = self.settings.timing.clone();
        let router = Arc::new(Router::new(Arc::clone(state), frontend, timing));
        let limits = ServerLimits {
            header_read: self.tuning.header_read_limit,
            drain_idle: self.tuning.drain_idle,
            drain_minimum: self.tuning.drain_minimum,
            drain_accept: self.tuning.drain_accept,
        };
        let address = self.settings.caller_address;
        let server = CallerServer::bind(address, router, Arc::clone(state), limits).await?;
        Ok(server)
    }

    fn build_supervisor(&self) -> RootSupervisor {
        let timing = &self.settings.timing;
        RootSupervisor::new(SupervisorParts {
            instance: self.instance,
            place: self.settings.place.clone(),
            context: RootContext {
                health_period: Duration::from_millis(timing.health_period_millis),
                leaving_grace: Duration::from_millis(timing.leaving_grace_millis),
                tuning: Arc::clone(&self.tuning),
                metrics: Arc::clone(&self.metrics),
                peers: Arc::clone(&self.peers),
                claim_settings: Arc::clone(&self.claim_settings),
            },
            directory: self.directory.clone(),
            drain: self.drain.clone(),
            drain_hold: self.tuning.drain_root_hold,
        })
    }

    fn build_peer_server(
        &self,
        listener: TcpListener,
        service: PeerService,
    ) -> PeerServer<PeerService> {
        let limits = self.tuning.peer_server.clone();
        let traffic = TrafficCounters::new(&self.metrics);
        let hello = self.hello.clone();
        PeerServer::new(listener, hello, limits, Arc::new(service), traffic)
    }

    fn build_claims(&self, channels: &Channels) -> Arc<Claims> {
        Arc::new(Claims::new(ClaimParts {
            own_instance: self.instance,
            settings: ClaimSettings::clone(&self.claim_settings),
            peers: Arc::clone(&self.peers),
            configuration: channels.configuration.subscribe(),
            metrics: Arc::clone(&self.metrics),
        }))
    }

    fn build_planner(&self, channels: &Channels, claims: &Arc<Claims>) -> PlannerParts {
        PlannerParts {
            claims: Arc::clone(claims),
            store: StoreClient::new(self.settings.store_address),
            configuration: channels.configuration.subscribe(),
            members: channels.members.subscribe(),
            status: channels.status.subscribe(),
        }
    }

    fn build_machine_list_reader(
        &self,
        channels: &Channels,
        routes: &Arc<Routes>,
    ) -> Option<MachineListReader> {
        let address = self.settings.machine_list_address?;
        Some(MachineListReader::new(
            MachineListClient::new(address),
            channels.cluster.clone(),
            channels.members.subscribe(),
            channels.status.subscribe(),
            Arc::clone(routes),
        ))
    }

    fn build_cluster_driver(
        &self,
        channels: &Channels,
        socket: UdpSocket,
        caller_address: SocketAddr,
    ) -> ClusterDriver {
        let identity = ClusterIdentity {
            instance: self.instance,
            cluster: self.settings.cluster.clone(),
        };
        let membership = self.build_membership(caller_address);
        let spread = SpreadMachine::new(
            Clock.now(),
            self.build_local_member(caller_address),
            membership.is_joined(),
            self.tuning.spread.clone(),
            self.instance.boot,
        );
        ClusterDriver::new(
            identity,
            ClusterParts {
                membership,
                spread,
                socket,
                peers: Arc::clone(&self.peers),
                store: StoreClient::new(self.settings.store_address),
                store_watch_wait: self.tuning.store_watch_wait,
                spread_settings: self.tuning.spread.clone(),
                metrics: Arc::clone(&self.metrics),
                configuration: channels.configuration.clone(),
                members: channels.members.clone(),
                status: channels.status.clone(),
            },
        )
    }

    fn build_local_member(&self, caller_address: SocketAddr) -> LocalMember {
        LocalMember {
            instance: self.instance,
            place: self.settings.place.clone(),
            zone: self.settings.zone.clone(),
            caller_address,
            capacity: Capacity::CORE,
        }
    }

    fn build_membership(&self, caller_address: SocketAddr) -> Membership {
        let local = self.build_local_member(caller_address);
        let seeds: Vec<NodeId> = self.settings.seeds.iter().copied().map(NodeId).collect();
        let settings = MembershipSettings {
            probe_period: Duration::from_millis(self.settings.timing.probe_period_millis),
            expect_machine_list: self.settings.machine_list_address.is_some(),
            ..self.tuning.membership.clone()
        };
        Membership::new(Clock.now(), local, seeds, settings, self.instance.boot)
    }
}
