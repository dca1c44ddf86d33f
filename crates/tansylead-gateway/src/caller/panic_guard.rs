//! Contains a panic within the request in which it occurs.

use futures_util::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;

/// A request's future panicked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request panicked")]
pub struct RequestPanic;

/// Runs the future of one request; a panic in it ends the request and nothing else. Borrows of
/// shared state are released as the panic unwinds.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, RequestPanic> {
    let guarded = AssertUnwindSafe(future).catch_unwind();
    guarded.await.map_err(|_| RequestPanic)
}
