//! Merging of parts: the greatest records of fixed size, with equal records kept.

/// Bytes of one record.
pub const RECORD_BYTES: usize = 16;

/// One record; compared byte by byte.
pub type Record = [u8; RECORD_BYTES];

/// The greatest records seen so far, at most a given number.
#[derive(Debug, Clone)]
pub struct TopRecords {
    limit: usize,
    /// In no order until taken.
    records: Vec<Record>,
}

impl TopRecords {
    /// Keeps the greatest `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            records: Vec::new(),
        }
    }

    /// Takes in the records of a part. A remainder shorter than a record is no record.
    pub fn add(&mut self, part: &[u8]) {
        let (records, _remainder) = part.as_chunks::<RECORD_BYTES>();
        self.records.extend_from_slice(records);
        if self.records.len() > self.limit {
            self.records
                .sort_unstable_by(|first, second| second.cmp(first));
            self.records.truncate(self.limit);
        }
    }

    /// The bytes of the records, greatest first.
    pub fn into_bytes(mut self) -> Vec<u8> {
        self.records
            .sort_unstable_by(|first, second| second.cmp(first));
        self.records.into_flattened()
    }
}
