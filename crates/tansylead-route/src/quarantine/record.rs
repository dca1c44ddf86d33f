//! What is known of one request under which leafs ended, and what follows from it.

use super::fingerprint::FingerprintScope;
use super::strike::{Strike, events, successive};
use std::collections::HashSet;
use std::time::Duration;
use tansylead_types::Moment;

/// Leafs that ended under a request before it is sent with care: one may end for any reason.
const SUSPECT_LEAFS: usize = 2;
/// Leafs that ended, one run after the other, before a request is refused. An innocent request runs on a leaf
/// that ends meanwhile with a probability of a few in a hundred even while many leafs crash, so three in a row
/// are a few in 100,000; and two may be one event that strikes all leafs.
const QUARANTINE_RUNS: usize = 3;
/// Callers under whose requests leafs ended before the same content is refused whoever sends it: with one it
/// may be the caller.
const CALLERS_FOR_CONTENT: usize = 2;
/// Strikes kept of runs that went on at the same time: more of one event say nothing more.
const STRIKES_OF_ONE_EVENT: usize = 3;
/// Strikes kept in all.
const MAXIMUM_STRIKES: usize = 16;
/// Events that these runs belong to, at least: a request that runs beside the cause of one is struck again and
/// again while it lasts, and answered before the next.
const QUARANTINE_EVENTS: usize = 2;
/// How long a request is refused after its first conviction; twice as long after each further one. Then it is
/// tried at one leaf: who was convicted wrongly is served again, and the cause ends one leaf.
const FIRST_QUARANTINE: Duration = Duration::from_secs(120);
/// Doublings of that time at most, to about an hour.
const MAXIMUM_DOUBLINGS: u32 = 5;
/// A request that was quarantined is remembered this long after the end of its quarantine.
const CONVICTED_MEMORY: Duration = Duration::from_secs(3_600);
/// One that was not is remembered this long after its last strike.
const STRIKE_MEMORY: Duration = Duration::from_secs(600);
/// A cleared record is remembered this long, so that strikes which are still on their way do not count.
const CLEARED_MEMORY: Duration = Duration::from_secs(60);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Anything.
    Clear,
    /// It may go to one leaf at a time.
    Suspect,
    /// It may go to none, for so long.
    Quarantined(Duration),
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct Record {
    /// How often a leaf answered the request after others had ended: what came before counts for nothing.
    pub(super) clearings: u32,
    /// How often it was quarantined since.
    pub(super) convictions: u32,
    /// Until when it is refused, if it was ever quarantined.
    pub(super) until: Moment,
    pub(super) strikes: Vec<Strike>,
    /// When anything was last learned.
    pub(super) changed: Moment,
}

impl Record {
    pub(super) fn verdict(&self, now: Moment, scope: FingerprintScope) -> Verdict {
        if self.convictions > 0 && now < self.until {
            Verdict::Quarantined(self.until.since(now))
        } else if self.convictions > 0 || self.is_suspect(scope) {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }

    /// One event is enough for care, but not with what comes from other callers.
    fn is_suspect(&self, scope: FingerprintScope) -> bool {
        match scope {
            FingerprintScope::Exact | FingerprintScope::Path => self.strikes.len() >= SUSPECT_LEAFS,
            FingerprintScope::Content => self.successive_runs() > 1 && self.has_several_callers(),
        }
    }

    fn has_several_callers(&self) -> bool {
        let callers: HashSet<u32> = self.strikes.iter().map(|strike| strike.caller).collect();
        callers.len() >= CALLERS_FOR_CONTENT
    }

    /// Adds a strike; returns whether it tells anything new.
    pub(super) fn add(&mut self, now: Moment, strike: Strike) -> bool {
        let is_known = self.strikes.iter().any(|known| known.leaf == strike.leaf);
        if is_known || self.strikes.len() >= MAXIMUM_STRIKES {
            return false;
        }
        // Which strikes of one event are kept hangs on nothing but the leafs, so that daemons come to hold
        // the same.
        let overlapping = self.strikes.iter().filter(|known| known.overlaps(&strike));
        let one_event: Vec<u64> = overlapping.map(|known| known.leaf).collect();
        if one_event.len() >= STRIKES_OF_ONE_EVENT {
            let greatest = one_event.into_iter().max().unwrap_or_default();
            if strike.leaf > greatest {
                return false;
            }
            self.strikes.retain(|known| known.leaf != greatest);
        }
        self.strikes.push(strike);
        self.changed = now;
        true
    }

    /// Leafs that ended one after the other.
    pub(super) fn successive_runs(&self) -> usize {
        successive(&self.strikes)
    }

    /// Whether leafs ended under the request in more than one event: those that merely ran beside the cause
    /// were struck once.
    pub(super) fn is_serious(&self) -> bool {
        self.convictions > 0 || self.successive_runs() > 1
    }

    /// Whether the strikes convict the request.
    pub(super) fn is_guilty(&self, scope: FingerprintScope) -> bool {
        let is_of_caller = scope != FingerprintScope::Content;
        let is_enough =
            self.successive_runs() >= QUARANTINE_RUNS && events(&self.strikes) >= QUARANTINE_EVENTS;
        is_enough && (is_of_caller || self.has_several_callers())
    }

    /// Quarantines the request, once more if it was before.
    pub(super) fn convict(&mut self, now: Moment) {
        self.convictions = self.convictions.saturating_add(1);
        let doublings = (self.convictions - 1).min(MAXIMUM_DOUBLINGS);
        self.until = now + FIRST_QUARANTINE * 2_u32.pow(doublings);
        self.changed = now;
    }

    /// A leaf has answered the request: it did not end the others.
    pub(super) fn clear(&mut self, now: Moment) {
        *self = Self {
            clearings: self.clearings.saturating_add(1),
            changed: now,
            ..Self::default()
        };
    }

    /// Whether nothing is held against the request.
    pub(super) fn is_cleared(&self) -> bool {
        self.convictions == 0 && self.strikes.is_empty()
    }

    pub(super) fn is_expired(&self, now: Moment) -> bool {
        let memory = match self.convictions {
            0 if self.strikes.is_empty() => CLEARED_MEMORY,
            0 => STRIKE_MEMORY,
            _ => CONVICTED_MEMORY,
        };
        now.since(self.changed.max(self.until)) > memory
    }

    /// Takes in what another daemon holds of the same request; returns whether that tells anything new.
    pub(super) fn merge(&mut self, now: Moment, other: Record) -> bool {
        if other.clearings < self.clearings {
            return false;
        }
        if other.clearings > self.clearings {
            *self = Record {
                changed: now,
                ..other
            };
            return true;
        }
        let is_later = other.convictions > self.convictions;
        if is_later {
            self.convictions = other.convictions;
            self.changed = now;
        }
        if other.convictions == self.convictions {
            self.until = self.until.max(other.until);
        }
        let mut is_news = is_later;
        for strike in other.strikes {
            is_news |= self.add(now, strike);
        }
        is_news
    }
}
