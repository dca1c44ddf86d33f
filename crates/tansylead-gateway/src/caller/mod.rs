//! Server side towards callers.

mod answer;
mod connection;
mod connections;
mod handler;
mod lingering_close;
mod panic_guard;
mod ready;
mod server;
mod socket;
mod stream;

pub(crate) use connection::CallerConnection;
pub use connection::EndCause;
pub use connections::CallerConnections;
pub use panic_guard::{RequestPanic, catch_panic};
pub use ready::serve_ready;
pub use server::CallerServer;
