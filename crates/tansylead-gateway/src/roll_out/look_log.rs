//! The log line of a look at a trial, with the counts behind it.

use super::judge::TrialLook;

/// One line with the counts behind a look: why, and what came of it.
pub(super) fn log_counts(look: &TrialLook, why: &str, what: &str) {
    let service = look.roll_out.service.as_str();
    let target = look.roll_out.target.as_str();
    let counts = look.counts;
    log::info!(
        service = service,
        target = target,
        stage = look.stage.label(),
        why = why,
        requests = counts.requests,
        sends = counts.new_sends,
        allowance = look.allowance,
        old_good = counts.old_good,
        old_failed = counts.old_failed,
        new_good = counts.new_good,
        new_failed = counts.new_failed;
        "roll-out: {what}"
    );
}
