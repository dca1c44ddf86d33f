//! Queue of messages to other daemons about requests under which leafs end.
//!
//! Invariant: it is bounded in records, replies and messages a second; what is dropped is sent again by the
//! exchange of digests.

use super::messages::QuarantineMessage;
use crate::clock::Clock;
use crate::per_second::PerSecondLimit;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansylead_route::{QuarantineRecord, RequestFingerprint};
use tokio::sync::Notify;

/// Records of requests with a single strike sent in a second, each to some peers: with 32 peers and some 100 bytes
/// a record 160 kB while leafs end by the hundred, and nothing if none ends.
const RECORDS_PER_SECOND: u32 = 50;
/// The same for likely causes and for trials, of which there are few. Their limit is separate, so that records of
/// requests that only ran on the same leafs don't crowd them out.
const LIKELY_CAUSES_PER_SECOND: u32 = 50;
/// Replies to single peers in the queue.
const MAXIMUM_REPLIES: usize = 64;

/// How many daemons a record is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fanout {
    /// To the daemons of the zone and many others: the change was found by this daemon.
    Wide,
    /// To a few: the change came from another daemon, which has sent it to many.
    Relayed,
}

/// Messages to be sent.
#[derive(Debug, Default)]
pub struct OutgoingMessages {
    /// Records that this daemon changed itself, and the trials that it begins.
    pub wide: Vec<QuarantineMessage>,
    /// Records that other daemons changed.
    pub relayed: Vec<QuarantineMessage>,
    /// Messages to single peers.
    pub replies: Vec<(SocketAddr, Vec<QuarantineMessage>)>,
}

/// The queue.
#[derive(Debug)]
pub(super) struct Outbox {
    wide: RefCell<BTreeSet<RequestFingerprint>>,
    relayed: RefCell<BTreeSet<RequestFingerprint>>,
    trials: RefCell<BTreeSet<RequestFingerprint>>,
    replies: RefCell<Vec<(SocketAddr, Vec<QuarantineMessage>)>>,
    limit: PerSecondLimit,
    likely_cause_limit: PerSecondLimit,
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
            likely_cause_limit: PerSecondLimit::new(LIKELY_CAUSES_PER_SECOND),
            added: Notify::new(),
        }
    }
}

impl Outbox {
    /// Adds the record of a request; its content is that at the time of sending.
    pub(super) fn add_record(
        &self,
        fingerprint: RequestFingerprint,
        fanout: Fanout,
        is_likely_cause: bool,
    ) {
        let queue = match fanout {
            Fanout::Wide => &self.wide,
            Fanout::Relayed => &self.relayed,
        };
        let limit = match is_likely_cause {
            true => &self.likely_cause_limit,
            false => &self.limit,
        };
        self.add(queue, fingerprint, limit);
    }

    /// Adds a trial that this daemon begins.
    pub(super) fn add_trial(&self, fingerprint: RequestFingerprint) {
        self.add(&self.trials, fingerprint, &self.likely_cause_limit);
    }

    fn add(
        &self,
        queue: &RefCell<BTreeSet<RequestFingerprint>>,
        fingerprint: RequestFingerprint,
        limit: &PerSecondLimit,
    ) {
        let is_queued = queue.borrow().contains(&fingerprint);
        if !is_queued && limit.try_take(Clock.now()) {
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

    /// Takes all messages out; `record` returns the current record of a request.
    pub(super) fn take(
        &self,
        record: impl Fn(RequestFingerprint) -> Option<QuarantineRecord>,
    ) -> OutgoingMessages {
        let records = |queue: &RefCell<BTreeSet<RequestFingerprint>>| {
            let records = queue.take().into_iter().filter_map(&record);
            records.map(QuarantineMessage::Record).collect::<Vec<_>>()
        };
        let trials = self.trials.take().into_iter().map(QuarantineMessage::Trial);
        OutgoingMessages {
            wide: trials.chain(records(&self.wide)).collect(),
            relayed: records(&self.relayed),
            replies: self.replies.take(),
        }
    }
}
