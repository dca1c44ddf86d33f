//! This daemon's records of requests under which leafs end, and the verdicts on its own requests.

use super::evidence_log::log_evidence;
use super::messages::{QuarantineMessage, TableDigest};
use super::outbox::{Fanout, Outbox, OutgoingMessages};
use super::source_writes::{SourceWrite, SourceWrites};
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

/// Log lines a second on changes of verdicts; each leaf that ends changes those on several requests.
const LINES_PER_SECOND: u32 = 20;
/// Records sent in answer to one digest.
const RECORDS_IN_EXCHANGE: usize = 32;
/// A longer time between two ticks, which come four times a second, means that this process was paused: shorter than
/// the gap by which strikes count as two events.
const PAUSE_LIMIT: Duration = Duration::from_millis(900);

/// The records, and the queues of what is to be sent and written.
#[derive(Debug)]
pub struct QuarantineState {
    table: RefCell<Quarantine>,
    outbox: Outbox,
    /// Trials that other daemons run.
    trials: Trials,
    /// Signalled when a record changes.
    changed: Notify,
    /// Messages that come after a pause of this process may be old.
    pause_guard: RefCell<PauseGuard>,
    /// Whether this daemon knows what was quarantined before it started.
    is_complete: Cell<bool>,
    source_writes: SourceWrites,
    line_limit: PerSecondLimit,
}

impl Default for QuarantineState {
    fn default() -> Self {
        Self {
            table: RefCell::default(),
            outbox: Outbox::default(),
            trials: Trials::default(),
            changed: Notify::new(),
            pause_guard: RefCell::new(PauseGuard::new(PAUSE_LIMIT)),
            is_complete: Cell::new(false),
            source_writes: SourceWrites::default(),
            line_limit: PerSecondLimit::new(LINES_PER_SECOND),
        }
    }
}

impl QuarantineState {
    /// The strictest of the verdicts on the fingerprints of a request.
    pub fn verdict(&self, request: &RequestFingerprints) -> Verdict {
        self.table.borrow().strictest_verdict(Clock.now(), request)
    }

    /// The refusal of a request, if it is quarantined.
    pub fn refusal(&self, request: &RequestFingerprints) -> Option<Refusal> {
        match self.verdict(request) {
            Verdict::Quarantined(left) => Some(Refusal {
                reason: RefusalReason::EndsLeafs,
                retry_after: Some(left),
            }),
            Verdict::Clear | Verdict::Suspect => None,
        }
    }

    /// Until when to wait for the trial of a suspect by another daemon; `None` if none is running.
    pub fn trial_until(&self, request: &RequestFingerprints) -> Option<Moment> {
        self.trials.until(Clock.now(), request.path)
    }

    /// Announces to other daemons that this one begins the trial of a suspect.
    pub fn begin_trial(&self, request: &RequestFingerprints) {
        self.outbox.add_trial(request.path);
    }

    /// Waits until the record of any request changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Counts of requests by verdict.
    pub fn counts(&self) -> QuarantineCounts {
        self.table.borrow().counts(Clock.now())
    }

    /// Records that a leaf ended while a request ran there.
    pub fn on_strike(&self, request: &RequestFingerprints, strike: Strike) {
        for fingerprint in request.all() {
            let mut table = self.table.borrow_mut();
            let changed = table.on_strike(Clock.now(), fingerprint, strike);
            drop(table);
            self.on_change(fingerprint, changed, Fanout::Wide);
        }
    }

    /// Records that a leaf answered a request.
    pub fn on_answer(&self, request: &RequestFingerprints) {
        self.table.borrow_mut().note_answered(Clock.now(), request);
        if self.table.borrow().is_empty() {
            return;
        }
        for fingerprint in request.all() {
            let was_quarantined = self.table.borrow().was_quarantined(fingerprint);
            let changed = self.table.borrow_mut().on_answer(Clock.now(), fingerprint);
            if changed.is_some() && was_quarantined {
                self.source_writes.add(SourceWrite::Cleared(fingerprint));
            }
            self.on_change(fingerprint, changed, Fanout::Wide);
        }
    }

    /// Quarantines requests that the source lists as quarantined before this daemon started.
    pub fn restore(&self, fingerprints: &[RequestFingerprint]) {
        for fingerprint in fingerprints {
            let changed = self.table.borrow_mut().restore(Clock.now(), *fingerprint);
            if changed.is_some() {
                log::info!(fingerprint:% = fingerprint; "request quarantined, as the source tells");
            }
        }
        self.set_complete();
    }

