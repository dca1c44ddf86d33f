//! Checks on which running daemons a revision is in force, by querying each of them.
//!
//! Holding a revision means that everything up to it was received, not that each write was applied:
//! after the store was restored from a backup, a write may lose against a higher generation that
//! daemons hold. Before a check the driver must verify that its own replica holds the change.

use crate::membership::{ConfigDigest, MemberRecord, Sequence};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, NodeId};

/// Number of batches per second in which queries are sent.
const BATCHES_PER_SECOND: u32 = 20;

/// Rate and time limits of one check.
#[derive(Debug, Clone, PartialEq)]
pub struct InForceSettings {
    /// Queries sent per second, including retries.
    pub queries_per_second: u32,
    /// A query without a reply is retried after this time.
    pub reply_timeout: Duration,
    /// The check ends after this time with the replies received so far.
    pub time_limit: Duration,
}

impl Default for InForceSettings {
    fn default() -> Self {
        Self {
            queries_per_second: 200,
            reply_timeout: Duration::from_millis(500),
            time_limit: Duration::from_secs(30),
        }
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum InForceEvent {
    /// A daemon replied (from `MembershipAction::RevisionReply`).
    Reply {
        /// Sequence number of the query.
        sequence: Sequence,
        /// Sender of the reply.
        peer: InstanceId,
        /// What it holds.
        digest: ConfigDigest,
    },
    /// The record of a member changed while the check runs (from `MembershipAction::Changed`).
    Member(MemberRecord),
    /// The time returned by `next_wakeup` has been reached.
    Wakeup,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InForceAction {
    /// Query a peer (as `MembershipEvent::QueryRevision`).
    Query {
        /// Peer.
        to: NodeId,
        /// Sequence number that the reply must carry.
        sequence: Sequence,
    },
    /// The check has ended; the report is final.
    Finished,
}

/// On which daemons a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InForceReport {
    /// Number of daemons that replied that they hold the revision.
    pub confirmed: usize,
    /// Number of running daemons in the check.
    pub total: usize,
    /// Daemons that replied with an older revision, or not at all.
    pub missing: Vec<NodeId>,
}

#[derive(Debug)]
struct Target {
    boot: u64,
    confirmed: bool,
}

/// One check of one revision.
#[derive(Debug)]
pub struct InForceCheck {
    settings: InForceSettings,
    revision: u64,
    sequence: Sequence,
    targets: BTreeMap<NodeId, Target>,
    unconfirmed: usize,
    /// Time of the next query to each unconfirmed daemon, in order of time.
    queue: VecDeque<(Moment, NodeId)>,
    deadline: Moment,
    next_batch: Moment,
    finished: bool,
}

impl InForceCheck {
    /// Starts a check of `revision` on the running members, including this daemon. `sequence` must
    /// differ from that of every other check in progress.
    pub fn new(
        now: Moment,
        revision: u64,
        running: impl IntoIterator<Item = MemberRecord>,
        settings: InForceSettings,
        sequence: Sequence,
    ) -> Self {
        let deadline = now + settings.time_limit;
        let mut check = Self {
            settings,
            revision,
            sequence,
            targets: BTreeMap::new(),
            unconfirmed: 0,
            queue: VecDeque::new(),
            deadline,
            next_batch: now,
            finished: false,
        };
        for member in running {
            check.update_member(now, &member);
        }
        check
    }

    /// Handles one event.
    pub fn on_event(&mut self, now: Moment, event: InForceEvent) -> Vec<InForceAction> {
        if self.finished {
            return Vec::new();
        }
        match event {
            InForceEvent::Reply {
                sequence,
                peer,
                digest,
            } => self.on_reply(sequence, peer, digest),
            InForceEvent::Member(member) => self.update_member(now, &member),
            InForceEvent::Wakeup => {}
        }
        let mut actions = self.send_batch(now);
        if self.unconfirmed == 0 || now >= self.deadline {
            self.finished = true;
            actions.push(InForceAction::Finished);
        }
        actions
    }

    /// Time at which `Wakeup` is due; `None` once the check has ended.
    pub fn next_wakeup(&self) -> Option<Moment> {
        if self.finished {
            return None;
        }
        let next_query = self.queue.front().map(|(due, _)| *due);
        let next_batch = next_query.map(|due| due.max(self.next_batch));
        Some(next_batch.map_or(self.deadline, |batch| batch.min(self.deadline)))
    }

    /// The result so far.
    pub fn report(&self) -> InForceReport {
        let missing: Vec<NodeId> = self
            .targets
            .iter()
            .filter(|(_, target)| !target.confirmed)
            .map(|(node, _)| *node)
            .collect();
        InForceReport {
            confirmed: self.targets.len() - missing.len(),
            total: self.targets.len(),
            missing,
        }
    }

    fn on_reply(&mut self, sequence: Sequence, peer: InstanceId, digest: ConfigDigest) {
        let Some(target) = self.targets.get_mut(&peer.node) else {
            return;
        };
        let is_awaited = sequence == self.sequence && target.boot == peer.boot && !target.confirmed;
        if is_awaited && digest.revision >= self.revision {
            target.confirmed = true;
            self.unconfirmed -= 1;
        }
    }

    /// Updates the targets: a member that stops running is removed, a restarted daemon is queried
    /// again.
    fn update_member(&mut self, now: Moment, member: &MemberRecord) {
        let node = member.node();
        let boot = member.instance.boot;
        let known = self.targets.get(&node);
        if member.state.is_running() && known.is_some_and(|target| target.boot == boot) {
            return;
        }
        if let Some(target) = self.targets.remove(&node)
            && !target.confirmed
        {
            self.unconfirmed -= 1;
        }
        if member.state.is_running() {
            let confirmed = false;
            self.targets.insert(node, Target { boot, confirmed });
            self.unconfirmed += 1;
            self.queue.push_front((now, node));
        }
    }

    fn send_batch(&mut self, now: Moment) -> Vec<InForceAction> {
        let mut actions = Vec::new();
        if now < self.next_batch {
            return actions;
        }
        let batch = (self.settings.queries_per_second / BATCHES_PER_SECOND).max(1) as usize;
        while actions.len() < batch
            && let Some((due, node)) = self.queue.front().copied()
            && due <= now
        {
            self.queue.pop_front();
            if self
                .targets
                .get(&node)
                .is_some_and(|target| !target.confirmed)
            {
                let sequence = self.sequence;
                actions.push(InForceAction::Query { to: node, sequence });
                let retry_at = now + self.settings.reply_timeout;
                self.queue.push_back((retry_at, node));
            }
        }
        if !actions.is_empty() {
            self.next_batch = now + Duration::from_secs(1) / BATCHES_PER_SECOND;
        }
        actions
    }
}
