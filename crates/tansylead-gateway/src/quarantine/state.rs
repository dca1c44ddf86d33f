//! The requests under which leafs end, as this daemon knows them, and what follows for its requests.

use super::kept_changes::{KeptChange, KeptChanges};
use super::messages::{QuarantineMessage, TableDigest};
use super::outbox::{Outbox, Reach, ToSend};
use super::trials::Trials;
use crate::clock::Clock;
use crate::execution::{Refusal, RefusalReason};
use crate::logging::count_suppressed;
use crate::per_second::PerSecondLimit;
use crate::roll_out::PauseGuard;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_route::{
    Quarantine, QuarantineChange, QuarantineCounts, QuarantineRecord, RequestFingerprint,
    RequestFingerprints, Strike, Verdict,
};
use tansylead_types::Moment;
use tokio::sync::Notify;

/// Lines on changes of verdicts in a second; each leaf that ends changes those on several requests.
const LINES_PER_SECOND: u32 = 20;
/// Records sent in answer to one digest.
const RECORDS_IN_EXCHANGE: usize = 32;
/// Time without a tick, which come four times a second, after which this daemon has stood still: shorter than
/// what makes two events of one.
const LONGEST_TICK: Duration = Duration::from_millis(900);

/// The state.
#[derive(Debug)]
pub struct QuarantineState {
    table: RefCell<Quarantine>,
    outbox: Outbox,
    /// Trials of other daemons.
    trials: Trials,
    /// Something was learned.
    changed: Notify,
    /// What comes after this daemon stood still may have waited meanwhile.
    pause_guard: RefCell<PauseGuard>,
    /// Whether this daemon knows what was quarantined before it started.
    is_complete: Cell<bool>,
    kept_changes: KeptChanges,
    line_limit: PerSecondLimit,
}

impl Default for QuarantineState {
    fn default() -> Self {
        Self {
            table: RefCell::default(),
            outbox: Outbox::default(),
            trials: Trials::default(),
            changed: Notify::new(),
            pause_guard: RefCell::new(PauseGuard::new(LONGEST_TICK)),
            is_complete: Cell::new(false),
            kept_changes: KeptChanges::default(),
            line_limit: PerSecondLimit::new(LINES_PER_SECOND),
        }
    }
}

impl QuarantineState {
    /// What may be done with a request.
    pub fn verdict(&self, request: &RequestFingerprints) -> Verdict {
        self.table.borrow().strictest_verdict(Clock.now(), request)
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
        self.outbox.add_trial(request.path);
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
            let was_convicted = self.table.borrow().was_quarantined(fingerprint);
            let changed = self.table.borrow_mut().on_answer(Clock.now(), fingerprint);
            if changed.is_some() && was_convicted {
                self.kept_changes.add(KeptChange::Cleared(fingerprint));
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

    /// Has the source keep all that is quarantined once more: it has lost what it kept lately. Returns how many
    /// requests that are.
    pub(crate) fn keep_again(&self) -> usize {
        let quarantined = self.table.borrow().quarantined(Clock.now());
        for fingerprint in &quarantined {
            let (fingerprint, is_own) = (*fingerprint, false);
            self.kept_changes.add(KeptChange::Quarantined {
                fingerprint,
                is_own,
            });
        }
        quarantined.len()
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
        self.table.borrow_mut().remove_expired(Clock.now())
    }

    /// Whether anything is held that others might lack.
    pub fn has_records(&self) -> bool {
        !self.table.borrow().is_empty()
    }

    /// Takes in what another daemon sent.
    pub fn receive(&self, from: SocketAddr, messages: Vec<QuarantineMessage>) {
        let now = Clock.now();
        let guard = self.pause_guard.borrow();
        if guard.is_overdue(now) || guard.distrusts(now) {
            return;
        }
        drop(guard);
        for message in messages {
            match message {
                QuarantineMessage::Record(record) => self.merge(record),
                QuarantineMessage::Trial(request) => self.trials.begin(Clock.now(), request),
                QuarantineMessage::Digest(digest) => self.compare(from, digest),
            }
        }
    }

    /// Notes that this daemon runs. After it stood still, what waited in the socket looks as if it had just happened,
    /// and one event would look like two: it is passed over for a moment.
    pub fn tick(&self, now: Moment) {
        self.pause_guard.borrow_mut().check(now);
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
                self.outbox
                    .reply(from, vec![QuarantineMessage::Digest(own)]);
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
        self.outbox.reply(from, messages);
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
        self.outbox
            .reply(peer, vec![QuarantineMessage::Digest(digest)]);
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
            self.kept_changes.add(KeptChange::Quarantined {
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
        // A single strike is told by the daemon that saw it.
        if reach == Reach::Relayed && change == QuarantineChange::Learned {
            return;
        }
        let is_serious = self.table.borrow().is_likely_cause(fingerprint);
        self.outbox.add_record(fingerprint, reach, is_serious);
    }

    /// Waits until there is something to send.
    pub async fn to_send(&self) {
        self.outbox.added().await;
    }

    /// Takes out what is to be sent.
    pub fn take_to_send(&self) -> ToSend {
        let table = self.table.borrow();
        let now = Clock.now();
        self.outbox
            .take(|fingerprint| table.record(now, fingerprint))
    }

    /// Waits for changes that the source must keep, and takes them out.
    pub async fn changes_to_keep(&self) -> Vec<KeptChange> {
        self.kept_changes.take().await
    }
}
