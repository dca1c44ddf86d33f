//! Merges parts into the greatest records, which have a fixed size. Duplicates are kept.

/// Size of one record in bytes.
pub const RECORD_BYTES: usize = 16;

/// One record; compared byte by byte.
pub type Record = [u8; RECORD_BYTES];

/// The greatest records added so far, up to a limit.
#[derive(Debug, Clone)]
pub struct TopRecords {
    limit: usize,
    /// Unsorted until [`Self::into_bytes`].
    records: Vec<Record>,
}

impl TopRecords {
    /// Creates an empty set that keeps the greatest `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            records: Vec::new(),
        }
    }

    /// Adds the records of a part. A trailing remainder shorter than a record is ignored.
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
