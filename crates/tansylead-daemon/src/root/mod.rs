//! Roots: one task for each (service, place) that this daemon serves. The task owns the engine and
//! the connections to the leafs; all others speak to it through [`RootHandle`].

mod actor;
mod handle;
mod leafs;
mod metrics;
mod queries;
mod supervisor;

pub use actor::{RootIdentity, RootLimits, spawn_root};
pub use handle::{QueryTicket, RootCommand, RootHandle, RootStatus};
pub use supervisor::{RootDirectory, RootSupervisor};
