//! Configuration of property tests that can also be run for longer by hand.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Configuration of a property test. Seed and number of cases are fixed unless `FUZZ_SEED` and
/// `FUZZ_CASES` override them.
pub fn fuzz_config(default_cases: u32) -> ProptestConfig {
    const DEFAULT_SEED: u64 = 7;
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let cases = number("FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    ProptestConfig {
        cases: cases.unwrap_or(default_cases),
        rng_seed: RngSeed::Fixed(number("FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}
