//! What waits to be told to other daemons about requests under which leafs end.
//!
//! Invariant: it is bounded in records, replies and messages a second; what is dropped comes again with the
//! exchange of digests.

use super::messages::QuarantineMessage;
use crate::clock::Clock;
use crate::per_second::PerSecondLimit;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansylead_route::{QuarantineRecord, RequestFingerprint};
use tokio::sync::Notify;

/// Records told in a second, each to some peers, of requests that were struck once: with 32 peers and some 100
/// bytes a record 160 kB while leafs end by the hundred, and nothing on calm days.
const RECORDS_PER_SECOND: u32 = 50;
/// The same of serious suspects and of trials, of which there are few: victims must not keep them from being
/// told.
const SERIOUS_PER_SECOND: u32 = 50;
/// Answers that wait to be sent to single peers.
const MAXIMUM_REPLIES: usize = 64;

/// How far a record is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    /// To the daemons of the zone and many others: it is this daemon's own news.
    Wide,
    /// To a few: it is news of another daemon, which has told many.
    Relayed,
}

/// What is to be sent.
#[derive(Debug, Default)]
pub struct ToSend {
    /// Records of this daemon's own news, and the trials that it begins.
    pub wide: Vec<QuarantineMessage>,
    /// Records of others' news.
    pub relayed: Vec<QuarantineMessage>,
    /// Messages to single peers.
    pub replies: Vec<(SocketAddr, Vec<QuarantineMessage>)>,
}

/// What waits.
#[derive(Debug)]
pub(super) struct Outbox {
    wide: RefCell<BTreeSet<RequestFingerprint>>,
    relayed: RefCell<BTreeSet<RequestFingerprint>>,
    trials: RefCell<BTreeSet<RequestFingerprint>>,
    replies: RefCell<Vec<(SocketAddr, Vec<QuarantineMessage>)>>,
    limit: PerSecondLimit,
    serious_limit: PerSecondLimit,
    added: Notify,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            wide: RefCell::default(),
            relayed: RefCell::default(),
            trials: RefCell::default(),
            replies: RefCell::default(),
            limit: PerSecondLimit::new(RECORDS_PER_SECOND),
            serious_limit: PerSecondLimit::new(SERIOUS_PER_SECOND),
            added: Notify::new(),
        }
    }
}

impl Outbox {
    /// Adds the record of a request, as it is when it is sent.
    pub(super) fn add_record(
        &self,
        fingerprint: RequestFingerprint,
        reach: Reach,
        is_serious: bool,
    ) {
        let queue = match reach {
            Reach::Wide => &self.wide,
            Reach::Relayed => &self.relayed,
        };
        let limit = match is_serious {
            true => &self.serious_limit,
            false => &self.limit,
        };
        self.add(queue, fingerprint, limit);
    }

    /// Adds a trial that this daemon begins.
    pub(super) fn add_trial(&self, fingerprint: RequestFingerprint) {
        self.add(&self.trials, fingerprint, &self.serious_limit);
    }

    fn add(
        &self,
        queue: &RefCell<BTreeSet<RequestFingerprint>>,
        fingerprint: RequestFingerprint,
        limit: &PerSecondLimit,
    ) {
        let waits = queue.borrow().contains(&fingerprint);
        if !waits && limit.try_take(Clock.now()) {
            queue.borrow_mut().insert(fingerprint);
            self.added.notify_one();
        }
    }

    /// Adds messages to one peer.
    pub(super) fn reply(&self, to: SocketAddr, messages: Vec<QuarantineMessage>) {
        let mut replies = self.replies.borrow_mut();
        if replies.len() < MAXIMUM_REPLIES {
            replies.push((to, messages));
            self.added.notify_one();
        }
    }

    /// Waits until something was added.
    pub(super) async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all out; `record` gives what is held of a request now.
    pub(super) fn take(
        &self,
        record: impl Fn(RequestFingerprint) -> Option<QuarantineRecord>,
    ) -> ToSend {
        let records = |queue: &RefCell<BTreeSet<RequestFingerprint>>| {
            let records = queue.take().into_iter().filter_map(&record);
            records.map(QuarantineMessage::Record).collect::<Vec<_>>()
        };
        let trials = self.trials.take().into_iter().map(QuarantineMessage::Trial);
        ToSend {
            wide: trials.chain(records(&self.wide)).collect(),
            relayed: records(&self.relayed),
            replies: self.replies.take(),
        }
    }
}
