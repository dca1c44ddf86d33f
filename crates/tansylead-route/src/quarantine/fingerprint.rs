//! What makes two requests the same one come again.
//!
//! A caller gives each repetition an id of its own, a deadline of its own and perhaps other headers, so none of
//! these count. Method, host, path and body always do. A repetition may have another query, and what is wrong
//! with a request may come from many callers: so each request has three fingerprints, from narrow to wide.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Bits of a fingerprint that tell its scope.
const SCOPE_MASK: u128 = 0b11;

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

/// What counts for two requests to be the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintScope {
    /// Everything.
    Exact,
    /// Everything but the query.
    Path,
    /// Everything but the query and the caller.
    Content,
}

/// A hash of a request's identity within a scope. Two different requests share one by chance in 1 of 2^126
/// cases.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u128);

/// The fingerprints of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RequestFingerprints {
    /// Of everything.
    pub exact: RequestFingerprint,
    /// Without the query.
    pub path: RequestFingerprint,
    /// Without query and caller.
    pub content: RequestFingerprint,
    /// A hash of the caller.
    pub caller: u32,
}

impl FingerprintScope {
    /// Name, for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Exact => "exact",
            Self::Path => "path",
            Self::Content => "content",
        }
    }

    fn bits(self) -> u128 {
        match self {
            Self::Exact => 0,
            Self::Path => 1,
            Self::Content => 2,
        }
    }
}

impl RequestFingerprint {
    /// Scope.
    pub fn scope(self) -> FingerprintScope {
        match self.0 & SCOPE_MASK {
            1 => FingerprintScope::Path,
            2 => FingerprintScope::Content,
            _ => FingerprintScope::Exact,
        }
    }
}

impl RequestFingerprints {
    /// All of them, from narrow to wide.
    pub fn all(&self) -> [RequestFingerprint; 3] {
        [self.exact, self.path, self.content]
    }
}

impl RequestIdentity<'_> {
    /// The fingerprints.
    pub fn fingerprints(&self) -> RequestFingerprints {
        let caller = match self.caller.to_canonical() {
            IpAddr::V4(address) => address.octets().to_vec(),
            IpAddr::V6(address) => address.octets().to_vec(),
        };
        let (path, query) = match self.target.split_once('?') {
            Some((path, query)) => (path, query),
            None => (self.target, ""),
        };
        let mut hash = Xxh3::new();
        add(&mut hash, self.method.as_bytes());
        add(&mut hash, self.host.as_bytes());
        add(&mut hash, path.as_bytes());
        add(&mut hash, self.body);
        let content = fingerprint(&hash, FingerprintScope::Content);
        add(&mut hash, &caller);
        let of_path = fingerprint(&hash, FingerprintScope::Path);
        add(&mut hash, query.as_bytes());
        let exact = fingerprint(&hash, FingerprintScope::Exact);
        let mut caller_hash = Xxh3::new();
        add(&mut caller_hash, &caller);
        RequestFingerprints {
            exact,
            path: of_path,
            content,
            caller: caller_hash.digest() as u32,
        }
    }
}

/// Each field goes in behind its length, so that none runs over into the next.
fn add(hash: &mut Xxh3, field: &[u8]) {
    hash.update(&(field.len() as u64).to_le_bytes());
    hash.update(field);
}

fn fingerprint(hash: &Xxh3, scope: FingerprintScope) -> RequestFingerprint {
    RequestFingerprint(hash.digest128() & !SCOPE_MASK | scope.bits())
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
