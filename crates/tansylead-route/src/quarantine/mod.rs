//! Requests that end the leafs which run them ("queries of death").
//!
//! A leaf that ends while a request runs there is a strike against the request. Whoever holds enough strikes
//! refuses the request; daemons tell one another what they hold, so that a request that comes again at any
//! daemon is known there. Any answer of a leaf clears the request.

mod fingerprint;
mod message;
mod recent_answers;
mod record;
mod strike;
mod table;

pub use fingerprint::{FingerprintScope, RequestFingerprint, RequestFingerprints, RequestIdentity};
pub use message::QuarantineRecord;
pub use recent_answers::RecentAnswers;
pub use record::Verdict;
pub use strike::Strike;
pub use table::{MAXIMUM_RECORDS, Quarantine, QuarantineChange, QuarantineCounts};
