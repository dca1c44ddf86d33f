//! Message in which daemons exchange their quarantine records.

use super::fingerprint::RequestFingerprint;
use super::record::Record;
use super::strike::Strike;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_types::Moment;

/// A strike with ages in place of times, as the clocks of different daemons are not comparable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct StrikeMessage {
    leaf: u64,
    ran_millis: u32,
    ended_millis_ago: u32,
    caller: u32,
    request: u32,
}

/// One daemon's record of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    times_cleared: u32,
    times_quarantined: u32,
    quarantine_left_millis: u32,
    strikes: Vec<StrikeMessage>,
}

impl QuarantineRecord {
    pub(super) fn new(now: Moment, fingerprint: RequestFingerprint, record: &Record) -> Self {
        let encoded = |strike: &Strike| StrikeMessage {
            leaf: strike.leaf,
            ran_millis: millis(strike.ended.since(strike.sent)),
            ended_millis_ago: millis(now.since(strike.ended)),
            caller: strike.caller,
            request: strike.request,
        };
        Self {
            fingerprint,
            times_cleared: record.times_cleared,
            times_quarantined: record.times_quarantined,
            quarantine_left_millis: millis(record.quarantined_until.since(now)),
            strikes: record.strikes.iter().map(encoded).collect(),
        }
    }

    pub(super) fn into_record(self, now: Moment) -> Record {
        let strikes = self.strikes.iter().map(|encoded| {
            let ended = now - Duration::from_millis(encoded.ended_millis_ago.into());
            Strike {
                leaf: encoded.leaf,
                sent: ended - Duration::from_millis(encoded.ran_millis.into()),
                ended,
                caller: encoded.caller,
                request: encoded.request,
            }
        });
        Record {
            times_cleared: self.times_cleared,
            times_quarantined: self.times_quarantined,
            quarantined_until: now + Duration::from_millis(self.quarantine_left_millis.into()),
            strikes: strikes.collect(),
            changed: now,
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
