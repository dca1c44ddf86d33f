//! The requests under which leafs end, as this daemon knows them, and what it has to tell of them.
//!
//! Invariant: what waits to be sent is bounded; what is dropped comes again with the exchange of digests.

use super::messages::{QuarantineMessage, TableDigest};
use super::trials::Trials;
use crate::clock::Clock;
use crate::execution::{Refusal, RefusalReason};
use crate::logging::count_suppressed;
use crate::per_second::PerSecondLimit;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_route::{
    Quarantine, QuarantineChange, QuarantineCounts, QuarantineRecord, RequestFingerprint,
    RequestFingerprints, Strike, Verdict,
};
use tansylead_types::Moment;
use tokio::sync::Notify;

/// Records told in a second, each to some peers, of requests that were struck once: with 32 peers and some 100
/// bytes a record 160 kB while leafs end by the hundred, and nothing on calm days.
const RECORDS_PER_SECOND: u32 = 50;
/// The same of serious suspects, of which there are few: victims must not keep them from being told.
const SERIOUS_RECORDS_PER_SECOND: u32 = 50;
/// Lines on changes of verdicts in a second; each leaf that ends changes those on several requests.
const LINES_PER_SECOND: u32 = 20;
/// Records sent in answer to one digest.
const RECORDS_IN_EXCHANGE: usize = 32;
/// Time without a tick, which come four times a second, after which this daemon has stood still: shorter than
/// what makes two events of one.
const LONGEST_TICK: Duration = Duration::from_millis(900);
/// Messages are passed over for this long after that: a few rounds of reading a full socket.
pub const DISTRUST: Duration = Duration::from_millis(250);
/// Answers that wait to be sent to single peers.
const MAXIMUM_REPLIES: usize = 64;

/// How far a record is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
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

/// The state.
#[derive(Debug)]
pub struct QuarantineState {
    table: RefCell<Quarantine>,
    wide: RefCell<BTreeSet<RequestFingerprint>>,
    relayed: RefCell<BTreeSet<RequestFingerprint>>,
    replies: RefCell<Vec<(SocketAddr, Vec<QuarantineMessage>)>>,
    limit: PerSecondLimit,
    serious_limit: PerSecondLimit,
    line_limit: PerSecondLimit,
    to_send: Notify,
    /// Trials that this daemon begins, to be told.
    begun: RefCell<Vec<RequestFingerprint>>,
    /// Trials of others.
    trials: Trials,
    /// Something was learned.
    changed: Notify,
    /// When this daemon last knew that it runs, and until when what comes may have waited while it did not.
    ticked: Cell<Option<Moment>>,
    distrusts_until: Cell<Moment>,
    /// Whether this daemon knows what was quarantined before it started.
    is_complete: Cell<bool>,
    /// Requests quarantined or cleared here, to be told to the source.
    to_keep: RefCell<Vec<KeptChange>>,
    keeping: Notify,
}

/// A change that the source must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeptChange {
    /// The request is quarantined; found here, or told by another daemon that keeps it first.
    Quarantined {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Whether this daemon's own evidence decided.
        is_own: bool,
    },
    /// The request is cleared.
    Cleared(RequestFingerprint),
}

impl Default for QuarantineState {
    fn default() -> Self {
        Self {
            table: RefCell::default(),
            wide: RefCell::default(),
            relayed: RefCell::default(),
            replies: RefCell::default(),
            limit: PerSecondLimit::new(RECORDS_PER_SECOND),
            serious_limit: PerSecondLimit::new(SERIOUS_RECORDS_PER_SECOND),
            line_limit: PerSecondLimit::new(LINES_PER_SECOND),
            to_send: Notify::new(),
            begun: RefCell::default(),
            trials: Trials::default(),
            changed: Notify::new(),
            ticked: Cell::new(None),
            distrusts_until: Cell::default(),
            is_complete: Cell::new(false),
            to_keep: RefCell::default(),
            keeping: Notify::new(),
        }
    }
}

impl QuarantineState {
    /// What may be done with a request.
    pub fn verdict(&self, request: &RequestFingerprints) -> Verdict {
        self.table.borrow().verdict_on(Clock.now(), request)
    }

    /// The refusal of a request that is quarantined.
    pub fn refusal(&self, request: &RequestFingerprints) -> Option<Refusal> {
        match self.verdict(request) {
            Verdict::Quarantined(left) => Some(Refusal {
                reason: RefusalReason::EndsLeafs,
                retry_after: Some(left),
            }),
            Verdict::Clear | Verdict::Suspect => None,
        }
    }

