//! How much memory may be held for callers, and for what: the shorter it gets, the less is accepted.

/// Above this share of the limit, connections that make no progress are ended.
const RELIEF_SHARE: f64 = 0.6;
/// Share of the limit up to which large bodies are accepted.
const BODY_SHARE: f64 = 0.75;
/// Share of the limit up to which large answers are accepted: leafs have worked for them. Above it, the connections
/// with the least progress are ended, stalled or not.
const ANSWER_SHARE: f64 = 0.9;

/// What memory is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// A large body of a request.
    Body,
    /// A large answer.
    Answer,
    /// A connection, a head, or a request or an answer that is small.
    Small,
}

impl MemoryUse {
    /// A request or an answer up to this size is small, in bytes.
    pub const SMALL_BYTES: usize = 32 * 1024;

    /// The use of `bytes` bytes that would be `large` if they were many.
    pub fn for_size(bytes: usize, large: MemoryUse) -> Self {
        if bytes <= Self::SMALL_BYTES {
            Self::Small
        } else {
            large
        }
    }
}

/// How short memory is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// There is enough.
    None,
    /// Connections that make no progress have to end.
    Short,
    /// Connections have to end.
    Exhausted,
}

/// Limits on the memory that is held for callers, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerMemoryLimits {
    total: usize,
}

impl CallerMemoryLimits {
    /// Limits that together keep to `total` bytes.
    pub fn new(total: usize) -> Self {
        Self { total }
    }

    /// Up to how many bytes in all this use is accepted.
    pub fn limit(self, memory_use: MemoryUse) -> usize {
        match memory_use {
            MemoryUse::Body => self.share(BODY_SHARE),
            MemoryUse::Answer => self.share(ANSWER_SHARE),
            MemoryUse::Small => self.total,
        }
    }

    /// How short memory is while `used` bytes are held.
    pub fn pressure(self, used: usize) -> MemoryPressure {
        if used > self.share(ANSWER_SHARE) {
            MemoryPressure::Exhausted
        } else if used > self.share(RELIEF_SHARE) {
            MemoryPressure::Short
        } else {
            MemoryPressure::None
        }
    }

    /// How many bytes too many are held at a pressure.
    pub fn excess(self, used: usize, pressure: MemoryPressure) -> usize {
        match pressure {
            MemoryPressure::None => 0,
            MemoryPressure::Short => used.saturating_sub(self.share(RELIEF_SHARE)),
            MemoryPressure::Exhausted => used.saturating_sub(self.share(ANSWER_SHARE)),
        }
    }

    fn share(self, share: f64) -> usize {
        (self.total as f64 * share) as usize
    }
}
