//! What is known of one connection of a caller: what it does, what is held for it, and whether it has to end.

use crate::clock::Clock;
use crate::memory::{Charge, HeldBytes, MemoryAccount};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tansylead_http::NoMemory;
use tansylead_route::{CallerLimits, ConnectionUse, MemoryUse, TransferProgress};
use tansylead_types::Moment;
use tokio::sync::Notify;

/// Memory of an accepted connection on which nothing has been received, in bytes.
const CONNECTION_BYTES: usize = 2 * 1024;
/// Further memory of a connection that has received something, apart from its buffer, in bytes.
const SESSION_BYTES: usize = 4 * 1024;
/// Size of the read buffer with which the HTTP library begins, in bytes.
const INITIAL_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum size of the part of the read buffer that is filled, in bytes; headers must fit.
pub(super) const BUFFER_BYTES: usize = 32 * 1024;

/// Why a caller's connection ends before its caller closes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// It has rested too long.
    Idle,
    /// The head of a request has not come in time.
    HeadTimeout,
    /// Its answer has not been read for too long.
    AnswerTimeout,
    /// Memory is short.
    Memory,
    /// Descriptors are short.
    Descriptors,
}

impl EndCause {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::HeadTimeout => "head_timeout",
            Self::AnswerTimeout => "answer_timeout",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }

    /// Whether it ends well-behaved callers too, so that it is not worth a line in the log.
    pub fn is_ordinary(self) -> bool {
        self == Self::Idle
    }
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing.
    Resting,
    /// A head is received, or the first one is awaited.
    Head,
    /// A body is received.
    Body,
    /// A request runs.
    Running,
    /// An answer is sent.
    Answering,
}

impl Stage {
    /// Name, for logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Resting => "resting",
            Self::Head => "head",
            Self::Body => "body",
            Self::Running => "running",
            Self::Answering => "answering",
        }
    }
}

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    number: u64,
    stage: Cell<Stage>,
    /// When the stage began.
    since: Cell<Moment>,
    /// When bytes were last transferred.
    last_transfer: Cell<Moment>,
    progress: Cell<TransferProgress>,
    stalled_bytes_per_second: f64,
    /// Bytes received since the head of the current message began.
    received: Cell<usize>,
    /// The same, the most of any message: the read buffer does not shrink.
    most_received: Cell<usize>,
    /// Whether something was received that belongs to the next message.
    has_pipelined: Cell<bool>,
    is_session: Cell<bool>,
    /// Whether the last answer was sent before the request's body was received whole.
    leaves_body: Cell<bool>,
    charge: RefCell<Charge>,
    held: HeldBytes,
    end: Cell<Option<EndCause>>,
    wake: Notify,
}

impl CallerConnection {
    /// A connection that has just been accepted; none if there is no memory for it.
    pub(crate) fn accept(
        number: u64,
        account: &MemoryAccount,
        stalled_bytes_per_second: f64,
    ) -> Result<Rc<Self>, NoMemory> {
        let now = Clock.now();
        let held = HeldBytes::default();
        let mut charge = account.charge(&held);
        charge.set(CONNECTION_BYTES, MemoryUse::Small)?;
        Ok(Rc::new(Self {
            number,
            stage: Cell::new(Stage::Head),
            since: Cell::new(now),
            last_transfer: Cell::new(now),
            progress: Cell::new(TransferProgress::start(now)),
            stalled_bytes_per_second,
            received: Cell::new(0),
            most_received: Cell::new(0),
            has_pipelined: Cell::new(false),
            is_session: Cell::new(false),
            leaves_body: Cell::new(false),
            charge: RefCell::new(charge),
            held,
            end: Cell::new(None),
            wake: Notify::new(),
        }))
    }

    /// Its number.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// What it does.
    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Bytes held for it.
    pub(crate) fn held(&self) -> &HeldBytes {
        &self.held
    }

    /// What it does, as far as it matters for which connection has to end.
    pub(crate) fn usage(&self) -> ConnectionUse {
        let is_silent = self.received.get() == 0;
        match self.stage.get() {
            Stage::Running => ConnectionUse::Running,
            Stage::Resting => ConnectionUse::Resting {
                since: self.since.get(),
            },
            Stage::Head if is_silent => ConnectionUse::Resting {
                since: self.since.get(),
            },
            Stage::Head | Stage::Body | Stage::Answering => ConnectionUse::Transferring {
                stalled_from: self.progress.get().stalled_from(),
            },
        }
    }

    /// Records that the connection begins to be read.
    pub(super) fn on_session(&self) -> Result<(), NoMemory> {
        self.is_session.set(true);
        self.charge_buffer()
    }

    /// Records bytes that were received.
    pub(super) fn on_received(&self, bytes: usize) -> Result<(), NoMemory> {
        let now = Clock.now();
        match self.stage.get() {
            Stage::Resting => self.begin_head(now, 0),
            Stage::Running | Stage::Answering => self.has_pipelined.set(true),
            Stage::Head | Stage::Body => {}
        }
        self.on_transferred(now, bytes);
        let received = self.received.get().saturating_add(bytes);
        self.received.set(received);
        let most = self.most_received.get().max(received);
        self.most_received.set(most);
        if self.stage.get() == Stage::Head {
            return self.charge_buffer();
        }
        // An error now would take the answer from the caller, whose body is accounted for by itself.
        self.charge.borrow_mut().force(self.buffer_charge());
        Ok(())
    }

