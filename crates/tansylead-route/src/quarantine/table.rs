//! One daemon's quarantine table. It is bounded; the least important records are evicted first.
//!
//! Invariants: a request is refused only after leafs ended under several of its runs, each of which began after
//! the one before had ended, and only as long as no later run was answered; daemons with the same records give the
//! same verdicts.

use super::evidence::QuarantineEvidence;
use super::fingerprint::{FingerprintScope, RequestFingerprint, RequestFingerprints};
use super::message::QuarantineRecord;
use super::recent_answers::RecentAnswers;
use super::record::{Record, Verdict};
use super::strike::Strike;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tansylead_types::Moment;
use xxhash_rust::xxh3::xxh3_64;

/// Most requests with a record, which takes some 100 kB at most.
pub const MAXIMUM_RECORDS: usize = 256;

/// While several requests are suspects, the quarantine of one is decided this long after its last strike: by then
/// other daemons have told which of the suspects ran on the same leaf. Covers the probe of a leaf's address, two
/// messages, and waits for the processor.
const ATTRIBUTION_TIME: Duration = Duration::from_millis(500);

/// What a change of a record means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The record has changed, the verdict has not.
    Learned,
    /// The request is suspect from now on.
    Suspected,
    /// The request is refused from now on.
    Quarantined,
    /// A leaf has answered the request.
    Cleared,
    /// Another daemon has a record against similar requests of which one was answered here.
    Contradicted,
}

impl QuarantineChange {
    /// Name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Learned => "learned",
            Self::Suspected => "suspected",
            Self::Quarantined => "quarantined",
            Self::Cleared => "cleared",
            Self::Contradicted => "contradicted",
        }
    }
}

/// Number of requests by verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuarantineCounts {
    /// Requests that may be sent to one leaf at a time.
    pub suspects: usize,
    /// Requests that are refused.
    pub quarantined: usize,
}

/// A quarantine that was decided some time after the strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecidedQuarantine {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whether this daemon saw any of the strikes itself.
    pub is_struck_here: bool,
}

/// Quarantine table of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<RequestFingerprint, Record>,
    /// Fingerprints in the wider scopes of requests that were answered recently. No record is kept against these.
    answered: RecentAnswers,
    /// Requests that are not quarantined because their leafs may have ended under other requests, and whether any was
    /// struck here.
    undecided: BTreeMap<RequestFingerprint, bool>,
}

impl Quarantine {
    /// The verdict on one fingerprint.
    pub fn verdict(&self, now: Moment, fingerprint: RequestFingerprint) -> Verdict {
        let record = self.records.get(&fingerprint);
        record.map_or(Verdict::Clear, |record| {
            record.verdict(now, fingerprint.scope())
        })
    }

    /// The strictest of the verdicts on a request's fingerprints.
    pub fn strictest_verdict(&self, now: Moment, request: &RequestFingerprints) -> Verdict {
        let verdicts = request
            .all()
            .map(|fingerprint| self.verdict(now, fingerprint));
        verdicts.into_iter().max().unwrap_or(Verdict::Clear)
    }

    /// Remembers that a request was answered. For some time, no record is kept against similar requests.
    pub fn note_answered(&mut self, now: Moment, request: &RequestFingerprints) {
        self.answered.add(now, request.path);
        self.answered.add(now, request.content);
    }

    /// Whether a similar request was answered here recently. Always false in the exact scope, as one and the same
    /// request may have become fatal since it was answered.
    fn was_similar_answered(&mut self, now: Moment, fingerprint: RequestFingerprint) -> bool {
        let is_wide = fingerprint.scope() != FingerprintScope::Exact;
        is_wide && self.answered.contains(now, fingerprint)
    }

    /// Whether leafs ended under successive runs of a request. Each leaf that ends gives a strike to many other
    /// requests, few of which are repeated.
    pub fn is_likely_cause(&self, fingerprint: RequestFingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(Record::is_likely_cause)
    }

    /// The strikes behind the verdict on a request.
    pub fn evidence(&self, fingerprint: RequestFingerprint) -> QuarantineEvidence {
        let record = self.records.get(&fingerprint);
        record.map_or_else(QuarantineEvidence::default, QuarantineEvidence::of)
    }

