//! The log line of an evaluation of a trial, with the counts behind it.

use super::judge::TrialEvaluation;

/// Logs the counts behind an evaluation, the reason and the result.
pub(super) fn log_counts(evaluation: &TrialEvaluation, why: &str, what: &str) {
    let service = evaluation.roll_out.service.as_str();
    let target = evaluation.roll_out.target.as_str();
    let counts = evaluation.counts;
    log::info!(
        service = service,
        target = target,
        stage = evaluation.stage.label(),
        why = why,
        requests = counts.requests,
        sends = counts.new_sends,
        allowance = evaluation.allowance,
        old_good = counts.old_good,
        old_failed = counts.old_failed,
        new_good = counts.new_good,
        new_failed = counts.new_failed,
        running_on_old = counts.running_on_old;
        "roll-out: {what}"
    );
}
