//! A single HTTP/1.1 client connection.
//!
//! Pooled clients retry requests on their own and hide whether a request was written, so the guarantees *at most
//! once* and *not run* cannot be built on them. This connection never retries, and it distinguishes a failed request
//! that was not written from one that the server may have received. Pooling and the choice of a connection are left
//! to the callers.

mod body;
mod buffer;
mod connection;
mod silence;

pub use body::{BodyMemory, NoMemory, ReadBodyError, Unaccounted, read_body};
pub use connection::{ConnectOptions, ExchangeError, HttpConnection, Reply};
pub use silence::end_after_silence;
