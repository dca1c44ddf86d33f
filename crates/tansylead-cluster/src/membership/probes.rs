//! Open probes, including those relayed for others, and the order in which members of the place are
//! probed.

use super::packet::Sequence;
use super::table::MemberTable;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use tansylead_types::{InstanceId, NodeId, PlaceName};

/// Purpose of a probe, and what a missing acknowledgement means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ProbeKind {
    /// Member of the own place: it becomes suspect.
    Local,
    /// Member of another place: counts as one failure of that place.
    Remote(PlaceName),
    /// Failed member, or a machine that may not be a daemon: no effect.
    Failed,
    /// Sent for another daemon, to which the acknowledgement is relayed: no effect.
    Relayed {
        /// Daemon that requested the probe.
        requester: NodeId,
        /// Sequence number of its request.
        sequence: Sequence,
    },
}

/// A probe that awaits an acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Probe {
    pub(super) target: InstanceId,
    pub(super) kind: ProbeKind,
}

/// Probes that await an acknowledgement, by sequence number.
#[derive(Debug, Default)]
pub(super) struct ProbeTable {
    probes: BTreeMap<Sequence, Probe>,
    next: u32,
}

impl ProbeTable {
    pub(super) fn start(&mut self, probe: Probe) -> Sequence {
        let sequence = Sequence(self.next);
        self.next = self.next.wrapping_add(1);
        self.probes.insert(sequence, probe);
        sequence
    }

    pub(super) fn get(&self, sequence: Sequence) -> Option<&Probe> {
        self.probes.get(&sequence)
    }

    pub(super) fn finish(&mut self, sequence: Sequence) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    pub(super) fn len(&self) -> usize {
        self.probes.len()
    }
}

/// A shuffled list of the place's members, probed to the end before it is shuffled again, so that
/// every member is probed within two rounds.
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    remaining: Vec<NodeId>,
}

impl ProbeOrder {
    /// The next running member of the place other than this daemon.
    pub(super) fn next(
        &mut self,
        table: &MemberTable,
        place: &PlaceName,
        local: NodeId,
        random: &mut impl Rng,
    ) -> Option<NodeId> {
        let members = table.place(place)?;
        for _ in 0..2 {
            while let Some(node) = self.remaining.pop() {
                if node != local && members.running.contains(node) {
                    return Some(node);
                }
            }
            self.remaining = members.running.as_slice().to_vec();
            self.remaining.shuffle(random);
        }
        None
    }
}
