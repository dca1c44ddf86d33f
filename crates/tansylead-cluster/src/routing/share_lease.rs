//! Loans of parts of a limit between roots.
//!
//! Owns [`LentParts`] (what this root must not use) and [`BorrowedParts`] (what it may use until
//! the lease expires). Safety rests on two rules that need no common clock:
//! - the lender's reservation starts when it *receives* the request and lasts the lease plus a
//!   margin, the borrower's lease starts when it *sent* the request, and so always ends first;
//! - a borrower holds one loan from each lender at a time: a new one replaces the old one, so the
//!   lender reserves the largest of the loans it granted to one borrower, not their sum.

use super::share_message::ShareParts;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Parts lent or borrowed, until a moment on this root's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Loan {
    parts: ShareParts,
    until: Moment,
}

/// Parts lent to peers.
#[derive(Debug, Clone, Default)]
pub(super) struct LentParts {
    loans: BTreeMap<NodeId, Vec<Loan>>,
}

impl LentParts {
    /// Parts reserved for borrowers now.
    pub fn total(&self, now: Moment) -> ShareParts {
        let reserved = self.loans.keys().map(|&node| self.reserved_for(now, node));
        reserved.fold(ShareParts::default(), ShareParts::plus)
    }

    /// Parts reserved for one borrower: the largest of its loans.
    pub fn reserved_for(&self, now: Moment, borrower: NodeId) -> ShareParts {
        let loans = self.loans.get(&borrower).into_iter().flatten();
        let active = loans.filter(|loan| now < loan.until);
        active.map(|loan| loan.parts).max().unwrap_or_default()
    }

    /// Records a loan.
    pub fn lend(&mut self, borrower: NodeId, parts: ShareParts, until: Moment) {
        let loans = self.loans.entry(borrower).or_default();
        // A loan that is no larger and ends no later never determines the maximum.
        loans.retain(|loan| loan.parts > parts || loan.until > until);
        loans.push(Loan { parts, until });
    }

    /// Removes what has expired.
    pub fn drop_expired(&mut self, now: Moment) {
        for loans in self.loans.values_mut() {
            loans.retain(|loan| now < loan.until);
        }
        self.loans.retain(|_, loans| !loans.is_empty());
    }

    /// When the next loan expires.
    pub fn next_expiry(&self) -> Option<Moment> {
        let loans = self.loans.values().flatten();
        loans.map(|loan| loan.until).min()
    }
}

/// A loan request without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingRequest {
    lender: NodeId,
    lease_until: Moment,
}

/// Parts borrowed from peers.
#[derive(Debug, Clone)]
pub(super) struct BorrowedParts {
    next_request_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    loans: BTreeMap<NodeId, Loan>,
}

impl BorrowedParts {
    /// No loans; requests are numbered from `first_request_id`.
    pub fn new(first_request_id: u64) -> Self {
        Self {
            next_request_id: first_request_id,
            pending: BTreeMap::new(),
            loans: BTreeMap::new(),
        }
    }

    /// Parts that may be used now.
    pub fn total(&self, now: Moment) -> ShareParts {
        let active = self.loans.values().filter(|loan| now < loan.until);
        let parts = active.map(|loan| loan.parts);
        parts.fold(ShareParts::default(), ShareParts::plus)
    }

    /// Parts borrowed from one lender that may be used now.
    pub fn from(&self, now: Moment, lender: NodeId) -> ShareParts {
        let loan = self.loans.get(&lender);
        let active = loan.filter(|loan| now < loan.until);
        active.map(|loan| loan.parts).unwrap_or_default()
    }

    /// Registers a new request; the lease of its loan starts now.
    pub fn open_request(&mut self, now: Moment, lender: NodeId, lease: Duration) -> u64 {
        let id = self.next_request_id;
        self.next_request_id += 1;
        let lease_until = now + lease;
        self.pending.insert(
            id,
            PendingRequest {
                lender,
                lease_until,
            },
        );
        id
    }

    /// Applies a grant; false if it answers no pending request to this lender or came too late.
    pub fn on_grant(&mut self, now: Moment, lender: NodeId, id: u64, parts: ShareParts) -> bool {
        if self.pending.get(&id).map(|request| request.lender) != Some(lender) {
            return false;
        }
        let Some(pending) = self.pending.remove(&id) else {
            return false;
        };
        let is_in_time = now < pending.lease_until;
        if is_in_time {
            let until = pending.lease_until;
            self.loans.insert(lender, Loan { parts, until });
        }
        is_in_time
    }

    /// Drops all loans and pending requests.
    pub fn drop_all(&mut self) {
        self.pending.clear();
        self.loans.clear();
    }

    /// Removes what has expired.
    pub fn drop_expired(&mut self, now: Moment) {
        self.pending.retain(|_, request| now < request.lease_until);
        self.loans.retain(|_, loan| now < loan.until);
    }

    /// When the next loan expires.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.loans.values().map(|loan| loan.until).min()
    }
}
