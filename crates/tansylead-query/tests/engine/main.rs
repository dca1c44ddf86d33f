//! Tests of the root engine: one per mechanism, and a stateful fuzz test against a simple oracle.
//! Broken variants of the engine show that the oracle catches their faults.

mod builders;
mod fuzz;
mod load_mechanisms;
mod mechanisms;
mod oracle;
mod oracle_finish;
mod transitions;
mod variants;
mod world;
