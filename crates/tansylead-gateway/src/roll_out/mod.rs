//! Roll-outs in this daemon: which leafs a request may use by their version, what is seen of both sides,
//! and the judges that conclude.

mod judge_seats;
mod message;
mod report_pace;
mod reporter;
mod service_versions;

pub use judge_seats::{FollowedGrant, SILENCE_LIMIT};
pub use message::{GrantMessage, RollOutMessage};
pub use report_pace::{BUSY_PERIOD, QUIET_PERIOD, REPORTS_PER_SECOND, report_period};
pub use reporter::{AnswerEnd, Fleet, Reporter};
pub use service_versions::ServiceVersions;
