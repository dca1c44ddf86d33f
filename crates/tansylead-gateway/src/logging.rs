//! Structured log lines on standard output.
//!
//! One JSON object per line. Lines pass through a bounded queue to a dedicated thread, so that
//! writing never delays a request; lines that do not fit are dropped and counted. Each kind of line is
//! rate-limited, except errors, and the number of suppressed lines is logged. Lines of single requests have
//! their own limits (`request_log`).

use crate::clock::Clock;
use crate::log_queue::{LastLines, LogQueue};
use eyre::WrapErr;
use log::kv::{Key, Value, VisitSource};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Target of the lines of single requests; `request_log` limits their rate.
pub const REQUEST_TARGET: &str = "request";
/// Lines of one kind written in a second; errors are not limited.
pub const LINES_PER_SECOND: u32 = 20;
const MICROS_PER_SECOND: u64 = 1_000_000;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static SUPPRESSED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines dropped because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Lines suppressed because there were too many of their kind.
pub fn suppressed_lines() -> u64 {
    SUPPRESSED_LINES.load(Ordering::Relaxed)
}

/// Counts lines that were not written because there were too many.
pub(crate) fn count_suppressed(lines: u64) {
    SUPPRESSED_LINES.fetch_add(lines, Ordering::Relaxed);
}

/// Sends log lines of `level` and above to standard output, until the process ends.
pub fn initialize(level: log::LevelFilter) -> eyre::Result<LastLines> {
    let queue = LogQueue::start(std::io::stdout()).wrap_err("start the log writer")?;
    let last_lines = queue.last_lines();
    let limits = Mutex::new(HashMap::new());
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            queue_record(&queue, &limits, record);
        }))
        .apply()
        .wrap_err("install the logger")?;
    Ok(last_lines)
}

/// Number of lines of one kind in the current second.
#[derive(Debug, Clone, Copy, Default)]
struct KindLimit {
    second: u64,
    lines: u32,
    suppressed: u64,
}

impl KindLimit {
    /// Number of lines that were suppressed before, if one more may be written; none otherwise.
    fn admit(&mut self, second: u64) -> Option<u64> {
        let mut before = 0;
        if self.second != second {
            before = self.suppressed;
            *self = Self {
                second,
                ..Self::default()
            };
        }
        if self.lines >= LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(before)
    }
}

type KindLimits = Mutex<HashMap<String, KindLimit>>;

fn queue_record(queue: &LogQueue, limits: &KindLimits, record: &log::Record<'_>) {
    let now = Clock.now();
    let event = record.args().to_string();
    let is_unlimited = record.target() == REQUEST_TARGET || record.level() == log::Level::Error;
    let mut suppressed = 0;
    if !is_unlimited {
        let mut limits = limits.lock();
        let limit = limits.entry(event.clone()).or_default();
        match limit.admit(now.0 / MICROS_PER_SECOND) {
            Some(before) => suppressed = before,
            None => {
                count_suppressed(1);
                return;
            }
        }
    }
    let mut fields = serde_json::Map::new();
    fields.insert("at_us".to_owned(), now.0.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("event".to_owned(), event.into());
    if suppressed > 0 {
        fields.insert("suppressed_before".to_owned(), suppressed.into());
    }
    // A field that cannot be read is left out.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    let mut line = serde_json::Value::Object(fields).to_string();
    line.push('\n');
    if queue.push(line).is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
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
