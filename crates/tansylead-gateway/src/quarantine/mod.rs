//! Requests under which leafs end: how this daemon finds them, sends them with care, refuses them, and tells
//! the others and the source. What convicts a request is decided in `tansylead-route`.

mod exchange;
mod keeping;
mod leaf_ends;
mod messages;
mod send_care;
mod state;
mod trials;

pub(crate) use exchange::{catch_up, exchange};
pub(crate) use keeping::{forget_old, keep_changes};
pub(crate) use leaf_ends::on_lost;
pub use messages::{QuarantineCodec, QuarantineMessage, TableDigest};
pub use send_care::{AttemptInFlight, SendAdmission, SendCare};
pub use state::{KeptChange, QuarantineState, ToSend};
pub use trials::TRIAL_SPREAD;
