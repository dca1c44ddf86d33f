//! Emulator of the users' platform, written from its protocol page.
//!
//! It runs the real daemons as separate processes on loopback addresses and emulates everything
//! around them: the store of configuration and leafs, the leafs, the callers, and faults injected
//! from outside. An oracle checks what callers and leafs see. The terms of the platform's protocol
//! are used on purpose: this crate implements its other side.

pub mod addresses;
mod answer_rules;
pub mod arrival_rules;
pub mod caller;
mod cold_rule;
pub mod configuration;
pub mod crowd;
pub mod daemon;
pub mod demo;
pub mod deployment;
mod deployment_daemons;
pub mod disruptions;
mod drain_rule;
pub(crate) mod fatal_rule;
pub mod leaf;
mod leaf_registry;
mod leaf_request;
mod leaf_work;
mod observations;
pub mod oracle;
mod place_rules;
pub mod process_usage;
pub mod proxy;
mod restored_store;
pub mod roll_out;
pub mod roll_out_plan;
pub mod roll_out_rules;
pub mod roll_out_runs;
pub mod roll_out_table;
pub mod routes;
pub mod seen_roll_out;
pub mod soak;
pub mod store;
pub mod traffic;
pub mod version;
mod zone_fault;
