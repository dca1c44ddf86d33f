//! Emulator of the users' platform, written from its protocol page.
//!
//! It runs the real daemons as separate processes on loopback addresses and plays everything
//! around them: the store of configuration and leafs, the leafs, the callers, and faults injected
//! from outside. An oracle checks what callers and leafs see. The words of the platform's protocol
//! stand here on purpose: this is the other side of it.

pub mod addresses;
pub mod caller;
mod cold_rule;
pub mod configuration;
pub mod daemon;
pub mod demo;
pub mod deployment;
pub mod leaf;
pub mod oracle;
mod place_rules;
pub mod proxy;
pub mod soak;
pub mod store;
pub mod traffic;
mod zone_fault;
