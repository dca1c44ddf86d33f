//! The claims that a member holds, bounded in number; each is removed after its expiry plus clock
//! skew. A key can have several holders after copying from members that saw different attempts; it
//! is not granted to anyone then.

use super::expiry::add_millis;
use super::message::{ClaimHolder, ClaimKey, ClaimRefusal, CopiedClaim};
use super::settings::ClaimSettings;
use std::collections::BTreeMap;
use std::ops::Bound;
use tansylead_types::WallTime;

/// Claim of one attempt of one owner.
#[derive(Debug, Clone, Copy)]
struct Entry {
    holder: ClaimHolder,
    expires: WallTime,
    /// The owner released it; kept so that a late message does not restore the claim.
    released: bool,
}

impl Entry {
    fn is_same_sequence(&self, holder: ClaimHolder) -> bool {
        self.holder.owner == holder.owner && self.holder.claim.sequence == holder.claim.sequence
    }
}

/// Result of [`ClaimTable::claim`].
pub(super) enum TableAnswer {
    /// Recorded now or earlier.
    Granted,
    /// Held by others.
    Held(Vec<ClaimHolder>),
    /// Not recorded, and not held by others.
    Refused(ClaimRefusal),
}

/// All claims of one member.
#[derive(Debug, Clone, Default)]
pub(super) struct ClaimTable {
    entries: BTreeMap<ClaimKey, Vec<Entry>>,
    count: usize,
}

impl ClaimTable {
    /// Number of entries, including releases.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Records the claim unless another owner, or the same owner under another sequence, holds it.
    pub(super) fn claim(
        &mut self,
        key: &ClaimKey,
        holder: ClaimHolder,
        expires: WallTime,
        wall: WallTime,
        settings: &ClaimSettings,
    ) -> TableAnswer {
        self.drop_expired_of_key(key, wall, settings);
        if self.is_abandoned(key, holder) {
            return TableAnswer::Refused(ClaimRefusal::Abandoned);
        }
        self.retain(key, |entry| {
            !entry.is_same_sequence(holder) || entry.holder == holder
        });
        let others = self.other_holders(key, holder, wall, settings);
        if !others.is_empty() {
            return TableAnswer::Held(others);
        }
        let held = self
            .entries
            .get(key)
            .is_some_and(|list| list.iter().any(|e| e.holder == holder));
        if held {
            return TableAnswer::Granted;
        }
        if self.count >= settings.maximum_claims {
            return TableAnswer::Refused(ClaimRefusal::TooManyClaims);
        }
        self.push(
            key,
            Entry {
                holder,
                expires,
                released: false,
            },
        );
        TableAnswer::Granted
    }

    /// Removes this attempt and earlier ones of its sequence, and records that they are released.
    pub(super) fn release(
        &mut self,
        key: &ClaimKey,
        holder: ClaimHolder,
        expires: WallTime,
        wall: WallTime,
        settings: &ClaimSettings,
    ) {
        self.drop_expired_of_key(key, wall, settings);
        let is_released =
            |entry: &Entry| entry.is_same_sequence(holder) && entry.holder.claim <= holder.claim;
        self.retain(key, |entry| !is_released(entry));
        let has_later = self
            .entries
            .get(key)
            .is_some_and(|list| list.iter().any(|entry| entry.is_same_sequence(holder)));
        let is_current = add_millis(expires, settings.clock_skew) > wall;
        if !has_later && is_current && self.count < settings.maximum_claims {
            self.push(
                key,
                Entry {
                    holder,
                    expires,
                    released: true,
                },
            );
        }
    }

    /// Inserts a claim copied from another member. Several holders of one key are all kept.
    pub(super) fn insert_copied(
        &mut self,
        copied: &CopiedClaim,
        wall: WallTime,
        settings: &ClaimSettings,
    ) {
        self.drop_expired_of_key(&copied.key, wall, settings);
        let is_expired = add_millis(copied.expires, settings.clock_skew) <= wall;
        if is_expired || self.is_abandoned(&copied.key, copied.holder) {
            return;
        }
        let list = self.entries.get(&copied.key);
        if list.is_some_and(|list| list.iter().any(|entry| entry.holder == copied.holder)) {
            return;
        }
        self.push(
            &copied.key,
            Entry {
                holder: copied.holder,
                expires: copied.expires,
                released: false,
            },
        );
    }

    /// Current holders of a key other than `holder`.
    pub(super) fn other_holders(
        &self,
        key: &ClaimKey,
        holder: ClaimHolder,
        wall: WallTime,
        settings: &ClaimSettings,
    ) -> Vec<ClaimHolder> {
        let Some(list) = self.entries.get(key) else {
            return Vec::new();
        };
        list.iter()
            .filter(|entry| !entry.released && entry.holder != holder)
            .filter(|entry| add_millis(entry.expires, settings.clock_skew) > wall)
            .map(|entry| entry.holder)
            .collect()
    }

    /// Claims of the keys after `after` for which `is_wanted` holds, and the key to continue after.
    /// The page ends with the key at which it reaches `limit` claims.
    pub(super) fn page(
        &self,
        after: Option<&ClaimKey>,
        limit: usize,
        is_wanted: impl Fn(&ClaimKey) -> bool,
    ) -> (Vec<CopiedClaim>, Option<ClaimKey>) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut claims = Vec::new();
        for (key, list) in self.entries.range::<ClaimKey, _>((start, Bound::Unbounded)) {
            if !is_wanted(key) {
                continue;
            }
            let held = list.iter().filter(|entry| !entry.released);
            claims.extend(held.map(|entry| CopiedClaim {
                key: key.clone(),
                holder: entry.holder,
                expires: entry.expires,
            }));
            if claims.len() >= limit {
                return (claims, Some(key.clone()));
            }
        }
        (claims, None)
    }

    /// Removes every entry whose expiry plus clock skew has passed.
    pub(super) fn drop_expired(&mut self, wall: WallTime, settings: &ClaimSettings) {
        let is_current = |entry: &Entry| add_millis(entry.expires, settings.clock_skew) > wall;
        self.entries.retain(|_, list| {
            list.retain(is_current);
            !list.is_empty()
        });
        self.count = self.entries.values().map(Vec::len).sum();
    }

    fn drop_expired_of_key(&mut self, key: &ClaimKey, wall: WallTime, settings: &ClaimSettings) {
        self.retain(key, |entry| {
            add_millis(entry.expires, settings.clock_skew) > wall
        });
    }

    /// Whether the owner has released this attempt or started a later one.
    fn is_abandoned(&self, key: &ClaimKey, holder: ClaimHolder) -> bool {
        let is_abandoned = |entry: &Entry| {
            let is_released = entry.released && entry.holder.claim >= holder.claim;
            entry.is_same_sequence(holder) && (is_released || entry.holder.claim > holder.claim)
        };
        self.entries
            .get(key)
            .is_some_and(|list| list.iter().any(is_abandoned))
    }

    fn push(&mut self, key: &ClaimKey, entry: Entry) {
        // Nearly every key has one entry; the default capacity is four.
        let list = self.entries.entry(key.clone());
        list.or_insert_with(|| Vec::with_capacity(1)).push(entry);
        self.count += 1;
    }

    fn retain(&mut self, key: &ClaimKey, keep: impl Fn(&Entry) -> bool) {
        let Some(list) = self.entries.get_mut(key) else {
            return;
        };
        let before = list.len();
        list.retain(keep);
        self.count -= before - list.len();
        if list.is_empty() {
            self.entries.remove(key);
        }
    }
}
