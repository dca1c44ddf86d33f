//! Identifiers: one newtype for each thing that has a name or a number.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Longest accepted name, in bytes.
pub const MAXIMUM_NAME_BYTES: usize = 64;

/// Why a text is not an acceptable name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a valid {kind}: use 1 to {MAXIMUM_NAME_BYTES} of a-z, A-Z, 0-9, `-`, `_`, `.`"
)]
pub struct InvalidName {
    /// What the text was meant to name.
    pub kind: &'static str,
    /// The rejected text.
    pub text: String,
}

fn is_valid_name(text: &str) -> bool {
    let length_fits = (1..=MAXIMUM_NAME_BYTES).contains(&text.len());
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    length_fits && text.bytes().all(allowed)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(String);

        impl $type {
            /// Checks the text and wraps it; an error names the text and the kind of name.
            pub fn new(text: impl Into<String>) -> Result<Self, InvalidName> {
                let text = text.into();
                if is_valid_name(&text) {
                    Ok(Self(text))
                } else {
                    Err(InvalidName { kind: $kind, text })
                }
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl std::str::FromStr for $type {
            type Err = InvalidName;
            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a service: a set of leafs that hold the shards of one index.
    ServiceName,
    "service name"
);
name_type!(
    /// Name of a place. A place is one region; it contains one or more zones.
    PlaceName,
    "place name"
);
name_type!(
    /// Name of a zone inside a place.
    ZoneName,
    "zone name"
);
name_type!(
    /// Name of one leaf (back end), unique in the deployment.
    LeafId,
    "leaf name"
);
name_type!(
    /// Version of the software that a leaf runs. Versions are compared for equality only.
    SoftwareVersion,
    "software version"
);
name_type!(
    /// Name of one shard, unique inside a snapshot of a service.
    ShardId,
    "shard name"
);
name_type!(
    /// Identifies one write to the store, so that its author can recognise it after a lost answer.
    ChangeId,
    "change id"
);
name_type!(
    /// The caller's request id; echoed in the answer and used to match answers to requests.
    RequestId,
    "request id"
);
name_type!(
    /// The caller's key of a non-repeatable request.
    IdempotencyKey,
    "idempotency key"
);

/// Version of an index snapshot. Higher is newer within a service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct SnapshotVersion(pub u64);

impl fmt::Display for SnapshotVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "v{}", self.0)
    }
}

/// Identifies one query inside the root that executes it; never reused by that process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueryId(pub u64);

/// Identifies one attempt of one query; never reused inside the query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u32);
