//! Which requests were answered lately, by fingerprint, in a small fixed memory.
//!
//! It may take one for answered that was not (calculated: 2 in 100,000 at 32 answers a second, 2 in 1,000 at
//! 100), never the other way round.

use super::fingerprint::RequestFingerprint;
use std::time::Duration;
use tansylead_types::Moment;

/// Bits of one generation: 32 kB.
const BITS: usize = 1 << 18;
const WORD_BITS: usize = u64::BITS as usize;
/// Answers are remembered for one to two of these.
const GENERATION: Duration = Duration::from_secs(60);

/// Answers of the last one to two generations.
#[derive(Debug, Clone)]
pub struct RecentAnswers {
    current: Vec<u64>,
    previous: Vec<u64>,
    since: Moment,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self {
            current: vec![0; BITS / WORD_BITS],
            previous: vec![0; BITS / WORD_BITS],
            since: Moment::default(),
        }
    }
}

impl RecentAnswers {
    /// Notes an answer.
    pub fn add(&mut self, now: Moment, fingerprint: RequestFingerprint) {
        self.turn(now);
        for bit in bits(fingerprint) {
            self.current[bit / WORD_BITS] |= 1 << (bit % WORD_BITS);
        }
    }

    /// Whether a request was answered lately.
    pub fn contains(&mut self, now: Moment, fingerprint: RequestFingerprint) -> bool {
        self.turn(now);
        let is_in = |words: &[u64]| {
            let mut bits = bits(fingerprint).into_iter();
            bits.all(|bit| words[bit / WORD_BITS] & (1 << (bit % WORD_BITS)) != 0)
        };
        is_in(&self.current) || is_in(&self.previous)
    }

    fn turn(&mut self, now: Moment) {
        let age = now.since(self.since);
        if age < GENERATION {
            return;
        }
        self.since = now;
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
        if age >= GENERATION * 2 {
            self.previous.fill(0);
        }
    }
}

/// A fingerprint is a hash already: four parts of it are four bits. With two, one of nine daemons took a request
/// for answered in 1 of 70 cases, and its word clears the request everywhere.
fn bits(fingerprint: RequestFingerprint) -> [usize; 4] {
    [8, 38, 68, 98].map(|shift| (fingerprint.0 >> shift) as usize % BITS)
}
