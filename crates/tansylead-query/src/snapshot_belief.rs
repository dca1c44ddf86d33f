//! Which snapshots and shards one leaf is believed to hold.
//!
//! The configuration says which leafs should hold a shard. In-band evidence (an answer or a refusal
//! of the leaf) outweighs its health report for [`IN_BAND_LIFETIME`]. A health report that does not
//! list the snapshot only makes the leaf a last resort: reports lag, and trying costs one refusal.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{Moment, ShardId, SnapshotVersion};

/// Lifetime of in-band evidence. It is short because a leaf that refused may have been loading.
const IN_BAND_LIFETIME: Duration = Duration::from_secs(10);

/// Whether a leaf holds a shard at a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Holding {
    /// Held, as far as is known.
    Held,
    /// Missing from the last health report of the leaf.
    Unreported,
    /// Not held, according to the refusal of an attempt by the leaf.
    NotHeld,
}

#[derive(Debug, Clone, Copy)]
struct InBandEvidence {
    at: Moment,
    held: bool,
}

/// Evidence of which snapshots and shards one leaf holds.
#[derive(Debug, Clone, Default)]
pub(crate) struct SnapshotBelief {
    reported: Option<BTreeSet<SnapshotVersion>>,
    in_band: BTreeMap<SnapshotVersion, InBandEvidence>,
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

    /// Records an answer for the snapshot. Returns whether the last in-band evidence changed.
    pub(crate) fn on_answer(&mut self, now: Moment, version: SnapshotVersion) -> bool {
        let evidence = InBandEvidence {
            at: now,
            held: true,
        };
        let before = self.in_band.insert(version, evidence);
        before.is_none_or(|evidence| !evidence.held)
    }

    /// Records that the leaf refused because it does not hold the snapshot.
    pub(crate) fn on_snapshot_not_held(&mut self, now: Moment, version: SnapshotVersion) {
        let evidence = InBandEvidence {
            at: now,
            held: false,
        };
        self.in_band.insert(version, evidence);
    }

    /// Records that the leaf refused because it does not hold the shard at the snapshot.
    pub(crate) fn on_shard_not_held(
        &mut self,
        now: Moment,
        version: SnapshotVersion,
        shard: &ShardId,
    ) {
        let shards = self.shards_not_held.entry(version).or_default();
        shards.insert(shard.clone(), now);
    }

    /// Records the snapshots of a health report. Returns whether they differ from the last one.
    pub(crate) fn on_report(&mut self, snapshots: &[SnapshotVersion]) -> bool {
        let snapshots: BTreeSet<SnapshotVersion> = snapshots.iter().copied().collect();
        if self.reported.as_ref() == Some(&snapshots) {
            return false;
        }
        self.reported = Some(snapshots);
        true
    }

    /// Drops expired evidence about snapshots that are no longer configured. Queries in progress
    /// may still be pinned to them, so recent evidence is kept.
    pub(crate) fn retain_versions(&mut self, now: Moment, versions: &BTreeSet<SnapshotVersion>) {
        let is_recent = |at: Moment| now.since(at) < IN_BAND_LIFETIME;
        self.in_band
            .retain(|version, evidence| versions.contains(version) || is_recent(evidence.at));
        self.shards_not_held.retain(|version, shards| {
            versions.contains(version) || shards.values().any(|at| is_recent(*at))
        });
    }

    fn holding_snapshot(&self, now: Moment, version: SnapshotVersion) -> Holding {
        match self.in_band.get(&version) {
            Some(evidence) if now.since(evidence.at) < IN_BAND_LIFETIME => {
                if evidence.held {
                    Holding::Held
                } else {
                    Holding::NotHeld
                }
            }
            _ if self.reports_snapshot(version) => Holding::Held,
            _ => Holding::Unreported,
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
