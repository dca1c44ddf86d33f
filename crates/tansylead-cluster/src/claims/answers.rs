//! Status of each key at this root until its expiry: in progress, answered, not run, or no longer
//! known. A repeated key gets the same answer while it is cached. Answers are bounded in bytes;
//! the oldest are evicted first, and the status of their keys becomes `Unknown`.

use super::expiry::add_millis;
use super::message::{ClaimId, ClaimKey};
use super::settings::ClaimSettings;
use std::collections::{BTreeMap, VecDeque};
use tansylead_types::{QueryAnswer, WallTime};

/// Bytes counted for an answer in addition to its results and missing shards.
const ANSWER_OVERHEAD_BYTES: usize = 256;
/// Bytes counted for each result or missing shard in addition to its text.
const SHARD_OVERHEAD_BYTES: usize = 64;

/// Status of a key at this root.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerStatus {
    /// A claim or a dispatch is in progress.
    InProgress,
    /// It ran, or may have run, and this was the answer.
    Finished(Box<QueryAnswer>),
    /// It was not and will never be dispatched under this claim or an earlier attempt; if a member
    /// still holds the claim, release it again.
    NotRun {
        /// The last attempt.
        claim: ClaimId,
    },
    /// This root does not know the key or no longer holds the answer: it may have run.
    Unknown,
}

/// Result of [`AnswerCache::begin`].
#[derive(Debug, Clone, PartialEq)]
pub enum BeginOutcome {
    /// The key is new here: request a claim with this id.
    Claim(ClaimId),
    /// The key was sent before; do not claim it. Never `NotRun`.
    Known(AnswerStatus),
    /// The cache holds too many keys: refuse as `not_run`.
    Full,
}

#[derive(Debug, Clone)]
struct Entry {
    claim: ClaimId,
    expires: WallTime,
    status: AnswerStatus,
}

/// Statuses and answers of the keys sent to one root.
#[derive(Debug, Clone)]
pub struct AnswerCache {
    settings: ClaimSettings,
    maximum_bytes: usize,
    maximum_keys: usize,
    entries: BTreeMap<ClaimKey, Entry>,
    /// Finished keys, oldest first.
    finished: VecDeque<(ClaimKey, ClaimId)>,
    bytes: usize,
    next_sequence: u64,
}

impl AnswerCache {
    /// An empty cache that holds at most `maximum_bytes` of answers and `maximum_keys` keys.
    pub fn new(settings: ClaimSettings, maximum_bytes: usize, maximum_keys: usize) -> Self {
        Self {
            settings,
            maximum_bytes,
            maximum_keys,
            entries: BTreeMap::new(),
            finished: VecDeque::new(),
            bytes: 0,
            next_sequence: 0,
        }
    }

    /// Bytes of cached answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of keys held.
    pub fn keys(&self) -> usize {
        self.entries.len()
    }

    /// Starts a key unless it is known. A key that ended as `not_run` may be started again.
    pub fn begin(&mut self, key: &ClaimKey, expires: WallTime, wall: WallTime) -> BeginOutcome {
        if let Some(entry) = self.entries.get_mut(key) {
            if add_millis(entry.expires, self.settings.clock_skew) > wall {
                let AnswerStatus::NotRun { claim } = entry.status else {
                    return BeginOutcome::Known(entry.status.clone());
                };
                entry.claim = ClaimId {
                    sequence: claim.sequence,
                    attempt: claim.attempt + 1,
                };
                entry.expires = entry.expires.max(expires);
                entry.status = AnswerStatus::InProgress;
                return BeginOutcome::Claim(entry.claim);
            }
            self.remove(&key.clone());
        }
        if self.entries.len() >= self.maximum_keys {
            self.drop_expired(wall);
        }
        if self.entries.len() >= self.maximum_keys {
            return BeginOutcome::Full;
        }
        let claim = ClaimId {
            sequence: self.next_sequence,
            attempt: 0,
        };
        self.next_sequence += 1;
        let status = AnswerStatus::InProgress;
        self.entries.insert(
            key.clone(),
            Entry {
                claim,
                expires,
                status,
            },
        );
        BeginOutcome::Claim(claim)
    }

    /// Records that the request was not and will never be dispatched under `claim` (the last
    /// attempt, see [`super::ClaimRequester::claim`]) or any earlier attempt.
    pub fn mark_not_run(&mut self, key: &ClaimKey, claim: ClaimId) {
        if let Some(entry) = self.in_progress(key, claim) {
            entry.claim = claim;
            entry.status = AnswerStatus::NotRun { claim };
        }
    }

    /// Records the answer of a request that was dispatched under `claim`.
    pub fn finish(&mut self, key: &ClaimKey, claim: ClaimId, answer: QueryAnswer) {
        let size = answer_bytes(&answer);
        let Some(entry) = self.in_progress(key, claim) else {
            return;
        };
        entry.claim = claim;
        entry.status = AnswerStatus::Finished(Box::new(answer));
        self.bytes += size;
        self.finished.push_back((key.clone(), claim));
        self.evict_oldest_answers();
    }

    /// The status of a key.
    pub fn status(&self, key: &ClaimKey, wall: WallTime) -> AnswerStatus {
        let entry = self.entries.get(key);
        let is_current =
            |entry: &&Entry| add_millis(entry.expires, self.settings.clock_skew) > wall;
        entry
            .filter(is_current)
            .map_or(AnswerStatus::Unknown, |entry| entry.status.clone())
    }

    /// Removes keys whose expiry plus clock skew has passed. Call it every few seconds.
    pub fn drop_expired(&mut self, wall: WallTime) {
        let skew = self.settings.clock_skew;
        let is_expired = |entry: &Entry| add_millis(entry.expires, skew) <= wall;
        let expired: Vec<ClaimKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.remove(&key);
        }
        let entries = &self.entries;
        self.finished
            .retain(|(key, claim)| entries.get(key).is_some_and(|entry| entry.claim == *claim));
    }

    fn in_progress(&mut self, key: &ClaimKey, claim: ClaimId) -> Option<&mut Entry> {
        self.entries.get_mut(key).filter(|entry| {
            entry.status == AnswerStatus::InProgress && entry.claim.sequence == claim.sequence
        })
    }

    fn remove(&mut self, key: &ClaimKey) {
        if let Some(entry) = self.entries.remove(key)
            && let AnswerStatus::Finished(answer) = &entry.status
        {
            self.bytes -= answer_bytes(answer);
        }
    }

    /// Evicts the oldest answers above the size limit. Their keys stay, as `Unknown`, until the
    /// expiry.
    fn evict_oldest_answers(&mut self) {
        while self.bytes > self.maximum_bytes {
            let Some((key, claim)) = self.finished.pop_front() else {
                return;
            };
            let entry = self
                .entries
                .get_mut(&key)
                .filter(|entry| entry.claim == claim);
            if let Some(entry) = entry
                && let AnswerStatus::Finished(answer) = &entry.status
            {
                self.bytes -= answer_bytes(answer);
                entry.status = AnswerStatus::Unknown;
            }
        }
    }
}

fn answer_bytes(answer: &QueryAnswer) -> usize {
    let results = answer
        .results
        .iter()
        .map(|shard| shard.result.len() + SHARD_OVERHEAD_BYTES);
    let missing = answer.coverage.missing.len() * SHARD_OVERHEAD_BYTES;
    results.sum::<usize>() + missing + ANSWER_OVERHEAD_BYTES
}
