//! Roots: one task for each (service, place) that this daemon serves. The task owns the engine and
//! the connections to the leafs; everything else reaches it through [`RootHandle`].

mod actor;
mod handle;
mod leafs;
mod metrics;
mod queries;
mod rate;
mod shares;
mod supervisor;

pub use actor::{RootContext, RootIdentity, spawn_root};
pub use handle::{
    CoverageCounts, QueryTicket, RootAnswer, RootCommand, RootConfiguration, RootHandle, RootStatus,
};
pub use supervisor::{RootDirectory, RootSupervisor, SupervisorParts};
