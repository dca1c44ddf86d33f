//! One HTTP/1.1 client connection.
//!
//! Pooled clients send a request again by themselves and hide whether it was written; then *at most
//! once* and *not run* cannot be kept. This connection tells the two ends of a failed request apart
//! and never repeats one. Pools and choices belong to its users.

mod connection;
mod silence;

pub use connection::{ConnectOptions, ExchangeError, HttpConnection, Reply};
pub use silence::end_after_silence;
