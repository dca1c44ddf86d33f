//! Record of the strikes against one request, and the verdict that follows from them.

use super::fingerprint::FingerprintScope;
use super::strike::{Strike, after_first_event, count_events, count_successive};
use std::collections::HashSet;
use std::time::Duration;
use tansylead_types::Moment;

/// Runs that leafs ended under before a request is suspect: a single leaf may end for any reason.
const SUSPECT_RUNS: usize = 2;
/// Successive strikes needed to quarantine a request. Even while many leafs crash, a harmless request meets a
/// crashing leaf with a probability of a few in a hundred, so three in a row have one of a few in 100,000. Two may
/// be one event that takes down all leafs.
const QUARANTINE_RUNS: usize = 3;
/// Callers that must have strikes before the same content is refused from every caller. With one, the fault may lie
/// with that caller.
const CONTENT_SCOPE_CALLERS: usize = 2;
/// Most strikes kept of overlapping runs, as further ones of the same event add no information.
const MAXIMUM_STRIKES_PER_EVENT: usize = 3;
/// Most strikes kept of one request.
const MAXIMUM_STRIKES: usize = 16;
/// Events that the successive strikes must span. A request that merely runs beside the cause of one event may be
/// struck several times during it, but is answered before the next.
const QUARANTINE_EVENTS: usize = 2;
/// Length of the first quarantine; each further one is twice as long as the one before. Afterwards the request is tried
/// on one leaf: a request that was quarantined wrongly is served again, and a fatal one ends a single leaf.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(120);
/// Most doublings of the quarantine, which is then about an hour long.
const MAXIMUM_DOUBLINGS: u32 = 5;
/// How long a record is kept after the end of its last quarantine.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(3_600);
/// How long a record without a quarantine is kept after its last strike.
const STRIKE_RETENTION: Duration = Duration::from_secs(600);
/// How long a cleared record is kept, so that strikes that are still in transit do not count.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// How a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Without restrictions.
    Clear,
    /// To one leaf at a time.
    Suspect,
    /// To no leaf, for this remaining time.
    Quarantined(Duration),
}

/// Strikes and quarantines of one request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct Record {
    /// How often the request was answered after leafs had ended under it. Each time, all earlier strikes and
    /// quarantines are dropped.
    pub(super) times_cleared: u32,
    /// Quarantines since the request was last cleared.
    pub(super) times_quarantined: u32,
    /// End of the last quarantine, if there was one.
    pub(super) quarantined_until: Moment,
    pub(super) strikes: Vec<Strike>,
    /// When the record last changed.
    pub(super) changed: Moment,
}

