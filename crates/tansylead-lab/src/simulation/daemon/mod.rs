//! A simulated daemon: the same state machines as the real one, composed by glue that the real
//! daemon must match step by step.
//!
//! The daemon is a state machine itself: calls, datagrams and timers go in, actions come out.
//! Nothing survives a restart: each run is a new value.

mod claims;
mod cluster;
mod configuration;
mod frontend;
mod key_status;
mod machine_list;
mod outbox;
mod root;
mod root_attempts;
mod serving;
mod stop;

pub use cluster::STORE_HOLD;
pub use outbox::{DaemonAction, Outbox};

use super::clock::Clocks;
use super::message::{CallId, CallResult, Request, Response};
use super::sabotage::Sabotage;
use super::topology::{
    DAEMONS, daemon_caller_address, daemon_node, daemon_place, daemon_zone, place_name, zone_name,
};
use claims::ClaimDesk;
use configuration::{Configuration, PlacementKey};
use frontend::FrontendQuery;
use machine_list::MachineListReader;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use root::{PendingWrite, Root};
use std::collections::{BTreeMap, BTreeSet};
use tansylead_cluster::claims::ClaimHolder;
use tansylead_cluster::membership::{
    Capacity, GossipPacket, LocalMember, Membership, MembershipSettings,
};
use tansylead_cluster::routing::{LeavingNotice, ServicePlaces};
use tansylead_cluster::spread::{SpreadMachine, SpreadSettings};
use tansylead_types::{
    AttemptId, InstanceId, LeafId, Moment, NodeId, PlaceName, QueryId, QueryRequest, ServiceName,
};

/// Who waits for the answer of a root.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyTo {
    /// A query of this daemon's own frontend.
    Frontend(QueryId),
    /// A query that another daemon forwarded.
    Peer(CallId),
    /// Nobody any more.
    Nobody,
}

/// A query at the root, before its engine has it.
#[derive(Debug, Clone)]
struct RootQuery {
    placement: PlacementKey,
    request: QueryRequest,
    deadline: Moment,
    reply: ReplyTo,
}

/// What a call of this daemon is for.
#[derive(Debug, Clone)]
enum Purpose {
    Pull {
        peer: NodeId,
        after: u64,
    },
    StoreRead {
        after: u64,
    },
    Machines,
    Forward {
        query: QueryId,
        root: NodeId,
        place: PlaceName,
    },
    /// Sent by this daemon's claim member.
    MemberClaim {
        asked: InstanceId,
    },
    /// Sent by a claim requester.
    RequesterClaim {
        asked: InstanceId,
        requester: u64,
    },
    ClaimStatus {
        asked: InstanceId,
    },
    ClaimViewWrite {
        held_generation: u64,
    },
    KeyStatus {
        lookup: u64,
        holder: ClaimHolder,
    },
    Attempt {
        placement: PlacementKey,
        query: QueryId,
        attempt: AttemptId,
        leaf: LeafId,
    },
    Health {
        placement: PlacementKey,
        leaf: LeafId,
    },
    Notice {
        placement: PlacementKey,
        notice: LeavingNotice,
    },
    /// Nothing follows from its end.
    Ignored,
}

/// One run of one daemon.
#[derive(Debug)]
pub struct SimulatedDaemon {
    instance: InstanceId,
    place: PlaceName,
    sabotage: Option<Sabotage>,
    random: SmallRng,
    membership: Membership,
    spread: SpreadMachine,
    configuration: Configuration,
    store_read: Option<CallId>,
    machine_list: MachineListReader,
    routing_changed: bool,
    places: BTreeMap<ServiceName, ServicePlaces>,
    serving: BTreeMap<PlacementKey, BTreeSet<NodeId>>,
    frontend_queries: BTreeMap<QueryId, FrontendQuery>,
    roots: BTreeMap<PlacementKey, Root>,
    writes: BTreeMap<(Moment, u64), PendingWrite>,
    next_write: u64,
    claims: ClaimDesk,
    calls: BTreeMap<CallId, Purpose>,
    next_query: u64,
    stopping_since: Option<Moment>,
    last_stop_check: Option<Moment>,
}

impl SimulatedDaemon {
    /// Starts a daemon with empty memory.
    pub fn start(clocks: Clocks, index: usize, seed: u64, sabotage: Option<Sabotage>) -> Self {
        let place = place_name(daemon_place(index));
        let instance = InstanceId {
            node: daemon_node(index),
            boot: clocks.wall.0 * 1_000,
        };
        let local = LocalMember {
            instance,
            place: place.clone(),
            zone: zone_name(daemon_place(index), daemon_zone(index)),
            caller_address: daemon_caller_address(index),
            capacity: Capacity::CORE,
        };
        let seeds = (0..DAEMONS).map(daemon_node).collect();
        let settings = MembershipSettings::default();
        let membership = Membership::new(clocks.now, local.clone(), seeds, settings, seed);
        let joined = membership.is_joined();
        let spread = SpreadMachine::new(
            clocks.now,
            local,
            joined,
            SpreadSettings::default(),
            seed ^ 1,
        );
        Self {
            instance,
            place,
            sabotage,
            random: SmallRng::seed_from_u64(seed ^ 2),
            membership,
            spread,
            configuration: Configuration::default(),
            store_read: None,
            machine_list: MachineListReader::new(clocks.now),
            routing_changed: true,
            places: BTreeMap::new(),
            serving: BTreeMap::new(),
            frontend_queries: BTreeMap::new(),
            roots: BTreeMap::new(),
            writes: BTreeMap::new(),
            next_write: 0,
            claims: ClaimDesk::new(clocks.now, instance),
            calls: BTreeMap::new(),
            next_query: 1,
            stopping_since: None,
            last_stop_check: None,
        }
    }

