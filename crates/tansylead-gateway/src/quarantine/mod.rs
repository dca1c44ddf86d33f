//! Requests under which leafs end: this daemon detects them, sends them to one leaf at a time, refuses them, and
//! reports them to other daemons and the source. `tansylead-route` decides when a request is quarantined.

mod evidence_log;
mod exchange;
mod leaf_ends;
mod messages;
mod outbox;
mod send_limiter;
mod source_writer;
mod source_writes;
mod state;
mod trials;

pub(crate) use exchange::{catch_up, exchange};
pub(crate) use leaf_ends::on_lost;
pub use messages::{QuarantineCodec, QuarantineMessage, TableDigest};
pub use outbox::OutgoingMessages;
pub use send_limiter::{AttemptInFlight, SendAdmission, SendLimiter};
pub(crate) use source_writer::{remove_expired, write_to_source};
pub use source_writes::SourceWrite;
pub use state::QuarantineState;
pub use trials::TRIAL_JITTER;