    /// Until when the trial of a suspect by another daemon is waited for; none if there is none.
    pub fn trial_until(&self, request: &RequestFingerprints) -> Option<Moment> {
        self.trials.until(Clock.now(), request.path)
    }

    /// Notes that this daemon begins to try a suspect, and tells the others.
    pub fn begin_trial(&self, request: &RequestFingerprints) {
        let mut begun = self.begun.borrow_mut();
        if self.serious_limit.try_take(Clock.now()) && !begun.contains(&request.path) {
            begun.push(request.path);
            self.to_send.notify_one();
        }
    }

    /// Waits until something is learned of any request.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Requests by verdict.
    pub fn counts(&self) -> QuarantineCounts {
        self.table.borrow().counts(Clock.now())
    }

    /// Notes that a leaf ended while a request ran there.
    pub fn on_strike(&self, request: &RequestFingerprints, strike: Strike) {
        for fingerprint in request.all() {
            let mut table = self.table.borrow_mut();
            let changed = table.on_strike(Clock.now(), fingerprint, strike);
            drop(table);
            self.on_change(fingerprint, changed, Reach::Wide);
        }
    }

    /// Notes that a leaf answered a request.
    pub fn on_answer(&self, request: &RequestFingerprints) {
        self.table.borrow_mut().note_answered(Clock.now(), request);
        if self.table.borrow().is_empty() {
            return;
        }
        for fingerprint in request.all() {
            let was_convicted = self.table.borrow().was_convicted(fingerprint);
            let changed = self.table.borrow_mut().on_answer(Clock.now(), fingerprint);
            if changed.is_some() && was_convicted {
                self.keep(KeptChange::Cleared(fingerprint));
            }
            self.on_change(fingerprint, changed, Reach::Wide);
        }
    }

    /// Takes in requests that were quarantined before this daemon started, as the source tells.
    pub fn restore(&self, fingerprints: &[RequestFingerprint]) {
        for fingerprint in fingerprints {
            let changed = self.table.borrow_mut().restore(Clock.now(), *fingerprint);
            if changed.is_some() {
                log::info!(fingerprint:% = fingerprint; "request quarantined, as the source tells");
            }
        }
        self.set_complete();
    }

