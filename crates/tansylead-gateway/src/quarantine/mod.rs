//! Requests under which leafs end: how this daemon finds them, sends them with care, refuses them, and tells
//! the others and the source. What convicts a request is decided in `tansylead-route`.

mod exchange;
mod keeping;
mod kept_changes;
mod leaf_ends;
mod messages;
mod outbox;
mod send_care;
mod state;
mod trials;

pub(crate) use exchange::{catch_up, exchange};
pub(crate) use keeping::{forget_old, keep_changes};
pub use kept_changes::KeptChange;
pub(crate) use leaf_ends::on_lost;
pub use messages::{QuarantineCodec, QuarantineMessage, TableDigest};
pub use outbox::ToSend;
pub use send_care::{AttemptInFlight, SendAdmission, SendCare};
pub use state::QuarantineState;
pub use trials::TRIAL_SPREAD;
