//! Spread of configuration from the store to every daemon.
//!
//! A few readers per place watch the store. Every daemon announces what it applied to a few random
//! peers, and pulls from peers that hold more. See `docs/design/0004-configuration-spread.md`.

mod event;
mod feed_tree;
mod in_force;
mod machine;
mod puller;
mod readers;
mod replica;
mod settings;
mod state;
mod store_reader;

pub use event::{SpreadAction, SpreadEvent};
pub use feed_tree::{FeedSources, FeedTree};
pub use in_force::{InForceAction, InForceCheck, InForceEvent, InForceReport, InForceSettings};
pub use machine::{NothingToServe, SpreadCounters, SpreadMachine};
pub use readers::ReaderRanking;
pub use replica::{ApplyOutcome, ConfigReplica, GapError};
pub use settings::SpreadSettings;
pub use state::{NotReadyReason, Readiness, StoreState};
