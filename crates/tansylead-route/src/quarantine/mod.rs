//! Quarantine of requests that crash the leafs which run them ("queries of death").
//!
//! A leaf that ends while it runs a request counts as a strike against the request. A daemon that holds enough
//! strikes refuses the request. Daemons exchange their records, so that each recognizes a request that others
//! have seen. Any answer of a leaf clears the request.

mod evidence;
mod fingerprint;
mod message;
mod recent_answers;
mod record;
mod strike;
mod table;

pub use evidence::QuarantineEvidence;
pub use fingerprint::{FingerprintScope, RequestFingerprint, RequestFingerprints, RequestIdentity};
pub use message::QuarantineRecord;
pub use recent_answers::RecentAnswers;
pub use record::Verdict;
pub use strike::Strike;
pub use table::{
    DecidedQuarantine, MAXIMUM_RECORDS, Quarantine, QuarantineChange, QuarantineCounts,
};
