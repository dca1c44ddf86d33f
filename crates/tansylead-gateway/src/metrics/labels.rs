//! Label values of counters.

/// Input that could not be parsed, and was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadInput {
    /// A caller sent bytes that are not a request; its connection is closed.
    CallerBytes,
    /// A caller's time limit is not a number; the request is served without it.
    CallerTime,
    /// An entry of the source is malformed or cannot be used.
    SourceEntry,
}

impl BadInput {
    /// Name, for metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            BadInput::CallerBytes => "caller_bytes",
            BadInput::CallerTime => "caller_time",
            BadInput::SourceEntry => "source_entry",
        }
    }
}

/// Result of a query that was forwarded to a root, or came from another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardedResult {
    /// The root answered or refused it.
    Answered,
    /// The root holds another version, or is stopping; the query runs here.
    Declined,
    /// The root could not be reached; the query runs here.
    NotSent,
    /// The connection to the root ended during the query.
    Failed,
    /// The root does not answer any query.
    Silent,
    /// The time limit of the query has passed.
    TimedOut,
    /// The query runs here for another daemon.
    RunHere,
    /// The query came from another daemon and does not run here.
    DeclinedHere,
    /// The query came from another daemon, and this one is too busy.
    BusyHere,
    /// The query came from another daemon, and this one has no memory for it.
    NoMemoryHere,
    /// This daemon has no memory to forward the query; it runs here.
    NoMemory,
}

impl ForwardedResult {
    /// Name, for metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Declined => "declined",
            Self::NotSent => "not_sent",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::TimedOut => "timed_out",
            Self::RunHere => "run_here",
            Self::DeclinedHere => "declined_here",
            Self::BusyHere => "busy_here",
            Self::NoMemoryHere => "no_memory_here",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Direction of reports on leafs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportDirection {
    /// To other daemons.
    Sent,
    /// From other daemons.
    Received,
    /// Not sent: too many in a second.
    Suppressed,
}

impl ReportDirection {
    /// Name, for metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            ReportDirection::Sent => "sent",
            ReportDirection::Received => "received",
            ReportDirection::Suppressed => "suppressed",
        }
    }
}
