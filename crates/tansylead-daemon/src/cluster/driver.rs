//! The task that owns membership and configuration spread.

use super::handle::ClusterInput;
use super::view::{ClusterStatus, MemberView};
use crate::clock::Clock;
use crate::configuration::ConfigurationView;
use crate::metrics::Metrics;
use crate::peers::{PeerClient, PeerRequest, PeerResponse};
use crate::platform::StoreClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::codec::{GossipCodec, MAXIMUM_PACKET_BYTES};
use tansylead_cluster::membership::{
    GossipPacket, MemberRecord, Membership, MembershipAction, MembershipEvent, Sequence,
};
use tansylead_cluster::spread::{
    InForceAction, InForceCheck, InForceEvent, InForceReport, InForceSettings, Readiness,
    SpreadAction, SpreadEvent, SpreadMachine, SpreadSettings,
};
use tansylead_types::store::ObjectList;
use tansylead_types::{InstanceId, Moment, NodeId, ObjectKey, StepError};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::task::AbortOnDropHandle;

/// Datagrams taken in one go before timers and publications are looked at again.
const PACKETS_PER_TURN: usize = 64;
/// The status is published at least this often.
const STATUS_PERIOD: Duration = Duration::from_millis(500);

/// Who this daemon is, for the cluster task.
#[derive(Debug, Clone)]
pub struct ClusterIdentity {
    /// The run of the daemon.
    pub instance: InstanceId,
    /// Cluster name.
    pub cluster: String,
}

/// What the cluster task works with.
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
    /// A watch of the store is held this long.
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

/// What the task's own reads report back.
#[derive(Debug)]
enum ReadEnded {
    Pull {
        number: u64,
        peer: NodeId,
        after: u64,
        result: Result<ObjectList, StepError>,
    },
    Store {
        number: u64,
        after: u64,
        result: Result<ObjectList, StepError>,
    },
}

/// A read in progress; an answer with another number is dropped.
#[derive(Debug)]
struct OpenRead {
    number: u64,
    _task: AbortOnDropHandle<()>,
}

/// A check of where a revision is in force.
#[derive(Debug)]
struct OpenCheck {
    check: InForceCheck,
    reply: oneshot::Sender<InForceReport>,
    first_sequence: u32,
}

/// The task that owns membership and configuration spread.
#[derive(Debug)]
pub struct ClusterDriver {
    identity: ClusterIdentity,
    parts: ClusterParts,
    codec: GossipCodec,
    clock: Clock,
    next_read: u64,
    pull: Option<OpenRead>,
    store_read: Option<OpenRead>,
    reads_sender: mpsc::UnboundedSender<ReadEnded>,
    reads: mpsc::UnboundedReceiver<ReadEnded>,
    checks: Vec<OpenCheck>,
    next_sequence: u32,
    members_changed: bool,
    changed_keys: Vec<ObjectKey>,
    next_status: Moment,
    replaced: bool,
}

/// Sequence numbers set aside for one in-force check.
const SEQUENCES_PER_CHECK: u32 = 1 << 16;

