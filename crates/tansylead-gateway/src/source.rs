//! The interface to the source of configuration, leafs, evacuations and roll-outs.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_route::{
    Configuration, DirectoryDelta, EvacuatedZones, RequestFingerprint, Revision, RollOut,
    RollOutState, RollOuts, WriteFailure,
};
use tansylead_types::{Moment, ServiceName, StepError};

pub use tansylead_route::WriteEnd;

/// Kinds of data in the source; each topic is read separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Routes, services and limits.
    Configuration,
    /// Leafs.
    Leafs,
    /// Zones that are being emptied.
    Evacuations,
    /// Orders to roll out, and the state of each.
    RollOuts,
}

impl Topic {
    /// Name, for logs.
    pub fn label(self) -> &'static str {
        match self {
            Topic::Configuration => "configuration",
            Topic::Leafs => "leafs",
            Topic::Evacuations => "evacuations",
            Topic::RollOuts => "roll_outs",
        }
    }
}

/// How recent a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Everything acknowledged before the read.
    Current,
    /// May be some seconds old; costs the source little.
    Cached,
}

/// What a read or a watch found.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceUpdate {
    /// Revision up to which the topic is known now; the next watch starts after it.
    pub at: Revision,
    /// What was found.
    pub content: SourceContent,
    /// Number of entries that could not be parsed and were skipped.
    pub skipped: u64,
}

/// Contents of an update.
#[derive(Debug, Clone, PartialEq)]
pub enum SourceContent {
    /// The configuration; none if there is none yet, or it has not changed.
    Configuration(Option<Box<Configuration>>),
    /// Leafs: all of them, or those that changed.
    Leafs(DirectoryDelta),
    /// All zones that are being emptied; none if they have not changed.
    Evacuations(Option<EvacuatedZones>),
    /// All orders to roll out; none if they have not changed.
    RollOuts(Option<RollOuts>),
}

/// Why a read or a watch gave nothing.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SourceError {
    /// The history after the position is gone; everything must be read again.
    #[error("history is gone")]
    HistoryGone,
    /// The source refuses for now.
    #[error("refused: {0}")]
    Refused(StepError),
    /// No answer, or none that can be parsed.
    #[error("no answer: {0}")]
    Failed(StepError),
}

impl SourceError {
    /// What the error says about the result of a conditional write.
    pub fn write_failure(&self) -> WriteFailure {
        match self {
            SourceError::Refused(_) => WriteFailure::Refused,
            SourceError::HistoryGone | SourceError::Failed(_) => WriteFailure::Unknown,
        }
    }
}

/// A source of configuration, leafs, evacuations and roll-outs with versions and watches.
pub trait Source: 'static {
    /// Reads a topic completely.
    fn read(
        &self,
        topic: Topic,
        freshness: Freshness,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>>;

    /// Waits for changes of a topic after a position, at most for `wait`.
    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>>;

    /// Writes the state of a roll-out, if order and state are still as in `roll_out`. After an error other
    /// than [`SourceError::Refused`] the write may have been done, or may be done later.
    fn write_roll_out_state(
        &self,
        roll_out: &RollOut,
        state: RollOutState,
    ) -> impl Future<Output = Result<WriteEnd, SourceError>>;

    /// Reads the current order for one service; none if there is none.
    fn read_roll_out(
        &self,
        service: &ServiceName,
    ) -> impl Future<Output = Result<Option<RollOut>, SourceError>>;

    /// Registers a daemon's peer address, so that others find it when the seeds are down or stale.
    /// Registering again changes nothing.
    fn register(&self, peer: SocketAddr) -> impl Future<Output = Result<(), SourceError>>;

    /// Stores that a request is quarantined; storing it again changes nothing.
    fn keep_quarantined(
        &self,
        _fingerprint: RequestFingerprint,
    ) -> impl Future<Output = Result<(), SourceError>> {
        async { Ok(()) }
    }

    /// Removes a stored quarantine of a request, if there is one.
    fn release_quarantined(
        &self,
        _fingerprint: RequestFingerprint,
    ) -> impl Future<Output = Result<(), SourceError>> {
        async { Ok(()) }
    }

    /// The requests that are stored as quarantined; empty for a source that stores none.
    fn quarantined(
        &self,
        _freshness: Freshness,
    ) -> impl Future<Output = Result<Vec<RequestFingerprint>, SourceError>> {
        async { Ok(Vec::new()) }
    }

    /// When the source last answered a call of this daemon, including each of the calls of which a read may consist;
    /// none if that is not known.
    fn last_answer(&self) -> Option<Moment> {
        None
    }

    /// Peer addresses of the daemons that ever registered; some may be gone.
    fn registered(&self) -> impl Future<Output = Result<Vec<SocketAddr>, SourceError>>;
}
