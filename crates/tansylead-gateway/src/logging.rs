//! Structured log lines on standard output.
//!
//! One JSON object a line. Lines pass through a bounded queue to a thread of their own, so that
//! writing never holds up a request; lines that do not fit are dropped and counted. Healthy
//! requests write nothing; refused, failed and partial ones write one line each, at most
//! [`REQUEST_LINES_PER_SECOND`] a second.

use crate::clock::Clock;
use crate::execution::Outcome;
use eyre::WrapErr;
use hyper::header::HeaderValue;
use log::kv::{Key, Value, VisitSource};
use std::cell::Cell;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;
use tansylead_route::Route;
use tansylead_types::Moment;

/// Lines of single requests written in a second.
pub const REQUEST_LINES_PER_SECOND: u32 = 20;
/// Lines waiting to be written.
const QUEUED_LINES: usize = 256;
/// Stack of the writing thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 * 1024;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines dropped because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sends log lines of `level` and above to standard output.
pub fn initialize(level: log::LevelFilter) -> eyre::Result<()> {
    let (sender, receiver) = sync_channel(QUEUED_LINES);
    std::thread::Builder::new()
        .name("log-writer".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&receiver))
        .wrap_err("start the log writer")?;
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            queue_line(&sender, record)
        }))
        .apply()
        .wrap_err("install the logger")
}

fn queue_line(sender: &SyncSender<String>, record: &log::Record<'_>) {
    let mut fields = serde_json::Map::new();
    fields.insert("at_us".to_owned(), Clock.now().0.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("event".to_owned(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    let mut line = serde_json::Value::Object(fields).to_string();
    line.push('\n');
    if sender.try_send(line).is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(receiver: &Receiver<String>) {
    while let Ok(line) = receiver.recv() {
        // A closed output must not end the daemon.
        let _ = std::io::stdout().write_all(line.as_bytes());
    }
}

struct FieldVisitor<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

thread_local! {
    static REQUEST_LINES: Cell<RequestLines> = const { Cell::new(RequestLines { second: 0, lines: 0, suppressed: 0 }) };
}

/// Lines of single requests written in the present second.
#[derive(Debug, Clone, Copy)]
struct RequestLines {
    second: u64,
    lines: u32,
    suppressed: u32,
}

/// Whether another line of a single request may be written; tells how many were not, once a second.
fn may_log_request(now: Moment) -> bool {
    let second = now.0 / 1_000_000;
    let mut state = REQUEST_LINES.get();
    if state.second != second {
        if state.suppressed > 0 {
            log::info!(count = state.suppressed; "request lines suppressed");
        }
        state = RequestLines {
            second,
            lines: 0,
            suppressed: 0,
        };
    }
    let allowed = state.lines < REQUEST_LINES_PER_SECOND;
    if allowed {
        state.lines += 1;
    } else {
        state.suppressed += 1;
    }
    REQUEST_LINES.set(state);
    allowed
}

/// What is told of one request when it ends; also when its caller goes away before.
#[derive(Debug)]
pub struct RequestLog {
    id: Option<HeaderValue>,
    arrived: Moment,
    /// Route, once found.
    pub route: Option<Arc<Route>>,
    /// Version of the configuration that decided.
    pub version: Option<u64>,
    finished: bool,
}

impl RequestLog {
    /// The log of a request that has just arrived.
    pub fn new(id: Option<HeaderValue>, arrived: Moment) -> Self {
        Self {
            id,
            arrived,
            route: None,
            version: None,
            finished: false,
        }
    }

    /// Writes the line of a request that did not end well.
    pub fn finish(&mut self, outcome: &Outcome) {
        self.finished = true;
        let now = Clock.now();
        let took = now.since(self.arrived);
        match outcome {
            Outcome::Refused(refusal) => self.write(now, took, refusal.reason.label(), 0),
            Outcome::Merged { missing, .. } if *missing > 0 => {
                self.write(now, took, "partial", *missing);
            }
            Outcome::Leaf { status, .. } if status.is_server_error() => {
                self.write(now, took, "leaf_failure", 0);
            }
            _ if self.is_late(took) => self.write(now, took, "late", 0),
            _ => {}
        }
    }

    fn is_late(&self, took: Duration) -> bool {
        let route = self.route.as_ref();
        route.is_some_and(|route| took > route.policy.objective)
    }

    fn write(&self, now: Moment, took: Duration, outcome: &str, missing: usize) {
        if !log::log_enabled!(log::Level::Info) || !may_log_request(now) {
            return;
        }
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        let route = self.route.as_ref().map(|route| route.name.as_str());
        log::info!(
            request = id.unwrap_or(""),
            route = route.unwrap_or(""),
            version = self.version.unwrap_or(0),
            outcome = outcome,
            missing = missing,
            took_ms = took.as_millis() as u64;
            "request"
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.finished {
            let now = Clock.now();
            self.write(now, now.since(self.arrived), "caller_left", 0);
        }
    }
}
