//! Roll-outs in this daemon: which leafs a request may use by their version, the evidence on the old and the new
//! version, and the judges that decide how a roll-out ends.

mod context;
mod evaluation_log;
mod evidence_log;
mod judge;
mod judge_metrics;
mod judge_selection;
mod link;
mod lost_outcomes;
mod message;
mod metrics;
mod pause_guard;
mod ranked_judges;
mod report_pace;
mod reporter;
mod reporters;
mod roll_out_task;
mod running_sends;
mod service_versions;
mod source_calls;
mod source_check;
mod source_contact;
mod state_writes;
mod version_send;

pub use context::RollOutContext;
pub use judge::{Judge, JudgeContext, ReportRefusal, TrialEvaluation};
pub use judge_metrics::{JudgeMetrics, MessageKind, MessageOutcome};
pub use judge_selection::{FollowedGrant, SILENCE_LIMIT};
pub use link::RollOutLink;
pub use message::{GrantMessage, RollOutMessage};
pub use metrics::RollOutMetrics;
pub use pause_guard::PauseGuard;
pub use report_pace::{BUSY_PERIOD, QUIET_PERIOD, REPORTS_PER_SECOND, report_period};
pub use reporter::{AnswerEnd, Fleet, Reporter};
pub use roll_out_task::RollOutTask;
pub use service_versions::ServiceVersions;
pub use source_calls::SourceCalls;
pub use version_send::{SendEnd, SendTarget, SendTerms, VersionSend};
