//! States of configuration spread, shown to operators and in the daemon's readiness.

/// State of the store as seen by this daemon. Only store readers read it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreState {
    /// This daemon does not read the store, or not yet.
    #[error("read by other daemons of the place")]
    NotReading,
    /// The first read is in progress.
    #[error("no answer yet")]
    Unknown,
    /// The last read succeeded and agreed with the replica.
    #[error("current")]
    Current,
    /// The store is at an older revision than daemons hold, for example after a restore from a
    /// backup; the configuration that daemons hold stays in force.
    #[error("behind: shows only revision {store_revision}")]
    Behind {
        /// Revision of the store.
        store_revision: u64,
    },
    /// The last read failed.
    #[error("failing: {error}")]
    Failing {
        /// Failed step, peer and cause.
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
    /// State of reading the store.
    pub store: String,
    /// State of pulling from peers.
    pub peers: String,
}
