//! Open-loop load over HTTP/1.1.
//!
//! The decisions (when each query is sent, what is recorded) are pure and live in [`schedule`] and
//! [`recorder`]; answers are checked by [`crate::caller`]. Only [`driver`] performs I/O.
//! Arrival times are fixed before the run and latency counts from the planned arrival, so a slow
//! system cannot hide its delay by slowing the load down.

pub mod driver;
pub mod recorder;
pub mod schedule;
