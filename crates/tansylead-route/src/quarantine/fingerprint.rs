//! Fingerprints that recognize repetitions of a request.
//!
//! A caller sends each repetition with a new id and deadline and perhaps other headers, so these are left out.
//! Method, host, path and body are always included. A repetition may have another query, and several callers may
//! send the same faulty request, so each request has three fingerprints, from narrow to wide.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Bits of a fingerprint that encode its scope.
const SCOPE_MASK: u128 = 0b11;
/// Position of the bits of a short hash.
const SHORT_HASH_SHIFT: u32 = 96;

/// The parts of a request that its fingerprints are computed from.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// Address of the caller, without its port.
    pub caller: IpAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Host of the route.
    pub host: &'a str,
    /// Path and query, separated by `?`.
    pub target: &'a str,
    /// Whole request body.
    pub body: &'a [u8],
}

/// Which parts of two requests must be equal for their fingerprints to be equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintScope {
    /// Caller, method, host, path, query and body.
    Exact,
    /// All of these but the query.
    Path,
    /// All of these but the query and the caller.
    Content,
}

/// Hash of a request within a scope. The probability that two different requests collide is 1 in 2^126.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u128);

/// The fingerprints of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RequestFingerprints {
    /// In scope [`FingerprintScope::Exact`].
    pub exact: RequestFingerprint,
    /// In scope [`FingerprintScope::Path`].
    pub path: RequestFingerprint,
    /// In scope [`FingerprintScope::Content`].
    pub content: RequestFingerprint,
    /// Hash of the caller's address.
    pub caller: u32,
}

impl FingerprintScope {
    /// Name in logs.
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
    /// Scope that this fingerprint was computed in.
    pub fn scope(self) -> FingerprintScope {
        match self.0 & SCOPE_MASK {
            1 => FingerprintScope::Path,
            2 => FingerprintScope::Content,
            _ => FingerprintScope::Exact,
        }
    }

    /// Some bits of the hash, where the whole is too long.
    pub(super) fn short_hash(self) -> u32 {
        (self.0 >> SHORT_HASH_SHIFT) as u32
    }
}

impl RequestFingerprints {
    /// The three fingerprints, from narrow to wide.
    pub fn all(&self) -> [RequestFingerprint; 3] {
        [self.exact, self.path, self.content]
    }
}

impl RequestIdentity<'_> {
    /// Computes the request's fingerprints.
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
        hash_field(&mut hash, self.method.as_bytes());
        hash_field(&mut hash, self.host.as_bytes());
        hash_field(&mut hash, path.as_bytes());
        hash_field(&mut hash, self.body);
        let content = fingerprint(&hash, FingerprintScope::Content);
        hash_field(&mut hash, &caller);
        let path_scope = fingerprint(&hash, FingerprintScope::Path);
        hash_field(&mut hash, query.as_bytes());
        let exact = fingerprint(&hash, FingerprintScope::Exact);
        let mut caller_hash = Xxh3::new();
        hash_field(&mut caller_hash, &caller);
        RequestFingerprints {
            exact,
            path: path_scope,
            content,
            caller: caller_hash.digest() as u32,
        }
    }
}

/// Hashes the field's length first, so that bytes cannot move from one field to the next unnoticed.
fn hash_field(hash: &mut Xxh3, field: &[u8]) {
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
