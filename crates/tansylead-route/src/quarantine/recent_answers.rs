//! Which requests were answered lately, by fingerprint, in a small fixed memory.
//!
//! It may take one for answered that was not (2 in 1,000 at 100 answers a second), never the other way round.

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

/// A fingerprint is a hash already: two parts of it are two bits.
fn bits(fingerprint: RequestFingerprint) -> [usize; 2] {
    let low = (fingerprint.0 >> 8) as usize % BITS;
    let high = (fingerprint.0 >> 72) as usize % BITS;
    [low, high]
}
