//! Open-loop load over HTTP/1.1.
//!
//! The decisions (when each query is sent, what counts as a correct answer, what is recorded) are
//! pure and live in [`schedule`], [`check`] and [`recorder`]. Only [`driver`] performs I/O.
//! Arrival times are fixed before the run and latency counts from the planned arrival, so a slow
//! system cannot hide its delay by slowing the load down.

pub mod check;
pub mod driver;
pub mod recorder;
pub mod schedule;
