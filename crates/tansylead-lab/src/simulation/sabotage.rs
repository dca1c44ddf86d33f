//! Deliberately broken variants, by which the oracle is shown to catch what it is meant to catch.

/// One broken mechanism. The product's own code stays as it is: what breaks is the glue around it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Sabotage {
    /// Daemons do not look at deadline and expiry before they send, and leafs do not either.
    NoExpiryCheck,
    /// Roots send requests that must not be repeated without claiming their keys.
    NoClaim,
    /// Daemons put into force whatever configuration they are shown last.
    LowerGenerations,
    /// The bytes of a cancelled attempt reach the next request to the same leaf.
    CancelledBytes,
    /// Coverage is counted on the newest shard list, whatever snapshot was searched.
    NewestShardList,
    /// A broken connection to a leaf is reported as a request that was never sent.
    BrokenIsNotSent,
    /// Daemons overlook every sign that a leaf is leaving.
    NoLeavingSigns,
    /// Leafs are asked for whatever version they have, and the answers taken for the pinned one.
    MixedSnapshots,
    /// A planned stop ends the process at once.
    StopAtOnce,
    /// A result that arrives twice is kept twice.
    DoubledResults,
    /// An operator's write whose answer was lost is reported as refused.
    LostWriteIsRefused,
    /// Frontends never give a query up that they have forwarded.
    NoForwardLimit,
}
