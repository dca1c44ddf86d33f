//! The membership state machine: state, public interface, and sending of packets.

use super::event::{MembershipAction, MembershipEvent};
use super::limits::{ByteLimit, EventLimit};
use super::member::{LocalMember, MemberRecord, MemberState};
use super::packet::{ConfigDigest, GossipMessage, GossipPacket};
use super::places::RemotePlaces;
use super::probes::{ProbeOrder, ProbeTable};
use super::settings::MembershipSettings;
use super::sizes::{packet_budget, record_bytes};
use super::sync::SyncState;
use super::table::MemberTable;
use super::timers::TimerQueue;
use super::updates::UpdateQueue;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_types::store::{MachineList, MachineState};
use tansylead_types::{Moment, NodeId, PlaceName};

/// A wakeup delayed by more than this means that the process was suspended or starved of CPU.
const PAUSE_TOLERANCE: Duration = Duration::from_secs(1);

/// Timers. A handler checks whether its timer still applies.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Probe,
    Gossip,
    Sync,
    FailedProbe,
    RemoteProbe(PlaceName),
    DirectTimeout(super::packet::Sequence),
    ProbeTimeout(super::packet::Sequence),
    Suspicion {
        node: NodeId,
        boot: u64,
        incarnation: u64,
    },
    Expiry {
        node: NodeId,
        boot: u64,
        incarnation: u64,
    },
}

/// Counters for metrics; all of them only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MembershipCounters {
    /// Packets passed to the driver for sending.
    pub packets_sent: u64,
    /// Packets accepted.
    pub packets_received: u64,
    /// Packets dropped because their source address was not the sender's.
    pub sender_mismatches: u64,
    /// Packets dropped because a later run of the sender is known.
    pub stale_instances: u64,
    /// Suspicions raised by this daemon.
    pub suspicions_raised: u64,
    /// Records about itself that this daemon refuted.
    pub refutations: u64,
    /// Detected suspensions of this process.
    pub pauses: u64,
    /// Requests for summaries and pages refused by the rate limits.
    pub sync_refused: u64,
    /// Table comparisons with peers started.
    pub comparisons_started: u64,
}

/// Membership as one daemon sees it.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) local: MemberRecord,
    pub(super) seeds: Vec<NodeId>,
    pub(super) listed_nodes: Vec<NodeId>,
    leaving_nodes: BTreeSet<NodeId>,
    pub(super) table: MemberTable,
    pub(super) updates: UpdateQueue,
    pub(super) probes: ProbeTable,
    pub(super) probe_order: ProbeOrder,
    pub(super) places: RemotePlaces,
    pub(super) sync: SyncState,
    pub(super) summary_limit: EventLimit,
    pub(super) bulk_limit: ByteLimit,
    pub(super) correction_limit: EventLimit,
    pub(super) update_limit: ByteLimit,
    pub(super) matching_packets: u32,
    pub(super) timers: TimerQueue<Timer>,
    pub(super) sync_due: Moment,
    pub(super) gossip_scheduled: bool,
    pub(super) config: ConfigDigest,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) counters: MembershipCounters,
    pub(super) replaced: bool,
}

impl Membership {
    /// A daemon that knows nobody but its seeds. `seed` initializes the random generator.
    pub fn new(
        now: Moment,
        local: LocalMember,
        seeds: Vec<NodeId>,
        settings: MembershipSettings,
        seed: u64,
    ) -> Self {
        let local = local.record();
        let seeds: Vec<NodeId> = seeds
            .into_iter()
            .filter(|seed| *seed != local.node())
            .collect();
        let joined = seeds.is_empty() && !settings.expect_machine_list;
        let mut table = MemberTable::default();
        table.apply(&local);
        let mut membership = Self {
            local,
            seeds,
            listed_nodes: Vec::new(),
            leaving_nodes: BTreeSet::new(),
            table,
            updates: UpdateQueue::default(),
            probes: ProbeTable::default(),
            probe_order: ProbeOrder::default(),
            places: RemotePlaces::default(),
            sync: SyncState::new(joined),
            summary_limit: EventLimit::default(),
            bulk_limit: ByteLimit::new(now, settings.bulk_bytes_per_second),
            correction_limit: EventLimit::default(),
            update_limit: ByteLimit::new(now, settings.update_bytes_per_second),
            timers: TimerQueue::new(),
            matching_packets: 0,
            sync_due: now,
            gossip_scheduled: false,
            config: ConfigDigest::default(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            counters: MembershipCounters::default(),
            replaced: false,
            settings,
        };
        membership.schedule_first_timers(now);
        membership
    }

    /// Handles one event.
    pub fn on_event(&mut self, now: Moment, event: MembershipEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.compensate_for_pause(now);
        match event {
            MembershipEvent::Packet { from, packet } => {
                self.receive(now, from, *packet, &mut actions);
            }
            MembershipEvent::Wakeup => {}
            MembershipEvent::Leave => self.leave(now, MemberState::Leaving, &mut actions),
            MembershipEvent::Exit => self.leave(now, MemberState::Left, &mut actions),
            MembershipEvent::MachineList(list) => self.apply_machine_list(list, &mut actions),
            MembershipEvent::Config(digest) => self.config = digest,
            MembershipEvent::Announce { to } => {
                for peer in to {
                    self.send(now, peer, GossipMessage::Announce, &mut actions);
                }
            }
            MembershipEvent::QueryRevision { to, sequence } if to == self.local.node() => {
                actions.push(MembershipAction::RevisionReply {
                    sequence,
                    peer: self.local.instance,
                    digest: self.config,
                });
            }
            MembershipEvent::QueryRevision { to, sequence } => {
                self.send(
                    now,
                    to,
                    GossipMessage::RevisionQuery(sequence),
                    &mut actions,
                );
            }
        }
        self.run_timers(now, &mut actions);
        actions
    }

    /// Time at which `Wakeup` is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.timers.next()
    }

