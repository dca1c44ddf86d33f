//! Counts of what the store has to bear: reads, watches, writes, and how many connections read.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A connection counts as a reader for this long after its last read.
pub const READER_WINDOW: Duration = Duration::from_secs(10);

/// Counts since the store started, and the readers of the last [`READER_WINDOW`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReadCounts {
    /// Reads of lists and single objects.
    pub reads: u64,
    /// Watches begun.
    pub watches: u64,
    /// Writes asked for, accepted or not.
    pub writes: u64,
    /// Connections that read or watched within the window.
    pub recent_readers: u64,
    /// Connections that ever read or watched.
    pub distinct_readers: u64,
    /// Milliseconds since the store started, to turn counts into rates.
    pub uptime_millis: u64,
}

/// Keeps the counts.
#[derive(Debug)]
pub struct Readers {
    started: Instant,
    counts: ReadCounts,
    last_read: BTreeMap<SocketAddr, Instant>,
}

impl Readers {
    /// Starts counting.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            counts: ReadCounts::default(),
            last_read: BTreeMap::new(),
        }
    }

    /// Counts a read.
    pub fn read(&mut self, now: Instant, reader: SocketAddr) {
        self.counts.reads += 1;
        self.last_read.insert(reader, now);
    }

    /// Counts a watch.
    pub fn watch(&mut self, now: Instant, reader: SocketAddr) {
        self.counts.watches += 1;
        self.last_read.insert(reader, now);
    }

    /// Counts a write.
    pub fn write(&mut self) {
        self.counts.writes += 1;
    }

    /// The counts now.
    pub fn counts(&self, now: Instant) -> ReadCounts {
        let is_recent = |at: &&Instant| now.duration_since(**at) <= READER_WINDOW;
        let recent_readers = self.last_read.values().filter(is_recent).count();
        ReadCounts {
            recent_readers: as_u64(recent_readers),
            distinct_readers: as_u64(self.last_read.len()),
            uptime_millis: as_u64(now.duration_since(self.started).as_millis()),
            ..self.counts
        }
    }
}

fn as_u64(count: impl TryInto<u64>) -> u64 {
    count.try_into().unwrap_or(u64::MAX)
}
