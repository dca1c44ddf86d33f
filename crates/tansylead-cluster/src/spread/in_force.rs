//! Finds out on which live daemons a revision is in force, by asking each of them.

use crate::membership::{ConfigDigest, MemberRecord, Sequence};
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, NodeId};

/// Pace and limits of one check.
#[derive(Debug, Clone, PartialEq)]
pub struct InForceSettings {
    /// Queries sent per second, repetitions included.
    pub queries_per_second: u32,
    /// A query without reply is repeated after this long.
    pub reply_timeout: Duration,
    /// The check ends after this long with what it knows.
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
        /// Number of the query.
        sequence: Sequence,
        /// Who replied.
        peer: InstanceId,
        /// What it holds.
        digest: ConfigDigest,
    },
    /// A member's state changed while the check runs (from `MembershipAction::Changed`).
    Member(MemberRecord),
    /// The time given by `next_wakeup` has come.
    Wakeup,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InForceAction {
    /// Ask a peer (as `MembershipEvent::QueryRevision`).
    Query {
        /// Peer.
        to: NodeId,
        /// Number the reply must carry.
        sequence: Sequence,
    },
    /// The check has ended; the report is final.
    Finished,
}

/// On which daemons a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InForceReport {
    /// Daemons that hold the revision, by their own word.
    pub confirmed: usize,
    /// Running daemons in the check.
    pub total: usize,
    /// Daemons that replied with an older revision, or not at all.
    pub missing: Vec<NodeId>,
}

/// One check of one revision.
#[derive(Debug)]
pub struct InForceCheck {
    report: InForceReport,
}

impl InForceCheck {
    /// Starts a check of `revision` on `running` members; the asking daemon counts at once.
    pub fn new(
        _now: Moment,
        _revision: u64,
        _local: NodeId,
        _running: Vec<MemberRecord>,
        _settings: InForceSettings,
        _first_sequence: Sequence,
    ) -> Self {
        Self {
            report: InForceReport::default(),
        }
    }

    /// Handles one event.
    pub fn on_event(&mut self, _now: Moment, _event: InForceEvent) -> Vec<InForceAction> {
        Vec::new()
    }

    /// When `Wakeup` is due; none once the check has ended.
    pub fn next_wakeup(&self) -> Option<Moment> {
        None
    }

    /// What is known so far.
    pub fn report(&self) -> InForceReport {
        self.report.clone()
    }
}
