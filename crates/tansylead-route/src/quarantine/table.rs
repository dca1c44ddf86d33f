//! The requests under which leafs ended, as one daemon knows them. Bounded: what is least is forgotten first.
//!
//! Invariants: a request is refused only after leafs ended under it in several runs, each of which began when
//! the one before was over, and while none of its runs since was answered; daemons that hold the same records
//! give the same verdicts.

use super::fingerprint::{FingerprintScope, RequestFingerprint, RequestFingerprints};
use super::message::QuarantineRecord;
use super::recent_answers::RecentAnswers;
use super::record::{Record, Verdict};
use super::strike::Strike;
use std::collections::HashMap;
use tansylead_types::Moment;
use xxhash_rust::xxh3::xxh3_64;

/// Requests remembered: some 100 kB at most.
pub const MAXIMUM_RECORDS: usize = 256;

/// How a verdict has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// More is known; the verdict is as before.
    Learned,
    /// The request is sent with care from now on.
    Suspected,
    /// It is refused from now on.
    Quarantined,
    /// A leaf has answered it.
    Cleared,
    /// Another daemon holds it against requests of which one was answered here.
    Contradicted,
}

impl QuarantineChange {
    /// Name, for logs.
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

/// Requests by verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuarantineCounts {
    /// Sent with care.
    pub suspects: usize,
    /// Refused.
    pub quarantined: usize,
}

/// The table.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<RequestFingerprint, Record>,
    /// Requests that are like these were answered lately: nothing is held against all that are alike.
    answered: RecentAnswers,
}

impl Quarantine {
    /// What may be done with a request.
    pub fn verdict(&self, now: Moment, fingerprint: RequestFingerprint) -> Verdict {
        let record = self.records.get(&fingerprint);
        record.map_or(Verdict::Clear, |record| {
            record.verdict(now, fingerprint.scope())
        })
    }

    /// What may be done with a request, by all that is held against it and those like it.
    pub fn verdict_on(&self, now: Moment, request: &RequestFingerprints) -> Verdict {
        let verdicts = request.all().map(|own| self.verdict(now, own));
        verdicts.into_iter().max().unwrap_or(Verdict::Clear)
    }

    /// Notes that requests like this one are answered.
    pub fn note_answered(&mut self, now: Moment, request: &RequestFingerprints) {
        self.answered.add(now, request.path);
        self.answered.add(now, request.content);
    }

    /// Whether a request with this fingerprint was answered here lately, where that clears all that are alike. One
    /// and the same request may have come to end leafs since it was answered.
    fn is_known_good(&mut self, now: Moment, fingerprint: RequestFingerprint) -> bool {
        let is_wide = fingerprint.scope() != FingerprintScope::Exact;
        is_wide && self.answered.contains(now, fingerprint)
    }

    /// Whether leafs ended under a request in more than one event. Of the others there are many whenever a leaf
    /// ends, and few come again.
    pub fn is_serious(&self, fingerprint: RequestFingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(Record::is_serious)
    }

