//! Kinds of what is counted.

/// Input that could not be understood, and was passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadInput {
    /// A caller sent bytes that are no request; its connection ends.
    CallerBytes,
    /// A caller's time to wait is no number; the request is served without one.
    CallerTime,
    /// The source has an entry that is none, or that cannot be used.
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

/// What became of a query that was handed to a root, or came from another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardedResult {
    /// The root answered or refused it.
    Answered,
    /// The root holds another version, or is stopping; it runs here.
    Declined,
    /// The root could not be reached; it runs here.
    NotSent,
    /// The connection to the root ended under it.
    Failed,
    /// The root answers nobody.
    Silent,
    /// The time was up.
    TimedOut,
    /// It runs here for another daemon.
    RunHere,
    /// It came from another daemon and does not run here.
    DeclinedHere,
    /// It came from another daemon, and this one is too busy.
    BusyHere,
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
        }
    }
}

/// Which way reports on leafs went.
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
