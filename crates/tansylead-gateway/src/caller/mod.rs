//! Callers' side: connections, requests, readiness.

mod handler;
mod ready;
mod server;

pub use ready::serve_ready;
pub use server::CallerServer;
