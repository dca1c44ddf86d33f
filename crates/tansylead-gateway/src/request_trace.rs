//! The decisions of one request, recorded while it runs.
//!
//! A query over many shards makes two decisions for each healthy part, which explain nothing. So when
//! the first attempt of a part is answered without other decisions on it, its decisions are dropped; only the
//! last such part is kept, since it may be what the answer waited for. The rest is bounded, and decisions on
//! parts that went wrong replace those on parts that are merely open.

use crate::clock::Clock;
use crate::leaf::LeafState;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::Stage;
use tansylead_types::{Moment, ServiceName};

/// Maximum number of decisions recorded for one request.
pub const MAXIMUM_DECISIONS: usize = 128;

/// Why an attempt was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReason {
    /// It is the first attempt.
    First,
    /// The previous one was overdue.
    Hedge,
    /// The previous one failed.
    Retry,
    /// The previous one reached no leaf.
    NotSent,
}

impl AttemptReason {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::NotSent => "not_sent",
        }
    }
}

/// Why a further attempt was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// The route allows no more attempts.
    Attempts,
    /// The budget of extra attempts is used up.
    Budget,
    /// All leafs were tried.
    NoLeaf,
    /// Every leaf that was not tried has stopped answering as well.
    NoHealthyLeaf,
    /// The time limit of the request has passed.
    End,
    /// Leafs end under the request: it is sent to one at a time.
    OneAtATime,
    /// Leafs ended under the request: it is sent to none.
    Quarantined,
}

impl DenialReason {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::NoLeaf => "no_leaf",
            Self::NoHealthyLeaf => "no_sound_leaf",
            Self::End => "end",
            Self::OneAtATime => "one_at_a_time",
            Self::Quarantined => "quarantined",
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEndKind {
    /// The leaf answered.
    Answered,
    /// The leaf says that it did not run the request.
    Refused,
    /// Nothing was written to a connection.
    NotSent,
    /// The leaf may have run the request, but gave no answer.
    Failed,
    /// Like `Failed`: the connection ended during the request.
    Lost,
    /// The answer belonged to another request.
    Mismatched,
    /// The leaf answered, but there was no memory for the answer.
    NoMemory,
}

impl AttemptEndKind {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::NotSent => "not_sent",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Mismatched => "foreign",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Details of the end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndCause {
    /// The status of a leaf's answer.
    Status(StatusCode),
    /// What went wrong.
    Error(String),
}

impl fmt::Display for EndCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => status.fmt(formatter),
            Self::Error(error) => formatter.write_str(error),
        }
    }
}

/// One decision or event of a request.
#[derive(Debug)]
pub enum Decision {
    /// An attempt was started.
    Started {
        /// Leaf.
        leaf: Rc<LeafState>,
        /// Why.
        reason: AttemptReason,
        /// After this time its answer is overdue.
        overdue: Duration,
        /// The stage of the trial whose target is the version of the leaf; none if there is no such trial.
        trial: Option<Stage>,
    },
    /// An attempt ended.
    Ended {
        /// Leaf.
        leaf: Rc<LeafState>,
        /// How it ended.
        end: AttemptEndKind,
        /// Details of the end.
        cause: EndCause,
        /// Time since its start.
        took: Duration,
    },
    /// An answer is overdue.
    Overdue {
        /// Leaf.
        leaf: Rc<LeafState>,
        /// Whether the request was written to a connection; if not, it still waits for one.
        is_sent: bool,
    },
    /// Another attempt was not started.
    Denied {
        /// Why.
        reason: DenialReason,
    },
}

impl Decision {
    fn is_first_start(&self) -> bool {
        let reason = AttemptReason::First;
        matches!(self, Self::Started { reason: started, .. } if *started == reason)
    }

    fn is_good_answer(&self) -> bool {
        match self {
            Self::Ended {
                end: AttemptEndKind::Answered,
                cause: EndCause::Status(status),
                ..
            } => status.is_success(),
            _ => false,
        }
    }
}

/// A decision with its time and service.
#[derive(Debug)]
pub struct TracedDecision {
    /// When it was made.
    pub at: Moment,
    /// Service of the part.
    pub service: ServiceName,
    /// The decision.
    pub decision: Decision,
}

/// What a part of a request waited for when the request ended, or before a late answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartWait {
    /// An answer that was not overdue.
    Answer,
    /// A connection to a leaf.
    Connection,
    /// An overdue answer, with another attempt in progress.
    SecondAnswer,
    /// An overdue answer; the attempts of the route were used up.
    Attempts,
    /// An overdue answer; the budget of extra attempts was used up.
    Budget,
    /// No leaf was left to try.
    NoLeaf,
    /// Every other leaf had stopped answering as well.
    NoHealthyLeaf,
    /// The time limit of the request had passed.
    End,
    /// Leafs ended under the request, and it was sent to one at a time.
    OneAtATime,
    /// Leafs ended under the request, and it was sent to no more.
    Quarantined,
    /// A leaf failed or refused, and no attempt followed.
    Failure,
}

