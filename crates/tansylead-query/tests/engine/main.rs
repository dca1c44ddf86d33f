//! Tests of the root engine: one per mechanism, and a stateful fuzz against a simple oracle that
//! is shown to catch broken variants.

mod builders;
mod fuzz;
mod load_mechanisms;
mod mechanisms;
mod oracle;
mod oracle_finish;
mod transitions;
mod variants;
mod world;
