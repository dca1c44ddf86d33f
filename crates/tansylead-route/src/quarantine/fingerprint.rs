//! What makes two requests the same one come again: caller, method, host, path with query, and body.
//!
//! A caller gives each repetition an id of its own, a deadline of its own and perhaps other headers, so
//! none of these count.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// What a request is recognized by when it comes again.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// Address of the caller, without its port.
    pub caller: IpAddr,
    /// Method.
    pub method: &'a str,
    /// Host of the route.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// A hash of a request's identity. Two different requests share one by chance in 1 of 2^128 cases.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u128);

impl RequestIdentity<'_> {
    /// The fingerprint.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let mut hash = Xxh3::new();
        // Each field goes in behind its length, so that none runs over into the next.
        let mut add = |field: &[u8]| {
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        };
        match self.caller.to_canonical() {
            IpAddr::V4(address) => add(&address.octets()),
            IpAddr::V6(address) => add(&address.octets()),
        }
        add(self.method.as_bytes());
        add(self.host.as_bytes());
        add(self.target.as_bytes());
        add(self.body);
        RequestFingerprint(hash.digest128())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
