//! Checks on which daemons a revision is in force.
//!
//! Invariants: each check has a range of sequence numbers of its own from the upper half, so that a
//! reply goes to the check that sent the query. Membership's probes count up from 0 and do not
//! reach that half in the life of a daemon. A check ends when it has finished or its requester is
//! gone.

use super::ClusterDriver;
use std::time::Duration;
use tansylead_cluster::membership::{MemberRecord, MembershipEvent, Sequence};
use tansylead_cluster::spread::{
    InForceAction, InForceCheck, InForceEvent, InForceReport, InForceSettings,
};
use tansylead_types::Moment;
use tokio::sync::oneshot;

/// The first sequence number of the checks; those below are for membership's probes.
const FIRST_CHECK_SEQUENCE: u32 = 1 << 31;
/// Sequence numbers reserved for one check.
const SEQUENCES_PER_CHECK: u32 = 1 << 16;

/// A check in progress.
#[derive(Debug)]
struct PendingCheck {
    check: InForceCheck,
    reply: oneshot::Sender<InForceReport>,
    first_sequence: u32,
}

/// Parameters of a check.
#[derive(Debug)]
pub(super) struct CheckRequest {
    /// The revision.
    pub(super) revision: u64,
    /// Time allowed.
    pub(super) limit: Duration,
    /// Where the report goes.
    pub(super) reply: oneshot::Sender<InForceReport>,
}

/// All checks in progress.
#[derive(Debug)]
pub(super) struct InForceChecks {
    pending: Vec<PendingCheck>,
    next_sequence: u32,
}

impl InForceChecks {
    /// No check is in progress.
    pub(super) fn new() -> Self {
        Self {
            pending: Vec::new(),
            next_sequence: FIRST_CHECK_SEQUENCE,
        }
    }

    /// When the first timer of the checks is due.
    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        let wakeups = self
            .pending
            .iter()
            .map(|pending| pending.check.next_wakeup());
        wakeups.flatten().min()
    }

    /// Adds a check of these members; it starts at its first event.
    fn add(&mut self, now: Moment, request: CheckRequest, members: Vec<MemberRecord>) {
        let first_sequence = self.reserve_sequences();
        let settings = InForceSettings {
            time_limit: request.limit,
            ..InForceSettings::default()
        };
        let sequence = Sequence(first_sequence);
        self.pending.push(PendingCheck {
            check: InForceCheck::new(now, request.revision, members, settings, sequence),
            reply: request.reply,
            first_sequence,
        });
    }

    /// Reserves the numbers of one check; after the last ones, the first are used again.
    fn reserve_sequences(&mut self) -> u32 {
        let first = self.next_sequence;
        let end = first.wrapping_add(SEQUENCES_PER_CHECK);
        self.next_sequence = end.max(FIRST_CHECK_SEQUENCE);
        first
    }

    /// Feeds an event to the checks it concerns and answers those that end with it.
    fn on_event(&mut self, now: Moment, event: &InForceEvent) -> Vec<InForceAction> {
        let mut all_actions = Vec::new();
        let mut position = 0;
        while position < self.pending.len() {
            let pending = &mut self.pending[position];
            let actions = match concerns_check(event, pending.first_sequence) {
                true => pending.check.on_event(now, event.clone()),
                false => Vec::new(),
            };
            let finished = actions.contains(&InForceAction::Finished);
            all_actions.extend(actions);
            if finished || pending.reply.is_closed() {
                let pending = self.pending.swap_remove(position);
                let _ = pending.reply.send(pending.check.report());
            } else {
                position += 1;
            }
        }
        all_actions
    }
}

impl ClusterDriver {
    /// Starts a check of the running members.
    pub(super) fn start_check(&mut self, request: CheckRequest) {
        let members = self.running_members();
        self.checks.add(self.clock.now(), request, members);
        self.feed_checks(self.clock.now(), &InForceEvent::Wakeup);
    }

    /// Feeds an event to the checks and sends the queries they request.
    pub(super) fn feed_checks(&mut self, now: Moment, event: &InForceEvent) {
        for action in self.checks.on_event(now, event) {
            if let InForceAction::Query { to, sequence } = action {
                self.feed_membership(MembershipEvent::QueryRevision { to, sequence });
            }
        }
    }
}

/// Whether an event concerns the check with these sequence numbers.
fn concerns_check(event: &InForceEvent, first_sequence: u32) -> bool {
    match event {
        InForceEvent::Reply { sequence, .. } => {
            sequence.0.wrapping_sub(first_sequence) < SEQUENCES_PER_CHECK
        }
        InForceEvent::Member(_) | InForceEvent::Wakeup => true,
    }
}
