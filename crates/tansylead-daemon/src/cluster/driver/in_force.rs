//! The checks of where a revision is in force.
//!
//! Invariants: each check has a range of sequence numbers of its own from the upper half, so that
//! a reply goes to the check that asked. Membership's probes count up from 0 and do not get there
//! in the life of a daemon. A check ends when it has finished or its asker is gone.

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
/// Sequence numbers set aside for one check.
const SEQUENCES_PER_CHECK: u32 = 1 << 16;

/// A check in progress.
#[derive(Debug)]
struct OpenCheck {
    check: InForceCheck,
    reply: oneshot::Sender<InForceReport>,
    first_sequence: u32,
}

/// What a check is asked.
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
    open: Vec<OpenCheck>,
    next_sequence: u32,
}

impl InForceChecks {
    /// No check is in progress.
    pub(super) fn new() -> Self {
        Self {
            open: Vec::new(),
            next_sequence: FIRST_CHECK_SEQUENCE,
        }
    }

    /// When the first check wants to be woken.
    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        let wakeups = self.open.iter().map(|open| open.check.next_wakeup());
        wakeups.flatten().min()
    }

    /// Adds a check among these members; it acts at its first event.
    fn add(&mut self, now: Moment, request: CheckRequest, members: Vec<MemberRecord>) {
        let first_sequence = self.take_sequences();
        let settings = InForceSettings {
            time_limit: request.limit,
            ..InForceSettings::default()
        };
        let sequence = Sequence(first_sequence);
        self.open.push(OpenCheck {
            check: InForceCheck::new(now, request.revision, members, settings, sequence),
            reply: request.reply,
            first_sequence,
        });
    }

    /// Sets aside the numbers of one check; after the last ones the first are used again.
    fn take_sequences(&mut self) -> u32 {
        let first = self.next_sequence;
        let end = first.wrapping_add(SEQUENCES_PER_CHECK);
        self.next_sequence = end.max(FIRST_CHECK_SEQUENCE);
        first
    }

    /// Feeds an event to the checks it concerns and answers those that end with it.
    fn on_event(&mut self, now: Moment, event: &InForceEvent) -> Vec<InForceAction> {
        let mut all_actions = Vec::new();
        let mut position = 0;
        while position < self.open.len() {
            let open = &mut self.open[position];
            let actions = match is_for(event, open.first_sequence) {
                true => open.check.on_event(now, event.clone()),
                false => Vec::new(),
            };
            let finished = actions.contains(&InForceAction::Finished);
            all_actions.extend(actions);
            if finished || open.reply.is_closed() {
                let open = self.open.swap_remove(position);
                let _ = open.reply.send(open.check.report());
            } else {
                position += 1;
            }
        }
        all_actions
    }
}

impl ClusterDriver {
    /// Starts a check among the members that run.
    pub(super) fn start_check(&mut self, request: CheckRequest) {
        let members = self.running_members();
        self.checks.add(self.clock.now(), request, members);
        self.feed_checks(self.clock.now(), &InForceEvent::Wakeup);
    }

    /// Feeds an event to the checks and sends the queries they ask for.
    pub(super) fn feed_checks(&mut self, now: Moment, event: &InForceEvent) {
        for action in self.checks.on_event(now, event) {
            if let InForceAction::Query { to, sequence } = action {
                self.feed_membership(MembershipEvent::QueryRevision { to, sequence });
            }
        }
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
