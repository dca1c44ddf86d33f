//! Spread of configuration from the store to every daemon.

mod event;
mod in_force;
mod machine;
mod puller;
mod readers;
mod replica;
mod settings;
mod state;
mod store_reader;

pub use event::{SpreadAction, SpreadEvent};
pub use in_force::{InForceAction, InForceCheck, InForceEvent, InForceReport, InForceSettings};
pub use machine::{NothingToServe, SpreadCounters, SpreadMachine};
pub use replica::{ApplyOutcome, ConfigReplica, GapError};
pub use settings::SpreadSettings;
pub use state::{NotReadyReason, Readiness, StoreState};
