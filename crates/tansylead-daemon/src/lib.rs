//! The I/O shell of the daemon. Decisions live in the sans-I/O crates; this crate owns sockets,
//! clocks, timers and metrics, and drives the state machines of the others.

pub mod platform;
