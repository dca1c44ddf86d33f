//! Requests that end the leafs which run them.

mod fingerprint;

pub use fingerprint::{RequestFingerprint, RequestIdentity};
