//! Test support: property tests with fixed seeds.
//!
//! `BILBERRYLATCH_SEED` and `BILBERRYLATCH_TESTS` override the seed and the number of inputs. Without them every run
//! uses the same inputs.

use std::env;
use std::panic;

use quickcheck::{Gen, QuickCheck, Testable};

/// Seed used if `BILBERRYLATCH_SEED` is not set.
const DEFAULT_SEED: u64 = 20_261_203;

/// Checks `property` on `tests` random inputs of up to `size` elements.
///
/// # Panics
///
/// Panics with the shrunk input if the property fails, after printing the seed and the number of inputs.
pub fn property<P>(tests: u64, size: usize, property: P)
where
    P: Testable + panic::UnwindSafe,
{
    let seed = env_number("BILBERRYLATCH_SEED").unwrap_or(DEFAULT_SEED);
    let tests = env_number("BILBERRYLATCH_TESTS").unwrap_or(tests);
    let result = panic::catch_unwind(move || {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(size, seed))
            .tests(tests)
            .max_tests(tests.saturating_mul(10))
            .quickcheck(property);
    });
    if let Err(payload) = result {
        eprintln!("failed with BILBERRYLATCH_SEED={seed} BILBERRYLATCH_TESTS={tests}");
        panic::resume_unwind(payload);
    }
}

fn env_number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}
