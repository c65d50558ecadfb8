//! The cases.

mod late_answer;
mod left_running;
mod usage_after_restore;

use std::path::Path;

use self::late_answer::Late;
use crate::Verdict;

pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Verdict {
    let result = match case {
        "late-refusal" => late_answer::run(folder, has_trouble, Late::Refusal),
        "late-bad-request" => late_answer::run(folder, has_trouble, Late::BadRequest),
        "left-running" => left_running::run(folder, has_trouble),
        "usage-after-restore" => usage_after_restore::run(folder, has_trouble),
        _ => Err(format!("no case {case:?}")),
    };
    result.unwrap_or_else(Verdict::NotRun)
}

/// A generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