impl PartWait {
    /// Name, for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Connection => "connection",
            Self::SecondAnswer => "second_answer",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::NoLeaf => "no_leaf",
            Self::NoHealthyLeaf => "no_sound_leaf",
            Self::End => "end",
            Self::OneAtATime => "one_at_a_time",
            Self::Quarantined => "quarantined",
            Self::Failure => "failure",
        }
    }

    /// What the part waits for after a decision, if the decision changes that.
    fn after(decision: &Decision) -> Option<Self> {
        match decision {
            Decision::Started { reason, .. } => Some(match reason {
                AttemptReason::First => Self::Answer,
                AttemptReason::NotSent => Self::Connection,
                AttemptReason::Hedge | AttemptReason::Retry => Self::SecondAnswer,
            }),
            Decision::Overdue { is_sent: false, .. } => Some(Self::Connection),
            Decision::Overdue { is_sent: true, .. } => Some(Self::SecondAnswer),
            Decision::Denied { reason } => Some(match reason {
                DenialReason::Attempts => Self::Attempts,
                DenialReason::Budget => Self::Budget,
                DenialReason::NoLeaf => Self::NoLeaf,
                DenialReason::NoHealthyLeaf => Self::NoHealthyLeaf,
                DenialReason::End => Self::End,
                DenialReason::OneAtATime => Self::OneAtATime,
                DenialReason::Quarantined => Self::Quarantined,
            }),
            Decision::Ended { .. } if decision.is_good_answer() => None,
            Decision::Ended { .. } => Some(Self::Failure),
        }
    }
}

/// The decisions of one request.
#[derive(Debug, Default)]
pub struct RequestTrace {
    decisions: RefCell<Vec<TracedDecision>>,
    /// The start and the end of the last part that was answered without other decisions on it.
    last_healthy: RefCell<Option<[TracedDecision; 2]>>,
    omitted: Cell<usize>,
    /// The daemon that ran the query for this one.
    root: Cell<Option<SocketAddr>>,
}

impl RequestTrace {
    /// Records which daemon runs the query for this one.
    pub fn set_root(&self, root: SocketAddr) {
        self.root.set(Some(root));
    }

    /// Records that this daemon runs the query itself after all.
    pub fn clear_root(&self) {
        self.root.set(None);
    }

    /// The daemon that ran the query for this one; none if this one did.
    pub fn root(&self) -> Option<SocketAddr> {
        self.root.get()
    }

    /// Records a decision.
    pub fn record(&self, service: &ServiceName, decision: Decision) {
        let traced = TracedDecision {
            at: Clock.now(),
            service: service.clone(),
            decision,
        };
        let mut decisions = self.decisions.borrow_mut();
        if traced.decision.is_good_answer()
            && let Some(start) = only_start(&decisions, service)
        {
            let start = decisions.remove(start);
            *self.last_healthy.borrow_mut() = Some([start, traced]);
            return;
        }
        if decisions.len() >= MAXIMUM_DECISIONS {
            self.omitted.set(self.omitted.get() + 1);
            match replaceable(&decisions) {
                Some(index) if !traced.decision.is_first_start() => {
                    decisions.remove(index);
                }
                _ => return,
            }
        }
        decisions.push(traced);
    }

    /// Number of recorded decisions, and of those left out because there were too many. Decisions of healthy parts
    /// that were dropped are not counted.
    pub fn count(&self) -> usize {
        let healthy = self
            .last_healthy
            .borrow()
            .as_ref()
            .map_or(0, |pair| pair.len());
        self.decisions.borrow().len() + healthy + self.omitted.get()
    }

    /// Passes the recorded decisions to `visit`, in order for each part.
    pub fn for_each(&self, mut visit: impl FnMut(&TracedDecision)) {
        self.last_healthy
            .borrow()
            .iter()
            .flatten()
            .for_each(&mut visit);
        self.decisions.borrow().iter().for_each(visit);
    }

    /// What the parts that went wrong or are open waited for, with the number of parts for each.
    pub fn waits(&self) -> Vec<(PartWait, usize)> {
        let mut parts: Vec<(ServiceName, PartWait)> = Vec::new();
        for traced in self.decisions.borrow().iter() {
            let Some(wait) = PartWait::after(&traced.decision) else {
                continue;
            };
            match parts
                .iter_mut()
                .find(|(service, _)| *service == traced.service)
            {
                Some((_, last)) => *last = wait,
                None => parts.push((traced.service.clone(), wait)),
            }
        }
        let mut counts: Vec<(PartWait, usize)> = Vec::new();
        for (_, wait) in parts {
            match counts.iter_mut().find(|(counted, _)| *counted == wait) {
                Some((_, count)) => *count += 1,
                None => counts.push((wait, 1)),
            }
        }
        counts.sort();
        counts
    }
}

/// Index of the start of a part's first attempt, if nothing else was decided on that part.
fn only_start(decisions: &[TracedDecision], service: &ServiceName) -> Option<usize> {
    let mut own = decisions
        .iter()
        .enumerate()
        .filter(|(_, traced)| traced.service == *service);
    let (index, traced) = own.next()?;
    let is_only = own.next().is_none();
    (is_only && traced.decision.is_first_start()).then_some(index)
}

/// Index of the only decision on a part that was merely started; it can be replaced.
fn replaceable(decisions: &[TracedDecision]) -> Option<usize> {
    decisions
        .iter()
        .position(|traced| only_start(decisions, &traced.service).is_some())
}
