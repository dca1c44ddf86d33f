//! Serves callers: connections, requests, readiness.

mod handler;
mod panic_guard;
mod ready;
mod server;

pub use panic_guard::{RequestPanic, catch_panic};
pub use ready::serve_ready;
pub use server::CallerServer;
