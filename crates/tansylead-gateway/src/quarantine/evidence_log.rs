//! The log line on the strikes for which a request was quarantined.

use tansylead_route::{QuarantineEvidence, RequestFingerprint, Strike};
use tansylead_types::Moment;

/// Logs the strikes. Their number is bounded, and each request is quarantined at most once in two minutes.
pub(super) fn log_evidence(
    fingerprint: RequestFingerprint,
    evidence: &QuarantineEvidence,
    now: Moment,
) {
    let strikes: Vec<String> = evidence
        .strikes
        .iter()
        .map(|strike| strike_text(strike, now))
        .collect();
    log::info!(
        fingerprint:% = fingerprint,
        successive_runs = evidence.successive_runs,
        events = evidence.events,
        strikes = strikes.join(" ").as_str();
        "strikes against a quarantined request"
    );
}

/// Hash of the leaf's run, how long the request ran there, and how long ago it was lost: `leaf:ran_ms:ago_ms`.
fn strike_text(strike: &Strike, now: Moment) -> String {
    let ran = strike.ended.since(strike.sent).as_millis();
    let ago = now.since(strike.ended).as_millis();
    format!("{:016x}:{ran}:{ago}", strike.leaf)
}
