//! How often a daemon reports to the judges of a roll-out.

use std::time::Duration;

/// Period of reports while there are changes: a few reports fit into the time in which a bad version must be noticed.
pub const BUSY_PERIOD: Duration = Duration::from_millis(200);
/// Period of reports without changes: no longer than the validity of a grant.
pub const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Most reports that a judge of one roll-out gets in a second: with the answers some 0.3 MB a second, and a small
/// part of a small machine's processor.
pub const REPORTS_PER_SECOND: usize = 400;

/// The period of reports in a fleet of `daemons`. Beyond `REPORTS_PER_SECOND` daemons it exceeds the validity of a
/// grant.
pub fn report_period(has_changes: bool, daemons: usize) -> Duration {
    let period = if has_changes {
        BUSY_PERIOD
    } else {
        QUIET_PERIOD
    };
    period.max(minimum_period(daemons))
}

fn minimum_period(daemons: usize) -> Duration {
    Duration::from_secs_f64(daemons as f64 / REPORTS_PER_SECOND as f64)
}