    /// All members in the table, this daemon included, ordered by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.records()
    }

    /// Members that may be given new work: alive or suspect, in a reachable place.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members()
            .filter(|member| member.state.takes_work() && self.is_reachable(&member.place))
    }

    /// Number of running members, this daemon included.
    pub fn running_count(&self) -> usize {
        self.table.running().len()
    }

    /// The record of a node.
    pub fn member(&self, node: NodeId) -> Option<&MemberRecord> {
        self.table.get(node)
    }

    /// This daemon's own record.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Whether this daemon reaches a place; its own always counts as reachable.
    pub fn is_reachable(&self, place: &PlaceName) -> bool {
        self.places.is_reachable(place)
    }

    /// Whether the machine list says that the machine at this address is about to leave.
    pub fn is_listed_as_leaving(&self, node: NodeId) -> bool {
        self.leaving_nodes.contains(&node)
    }

    /// Whether the table was filled from peers, or there is nobody to join.
    pub fn is_joined(&self) -> bool {
        self.sync.joined
    }

    /// Counters for metrics.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Sends a message, with the receiver's record if the receiver should refute it, and with
    /// queued updates.
    pub(super) fn send(
        &mut self,
        now: Moment,
        to: NodeId,
        message: GossipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut budget = packet_budget(&self.local);
        let mut updates = Vec::new();
        if let Some(record) = self.refutable_record(to) {
            budget = budget.saturating_sub(record_bytes(record));
            updates.push(record.clone());
        }
        budget = budget.min(self.update_limit.available(now));
        budget = budget.min(self.bulk_limit.available(now));
        let limit = self.transmission_limit();
        let queued = self.updates.take(&self.table, budget, limit);
        let bytes = queued.iter().map(record_bytes).sum();
        self.update_limit.spend(bytes);
        self.bulk_limit.spend(bytes);
        updates.extend(queued);
        self.send_with(to, message, updates, actions);
    }

    /// Sends a message with exactly these records.
    pub(super) fn send_with(
        &mut self,
        to: NodeId,
        message: GossipMessage,
        updates: Vec<MemberRecord>,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.counters.packets_sent += 1;
        let packet = Box::new(GossipPacket {
            sender: self.local.clone(),
            config: self.config,
            members_hash: self.table.hash(),
            message,
            updates,
        });
        actions.push(MembershipAction::Send { to, packet });
    }

    fn apply_machine_list(&mut self, list: MachineList, actions: &mut Vec<MembershipAction>) {
        self.leaving_nodes.clear();
        self.listed_nodes.clear();
        for machine in list.machines {
            let node = NodeId(machine.address);
            match machine.state {
                MachineState::Leaving => {
                    self.leaving_nodes.insert(node);
                }
                MachineState::Live if node != self.local.node() => self.listed_nodes.push(node),
                MachineState::Live => {}
            }
        }
        let has_nobody_to_join = self.seeds.is_empty() && self.listed_nodes.is_empty();
        if has_nobody_to_join && !self.sync.joined {
            self.sync.joined = true;
            actions.push(MembershipAction::Joined);
        }
    }

    fn compensate_for_pause(&mut self, now: Moment) {
        let Some(due) = self.timers.next() else {
            return;
        };
        let late = now.since(due);
        if late > PAUSE_TOLERANCE {
            self.counters.pauses += 1;
            self.timers.delay_all(late);
        }
    }
}