impl ClusterDriver {
    /// A driver of these parts.
    pub fn new(identity: ClusterIdentity, parts: ClusterParts) -> Self {
        let (reads_sender, reads) = mpsc::unbounded_channel();
        Self {
            codec: GossipCodec::new(&identity.cluster),
            identity,
            parts,
            clock: Clock,
            next_read: 0,
            pull: None,
            store_read: None,
            reads_sender,
            reads,
            checks: Vec::new(),
            // Below are the numbers that membership uses itself.
            next_sequence: 1 << 31,
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
                Some(ended) = self.reads.recv() => self.on_read_ended(ended),
                () = tokio::time::sleep_until(wakeup) => {}
            }
            self.on_timers();
            self.publish();
        }
    }

    fn next_wakeup(&self) -> Moment {
        let checks = self
            .checks
            .iter()
            .filter_map(|open| open.check.next_wakeup());
        let machines = [
            self.parts.membership.next_wakeup(),
            self.parts.spread.next_wakeup(),
        ];
        let wakeups = machines.into_iter().flatten().chain(checks);
        wakeups.fold(self.next_status, Moment::min)
    }

    fn receive_more(&mut self, buffer: &mut [u8]) {
        for _ in 0..PACKETS_PER_TURN {
            match self.parts.socket.try_recv_from(buffer) {
                Ok((length, from)) => self.on_datagram(from, &buffer[..length]),
                Err(_) => return,
            }
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let metrics = &self.parts.metrics;
        metrics.control_bytes("gossip", "in", bytes.len());
        match self.codec.decode(bytes) {
            Ok(packet) => {
                let packet = Box::new(packet);
                self.feed_membership(MembershipEvent::Packet { from, packet });
            }
            Err(error) => {
                let dropped = &metrics.gossip_packets_dropped;
                dropped.with_label_values(&[error.label()]).inc();
            }
        }
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
            } => self.start_check(revision, limit, reply),
        }
    }

    fn on_read_ended(&mut self, ended: ReadEnded) {
        match ended {
            ReadEnded::Pull {
                number,
                peer,
                after,
                result,
            } => {
                if self.pull.as_ref().is_some_and(|open| open.number == number) {
                    self.pull = None;
                    let event = SpreadEvent::PullFinished {
                        peer,
                        after,
                        result,
                    };
                    self.feed_spread(event);
                }
            }
            ReadEnded::Store {
                number,
                after,
                result,
            } => {
                if self
                    .store_read
                    .as_ref()
                    .is_some_and(|open| open.number == number)
                {
                    self.store_read = None;
                    self.note_store(&result);
                    self.feed_spread(SpreadEvent::StoreRead { after, result });
                }
            }
        }
    }

    fn note_store(&self, result: &Result<ObjectList, StepError>) {
        let label = if result.is_ok() { "ok" } else { "error" };
        self.parts
            .metrics
            .store_reads
            .with_label_values(&[label])
            .inc();
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
        if self
            .checks
            .iter()
            .any(|open| is_due(open.check.next_wakeup()))
        {
            self.feed_checks(now, &InForceEvent::Wakeup);
        }
    }

    fn feed_membership(&mut self, event: MembershipEvent) {
        let actions = self.parts.membership.on_event(self.clock.now(), event);
        for action in actions {
            self.perform_membership(action);
        }
    }

    fn perform_membership(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, packet } => self.send(to, &packet),
            MembershipAction::Changed(record) => {
                self.log_change(&record);
                self.members_changed = true;
                let now = self.clock.now();
                self.feed_checks(now, &InForceEvent::Member(record.clone()));
                self.feed_spread(SpreadEvent::Member(record));
            }
            MembershipAction::Forgotten(instance) => {
                self.members_changed = true;
                self.feed_spread(SpreadEvent::MemberForgotten(instance.node));
            }
            MembershipAction::Joined => {
                log::info!("joined the cluster");
                self.members_changed = true;
                self.feed_spread(SpreadEvent::Joined);
            }
            MembershipAction::PlaceReachability { place, reachable } => {
                let state = if reachable {
                    "answers again"
                } else {
                    "does not answer"
                };
                log::warn!("place {place} {state}");
                self.members_changed = true;
            }
            MembershipAction::PeerConfig { peer, digest } => {
                self.feed_spread(SpreadEvent::PeerConfig { peer, digest });
            }
            MembershipAction::RevisionReply {
                sequence,
                peer,
                digest,
            } => {
                let event = InForceEvent::Reply {
                    sequence,
                    peer,
                    digest,
                };
                self.feed_checks(self.clock.now(), &event);
            }
            MembershipAction::Replaced { by } => {
                log::error!("another daemon run holds this daemon's address: {by:?}");
                self.replaced = true;
            }
        }
    }

    fn log_change(&self, record: &MemberRecord) {
        if record.instance != self.identity.instance {
            log::info!(
                "member {} ({}): {:?}",
                record.node(),
                record.place,
                record.state
            );
        }
    }

    fn send(&mut self, to: NodeId, packet: &GossipPacket) {
        match self.codec.encode(packet) {
            Ok(bytes) => {
                self.parts
                    .metrics
                    .control_bytes("gossip", "out", bytes.len());
                // A datagram that cannot be sent now is as good as lost on the way.
                let _ = self.parts.socket.try_send_to(&bytes, to.0);
            }
            Err(error) => {
                let dropped = &self.parts.metrics.gossip_packets_dropped;
                dropped.with_label_values(&[error.label()]).inc();
            }
        }
    }

    fn feed_spread(&mut self, event: SpreadEvent) {
        let actions = self.parts.spread.on_event(self.clock.now(), event);
        for action in actions {
            self.perform_spread(action);
        }
    }

    fn perform_spread(&mut self, action: SpreadAction) {
        match action {
            SpreadAction::Pull { peer, after } => self.start_pull(peer, after),
            SpreadAction::ReadStore { after, hold } => self.start_store_read(after, hold),
            SpreadAction::StopReading => self.store_read = None,
            SpreadAction::Announce { to } => {
                self.feed_membership(MembershipEvent::Announce { to });
            }
            SpreadAction::Applied { keys, digest } => {
                self.changed_keys.extend(keys);
                self.feed_membership(MembershipEvent::Config(digest));
            }
        }
    }

    fn start_pull(&mut self, peer: NodeId, after: u64) {
        let number = self.take_read_number();
        let (peers, ended) = (Arc::clone(&self.parts.peers), self.reads_sender.clone());
        let deadline = self.clock.now() + self.parts.spread_settings.pull_limit(after);
        let task = tokio::spawn(async move {
            let result = pull(&peers, peer, after, deadline).await;
            let _ = ended.send(ReadEnded::Pull {
                number,
                peer,
                after,
                result,
            });
        });
        self.pull = Some(OpenRead {
            number,
            _task: AbortOnDropHandle::new(task),
        });
    }

    fn start_store_read(&mut self, after: u64, hold: bool) {
        let number = self.take_read_number();
        let (store, ended) = (self.parts.store.clone(), self.reads_sender.clone());
        let wait = self.parts.store_watch_wait;
        let task = tokio::spawn(async move {
            let result = match hold {
                true => store.watch(after, wait).await,
                false => store.list(after).await,
            };
            let _ = ended.send(ReadEnded::Store {
                number,
                after,
                result,
            });
        });
        self.store_read = Some(OpenRead {
            number,
            _task: AbortOnDropHandle::new(task),
        });
    }

    fn take_read_number(&mut self) -> u64 {
        self.next_read += 1;
        self.next_read
    }

    fn start_check(
        &mut self,
        revision: u64,
        limit: Duration,
        reply: oneshot::Sender<InForceReport>,
    ) {
        let first_sequence = self.next_sequence;
        let end = first_sequence.wrapping_add(SEQUENCES_PER_CHECK);
        self.next_sequence = end.max(1 << 31);
        let settings = InForceSettings {
            time_limit: limit,
            ..InForceSettings::default()
        };
        let check = InForceCheck::new(
            self.clock.now(),
            revision,
            self.running(),
            settings,
            Sequence(first_sequence),
        );
        self.checks.push(OpenCheck {
            check,
            reply,
            first_sequence,
        });
        self.feed_checks(self.clock.now(), &InForceEvent::Wakeup);
    }

    fn feed_checks(&mut self, now: Moment, event: &InForceEvent) {
        let mut queries = Vec::new();
        let mut position = 0;
        while position < self.checks.len() {
            let open = &mut self.checks[position];
            let actions = match is_for(event, open.first_sequence) {
                true => open.check.on_event(now, event.clone()),
                false => Vec::new(),
            };
            let finished = actions.contains(&InForceAction::Finished);
            queries.extend(actions);
            if finished || open.reply.is_closed() {
                let open = self.checks.swap_remove(position);
                let _ = open.reply.send(open.check.report());
            } else {
                position += 1;
            }
        }
        for action in queries {
            if let InForceAction::Query { to, sequence } = action {
                self.feed_membership(MembershipEvent::QueryRevision { to, sequence });
            }
        }
    }

    fn running(&self) -> Vec<MemberRecord> {
        let members = self.parts.membership.members();
        members
            .filter(|member| member.state.is_running())
            .cloned()
            .collect()
    }

    /// Tells the rest of the daemon what has changed.
    fn publish(&mut self) {
        if std::mem::take(&mut self.members_changed) {
            let joined = self.parts.membership.is_joined();
            let mut present = self.running();
            present.retain(|member| self.parts.membership.is_reachable(&member.place));
            let view = self.parts.members.borrow().next(present, joined);
            self.parts.members.send_replace(Arc::new(view));
            self.next_status = Moment::default();
        }
        if !self.changed_keys.is_empty() {
            self.publish_configuration();
            self.next_status = Moment::default();
        }
        let now = self.clock.now();
        if self.next_status <= now {
            self.next_status = now + STATUS_PERIOD;
            self.publish_status();
        }
    }

    fn publish_configuration(&mut self) {
        let mut next = ConfigurationView::clone(&self.parts.configuration.borrow());
        for key in std::mem::take(&mut self.changed_keys) {
            if let Some(stored) = self.parts.spread.replica().get(&key) {
                next.put(stored);
            }
        }
        log::info!("configuration in force: revision {}", next.revision());
        self.parts.configuration.send_replace(Arc::new(next));
    }

    fn publish_status(&self) {
        let not_ready = match self.parts.spread.readiness() {
            Readiness::Ready => None,
            Readiness::NotReady(reason) => Some(reason),
        };
        let status = ClusterStatus {
            not_ready,
            store: self.parts.spread.store_state().clone(),
            running: self.parts.membership.running_count(),
            counters: self.parts.membership.counters(),
            replaced: self.replaced,
        };
        self.parts.status.send_replace(Arc::new(status));
    }
}

/// Whether an event concerns the check with these sequence numbers.
fn is_for(event: &InForceEvent, first_sequence: u32) -> bool {
    match event {
        InForceEvent::Reply { sequence, .. } => {
            sequence.0.wrapping_sub(first_sequence) < SEQUENCES_PER_CHECK
        }
        InForceEvent::Member(_) | InForceEvent::Wakeup => true,
    }
}

async fn pull(
    peers: &PeerClient,
    peer: NodeId,
    after: u64,
    deadline: Moment,
) -> Result<ObjectList, StepError> {
    const STEP: &str = "pull configuration";
    let request = PeerRequest::PullConfiguration { after };
    match peers.call(peer, request, deadline).await {
        Ok(PeerResponse::Configuration(list)) => Ok(list),
        Ok(_) => Err(StepError::new(STEP, peer, "the peer is busy")),
        Err(error) => Err(StepError::new(STEP, peer, error)),
    }
}
