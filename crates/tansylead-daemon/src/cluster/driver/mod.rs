//! The task that owns membership and configuration spread.
//!
//! This file owns the task's state and its event loop: it handles datagrams, inputs, ended reads
//! and due timers one at a time. Each of the modules below has one part:
//!
//! - `gossip`: datagrams in and out;
//! - `membership`, `spread`: feed an event to the state machine and perform the actions it returns;
//! - `reads`: the reads of a peer and of the store that run beside the loop;
//! - `in_force`: checks on which daemons a revision is in force;
//! - `publish`: what the rest of the daemon sees.
//!
//! Invariants: only this task touches the state machines; nothing in the loop waits on the network
//! except for the next event; what has changed is published after each turn, all changes at once.

mod gossip;
mod in_force;
mod membership;
mod publish;
mod reads;
mod spread;

use self::in_force::{CheckRequest, InForceChecks};
use self::reads::ConfigurationReads;
use super::handle::ClusterInput;
use super::view::{ClusterStatus, MemberView};
use crate::clock::Clock;
use crate::configuration::ConfigurationView;
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::platform::StoreClient;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::codec::{GossipCodec, MAXIMUM_PACKET_BYTES};
use tansylead_cluster::membership::{Membership, MembershipEvent};
use tansylead_cluster::spread::{InForceEvent, SpreadEvent, SpreadMachine, SpreadSettings};
use tansylead_types::{InstanceId, Moment, ObjectKey};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Identity of this daemon for the cluster task.
#[derive(Debug, Clone)]
pub struct ClusterIdentity {
    /// The run of the daemon.
    pub instance: InstanceId,
    /// Cluster name.
    pub cluster: String,
}

/// Dependencies of the cluster task.
#[derive(Debug)]
pub struct ClusterParts {
    /// Membership.
    pub membership: Membership,
    /// Configuration spread.
    pub spread: SpreadMachine,
    /// The UDP socket at the peer address.
    pub socket: UdpSocket,
    /// For pulls.
    pub peers: Arc<PeerClient>,
    /// The platform's store.
    pub store: StoreClient,
    /// How long the store may hold a watch request open.
    pub store_watch_wait: Duration,
    /// Time allowed for pulls.
    pub spread_settings: SpreadSettings,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Where the configuration goes.
    pub configuration: watch::Sender<Arc<ConfigurationView>>,
    /// Where the members go.
    pub members: watch::Sender<Arc<MemberView>>,
    /// Where the status goes.
    pub status: watch::Sender<Arc<ClusterStatus>>,
}

/// The task that owns membership and configuration spread.
#[derive(Debug)]
pub struct ClusterDriver {
    identity: ClusterIdentity,
    parts: ClusterParts,
    codec: GossipCodec,
    clock: Clock,
    reads: ConfigurationReads,
    checks: InForceChecks,
    /// The members have changed since they were last published.
    members_changed: bool,
    /// Objects applied since the configuration was last published.
    changed_keys: Vec<ObjectKey>,
    /// When the status is due to be published.
    next_status: Moment,
    /// Another run of the daemon holds this daemon's address.
    replaced: bool,
}

impl ClusterDriver {
    /// A driver with these dependencies.
    pub fn new(identity: ClusterIdentity, parts: ClusterParts) -> Self {
        Self {
            codec: GossipCodec::new(&identity.cluster),
            identity,
            parts,
            clock: Clock,
            reads: ConfigurationReads::new(),
            checks: InForceChecks::new(),
            members_changed: true,
            changed_keys: Vec::new(),
            next_status: Moment::default(),
            replaced: false,
        }
    }

    /// Runs until its task is ended.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<ClusterInput>) {
        let mut buffer = vec![0; MAXIMUM_PACKET_BYTES + 1];
        self.feed_membership(MembershipEvent::Wakeup);
        self.feed_spread(SpreadEvent::Wakeup);
        self.publish();
        loop {
            let wakeup = self.clock.instant_at(self.next_wakeup());
            tokio::select! {
                received = self.parts.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.on_datagram(from, &buffer[..length]);
                    }
                    self.receive_more(&mut buffer);
                }
                input = inputs.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
                Some(ended) = self.reads.next_ended() => self.on_read_ended(ended),
                () = tokio::time::sleep_until(wakeup) => {}
            }
            self.on_timers();
            self.publish();
        }
    }

    fn next_wakeup(&self) -> Moment {
        let wakeups = [
            self.parts.membership.next_wakeup(),
            self.parts.spread.next_wakeup(),
            self.checks.next_wakeup(),
        ];
        wakeups
            .into_iter()
            .flatten()
            .fold(self.next_status, Moment::min)
    }

    fn on_input(&mut self, input: ClusterInput) {
        match input {
            ClusterInput::Leave => self.feed_membership(MembershipEvent::Leave),
            ClusterInput::Exit(reply) => {
                self.feed_membership(MembershipEvent::Exit);
                let _ = reply.send(());
            }
            ClusterInput::MachineList(list) => {
                self.feed_membership(MembershipEvent::MachineList(list));
            }
            ClusterInput::ServePull { after, reply } => {
                if let Ok(list) = self.parts.spread.serve(after) {
                    let _ = reply.send(list);
                }
            }
            ClusterInput::CheckInForce {
                revision,
                limit,
                reply,
            } => self.start_check(CheckRequest {
                revision,
                limit,
                reply,
            }),
        }
    }

    fn on_timers(&mut self) {
        let now = self.clock.now();
        let is_due = |wakeup: Option<Moment>| wakeup.is_some_and(|wakeup| wakeup <= now);
        if is_due(self.parts.membership.next_wakeup()) {
            self.feed_membership(MembershipEvent::Wakeup);
        }
        if is_due(self.parts.spread.next_wakeup()) {
            self.feed_spread(SpreadEvent::Wakeup);
        }
        if is_due(self.checks.next_wakeup()) {
            self.feed_checks(now, &InForceEvent::Wakeup);
        }
    }
}
