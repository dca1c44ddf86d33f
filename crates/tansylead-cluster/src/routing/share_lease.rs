//! Both sides of lending parts of a limit.
//!
//! Owns [`LentParts`] (what this root must not use) and [`BorrowedParts`] (what it may use for a
//! while). Safety rests on two rules that need no common clock:
//! - the lender's hold starts when it *receives* the ask and lasts the lease plus a margin, the
//!   borrower's lease starts when it *sent* the ask, and so always ends first;
//! - a borrower holds one loan from each lender at a time: a new one replaces the old one, so the
//!   lender holds back the largest of the loans it granted to one borrower, not their sum.

use super::share_message::ShareParts;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// One loan as the lender sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    parts: ShareParts,
    until: Moment,
}

/// Parts lent to peers.
#[derive(Debug, Clone, Default)]
pub(super) struct LentParts {
    holds: BTreeMap<NodeId, Vec<Hold>>,
}

impl LentParts {
    /// Parts held back now.
    pub fn total(&self, now: Moment) -> ShareParts {
        let held = self.holds.keys().map(|&node| self.held_for(now, node));
        held.fold(ShareParts::default(), ShareParts::plus)
    }

    /// Parts held back for one borrower: the largest of its loans.
    pub fn held_for(&self, now: Moment, borrower: NodeId) -> ShareParts {
        let holds = self.holds.get(&borrower).into_iter().flatten();
        let active = holds.filter(|hold| now < hold.until);
        active.map(|hold| hold.parts).max().unwrap_or_default()
    }

    /// Notes a loan.
    pub fn lend(&mut self, borrower: NodeId, parts: ShareParts, until: Moment) {
        let holds = self.holds.entry(borrower).or_default();
        // A hold that is no larger and ends no later never decides the maximum.
        holds.retain(|hold| hold.parts > parts || hold.until > until);
        holds.push(Hold { parts, until });
    }

    /// Forgets what has lapsed.
    pub fn forget_lapsed(&mut self, now: Moment) {
        for holds in self.holds.values_mut() {
            holds.retain(|hold| now < hold.until);
        }
        self.holds.retain(|_, holds| !holds.is_empty());
    }

    /// When the next hold ends.
    pub fn next_lapse(&self) -> Option<Moment> {
        let holds = self.holds.values().flatten();
        holds.map(|hold| hold.until).min()
    }
}

/// One ask without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OpenAsk {
    lender: NodeId,
    lease_until: Moment,
}

/// Parts borrowed from peers.
#[derive(Debug, Clone)]
pub(super) struct BorrowedParts {
    next_ask: u64,
    open: BTreeMap<u64, OpenAsk>,
    loans: BTreeMap<NodeId, Hold>,
}

impl BorrowedParts {
    /// No loans; asks are numbered from `first_ask`.
    pub fn new(first_ask: u64) -> Self {
        Self {
            next_ask: first_ask,
            open: BTreeMap::new(),
            loans: BTreeMap::new(),
        }
    }

    /// Parts that may be used now.
    pub fn total(&self, now: Moment) -> ShareParts {
        let active = self.loans.values().filter(|loan| now < loan.until);
        let parts = active.map(|loan| loan.parts);
        parts.fold(ShareParts::default(), ShareParts::plus)
    }

    /// Parts that may be used now of what one lender lent.
    pub fn from(&self, now: Moment, lender: NodeId) -> ShareParts {
        let loan = self.loans.get(&lender);
        let active = loan.filter(|loan| now < loan.until);
        active.map(|loan| loan.parts).unwrap_or_default()
    }

    /// Opens an ask; the lease of its loan starts now.
    pub fn open_ask(&mut self, now: Moment, lender: NodeId, lease: Duration) -> u64 {
        let ask = self.next_ask;
        self.next_ask += 1;
        let lease_until = now + lease;
        self.open.insert(
            ask,
            OpenAsk {
                lender,
                lease_until,
            },
        );
        ask
    }

    /// Takes a grant; false if it answers no open ask of this lender or came too late.
    pub fn on_grant(&mut self, now: Moment, lender: NodeId, ask: u64, parts: ShareParts) -> bool {
        if self.open.get(&ask).map(|open| open.lender) != Some(lender) {
            return false;
        }
        let Some(open) = self.open.remove(&ask) else {
            return false;
        };
        let in_time = now < open.lease_until;
        if in_time {
            let until = open.lease_until;
            self.loans.insert(lender, Hold { parts, until });
        }
        in_time
    }

    /// Gives up all loans and open asks.
    pub fn drop_all(&mut self) {
        self.open.clear();
        self.loans.clear();
    }

    /// Forgets what has lapsed.
    pub fn forget_lapsed(&mut self, now: Moment) {
        self.open.retain(|_, open| now < open.lease_until);
        self.loans.retain(|_, loan| now < loan.until);
    }

    /// When the next loan ends.
    pub fn next_lapse(&self) -> Option<Moment> {
        self.loans.values().map(|loan| loan.until).min()
    }
}