    /// Whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a request was quarantined and has not been cleared since.
    pub fn was_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.times_quarantined > 0)
    }

    /// Fingerprints that are quarantined now.
    pub fn quarantined(&self, now: Moment) -> Vec<RequestFingerprint> {
        let records = self.records.iter();
        let is_quarantined = |(fingerprint, record): &(&RequestFingerprint, &Record)| {
            let verdict = record.verdict(now, fingerprint.scope());
            matches!(verdict, Verdict::Quarantined(_))
        };
        let quarantined = records.filter(is_quarantined);
        quarantined.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Counts the records by verdict.
    pub fn counts(&self, now: Moment) -> QuarantineCounts {
        let mut counts = QuarantineCounts::default();
        for (fingerprint, record) in &self.records {
            match record.verdict(now, fingerprint.scope()) {
                Verdict::Clear => {}
                Verdict::Suspect => counts.suspects += 1,
                Verdict::Quarantined(_) => counts.quarantined += 1,
            }
        }
        counts
    }

    /// Adds a strike. Returns what changed, if anything.
    pub fn on_strike(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        strike: Strike,
    ) -> Option<QuarantineChange> {
        if self.was_similar_answered(now, fingerprint) {
            return None;
        }
        let change = self.update(now, fingerprint, |record| record.add(now, strike));
        self.note_undecided(fingerprint, true);
        change
    }

    /// Remembers the request if its strikes warrant a quarantine that has not been decided.
    fn note_undecided(&mut self, fingerprint: RequestFingerprint, is_struck_here: bool) {
        let record = self.records.get(&fingerprint);
        if record.is_some_and(|record| record.is_undecided(fingerprint.scope())) {
            let was_struck_here = self.undecided.entry(fingerprint).or_default();
            *was_struck_here |= is_struck_here;
        }
    }

    /// Quarantines the requests of which it is known by now that their leafs ended under no other request. Returns
    /// these requests.
    pub fn decide_pending(&mut self, now: Moment) -> Vec<DecidedQuarantine> {
        let mut decided = Vec::new();
        for (fingerprint, is_struck_here) in std::mem::take(&mut self.undecided) {
            let record = self.records.get(&fingerprint);
            let Some(record) = record.filter(|record| record.is_undecided(fingerprint.scope()))
            else {
                continue;
            };
            if self.is_attributable(now, record) {
                self.quarantine(now, fingerprint);
                decided.push(DecidedQuarantine {
                    fingerprint,
                    is_struck_here,
                });
            } else {
                self.undecided.insert(fingerprint, is_struck_here);
            }
        }
        decided
    }

    /// Whether the strikes of a record show that this request and no other made leafs end. A request that merely ran
    /// beside the cause of two events may have as many strikes as the cause, but in the second event they are of
    /// leafs that ended under both.
    fn is_attributable(&self, now: Moment, record: &Record) -> bool {
        if record.has_further_events() {
            return true;
        }
        let others = self.other_suspects(now, record);
        if others.is_empty() {
            return true;
        }
        let is_settled = now.since(record.changed) >= ATTRIBUTION_TIME;
        let rivals = || others.iter().filter(|other| other.may_be_cause());
        let is_shared = |strike: &Strike| rivals().any(|rival| rival.may_share(strike));
        is_settled && !record.later_strikes().iter().all(is_shared)
    }

    /// Suspects with another content than the request of this record.
    fn other_suspects(&self, now: Moment, record: &Record) -> Vec<&Record> {
        let is_other = |(fingerprint, other): &(&RequestFingerprint, &Record)| {
            let verdict = other.verdict(now, fingerprint.scope());
            verdict != Verdict::Clear && !other.has_content_of(record)
        };
        let others = self.records.iter().filter(is_other);
        others.map(|(_, other)| other).collect()
    }

    /// When the quarantine of a request will be decided, if its strikes warrant it and only what other daemons tell is
    /// waited for. Until then it should be sent to no further leaf.
    pub fn decision_due(&self, now: Moment, request: &RequestFingerprints) -> Option<Moment> {
        let due = request.all().into_iter().filter_map(|fingerprint| {
            let record = self.records.get(&fingerprint)?;
            let due = record.changed + ATTRIBUTION_TIME;
            let is_open = now < due && record.is_undecided(fingerprint.scope());
            (is_open && !self.is_attributable(now, record)).then_some(due)
        });
        due.max()
    }

    /// Clears a request that a leaf has answered. Returns what changed, if anything.
    pub fn on_answer(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
    ) -> Option<QuarantineChange> {
        let record = self.records.get_mut(&fingerprint)?;
        if record.is_cleared() {
            return None;
        }
        record.clear(now);
        Some(QuarantineChange::Cleared)
    }

    /// Restores the quarantine of a request that the source reports from before this daemon started.
    pub fn restore(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
    ) -> Option<QuarantineChange> {
        self.update(now, fingerprint, |record| {
            let has_news = record.times_quarantined == 0 && record.times_cleared == 0;
            if has_news {
                record.quarantine(now);
            }
            has_news
        })
    }

    /// Merges another daemon's record. Returns what changed, if anything.
    pub fn merge(&mut self, now: Moment, received: QuarantineRecord) -> Option<QuarantineChange> {
        let fingerprint = received.fingerprint;
        let other = received.into_record(now);
        let is_cleared = other.is_cleared();
        if !is_cleared && self.was_similar_answered(now, fingerprint) {
            return self.contradict(now, fingerprint, other);
        }
        if is_cleared && !self.records.contains_key(&fingerprint) {
            return None;
        }
        let change = self.update(now, fingerprint, |record| record.merge(now, other));
        self.note_undecided(fingerprint, false);
        match change {
            Some(_) if is_cleared => Some(QuarantineChange::Cleared),
            change => change,
        }
    }

    /// Clears another daemon's record against similar requests of which one was answered here.
    fn contradict(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        mut other: Record,
    ) -> Option<QuarantineChange> {
        if self.records.len() >= MAXIMUM_RECORDS && !self.records.contains_key(&fingerprint) {
            self.evict_least_important();
        }
        let record = self.records.entry(fingerprint).or_default();
        if record.times_cleared > other.times_cleared {
            return None;
        }
        other.clear(now);
        *record = other;
        Some(QuarantineChange::Contradicted)
    }

    /// The record of one request, to be sent to other daemons.
    pub fn record(&self, now: Moment, fingerprint: RequestFingerprint) -> Option<QuarantineRecord> {
        let record = self.records.get(&fingerprint)?;
        Some(QuarantineRecord::new(now, fingerprint, record))
    }

    /// The most important records, including cleared ones, to be sent to other daemons.
    pub fn most_important(&self, now: Moment, limit: usize) -> Vec<QuarantineRecord> {
        let is_worth_sending = |record: &Record| record.is_likely_cause() || record.is_cleared();
        let records = self.records.iter();
        let mut records: Vec<_> = records
            .filter(|(_, record)| is_worth_sending(record))
            .collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(importance(record)));
        let sent = records.into_iter().take(limit);
        sent.map(|(fingerprint, record)| QuarantineRecord::new(now, *fingerprint, record))
            .collect()
    }

    /// Hash of the records of likely causes without their times.
    pub fn digest(&self) -> u64 {
        let records = self.records.iter();
        let records = records.filter(|(_, record)| record.is_likely_cause());
        let hashes = records.map(|(fingerprint, record)| {
            let mut leafs: Vec<u64> = record.strikes.iter().map(|strike| strike.leaf).collect();
            leafs.sort_unstable();
            let mut bytes = fingerprint.0.to_le_bytes().to_vec();
            bytes.extend(record.times_cleared.to_le_bytes());
            bytes.extend(record.times_quarantined.to_le_bytes());
            bytes.extend(leafs.into_iter().flat_map(u64::to_le_bytes));
            xxh3_64(&bytes)
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Removes expired records. Returns the fingerprints of those that had been quarantined.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<RequestFingerprint> {
        let mut expired = Vec::new();
        self.records.retain(|fingerprint, record| {
            let is_expired = record.is_expired(now);
            if is_expired && record.times_quarantined > 0 {
                expired.push(*fingerprint);
            }
            !is_expired
        });
        expired
    }

    fn update(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> Option<QuarantineChange> {
        if !self.records.contains_key(&fingerprint) {
            self.evict_least_important();
        }
        let record = self.records.entry(fingerprint).or_default();
        let before = record.verdict(now, fingerprint.scope());
        let times_quarantined_before = record.times_quarantined;
        let has_news = change(record);
        let is_newly_quarantined = record.times_quarantined > times_quarantined_before;
        if !has_news {
            return None;
        }
        if !is_newly_quarantined {
            self.quarantine_if_warranted(now, fingerprint, before);
        }
        match (before, self.verdict(now, fingerprint)) {
            (Verdict::Quarantined(_), Verdict::Quarantined(_)) => Some(QuarantineChange::Learned),
            (_, Verdict::Quarantined(_)) => Some(QuarantineChange::Quarantined),
            (Verdict::Clear, Verdict::Suspect) => Some(QuarantineChange::Suspected),
            _ => Some(QuarantineChange::Learned),
        }
    }

    /// Quarantines a request if its strikes warrant it, or if a leaf ended under it again after its quarantine.
    fn quarantine_if_warranted(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        before: Verdict,
    ) {
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        let is_repeated = record.times_quarantined > 0 && before == Verdict::Suspect;
        let is_first =
            record.is_undecided(fingerprint.scope()) && self.is_attributable(now, record);
        if !record.is_cleared() && (is_repeated || is_first) {
            self.quarantine(now, fingerprint);
        }
    }

    fn quarantine(&mut self, now: Moment, fingerprint: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.quarantine(now);
        }
    }

    fn evict_least_important(&mut self) {
        if self.records.len() < MAXIMUM_RECORDS {
            return;
        }
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| importance(record));
        if let Some((fingerprint, _)) = least.map(|(fingerprint, record)| (*fingerprint, record)) {
            self.records.remove(&fingerprint);
        }
    }
}

/// Sort key of a record: the greatest are evicted last and sent first.
fn importance(record: &Record) -> (bool, usize, Moment) {
    let runs = record.successive_runs();
    (record.times_quarantined > 0, runs, record.changed)
}