    /// Whether this daemon knows what was quarantined before it started.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    fn set_complete(&self) {
        self.is_complete.set(true);
    }

    /// Forgets what is old. Returns the requests among that which had been quarantined.
    pub fn forget_old(&self) -> Vec<RequestFingerprint> {
        self.table.borrow_mut().forget_old(Clock.now())
    }

    /// Whether anything is held that others might lack.
    pub fn has_records(&self) -> bool {
        !self.table.borrow().is_empty()
    }

    /// Takes in what another daemon sent.
    pub fn receive(&self, from: SocketAddr, messages: Vec<QuarantineMessage>) {
        if self.distrusts(Clock.now()) {
            return;
        }
        for message in messages {
            match message {
                QuarantineMessage::Record(record) => self.merge(record),
                QuarantineMessage::Trial(request) => self.trials.begin(Clock.now(), request),
                QuarantineMessage::Digest(digest) => self.compare(from, digest),
            }
        }
    }

    /// Notes that this daemon runs. `is_resumed` says that it did not for a while: what waited in the socket looks
    /// as if it had just happened, and one event would look like two.
    pub fn tick(&self, now: Moment, is_resumed: bool) {
        self.ticked.set(Some(now));
        if is_resumed {
            self.distrusts_until.set(now + DISTRUST);
        }
    }

    fn distrusts(&self, now: Moment) -> bool {
        let has_stood = self
            .ticked
            .get()
            .is_some_and(|ticked| now.since(ticked) > LONGEST_TICK);
        has_stood || now < self.distrusts_until.get()
    }

    fn merge(&self, record: QuarantineRecord) {
        let fingerprint = record.fingerprint;
        let changed = self.table.borrow_mut().merge(Clock.now(), record);
        let reach = match changed {
            // The others hold what this daemon knows to be wrong.
            Some(QuarantineChange::Contradicted) => Reach::Wide,
            _ => Reach::Relayed,
        };
        self.on_change(fingerprint, changed, reach);
    }

    /// Answers a digest of something else than is held here.
    fn compare(&self, from: SocketAddr, digest: TableDigest) {
        let own = self.digest(true);
        if digest.hash == own.hash {
            if digest.is_complete {
                self.set_complete();
            } else if own.is_complete && !digest.is_reply {
                self.reply(from, vec![QuarantineMessage::Digest(own)]);
            }
            return;
        }
        let table = self.table.borrow();
        let records = table.most_important(Clock.now(), RECORDS_IN_EXCHANGE);
        let mut messages: Vec<QuarantineMessage> =
            records.into_iter().map(QuarantineMessage::Record).collect();
        if !digest.is_reply {
            messages.push(QuarantineMessage::Digest(own));
        } else if digest.is_complete {
            // Its records came before it.
            self.set_complete();
        }
        self.reply(from, messages);
    }

    /// What is held here, as a hash.
    pub fn digest(&self, is_reply: bool) -> TableDigest {
        TableDigest {
            hash: self.table.borrow().digest(),
            is_complete: self.is_complete.get(),
            is_reply,
        }
    }

    /// Sends a digest of what is held here to a peer.
    pub fn ask(&self, peer: SocketAddr) {
        let digest = self.digest(false);
        self.reply(peer, vec![QuarantineMessage::Digest(digest)]);
    }

    fn reply(&self, to: SocketAddr, messages: Vec<QuarantineMessage>) {
        let mut replies = self.replies.borrow_mut();
        if replies.len() < MAXIMUM_REPLIES {
            replies.push((to, messages));
            self.to_send.notify_one();
        }
    }

    fn on_change(
        &self,
        fingerprint: RequestFingerprint,
        changed: Option<QuarantineChange>,
        reach: Reach,
    ) {
        let Some(change) = changed else {
            return;
        };
        if Self::is_decided(change) {
            self.trials.end(fingerprint);
        }
        self.changed.notify_waiters();
        let is_own = reach == Reach::Wide;
        self.write_line(fingerprint, change, is_own);
        if change == QuarantineChange::Quarantined {
            self.keep(KeptChange::Quarantined {
                fingerprint,
                is_own,
            });
        }
        self.tell(fingerprint, change, reach);
    }

    /// Whether whoever tried the request has found out.
    fn is_decided(change: QuarantineChange) -> bool {
        !matches!(
            change,
            QuarantineChange::Learned | QuarantineChange::Suspected
        )
    }

    fn write_line(&self, fingerprint: RequestFingerprint, change: QuarantineChange, is_own: bool) {
        if change == QuarantineChange::Learned {
            return;
        }
        let is_conviction = change == QuarantineChange::Quarantined;
        if !self.line_limit.try_take(Clock.now()) && !is_conviction {
            count_suppressed(1);
            return;
        }
        let scope = fingerprint.scope().label();
        log::info!(fingerprint:% = fingerprint, scope = scope, change = change.label(), is_own = is_own; "request under which leafs end");
    }

    fn tell(&self, fingerprint: RequestFingerprint, change: QuarantineChange, reach: Reach) {
        let queue = match reach {
            Reach::Wide => &self.wide,
            // A single strike is told by the daemon that saw it.
            Reach::Relayed if change == QuarantineChange::Learned => return,
            Reach::Relayed => &self.relayed,
        };
        if queue.borrow().contains(&fingerprint) {
            return;
        }
        let limit = match self.table.borrow().is_serious(fingerprint) {
            true => &self.serious_limit,
            false => &self.limit,
        };
        if limit.try_take(Clock.now()) {
            queue.borrow_mut().insert(fingerprint);
            self.to_send.notify_one();
        }
    }

    /// Waits until there is something to send.
    pub async fn to_send(&self) {
        self.to_send.notified().await;
    }

    /// Takes out what is to be sent.
    pub fn take_to_send(&self) -> ToSend {
        let records = |queue: &RefCell<BTreeSet<RequestFingerprint>>| {
            let table = self.table.borrow();
            let queue = queue.take();
            let records = queue
                .into_iter()
                .filter_map(|fingerprint| table.record(Clock.now(), fingerprint));
            records.map(QuarantineMessage::Record).collect()
        };
        let trials = self.begun.take().into_iter().map(QuarantineMessage::Trial);
        let wide: Vec<QuarantineMessage> = records(&self.wide);
        ToSend {
            wide: trials.chain(wide).collect(),
            relayed: records(&self.relayed),
            replies: self.replies.take(),
        }
    }

    fn keep(&self, change: KeptChange) {
        /// Changes that wait for the source: as many as requests are remembered.
        const MAXIMUM_WAITING: usize = tansylead_route::MAXIMUM_RECORDS;
        let mut waiting = self.to_keep.borrow_mut();
        if waiting.len() < MAXIMUM_WAITING {
            waiting.push(change);
            self.keeping.notify_one();
        }
    }

    /// Waits for changes that the source must keep, and takes them out.
    pub async fn changes_to_keep(&self) -> Vec<KeptChange> {
        while self.to_keep.borrow().is_empty() {
            self.keeping.notified().await;
        }
        self.to_keep.take()
    }
}