    /// A datagram arrives.
    pub fn on_datagram(
        &mut self,
        clocks: Clocks,
        from: NodeId,
        packet: Box<GossipPacket>,
        outbox: &mut Outbox<'_>,
    ) {
        self.on_packet(clocks, from, packet, outbox);
        self.after_input(clocks, outbox);
    }

    /// A request of another process arrives.
    pub fn on_request(
        &mut self,
        clocks: Clocks,
        call: CallId,
        request: Request,
        outbox: &mut Outbox<'_>,
    ) {
        match request {
            Request::Query(request) => self.on_caller_query(clocks, call, request, outbox),
            Request::Forward { place, request } => {
                self.on_forwarded(clocks, call, place, request, outbox);
            }
            Request::Pull { after } => {
                let response = match self.spread.serve(after) {
                    Ok(list) => Response::Objects(list),
                    Err(_) => Response::NothingToServe,
                };
                outbox.respond(call, response);
            }
            Request::Claim(request) => {
                let response = self.answer_claim_request(clocks, &request);
                outbox.respond(call, Response::Claim(response));
            }
            Request::KeyStatus { owner, key } => {
                let status = self.key_status(clocks, owner, &key);
                outbox.respond(call, Response::KeyStatus(status));
            }
            Request::LeafLeaving {
                service,
                place,
                leaf,
            } => {
                outbox.respond(call, Response::Noted);
                let placement = PlacementKey { service, place };
                self.leaf_is_leaving(clocks, &placement, leaf, outbox);
            }
            _ => {}
        }
        self.after_input(clocks, outbox);
    }

    /// A call of this daemon ends.
    pub fn on_call_ended(
        &mut self,
        clocks: Clocks,
        call: CallId,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        if let Some(purpose) = self.calls.remove(&call) {
            self.on_result(clocks, call, purpose, result, outbox);
        }
        self.after_input(clocks, outbox);
    }

    /// The other side of a call to this daemon has gone away.
    pub fn on_abandoned(&mut self, clocks: Clocks, call: CallId, outbox: &mut Outbox<'_>) {
        self.on_caller_gone(clocks, call, outbox);
        self.on_peer_gone(clocks, call, outbox);
        self.after_input(clocks, outbox);
    }

    /// Some timer is due.
    pub fn on_wakeup(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        self.cluster_timers(clocks, outbox);
        self.claim_timers(clocks, outbox);
        self.root_timers(clocks, outbox);
        self.stop_timer(clocks, outbox);
        self.after_input(clocks, outbox);
    }

    /// When [`SimulatedDaemon::on_wakeup`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        [
            self.cluster_wakeup(),
            self.claim_wakeup(),
            self.root_wakeup(),
            self.stop_wakeup(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Whether the daemon tells callers' load balancers that it takes queries.
    pub fn is_ready(&self) -> bool {
        self.configuration.table().is_some() && self.stopping_since.is_none()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    fn after_input(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        if std::mem::take(&mut self.routing_changed) {
            self.update_serving(clocks, outbox);
        }
        self.drop_retired_roots();
    }

    fn on_result(
        &mut self,
        clocks: Clocks,
        call: CallId,
        purpose: Purpose,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        match purpose {
            Purpose::Pull { peer, after } => {
                self.on_pull_ended(clocks, peer, after, result, outbox);
            }
            Purpose::StoreRead { after } => {
                self.store_read = None;
                self.on_store_read(clocks, after, result, outbox);
            }
            Purpose::Machines => self.on_machines(clocks, result, outbox),
            Purpose::Forward { query, root, place } => {
                self.on_forward_ended(clocks, query, root, place, result, outbox);
            }
            Purpose::MemberClaim { asked } => {
                self.on_member_response(clocks, asked, result, outbox);
            }
            Purpose::RequesterClaim { asked, requester } => {
                self.on_requester_response(clocks, asked, requester, result, outbox);
            }
            Purpose::ClaimStatus { asked } => self.on_claim_status(clocks, asked, result),
            Purpose::ClaimViewWrite { held_generation } => {
                self.on_view_written(held_generation, &result);
            }
            Purpose::KeyStatus { lookup, holder } => {
                self.on_key_status(clocks, lookup, holder, result, outbox);
            }
            Purpose::Attempt {
                placement,
                query,
                attempt,
                leaf,
            } => {
                let ended = (query, attempt);
                self.on_attempt_ended(clocks, call, &placement, ended, leaf, result, outbox);
            }
            Purpose::Health { placement, leaf } => {
                self.on_health(clocks, &placement, leaf, result, outbox);
            }
            Purpose::Notice { placement, notice } => {
                self.on_notice_ended(&placement, &notice, &result);
            }
            Purpose::Ignored => {}
        }
    }

    fn next_query(&mut self) -> QueryId {
        let query = QueryId(self.next_query);
        self.next_query += 1;
        query
    }

    fn is_sabotaged(&self, sabotage: Sabotage) -> bool {
        self.sabotage == Some(sabotage)
    }
}
