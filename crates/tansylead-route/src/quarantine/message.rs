//! What daemons tell one another of requests under which leafs end.

use super::fingerprint::RequestFingerprint;
use super::record::Record;
use super::strike::Strike;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_types::Moment;

/// A strike, with times as ages: clocks of different daemons have nothing in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ToldStrike {
    leaf: u64,
    ran_millis: u32,
    ended_millis_ago: u32,
    caller: u32,
}

/// What one daemon holds of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    clearings: u32,
    convictions: u32,
    left_millis: u32,
    strikes: Vec<ToldStrike>,
}

impl QuarantineRecord {
    pub(super) fn new(now: Moment, fingerprint: RequestFingerprint, record: &Record) -> Self {
        let told = |strike: &Strike| ToldStrike {
            leaf: strike.leaf,
            ran_millis: millis(strike.ended.since(strike.sent)),
            ended_millis_ago: millis(now.since(strike.ended)),
            caller: strike.caller,
        };
        Self {
            fingerprint,
            clearings: record.clearings,
            convictions: record.convictions,
            left_millis: millis(record.until.since(now)),
            strikes: record.strikes.iter().map(told).collect(),
        }
    }

    pub(super) fn into_record(self, now: Moment) -> Record {
        let strikes = self.strikes.iter().map(|told| {
            let ended = now - Duration::from_millis(told.ended_millis_ago.into());
            Strike {
                leaf: told.leaf,
                sent: ended - Duration::from_millis(told.ran_millis.into()),
                ended,
                caller: told.caller,
            }
        });
        Record {
            clearings: self.clearings,
            convictions: self.convictions,
            until: now + Duration::from_millis(self.left_millis.into()),
            strikes: strikes.collect(),
            changed: now,
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
