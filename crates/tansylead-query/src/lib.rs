//! Sans-I/O query execution at a root: one [`RootEngine`] for each (service, place).

pub mod engine;
pub mod event;

pub use engine::RootEngine;
pub use event::{AttemptResult, RateShare, RootAction, RootEvent, SendAttempt, StartQuery};
