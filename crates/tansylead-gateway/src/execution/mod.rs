//! Runs routed requests: calls of one service, and queries merged from the answers of many shards.

mod at_root;
mod attempts;
mod call;
mod call_end;
mod call_extra;
mod call_quarantine;
mod call_records;
mod forward;
mod gather;
mod leaf_access;
mod outcome;
mod request_quarantine;

pub use at_root::QueryAtRoot;
pub use call::Call;
pub use call_end::{CallEnd, CallFailure, SharedProgress};
pub use forward::forward;
pub use gather::{GatherQuery, gather};
pub use leaf_access::LeafAccess;
pub use outcome::{Outcome, Refusal, RefusalReason};
