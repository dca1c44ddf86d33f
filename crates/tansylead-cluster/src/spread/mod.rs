//! Spread of configuration from the store to every daemon.

mod event;
mod in_force;
mod machine;
mod replica;
mod state;

pub use event::{SpreadAction, SpreadEvent};
pub use in_force::{InForceAction, InForceCheck, InForceEvent, InForceReport, InForceSettings};
pub use machine::{SpreadMachine, SpreadSettings};
pub use replica::{ApplyOutcome, ConfigReplica, GapError};
pub use state::{NotReadyReason, Readiness, StoreState};
