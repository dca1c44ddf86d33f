//! Bloom filter of the fingerprints of requests that were answered recently.
//!
//! False positives are possible (calculated: 2 in 100,000 at 32 answers a second, 2 in 1,000 at 100); false
//! negatives are not.

use super::fingerprint::RequestFingerprint;
use std::time::Duration;
use tansylead_types::Moment;

/// Size of the filter of one generation: 32 kB.
const BITS: usize = 1 << 18;
const WORD_BITS: usize = u64::BITS as usize;
/// Period between rotations. Answers are kept for one to two periods.
const GENERATION: Duration = Duration::from_secs(60);

/// Bloom filter over the last one to two generations of answers.
#[derive(Debug, Clone)]
pub struct RecentAnswers {
    current: Vec<u64>,
    previous: Vec<u64>,
    generation_began: Moment,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self {
            current: vec![0; BITS / WORD_BITS],
            previous: vec![0; BITS / WORD_BITS],
            generation_began: Moment::default(),
        }
    }
}

impl RecentAnswers {
    /// Adds an answered request.
    pub fn add(&mut self, now: Moment, fingerprint: RequestFingerprint) {
        self.rotate(now);
        for bit in bits(fingerprint) {
            self.current[bit / WORD_BITS] |= 1 << (bit % WORD_BITS);
        }
    }

    /// Whether a request was answered recently. Wrong only if it says so of one that was not.
    pub fn contains(&mut self, now: Moment, fingerprint: RequestFingerprint) -> bool {
        self.rotate(now);
        let is_in = |words: &[u64]| {
            let mut bits = bits(fingerprint).into_iter();
            bits.all(|bit| words[bit / WORD_BITS] & (1 << (bit % WORD_BITS)) != 0)
        };
        is_in(&self.current) || is_in(&self.previous)
    }

    fn rotate(&mut self, now: Moment) {
        let age = now.since(self.generation_began);
        if age < GENERATION {
            return;
        }
        self.generation_began = now;
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
        if age >= GENERATION * 2 {
            self.previous.fill(0);
        }
    }
}

/// Takes four bit positions from the fingerprint, which is a hash already. With two positions, in 1 of 70 cases one of
/// nine daemons wrongly took a request for answered, and one such daemon clears the request on all.
fn bits(fingerprint: RequestFingerprint) -> [usize; 4] {
    [8, 38, 68, 98].map(|shift| (fingerprint.0 >> shift) as usize % BITS)
}
