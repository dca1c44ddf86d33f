//! Which snapshots and shards one leaf is believed to hold.
//!
//! The configuration says which leafs should hold a shard. What the leaf said in-band (an answer
//! or a refusal) outweighs its health report for [`IN_BAND_LIFETIME`]. A health report that does
//! not list the snapshot only makes it doubtful: reports lag, and asking costs one refusal.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{Moment, ShardId, SnapshotVersion};

/// An in-band sign is believed for this time; a leaf that refused may have been loading.
const IN_BAND_LIFETIME: Duration = Duration::from_secs(10);

/// Whether a leaf holds a shard at a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Holding {
    /// As far as is known.
    Held,
    /// Not by its last health report.
    Doubtful,
    /// Not by its own answer to an attempt.
    NotHeld,
}

#[derive(Debug, Clone, Copy)]
struct InBandSign {
    at: Moment,
    held: bool,
}

/// Beliefs about one leaf.
#[derive(Debug, Clone, Default)]
pub(crate) struct SnapshotBelief {
    reported: Option<BTreeSet<SnapshotVersion>>,
    in_band: BTreeMap<SnapshotVersion, InBandSign>,
    shards_not_held: BTreeMap<SnapshotVersion, BTreeMap<ShardId, Moment>>,
}

impl SnapshotBelief {
    /// Whether the leaf is believed to hold the shard at the snapshot.
    pub(crate) fn holding(
        &self,
        now: Moment,
        version: SnapshotVersion,
        shard: &ShardId,
    ) -> Holding {
        if self.lacks_shard(now, version, shard) {
            return Holding::NotHeld;
        }
        self.holding_snapshot(now, version)
    }

    /// Notes an answer for the snapshot. Returns whether a belief changed.
    pub(crate) fn on_answer(&mut self, now: Moment, version: SnapshotVersion) -> bool {
        let sign = InBandSign {
            at: now,
            held: true,
        };
        let before = self.in_band.insert(version, sign);
        before.is_none_or(|sign| !sign.held)
    }

    /// Notes that the leaf refused because it does not hold the snapshot.
    pub(crate) fn on_snapshot_not_held(&mut self, now: Moment, version: SnapshotVersion) {
        let sign = InBandSign {
            at: now,
            held: false,
        };
        self.in_band.insert(version, sign);
    }

    /// Notes that the leaf refused because it does not hold the shard at the snapshot.
    pub(crate) fn on_shard_not_held(
        &mut self,
        now: Moment,
        version: SnapshotVersion,
        shard: &ShardId,
    ) {
        let shards = self.shards_not_held.entry(version).or_default();
        shards.insert(shard.clone(), now);
    }

    /// Notes the snapshots of a health report. Returns whether they differ from the last one.
    pub(crate) fn on_report(&mut self, snapshots: &[SnapshotVersion]) -> bool {
        let snapshots: BTreeSet<SnapshotVersion> = snapshots.iter().copied().collect();
        if self.reported.as_ref() == Some(&snapshots) {
            return false;
        }
        self.reported = Some(snapshots);
        true
    }

    /// Forgets old signs about snapshots that are no longer configured. Queries in progress may
    /// still be pinned to them, so new signs are kept.
    pub(crate) fn retain_versions(&mut self, now: Moment, versions: &BTreeSet<SnapshotVersion>) {
        let is_recent = |at: Moment| now.since(at) < IN_BAND_LIFETIME;
        self.in_band
            .retain(|version, sign| versions.contains(version) || is_recent(sign.at));
        self.shards_not_held.retain(|version, shards| {
            versions.contains(version) || shards.values().any(|at| is_recent(*at))
        });
    }

    fn holding_snapshot(&self, now: Moment, version: SnapshotVersion) -> Holding {
        match self.in_band.get(&version) {
            Some(sign) if now.since(sign.at) < IN_BAND_LIFETIME => {
                if sign.held {
                    Holding::Held
                } else {
                    Holding::NotHeld
                }
            }
            _ if self.reports_snapshot(version) => Holding::Held,
            _ => Holding::Doubtful,
        }
    }

    fn reports_snapshot(&self, version: SnapshotVersion) -> bool {
        let reported = self.reported.as_ref();
        reported.is_none_or(|reported| reported.contains(&version))
    }

    fn lacks_shard(&self, now: Moment, version: SnapshotVersion, shard: &ShardId) -> bool {
        let Some(shards) = self.shards_not_held.get(&version) else {
            return false;
        };
        let refused = shards.get(shard);
        refused.is_some_and(|at| now.since(*at) < IN_BAND_LIFETIME)
    }
}
