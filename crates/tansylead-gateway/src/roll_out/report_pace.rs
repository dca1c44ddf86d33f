//! How often a daemon reports to the judges of a roll-out.

use std::time::Duration;

/// Period of reports while there is news: a few reports fit into the time in which a bad version must be noticed.
pub const BUSY_PERIOD: Duration = Duration::from_millis(200);
/// Period of reports without news: within the time for which a grant may be used.
pub const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Reports that one judge of one roll-out gets in a second, at most: with the answers some 0.3 MB a second, and
/// a small part of a small machine's processor.
pub const REPORTS_PER_SECOND: usize = 400;

/// The period in a fleet of so many daemons. Beyond `REPORTS_PER_SECOND` daemons it exceeds what a grant
/// is valid for.
pub fn report_period(has_news: bool, daemons: usize) -> Duration {
    let wanted = if has_news { BUSY_PERIOD } else { QUIET_PERIOD };
    wanted.max(shortest_period(daemons))
}

fn shortest_period(daemons: usize) -> Duration {
    Duration::from_secs_f64(daemons as f64 / REPORTS_PER_SECOND as f64)
}