    /// Queues all quarantined requests to be written to the source again, after it lost recent writes. Returns their
    /// number.
    pub(crate) fn rewrite_to_source(&self) -> usize {
        let quarantined = self.table.borrow().quarantined(Clock.now());
        for fingerprint in &quarantined {
            let (fingerprint, is_own) = (*fingerprint, false);
            self.source_writes.add(SourceWrite::Quarantined {
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

    /// Removes expired records. Returns the requests among them that had been quarantined.
    pub fn remove_expired(&self) -> Vec<RequestFingerprint> {
        self.table.borrow_mut().remove_expired(Clock.now())
    }

    /// Whether there are records that other daemons might lack.
    pub fn has_records(&self) -> bool {
        !self.table.borrow().is_empty()
    }

    /// Processes messages of another daemon.
    pub fn receive(&self, from: SocketAddr, messages: Vec<QuarantineMessage>) {
        let now = Clock.now();
        let guard = self.pause_guard.borrow();
        if guard.is_overdue(now) || guard.is_discarding(now) {
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

    /// Records that this process runs, and decides on requests whose strikes could not be attributed before. After a
    /// pause, old messages from the socket look as if they were new, and one event would look like two: messages are
    /// dropped for a moment.
    pub fn tick(&self, now: Moment) {
        self.pause_guard.borrow_mut().check(now);
        self.decide_pending(now);
    }

    /// Quarantines requests whose strikes are attributed to them by now.
    pub fn decide_pending(&self, now: Moment) {
        let decided = self.table.borrow_mut().decide_pending(now);
        for decision in decided {
            let fanout = match decision.is_struck_here {
                true => Fanout::Wide,
                false => Fanout::Relayed,
            };
            let change = QuarantineChange::Quarantined;
            self.on_change(decision.fingerprint, Some(change), fanout);
        }
    }

    /// When it will be decided whether to quarantine a request; none if that is not pending.
    pub fn decision_due(&self, request: &RequestFingerprints) -> Option<Moment> {
        self.table.borrow().decision_due(Clock.now(), request)
    }

    fn merge(&self, record: QuarantineRecord) {
        let fingerprint = record.fingerprint;
        let changed = self.table.borrow_mut().merge(Clock.now(), record);
        let fanout = match changed {
            // The others have a record that this daemon knows to be wrong.
            Some(QuarantineChange::Contradicted) => Fanout::Wide,
            _ => Fanout::Relayed,
        };
        self.on_change(fingerprint, changed, fanout);
    }

    /// Compares a digest with this daemon's own: answers with records if they differ, and learns from a complete sender
    /// that this daemon knows everything too.
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
            // The sender's records came before its digest.
            self.set_complete();
        }
        self.outbox.reply(from, messages);
    }

    /// The digest of this daemon's records.
    pub fn digest(&self, is_reply: bool) -> TableDigest {
        TableDigest {
            hash: self.table.borrow().digest(),
            is_complete: self.is_complete.get(),
            is_reply,
        }
    }

    /// Sends the digest to a peer.
    pub fn send_digest(&self, peer: SocketAddr) {
        let digest = self.digest(false);
        self.outbox
            .reply(peer, vec![QuarantineMessage::Digest(digest)]);
    }

    fn on_change(
        &self,
        fingerprint: RequestFingerprint,
        changed: Option<QuarantineChange>,
        fanout: Fanout,
    ) {
        let Some(change) = changed else {
            return;
        };
        if Self::is_decided(change) {
            self.trials.end(fingerprint);
        }
        self.changed.notify_waiters();
        let is_own = fanout == Fanout::Wide;
        self.log_change(fingerprint, change, is_own);
        if change == QuarantineChange::Quarantined {
            self.source_writes.add(SourceWrite::Quarantined {
                fingerprint,
                is_own,
            });
        }
        self.queue_record(fingerprint, change, fanout);
    }

    /// Whether a trial of the request has given a result.
    fn is_decided(change: QuarantineChange) -> bool {
        !matches!(
            change,
            QuarantineChange::Learned | QuarantineChange::Suspected
        )
    }

    fn log_change(&self, fingerprint: RequestFingerprint, change: QuarantineChange, is_own: bool) {
        if change == QuarantineChange::Learned {
            return;
        }
        let is_quarantined = change == QuarantineChange::Quarantined;
        if !self.line_limit.try_take(Clock.now()) && !is_quarantined {
            count_suppressed(1);
            return;
        }
        let scope = fingerprint.scope().label();
        log::info!(fingerprint:% = fingerprint, scope = scope, change = change.label(), is_own = is_own; "request under which leafs end");
        if is_quarantined {
            let evidence = self.table.borrow().evidence(fingerprint);
            log_evidence(fingerprint, &evidence, Clock.now());
        }
    }

    fn queue_record(
        &self,
        fingerprint: RequestFingerprint,
        change: QuarantineChange,
        fanout: Fanout,
    ) {
        // A single strike is sent only by the daemon that saw it.
        if fanout == Fanout::Relayed && change == QuarantineChange::Learned {
            return;
        }
        let is_likely_cause = self.table.borrow().is_likely_cause(fingerprint);
        self.outbox.add_record(fingerprint, fanout, is_likely_cause);
    }

    /// Waits until there are messages to send.
    pub async fn to_send(&self) {
        self.outbox.added().await;
    }

    /// Takes out the messages to be sent.
    pub fn take_to_send(&self) -> OutgoingMessages {
        let table = self.table.borrow();
        let now = Clock.now();
        self.outbox
            .take(|fingerprint| table.record(now, fingerprint))
    }

    /// Waits for changes that are to be written to the source, and takes them out.
    pub async fn take_source_writes(&self) -> Vec<SourceWrite> {
        self.source_writes.take().await
    }
}