    /// Whether nothing is held of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a request was quarantined, and not cleared since.
    pub fn was_convicted(&self, fingerprint: RequestFingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.convictions > 0)
    }

    /// Requests that are quarantined now.
    pub fn quarantined(&self, now: Moment) -> Vec<RequestFingerprint> {
        let records = self.records.iter();
        let is_quarantined = |(fingerprint, record): &(&RequestFingerprint, &Record)| {
            let verdict = record.verdict(now, fingerprint.scope());
            matches!(verdict, Verdict::Quarantined(_))
        };
        let quarantined = records.filter(is_quarantined);
        quarantined.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Requests by verdict.
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

    /// Notes that a leaf ended while a request ran there. Returns what changed, if anything.
    pub fn on_strike(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        strike: Strike,
    ) -> Option<QuarantineChange> {
        if self.is_known_good(now, fingerprint) {
            return None;
        }
        self.update(now, fingerprint, |record| record.add(now, strike))
    }

    /// Notes that a leaf answered a request. Returns what changed, if anything.
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

    /// Takes in a request that was quarantined before this daemon started, as the source tells.
    pub fn restore(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
    ) -> Option<QuarantineChange> {
        self.update(now, fingerprint, |record| {
            let is_news = record.convictions == 0 && record.clearings == 0;
            if is_news {
                record.convict(now);
            }
            is_news
        })
    }

    /// Takes in what another daemon holds. Returns what changed, if anything.
    pub fn merge(&mut self, now: Moment, told: QuarantineRecord) -> Option<QuarantineChange> {
        let fingerprint = told.fingerprint;
        let other = told.into_record(now);
        let is_cleared = other.is_cleared();
        if !is_cleared && self.is_known_good(now, fingerprint) {
            return self.contradict(now, fingerprint, other);
        }
        if is_cleared && !self.records.contains_key(&fingerprint) {
            return None;
        }
        let change = self.update(now, fingerprint, |record| record.merge(now, other));
        match change {
            Some(_) if is_cleared => Some(QuarantineChange::Cleared),
            change => change,
        }
    }

    /// Clears what another daemon holds against requests of which one was answered here.
    fn contradict(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        mut other: Record,
    ) -> Option<QuarantineChange> {
        if self.records.len() >= MAXIMUM_RECORDS && !self.records.contains_key(&fingerprint) {
            self.make_room();
        }
        let record = self.records.entry(fingerprint).or_default();
        if record.clearings > other.clearings {
            return None;
        }
        other.clear(now);
        *record = other;
        Some(QuarantineChange::Contradicted)
    }

    /// What is held of one request, to be told to others.
    pub fn record(&self, now: Moment, fingerprint: RequestFingerprint) -> Option<QuarantineRecord> {
        let record = self.records.get(&fingerprint)?;
        Some(QuarantineRecord::new(now, fingerprint, record))
    }

    /// What is held of the requests that matter most, and which of them are cleared, to be told to others.
    pub fn most_important(&self, now: Moment, limit: usize) -> Vec<QuarantineRecord> {
        let is_told = |record: &Record| record.is_serious() || record.is_cleared();
        let records = self.records.iter();
        let mut records: Vec<_> = records.filter(|(_, record)| is_told(record)).collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(importance(record)));
        let told = records.into_iter().take(limit);
        told.map(|(fingerprint, record)| QuarantineRecord::new(now, *fingerprint, record))
            .collect()
    }

    /// A hash of what is held against serious suspects, but for times.
    pub fn digest(&self) -> u64 {
        let records = self.records.iter();
        let records = records.filter(|(_, record)| record.is_serious());
        let hashes = records.map(|(fingerprint, record)| {
            let mut leafs: Vec<u64> = record.strikes.iter().map(|strike| strike.leaf).collect();
            leafs.sort_unstable();
            let mut bytes = fingerprint.0.to_le_bytes().to_vec();
            bytes.extend(record.clearings.to_le_bytes());
            bytes.extend(record.convictions.to_le_bytes());
            bytes.extend(leafs.into_iter().flat_map(u64::to_le_bytes));
            xxh3_64(&bytes)
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Forgets what is old. Returns the requests among that which had been quarantined.
    pub fn forget_old(&mut self, now: Moment) -> Vec<RequestFingerprint> {
        let mut forgotten = Vec::new();
        self.records.retain(|fingerprint, record| {
            let is_expired = record.is_expired(now);
            if is_expired && record.convictions > 0 {
                forgotten.push(*fingerprint);
            }
            !is_expired
        });
        forgotten
    }

    fn update(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> Option<QuarantineChange> {
        if !self.records.contains_key(&fingerprint) {
            self.make_room();
        }
        let record = self.records.entry(fingerprint).or_default();
        let before = record.verdict(now, fingerprint.scope());
        let had_convictions = record.convictions;
        let is_news = change(record);
        let gained_conviction = record.convictions > had_convictions;
        if !is_news {
            return None;
        }
        if !gained_conviction {
            self.judge(now, fingerprint, before);
        }
        match (before, self.verdict(now, fingerprint)) {
            (Verdict::Quarantined(_), Verdict::Quarantined(_)) => Some(QuarantineChange::Learned),
            (_, Verdict::Quarantined(_)) => Some(QuarantineChange::Quarantined),
            (Verdict::Clear, Verdict::Suspect) => Some(QuarantineChange::Suspected),
            _ => Some(QuarantineChange::Learned),
        }
    }

    /// Convicts a request if its strikes do, or if a leaf ended under it again after its quarantine.
    fn judge(&mut self, now: Moment, fingerprint: RequestFingerprint, before: Verdict) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        let is_again = record.convictions > 0 && before == Verdict::Suspect;
        let is_first = record.convictions == 0 && record.is_guilty(fingerprint.scope());
        if !record.is_cleared() && (is_again || is_first) {
            record.convict(now);
        }
    }

    fn make_room(&mut self) {
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

/// What is forgotten last, and told first.
fn importance(record: &Record) -> (bool, usize, Moment) {
    let runs = record.successive_runs();
    (record.convictions > 0, runs, record.changed)
}
