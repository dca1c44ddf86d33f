//! Merges parts into the greatest records, which have a fixed size. Duplicates are kept.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// One record; compared byte by byte.
pub type Record = [u8; RECORD_BYTES];

/// The greatest records added so far, up to a limit. It holds no more than these, however long the parts are.
#[derive(Debug, Clone)]
pub struct TopRecords {
    limit: usize,
    /// The smallest of them is on top.
    records: BinaryHeap<Reverse<Record>>,
}

impl TopRecords {
    /// Creates an empty set that keeps the greatest `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            records: BinaryHeap::new(),
        }
    }

    /// Adds the records of a part. A trailing remainder shorter than a record is ignored.
    pub fn add(&mut self, part: &[u8]) {
        let (records, _remainder) = part.as_chunks::<RECORD_BYTES>();
        for record in records {
            if self.records.len() < self.limit {
                self.records.push(Reverse(*record));
            } else if let Some(mut smallest) = self.records.peek_mut()
                && *record > smallest.0
            {
                *smallest = Reverse(*record);
            }
        }
    }

    /// The bytes of the records, greatest first.
    pub fn into_bytes(self) -> Vec<u8> {
        let records = self.records.into_sorted_vec().into_iter();
        let records: Vec<Record> = records.map(|Reverse(record)| record).collect();
        records.into_flattened()
    }
}
