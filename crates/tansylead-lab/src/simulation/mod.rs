//! Simulation of the whole system in one process under virtual time: many daemons, leafs, the
//! store, the machine list, callers and operators, with faults drawn from a seed, judged by an
//! oracle that sees only what happened outside the daemons.
//!
//! Invariant: a [`plan::CasePlan`] determines a case completely.

pub mod campaign;
pub mod clock;
mod command;
pub mod daemon;
pub mod fault;
pub mod history;
pub mod leaf;
pub mod machines;
pub mod message;
pub mod network;
pub mod operator;
pub mod oracle;
pub mod plan;
pub mod sabotage;
pub mod store;
pub mod topology;
pub mod world;

pub use command::{command, run};
