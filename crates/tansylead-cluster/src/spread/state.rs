//! States of configuration spread that operators and the daemon's readiness see.

/// What this daemon knows of the store. Only store readers look at it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreState {
    /// This daemon does not read the store, or not yet.
    #[error("read by other daemons of the place")]
    NotReading,
    /// A first read is open.
    #[error("no answer yet")]
    Unknown,
    /// The last read succeeded and agreed with the replica.
    #[error("current")]
    Current,
    /// The store shows an older state than daemons hold, for example restored from a backup;
    /// what daemons hold stays in force.
    #[error("behind: shows only revision {store_revision}")]
    Behind {
        /// Revision the store shows.
        store_revision: u64,
    },
    /// The last read failed.
    #[error("failing: {error}")]
    Failing {
        /// Step, peer and cause.
        error: String,
    },
}

/// Whether this daemon holds a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It does not.
    NotReady(NotReadyReason),
}

/// Why there is no configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no configuration: store: {store}; peers: {peers}")]
pub struct NotReadyReason {
    /// What reading the store came to.
    pub store: String,
    /// What asking peers came to.
    pub peers: String,
}