    /// Records bytes that were sent.
    pub(super) fn on_sent(&self, bytes: usize) {
        self.on_transferred(Clock.now(), bytes);
    }

    /// Records that a head was received whole. The connection is in use again: it need not end any more.
    pub(super) fn on_head(&self, has_body: bool) {
        self.end.set(None);
        let stage = if has_body {
            Stage::Body
        } else {
            Stage::Running
        };
        self.enter(stage, Clock.now());
    }

    /// Records that a request was received whole and runs now. The connection need not end any more.
    pub(super) fn on_body(&self) {
        self.end.set(None);
        self.enter(Stage::Running, Clock.now());
    }

    /// Records that the answer is sent now.
    pub(super) fn on_answer(&self) {
        self.leaves_body.set(self.stage.get() == Stage::Body);
        self.enter(Stage::Answering, Clock.now());
    }

    /// Records that the answer was sent.
    pub(super) fn on_answered(&self) {
        let now = Clock.now();
        if self.has_pipelined.replace(false) {
            self.begin_head(now, 1);
        } else {
            self.received.set(0);
            self.enter(Stage::Resting, now);
        }
    }

    /// Whether a body is received.
    pub(super) fn is_receiving_body(&self) -> bool {
        self.stage.get() == Stage::Body
    }

    /// Whether the last answer was sent without the request's body having been received whole.
    pub(super) fn leaves_body(&self) -> bool {
        self.leaves_body.get()
    }

    /// Whether it has to end.
    pub(super) fn is_ending(&self) -> bool {
        self.end.get().is_some()
    }

    /// Whether a request is received, runs, or is answered.
    pub(super) fn is_in_use(&self) -> bool {
        matches!(
            self.stage.get(),
            Stage::Body | Stage::Running | Stage::Answering
        )
    }

    /// Has the connection end. A body that is being received gets a refusal first.
    pub(crate) fn end(&self, cause: EndCause) {
        if self.end.get().is_none() {
            self.end.set(Some(cause));
        }
        self.wake.notify_waiters();
    }

    /// Wakes the connection's task, which looks whether the connection is overdue.
    pub(crate) fn wake(&self) {
        self.wake.notify_waiters();
    }

    /// Waits until the connection may have to end.
    pub(super) async fn wait_for_wake(&self) {
        let notified = self.wake.notified();
        if self.end.get().is_none() || self.is_receiving_body() {
            notified.await;
        }
    }

    /// Waits until the connection has to end.
    pub(super) async fn wait_for_end(&self) -> EndCause {
        loop {
            let notified = self.wake.notified();
            if let Some(cause) = self.end.get() {
                return cause;
            }
            notified.await;
        }
    }

    /// Why it has to end now, if it has to.
    pub(super) fn end_cause(&self, limits: &CallerLimits) -> Option<EndCause> {
        self.end.get().or_else(|| self.overdue(limits, Clock.now()))
    }

    /// Why it has exceeded a time limit, if it has.
    pub(crate) fn overdue(&self, limits: &CallerLimits, now: Moment) -> Option<EndCause> {
        let in_stage = now.since(self.since.get());
        match self.stage.get() {
            Stage::Resting => (in_stage >= limits.idle_timeout).then_some(EndCause::Idle),
            Stage::Head => (in_stage >= limits.header_timeout).then_some(EndCause::HeadTimeout),
            Stage::Answering => {
                let pause = now.since(self.last_transfer.get().max(self.since.get()));
                (pause >= limits.idle_timeout).then_some(EndCause::AnswerTimeout)
            }
            // The request's own time limit ends these.
            Stage::Body | Stage::Running => None,
        }
    }

    fn begin_head(&self, now: Moment, received: usize) {
        self.received.set(received);
        self.enter(Stage::Head, now);
    }

    fn enter(&self, stage: Stage, now: Moment) {
        self.stage.set(stage);
        self.since.set(now);
        self.progress.set(TransferProgress::start(now));
    }

    fn on_transferred(&self, now: Moment, bytes: usize) {
        self.last_transfer.set(now);
        let mut progress = self.progress.get();
        progress.on_bytes(now, bytes, self.stalled_bytes_per_second);
        self.progress.set(progress);
    }

    fn charge_buffer(&self) -> Result<(), NoMemory> {
        let bytes = self.buffer_charge();
        let charged = self.charge.borrow_mut().set(bytes, MemoryUse::Small);
        if charged.is_err() {
            self.end(EndCause::Memory);
        }
        charged
    }

    fn buffer_charge(&self) -> usize {
        if self.is_session.get() {
            CONNECTION_BYTES + SESSION_BYTES + buffer_bytes(self.most_received.get())
        } else {
            CONNECTION_BYTES
        }
    }
}

/// Memory of the HTTP library's read buffer after so many bytes of a message: it doubles when less than its initial
/// size is free.
fn buffer_bytes(received: usize) -> usize {
    let filled = received.min(BUFFER_BYTES);
    if filled < INITIAL_BUFFER_BYTES / 2 {
        return INITIAL_BUFFER_BYTES;
    }
    (filled + INITIAL_BUFFER_BYTES).next_power_of_two()
}