impl Record {
    pub(super) fn verdict(&self, now: Moment, scope: FingerprintScope) -> Verdict {
        if self.times_quarantined > 0 && now < self.quarantined_until {
            Verdict::Quarantined(self.quarantined_until.since(now))
        } else if self.times_quarantined > 0 || self.is_suspect(scope) {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }

    /// Strikes of one event suffice, except in the content scope, which also applies to other callers.
    fn is_suspect(&self, scope: FingerprintScope) -> bool {
        match scope {
            FingerprintScope::Exact | FingerprintScope::Path => self.strikes.len() >= SUSPECT_RUNS,
            FingerprintScope::Content => self.successive_runs() > 1 && self.has_several_callers(),
        }
    }

    fn has_several_callers(&self) -> bool {
        let callers: HashSet<u32> = self.strikes.iter().map(|strike| strike.caller).collect();
        callers.len() >= CONTENT_SCOPE_CALLERS
    }

    /// Adds a strike; returns whether it was new and was kept.
    pub(super) fn add(&mut self, now: Moment, strike: Strike) -> bool {
        let is_known = self.strikes.iter().any(|known| known.leaf == strike.leaf);
        if is_known || self.strikes.len() >= MAXIMUM_STRIKES {
            return false;
        }
        // Which strikes of one event are kept depends on nothing but the leafs, so that the records of all daemons
        // converge.
        let overlapping = self.strikes.iter().filter(|known| known.overlaps(&strike));
        let same_event: Vec<u64> = overlapping.map(|known| known.leaf).collect();
        if same_event.len() >= MAXIMUM_STRIKES_PER_EVENT {
            let greatest = same_event.into_iter().max().unwrap_or_default();
            if strike.leaf > greatest {
                return false;
            }
            self.strikes.retain(|known| known.leaf != greatest);
        }
        self.strikes.push(strike);
        self.changed = now;
        true
    }

    /// Strikes of runs that followed one another.
    pub(super) fn successive_runs(&self) -> usize {
        count_successive(&self.strikes)
    }

    /// Whether leafs ended under successive runs of the request. Requests that merely ran beside the cause were
    /// usually struck only once.
    pub(super) fn is_likely_cause(&self) -> bool {
        self.times_quarantined > 0 || self.successive_runs() > 1
    }

    /// Whether the strikes are enough to quarantine the request.
    pub(super) fn warrants_quarantine(&self, scope: FingerprintScope) -> bool {
        let is_one_caller = scope != FingerprintScope::Content;
        let is_enough = self.successive_runs() >= QUARANTINE_RUNS
            && count_events(&self.strikes) >= QUARANTINE_EVENTS;
        is_enough && (is_one_caller || self.has_several_callers())
    }

    /// Whether the strikes are enough to quarantine the request, which has not been done.
    pub(super) fn is_undecided(&self, scope: FingerprintScope) -> bool {
        self.times_quarantined == 0 && self.warrants_quarantine(scope)
    }

    /// Strikes of all events but the first. In the first one, leafs may end so fast under another request that this
    /// one is struck by several in succession.
    pub(super) fn later_strikes(&self) -> Vec<Strike> {
        after_first_event(&self.strikes)
    }

    /// Whether the strikes span more events than a quarantine requires.
    pub(super) fn has_further_events(&self) -> bool {
        count_events(&self.strikes) > QUARANTINE_EVENTS
    }

    /// Whether the strikes of both records are against requests of the same content.
    pub(super) fn has_content_of(&self, other: &Self) -> bool {
        let content = |record: &Self| record.strikes.first().map(|strike| strike.request);
        content(self) == content(other)
    }

    /// Whether the request may be the cause of several events: it was struck in so many, or was quarantined.
    pub(super) fn may_be_cause(&self) -> bool {
        self.times_quarantined > 0 || count_events(&self.strikes) >= QUARANTINE_EVENTS
    }

    /// Whether the leaf of this strike may have ended under this request too: it has a strike of the same leaf, or so
    /// many at that time that not all of them are kept.
    pub(super) fn may_share(&self, strike: &Strike) -> bool {
        let mut strikes = self.strikes.iter();
        let overlapping = self.strikes.iter().filter(|own| own.overlaps(strike));
        strikes.any(|own| own.leaf == strike.leaf)
            || overlapping.count() >= MAXIMUM_STRIKES_PER_EVENT
    }

    /// Quarantines the request, for twice as long as the time before, up to the maximum.
    pub(super) fn quarantine(&mut self, now: Moment) {
        self.times_quarantined = self.times_quarantined.saturating_add(1);
        let doublings = (self.times_quarantined - 1).min(MAXIMUM_DOUBLINGS);
        self.quarantined_until = now + INITIAL_QUARANTINE * 2_u32.pow(doublings);
        self.changed = now;
    }

    /// Drops all strikes and quarantines, as a leaf has answered the request.
    pub(super) fn clear(&mut self, now: Moment) {
        *self = Self {
            times_cleared: self.times_cleared.saturating_add(1),
            changed: now,
            ..Self::default()
        };
    }

    /// Whether nothing is held against the request.
    pub(super) fn is_cleared(&self) -> bool {
        self.times_quarantined == 0 && self.strikes.is_empty()
    }

    pub(super) fn is_expired(&self, now: Moment) -> bool {
        let retention = match self.times_quarantined {
            0 if self.strikes.is_empty() => CLEARED_RETENTION,
            0 => STRIKE_RETENTION,
            _ => QUARANTINE_RETENTION,
        };
        now.since(self.changed.max(self.quarantined_until)) > retention
    }

    /// Merges another daemon's record of the same request; returns whether it contained anything new.
    pub(super) fn merge(&mut self, now: Moment, other: Record) -> bool {
        if other.times_cleared < self.times_cleared {
            return false;
        }
        if other.times_cleared > self.times_cleared {
            *self = Record {
                changed: now,
                ..other
            };
            return true;
        }
        let is_later = other.times_quarantined > self.times_quarantined;
        if is_later {
            self.times_quarantined = other.times_quarantined;
            self.changed = now;
        }
        if other.times_quarantined == self.times_quarantined {
            self.quarantined_until = self.quarantined_until.max(other.quarantined_until);
        }
        let mut has_news = is_later;
        for strike in other.strikes {
            has_news |= self.add(now, strike);
        }
        has_news
    }
}
